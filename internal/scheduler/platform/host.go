package platform

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/invariant"
)

// host is a host of the endpoint list, or one that an owner named before the list had it.
type host struct {
	id            forkhead.MachineID
	name          string
	address       string           // "" until the list has it: nothing can be offered
	entry         forkhead.Machine // as the list has it
	invariantView invariant.Host   // the same for checks
	unlistedSince time.Duration    // 0: it is listed
	drainingSince time.Duration    // since when the list has not had it as ready
	removedAt     time.Duration    // since when the list has had it as removed

	attempts    map[requestRef]*taskAttempt // those that are live
	connections []*hostConnection           // dialing or open
	probe       *probe                      // nil: none is in progress

	lastSeenAliveAt  time.Duration // when it last sent something, or accepted a connection, or refused one beside an open one
	lastDialFailedAt time.Duration // the last dial that failed; failures for want of descriptors here don't count
	redialAt         time.Duration // it is not dialed for its own sake before
	redialBackoff    time.Duration // doubles with each dial that fails
	refusedDials     int           // in a row, without an open connection
}

func newHost(id forkhead.MachineID, name string) *host {
	return &host{id: id, name: name, attempts: map[requestRef]*taskAttempt{}}
}

func (h *host) forInvariants() *invariant.Host { return &h.invariantView }

// setEntry sets the host's entry in the endpoint list.
func (h *host) setEntry(entry forkhead.Machine) {
	h.entry = entry
	h.invariantView = invariant.Host{
		ID: attempt.HostID(h.id), State: entry.State, DrainingSince: h.drainingSince,
		MachineType: entry.Type, Zone: entry.Zone, Cell: entry.Cell, StartedAt: entry.StartedAt,
	}
}

// isReplacing reports whether a connection is being dialed that takes the place of an idle one.
func (h *host) isReplacing() bool {
	return slices.ContainsFunc(h.connections, func(conn *hostConnection) bool {
		return conn.purpose == purposeReplacement && conn.state == connectionDialing
	})
}

func (h *host) isDialing() bool {
	return slices.ContainsFunc(h.connections, func(conn *hostConnection) bool { return conn.state == connectionDialing })
}

func (h *host) hasPlacedTasks() bool {
	for _, a := range h.attempts {
		if a.isPlaced() {
			return true
		}
	}
	return false
}

// leastBusyConnection is the open connection with the fewest attempts in flight, the latest used of them; nil: none is
// open.
func (h *host) leastBusyConnection() *hostConnection {
	var best *hostConnection
	for _, conn := range h.connections {
		if conn.state != connectionOpen {
			continue
		}
		if best == nil || conn.inFlight < best.inFlight || conn.inFlight == best.inFlight && conn.lastReceivedAt > best.lastReceivedAt {
			best = conn
		}
	}
	return best
}

// attemptsWhere lists the live attempts that meet a condition, by the number of their request.
func (h *host) attemptsWhere(meets func(*taskAttempt) bool) []*taskAttempt {
	var all []*taskAttempt
	for _, a := range h.attempts {
		if meets(a) {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(a, b *taskAttempt) int { return cmp.Compare(a.request.id, b.request.id) })
	return all
}

// hostsInOrder lists the hosts by id. The slice must not be changed.
func (c *Core) hostsInOrder() []*host {
	if c.sortedHosts == nil {
		c.sortedHosts = slices.SortedFunc(maps.Values(c.hosts), func(a, b *host) int { return cmp.Compare(a.id, b.id) })
	}
	return c.sortedHosts
}

func (c *Core) addHost(h *host) { c.hosts[h.id], c.sortedHosts = h, nil }

func (c *Core) removeHost(h *host) {
	delete(c.hosts, h.id)
	c.sortedHosts = nil
}
