package core

import (
	"time"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/retrypolicy"
)

// noDeadline is how long a service waits for a task that it had already: in effect for ever.
const noDeadline = 10 * 365 * 24 * time.Hour

// startRequesting starts the wait for an outcome.
func (c *Core) startRequesting(r *desiredReplica) {
	timeout := r.spec.PlacementTimeout
	if timeout == 0 {
		timeout = max(c.settings.Classes[r.class].PlacementTimeout, r.spec.RequestTimeout)
	}
	from := c.now
	if r.recovered && r.pending != nil {
		from = min(r.pending.acceptedAt, c.now) // its owner waits since before this incarnation; a clock may have been set back
	}
	r.retrier.Begin(max(from+timeout, c.now+attempt.MinRequestTime))
	r.preferencesDropped, r.failureCounts, r.reason = false, nil, ""
	c.addOwnerDeadline(r)
	c.requestAt(r, c.now)
}

// addOwnerDeadline sets the timer for the end of a replica's wait.
func (c *Core) addOwnerDeadline(r *desiredReplica) {
	r.deadlineTimerSeq++
	c.addTimer(&timer{at: r.retrier.Deadline, kind: timerOwnerDeadline, replica: r, number: r.deadlineTimerSeq})
}

// requestAt requests a replica at a time, or at once if that is over.
func (c *Core) requestAt(r *desiredReplica, at time.Duration) {
	r.state, r.blocked = awaitingRequest, false
	if at <= c.now {
		r.requestTimerSeq++
		c.requestNow(r)
		return
	}
	c.addRequestTimer(r, at)
}

// addRequestTimer sets the timer for a replica's next request. Earlier ones don't count any more.
func (c *Core) addRequestTimer(r *desiredReplica, at time.Duration) {
	r.requestTimerSeq++
	c.addTimer(&timer{at: at, kind: timerRequest, replica: r, number: r.requestTimerSeq})
}

// requestNow makes a placement request for a replica, unless it has to wait until it may be requested.
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

// requestWait is how long a request of a replica may take.
func (c *Core) requestWait(r *desiredReplica) time.Duration {
	wait := r.spec.RequestTimeout
	if wait == 0 {
		wait = c.settings.Classes[r.class].RequestTimeout
	}
	if len(r.spec.Preferences) > 0 && !r.preferencesDropped {
		// The rest is for a request without the preferences.
		wait = min(wait/4, c.settings.Module.Classes[r.class].LatencyObjective+attempt.MinRequestTime)
	}
	return min(wait, r.retrier.Deadline-c.now)
}

// mayRequest reports whether a replica may be requested now. It may not while an attempt of an earlier request, or of an
// earlier incarnation of this placer, may run and a repeat could do harm. A request that must end before the hosts drop
// the task's key takes maxWait at most; 0: there is no such bound.
func (c *Core) mayRequest(r *desiredReplica) (maxWait time.Duration, ok bool) {
	rules := c.attemptRules(r.class)
	if c.mustAwaitHosts(r, rules) {
		// Guards against starting again what an earlier incarnation had started: hosts report what they run.
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

// mustAwaitHosts reports whether a request of a replica has to wait until the hosts have reported what they run.
func (c *Core) mustAwaitHosts(r *desiredReplica, rules attempt.Rules) bool {
	reported, deadlinePassed := c.allHostsReported(), c.now >= c.hostReportDeadline()
	return rules.MustWaitForHosts(reported, deadlinePassed) || r.recovered && !reported && !deadlinePassed
}

// hostReportDeadline is until when a new incarnation waits for the reports of all hosts before it starts what must not be
// started twice.
func (c *Core) hostReportDeadline() time.Duration {
	if c.firstListAt == 0 {
		return c.now + attempt.MinRequestTime
	}
	return c.firstListAt + c.settings.Module.OwnerBackoff
}

// allHostsReported reports whether all hosts have reported what they run.
func (c *Core) allHostsReported() bool {
	for _, h := range c.hosts {
		if h.listed && !h.everSynced {
			return false
		}
	}
	return len(c.hosts) > 0
}

// repeatIsHarmful reports whether an attempt of another request, which may run, forbids to send one of this request now.
// Guards against what turns up after the request began: a host that reports late what it runs.
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

// unblock requests the replica of a task that waited until it may be requested.
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

// retry requests a replica once more after a while, or gives it up.
func (c *Core) retry(r *desiredReplica, event retrypolicy.Event) {
	rules := c.attemptRules(r.class)
	event.RepeatMayHarm = len(c.unknownAttempts[r.taskKey]) > 0 && !rules.RetryIsHarmless()
	at, ok := r.retrier.NextRetry(c.now, event, c.retryPolicy, c.rng.Float64())
	if !ok && r.pending == nil && r.placements > 0 {
		// It was placed once and its outcome is reported: its project wants it back for good.
		r.retrier.Begin(c.now + noDeadline)
		at, ok = c.now+c.retryPolicy.MaxBackoff, true
	}
	switch {
	case ok:
		c.requestAt(r, at)
	case r.retrier.Deadline > c.now && (r.blocked || event.RepeatMayHarm):
		// Until its outcome is known, or its owner's time is over.
		r.state, r.blocked = awaitingRequest, true
		c.blockedReplicas[r.taskKey] = r
	default:
		c.abandon(r)
	}
}

// handleOwnerDeadline ends the wait of an owner, if the timer of that number still counts.
func (c *Core) handleOwnerDeadline(r *desiredReplica, timerNumber uint64) {
	if timerNumber != r.deadlineTimerSeq || r.state == finished || r.removed {
		return
	}
	switch {
	case r.state == placed && r.nextSpec != nil:
		// The old copy has not ended: nothing was offered for the new one.
		c.reportOutcome(r, OutcomeRejected, nil, "its earlier copy on "+r.attempt.host.name+" has not ended")
		r.nextSpec, r.removing = nil, true
		c.reportUpdateResult(r, false)
	case r.state == placed || r.pending == nil:
	case r.state == requesting: // the request ends by now too, and with it the wait
	default:
		if r.reason == "" {
			r.reason, _ = c.explain(r)
		}
		c.abandon(r)
	}
}
