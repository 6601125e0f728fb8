package platformmodel

import (
	"strconv"
	"time"

	"forkhead/internal/protocol/platform"
)

// submitAt schedules the submission of a request and the end of the wait for its answer.
func (o *Owner) submitAt(r *ownerRequest, at time.Duration) {
	r.Outcome, r.submissionDueAt, r.cancelAt, r.releaseAt = OutcomePending, at, at+r.Request.Timeout+o.cfg.AnswerGrace, never
	o.timers.Add(r.submissionDueAt, r)
	o.timers.Add(r.cancelAt, r)
}

// advanceRequests handles the timers of requests that are due.
func (o *Owner) advanceRequests() {
	for r := range o.timers.Due(o.now) {
		switch {
		case r.Outcome == OutcomePending && r.submissionDueAt <= o.now && r.ref == "":
			o.submit(r)
		case (r.Outcome == OutcomePending || r.Outcome == OutcomeOpen) && r.cancelAt <= o.now:
			o.cancel(r)
		case r.Outcome == OutcomeRunning && r.releaseAt <= o.now:
			o.release(r)
		}
	}
}

// submit assigns a new ref to a request and queues the submission for its placer.
func (o *Owner) submit(r *ownerRequest) {
	r.ref, r.resent = o.nextRef(), false
	r.Refs = append(r.Refs, r.ref)
	o.byRef[r.ref] = r
	o.enqueue(sendSubmission, r)
}

func (o *Owner) enqueue(kind outgoingKind, r *ownerRequest) {
	p := o.placer(r.Request.Placer)
	p.outgoing = append(p.outgoing, outgoingMessage{kind, r})
}

// send sends a queued message, unless the state of its request has made the message obsolete.
func (o *Owner) send(c *ownerConnection, message outgoingMessage) {
	r := message.request
	class := &o.cfg.Classes[r.Request.Class]
	switch {
	case message.kind == sendSubmission && (r.Outcome == OutcomePending || r.Outcome == OutcomeOpen):
		r.Outcome, r.sentAt = OutcomeOpen, o.now
		o.assignConnection(r, c)
		if r.SubmittedAt == 0 {
			r.SubmittedAt = o.now
		}
		o.add(Send{Conn: c.id, Data: r.encode(o.cfg.Number, class, o.cfg.Tenant, "")})
	case message.kind == sendHandOver && r.Outcome == OutcomeRunning:
		r.HandOvers++
		o.assignConnection(r, c)
		o.add(Send{Conn: c.id, Data: r.encode(o.cfg.Number, class, o.cfg.Tenant, r.Host)})
	case message.kind == sendRelease && r.releaseUnacknowledged:
		r.conn = c.id
		o.sendMessage(c.id, platform.TypeRelease, r.ref, platform.CauseOK)
	}
}

// finish sets the final outcome of a request.
func (o *Owner) finish(r *ownerRequest, outcome Outcome) {
	o.removeFromConnection(r)
	r.Outcome, r.FinishedAt = outcome, o.now
}

// assignConnection moves a request to a connection.
func (o *Owner) assignConnection(r *ownerRequest, c *ownerConnection) {
	o.removeFromConnection(r)
	r.conn = c.id
	c.requests[r] = struct{}{}
}

// removeFromConnection removes a request from the set of requests of its connection.
func (o *Owner) removeFromConnection(r *ownerRequest) {
	if c := o.conns[r.conn]; c != nil {
		delete(c.requests, r)
	}
}

// cancel ends a request that has waited too long for its answer. A submission that was sent is withdrawn.
func (o *Owner) cancel(r *ownerRequest) {
	if c := o.conns[r.conn]; c != nil && r.Outcome == OutcomeOpen {
		o.sendMessage(c.id, platform.TypeRelease, r.ref, platform.CauseOK)
		r.releaseUnacknowledged = true
	}
	o.finish(r, OutcomeGaveUp)
}

// release releases a running task. The message is sent on the current connection to the placer, or on the next one.
func (o *Owner) release(r *ownerRequest) {
	r.releaseUnacknowledged = true
	o.finish(r, OutcomeReleased)
	o.enqueue(sendRelease, r)
}

