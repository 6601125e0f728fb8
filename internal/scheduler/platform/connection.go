package platform

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
)

// connectionState is the state of a connection to a host. One that is closed is removed.
type connectionState uint8

const (
	connectionDialing    connectionState = iota // neither HostConnected nor DialFailed has come
	connectionOpen                              // offers may be sent on it
	connectionHalfClosed                        // nothing is sent any more; what the host has sent is still read
)

// connectionPurpose is what a connection was dialed for. Once it is open, offers may use any.
type connectionPurpose uint8

const (
	purposeMessages     connectionPurpose = iota // offers, probes or stops
	purposeReachability                          // to see whether an unresponsive host accepts a connection
	purposeReplacement                           // takes the place of an idle one, where hosts may not be probed
)

type hostConnection struct {
	id             ConnectionID
	host           *host
	state          connectionState
	purpose        connectionPurpose
	halfClosedAt   time.Duration
	reader         lineReader
	lastReceivedAt time.Duration
	lastSentAt     time.Duration  // an offer or a probe, or it was dialed or connected
	inFlight       int            // offers sent and not answered
	queued         []*taskAttempt // their offers are sent when it is open
	probeQueued    bool           // a probe is sent when it is open
}

// isIdle reports whether an open connection carries no offer.
func (conn *hostConnection) isIdle() bool { return conn.state == connectionOpen && conn.inFlight == 0 }

// lastUsedAt is when something was last sent or received.
func (conn *hostConnection) lastUsedAt() time.Duration {
	return max(conn.lastSentAt, conn.lastReceivedAt)
}

// isNeeded reports whether it is the only connection to a host that runs tasks: their ends are reported on it.
func (conn *hostConnection) isNeeded() bool {
	return len(conn.host.connections) == 1 && conn.host.hasPlacedTasks()
}

// isEvictedBefore reports whether an idle connection is closed before another one to free a slot: those that are not needed
// go first, then those that have not been used for longer.
func (conn *hostConnection) isEvictedBefore(other *hostConnection) bool {
	if needed := conn.isNeeded(); needed != other.isNeeded() {
		return !needed
	}
	return cmp.Or(cmp.Compare(conn.lastUsedAt(), other.lastUsedAt()), cmp.Compare(conn.id, other.id)) < 0
}

// ---- Attempts and their connections.

// assignConnection sends the offer of an attempt on an idle connection to its host, else on a new one, else on the least
// busy one, or queues it there. An offer that no connection can take fails.
func (c *Core) assignConnection(a *taskAttempt) {
	conn := c.connectionForOffer(a.host)
	if conn == nil || conn.inFlight+len(conn.queued) >= maxAttemptsPerConnection {
		c.endAttempt(a, attemptEnd{input: attempt.ConnectionLost, result: forkhead.ConnectFailed})
		return
	}
	a.connection = conn
	if conn.state == connectionOpen {
		c.sendOffer(a)
	} else {
		conn.queued = append(conn.queued, a)
	}
}

// connectionForOffer is the connection that a new offer to a host uses; nil: none is there and none can be dialed.
func (c *Core) connectionForOffer(h *host) *hostConnection {
	open := h.leastBusyConnection()
	if open == nil || open.inFlight > 0 && len(h.connections) < maxConnectionsPerHost {
		if dialed := c.dial(h, purposeMessages); dialed != nil {
			return dialed
		}
	}
	if open != nil || len(h.connections) == 0 {
		return open
	}
	return slices.MinFunc(h.connections, func(a, b *hostConnection) int { return cmp.Compare(len(a.queued), len(b.queued)) })
}

// failQueued ends the attempts that wait for a connection that was not made.
func (c *Core) failQueued(conn *hostConnection, end attemptEnd) {
	queued := conn.queued
	conn.queued = nil
	for _, a := range queued {
		a.connection = nil
		c.endAttempt(a, end)
	}
}

// ---- Dialing.

// dial dials a host; nil: all connection slots are taken.
func (c *Core) dial(h *host, purpose connectionPurpose) *hostConnection {
	if !c.acquireHostSlot(h) {
		return nil
	}
	c.lastConnection++
	conn := &hostConnection{id: c.lastConnection, host: h, purpose: purpose, lastSentAt: c.now}
	c.connections[conn.id] = conn
	h.connections = append(h.connections, conn)
	c.emit(DialHost{conn.id, h.address})
	return conn
}

