package capture

import "forkhead/internal/protocol/hostproto"

// FrameEvents adds what a frame between a placer and a host says to an event that names its ends, and
// returns it; a frame of which no rule speaks comes to none, and Holds to one for each attempt.
// Both ends note frames by it, so that they can be held against each other.
func FrameEvents(e Event, f hostproto.Frame) []Event {
	switch f := f.(type) {
	case hostproto.Hello:
		e.Type = Hello
	case hostproto.Offer:
		e.Type = Offer
		e.of(f.Ref, &f.Spec)
	case hostproto.Withdraw:
		e.Type = Withdraw
		e.of(f.Ref, nil)
	case hostproto.Stop:
		e.Type = Stop
		e.of(f.Ref, nil)
	case hostproto.Refused:
		e.Type = Refused
		e.of(f.Ref, nil)
	case hostproto.Accepted:
		e.Type = Accepted
		e.of(f.Ref, nil)
	case hostproto.Running:
		e.Type = Running
		e.of(f.Ref, nil)
	case hostproto.Ended:
		e.Type, e.Result = Ended, results[f.Result]
		e.of(f.Ref, nil)
	case hostproto.Drain:
		e.Type, e.HostDraining = Drain, f.On
	case hostproto.Welcome:
		e.Type, e.Epoch, e.HostDraining = Welcome, f.Epoch, f.Draining
	case hostproto.Holds:
		out := make([]Event, len(f.Held))
		for i := range f.Held {
			h := &f.Held[i]
			out[i] = e
			out[i].Type, out[i].Result = Holds, phases[h.Phase]
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
