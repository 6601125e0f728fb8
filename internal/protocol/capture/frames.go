package capture

import "forkhead/internal/protocol/hostproto"

// Frame adds what a frame between a placer and a host says to an event that names its ends, and
// returns it; a frame of which no rule speaks comes to none, and Holds to one for each attempt.
// Both ends note frames by it, so that they can be held against each other.
func Frame(e Event, f hostproto.Frame) []Event {
	switch f := f.(type) {
	case hostproto.Hello:
		e.What = Hello
	case hostproto.Offer:
		e.What = Offer
		e.of(f.Ref, &f.Spec)
	case hostproto.Withdraw:
		e.What = Withdraw
		e.of(f.Ref, nil)
	case hostproto.Stop:
		e.What = Stop
		e.of(f.Ref, nil)
	case hostproto.Refused:
		e.What = Refused
		e.of(f.Ref, nil)
	case hostproto.Accepted:
		e.What = Accepted
		e.of(f.Ref, nil)
	case hostproto.Running:
		e.What = Running
		e.of(f.Ref, nil)
	case hostproto.Ended:
		e.What, e.Result = Ended, results[f.Result]
		e.of(f.Ref, nil)
	case hostproto.Drain:
		e.What, e.On = Drain, f.On
	case hostproto.Welcome:
		e.What, e.Epoch, e.On = Welcome, f.Epoch, f.Draining
	case hostproto.Holds:
		out := make([]Event, len(f.Held))
		for i := range f.Held {
			h := &f.Held[i]
			out[i] = e
			out[i].What, out[i].Result = Held, phases[h.Phase]
			out[i].of(h.Ref, &h.Spec)
		}
		return out
	default:
		return nil
	}
	return []Event{e}
}

var (
	results = [...]string{"done", "failed", "evicted", "pushed-out", "sent-away", "stopped", "called", "forgotten"}
	phases  = [...]string{"in-line", "starting", "running"}
)

func (e *Event) of(r hostproto.Ref, s *hostproto.Spec) {
	e.RefEpoch, e.Task, e.Attempt = r.Epoch, r.Task, r.Attempt
	if s != nil {
		e.Key, e.Service, e.Name, e.Class = s.Key, s.Service, s.Name, s.Class
	}
}
