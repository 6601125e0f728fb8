package forkhead

import "time"

// Event is an input of Placer.Step.
type Event interface{ event() }

// ListMode says which entries a ListUpdate holds.
type ListMode uint8

// The modes of a ListUpdate.
const (
	ListCached   ListMode = iota // all entries, as this placer last stored them
	ListSnapshot                 // all entries
	ListDelta                    // changed entries only
	ListFailed                   // no entries: a poll failed or the watch broke
)

// The events that Placer.Step accepts.
type (
	// ListUpdate is the state of the machine list, its changes, or a failure to get the list.
	ListUpdate struct {
		Mode     ListMode
		Machines []Machine
	}
	// PlacementRequest requests a machine for a task.
	PlacementRequest struct{ Task Task }
	// HandedOver hands over a task that already runs; its attempt 0 is bound.
	HandedOver struct {
		Task    Task
		Machine MachineID
	}
	// Bound reports that a machine has bound the task of an attempt.
	Bound struct {
		Task    TaskID
		Attempt int
		Machine MachineID
		Took    time.Duration // since the offer
	}
	// Note reports the state or the resource usage of an attempt's task.
	Note struct {
		Task    TaskID
		Attempt int
		Machine MachineID
		Kind    NoteKind
		Amount  float64
	}
	// Outcome reports that an attempt has ended.
	Outcome struct {
		Task    TaskID
		Attempt int
		Machine MachineID
		Result  Result
		Reason  RejectReason
		Took    time.Duration // since the offer
		Final   bool          // the request needs no answer any more
		// Unconfirmed says that the machine may still run the task, or may still start it. The attempt counts toward the
		// limits of its service and its machine until an EndConfirmed event.
		Unconfirmed bool
		Report      *LoadReport // nil: none
	}
	// EndConfirmed reports that the machine does not run the task of an attempt whose outcome was unconfirmed.
	EndConfirmed struct {
		Task    TaskID
		Attempt int
	}
	// RequestCanceled reports that the owner no longer waits for the answer to a request.
	RequestCanceled struct{ Task TaskID }
	// TimerFired reports that a timer of a SetTimer action is due.
	TimerFired struct{ Timer uint64 }
	// Probed is the result of a Probe action.
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
func (EndConfirmed) event()     {}
func (RequestCanceled) event()  {}
func (TimerFired) event()       {}
func (Probed) event()           {}
func (GossipReceived) event()   {}
