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

// roll goes on with a service's update.
func (c *Core) roll(svc *service) {
	u := svc.update
	if u == nil {
		return
	}
	n, at := u.Next(c.now)
	if at > 0 {
		c.at(&timer{at: at, kind: timerRollout, svc: svc})
	}
	for ; n > 0 && len(svc.queue) > 0; n-- {
		w := svc.queue[0]
		svc.queue = svc.queue[1:]
		u.Begin()
		c.replace(w, svc.spec)
	}
}

// replace begins to replace a running task by one of another make.
func (c *Core) replace(w *wish, spec *servicespec.Service) {
	if w.gone {
		c.rolledOut(w, false)
		return
	}
	if w.state != placed {
		// It was lost or has ended meanwhile: it comes back as what it is to be.
		w.updating = true
		c.abandon(w)
		c.remake(w, spec)
		c.begin(w)
		return
	}
	w.updating = true
	w.svc.before[w] = w.spec
	// Two copies of what must never run twice are not started side by side, whatever the order.
	if !spec.Update.StartFirst || c.rules(w.class).Effect == forkhead.Unsafe {
		w.next = spec
		c.awaitEnd(w)
		c.halt(w)
		return
	}
	twin := c.newWish(w.svc, w.replica, spec)
	twin.claim, w.claim = w.claim, nil
	twin.twinOf, w.twin = w, twin
	twin.updating, w.updating = true, false
	c.begin(twin)
}

// overtaken begins the replacement of a task that ended, or was lost, while it waited in the queue
// of its service's update. Guards against one that comes back as its old make, and tells that as
// the outcome of the new.
func (c *Core) overtaken(w *wish) bool {
	i := slices.Index(w.svc.queue, w)
	if i < 0 || w.svc.update == nil {
		return false
	}
	w.svc.queue = slices.Delete(w.svc.queue, i, i+1)
	w.svc.update.Begin()
	w.state = waiting
	c.replace(w, w.svc.spec)
	return true
}

// awaitEnd bounds the wait for a task's earlier copy to end: its host may be out of reach.
func (c *Core) awaitEnd(w *wish) {
	patience := w.next.Patience
	if patience == 0 {
		patience = c.set.Classes[c.classOf(w.next)].Patience
	}
	w.owner.Deadline = c.now + patience
	w.giveUpSeq++
	c.at(&timer{at: w.owner.Deadline, kind: timerGiveUp, wish: w, number: w.giveUpSeq})
}

// replaced follows the end of the old copy: the new one is asked for.
func (c *Core) replaced(w *wish) {
	spec := w.next
	w.next = nil
	c.remake(w, spec)
	c.begin(w)
}

// remake makes a wish one for a task of another make.
func (c *Core) remake(w *wish, spec *servicespec.Service) {
	w.spec, w.fingerprint = spec, spec.Fingerprint()
	w.class, w.tenant = c.classOf(spec), settings.Index(c.set.Tenants, spec.Tenant)
}

// swap lets a copy that was started first take the place of the one that it replaces.
func (c *Core) swap(w *wish) {
	old := w.twinOf
	if old == nil {
		return
	}
	w.twinOf, old.twin = nil, nil
	w.svc.wishes[w.replica] = w
	old.removing = true
	if old.state == placed && old.try != nil {
		c.halt(old)
	} else {
		c.abandon(old)
		c.drop(old)
	}
}

// rolledOut takes the news that a task under update is placed and has stood its time, or has not.
func (c *Core) rolledOut(w *wish, well bool) {
	if !well && w.twinOf != nil {
		w.twinOf.twin, w.twinOf = nil, nil
	}
	svc := w.svc
	if !w.updating || svc.update == nil {
		return
	}
	w.updating = false
	svc.update.Done(c.now, well)
	if well {
		svc.replaced = append(svc.replaced, w)
	}
	switch svc.update.Status() {
	case rollingupdate.Paused, rollingupdate.RollingBack:
		why := fmt.Sprintf("the update was stopped after %d tasks had failed", svc.update.Failed())
		for _, q := range svc.queue {
			c.outcome(q, OutcomeRejected, nil, why)
		}
		svc.queue = nil
		if svc.update.Status() == rollingupdate.RollingBack {
			c.rollBack(svc)
		}
		svc.update = nil
	case rollingupdate.Complete:
		svc.update = nil
	default:
		c.roll(svc)
	}
}

// rollBack puts back what an update has replaced, all at once.
func (c *Core) rollBack(svc *service) {
	c.log("update of %s/%s failed and is rolled back", svc.project.name, svc.name)
	for _, w := range svc.replaced {
		old := svc.before[w]
		if old == nil || w.gone || w.state != placed {
			continue
		}
		w.next = old
		c.halt(w)
	}
	svc.replaced = nil
}
