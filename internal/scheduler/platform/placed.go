package platform

import (
	"log/slog"

	"forkhead"
	"forkhead/internal/protocol/platform"
	"forkhead/internal/scheduler/attempt"
)

// reportedEnd is what is remembered of the end of a task: CauseOK, CauseReset or CauseMigrated, as its host has reported it,
// or causeOwnerKnows.
type reportedEnd struct {
	attemptKey
	cause platform.Cause
}

// causeOwnerKnows is remembered of a task whose owner knows that it has ended: to a hand-over that comes after its end
// nothing is sent, as after a migration that the host has reported.
const causeOwnerKnows = platform.CauseMigrated

// possibleOrphan is an attempt whose answer was lost with its connection: its host may run the task.
type possibleOrphan struct {
	host *host
	ref  requestRef
}

// stopPossibleOrphans stops tasks that may run though no answer came, as nothing else would end them. A task that was
// offered to the same host again is that host's to sort out.
func (c *Core) stopPossibleOrphans() {
	for _, orphan := range c.possibleOrphans {
		if conn := orphan.host.leastBusyConnection(); conn != nil && orphan.host.attempts[orphan.ref] == nil {
			c.sendStop(conn, orphan.ref)
		}
	}
	c.possibleOrphans = c.possibleOrphans[:0]
}

// sendStop notifies a host that an offer is withdrawn, or that a task is to end.
func (c *Core) sendStop(conn *hostConnection, ref requestRef) {
	c.emit(SendToHost{Connection: conn.id, Line: stopMessage(ref)})
}

// executeStop executes the module's Stop: the task ends, and its owner requests it again.
func (c *Core) executeStop(id forkhead.TaskID) {
	if r := c.requests[id]; r != nil && r.phase == requestPlaced {
		c.notifyOwner(r, migrateMessage(r.ref))
		c.beginStop(r)
	}
}

// beginStop begins to stop a placed task at its host. The host's answer, or the stop's deadline without one, ends it:
// finishTask then makes the outcome.
func (c *Core) beginStop(r *request) {
	a := r.placedAttempt()
	if a == nil || r.phase != requestPlaced {
		return
	}
	r.phase = requestEnding
	c.sendOrDeferStop(a)
}

// sendOrDeferStop sends the stop of a task to its host, if a connection is open; if not, sendDeferredStops does on the next
// one.
func (c *Core) sendOrDeferStop(a *taskAttempt) {
	a.stopDeadline = c.now + stopTimeout
	if conn := a.host.leastBusyConnection(); conn != nil {
		a.stopSent = true
		c.sendStop(conn, a.request.ref)
	}
}

// expireStops ends tasks whose host has not confirmed in time that they are stopped, or could not be sent the stop.
func (c *Core) expireStops(h *host) {
	expired := h.attemptsWhere(func(a *taskAttempt) bool {
		return a.request.phase == requestEnding &&
			(a.stopSent && c.now > a.stopDeadline || c.now > a.stopDeadline+undeliveredTimeout)
	})
	for _, a := range expired {
		c.finishTask(a, platform.CauseMigrated, attemptEnd{})
	}
}

// finishTask ends a placed task, by its host's report or by what proves that it has ended, and releases it to its owner,
// unless the owner or the module has ended it. Of end only the reason and the report are taken.
func (c *Core) finishTask(a *taskAttempt, cause platform.Cause, end attemptEnd) {
	r := a.request
	cause = endCause(cause)
	end.input, end.result, end.final = attempt.Ended, taskResult(r.phase, cause), true
	c.uncountPlaced(r)
	remembered := reportedEnd{a.key(), causeOwnerKnows}
	if r.phase == requestPlaced && cause != platform.CauseMigrated && !c.notifyOwner(r, releaseMessage(r.ref, cause)) {
		remembered.cause = cause // the release could not be delivered
	}
	c.reportedEnds.add(remembered)
	r.phase = requestFinished
	c.endAttempt(a, end)
}

// taskResult is the result of a placed task that ended in this phase of its request.
func taskResult(phase requestPhase, cause platform.Cause) forkhead.Result {
	switch {
	case phase == requestEnding || cause == platform.CauseMigrated:
		return forkhead.Withdrawn
	case cause == platform.CauseOK:
		return forkhead.OK
	}
	return forkhead.Reset
}

// endCause is the cause of the end of a placed task: whatever is neither CauseOK nor CauseMigrated is CauseReset.
func endCause(cause platform.Cause) platform.Cause {
	if cause == platform.CauseOK || cause == platform.CauseMigrated {
		return cause
	}
	return platform.CauseReset
}

// endLostTasks ends the placed tasks of a host that cannot run them any more.
func (c *Core) endLostTasks(h *host, reason logReason) {
	lost := h.attemptsWhere((*taskAttempt).isPlaced)
	for _, a := range lost {
		c.finishTask(a, platform.CauseReset, attemptEnd{})
	}
	if len(lost) > 0 {
		c.logInfo(messageTasksLost, hostAttr(h.name), reasonAttr(reason), slog.Int(keyTasks, len(lost)))
	}
}