// handleBound handles the answer which says that a task runs.
func (o *Owner) handleBound(m *platform.Message) {
	r := o.byRef[m.Ref]
	if r == nil {
		return
	}
	r.Answers++
	if r.Outcome != OutcomeOpen || r.ref != m.Ref {
		if !r.releaseUnacknowledged { // if true, the placer sent the answer before it got the release or withdrawal
			r.Unexpected++
		}
		return
	}
	r.Outcome = OutcomeRunning
	r.Host, _ = parseBoundDescription(m.Description)
	if r.Request.ReleaseAfter > 0 {
		r.releaseAt = o.now + r.Request.ReleaseAfter
		o.timers.Add(r.releaseAt, r)
	}
}

// handleRelease handles a rejection, a failure or the end of a task.
func (o *Owner) handleRelease(m *platform.Message) {
	r := o.byRef[m.Ref]
	switch {
	case r == nil:
	case r.ref != m.Ref || r.Outcome.IsFinal() || r.Outcome == OutcomePending:
		if !r.releaseUnacknowledged { // if true, the placer sent the message before it got the release or withdrawal
			r.Unexpected++
		}
	case r.Outcome == OutcomeRunning && m.Cause == platform.CauseOK:
		o.finish(r, OutcomeEnded)
	case r.Outcome == OutcomeRunning:
		o.finish(r, OutcomeBroken)
	case isRejection(m.Cause):
		o.resubmit(r, true, OutcomeRejected, retryAfter(m))
	default:
		o.resubmit(r, false, OutcomeFailed, defaultRetryAfter)
	}
}

// retryAfter returns the time that a rejection asks the owner to wait before the next submission.
func retryAfter(m *platform.Message) time.Duration {
	text, _ := m.Text(platform.FieldRetryAfter)
	millis, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return defaultRetryAfter
	}
	return time.Duration(millis) * time.Millisecond
}

// resubmit schedules another submission of a request. If MaxSubmissions or the request's class don't allow one, it ends
// the request with the outcome in the parameter otherwise. neverRan means that the task of the last submission is known
// not to have run.
func (o *Owner) resubmit(r *ownerRequest, neverRan bool, otherwise Outcome, after time.Duration) {
	o.removeFromConnection(r)
	class := &o.cfg.Classes[r.Request.Class]
	if len(r.Refs) >= o.cfg.MaxSubmissions || !neverRan && !r.maySubmitAgain(class, o.now) {
		o.finish(r, otherwise)
		return
	}
	r.failed = r.failed || !neverRan
	r.ref = ""
	o.submitAt(r, o.now+after)
}

// handleLostConnection handles the end of the connection on which a request waits for its answer. If the placer may have
// closed the connection before it read the request, the request is sent again once, under the same ref.
func (o *Owner) handleLostConnection(r *ownerRequest) {
	if o.now < r.sentAt+inFlightWindow && !r.resent {
		r.resent = true
		o.enqueue(sendSubmission, r)
		return
	}
	o.resubmit(r, false, OutcomeLost, defaultRetryAfter)
}

// handleMigrate handles the message that a placer migrates a task. It submits the task's request again. The task ends on
// its present host.
func (o *Owner) handleMigrate(m *platform.Message) {
	r := o.byRef[m.Ref]
	if r == nil {
		return
	}
	if r.ref != m.Ref || r.Outcome != OutcomeRunning {
		r.Unexpected++
		return
	}
	if r.migrations++; r.migrations > maxMigrations {
		o.finish(r, OutcomeBroken)
		return
	}
	o.removeFromConnection(r)
	r.ref, r.failed = "", false
	o.submitAt(r, o.now)
}

// queueHandOvers queues the hand-overs of all running tasks of a placer.
func (o *Owner) queueHandOvers(placer int) {
	for _, r := range o.requests {
		if r.Outcome == OutcomeRunning && r.Request.Placer == placer && r.Host != "" {
			o.enqueue(sendHandOver, r)
		}
	}
}
