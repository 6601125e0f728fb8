package platform

import (
	"log/slog"

	"forkhead"
	"forkhead/internal/protocol/platform"
	"forkhead/internal/scheduler/attempt"
)

// reportedEnd records the end of a task. Its cause is CauseOK, CauseReset or CauseMigrated as reported by the host, or
// causeOwnerKnows.
type reportedEnd struct {
	attemptKey
	cause platform.Cause
}

// causeOwnerKnows marks a task whose owner knows that it has ended. It is the same as CauseMigrated, the cause of a
// migration that the host has reported: in both cases, a hand-over of the ended task is not answered.
const causeOwnerKnows = platform.CauseMigrated

// sendStop instructs a host to drop an offer or to end a task.
func (c *Core) sendStop(conn *hostConnection, ref requestRef) {
	c.emit(SendToHost{Connection: conn.id, Line: stopMessage(ref)})
}

// executeStop executes the module's Stop: it stops the task and notifies the owner, which then requests it again.
func (c *Core) executeStop(id forkhead.TaskID) {
	r := c.requests[id]
	if r == nil || r.phase != requestPlaced {
		return
	}
	if a := r.placedAttempt(); a != nil {
		r.isMigrationUndelivered = !c.notifyOwner(r, migrateMessage(r.ref), reportedEnd{a.key(), platform.CauseReset})
	}
	c.beginStop(r)
}

// beginStop starts stopping a placed task on its host. The host's answer or the deadline of the stop completes it, and
// finishTask then notifies the module of the outcome.
func (c *Core) beginStop(r *request) {
	a := r.placedAttempt()
	if a == nil || r.phase != requestPlaced {
		return
	}
	r.phase = requestEnding
	a.countsAsEnding = true
	a.host.ending++
	c.sendOrDeferStop(a)
}

// sendOrDeferStop sends the stop of a task to its host if a connection is open. If none is, sendDeferredStops sends the
// stop on the next one.
func (c *Core) sendOrDeferStop(a *taskAttempt) {
	a.stopDeadline = c.now + stopTimeout
	c.sendStopOnOpenConnection(a)
}

// expireStops ends tasks whose stop was sent and which their host has not confirmed by the deadline of the stop. It
// also ends tasks whose stop could not be sent within undeliveredTimeout after that deadline. Either end is unconfirmed.
func (c *Core) expireStops(h *host) {
	if h.ending == 0 { // else each check would look at all tasks of the host
		return
	}
	expired := h.attemptsWhere(func(a *taskAttempt) bool {
		return a.request.phase == requestEnding &&
			(a.stop.connection != nil && c.now > a.stopDeadline || c.now > a.stopDeadline+undeliveredTimeout)
	})
	for _, a := range expired {
		c.finishTask(a, platform.CauseMigrated, attemptEnd{inferredFrom: reasonStopUnanswered})
	}
}

// finishTask ends a placed task, as its host has reported the end or something else shows that it has ended. It
// releases the task to its owner, unless the owner or the module has ended the task. Of the parameter end, only the
// fields reason, report and inferredFrom are used.
func (c *Core) finishTask(a *taskAttempt, cause platform.Cause, end attemptEnd) {
	r := a.request
	cause = endCause(cause)
	end.input, end.result, end.final = attempt.Ended, taskResult(r.phase, cause), true
	c.uncountPlaced(r)
	c.rememberEnd(r.ref, releaseMessage(r.ref, cause))
	isOwed := r.phase == requestPlaced && cause != platform.CauseMigrated
	switch { // the owner may not know of the end if the message about it was not sent on the request's own connection
	case r.isMigrationUndelivered:
		c.reportedEnds.add(reportedEnd{a.key(), platform.CauseReset})
	case isOwed && !c.notifyOwner(r, releaseMessage(r.ref, cause), reportedEnd{a.key(), cause}):
		c.reportedEnds.add(reportedEnd{a.key(), cause})
	default:
		c.reportedEnds.add(reportedEnd{a.key(), causeOwnerKnows})
	}
	r.phase = requestFinished
	c.endAttempt(a, end)
}

// taskResult returns the result of a placed task, given the cause of its end and the phase that its request was in.
func taskResult(phase requestPhase, cause platform.Cause) forkhead.Result {
	switch {
	case phase == requestEnding || cause == platform.CauseMigrated:
		return forkhead.Withdrawn
	case cause == platform.CauseOK:
		return forkhead.OK
	}
	return forkhead.Reset
}

// endCause returns the cause of the end of a placed task: CauseOK and CauseMigrated unchanged, and CauseReset for any
// other cause.
func endCause(cause platform.Cause) platform.Cause {
	if cause == platform.CauseOK || cause == platform.CauseMigrated {
		return cause
	}
	return platform.CauseReset
}

// endLostTasks ends the placed tasks of a host that counts as lost, and logs the reason. The owners are notified, but
// the ends are unconfirmed: the host may only be unreachable.
func (c *Core) endLostTasks(h *host, reason logReason) {
	h.lostAt = c.now
	c.endTasks(h, h.attemptsWhere((*taskAttempt).isPlaced), reason)
}

// endTasks ends placed tasks of a host as lost, and logs the reason.
func (c *Core) endTasks(h *host, lost []*taskAttempt, reason logReason) {
	for _, a := range lost {
		c.finishTask(a, platform.CauseReset, attemptEnd{inferredFrom: reason})
	}
	if len(lost) > 0 {
		c.logInfo(messageTasksLost, hostAttr(h.name), reasonAttr(reason), slog.Int(keyTasks, len(lost)))
	}
}
