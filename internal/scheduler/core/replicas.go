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

// replicaState is the state of a desired replica.
type replicaState uint8

const (
	awaitingDependencies replicaState = iota // waits for the services that its service depends on
	awaitingRequest                          // waits for the timer of its next request, or is blocked
	requesting                               // its placement request is open
	placed                                   // its task is held by a host
	finished                                 // ended for good
)

// desiredReplica is a task that a service wants to run. It lasts over all placement requests and placements of the
// task.
type desiredReplica struct {
	service     *service
	number      int    // from 1
	name        string // text of its taskName
	taskKey     uint64 // the key by which hosts recognize the task
	generation  int    // number of start-first copies before this one; its lowest bits are XORed into taskKey
	generations int    // generation of the latest copy that was started for the replica
	spec        *servicespec.Service
	specLost    bool   // spec holds only what the task's host reports of it, so it cannot be started again
	fingerprint uint64 // fingerprint of spec
	class       int
	tenant      int

	state         replicaState
	request       *placementRequest // set in state requesting
	attempt       *taskAttempt      // set in state placed
	blocked       bool              // in state awaitingRequest: waits until its unknown attempts permit a request
	removing      bool              // the replica is removed once its task has ended
	removed       bool              // no longer part of a project
	stopRequested bool              // the project wants the host to stop the task
	succeeded     bool              // in state finished: the task ended without an error
	recovered     bool              // restored from an earlier incarnation and not placed since, so it may run already
	placements    int               // number of times that it was placed
	restartTimes  []time.Duration   // restarts that count toward the limit of the restart policy

	retrier            retrypolicy.Retrier
	pending            *pendingOutcome        // outcome that a submission waits for; nil: none
	offerCount         int                    // number of offers since the last outcome
	rejected           bool                   // the last request was rejected rather than failed
	reason             string                 // why the last request did not place the task
	failureCounts      map[attemptFailure]int // failed attempts since the first request, by cause
	preferencesDropped bool                   // the spread preferences could not be met and are ignored
	endedRun           *taskAttempt           // an attempt that may have run and has ended, of which no outcome tells; nil: none

	updating    bool                 // an update is replacing the replica
	nextSpec    *servicespec.Service // specification with which the replica is requested once its task has ended
	successor   *desiredReplica      // in a start-first update: the copy that will replace this one
	predecessor *desiredReplica      // in a start-first update: the copy that this one will replace

	// Number of the latest timer of each kind; earlier timers of the kind are no longer valid.
	requestTimerSeq  uint64
	deadlineTimerSeq uint64
	monitorTimerSeq  uint64
}

func (r *desiredReplica) hasAttemptInFlight() bool {
	return r.request != nil && r.request.HasAttemptInFlight()
}

// isSpecLost reports whether the specification of the task is lost, so that it cannot be started again.
func (r *desiredReplica) isSpecLost() bool { return r.spec == nil || r.specLost || r.service.specLost }

func (r *desiredReplica) stopGrace() time.Duration {
	if r.spec == nil {
		return 0
	}
	return r.spec.StopGrace
}

// countFailure counts a failed attempt by its cause, for the reason of the outcome.
func (r *desiredReplica) countFailure(failure attemptFailure) {
	if r.failureCounts == nil {
		r.failureCounts = map[attemptFailure]int{}
	}
	r.failureCounts[failure]++
}

// newReplica adds a replica to a service. If the service already has one of that number, the new one becomes its
// successor.
func (c *Core) newReplica(svc *service, number int, spec *servicespec.Service) *desiredReplica {
	r := &desiredReplica{
		service: svc,
		number:  number,
		name:    taskName{project: svc.project.name, service: svc.name, replica: number}.String(),
	}
	c.setSpec(r, spec)
	if old := svc.replicas[number]; old != nil {
		old.generations++ // a copy that an earlier update began may run still, under its own key
		r.generation, r.generations = old.generations, old.generations
	} else {
		svc.replicas[number] = r
	}
	r.taskKey = taskKey(r)
	c.replicaCount++
	return r
}

// generationMask selects the bits of a task's key that tell its start-first copies apart.
const generationMask = 15

// taskKey returns a replica's key. A copy that is started before the old one stops gets a different key, so that its
// host does not treat it as a duplicate.
func taskKey(r *desiredReplica) uint64 {
	svc := r.service
	return servicespec.TaskKey(r.spec.Tenant, svc.project.name, svc.name, r.number) ^ uint64(r.generation&generationMask)
}

