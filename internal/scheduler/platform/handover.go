package platform

import (
	"log/slog"
	"slices"

	"forkhead"
	"forkhead/internal/protocol/platform"
	"forkhead/internal/scheduler/attempt"
)

// handleHandOver takes over a task that a host already runs. A task that has ended, according to its host or the endpoint
// list, is released at once; in the latter case it counts until its end is confirmed. A host that is not listed yet is
// accepted, as the endpoint list may be late.
func (c *Core) handleHandOver(owner *ownerConnection, decoded *decodedRequest) {
	h := c.handOverHost(decoded.host)
	if h == nil {
		c.rejectMalformed(owner, decoded.ref)
		return
	}
	if c.config.MaxTakenOverTasks > 0 && c.takenOver >= c.config.MaxTakenOverTasks {
		c.rejectMalformed(owner, decoded.ref)
		return
	}
	owner.recordRequest()
	if cause, ended := c.endBeforeHandOver(h, decoded.ref); ended {
		c.releaseHandedOver(owner, decoded.ref, cause)
		return
	}
	c.logSecondHandOver(h, decoded)
	a := c.takeOver(owner, h, decoded)
	if c.isGone(h) {
		c.finishTask(a, platform.CauseReset, attemptEnd{inferredFrom: reasonRemoved})
	}
}

// handOverHost returns the host with a name, and adds it if it is unknown. It returns nil if no host can have that
// name, or if too many are unlisted.
func (c *Core) handOverHost(name string) *host {
	number, ok := platform.HostNumber(name)
	if !ok {
		return nil
	}
	id := forkhead.MachineID(number)
	h := c.hosts[id]
	if h == nil {
		return c.addUnlistedHost(id, name)
	}
	if h.name != name { // the known host with this number has another name
		return nil
	}
	return h
}

// endBeforeHandOver returns the cause of a task's end if the task has ended before its hand-over. A host reports an end
// only once, so without this check the task would count as running for ever.
func (c *Core) endBeforeHandOver(h *host, ref requestRef) (cause platform.Cause, ended bool) {
	for _, cause := range []platform.Cause{platform.CauseOK, platform.CauseReset, platform.CauseMigrated} {
		if c.reportedEnds.contains(reportedEnd{attemptKey{h.id, ref}, cause}) {
			return cause, true
		}
	}
	return platform.NoCause, false
}

// deliveredRelease identifies the release of a task that was sent on another connection than that of its request.
type deliveredRelease struct {
	owner OwnerID
	ref   requestRef
}

// releaseHandedOver releases a task that has ended before its hand-over, unless its owner knows that it has ended, or the
// release was sent on the same connection before.
func (c *Core) releaseHandedOver(owner *ownerConnection, ref requestRef, cause platform.Cause) {
	c.undelivered = slices.DeleteFunc(c.undelivered, func(m undeliveredMessage) bool { return m.ref == ref })
	notice := deliveredRelease{owner.id, ref}
	if cause != causeOwnerKnows && !c.deliveredReleases.contains(notice) {
		c.deliveredReleases.add(notice)
		c.emit(SendToOwner{owner.id, releaseMessage(ref, cause)})
	}
}

// logSecondHandOver logs a hand-over of a task that the host already runs under another ref. It looks at the latest such
// ref only, so that its cost does not grow with the number of tasks on the host.
func (c *Core) logSecondHandOver(h *host, decoded *decodedRequest) {
	if a := h.latestByKey[decoded.task.Key]; a != nil && a.isPlaced() {
		c.logInfo(messageSecondHandOver, taskKeyAttr(decoded.task.Key), hostAttr(h.name), refAttr(decoded.ref),
			slog.String(keyPlacedRef, string(a.request.ref)))
	}
}

// takeOver adds a task that a host already runs, and returns its attempt.
func (c *Core) takeOver(owner *ownerConnection, h *host, decoded *decodedRequest) *taskAttempt {
	r := c.newRequest(owner, decoded)
	r.phase, r.isTakenOver = requestPlaced, true
	c.takenOver++
	r.lifecycle.Answer = attempt.AnsweredPlaced
	r.lifecycle.Attempts = []attempt.Attempt{{Host: attempt.HostID(h.id), Phase: attempt.Placed, ChosenAt: c.now}}
	a := &taskAttempt{request: r, host: h, sentAt: c.now}
	c.addAttempt(a)
	c.countPlaced(r)
	c.notifyModule(forkhead.HandedOver{Task: r.task, Machine: h.id})
	return a
}
