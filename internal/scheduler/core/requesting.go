package core

import (
	"time"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/retrypolicy"
)

// noDeadline is the wait for the placement of a task that was placed before. Such a wait has no deadline: 10 years
// stand for an unlimited time.
const noDeadline = 10 * 365 * 24 * time.Hour

// startRequesting starts the wait for an outcome of a replica and requests it.
func (c *Core) startRequesting(r *desiredReplica) {
	timeout := r.spec.PlacementTimeout
	if timeout == 0 {
		timeout = max(c.settings.Classes[r.class].PlacementTimeout, r.spec.RequestTimeout)
	}
	from := c.now
	if r.recovered && r.pending != nil {
		// The owner's wait began in an earlier incarnation. The clock may have been set back since.
		from = min(r.pending.acceptedAt, c.now)
	}
	r.retrier.Begin(max(from+timeout, c.now+attempt.MinRequestTime))
	r.preferencesDropped, r.failureCounts, r.reason = false, nil, ""
	c.addOwnerDeadline(r)
	c.requestAt(r, c.now)
}

// addOwnerDeadline sets the timer for the end of the owner's wait for a replica.
func (c *Core) addOwnerDeadline(r *desiredReplica) {
	r.deadlineTimerSeq++
	c.addTimer(&timer{at: r.retrier.Deadline, kind: timerOwnerDeadline, replica: r, number: r.deadlineTimerSeq})
}

// requestAt requests a replica at the given time, or at once if that time has passed.
func (c *Core) requestAt(r *desiredReplica, at time.Duration) {
	r.state, r.blocked = awaitingRequest, false
	if at <= c.now {
		r.requestTimerSeq++
		c.requestNow(r)
		return
	}
	c.addRequestTimer(r, at)
}

// addRequestTimer sets the timer for a replica's next request, which invalidates any earlier one.
func (c *Core) addRequestTimer(r *desiredReplica, at time.Duration) {
	r.requestTimerSeq++
	c.addTimer(&timer{at: at, kind: timerRequest, replica: r, number: r.requestTimerSeq})
}

// requestNow makes a placement request for a replica, or blocks the replica if mayRequest forbids that now.
func (c *Core) requestNow(r *desiredReplica) {
	if r.state != awaitingRequest || r.removed {
		return
	}
	maxWait, mayRequest := c.mayRequest(r)
	if r.blocked = !mayRequest; r.blocked {
		c.blockedReplicas[r.taskKey] = r
		return
	}
	wait := c.requestWait(r)
	if maxWait > 0 {
		wait = min(wait, maxWait)
	}
	if wait <= 0 {
		return
	}
	request := c.newRequest(r)
	request.Deadline = c.now + wait
	request.task.Timeout = wait
	r.request, r.state = request, requesting
	r.retrier.Requests++
	c.status.PlacementRequests++
	c.addTimer(&timer{at: request.Deadline, kind: timerRequestDeadline, request: request})
	c.notifyModule(forkhead.PlacementRequest{Task: request.task})
}

// requestWait returns the timeout of a replica's next request.
func (c *Core) requestWait(r *desiredReplica) time.Duration {
	wait := r.spec.RequestTimeout
	if wait == 0 {
		wait = c.settings.Classes[r.class].RequestTimeout
	}
	if len(r.spec.Preferences) > 0 && !r.preferencesDropped {
		// The request gets only part of the wait, so that time remains for a request without the preferences.
		wait = min(wait/4, c.settings.Module.Classes[r.class].LatencyObjective+attempt.MinRequestTime)
	}
	return min(wait, r.retrier.Deadline-c.now)
}

// mayRequest reports whether a replica may be requested now. It may not be requested as long as an attempt of an
// earlier request, or of an earlier incarnation of this placer, may run and a second run could do harm. The result
// maxWait bounds the time of a request that must end before the hosts drop the task's key; 0 means no bound.
func (c *Core) mayRequest(r *desiredReplica) (maxWait time.Duration, ok bool) {
	rules := c.attemptRules(r.class)
	if c.mustAwaitHosts(r, rules) {
		// An earlier incarnation may have started the task, which its host will report. Try again later.
		c.addRequestTimer(r, min(c.hostReportDeadline(), c.now+attempt.MinRequestTime))
		return 0, false
	}
	unknown := c.unknownAttempts[r.taskKey]
	firstChosenAt := c.now
	for a := range unknown {
		firstChosenAt = min(firstChosenAt, a.chosenAt())
	}
	return rules.MayRequest(c.now, len(unknown), firstChosenAt)
}

