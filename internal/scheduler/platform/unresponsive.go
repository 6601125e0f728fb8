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

// isAliveAfterRemoval reports whether a host that the endpoint list has as removed has sent something since then, on a
// connection that is still open. Such a list is wrong, or early.
func (h *host) isAliveAfterRemoval() bool {
	return h.leastBusyConnection() != nil && h.lastReceivedAt() > h.removedAt
}

// lastReceivedAt returns the last time at which something was received on a connection that is open.
func (h *host) lastReceivedAt() time.Duration {
	last := time.Duration(0)
	for _, conn := range h.connections {
		last = max(last, conn.lastReceivedAt)
	}
	return last
}

// reconcileResponsiveness dials a host with placed tasks that sends nothing or has no open connection, to see whether
// it is alive. If it has accepted no connection for too long, its tasks count as lost.
func (c *Core) reconcileResponsiveness(h *host) {
	if !h.hasPlacedTasks() || h.address == "" {
		return
	}
	if h.lastSeenAliveAt == 0 { // the host has never been seen alive, so the time until it counts as lost begins now
		h.lastSeenAliveAt = c.now
	}
	if h.isUnreadable(c.now, c.settings.MayProbe) {
		c.endLostTasks(h, reasonOnlyUnreadable)
		return
	}
	switch unresponsiveFor := c.now - h.lastSeenAliveAt; {
	case h.isLost(unresponsiveFor):
		c.endLostTasks(h, reasonUnresponsive)
		for _, conn := range slices.Clone(h.connections) {
			c.closeConnection(conn, reasonUnresponsive)
		}
	case h.isDialing():
	case c.now < h.redialAt && !h.needsLastDial(unresponsiveFor):
	case h.leastBusyConnection() == nil:
		c.dial(h, purposeMessages)
	case unresponsiveFor > unresponsiveAfter:
		c.dial(h, purposeReachability)
	}
}

// isUnreadable reports whether a host has sent nothing but unreadable messages for lostAfter. The ends of its tasks may be
// among them. If the host may be probed, it was asked for a readable one; otherwise it must still send unreadable ones.
func (h *host) isUnreadable(now time.Duration, mayProbe bool) bool {
	return h.unreadableSince > 0 && now > h.unreadableSince+lostAfter &&
		(mayProbe || now < h.lastUnreadableAt+unresponsiveAfter)
}

// isLost reports whether a host has not been seen alive for too long and no connection to it could be made meanwhile. A
// dial in progress is awaited for up to lastDialBeforeLoss/2 longer.
func (h *host) isLost(unresponsiveFor time.Duration) bool {
	return unresponsiveFor > lostAfter && h.lastDialFailedAt > h.lastSeenAliveAt+unresponsiveAfter &&
		(!h.isDialing() || unresponsiveFor > lostAfter+lastDialBeforeLoss/2)
}

// needsLastDial reports whether a host is about to be lost, but no dial has failed since lastDialBeforeLoss before the
// loss. Such a host is dialed regardless of its backoff.
func (h *host) needsLastDial(unresponsiveFor time.Duration) bool {
	return unresponsiveFor > lostAfter-lastDialBeforeLoss && h.lastDialFailedAt < h.lastSeenAliveAt+lostAfter-lastDialBeforeLoss
}
