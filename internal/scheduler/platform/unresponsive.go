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
	if c.unlistedHosts >= maxUnlistedHosts {
		return nil
	}
	c.unlistedHosts++
	h := newHost(id, name)
	h.unlistedSince = c.now
	h.setEntry(forkhead.Machine{ID: id, State: forkhead.Draining, Zone: -1, Cell: -1})
	c.addHost(h)
	return h
}

// expireUnlisted ends the tasks of a host that is not listed in time as lost. A host without attempts is deleted
// at once.
func (c *Core) expireUnlisted(h *host) {
	if c.now > h.unlistedSince+unlistedTimeout {
		c.endLostTasks(h, reasonNotListed)
	}
	if len(h.attempts) == 0 {
		c.unlistedHosts--
		c.removeHost(h)
	}
}

// expireRemoved ends the tasks of a removed host as lost once removedGrace is over, and deletes the host after
// removeHostAfter.
func (c *Core) expireRemoved(h *host) {
	if c.now <= h.removedAt+removedGrace {
		return
	}
	c.endLostTasks(h, reasonRemoved)
	if c.now > h.removedAt+removeHostAfter && len(h.attempts) == 0 && len(h.connections) == 0 {
		c.removeHost(h)
	}
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
	switch unresponsiveFor := c.now - h.lastSeenAliveAt; {
	case h.isLost(unresponsiveFor):
		c.endLostTasks(h, reasonUnresponsive)
		for _, conn := range slices.Clone(h.connections) {
			c.closeConnection(conn)
		}
	case h.isDialing():
	case c.now < h.redialAt && !h.needsLastDial(unresponsiveFor):
	case h.leastBusyConnection() == nil:
		c.dial(h, purposeMessages)
	case unresponsiveFor > unresponsiveAfter:
		c.dial(h, purposeReachability)
	}
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
