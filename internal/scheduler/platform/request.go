package platform

import (
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/invariant"
)

// requestPhase is what is awaited for a placement request.
type requestPhase uint8

const (
	requestOpen     requestPhase = iota // the answer to its owner
	requestPlaced                       // the end of its task, which a host runs
	requestEnding                       // its host's confirmation that the task is stopped, as its owner or the module wants
	requestFinished                     // nothing: it can be removed once none of its attempts is in flight
)

// request is one placement request of an owner, or a task that was handed over.
type request struct {
	id          forkhead.TaskID // its number at this placer
	ref         requestRef
	owner       OwnerID // connection that it came on last; it may be closed
	task        forkhead.Task
	class       *forkhead.Class
	digest      uint64           // of what its owner sent, to recognize a resubmission
	description []byte           // forwarded to hosts as it came; nil once it is answered
	hostFields  []platform.Field // forwarded to hosts as they came; nil once it is answered
	lifecycle   attempt.Request  // state machine of its answer and its attempts
	attempts    []*taskAttempt   // by number; nil: never started
	phase       requestPhase
}

// newRequest adds a request, which is open and has no attempts.
func (c *Core) newRequest(owner *ownerConnection, decoded *decodedRequest) *request {
	c.lastTask++
	decoded.task.ID = c.lastTask
	class := &c.settings.Classes[decoded.task.Class]
	r := &request{id: c.lastTask, ref: decoded.ref, owner: owner.id, task: decoded.task, class: class, digest: decoded.digest}
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

// isBusy reports whether a further request of an owner must be rejected.
func (c *Core) isBusy(owner *ownerConnection) bool {
	return c.unanswered >= maxOpenRequests || len(owner.openRequests) >= maxOpenRequestsPerOwner ||
		c.shutdown.rejectsRequests(c.now)
}

// openRequest opens a request and gives it to the module.
func (c *Core) openRequest(owner *ownerConnection, decoded *decodedRequest, m *platform.Message) {
	r := c.newRequest(owner, decoded)
	r.description = m.Description
	r.hostFields = forwardedFields(m, r.class.Effect)
	c.unanswered++
	owner.openRequests[r] = struct{}{}
	c.addDeadline(r.lifecycle.Deadline, r.id)
	c.notifyModule(forkhead.PlacementRequest{Task: r.task})
}

// forwardedFields are those of an owner's request that hosts get, as they came.
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
		return
	}
	c.answer(r, attempt.AnsweredRejected, rejectMessage(r.ref, action.RetryAfter))
}

// failRequest executes the module's Fail: it answers an open request and leaves open what ran.
func (c *Core) failRequest(id forkhead.TaskID) {
	r := c.requests[id]
	if r == nil || r.phase != requestOpen {
		return
	}
	c.checkAnswerOrWithdraw(r, attempt.AnsweredFailed) // even if it is not legal yet: then it is once nothing is in flight
	c.answer(r, attempt.AnsweredFailed, releaseMessage(r.ref, platform.CauseFailed))
}

// checkAnswerOrWithdraw reports whether an open request may have this answer now. If not, it logs the violation and withdraws
// whatever is in flight, so that the request can be failed.
func (c *Core) checkAnswerOrWithdraw(r *request, answer attempt.Answer) bool {
	if !c.settings.MayWithdraw {
		// An attempt that may not be withdrawn is in flight until its owner stops waiting, which is when the module answers:
		// nothing more is awaited, and its host is sent nothing.
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

// answer ends an open request that was not placed.
func (c *Core) answer(r *request, answer attempt.Answer, message []byte) {
	r.lifecycle.Finish(answer == attempt.AnsweredRejected)
	c.closeRequest(r, requestFinished)
	c.notifyOwner(r, message)
}

// closeRequest moves a request that is open to its next phase.
func (c *Core) closeRequest(r *request, next requestPhase) {
	r.phase = next
	c.unanswered--
	if owner := c.owners[r.owner]; owner != nil {
		delete(owner.openRequests, r)
	}
	r.description, r.hostFields = nil, nil
	if next == requestFinished {
		c.finished = append(c.finished, r)
	}
}

// cancelRequest ends an open request whose owner does not wait for its answer any more.
func (c *Core) cancelRequest(r *request) {
	c.notifyModule(forkhead.RequestCanceled{Task: r.id})
	c.closeRequest(r, requestFinished)
	r.lifecycle.Finish(false) // its lifecycle has no end of its own for a canceled request: it counts as AnsweredFailed
	c.withdrawAll(r, forkhead.Withdrawn, true)
}

// handleDeadline ends all attempts of an open request at the timeout of one of them, or at the request's deadline. The module
// answers by the deadline; if it does not, the request fails.
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
		c.failRequest(id)
	}
}

// placedAttempt is the attempt whose host runs the task; nil: none does.
func (r *request) placedAttempt() *taskAttempt {
	for _, a := range r.attempts {
		if a != nil && a.isPlaced() {
			return a
		}
	}
	return nil
}

// removeFinished removes requests that get no further messages.
func (c *Core) removeFinished() {
	for _, r := range c.finished {
		if r.phase != requestFinished || r.lifecycle.HasAttemptInFlight() || r.placedAttempt() != nil {
			continue
		}
		delete(c.requests, r.id)
		if c.requestsByRef[r.ref] == r {
			delete(c.requestsByRef, r.ref)
		}
	}
	c.finished = c.finished[:0]
}

func (r *request) untilDeadline(now time.Duration) time.Duration { return r.lifecycle.Deadline - now }
