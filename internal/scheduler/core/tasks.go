package core

import (
	"slices"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/retrypolicy"
)

type replicaState uint8

const (
	awaitingDependencies replicaState = iota // waits for what its service depends on
	awaitingRequest                   // to be asked at a time, or once it may be
	requesting                    // the module has it
	placed
	finished // ended for good
)

// desiredReplica is one task that is to run: its owner's side.
type desiredReplica struct {
	service         *service
	number     int
	taskKey         uint64
	generation  int // odd where the task runs under its second key
	spec        *servicespec.Service
	class       int
	tenant      int
	fingerprint uint64
	name        string

	state     replicaState
	retrier     retrypolicy.Retrier
	pending     *pendingOutcome // the outcome that is owed
	request       *placementRequest   // while asking
	attempt       *taskAttempt   // while placed
	requestTimerSeq    uint64 // of the timer that counts
	deadlineTimerSeq uint64
	blocked   bool // to be asked as soon as it may be
	placements     int  // times that it was placed
	restartTimes  []time.Duration
	preferencesDropped   bool // its preferences could not be kept
	recovered bool // from what an earlier life has noted: it may run already
	removing  bool
	removed      bool // no longer of any project
	succeeded   bool // of a task that is done
	stopRequested bool

	offerCount   int
	rejected  bool // how its last ask was answered
	failureCounts map[string]int
	reason   string
	updating bool                 // its old copy is being replaced
	nextSpec     *servicespec.Service // what it is replaced by
	successor     *desiredReplica                // start-first: the copy that takes over
	predecessor   *desiredReplica
	monitorTimerSeq uint64 // of the timer that ends the monitoring of an update
}

// ---- The owner's side.

// startRequesting starts the wait for an outcome.
func (c *Core) startRequesting(replica *desiredReplica) {
	patience := replica.spec.Patience
	if patience == 0 {
		patience = max(c.settings.Classes[replica.class].Patience, replica.spec.Wait)
	}
	from := c.now
	if replica.recovered && replica.pending != nil {
		from = min(replica.pending.since, c.now) // its owner has waited since before this life; a clock may have been set back
	}
	replica.retrier.Begin(max(from+patience, c.now+attempt.MinRequestTime))
	replica.preferencesDropped, replica.failureCounts, replica.reason = false, nil, ""
	replica.deadlineTimerSeq++
	c.addTimer(&timer{at: replica.retrier.Deadline, kind: timerOwnerDeadline, replica: replica, number: replica.deadlineTimerSeq})
	c.requestAt(replica, c.now)
}

func (c *Core) requestAt(replica *desiredReplica, at time.Duration) {
	replica.state, replica.blocked = awaitingRequest, false
	replica.requestTimerSeq++
	if at <= c.now {
		c.requestNow(replica)
		return
	}
	c.addTimer(&timer{at: at, kind: timerRequest, replica: replica, number: replica.requestTimerSeq})
}

// requestNow puts the task before the module, unless it has to wait until it may be asked for.
func (c *Core) requestNow(replica *desiredReplica) {
	if replica.state != awaitingRequest || replica.removed {
		return
	}
	wait := replica.spec.Wait
	if wait == 0 {
		wait = c.settings.Classes[replica.class].Wait
	}
	if len(replica.spec.Preferences) > 0 && !replica.preferencesDropped {
		wait = min(wait/4, c.settings.Module.Classes[replica.class].LatencyObjective+attempt.MinRequestTime) // the rest is for an ask without
	}
	wait = min(wait, replica.retrier.Deadline-c.now)
	if replica.blocked = c.mustWait(replica, &wait); replica.blocked {
		c.blockedReplicas[replica.taskKey] = replica
		return
	}
	if wait <= 0 {
		return
	}
	request := c.newRequest(replica)
	request.Deadline = c.now + wait
	request.task.Timeout = wait
	replica.request, replica.state = request, requesting
	replica.retrier.Requests++
	c.status.PlacementRequests++
	c.addTimer(&timer{at: request.Deadline, kind: timerRequestDeadline, request: request})
	c.notifyModule(forkhead.PlacementRequest{Task: request.task})
}

