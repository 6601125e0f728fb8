package forkhead

import "time"

// Action is something that a placer does.
type Action interface{ action() }

// AllPlacers as the receiver of Gossip means all other placers.
const AllPlacers = -1

// The actions.
type (
	// Offer starts an attempt; attempts of one request count from 0.
	Offer struct {
		Task    TaskID
		Machine MachineID
		Timeout time.Duration // 0: until the owner gives up; this module sets no other
	}
	// Reject ends a request and says that trying again is harmless.
	Reject struct {
		Task       TaskID
		RetryAfter time.Duration // 0: not said; this module sets no other
	}
	// Fail ends a request and promises nothing.
	Fail struct{ Task TaskID }
	// Withdraw stops waiting for an attempt; the machine may still accept it.
	Withdraw struct {
		Task    TaskID
		Attempt int
	}
	// Stop stops a placed task, to migrate it; its owner requests it again.
	Stop struct{ Task TaskID }
	// SetTimer asks for TimerFired at a time.
	SetTimer struct {
		Timer uint64
		At    time.Duration
	}
	// Probe checks a machine.
	Probe struct{ Machine MachineID }
	// Gossip sends at most 256 bytes to a placer or to AllPlacers. It may be lost.
	Gossip struct {
		To   int
		Data []byte
	}
	// Subscribe asks for the list's changes from now on.
	Subscribe struct{}
	// Log is a message for whoever is on call.
	Log struct{ Message string }
)

func (Offer) action()     {}
func (Reject) action()    {}
func (Fail) action()      {}
func (Withdraw) action()  {}
func (Stop) action()      {}
func (SetTimer) action()  {}
func (Probe) action()     {}
func (Gossip) action()    {}
func (Subscribe) action() {}
func (Log) action()       {}
