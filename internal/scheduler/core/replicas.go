package core

import (
	"slices"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/retrypolicy"
)

// replicaState is how far a desired replica is.
type replicaState uint8

const (
	awaitingDependencies replicaState = iota // waits for what its service depends on
	awaitingRequest                          // waits for a time, or until it may be requested
	requesting                               // the module decides on it
	placed
	finished // ended for good
)

// desiredReplica is a task that a service wants: its owner's side, over all requests and placements.
type desiredReplica struct {
	service     *service
	number      int    // from 1
	name        string // as taskName
	taskKey     uint64 // what hosts know it by
	generation  int    // odd where the task runs under its second key
	spec        *servicespec.Service
	fingerprint uint64 // of spec
	class       int
	tenant      int

	state         replicaState
	request       *placementRequest // while requesting
	attempt       *taskAttempt      // while placed
	blocked       bool              // while awaitingRequest: it is requested as soon as it may be
	removing      bool              // to be removed once it has ended
	removed       bool              // no longer of any project
	stopRequested bool              // its host is to end it, for its project's sake
	succeeded     bool              // of a finished one
	recovered     bool              // known from an earlier incarnation, and not placed since: it may run already
	placements    int               // how often it was placed
	restartTimes  []time.Duration   // restarts that count for the restart policy

	retrier            retrypolicy.Retrier
	pending            *pendingOutcome        // nil: none is pending
	offerCount         int                    // since the last outcome
	rejected           bool                   // the last request was rejected rather than failed
	reason             string                 // why the last request did not place it
	failureCounts      map[attemptFailure]int // since it was first requested
	preferencesDropped bool                   // they could not be met

	updating    bool                 // an update replaces it
	nextSpec    *servicespec.Service // what it is replaced by, once it has ended
	successor   *desiredReplica      // start-first: the copy that takes over
	predecessor *desiredReplica      // start-first: the copy that it takes over from

	// Numbers of the timers that count.
	requestTimerSeq  uint64
	deadlineTimerSeq uint64
	monitorTimerSeq  uint64
}

func (r *desiredReplica) hasAttemptInFlight() bool {
	return r.request != nil && r.request.HasAttemptInFlight()
}

// hasSpecLost reports whether the specification of the task is lost.
func (r *desiredReplica) hasSpecLost() bool { return r.spec == nil || r.service.specLost }

func (r *desiredReplica) stopGrace() time.Duration {
	if r.spec == nil {
		return 0
	}
	return r.spec.StopGrace
}

// countFailure counts why an attempt failed, for the reason of an outcome.
func (r *desiredReplica) countFailure(failure attemptFailure) {
	if r.failureCounts == nil {
		r.failureCounts = map[attemptFailure]int{}
	}
	r.failureCounts[failure]++
}

// newReplica adds a replica of a service. If the service has one of that number, the new one is its successor.
func (c *Core) newReplica(svc *service, number int, spec *servicespec.Service) *desiredReplica {
	r := &desiredReplica{
		service: svc,
		number:  number,
		name:    taskName{project: svc.project.name, service: svc.name, replica: number}.String(),
	}
	c.setSpec(r, spec)
	if old := svc.replicas[number]; old != nil {
		r.generation = old.generation + 1
	} else {
		svc.replicas[number] = r
	}
	r.taskKey = taskKey(r)
	c.replicaCount++
	return r
}

// taskKey is a replica's key. A copy that is started before the old one stops has another, so that its host does not take
// it for a repeat.
func taskKey(r *desiredReplica) uint64 {
	svc := r.service
	return servicespec.TaskKey(r.spec.Tenant, svc.project.name, svc.name, r.number) ^ uint64(r.generation&1)
}

// setSpec makes a replica one by another specification. Its key stays.
func (c *Core) setSpec(r *desiredReplica, spec *servicespec.Service) {
	r.spec, r.fingerprint = spec, spec.Fingerprint()
	r.class, r.tenant = c.classIndex(spec), slices.Index(c.settings.Tenants, spec.Tenant)
}

func (c *Core) classIndex(s *servicespec.Service) int {
	if i, ok := c.settings.ClassIndex(s.Class); ok {
		return i
	}
	return c.settings.DefaultClass
}

// handleUnplaced follows a request that ended without a placement.
func (c *Core) handleUnplaced(r *desiredReplica, rejected bool, retryAfter time.Duration) {
	r.rejected = rejected
	reason, hopeless := c.explain(r)
	r.reason = reason
	if r.removed || r.removing {
		return
	}
	if hopeless && r.placements == 0 {
		c.abandon(r)
		return
	}
	event := retrypolicy.Event{Cause: retrypolicy.Failed, RetryAfter: retryAfter}
	if rejected {
		event.Cause = retrypolicy.Rejected
	}
	if len(r.spec.Preferences) > 0 && !r.preferencesDropped {
		r.preferencesDropped = true
		event.Cause = retrypolicy.Migrated
	}
	c.retry(r, event)
}

// abandon reports the outcome of a replica that was not placed, and removes it.
func (c *Core) abandon(r *desiredReplica) {
	rules := c.attemptRules(r.class)
	unknown := c.unknownAttempts[r.taskKey]
	kind := OutcomeRejected
	if !rules.RejectionIsHarmless(r.rejected, r.offerCount > 0, len(unknown)) {
		kind = OutcomeFailed
	}
	if len(unknown) > 0 && !rules.RetryIsHarmless() {
		var names []string
		for a := range unknown {
			names = append(names, a.host.name)
		}
		slices.Sort(names)
		r.reason = "an attempt at " + strings.Join(names, ", ") + " may have run, and nothing was heard of it since"
	}
	c.reportOutcome(r, kind, nil, r.reason)
	r.service.failureReason = r.reason
	c.removeReplica(r)
}

