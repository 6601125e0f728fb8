package capture

import "forkhead/internal/protocol/hostproto"

// FrameEvents returns the events of a frame between a placer and a host. The parameter e has the time and the names of
// the placer and the host. Each event is a copy of e with the content of the frame. A Holds frame results in one event
// for each attempt that it lists. A frame to which no rule applies results in no event. Both ends capture their frames
// with FrameEvents, so that the two captures can be compared.
func FrameEvents(e Event, f hostproto.Frame) []Event {
	switch f := f.(type) {
	case hostproto.Hello:
		e.Type = Hello
	case hostproto.Offer:
		e.setAttempt(Offer, f.Ref)
		e.setSpec(&f.Spec)
	case hostproto.Withdraw:
		e.setAttempt(Withdraw, f.Ref)
	case hostproto.Stop:
		e.setAttempt(Stop, f.Ref)
	case hostproto.Refused:
		e.setAttempt(Refused, f.Ref)
	case hostproto.Accepted:
		e.setAttempt(Accepted, f.Ref)
	case hostproto.Running:
		e.setAttempt(Running, f.Ref)
	case hostproto.Ended:
		e.setAttempt(Ended, f.Ref)
		e.Result = resultNames[f.Result]
	case hostproto.Drain:
		e.Type, e.HostDraining = Drain, f.On
	case hostproto.Welcome:
		e.Type, e.Epoch, e.HostDraining = Welcome, f.Epoch, f.Draining
	case hostproto.Holds:
		return holdsEvents(e, f.Held)
	default:
		return nil
	}
	return []Event{e}
}

func holdsEvents(e Event, attempts []hostproto.Held) []Event {
	events := make([]Event, len(attempts))
	for i := range attempts {
		events[i] = e
		events[i].setAttempt(Holds, attempts[i].Ref)
		events[i].setSpec(&attempts[i].Spec)
		events[i].Result = phaseNames[attempts[i].Phase]
	}
	return events
}

// Values of Event.Result in captures, for each hostproto.Result and each hostproto.Phase.
var (
	resultNames = [...]string{
		hostproto.Done: "done", hostproto.Failed: "failed", hostproto.Evicted: "evicted", hostproto.Preempted: "pushed-out",
		hostproto.Dismissed: "sent-away", hostproto.Stopped: "stopped", hostproto.Canceled: "called", hostproto.Forgotten: "forgotten",
	}
	phaseNames = [...]string{
		hostproto.PhaseQueued: "in-line", hostproto.PhaseStarting: "starting", hostproto.PhaseRunning: "running",
	}
)

func (e *Event) setAttempt(t EventType, ref hostproto.Ref) {
	e.Type, e.RefEpoch, e.Task, e.Attempt = t, ref.Epoch, ref.Task, ref.Attempt
}

func (e *Event) setSpec(s *hostproto.Spec) {
	e.Key, e.Service, e.Name, e.Class = s.Key, s.Service, s.Name, s.Class
}