// mustWait says whether a task may not be asked for yet, because an attempt of an earlier ask, or
// of an earlier life of this placer, may run. It shortens an ask that must end before the hosts
// forget its key.
func (c *Core) mustWait(replica *desiredReplica, wait *time.Duration) bool {
	r := c.attemptRules(replica.class)
	if r.MustWaitForHosts(c.allHostsReported(), c.now >= c.hostReportDeadline()) || replica.recovered && !c.allHostsReported() && c.now < c.hostReportDeadline() {
		// Guards against starting again what an earlier life had started: hosts say what they run.
		replica.requestTimerSeq++
		c.addTimer(&timer{at: min(c.hostReportDeadline(), c.now+attempt.MinRequestTime), kind: timerRequest, replica: replica, number: replica.requestTimerSeq})
		return true
	}
	first := c.now
	for a := range c.unknownAttempts[replica.taskKey] {
		first = min(first, a.request.Attempts[a.number].ChosenAt)
	}
	most, ok := r.MayRequest(c.now, len(c.unknownAttempts[replica.taskKey]), first)
	if most > 0 {
		*wait = min(*wait, most)
	}
	return !ok
}

// repeatIsHarmful says whether an attempt of another ask that may run forbids to send one of this ask now.
// Guards against what turns up after the ask began: a host that tells late what it runs.
func (c *Core) repeatIsHarmful(request *placementRequest) bool {
	for a := range c.unknownAttempts[request.replica.taskKey] {
		if a.request != request && (request.Rules.Effect == forkhead.Unsafe ||
			request.Rules.Effect == forkhead.Keyed && c.now >= a.request.Attempts[a.number].ChosenAt+request.Rules.DedupWindow) {
			return true
		}
	}
	return false
}

// hostReportDeadline is until when a new life waits to hear from all hosts before it starts what must not be
// started twice.
func (c *Core) hostReportDeadline() time.Duration {
	if c.firstListAt == 0 {
		return c.now + attempt.MinRequestTime
	}
	return c.firstListAt + c.settings.Module.OwnerBackoff
}

func (c *Core) allHostsReported() bool {
	for _, h := range c.hosts {
		if h.listed && !h.everSynced {
			return false
		}
	}
	return len(c.hosts) > 0
}

// unblock lets a task be asked for that waited until it might.
func (c *Core) unblock(key uint64) {
	if replica := c.blockedReplicas[key]; replica != nil {
		delete(c.blockedReplicas, key)
		if replica.blocked && replica.state == awaitingRequest && !replica.removed {
			c.requestNow(replica)
		}
	}
}

// handleUnplaced follows an ask that was refused or failed.
func (c *Core) handleUnplaced(replica *desiredReplica, refuse bool, retryAfter time.Duration) {
	replica.rejected = refuse
	reason, hopeless := c.explain(replica)
	replica.reason = reason
	if replica.removed || replica.removing {
		return
	}
	if hopeless && replica.placements == 0 {
		c.giveUp(replica)
		return
	}
	cause := retrypolicy.Rejected
	if !refuse {
		cause = retrypolicy.Failed
	}
	if len(replica.spec.Preferences) > 0 && !replica.preferencesDropped {
		replica.preferencesDropped = true
		cause = retrypolicy.Migrated
	}
	c.retry(replica, cause, retryAfter, 0)
}

