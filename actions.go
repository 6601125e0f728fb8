package forkhead

import "time"

// Action is an output of Placer.Step.
type Action interface{ action() }

// AllPlacers as the receiver of Gossip stands for all other placers.
const AllPlacers = -1

// The actions that Placer.Step returns.
type (
	// Offer starts an attempt: it offers the task to the machine. The attempts of a request are numbered from 0.
	// Timeout is the time to wait for the answer. This package always sets it to 0, which means that the wait lasts
	// until the owner gives up.
	Offer struct {
		Task    TaskID
		Machine MachineID
		Timeout time.Duration
	}
	// Reject ends a request and tells the owner that a retry is harmless. RetryAfter is the delay before the retry.
	// This package always sets it to 0, which leaves the delay to the owner.
	Reject struct {
		Task       TaskID
		RetryAfter time.Duration
	}
	// Fail ends a request without a promise that a retry is harmless.
	Fail struct{ Task TaskID }
	// Withdraw stops waiting for the answer to an attempt; the machine may still accept it.
	Withdraw struct {
		Task    TaskID
		Attempt int
	}
	// Stop stops a placed task in order to migrate it; its owner then requests it again.
	Stop struct{ Task TaskID }
	// SetTimer requests a TimerFired event at the time At.
	SetTimer struct {
		Timer uint64
		At    time.Duration
	}
	// Probe sends a health check to a machine; the answer is a Probed event.
	Probe struct{ Machine MachineID }
	// Gossip sends at most 256 bytes to a placer or to AllPlacers. The message may be lost.
	Gossip struct {
		To   int
		Data []byte
	}
	// Subscribe requests that changes of the machine list are reported from now on.
	Subscribe struct{}
	// Log is a message for the operator on call.
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