func (c *Core) hostConnected(id ConnectionID) {
	conn := c.connections[id]
	if conn == nil {
		return
	}
	h := conn.host
	conn.state, conn.lastSentAt, conn.lastReceivedAt = connectionOpen, c.now, c.now
	h.lastSeenAliveAt, h.redialBackoff, h.refusedDials = c.now, 0, 0
	c.sendQueued(conn)
	c.sendDeferredStops(h)
	c.closeSuperseded(conn)
}

// sendQueued sends what has waited for a connection to open.
func (c *Core) sendQueued(conn *hostConnection) {
	if conn.probeQueued {
		conn.probeQueued = false
		c.sendProbe(conn)
	}
	queued := conn.queued
	conn.queued = nil
	for _, a := range queued {
		c.sendOffer(a)
	}
}

// sendDeferredStops sends the stops of tasks that were to end while no connection was open. Guards against a task that its
// owner has ended and that runs on.
func (c *Core) sendDeferredStops(h *host) {
	for _, a := range h.attemptsWhere(func(a *taskAttempt) bool { return a.request.phase == requestEnding && !a.stopSent }) {
		c.sendOrDeferStop(a)
	}
}

// closeSuperseded closes connections that a new one makes superfluous, or the new one once it has shown that its host
// accepts connections. Guards against connections that pile up to hosts with little to report.
func (c *Core) closeSuperseded(conn *hostConnection) {
	switch conn.purpose {
	case purposeReplacement:
		for _, other := range slices.Clone(conn.host.connections) {
			if other != conn && other.isIdle() {
				c.halfClose(other)
			}
		}
	case purposeReachability:
		if conn.inFlight == 0 && len(conn.host.connections) > 1 {
			c.halfClose(conn)
		}
	case purposeMessages:
	}
}

func (c *Core) dialFailed(failure DialFailed) {
	conn := c.connections[failure.Connection]
	switch {
	case conn == nil:
	case failure.Local:
		c.removeConnection(conn)
		conn.host.redialAt = c.now + minRedialBackoff
		c.failQueued(conn, attemptEnd{input: attempt.Abandoned, result: forkhead.NotSent})
	default:
		c.dialFailedAtHost(conn, failure.Refused)
	}
}

// dialFailedAtHost handles a failure of a dial that is not local.
func (c *Core) dialFailedAtHost(conn *hostConnection, refused bool) {
	h := conn.host
	switch {
	case refused && h.leastBusyConnection() != nil:
		// The machine answers, and its process holds our connections: it drains, or accepts no more. Guards against losing
		// the tasks of a host that only refuses new connections.
		h.lastSeenAliveAt = c.now
	case refused:
		h.refusedDials++
	}
	h.lastDialFailedAt = c.now
	h.redialBackoff = min(max(2*h.redialBackoff, minRedialBackoff), maxRedialBackoff)
	h.redialAt = c.now + h.redialBackoff
	c.removeConnection(conn)
	c.failQueued(conn, attemptEnd{input: attempt.ConnectionLost, result: forkhead.ConnectFailed})
	if h.leastBusyConnection() != nil {
		return
	}
	if conn.probeQueued && h.probe != nil {
		c.finishProbe(h, forkhead.ConnectFailed, nil)
	}
	if h.refusedDials >= lostAfterRefusals && (h.entry.State == forkhead.Ready || c.now > h.lastSeenAliveAt+lostAfter) {
		c.endLostTasks(h, reasonRefusesConnections)
	}
}

// ---- Connection slots.

// usedHostConnections is how many connections to hosts take a slot: all but a few that are half-closed, whose descriptors
// come out of those that the shell reserves.
func (c *Core) usedHostConnections() int {
	return len(c.connections) - min(len(c.halfClosed), maxHalfClosed)
}