// handleReplicaPlaced follows a replica's placement.
func (c *Core) handleReplicaPlaced(r *desiredReplica, a *taskAttempt) {
	r.state, r.attempt, r.request = placed, a, nil
	if r.removed || r.removing {
		c.sendStop(a)
		return
	}
	r.retrier.Placed()
	r.recovered = false
	r.placements++
	c.reportOutcome(r, OutcomePlaced, a.host, "")
	c.replacePredecessor(r)
	if monitor := r.spec.Update.Monitor; r.updating && monitor > 0 {
		r.monitorTimerSeq++
		c.addTimer(&timer{at: c.now + monitor, kind: timerMonitorEnd, replica: r, number: r.monitorTimerSeq})
	} else {
		c.reportUpdateResult(r, true)
	}
	c.startDependents(r.service)
}

// handleReplicaLost follows the end of a placed replica that its task did not cause itself.
func (c *Core) handleReplicaLost(r *desiredReplica, a *taskAttempt, cause retrypolicy.Cause) {
	if r.attempt != a {
		return
	}
	r.attempt, r.stopRequested = nil, false
	if r.nextSpec == nil {
		r.monitorTimerSeq++
		c.reportUpdateResult(r, false)
	}
	switch {
	case r.removed || r.removing:
		c.removeReplica(r)
	case r.nextSpec != nil:
		c.finishReplacement(r)
	case c.replaceIfQueued(r):
	case r.hasSpecLost():
		c.removeReplica(r)
	case r.placements >= c.settings.Owner.MaxPlacements:
		c.log("task %s was placed %d times and is given up", r.name, r.placements)
		c.persistFinished(r)
		c.removeReplica(r)
	default:
		r.retrier.Begin(c.now + noDeadline)
		r.failureCounts = nil
		c.retry(r, retrypolicy.Event{Cause: cause})
	}
}

// handleReplicaEnded follows the end of a placed replica that its host reported.
func (c *Core) handleReplicaEnded(r *desiredReplica, a *taskAttempt, d attemptDetail) {
	if r.attempt != a {
		return
	}
	if cause, lost := lossCause(r, a, d); lost {
		c.handleReplicaLost(r, a, cause)
		return
	}
	r.attempt = nil
	if c.replaceIfQueued(r) {
		return
	}
	succeeded := d.result == forkhead.OK
	if !c.takeRestart(r, succeeded) {
		r.state, r.succeeded = finished, succeeded
		c.persistFinished(r)
		c.startDependents(r.service)
		return
	}
	r.monitorTimerSeq++
	c.reportUpdateResult(r, succeeded)
	r.retrier.Begin(c.now + noDeadline)
	c.retry(r, retrypolicy.Event{Cause: retrypolicy.Ended, MinWait: r.spec.Restart.Delay})
}

// lossCause reports whether a task's end is none that its restart policy deals with, and what it is then.
func lossCause(r *desiredReplica, a *taskAttempt, d attemptDetail) (cause retrypolicy.Cause, lost bool) {
	switch {
	case r.removing || r.nextSpec != nil || r.hasSpecLost():
		return retrypolicy.Ended, true
	case d.result == forkhead.Withdrawn || a.migrating:
		return retrypolicy.Migrated, true
	case d.result == forkhead.Reset && d.reason == forkhead.Dismissed:
		return retrypolicy.Lost, true
	case d.result == forkhead.Reset:
		return retrypolicy.Evicted, true
	}
	return 0, false
}

// takeRestart reports whether a restart policy wants an ended task back, and counts the restart if so.
func (c *Core) takeRestart(r *desiredReplica, succeeded bool) bool {
	policy := &r.spec.Restart
	wanted := policy.When == servicespec.Always && !r.spec.Mode.Job() || policy.When != servicespec.Never && !succeeded
	if !wanted || policy.MaxRestarts <= 0 {
		return wanted
	}
	if policy.Window > 0 {
		r.restartTimes = slices.DeleteFunc(r.restartTimes, func(at time.Duration) bool { return at <= c.now-policy.Window })
	}
	if len(r.restartTimes) >= policy.MaxRestarts {
		return false
	}
	r.restartTimes = append(r.restartTimes, c.now)
	return true
}

// stopAndRemove ends a replica that its project no longer has.
func (c *Core) stopAndRemove(r *desiredReplica) {
	if r.removed || r.removing {
		return
	}
	if r.successor != nil {
		c.stopAndRemove(r.successor)
	}
	c.supersedeOutcome(r)
	r.removing = true
	if r.state == placed && r.attempt != nil {
		c.stopPlaced(r)
		return
	}
	c.cancelRequest(r)
	c.removeReplica(r)
}

// stopPlaced stops a placed replica for its project's sake. If its host is out of reach it is stopped once that is back.
func (c *Core) stopPlaced(r *desiredReplica) {
	r.stopRequested = true
	if a := r.attempt; a.phase() == attempt.Placed && a.host.isConnectedAndSynced() {
		c.sendStop(a)
	}
}

// removeReplica takes a replica out of its project. What may still run of it is stopped when a host reports it.
func (c *Core) removeReplica(r *desiredReplica) {
	if r.removed {
		return
	}
	c.supersedeOutcome(r)
	r.removed = true
	if c.blockedReplicas[r.taskKey] == r {
		delete(c.blockedReplicas, r.taskKey)
	}
	r.requestTimerSeq++
	r.deadlineTimerSeq++
	c.replicaCount--
	svc := r.service
	if svc.replicas[r.number] == r {
		delete(svc.replicas, r.number)
	}
	c.reportUpdateResult(r, false)
	r.state = finished
	c.startDependents(svc)
	c.pruneService(svc)
}