// setSpec changes the specification of a replica, whose key stays the same.
func (c *Core) setSpec(r *desiredReplica, spec *servicespec.Service) {
	r.spec, r.specLost, r.fingerprint = spec, false, spec.Fingerprint()
	r.class, r.tenant = c.classIndex(spec), slices.Index(c.settings.Tenants, spec.Tenant)
}

func (c *Core) classIndex(s *servicespec.Service) int {
	if i, ok := c.settings.ClassIndex(s.Class); ok {
		return i
	}
	return c.settings.DefaultClass
}

// handleUnplaced retries or abandons a replica whose request ended without a placement.
func (c *Core) handleUnplaced(r *desiredReplica, rejected bool, retryAfter time.Duration) {
	r.rejected = rejected
	reason, impossible := c.explain(r)
	r.reason = reason
	if r.removed || r.removing {
		return
	}
	if impossible && r.placements == 0 {
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

// abandon reports a replica as not placed and removes it. The outcome is rejected only if a new submission is harmless,
// and failed otherwise.
func (c *Core) abandon(r *desiredReplica) {
	rules := c.attemptRules(r.class)
	unknown := c.unknownAttempts[r.taskKey]
	kind := OutcomeRejected
	if !rules.AbandonedIsRejected(r.rejected, r.offerCount > 0, c.countPossibleRuns(r)) {
		kind = OutcomeFailed
	}
	switch {
	case rules.RetryIsHarmless():
	case len(unknown) > 0:
		var names []string
		for a := range unknown {
			names = append(names, a.host.name)
		}
		slices.Sort(names)
		r.reason = "an attempt at " + strings.Join(names, ", ") + " may have run, and nothing was heard of it since"
	case r.endedRun != nil:
		r.reason = "an attempt at " + r.endedRun.host.name + " may have run before it ended"
	}
	c.reportOutcome(r, kind, nil, r.reason)
	r.service.failureReason = r.reason
	c.removeReplica(r)
}

// handleReplicaPlaced updates a replica that was placed by an attempt.
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
	c.forgetEndedRun(r)
	c.replacePredecessor(r)
	if monitor := r.spec.Update.Monitor; r.updating && monitor > 0 {
		r.monitorTimerSeq++
		c.addTimer(&timer{at: c.now + monitor, kind: timerMonitorEnd, replica: r, number: r.monitorTimerSeq})
	} else {
		c.reportUpdateResult(r, true)
	}
	c.startDependents(r.service)
}

// handleReplicaLost handles the end of a placed replica whose task did not end by itself.
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
	case r.isSpecLost():
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

// handleReplicaEnded handles the end of a placed replica as its host reported it.
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
	if !c.allowRestart(r, succeeded) {
		c.finish(r, succeeded)
		return
	}
	r.monitorTimerSeq++
	c.reportUpdateResult(r, succeeded)
	r.retrier.Begin(c.now + noDeadline)
	c.retry(r, retrypolicy.Event{Cause: retrypolicy.Ended, MinWait: r.spec.Restart.Delay})
}

// finish ends a replica for good, as its task has ended by itself and is not started again.
func (c *Core) finish(r *desiredReplica, succeeded bool) {
	r.state, r.succeeded = finished, succeeded
	c.persistFinished(r)
	c.startDependents(r.service)
}

// lossCause reports whether the end of a task counts as a loss, and if it does, the cause of the retry. The restart
// policy does not apply to a loss.
func lossCause(r *desiredReplica, a *taskAttempt, d attemptDetail) (cause retrypolicy.Cause, lost bool) {
	switch {
	case r.removing || r.nextSpec != nil || r.isSpecLost():
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

// allowRestart reports whether the restart policy of a replica restarts its ended task, and counts the restart if it
// does.
func (c *Core) allowRestart(r *desiredReplica, succeeded bool) bool {
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

// stopAndRemove stops a replica that its project no longer wants, and removes it once it has ended.
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

// stopPlaced stops a placed replica that its project no longer wants, or wants with another specification. If the host
// is unreachable, the stop is sent once the host is back.
func (c *Core) stopPlaced(r *desiredReplica) {
	r.stopRequested = true
	if a := r.attempt; a.phase() == attempt.Placed && a.host.isConnectedAndSynced() {
		c.sendStop(a)
	}
}

// removeReplica removes a replica from its project. A task of it that may still run is stopped when a host reports it.
func (c *Core) removeReplica(r *desiredReplica) {
	if r.removed {
		return
	}
	c.supersedeOutcome(r)
	c.forgetEndedRun(r)
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