// mustAwaitHosts reports whether a replica's request has to wait until the hosts have reported the tasks that they
// hold.
func (c *Core) mustAwaitHosts(r *desiredReplica, rules attempt.Rules) bool {
	reported, deadlinePassed := c.allHostsReported(), c.now >= c.hostReportDeadline()
	return rules.MustWaitForHosts(reported, deadlinePassed) || r.recovered && !reported && !deadlinePassed
}

// hostReportDeadline returns the time until which a new incarnation waits for the reports of all hosts before it starts
// tasks that must not be started twice.
func (c *Core) hostReportDeadline() time.Duration {
	if c.firstListAt == 0 {
		return c.now + attempt.MinRequestTime
	}
	return c.firstListAt + c.settings.Module.OwnerBackoff
}

// allHostsReported reports whether all listed hosts have reported the tasks that they hold. It is false without hosts.
func (c *Core) allHostsReported() bool {
	for _, h := range c.hosts {
		if h.listed && !h.everSynced {
			return false
		}
	}
	return len(c.hosts) > 0
}

// repeatIsHarmful reports whether a request must not send an attempt now, since an attempt of another request may run.
// Such an attempt can be found after the request began, when a host reports its tasks late.
func (c *Core) repeatIsHarmful(request *placementRequest) bool {
	for a := range c.unknownAttempts[request.replica.taskKey] {
		if a.request == request {
			continue
		}
		switch request.Rules.Effect {
		case forkhead.Unsafe:
			return true
		case forkhead.Keyed:
			if c.now >= a.chosenAt()+request.Rules.DedupWindow {
				return true
			}
		}
	}
	return false
}

// unblock requests the blocked replica of a task whose unknown attempt was settled, if there is one.
func (c *Core) unblock(taskKey uint64) {
	r := c.blockedReplicas[taskKey]
	if r == nil {
		return
	}
	delete(c.blockedReplicas, taskKey)
	if r.blocked && r.state == awaitingRequest && !r.removed {
		c.requestNow(r)
	}
}

// retry requests a replica again after a backoff, or abandons it.
func (c *Core) retry(r *desiredReplica, event retrypolicy.Event) {
	rules := c.attemptRules(r.class)
	event.RepeatMayHarm = len(c.unknownAttempts[r.taskKey]) > 0 && !rules.RetryIsHarmless()
	at, ok := r.retrier.NextRetry(c.now, event, c.retryPolicy, c.rng.Float64())
	if !ok && r.pending == nil && r.placements > 0 {
		// The replica was placed before and its outcome is reported. The project still wants it, so it is requested
		// again without a deadline.
		r.retrier.Begin(c.now + noDeadline)
		at, ok = c.now+c.retryPolicy.MaxBackoff, true
	}
	switch {
	case ok:
		c.requestAt(r, at)
	case r.retrier.Deadline > c.now && (r.blocked || event.RepeatMayHarm):
		// The replica waits until its unknown attempts are settled, or until the owner's deadline.
		r.state, r.blocked = awaitingRequest, true
		c.blockedReplicas[r.taskKey] = r
	default:
		c.abandon(r)
	}
}

// handleOwnerDeadline ends the owner's wait for a replica, if the timer with the number timerNumber is still valid.
func (c *Core) handleOwnerDeadline(r *desiredReplica, timerNumber uint64) {
	if timerNumber != r.deadlineTimerSeq || r.state == finished || r.removed {
		return
	}
	switch {
	case r.state == placed && r.nextSpec != nil:
		// The old copy has not ended, so the new one was never offered.
		c.reportOutcome(r, OutcomeRejected, nil, "its earlier copy on "+r.attempt.host.name+" has not ended")
		r.nextSpec, r.removing = nil, true
		c.reportUpdateResult(r, false)
	case r.state == placed || r.pending == nil:
	case r.state == requesting: // the request ends the wait at its own deadline, which is no later than the owner's
	default:
		if r.reason == "" {
			r.reason, _ = c.explain(r)
		}
		c.abandon(r)
	}
}
