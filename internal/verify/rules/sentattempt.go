package rules

import "time"

// sentState is the state of an attempt as far as its placer can know from the traffic that the placer has read and
// written.
type sentState uint8

const (
	awaitingAnswer sentState = iota // sent and not answered
	mayRun                          // withdrawn, or the connection ended before the answer
	bound                           // the host reported that the task is placed
	unreachable                     // bound, but its connection has ended since
	finished                        // rejected or ended, or the host's incarnation ended
)

// sentAttempt is an attempt as captured at its placer's sockets. Its methods handle the messages and events of the
// attempt.
type sentAttempt struct {
	host             string
	hostEpoch        uint64 // of the host's incarnation
	class            string
	sentAt           time.Duration
	state            sentState
	unreachableSince time.Duration
	reappearedAt     time.Duration // time at which the host reported an attempt in state mayRun as bound; 0: never
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

// onFinished handles the host's rejection, its message that the attempt ended, or the end of the host's incarnation.
// The state is final.
func (a *sentAttempt) onFinished() { a.state = finished }

// onWithdrawn handles the placer's Withdraw: the placer no longer waits for the answer.
func (a *sentAttempt) onWithdrawn() {
	if a.state == awaitingAnswer {
		a.state = mayRun
	}
}

// onStop handles the placer's Stop. If the host reported the attempt as bound in the same step, although the placer no
// longer waited for the answer, the attempt no longer counts as placed, because the placer doesn't want the task. Any
// other attempt counts until the host reports that it ended.
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
