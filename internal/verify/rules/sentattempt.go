package rules

import "time"

// sentState is how far an attempt is, by what its placer has read and written.
type sentState uint8

const (
	awaitingAnswer sentState = iota // sent, and not answered
	mayRun                          // withdrawn, or its answer was lost
	bound                           // the host reported that the task is placed
	unreachable                     // bound, and its connection has ended since
	over                            // rejected or ended, or its host ended
)

// sentAttempt is an attempt as its placer's sockets show it. Its methods are the messages on it.
type sentAttempt struct {
	host             string
	hostEpoch        uint64 // of the host's incarnation
	class            string
	sentAt           time.Duration
	state            sentState
	unreachableSince time.Duration
	reappearedAt     time.Duration // the host reported that it is bound after it was taken to be mayRun; 0: it never did
}

// onBound handles the host's message that the task is placed.
func (a *sentAttempt) onBound(at time.Duration) {
	switch a.state {
	case mayRun:
		a.reappearedAt = at
		a.state = bound
	case awaitingAnswer, unreachable:
		a.state = bound
	}
}

// onOver handles the host's rejection, its message that the attempt ended, or the end of the host's incarnation. Nothing changes
// its state after that.
func (a *sentAttempt) onOver() { a.state = over }

// onWithdrawn records that the placer no longer waits for the answer.
func (a *sentAttempt) onWithdrawn() {
	if a.state == awaitingAnswer {
		a.state = mayRun
	}
}

// onStop handles the placer's Stop. One that reappeared in the same step is not wanted; all others count until their host
// says that they ended.
func (a *sentAttempt) onStop(at time.Duration) {
	if a.state == bound && a.reappearedAt == at {
		a.state = mayRun
	}
}

// onDisconnected handles the end of the connection to the host.
func (a *sentAttempt) onDisconnected(at time.Duration) {
	switch a.state {
	case awaitingAnswer:
		a.state = mayRun
	case bound:
		a.state, a.unreachableSince = unreachable, at
	case unreachable:
		a.unreachableSince = at
	}
}
