package platform

import (
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/invariant"
)

// requestPhase is the phase of a placement request.
type requestPhase uint8

const (
	requestOpen     requestPhase = iota // the owner waits for the answer
	requestPlaced                       // a host runs the task
	requestEnding                       // the owner or the module has ended the task, and the host must confirm that
	requestFinished                     // no message is awaited; removed once no attempt is in flight
)

// request is a placement request of an owner or a task that was handed over.
type request struct {
	id                     forkhead.TaskID // number of the request at this placer
	ref                    requestRef
	owner                  OwnerID // connection on which the request last came; may be closed
	ownerAddress           string  // address that the connection came from
	task                   forkhead.Task
	class                  *forkhead.Class
	size                   int              // bytes that the request holds while it is open
	digest                 uint64           // hash of the content, to recognize a resubmission
	description            []byte           // forwarded to hosts unchanged; nil once the request is answered
	hostFields             []platform.Field // forwarded to hosts unchanged; nil once the request is answered
	lifecycle              attempt.Request  // state machine of the answer and the attempts
	attempts               []*taskAttempt   // by attempt number; nil: never started
	phase                  requestPhase
	isTakenOver            bool // a hand-over has added the task, which counts in Core.takenOver
	isMigrationUndelivered bool // the module has ended the task, and the owner's connection was not open then
}

// newRequest adds an open request without attempts.
func (c *Core) newRequest(owner *ownerConnection, decoded *decodedRequest) *request {
	c.lastTask++
	decoded.task.ID = c.lastTask
	class := &c.settings.Classes[decoded.task.Class]
	r := &request{id: c.lastTask, ref: decoded.ref, task: decoded.task, class: class, digest: decoded.digest}
	r.setOwner(owner)
	r.lifecycle = attempt.Request{
		Rules: attempt.Rules{
			Effect: class.Effect, DedupDomain: class.DedupDomain, DedupWindow: class.DedupWindow,
			MaxAttempts: c.settings.MaxAttempts, Parallel: c.settings.ParallelAttempts,
		},
		Deadline: c.now + decoded.task.Timeout,
	}
	c.requests[r.id], c.requestsByRef[r.ref] = r, r
	return r
}

// setOwner sets the connection on which the request last came.
func (r *request) setOwner(owner *ownerConnection) { r.owner, r.ownerAddress = owner.id, owner.address }

// isBusy reports whether a further request of an owner must be rejected because of a limit or a shutdown. The request
// would hold size bytes.
func (c *Core) isBusy(owner *ownerConnection, size int) bool {
	return c.unanswered >= maxOpenRequests || len(owner.openRequests) >= maxOpenRequestsPerOwner ||
		c.exceedsMemory(owner, size) || c.shutdown.rejectsRequests(c.now)
}

// exceedsMemory reports whether a further request would exceed MaxOpenRequestBytes and its owner's share of it. The shares
// of all owners with open requests are equal, so that an owner that sends many or large requests does not keep others
// from theirs.
func (c *Core) exceedsMemory(owner *ownerConnection, size int) bool {
	limit := c.config.MaxOpenRequestBytes
	if limit == 0 || c.openBytes+size <= limit {
		return false
	}
	sharing := 1
	for _, other := range c.owners {
		if other != owner && len(other.openRequests) > 0 {
			sharing++
		}
	}
	return owner.openBytes+size > limit/sharing
}

// requestSize returns the number of bytes that a request holds while it is open.
func requestSize(description []byte, fields []platform.Field) int {
	size := requestOverhead + cap(description)
	for _, field := range fields {
		size += cap(field.Raw)
	}
	return size
}

// openRequest adds a request and passes it to the module. The fields are forwarded to hosts.
func (c *Core) openRequest(owner *ownerConnection, decoded *decodedRequest, description []byte, fields []platform.Field) {
	r := c.newRequest(owner, decoded)
	r.description, r.hostFields, r.size = description, fields, requestSize(description, fields)
	c.unanswered++
	c.openBytes += r.size
	owner.addOpen(r)
	c.addDeadline(r.lifecycle.Deadline, r.id)
	c.notifyModule(forkhead.PlacementRequest{Task: r.task})
}

// forwardedFields returns the fields of an owner's request that are forwarded to hosts, unchanged.
func forwardedFields(m *platform.Message, effect forkhead.Effect) []platform.Field {
	names := []platform.FieldName{platform.FieldClass, platform.FieldTaskKey}
	if effect == forkhead.Keyed {
		names = append(names, platform.FieldIdempotencyKey)
	}
	fields := make([]platform.Field, len(names))
	for i, name := range names {
		fields[i] = platform.Field{Name: name, Raw: m.Fields[name]}
	}
	return fields
}