// retry asks for a task once more after a while, or gives it up.
func (c *Core) retry(replica *desiredReplica, cause retrypolicy.Cause, advice, least time.Duration) {
	r := c.attemptRules(replica.class)
	harm := len(c.unknownAttempts[replica.taskKey]) > 0 && !r.RetryIsHarmless()
	event := retrypolicy.Event{Cause: cause, RepeatMayHarm: harm, RetryAfter: advice, MinWait: least}
	at, ok := replica.retrier.NextRetry(c.now, event, c.retryPolicy, c.rng.Float64())
	if !ok && replica.pending == nil && replica.placements > 0 {
		// It was placed once and its outcome is told: its project wants it back for good.
		replica.retrier.Begin(c.now + noDeadline)
		at, ok = c.now+c.retryPolicy.MaxBackoff, true
	}
	if !ok {
		if replica.retrier.Deadline > c.now && (replica.blocked || harm) {
			// Until its fate is known, or its owner's time is over.
			replica.state, replica.blocked = awaitingRequest, true
			c.blockedReplicas[replica.taskKey] = replica
			return
		}
		c.giveUp(replica)
		return
	}
	c.requestAt(replica, at)
}

const noDeadline = 10 * 365 * 24 * time.Hour

// handleOwnerTimeout ends the wait of an owner whose time is over.
func (c *Core) handleOwnerTimeout(replica *desiredReplica) {
	if replica.state == finished || replica.removed {
		return
	}
	if replica.state == placed {
		if replica.nextSpec != nil { // the old copy has not ended: nothing was offered for the new one
			c.reportOutcome(replica, OutcomeRejected, nil, "its earlier copy on "+replica.attempt.host.name+" has not ended")
			replica.nextSpec, replica.removing = nil, true
			c.reportUpdateResult(replica, false)
		}
		return
	}
	if replica.pending == nil {
		return
	}
	if replica.state == requesting {
		return // the ask ends by now too, and with it the wait
	}
	if replica.reason == "" {
		replica.reason, _ = c.explain(replica)
	}
	c.giveUp(replica)
}

// giveUp tells the outcome of a task that was not placed.
func (c *Core) giveUp(replica *desiredReplica) {
	r := c.attemptRules(replica.class)
	word := OutcomeRejected
	if !r.RejectionIsHarmless(replica.rejected, replica.offerCount > 0, len(c.unknownAttempts[replica.taskKey])) {
		word = OutcomeFailed
	}
	if len(c.unknownAttempts[replica.taskKey]) > 0 && !r.RetryIsHarmless() {
		var names []string
		for a := range c.unknownAttempts[replica.taskKey] {
			names = append(names, a.host.name)
		}
		slices.Sort(names)
		replica.reason = "an attempt at " + strings.Join(names, ", ") + " may have run, and nothing was heard of it since"
	}
	c.reportOutcome(replica, word, nil, replica.reason)
	replica.service.failureReason = replica.reason
	c.removeReplica(replica)
}

// handleBound follows a task's placement.
func (c *Core) handleBound(replica *desiredReplica, a *taskAttempt) {
	if replica.removed || replica.removing {
		c.sendFrame(a.host, hostproto.Stop{Ref: a.ref, Grace: replica.stopGrace()})
		replica.state, replica.attempt, replica.request = placed, a, nil
		return
	}
	replica.state, replica.attempt, replica.request = placed, a, nil
	replica.retrier.Placed()
	replica.recovered = false
	replica.placements++
	c.reportOutcome(replica, OutcomePlaced, a.host, "")
	c.replacePredecessor(replica)
	if m := replica.spec.Update.Monitor; replica.updating && m > 0 {
		replica.monitorTimerSeq++
		c.addTimer(&timer{at: c.now + m, kind: timerMonitorEnd, replica: replica, number: replica.monitorTimerSeq})
	} else {
		c.reportUpdateResult(replica, true)
	}
	c.startDependents(replica.service)
}