// acquireHostSlot frees a slot for one more connection to a host, if need be: an idle one to another host is evicted, else
// one of the owners beyond those that are protected. It guards against descriptors that run out: neither hosts nor owners
// nor the endpoint list could then be reached any more.
func (c *Core) acquireHostSlot(h *host) bool {
	used := c.usedHostConnections()
	if used < c.config.MaxHostConnections && used+len(c.owners) < c.config.MaxConnections {
		return true
	}
	if idle := c.evictionCandidate(h); idle != nil {
		c.evictHostConnection(idle)
		return true
	}
	owner := c.ownerEvictionCandidate()
	if owner == nil || used >= c.config.MaxHostConnections || len(c.owners) <= c.config.ProtectedOwnerConnections {
		return false
	}
	c.closeOwner(owner)
	return true
}

// evictionCandidate is the idle connection that is evicted first, of hosts other than one; nil: none is idle.
func (c *Core) evictionCandidate(except *host) *hostConnection {
	var first *hostConnection
	for _, conn := range c.connections {
		if conn.isIdle() && conn.host != except && (first == nil || conn.isEvictedBefore(first)) {
			first = conn
		}
	}
	return first
}

// evictHostConnection closes an idle connection. A host that runs tasks and has no other is dialed again in time to see
// whether it is still there; it reports then what became of them.
func (c *Core) evictHostConnection(conn *hostConnection) {
	if h := conn.host; len(h.connections) == 1 {
		h.redialAt = max(h.redialAt, c.now+unresponsiveAfter)
	}
	c.halfClose(conn)
}

// ---- The end of connections.

// halfClose closes an idle connection for writing and reads on until its host closes it too, or for a while. It guards
// against releases and notes that cross the close: a host takes what it has written for received. Where descriptors are
// short, the connection is closed at once.
func (c *Core) halfClose(conn *hostConnection) {
	if len(c.halfClosed) >= maxHalfClosed && c.connectionsExhausted() {
		c.closeConnection(conn)
		return
	}
	conn.state, conn.halfClosedAt = connectionHalfClosed, c.now
	c.halfClosed = append(c.halfClosed, conn)
	conn.host.connections = without(conn.host.connections, conn)
	c.emit(HalfCloseHostConnection{conn.id})
}

// connectionsExhausted reports whether all descriptors for connections are taken, those of half-closed ones included, which
// usedHostConnections leaves out.
func (c *Core) connectionsExhausted() bool {
	return len(c.connections)+len(c.owners) >= c.config.MaxConnections || len(c.connections) >= c.config.MaxHostConnections
}

// closeConnection closes a connection at once.
func (c *Core) closeConnection(conn *hostConnection) {
	c.emit(CloseHostConnection{conn.id})
	c.connectionLost(conn)
}

// closeFaultyConnection closes a connection that cannot be used any further, and logs why.
func (c *Core) closeFaultyConnection(conn *hostConnection, reason logReason, details ...slog.Attr) {
	attributes := append([]slog.Attr{hostAttr(conn.host.name), connectionAttr(conn.id), reasonAttr(reason)}, details...)
	c.logInfo(messageConnectionClosed, attributes...)
	c.closeConnection(conn)
}

// connectionLost handles the end of a connection: attempts in flight on it may have run.
func (c *Core) connectionLost(conn *hostConnection) {
	c.removeConnection(conn)
	h := conn.host
	for _, a := range h.attemptsWhere(func(a *taskAttempt) bool { return a.connection == conn }) {
		end := attemptEnd{input: attempt.ConnectionLost, result: forkhead.ConnectFailed}
		if a.isInFlight() {
			c.abandoned.add(a.key())
			c.possibleOrphans = append(c.possibleOrphans, possibleOrphan{h, a.request.ref})
			end.result = forkhead.Reset
		}
		c.endAttempt(a, end)
	}
	if h.probe != nil && slices.Contains(h.probe.connections, conn) {
		h.probe.retryAt = c.now
	}
}

// removeConnection removes a connection from the core's tables.
func (c *Core) removeConnection(conn *hostConnection) {
	delete(c.connections, conn.id)
	conn.host.connections = without(conn.host.connections, conn)
	if conn.state == connectionHalfClosed {
		c.halfClosed = without(c.halfClosed, conn)
	}
}

// without removes a connection from a list, in place.
func without(all []*hostConnection, conn *hostConnection) []*hostConnection {
	return slices.DeleteFunc(all, func(other *hostConnection) bool { return other == conn })
}
