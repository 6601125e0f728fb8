package core

import (
	"forkhead"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/durable"
)

// countPossibleRuns returns the number of attempts of a replica that may have run and that no reported outcome tells
// of. It covers all requests for the replica, since an attempt of an earlier request may have run as well.
func (c *Core) countPossibleRuns(r *desiredReplica) int {
	n := len(c.unknownAttempts[r.taskKey])
	if r.endedRun != nil {
		n++
	}
	if r.request == nil {
		return n
	}
	for i := range r.request.Attempts {
		if r.request.Attempts[i].Phase == attempt.InFlight {
			n++
		}
	}
	return n
}

// resolveAttempt handles the end of an attempt for the record of what may have run. An attempt that may have run, of
// a replica whose outcome is pending, stays recorded until the outcome is reported. One such attempt decides as much as
// several do, so a replica keeps one.
func (c *Core) resolveAttempt(a *taskAttempt, ch *attemptChange) {
	r := a.request.replica
	mayHaveRun := ch.after.MayHaveRun() && !ch.wasPlaced() && ch.input != attempt.Adopted
	if mayHaveRun && r.pending != nil && r.endedRun == nil {
		r.endedRun = a
		return
	}
	c.persistResolved(a)
}

// handleSettled handles that the result of an unknown attempt is known now. A task that ended by itself ends its
// replica, unless the restart policy starts it again. In all other cases the replica may be requested again.
func (c *Core) handleSettled(a *taskAttempt, ch *attemptChange) {
	r, ended := a.request.replica, ch.detail
	endedByItself := ch.input == attempt.Ended && (ended.result == forkhead.OK || ended.result == forkhead.Errored)
	if succeeded := ended.result == forkhead.OK; endedByItself && r.awaitsEndOf(a) && !c.allowRestart(r, succeeded) {
		c.finishUnplaced(r, a, succeeded)
		return
	}
	c.unblock(r.taskKey)
}

// awaitsEndOf reports whether the end of an attempt, which its replica was not placed by, is the end of the task that
// the replica stands for: no other attempt is in the attempt's place, and the replica has the version that ran.
func (r *desiredReplica) awaitsEndOf(a *taskAttempt) bool {
	waits := r.state == awaitingDependencies || r.state == awaitingRequest || r.state == requesting
	if !waits || r.removed || r.removing || r.isSpecLost() || r.hasAttemptInFlight() {
		return false
	}
	return a.fingerprint == r.fingerprint || a.fingerprint == 0
}

// finishUnplaced ends a replica whose task has run to its end while the result of its attempt was unknown, and reports
// the outcome if that is pending.
func (c *Core) finishUnplaced(r *desiredReplica, a *taskAttempt, succeeded bool) {
	c.cancelRequest(r)
	if succeeded {
		c.reportOutcome(r, OutcomePlaced, a.host, "")
		c.replacePredecessor(r)
	} else {
		c.reportOutcome(r, OutcomeFailed, nil, "its attempt at "+a.host.name+" ended with a failure")
	}
	c.forgetEndedRun(r)
	c.reportUpdateResult(r, succeeded)
	if c.blockedReplicas[r.taskKey] == r {
		delete(c.blockedReplicas, r.taskKey)
	}
	r.requestTimerSeq++
	r.blocked = false
	c.finish(r, succeeded)
}

// forgetEndedRun deletes the record of a replica's ended attempt, once an outcome tells of it or nobody awaits one.
func (c *Core) forgetEndedRun(r *desiredReplica) {
	if r.endedRun == nil {
		return
	}
	c.persistResolved(r.endedRun)
	r.endedRun = nil
}

// persistResolved deletes the durable record of an attempt, if it has one.
func (c *Core) persistResolved(a *taskAttempt) {
	if a.persisted {
		c.persist(durable.AttemptResolved{Ref: a.ref})
	}
}
