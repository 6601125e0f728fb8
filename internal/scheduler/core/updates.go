package core

import (
	"fmt"
	"slices"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/scheduler/rollingupdate"
)

// continueUpdate replaces the next replicas of a service's update.
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

// beginReplacement begins to replace a replica by one of another specification.
func (c *Core) beginReplacement(r *desiredReplica, spec *servicespec.Service) {
	if r.removed {
		c.reportUpdateResult(r, false)
		return
	}
	r.updating = true
	if r.state != placed {
		// It was lost or has ended meanwhile: it comes back as what it is to be.
		c.cancelRequest(r)
		c.setSpec(r, spec)
		c.startRequesting(r)
		return
	}
	r.service.previousSpecs[r] = r.spec
	// Two copies of what must never run twice are not started side by side, whatever the order.
	if spec.Update.StartFirst && c.attemptRules(r.class).Effect != forkhead.Unsafe {
		c.startSuccessor(r, spec)
		return
	}
	r.nextSpec = spec
	c.awaitOldCopyEnd(r)
	c.stopPlaced(r)
}

// startSuccessor starts the copy that takes over from a replica.
func (c *Core) startSuccessor(r *desiredReplica, spec *servicespec.Service) {
	successor := c.newReplica(r.service, r.number, spec)
	successor.pending, r.pending = r.pending, nil
	successor.predecessor, r.successor = r, successor
	successor.updating, r.updating = true, false
	c.startRequesting(successor)
}

// replaceIfQueued begins the replacement of a replica that ended, or was lost, while it waited in the queue of its
// service's update. Guards against one that comes back by its old specification, and reports that as the outcome of the
// new one.
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

// awaitOldCopyEnd bounds the wait for a replica's earlier copy to end: its host may be out of reach.
func (c *Core) awaitOldCopyEnd(r *desiredReplica) {
	timeout := r.nextSpec.PlacementTimeout
	if timeout == 0 {
		timeout = c.settings.Classes[c.classIndex(r.nextSpec)].PlacementTimeout
	}
	r.retrier.Deadline = c.now + timeout
	c.addOwnerDeadline(r)
}

// finishReplacement follows the end of the old copy: the new one is requested.
func (c *Core) finishReplacement(r *desiredReplica) {
	spec := r.nextSpec
	r.nextSpec = nil
	c.setSpec(r, spec)
	c.startRequesting(r)
}

// replacePredecessor lets a placed copy that was started first take the place of the one that it replaces.
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

// reportUpdateResult notifies a service's update that a replica under update is placed and has run for as long as it is
// monitored, or that it failed. It does nothing for other replicas.
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

// cancelQueuedUpdates leaves the replicas that were not replaced yet as they are.
func (c *Core) cancelQueuedUpdates(svc *service) {
	reason := fmt.Sprintf("the update was stopped after %d tasks had failed", svc.update.Failed())
	for _, r := range svc.updateQueue {
		c.reportOutcome(r, OutcomeRejected, nil, reason)
	}
	svc.updateQueue = nil
}

// rollBack restores what an update has replaced, all at once.
func (c *Core) rollBack(svc *service) {
	c.log("update of %s/%s failed and is rolled back", svc.project.name, svc.name)
	for _, r := range svc.updated {
		old := svc.previousSpecs[r]
		if old == nil || r.removed || r.state != placed {
			continue
		}
		r.nextSpec = old
		c.stopPlaced(r)
	}
	svc.updated = nil
}
