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
func (c *Core) startRequesting(w *desiredReplica) {
	patience := w.spec.Patience
	if patience == 0 {
		patience = max(c.settings.Classes[w.class].Patience, w.spec.Wait)
	}
	from := c.now
	if w.recovered && w.pending != nil {
		from = min(w.pending.since, c.now) // its owner has waited since before this life; a clock may have been set back
	}
	w.retrier.Begin(max(from+patience, c.now+attempt.MinRequestTime))
	w.preferencesDropped, w.failureCounts, w.reason = false, nil, ""
	w.deadlineTimerSeq++
	c.addTimer(&timer{at: w.retrier.Deadline, kind: timerOwnerDeadline, replica: w, number: w.deadlineTimerSeq})
	c.requestAt(w, c.now)
}

func (c *Core) requestAt(w *desiredReplica, at time.Duration) {
	w.state, w.blocked = awaitingRequest, false
	w.requestTimerSeq++
	if at <= c.now {
		c.requestNow(w)
		return
	}
	c.addTimer(&timer{at: at, kind: timerRequest, replica: w, number: w.requestTimerSeq})
}

// requestNow puts the task before the module, unless it has to wait until it may be asked for.
func (c *Core) requestNow(w *desiredReplica) {
	if w.state != awaitingRequest || w.removed {
		return
	}
	wait := w.spec.Wait
	if wait == 0 {
		wait = c.settings.Classes[w.class].Wait
	}
	if len(w.spec.Preferences) > 0 && !w.preferencesDropped {
		wait = min(wait/4, c.settings.Module.Classes[w.class].LatencyObjective+attempt.MinRequestTime) // the rest is for an ask without
	}
	wait = min(wait, w.retrier.Deadline-c.now)
	if w.blocked = c.mustWait(w, &wait); w.blocked {
		c.blockedReplicas[w.taskKey] = w
		return
	}
	if wait <= 0 {
		return
	}
	k := c.newRequest(w)
	k.Deadline = c.now + wait
	k.task.Timeout = wait
	w.request, w.state = k, requesting
	w.retrier.Requests++
	c.status.PlacementRequests++
	c.addTimer(&timer{at: k.Deadline, kind: timerRequestDeadline, request: k})
	c.notifyModule(forkhead.PlacementRequest{Task: k.task})
}

// mustWait says whether a task may not be asked for yet, because an attempt of an earlier ask, or
// of an earlier life of this placer, may run. It shortens an ask that must end before the hosts
// forget its key.
func (c *Core) mustWait(w *desiredReplica, wait *time.Duration) bool {
	r := c.attemptRules(w.class)
	if r.MustWaitForHosts(c.allHostsReported(), c.now >= c.hostReportDeadline()) || w.recovered && !c.allHostsReported() && c.now < c.hostReportDeadline() {
		// Guards against starting again what an earlier life had started: hosts say what they run.
		w.requestTimerSeq++
		c.addTimer(&timer{at: min(c.hostReportDeadline(), c.now+attempt.MinRequestTime), kind: timerRequest, replica: w, number: w.requestTimerSeq})
		return true
	}
	first := c.now
	for t := range c.unknownAttempts[w.taskKey] {
		first = min(first, t.request.Attempts[t.number].ChosenAt)
	}
	most, ok := r.MayRequest(c.now, len(c.unknownAttempts[w.taskKey]), first)
	if most > 0 {
		*wait = min(*wait, most)
	}
	return !ok
}

