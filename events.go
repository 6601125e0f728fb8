package forkhead

import "time"

// Event is something that a placer observes.
type Event interface{ event() }

// ListMode says how a ListUpdate is to be read.
type ListMode uint8

// The modes of a list.
const (
	ListCached   ListMode = iota // complete, as this placer last stored it
	ListSnapshot                 // complete
	ListDelta                    // changed entries only
	ListFailed                   // a poll failed or the watch broke
)

// The events.
type (
	// ListUpdate brings the list of machines or its changes.
	ListUpdate struct {
		Mode     ListMode
		Machines []Machine
	}
	// PlacementRequest brings a task to place.
	PlacementRequest struct{ Task Task }
	// HandedOver brings a task that already runs; its attempt 0 is bound.
	HandedOver struct {
		Task    Task
		Machine MachineID
	}
	// Bound says that a machine has bound the task of an attempt.
	Bound struct {
		Task    TaskID
		Attempt int
		Machine MachineID
		Took    time.Duration // since the offer
	}
	// Note reports something of an attempt's task.
	Note struct {
		Task    TaskID
		Attempt int
		Machine MachineID
		Kind    NoteKind
		Amount  float64
	}
	// Outcome says that an attempt is over.
	Outcome struct {
		Task    TaskID
		Attempt int
		Machine MachineID
		Result  Result
		Reason  RejectReason
		Took    time.Duration // since the offer
		Final   bool          // no answer to the request is due any more
		Report  *LoadReport   // nil: none
	}
	// RequestCanceled says that nobody waits for a request any more.
	RequestCanceled struct{ Task TaskID }
	// TimerFired answers SetTimer.
	TimerFired struct{ Timer uint64 }
	// Probed answers Probe.
	Probed struct {
		Machine MachineID
		Result  Result
		Took    time.Duration // since the probe
		Report  *LoadReport   // nil: none
	}
	// GossipReceived is a gossip message from another placer.
	GossipReceived struct {
		From int
		Data []byte
	}
)

func (ListUpdate) event()       {}
func (PlacementRequest) event() {}
func (HandedOver) event()       {}
func (Bound) event()            {}
func (Note) event()             {}
func (Outcome) event()          {}
func (RequestCanceled) event()  {}
func (TimerFired) event()       {}
func (Probed) event()           {}
func (GossipReceived) event()         {}
