package platform

import (
	"slices"
	"time"

	"forkhead"
)

// expireUnlessListed handles a host that the endpoint list does not have, or has as removed: once unlistedTimeout or
// removedGrace is over, the tasks of the host count as lost, and the host is deleted. It returns whether the list has
// the host as in service or draining.
func (c *Core) expireUnlessListed(h *host) (listed bool) {
	switch {
	case h.unlistedSince > 0:
		c.expireUnlisted(h)
		return false
	case h.entry.State == forkhead.Removed:
		c.expireRemoved(h)
		return false
	}
	return true
}

// addUnlistedHost adds a host that an owner names before the endpoint list does. It returns nil if there are too many
// such hosts.
func (c *Core) addUnlistedHost(id forkhead.MachineID, name string) *host {
	if c.unlistedHosts >= maxUnlistedHosts && !c.removeUnlistedWithoutTasks() {
		return nil
	}
	c.unlistedHosts++
	h := newHost(id, name)
	h.unlistedSince = c.now
	h.setEntry(forkhead.Machine{ID: id, State: forkhead.Draining, Zone: -1, Cell: -1})
	c.addHost(h)
	return h
}

// removeUnlistedWithoutTasks deletes an unlisted host that has only unconfirmed ends, and reports whether there was one.
func (c *Core) removeUnlistedWithoutTasks() bool {
	for _, h := range c.hostsInOrder() {
		if h.unlistedSince == 0 || len(h.attempts) > 0 {
			continue
		}
		for _, a := range h.unconfirmedInOrder() {
			c.confirmEnd(a, reasonTooMany)
		}
		c.unlistedHosts--
		c.removeHost(h)
		return true
	}
	return false
}

// expireUnlisted ends the tasks of a host that is not listed in time as lost. A host without attempts is deleted
// at once.
func (c *Core) expireUnlisted(h *host) {
	if c.now > h.unlistedSince+unlistedTimeout {
		c.endLostTasks(h, reasonNotListed)
	}
	if len(h.attempts) == 0 && len(h.unconfirmed) == 0 {
		c.unlistedHosts--
		c.removeHost(h)
	}
}

// expireRemoved ends the tasks of a removed host as lost once removedGrace is over, unless its process still sends
// messages. It deletes the host after removeHostAfter.
func (c *Core) expireRemoved(h *host) {
	if c.now <= h.removedAt+removedGrace {
		return
	}
	if c.isGone(h) {
		c.endLostTasks(h, reasonRemoved)
	} else {
		c.reconcileResponsiveness(h)
	}
	isUnused := len(h.attempts) == 0 && len(h.unconfirmed) == 0 && len(h.connections) == 0
	if c.now > h.removedAt+removeHostAfter && isUnused {
		c.removeHost(h)
	}
}

// isAliveAfterRemoval reports whether a host that the endpoint list has as removed has shown since then that it is alive, and
// a connection to it is open. Such a list is wrong, or early. A host that says nothing for lostAfter is alive no more.
func (h *host) isAliveAfterRemoval(now time.Duration) bool {
	messageAt := h.liveness.messageAt
	return h.leastBusyConnection() != nil && messageAt > h.removedAt && now <= messageAt+lostAfter
}

// reconcileResponsiveness asks a host with placed tasks that sends nothing or has no open connection whether it is alive. If
// it has left that unanswered for too long, its tasks count as lost.
func (c *Core) reconcileResponsiveness(h *host) {
	if !h.hasPlacedTasks() || h.address == "" {
		h.liveness.unwatch()
		return
	}
	h.liveness.watch(c.now)
	if h.isUnreadable(c.now, c.settings.MayProbe) {
		c.endLostTasks(h, reasonOnlyUnreadable)
		return
	}
	c.expireStranded(h)
	silentFor := c.now - h.liveness.lastAliveAt(c.settings.MayProbe)
	if c.isLost(h, silentFor) {
		c.endLostTasks(h, reasonUnresponsive)
		for _, conn := range slices.Clone(h.connections) {
			c.closeConnection(conn, reasonUnresponsive)
		}
		return
	}
	if c.mustProbe(h) && c.now >= h.liveness.askedAt+unresponsiveAfter {
		c.probeOpenConnections(h)
	}
	switch {
	case h.isDialing():
	case c.now < h.redialAt && !h.needsLastDial(silentFor):
	case h.leastBusyConnection() == nil:
		h.liveness.asked(c.now)
		c.dial(h, purposeMessages)
	case c.needsReopening(h):
		c.dial(h, purposeMissedEnds)
	case silentFor > unresponsiveAfter && c.now > h.liveness.reachableAt+unresponsiveAfter:
		c.dial(h, purposeReachability)
	}
}

// mustProbe reports whether a host that accepts connections and says nothing is asked for a message.
func (c *Core) mustProbe(h *host) bool {
	return c.settings.MayProbe && h.hasPlacedTasks() && c.now > h.liveness.lastAliveAt(true)+probeSilentAfter
}

// probeOpenConnections asks a host on each open connection whether it is alive, as some may pass nothing any more.
func (c *Core) probeOpenConnections(h *host) {
	h.liveness.asked(c.now)
	for _, conn := range h.connections {
		if conn.state == connectionOpen {
			c.sendProbeMessage(conn)
		}
	}
}

// isUnreadable reports whether a host has sent nothing but unreadable messages for lostAfter. The ends of its tasks may be
// among them. If the host may be probed, it was asked for a readable one; otherwise it must still send unreadable ones.
func (h *host) isUnreadable(now time.Duration, mayProbe bool) bool {
	return h.unreadableSince > 0 && now > h.unreadableSince+lostAfter &&
		(mayProbe || now < h.lastUnreadableAt+unresponsiveAfter)
}

// isLost reports whether a host has shown no sign of life for too long although it was asked for one. A dial in progress, or
// the answer on a connection that has just opened, is awaited for up to lastDialBeforeLoss/2 longer.
func (c *Core) isLost(h *host, silentFor time.Duration) bool {
	const lastWait = lastDialBeforeLoss / 2
	if silentFor <= lostAfter {
		return false
	}
	mayStillAnswer := h.isDialing() || c.settings.MayProbe && c.now < h.liveness.reachableAt+lastWait
	if mayStillAnswer && silentFor <= lostAfter+lastWait {
		return false
	}
	if c.settings.MayProbe {
		return h.liveness.leavesUnanswered(c.now)
	}
	return h.lastDialFailedAt > h.liveness.lastContactAt()+unresponsiveAfter
}

// needsLastDial reports whether a host is about to be lost, but no dial has failed since lastDialBeforeLoss before the
// loss. Such a host is dialed regardless of its backoff.
func (h *host) needsLastDial(silentFor time.Duration) bool {
	lastContact := h.liveness.lastContactAt()
	return silentFor > lostAfter-lastDialBeforeLoss && h.lastDialFailedAt < lastContact+lostAfter-lastDialBeforeLoss
}