// repeatIsHarmful says whether an attempt of another ask that may run forbids to send one of this ask now.
// Guards against what turns up after the ask began: a host that tells late what it runs.
func (c *Core) repeatIsHarmful(k *placementRequest) bool {
	for t := range c.unknownAttempts[k.replica.taskKey] {
		if t.request != k && (k.Rules.Effect == forkhead.Unsafe ||
			k.Rules.Effect == forkhead.Keyed && c.now >= t.request.Attempts[t.number].ChosenAt+k.Rules.DedupWindow) {
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
	if w := c.blockedReplicas[key]; w != nil {
		delete(c.blockedReplicas, key)
		if w.blocked && w.state == awaitingRequest && !w.removed {
			c.requestNow(w)
		}
	}
}

// handleUnplaced follows an ask that was refused or failed.
func (c *Core) handleUnplaced(w *desiredReplica, refuse bool, retryAfter time.Duration) {
	w.rejected = refuse
	reason, hopeless := c.explain(w)
	w.reason = reason
	if w.removed || w.removing {
		return
	}
	if hopeless && w.placements == 0 {
		c.giveUp(w)
		return
	}
	cause := retrypolicy.Rejected
	if !refuse {
		cause = retrypolicy.Failed
	}
	if len(w.spec.Preferences) > 0 && !w.preferencesDropped {
		w.preferencesDropped = true
		cause = retrypolicy.Migrated
	}
	c.retry(w, cause, retryAfter, 0)
}

// retry asks for a task once more after a while, or gives it up.
func (c *Core) retry(w *desiredReplica, cause retrypolicy.Cause, advice, least time.Duration) {
	r := c.attemptRules(w.class)
	harm := len(c.unknownAttempts[w.taskKey]) > 0 && !r.RetryIsHarmless()
	event := retrypolicy.Event{Cause: cause, RepeatMayHarm: harm, RetryAfter: advice, MinWait: least}
	at, ok := w.retrier.NextRetry(c.now, event, c.retryPolicy, c.rng.Float64())
	if !ok && w.pending == nil && w.placements > 0 {
		// It was placed once and its outcome is told: its project wants it back for good.
		w.retrier.Begin(c.now + noDeadline)
		at, ok = c.now+c.retryPolicy.MaxBackoff, true
	}
	if !ok {
		if w.retrier.Deadline > c.now && (w.blocked || harm) {
			// Until its fate is known, or its owner's time is over.
			w.state, w.blocked = awaitingRequest, true
			c.blockedReplicas[w.taskKey] = w
			return
		}
		c.giveUp(w)
		return
	}
	c.requestAt(w, at)
}

const noDeadline = 10 * 365 * 24 * time.Hour

// handleOwnerTimeout ends the wait of an owner whose time is over.
func (c *Core) handleOwnerTimeout(w *desiredReplica) {
	if w.state == finished || w.removed {
		return
	}
	if w.state == placed {
		if w.nextSpec != nil { // the old copy has not ended: nothing was offered for the new one
			c.reportOutcome(w, OutcomeRejected, nil, "its earlier copy on "+w.attempt.host.name+" has not ended")
			w.nextSpec, w.removing = nil, true
			c.reportUpdateResult(w, false)
		}
		return
	}
	if w.pending == nil {
		return
	}
	if w.state == requesting {
		return // the ask ends by now too, and with it the wait
	}
	if w.reason == "" {
		w.reason, _ = c.explain(w)
	}
	c.giveUp(w)
}

// giveUp tells the outcome of a task that was not placed.
func (c *Core) giveUp(w *desiredReplica) {
	r := c.attemptRules(w.class)
	word := OutcomeRejected
	if !r.RejectionIsHarmless(w.rejected, w.offerCount > 0, len(c.unknownAttempts[w.taskKey])) {
		word = OutcomeFailed
	}
	if len(c.unknownAttempts[w.taskKey]) > 0 && !r.RetryIsHarmless() {
		var names []string
		for t := range c.unknownAttempts[w.taskKey] {
			names = append(names, t.host.name)
		}
		slices.Sort(names)
		w.reason = "an attempt at " + strings.Join(names, ", ") + " may have run, and nothing was heard of it since"
	}
	c.reportOutcome(w, word, nil, w.reason)
	w.service.failureReason = w.reason
	c.removeReplica(w)
}

// handleBound follows a task's placement.
func (c *Core) handleBound(w *desiredReplica, t *taskAttempt) {
	if w.removed || w.removing {
		c.sendFrame(t.host, hostproto.Stop{Ref: t.ref, Grace: w.stopGrace()})
		w.state, w.attempt, w.request = placed, t, nil
		return
	}
	w.state, w.attempt, w.request = placed, t, nil
	w.retrier.Placed()
	w.recovered = false
	w.placements++
	c.reportOutcome(w, OutcomePlaced, t.host, "")
	c.replacePredecessor(w)
	if m := w.spec.Update.Monitor; w.updating && m > 0 {
		w.monitorTimerSeq++
		c.addTimer(&timer{at: c.now + m, kind: timerMonitorEnd, replica: w, number: w.monitorTimerSeq})
	} else {
		c.reportUpdateResult(w, true)
	}
	c.startDependents(w.service)
}

// handleLost follows the loss of a placed task.
func (c *Core) handleLost(w *desiredReplica, t *taskAttempt, cause retrypolicy.Cause) {
	if w.attempt != t {
		return
	}
	w.attempt, w.stopRequested = nil, false
	if w.nextSpec == nil {
		w.monitorTimerSeq++
		c.reportUpdateResult(w, false)
	}
	switch {
	case w.removed || w.removing:
		c.removeReplica(w)
	case w.nextSpec != nil:
		c.finishReplacement(w)
	case c.replaceIfQueued(w):
	case w.spec == nil || w.service.specLost:
		c.removeReplica(w) // nobody knows any more what it was made of
	case w.placements >= c.settings.Owner.Lives:
		c.log("task %s was placed %d times and is given up", w.name, w.placements)
		c.persistFinished(w)
		c.removeReplica(w)
	default:
		w.retrier.Begin(c.now + noDeadline)
		w.failureCounts = nil
		c.retry(w, cause, 0, 0)
	}
}

// handleEnded follows the end of a placed task that its host told.
func (c *Core) handleEnded(w *desiredReplica, t *taskAttempt, d attemptDetail) {
	if w.attempt != t {
		return
	}
	switch {
	case w.removing, w.nextSpec != nil, w.spec == nil, w.service.specLost:
		c.handleLost(w, t, retrypolicy.Ended)
		return
	case d.result == forkhead.Withdrawn || t.migrating:
		c.handleLost(w, t, retrypolicy.Migrated)
		return
	case d.result == forkhead.Reset:
		cause := retrypolicy.Evicted
		if d.reason == forkhead.Dismissed {
			cause = retrypolicy.Lost
		}
		c.handleLost(w, t, cause)
		return
	}
	if w.attempt = nil; c.replaceIfQueued(w) {
		return
	}
	well := d.result == forkhead.OK
	r := &w.spec.Restart
	want := r.When == servicespec.Always && !w.spec.Mode.Job() || r.When != servicespec.Never && !well
	if r.Most > 0 && want {
		if r.Window > 0 {
			w.restartTimes = slices.DeleteFunc(w.restartTimes, func(at time.Duration) bool { return at <= c.now-r.Window })
		}
		if want = len(w.restartTimes) < r.Most; want {
			w.restartTimes = append(w.restartTimes, c.now)
		}
	}
	if !want {
		w.state, w.succeeded = finished, well
		c.persistFinished(w)
		c.startDependents(w.service)
		return
	}
	w.monitorTimerSeq++
	c.reportUpdateResult(w, well)
	w.retrier.Begin(c.now + noDeadline)
	c.retry(w, retrypolicy.Ended, 0, r.Delay)
}

// reportOutcome tells the one reportOutcome that is owed for a task, if one is.
func (c *Core) reportOutcome(w *desiredReplica, word string, h *host, reason string) {
	if w.pending == nil {
		return
	}
	cl := w.pending
	w.pending = nil
	o := Outcome{
		Service: w.service.name, Replica: w.number, Outcome: word, Reason: reason, Attempts: w.offerCount,
		TookMS: (c.now - cl.since).Milliseconds(),
	}
	if h != nil {
		o.Host, o.Zone, o.Rack = h.name, h.entry.Zone, h.entry.Rack
	}
	w.offerCount = 0
	c.status.Outcomes[word]++
	cl.submission.addOutcome(c, w, o)
}

// removeReplica takes a wish out of its project. What may still run of it is stopped when it shows.
func (c *Core) removeReplica(w *desiredReplica) {
	if w.removed {
		return
	}
	if w.pending != nil {
		c.reportOutcome(w, OutcomeRejected, nil, "a later submission has taken its place")
	}
	w.removed = true
	if c.blockedReplicas[w.taskKey] == w {
		delete(c.blockedReplicas, w.taskKey)
	}
	w.requestTimerSeq++
	w.deadlineTimerSeq++
	c.replicaCount--
	svc := w.service
	if svc.replicas[w.number] == w {
		delete(svc.replicas, w.number)
	}
	c.reportUpdateResult(w, false)
	w.state = finished
	c.startDependents(svc)
	c.pruneService(svc)
}
