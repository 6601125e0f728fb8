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
	address       string           // "" until the endpoint list has the host, which cannot be dialed before
	entry         forkhead.Machine // entry in the endpoint list
	invariantView invariant.Host   // entry in the form that package invariant checks
	statedStart   time.Duration    // start of the host's incarnation as the endpoint list states it, by another machine's clock
	isSuperseded  bool             // another host has its address, and the endpoint list has not removed it yet
	unlistedSince time.Duration    // time of the hand-over that added the host; 0: the endpoint list has it
	drainingSince time.Duration    // time since which the endpoint list has not had the host as ready
	lostAt        time.Duration    // when its tasks were last lost
	removedAt     time.Duration    // time since which the endpoint list has had the host as removed

	attempts    map[requestRef]*taskAttempt // live attempts
	latestByKey map[uint64]*taskAttempt     // the attempt of each task that was added to attempts last, by the task's key
	ending      int                         // number of members of attempts whose tasks are being stopped
	unconfirmed map[requestRef]*taskAttempt // attempts with an unconfirmed end
	connections []*hostConnection           // connections that are being dialed or are open
	probe       *probe                      // probe in progress; nil: none

	liveness         liveness
	stranded         int           // placed tasks whose offers were sent on connections that broke
	brokenAt         time.Duration // when a connection last ended out of order
	missingSince     time.Duration // since when that connection may have lost ends
	openedAt         time.Duration // when a connection was last opened
	reopenAt         time.Duration // when a connection is to be opened for ends that may have been lost; 0: none is
	lastDialFailedAt time.Duration // last failed dial, not counting local failures for lack of file descriptors
	redialAt         time.Duration // earliest time of a dial that no offer or probe needs
	redialBackoff    time.Duration // doubles with each failed dial
	unreadableSince  time.Duration // when the first of the unreadable messages came after which no other has been read; 0: none
	lastUnreadableAt time.Duration // when the last of them came
	refusedDials     int           // dials refused in a row while no connection was open
	wasReset         bool          // the connection that ended last was reset by the host
}

func newHost(id forkhead.MachineID, name string) *host {
	return &host{
		id: id, name: name, attempts: map[requestRef]*taskAttempt{}, latestByKey: map[uint64]*taskAttempt{},
		unconfirmed: map[requestRef]*taskAttempt{},
	}
}

// addAttempt adds a live attempt.
func (h *host) addAttempt(a *taskAttempt) {
	h.attempts[a.request.ref] = a
	h.latestByKey[a.request.task.Key] = a
}

// removeAttempt removes an attempt, if it is the live one of its ref.
func (h *host) removeAttempt(a *taskAttempt) {
	if h.attempts[a.request.ref] == a {
		delete(h.attempts, a.request.ref)
	}
	if key := a.request.task.Key; h.latestByKey[key] == a {
		delete(h.latestByKey, key)
	}
	if a.countsAsEnding {
		a.countsAsEnding = false
		h.ending--
	}
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

// isReplacing reports whether a connection that is to replace an idle one is being dialed.
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

// leastBusyConnection returns the open connection with the fewest offers in flight, among equals the one that last
// received data, or nil if none is open.
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

// attemptsWhere returns the live attempts that meet a condition, ordered by the id of their request.
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

// hostsInOrder returns the hosts ordered by id. The slice must not be modified.
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
