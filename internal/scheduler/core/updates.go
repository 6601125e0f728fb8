package core

import (
	"fmt"
	"slices"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/parse/settings"
	"forkhead/internal/scheduler/rollingupdate"
)

// ---- Updates.

// continueUpdate goes on with a service's update.
func (c *Core) continueUpdate(svc *service) {
	u := svc.update
	if u == nil {
		return
	}
	n, at := u.Next(c.now)
	if at > 0 {
		c.addTimer(&timer{at: at, kind: timerUpdate, service: svc})
	}
	for ; n > 0 && len(svc.updateQueue) > 0; n-- {
		replica := svc.updateQueue[0]
		svc.updateQueue = svc.updateQueue[1:]
		u.Begin()
		c.beginReplacement(replica, svc.spec)
	}
}

// beginReplacement begins to beginReplacement a running task by one of another make.
func (c *Core) beginReplacement(replica *desiredReplica, spec *servicespec.Service) {
	if replica.removed {
		c.reportUpdateResult(replica, false)
		return
	}
	if replica.state != placed {
		// It was lost or has ended meanwhile: it comes back as what it is to be.
		replica.updating = true
		c.cancelRequest(replica)
		c.setSpec(replica, spec)
		c.startRequesting(replica)
		return
	}
	replica.updating = true
	replica.service.previousSpecs[replica] = replica.spec
	// Two copies of what must never run twice are not started side by side, whatever the order.
	if !spec.Update.StartFirst || c.attemptRules(replica.class).Effect == forkhead.Unsafe {
		replica.nextSpec = spec
		c.awaitOldCopyEnd(replica)
		c.stopPlaced(replica)
		return
	}
	twin := c.newReplica(replica.service, replica.number, spec)
	twin.pending, replica.pending = replica.pending, nil
	twin.predecessor, replica.successor = replica, twin
	twin.updating, replica.updating = true, false
	c.startRequesting(twin)
}

// replaceIfQueued begins the replacement of a task that ended, or was lost, while it waited in the queue
// of its service's update. Guards against one that comes back as its old make, and tells that as
// the outcome of the new.
func (c *Core) replaceIfQueued(replica *desiredReplica) bool {
	i := slices.Index(replica.service.updateQueue, replica)
	if i < 0 || replica.service.update == nil {
		return false
	}
	replica.service.updateQueue = slices.Delete(replica.service.updateQueue, i, i+1)
	replica.service.update.Begin()
	replica.state = awaitingRequest
	c.beginReplacement(replica, replica.service.spec)
	return true
}

// awaitOldCopyEnd bounds the wait for a task's earlier copy to end: its host may be out of reach.
func (c *Core) awaitOldCopyEnd(replica *desiredReplica) {
	patience := replica.nextSpec.Patience
	if patience == 0 {
		patience = c.settings.Classes[c.classIndex(replica.nextSpec)].Patience
	}
	replica.retrier.Deadline = c.now + patience
	replica.deadlineTimerSeq++
	c.addTimer(&timer{at: replica.retrier.Deadline, kind: timerOwnerDeadline, replica: replica, number: replica.deadlineTimerSeq})
}

// finishReplacement follows the end of the old copy: the new one is asked for.
func (c *Core) finishReplacement(replica *desiredReplica) {
	spec := replica.nextSpec
	replica.nextSpec = nil
	c.setSpec(replica, spec)
	c.startRequesting(replica)
}

// setSpec makes a wish one for a task of another make.
func (c *Core) setSpec(replica *desiredReplica, spec *servicespec.Service) {
	replica.spec, replica.fingerprint = spec, spec.Fingerprint()
	replica.class, replica.tenant = c.classIndex(spec), settings.Index(c.settings.Tenants, spec.Tenant)
}

// replacePredecessor lets a copy that was started first take the place of the one that it replaces.
func (c *Core) replacePredecessor(replica *desiredReplica) {
	old := replica.predecessor
	if old == nil {
		return
	}
	replica.predecessor, old.successor = nil, nil
	replica.service.replicas[replica.number] = replica
	old.removing = true
	if old.state == placed && old.attempt != nil {
		c.stopPlaced(old)
	} else {
		c.cancelRequest(old)
		c.removeReplica(old)
	}
}

// reportUpdateResult takes the news that a task under update is placed and has stood its time, or has not.
func (c *Core) reportUpdateResult(replica *desiredReplica, well bool) {
	if !well && replica.predecessor != nil {
		replica.predecessor.successor, replica.predecessor = nil, nil
	}
	svc := replica.service
	if !replica.updating || svc.update == nil {
		return
	}
	replica.updating = false
	svc.update.Done(c.now, well)
	if well {
		svc.updated = append(svc.updated, replica)
	}
	switch svc.update.Status() {
	case rollingupdate.Paused, rollingupdate.RollingBack:
		why := fmt.Sprintf("the update was stopped after %d tasks had failed", svc.update.Failed())
		for _, q := range svc.updateQueue {
			c.reportOutcome(q, OutcomeRejected, nil, why)
		}
		svc.updateQueue = nil
		if svc.update.Status() == rollingupdate.RollingBack {
			c.rollBack(svc)
		}
		svc.update = nil
	case rollingupdate.Complete:
		svc.update = nil
	default:
		c.continueUpdate(svc)
	}
}

// rollBack puts back what an update has replaced, all at once.
func (c *Core) rollBack(svc *service) {
	c.log("update of %s/%s failed and is rolled back", svc.project.name, svc.name)
	for _, replica := range svc.updated {
		old := svc.previousSpecs[replica]
		if old == nil || replica.removed || replica.state != placed {
			continue
		}
		replica.nextSpec = old
		c.stopPlaced(replica)
	}
	svc.updated = nil
}
