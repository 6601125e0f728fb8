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
		w := svc.updateQueue[0]
		svc.updateQueue = svc.updateQueue[1:]
		u.Begin()
		c.beginReplacement(w, svc.spec)
	}
}

// beginReplacement begins to beginReplacement a running task by one of another make.
func (c *Core) beginReplacement(w *desiredReplica, spec *servicespec.Service) {
	if w.removed {
		c.reportUpdateResult(w, false)
		return
	}
	if w.state != placed {
		// It was lost or has ended meanwhile: it comes back as what it is to be.
		w.updating = true
		c.cancelRequest(w)
		c.setSpec(w, spec)
		c.startRequesting(w)
		return
	}
	w.updating = true
	w.service.previousSpecs[w] = w.spec
	// Two copies of what must never run twice are not started side by side, whatever the order.
	if !spec.Update.StartFirst || c.attemptRules(w.class).Effect == forkhead.Unsafe {
		w.nextSpec = spec
		c.awaitOldCopyEnd(w)
		c.stopPlaced(w)
		return
	}
	twin := c.newReplica(w.service, w.number, spec)
	twin.pending, w.pending = w.pending, nil
	twin.predecessor, w.successor = w, twin
	twin.updating, w.updating = true, false
	c.startRequesting(twin)
}

// replaceIfQueued begins the replacement of a task that ended, or was lost, while it waited in the queue
// of its service's update. Guards against one that comes back as its old make, and tells that as
// the outcome of the new.
func (c *Core) replaceIfQueued(w *desiredReplica) bool {
	i := slices.Index(w.service.updateQueue, w)
	if i < 0 || w.service.update == nil {
		return false
	}
	w.service.updateQueue = slices.Delete(w.service.updateQueue, i, i+1)
	w.service.update.Begin()
	w.state = awaitingRequest
	c.beginReplacement(w, w.service.spec)
	return true
}

// awaitOldCopyEnd bounds the wait for a task's earlier copy to end: its host may be out of reach.
func (c *Core) awaitOldCopyEnd(w *desiredReplica) {
	patience := w.nextSpec.Patience
	if patience == 0 {
		patience = c.settings.Classes[c.classIndex(w.nextSpec)].Patience
	}
	w.retrier.Deadline = c.now + patience
	w.deadlineTimerSeq++
	c.addTimer(&timer{at: w.retrier.Deadline, kind: timerOwnerDeadline, replica: w, number: w.deadlineTimerSeq})
}

// finishReplacement follows the end of the old copy: the new one is asked for.
func (c *Core) finishReplacement(w *desiredReplica) {
	spec := w.nextSpec
	w.nextSpec = nil
	c.setSpec(w, spec)
	c.startRequesting(w)
}

// setSpec makes a wish one for a task of another make.
func (c *Core) setSpec(w *desiredReplica, spec *servicespec.Service) {
	w.spec, w.fingerprint = spec, spec.Fingerprint()
	w.class, w.tenant = c.classIndex(spec), settings.Index(c.settings.Tenants, spec.Tenant)
}

// replacePredecessor lets a copy that was started first take the place of the one that it replaces.
func (c *Core) replacePredecessor(w *desiredReplica) {
	old := w.predecessor
	if old == nil {
		return
	}
	w.predecessor, old.successor = nil, nil
	w.service.replicas[w.number] = w
	old.removing = true
	if old.state == placed && old.attempt != nil {
		c.stopPlaced(old)
	} else {
		c.cancelRequest(old)
		c.removeReplica(old)
	}
}

// reportUpdateResult takes the news that a task under update is placed and has stood its time, or has not.
func (c *Core) reportUpdateResult(w *desiredReplica, well bool) {
	if !well && w.predecessor != nil {
		w.predecessor.successor, w.predecessor = nil, nil
	}
	svc := w.service
	if !w.updating || svc.update == nil {
		return
	}
	w.updating = false
	svc.update.Done(c.now, well)
	if well {
		svc.updated = append(svc.updated, w)
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
	for _, w := range svc.updated {
		old := svc.previousSpecs[w]
		if old == nil || w.removed || w.state != placed {
			continue
		}
		w.nextSpec = old
		c.stopPlaced(w)
	}
	svc.updated = nil
}
