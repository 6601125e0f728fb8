package core

import (
	"fmt"
	"slices"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/scheduler/rollingupdate"
)

// continueUpdate starts to replace as many replicas as a service's update permits now.
func (c *Core) continueUpdate(svc *service) {
	update := svc.update
	if update == nil {
		return
	}
	n, at := update.Next(c.now)
	if at > 0 {
		c.addTimer(&timer{at: at, kind: timerUpdate, service: svc})
	}
	for ; n > 0 && len(svc.updateQueue) > 0; n-- {
		r := svc.updateQueue[0]
		svc.updateQueue = svc.updateQueue[1:]
		update.Begin()
		c.beginReplacement(r, svc.spec)
	}
}

// beginReplacement starts to replace a replica by one of another specification.
func (c *Core) beginReplacement(r *desiredReplica, spec *servicespec.Service) {
	if r.removed {
		c.reportUpdateResult(r, false)
		return
	}
	r.updating = true
	if r.state != placed {
		// The task was lost or has ended meanwhile, so the replica is requested with the new specification at once.
		c.cancelRequest(r)
		c.setSpec(r, spec)
		c.startRequesting(r)
		return
	}
	if !r.isSpecLost() {
		r.service.previousSpecs[r] = r.spec
	}
	// Two copies of an unsafe task must not run at the same time, so such a task is always replaced stop-first.
	if spec.Update.StartFirst && c.attemptRules(r.class).Effect != forkhead.Unsafe {
		c.startSuccessor(r, spec)
		return
	}
	r.nextSpec = spec
	c.awaitOldCopyEnd(r)
	c.stopPlaced(r)
}

// endEarlierUpdate ends what an earlier update has begun with a replica whose service is changed again: its start-first
// copy is stopped or not started, and its result no longer counts.
func (c *Core) endEarlierUpdate(r *desiredReplica) {
	if r.successor != nil {
		c.stopAndRemove(r.successor)
	}
	r.updating = false
	r.monitorTimerSeq++
}

// startSuccessor starts the copy that will replace a replica, which keeps running until then.
func (c *Core) startSuccessor(r *desiredReplica, spec *servicespec.Service) {
	successor := c.newReplica(r.service, r.number, spec)
	successor.pending, r.pending = r.pending, nil
	successor.predecessor, r.successor = r, successor
	successor.updating, r.updating = true, false
	c.startRequesting(successor)
}

// replaceIfQueued starts the replacement of a replica that ended, or was lost, while it waited in the queue of its
// service's update. Otherwise the replica would be restarted with its old specification, and that placement would be
// reported as the outcome of the new one.
func (c *Core) replaceIfQueued(r *desiredReplica) bool {
	svc := r.service
	i := slices.Index(svc.updateQueue, r)
	if i < 0 || svc.update == nil {
		return false
	}
	svc.updateQueue = slices.Delete(svc.updateQueue, i, i+1)
	svc.update.Begin()
	r.state = awaitingRequest
	c.beginReplacement(r, svc.spec)
	return true
}

// awaitOldCopyEnd bounds the wait for the end of a replica's old copy, whose host may be unreachable.
func (c *Core) awaitOldCopyEnd(r *desiredReplica) {
	timeout := r.nextSpec.PlacementTimeout
	if timeout == 0 {
		timeout = c.settings.Classes[c.classIndex(r.nextSpec)].PlacementTimeout
	}
	r.retrier.Deadline = c.now + timeout
	c.addOwnerDeadline(r)
}

// finishReplacement requests the new copy of a replica after the end of the old one.
func (c *Core) finishReplacement(r *desiredReplica) {
	spec := r.nextSpec
	r.nextSpec = nil
	c.setSpec(r, spec)
	c.startRequesting(r)
}

// replacePredecessor makes a placed start-first copy the replica of its service, and stops the copy that it replaces.
func (c *Core) replacePredecessor(r *desiredReplica) {
	old := r.predecessor
	if old == nil {
		return
	}
	r.predecessor, old.successor = nil, nil
	r.service.replicas[r.number] = r
	old.removing = true
	if old.state == placed && old.attempt != nil {
		c.stopPlaced(old)
		return
	}
	c.cancelRequest(old)
	c.removeReplica(old)
}

// reportUpdateResult reports to a service's update whether the replacement of a replica succeeded. It has succeeded if
// the new copy is placed and has run for the monitoring time. For a replica that is not being updated,
// reportUpdateResult only detaches a failed successor from its predecessor.
func (c *Core) reportUpdateResult(r *desiredReplica, succeeded bool) {
	if !succeeded && r.predecessor != nil {
		r.predecessor.successor, r.predecessor = nil, nil
	}
	svc := r.service
	if !r.updating || svc.update == nil {
		return
	}
	r.updating = false
	svc.update.Done(c.now, succeeded)
	if succeeded {
		svc.updated = append(svc.updated, r)
	}
	switch svc.update.Status() {
	case rollingupdate.Paused:
		c.cancelQueuedUpdates(svc)
		svc.update = nil
	case rollingupdate.RollingBack:
		c.cancelQueuedUpdates(svc)
		c.rollBack(svc)
		svc.update = nil
	case rollingupdate.Complete:
		svc.update = nil
	default:
		c.continueUpdate(svc)
	}
}

// cancelQueuedUpdates empties the queue of a stopped update. The replicas in it keep running, and their pending
// outcomes are reported as rejected.
func (c *Core) cancelQueuedUpdates(svc *service) {
	reason := fmt.Sprintf("the update was stopped after %d tasks had failed", svc.update.Failed())
	for _, r := range svc.updateQueue {
		c.reportOutcome(r, OutcomeRejected, nil, reason)
	}
	svc.updateQueue = nil
}

// rollBack replaces all replicas that an update has replaced by their previous specifications, at once.
func (c *Core) rollBack(svc *service) {
	c.log("update of %s/%s failed and is rolled back", svc.project.name, svc.name)
	for _, r := range svc.updated {
		old := svc.previousSpecs[r]
		if old == nil || r.removed || r.state != placed {
			continue
		}
		r.nextSpec = old
		c.persistRolledBack(r, old)
		c.stopPlaced(r)
	}
	svc.updated = nil
}