// handleLost follows the loss of a placed task.
func (c *Core) handleLost(replica *desiredReplica, a *taskAttempt, cause retrypolicy.Cause) {
	if replica.attempt != a {
		return
	}
	replica.attempt, replica.stopRequested = nil, false
	if replica.nextSpec == nil {
		replica.monitorTimerSeq++
		c.reportUpdateResult(replica, false)
	}
	switch {
	case replica.removed || replica.removing:
		c.removeReplica(replica)
	case replica.nextSpec != nil:
		c.finishReplacement(replica)
	case c.replaceIfQueued(replica):
	case replica.spec == nil || replica.service.specLost:
		c.removeReplica(replica) // nobody knows any more what it was made of
	case replica.placements >= c.settings.Owner.Lives:
		c.log("task %s was placed %d times and is given up", replica.name, replica.placements)
		c.persistFinished(replica)
		c.removeReplica(replica)
	default:
		replica.retrier.Begin(c.now + noDeadline)
		replica.failureCounts = nil
		c.retry(replica, cause, 0, 0)
	}
}

// handleEnded follows the end of a placed task that its host told.
func (c *Core) handleEnded(replica *desiredReplica, a *taskAttempt, d attemptDetail) {
	if replica.attempt != a {
		return
	}
	switch {
	case replica.removing, replica.nextSpec != nil, replica.spec == nil, replica.service.specLost:
		c.handleLost(replica, a, retrypolicy.Ended)
		return
	case d.result == forkhead.Withdrawn || a.migrating:
		c.handleLost(replica, a, retrypolicy.Migrated)
		return
	case d.result == forkhead.Reset:
		cause := retrypolicy.Evicted
		if d.reason == forkhead.Dismissed {
			cause = retrypolicy.Lost
		}
		c.handleLost(replica, a, cause)
		return
	}
	if replica.attempt = nil; c.replaceIfQueued(replica) {
		return
	}
	well := d.result == forkhead.OK
	r := &replica.spec.Restart
	want := r.When == servicespec.Always && !replica.spec.Mode.Job() || r.When != servicespec.Never && !well
	if r.Most > 0 && want {
		if r.Window > 0 {
			replica.restartTimes = slices.DeleteFunc(replica.restartTimes, func(at time.Duration) bool { return at <= c.now-r.Window })
		}
		if want = len(replica.restartTimes) < r.Most; want {
			replica.restartTimes = append(replica.restartTimes, c.now)
		}
	}
	if !want {
		replica.state, replica.succeeded = finished, well
		c.persistFinished(replica)
		c.startDependents(replica.service)
		return
	}
	replica.monitorTimerSeq++
	c.reportUpdateResult(replica, well)
	replica.retrier.Begin(c.now + noDeadline)
	c.retry(replica, retrypolicy.Ended, 0, r.Delay)
}

// reportOutcome tells the one reportOutcome that is owed for a task, if one is.
func (c *Core) reportOutcome(replica *desiredReplica, word string, h *host, reason string) {
	if replica.pending == nil {
		return
	}
	cl := replica.pending
	replica.pending = nil
	o := Outcome{
		Service: replica.service.name, Replica: replica.number, Outcome: word, Reason: reason, Attempts: replica.offerCount,
		TookMS: (c.now - cl.since).Milliseconds(),
	}
	if h != nil {
		o.Host, o.Zone, o.Rack = h.name, h.entry.Zone, h.entry.Rack
	}
	replica.offerCount = 0
	c.status.Outcomes[word]++
	cl.submission.addOutcome(c, replica, o)
}

// removeReplica takes a wish out of its project. What may still run of it is stopped when it shows.
func (c *Core) removeReplica(replica *desiredReplica) {
	if replica.removed {
		return
	}
	if replica.pending != nil {
		c.reportOutcome(replica, OutcomeRejected, nil, "a later submission has taken its place")
	}
	replica.removed = true
	if c.blockedReplicas[replica.taskKey] == replica {
		delete(c.blockedReplicas, replica.taskKey)
	}
	replica.requestTimerSeq++
	replica.deadlineTimerSeq++
	c.replicaCount--
	svc := replica.service
	if svc.replicas[replica.number] == replica {
		delete(svc.replicas, replica.number)
	}
	c.reportUpdateResult(replica, false)
	replica.state = finished
	c.startDependents(svc)
	c.pruneService(svc)
}