// executeReject executes the module's Reject.
func (c *Core) executeReject(action forkhead.Reject) {
	r := c.requests[action.Task]
	if r == nil || r.phase != requestOpen {
		return
	}
	if !c.checkAnswerOrWithdraw(r, attempt.AnsweredRejected) {
		c.answer(r, attempt.AnsweredFailed, releaseMessage(r.ref, platform.CauseFailed))
		c.logFailed(r.ref, reasonMayHaveRun)
		return
	}
	c.answer(r, attempt.AnsweredRejected, rejectMessage(r.ref, action.RetryAfter))
	c.logRejected(r.ref, reasonPolicy)
}

// failRequest answers an open request as failed, which states nothing about whether its task ran. failRequest also
// executes the module's Fail.
func (c *Core) failRequest(id forkhead.TaskID, reason logReason) {
	r := c.requests[id]
	if r == nil || r.phase != requestOpen {
		return
	}
	// The result is not needed: if attempts in flight forbid the failure, checkAnswerOrWithdraw withdraws them.
	c.checkAnswerOrWithdraw(r, attempt.AnsweredFailed)
	c.answer(r, attempt.AnsweredFailed, releaseMessage(r.ref, platform.CauseFailed))
	c.logFailed(r.ref, reason)
}

// checkAnswerOrWithdraw reports whether an open request may now be given the answer. If not, it logs the violation and
// withdraws all attempts in flight, so that the request can be failed.
func (c *Core) checkAnswerOrWithdraw(r *request, answer attempt.Answer) bool {
	if !c.settings.MayWithdraw {
		// An attempt that may not be withdrawn stays in flight until its owner stops waiting, and the module answers
		// the request only at that time. From then on no outcome is awaited, and nothing is sent to the host.
		c.withdrawAll(r, forkhead.Withdrawn, true)
	}
	violation := invariant.CheckAnswer(&r.lifecycle, answer == attempt.AnsweredRejected)
	if violation == nil {
		return true
	}
	c.logViolation(messageAnswerVetoed, taskAttr(r.id), errorAttr(violation))
	c.withdrawAll(r, forkhead.Withdrawn, true)
	return false
}

// answer answers and closes an open request that was not placed.
func (c *Core) answer(r *request, answer attempt.Answer, message []byte) {
	r.lifecycle.Finish(answer == attempt.AnsweredRejected)
	c.closeRequest(r, requestFinished)
	c.emit(SendToOwner{r.owner, message})
	if answer != attempt.AnsweredRejected {
		c.rememberAnswered(r, message)
	}
}

// closeRequest moves an open request to its next phase.
func (c *Core) closeRequest(r *request, next requestPhase) {
	r.phase = next
	c.unanswered--
	c.openBytes -= r.size
	if owner := c.owners[r.owner]; owner != nil {
		owner.removeOpen(r)
	}
	r.description, r.hostFields = nil, nil
	if next == requestFinished {
		c.finished = append(c.finished, r)
	}
}

// cancelRequest closes an open request whose owner no longer waits for its answer.
func (c *Core) cancelRequest(r *request) {
	c.notifyModule(forkhead.RequestCanceled{Task: r.id})
	c.closeRequest(r, requestFinished)
	r.lifecycle.Finish(false) // the lifecycle has no answer for a canceled request, so the request counts as AnsweredFailed
	c.withdrawAll(r, forkhead.Withdrawn, true)
	c.rememberCanceled(r)
}

// handleDeadline withdraws all attempts of an open request at the timeout of one of them or at the request's deadline.
// A request that the module has not answered by its deadline fails.
func (c *Core) handleDeadline(id forkhead.TaskID) {
	r := c.requests[id]
	if r == nil || r.phase != requestOpen {
		return
	}
	c.withdrawAll(r, forkhead.TimedOut, false)
	c.runModule()
	if r.phase == requestOpen && c.now >= r.lifecycle.Deadline {
		c.logViolation(messageNoAnswer, taskAttr(id))
		c.notifyModule(forkhead.RequestCanceled{Task: id})
		c.failRequest(id, reasonExpired)
	}
}

// placedAttempt returns the attempt whose host runs the task, or nil if none does.
func (r *request) placedAttempt() *taskAttempt {
	for _, a := range r.attempts {
		if a != nil && a.isPlaced() {
			return a
		}
	}
	return nil
}

// removeFinished removes the finished requests for which no further message is expected.
func (c *Core) removeFinished() {
	for _, r := range c.finished {
		if r.phase != requestFinished || r.lifecycle.HasAttemptInFlight() || r.placedAttempt() != nil {
			continue
		}
		if r.isTakenOver && c.requests[r.id] == r {
			c.takenOver--
		}
		delete(c.requests, r.id)
		if c.requestsByRef[r.ref] == r {
			delete(c.requestsByRef, r.ref)
		}
	}
	c.finished = c.finished[:0]
}

func (r *request) untilDeadline(now time.Duration) time.Duration { return r.lifecycle.Deadline - now }
