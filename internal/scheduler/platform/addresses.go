package platform

import (
	"cmp"
	"slices"

	"forkhead"
)

// Two processes cannot listen at one address. A host that comes to an address in the endpoint list therefore shows that the
// host which the list had there before has gone, although the list may go on naming both. The earlier host is superseded:
// it counts as removed, its tasks are lost, and nothing is sent to the address under its name any more.

// occupancy is the host that came last to an address in the endpoint list.
type occupancy struct {
	host *host
	list uint64 // number of the list with which the host came
}

// claimAddress applies the address of a host's entry, whose start is the stated one, and returns the state that the host
// has by it. That is the state of the entry, or removed if another host came to the address later.
func (c *Core) claimAddress(h *host, entry forkhead.Machine, address string) forkhead.MachineState {
	if entry.State == forkhead.Removed {
		c.handleRemovedAt(h, entry, address)
		return entry.State
	}
	if address == "" {
		return entry.State
	}
	arrives := h.arrivesAt(address, entry)
	current := c.occupants[address]
	switch {
	case current.host == nil || current.host == h && arrives:
		c.occupy(h, address)
	case current.host == h:
	case !arrives: // the list names it again where it was
		if h.isSuperseded {
			return forkhead.Removed
		}
	case current.list < c.listNumber:
		c.supersede(current.host)
		c.occupy(h, address)
	default:
		return c.orderByStart(h, entry, address, current.host)
	}
	return entry.State
}

// handleRemovedAt applies the removal of a host. One that was not listed before, and started after the host that the list has
// at its address, has come there and gone meanwhile.
func (c *Core) handleRemovedAt(h *host, entry forkhead.Machine, address string) {
	current := c.occupants[address].host
	if h.address == "" && current != nil && current != h && entry.StartedAt > current.statedStart {
		c.supersede(current)
	}
	c.vacateAddress(h)
	h.isSuperseded = false
}

// orderByStart decides which of two hosts is at an address to which one list has brought both. If their stated starts are
// the same, neither is superseded.
func (c *Core) orderByStart(h *host, entry forkhead.Machine, address string, other *host) forkhead.MachineState {
	switch cmp.Compare(entry.StartedAt, other.statedStart) {
	case -1:
		h.isSuperseded = true
		return forkhead.Removed
	case 1:
		c.supersede(other)
		c.occupy(h, address)
	}
	return entry.State
}

// arrivesAt reports whether an entry brings a host to an address: it was elsewhere or not listed, or it has restarted.
func (h *host) arrivesAt(address string, entry forkhead.Machine) bool {
	isBack := h.entry.State == forkhead.Removed && !h.isSuperseded
	return h.address != address || isBack || entry.StartedAt > h.statedStart
}

func (c *Core) occupy(h *host, address string) {
	c.vacateAddress(h)
	h.isSuperseded = false
	c.occupants[address] = occupancy{h, c.listNumber}
}

// vacateAddress removes a host from its address.
func (c *Core) vacateAddress(h *host) {
	if c.occupants[h.address].host == h {
		delete(c.occupants, h.address)
	}
}

// supersede handles a host whose address another one has taken. Its tasks are lost. As its connections may lead to the other
// host, which may have accepted some of them, the stops of these tasks are sent there.
func (c *Core) supersede(h *host) {
	c.logInfo(messageHostSuperseded, hostAttr(h.name), addressAttr(h.address))
	c.updateHost(h, h.removedEntry(), h.address)
	h.isSuperseded = true
	c.endLostTasks(h, reasonAddressTaken)
	c.superseded = append(c.superseded, h)
}

// closeSupersededConnections closes the connections to a host whose address is another's, once the stops of its tasks are sent. What
// the other host sends on them would be taken for messages of this one.
func (c *Core) closeSupersededConnections(h *host) {
	if len(h.connections) == 0 || !c.hasSuccessor(h) || h.hasPlacedTasks() || c.now <= h.lostAt {
		return
	}
	for _, conn := range slices.Clone(h.connections) {
		if conn.isIdle() {
			c.halfClose(conn, reasonOutdated)
		} else {
			c.closeConnection(conn, reasonOutdated)
		}
	}
}

// removedEntry returns the entry of a host that has gone without an entry that says so.
func (h *host) removedEntry() forkhead.Machine {
	entry := h.entry
	entry.State, entry.StartedAt = forkhead.Removed, h.statedStart
	return entry
}

// hasSuccessor reports whether a removed host's address is another's.
func (c *Core) hasSuccessor(h *host) bool {
	occupant := c.occupants[h.address].host
	return h.entry.State == forkhead.Removed && occupant != nil && occupant != h
}

// isGone reports whether the endpoint list has had a host as removed for removedGrace and the host shows no sign of life.
// What answers at its address is no sign of life if another host has the address.
func (c *Core) isGone(h *host) bool {
	return h.entry.State == forkhead.Removed && c.now > h.removedAt+removedGrace && (!h.isAliveAfterRemoval(c.now) || c.hasSuccessor(h))
}
