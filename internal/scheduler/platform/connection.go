package platform

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
)

// connectionState is the state of a connection to a host. Closed connections are removed and have none.
type connectionState uint8

const (
	connectionDialing    connectionState = iota // neither HostConnected nor DialFailed has been received
	connectionOpen                              // offers may be sent on the connection
	connectionHalfClosed                        // nothing is sent any more, but data from the host is still read
)

// connectionPurpose is the reason why a connection was dialed. Offers may use any open connection.
type connectionPurpose uint8

const (
	purposeMessages     connectionPurpose = iota // to send offers, probes or stops
	purposeReachability                          // to check whether an unresponsive host accepts connections
	purposeMissedEnds                            // to receive ends of tasks that a broken connection may have lost
	purposeReplacement                           // to replace an idle connection where hosts may not be probed
)

type hostConnection struct {
	id             ConnectionID
	host           *host
	state          connectionState
	purpose        connectionPurpose
	halfClosedAt   time.Duration
	reader         lineReader
	openedAt       time.Duration
	isVouchedFor   bool // it was dialed while the endpoint list had the host, so what comes on it is from the host
	lastReceivedAt time.Duration
	lastSentAt     time.Duration // time of the last offer, probe, dial or connect
	carriage       *carriage
	inFlight       int            // number of offers sent and not answered
	queued         []*taskAttempt // attempts whose offers are sent once the connection is open
	probeQueued    bool           // a probe is sent once the connection is open
	barrier        barrier        // latest probe that was sent behind stops
}

// isIdle reports whether an open connection carries no offer.
func (conn *hostConnection) isIdle() bool { return conn.state == connectionOpen && conn.inFlight == 0 }

// lastUsedAt returns the time at which something was last sent or received.
func (conn *hostConnection) lastUsedAt() time.Duration {
	return max(conn.lastSentAt, conn.lastReceivedAt)
}

// isNeeded reports whether the connection is the only one to a host that runs tasks, which reports their ends on it.
func (conn *hostConnection) isNeeded() bool {
	return len(conn.host.connections) == 1 && conn.host.hasPlacedTasks()
}

// isEvictedBefore reports whether an idle connection is closed before another one to free a slot. Connections that are
// not needed are closed before those that are, and the least recently used first within each group.
func (conn *hostConnection) isEvictedBefore(other *hostConnection) bool {
	if needed := conn.isNeeded(); needed != other.isNeeded() {
		return !needed
	}
	return cmp.Or(cmp.Compare(conn.lastUsedAt(), other.lastUsedAt()), cmp.Compare(conn.id, other.id)) < 0
}

// ---- Assigning attempts to connections.

// assignConnection sends the offer of an attempt on an idle connection to its host, or else on a new one, or else on
// the least busy one. On a connection that is still being dialed the offer is queued. If no connection can take the
// offer, the attempt fails.
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

// connectionForOffer returns the connection that a new offer to a host uses, or nil if there is none and none can be
// dialed.
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

// failQueued ends the attempts that are queued on a connection that could not be opened.
func (c *Core) failQueued(conn *hostConnection, end attemptEnd) {
	queued := conn.queued
	conn.queued = nil
	for _, a := range queued {
		a.connection = nil
		c.endAttempt(a, end)
	}
}

// ---- Dialing.

// dial dials a host and returns the new connection, or nil if no connection slot is free or another host has the address.
func (c *Core) dial(h *host, purpose connectionPurpose) *hostConnection {
	if c.hasSuccessor(h) || !c.acquireHostSlot(h) {
		return nil
	}
	c.lastConnection++
	conn := &hostConnection{id: c.lastConnection, host: h, purpose: purpose, lastSentAt: c.now, isVouchedFor: h.entry.State != forkhead.Removed, carriage: &carriage{}}
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
	c.logInfo(messageConnectionOpened, hostAttr(h.name), connectionAttr(conn.id), addressAttr(h.address))
	conn.state, conn.openedAt, conn.lastSentAt, conn.lastReceivedAt = connectionOpen, c.now, c.now, c.now
	h.liveness.reachableAt, h.redialBackoff, h.refusedDials = c.now, 0, 0
	h.wasReset = false
	h.recordOpened(c.now)
	if c.settings.MayProbe && (h.unreadableSince > 0 || c.mustProbe(h)) {
		c.sendProbeMessage(conn) // its result is readable if the host is well
	}
	c.sendQueued(conn)
	c.sendDeferredStops(h)
	c.stopUnconfirmed(h)
	c.closeSuperseded(conn)
}

// sendQueued sends the probe and the offers that are queued on a connection that has opened.
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

// sendDeferredStops sends the stops of tasks that were ended while no connection was open. Otherwise a task that its
// owner has ended would run on.
func (c *Core) sendDeferredStops(h *host) {
	deferred := h.attemptsWhere(func(a *taskAttempt) bool { return a.request.phase == requestEnding && a.stop.connection == nil })
	for _, a := range deferred {
		c.sendOrDeferStop(a)
	}
}

// closeSuperseded closes the connections that a new one replaces, or the new one itself if it was dialed only to check
// whether its host accepts connections. Without this, connections to hosts that rarely send anything would accumulate.
func (c *Core) closeSuperseded(conn *hostConnection) {
	switch conn.purpose {
	case purposeReplacement:
		for _, other := range slices.Clone(conn.host.connections) {
			if other != conn && other.isIdle() {
				c.halfClose(other, reasonSuperseded)
			}
		}
	case purposeReachability:
		isAsked := c.mustProbe(conn.host) // if so, reconcileConnection closes it once the probe on it is answered
		if !isAsked && conn.inFlight == 0 && len(conn.host.connections) > 1 {
			c.halfClose(conn, reasonSuperseded)
		}
	case purposeMessages, purposeMissedEnds:
	}
}

func (c *Core) dialFailed(failure DialFailed) {
	conn := c.connections[failure.Connection]
	switch {
	case conn == nil:
	case failure.Local:
		c.logConnection(messageDialFailed, conn, reasonLocalFailure)
		c.removeConnection(conn)
		conn.host.redialAt = c.now + minRedialBackoff
		c.failQueued(conn, attemptEnd{input: attempt.Abandoned, result: forkhead.NotSent})
	default:
		c.dialFailedAtHost(conn, failure.Refused)
	}
}

// dialFailedAtHost handles a failed dial whose cause is not local.
func (c *Core) dialFailedAtHost(conn *hostConnection, refused bool) {
	h := conn.host
	reason := reasonNoAnswer
	if refused {
		reason = reasonRefusesConnections
	}
	c.logConnection(messageDialFailed, conn, reason)
	switch {
	case refused && h.leastBusyConnection() != nil:
		// The machine answers and its process still holds an open connection, so it drains or accepts no further ones.
		// Counting the refusal would lose the tasks of a host that only refuses new connections.
		h.liveness.reachableAt = c.now
	case refused:
		h.refusedDials++
	}
	h.lastDialFailedAt = c.now
	h.redialBackoff = min(max(2*h.redialBackoff, minRedialBackoff), h.maxRedialBackoff())
	h.redialAt = c.now + h.redialBackoff
	c.removeConnection(conn)
	c.failQueued(conn, attemptEnd{input: attempt.ConnectionLost, result: forkhead.ConnectFailed})
	if h.leastBusyConnection() != nil {
		return
	}
	if conn.probeQueued && h.probe != nil {
		c.finishProbe(h, forkhead.ConnectFailed, nil)
	}
	if h.refusedDials >= lostAfterRefusals && (h.processSeemsEnded() || c.now > h.liveness.lastContactAt()+lostAfter) {
		c.endLostTasks(h, reasonRefusesConnections)
	}
}

// maxRedialBackoff returns the bound of the delay before a redial.
func (h *host) maxRedialBackoff() time.Duration {
	if h.hasPlacedTasks() {
		return maxRedialBackoff
	}
	return maxUnconfirmedRedialBackoff
}

// processSeemsEnded reports whether a host that refuses connections looks as if its process had ended: the process
// reset its connections, as ending processes do, and was not draining, or the endpoint list has it as removed. A host
// that closed its connections in order may only refuse new ones for some time.
func (h *host) processSeemsEnded() bool {
	return h.entry.State == forkhead.Removed || h.entry.State == forkhead.Ready && h.wasReset
}

// ---- Connection slots.

// usedHostConnections returns the number of connections to hosts that take a slot. Up to maxHalfClosed half-closed
// connections take none: they use file descriptors that the caller of Core.Step keeps in reserve.
func (c *Core) usedHostConnections() int {
	return len(c.connections) - min(len(c.halfClosed), maxHalfClosed)
}

// hasFreeHostSlot reports whether a slot for one more connection to a host is free.
func (c *Core) hasFreeHostSlot() bool {
	used := c.usedHostConnections()
	return used < c.config.MaxHostConnections && used+len(c.owners) < c.config.MaxConnections
}

// acquireHostSlot makes sure that there is a slot for one more connection to a host, and reports whether there is. If
// all are taken, it evicts an idle connection to another host, or else a connection of an owner beyond the protected
// number. The bound keeps file descriptors from running out, after which neither hosts nor owners nor the endpoint list
// could be reached any more.
func (c *Core) acquireHostSlot(h *host) bool {
	if c.hasFreeHostSlot() {
		return true
	}
	if idle := c.evictionCandidate(h); idle != nil {
		c.evictHostConnection(idle)
		return true
	}
	owner := c.ownerEvictionCandidate()
	if owner == nil || c.usedHostConnections() >= c.config.MaxHostConnections || len(c.owners) <= c.config.ProtectedOwnerConnections {
		return false
	}
	c.closeOwner(owner, reasonEvicted)
	return true
}

// evictionCandidate returns the idle connection that is evicted first, or nil if none is idle. Connections to the host
// given as the parameter except are left out.
func (c *Core) evictionCandidate(except *host) *hostConnection {
	var first *hostConnection
	for _, conn := range c.connections {
		if conn.isIdle() && conn.host != except && (first == nil || conn.isEvictedBefore(first)) {
			first = conn
		}
	}
	return first
}

// evictHostConnection closes an idle connection. If it is the only one to its host, the next dial that no offer or
// probe needs is delayed by unresponsiveAfter. If the host runs tasks, that dial still comes in time to see whether the
// host is alive, and the host reports the ends of its tasks on the new connection.
func (c *Core) evictHostConnection(conn *hostConnection) {
	if h := conn.host; len(h.connections) == 1 {
		h.redialAt = max(h.redialAt, c.now+unresponsiveAfter)
	}
	c.halfClose(conn, reasonEvicted)
}

// ---- Closing connections.

// halfClose closes an idle connection for writing and reads on until its host closes it too or halfClosedTimeout has
// passed. A host assumes that all data that it has written is received, so an immediate close would lose the releases
// and notes that cross it. When connections are exhausted, the connection is closed at once.
func (c *Core) halfClose(conn *hostConnection, reason logReason) {
	if len(c.halfClosed) >= maxHalfClosed && c.connectionsExhausted() {
		c.closeConnection(conn, reason)
		return
	}
	c.logConnection(messageConnectionClosed, conn, reason)
	conn.state, conn.halfClosedAt = connectionHalfClosed, c.now
	c.halfClosed = append(c.halfClosed, conn)
	conn.host.connections = without(conn.host.connections, conn)
	c.emit(HalfCloseHostConnection{conn.id})
}

// connectionsExhausted reports whether all file descriptors for connections are in use. Unlike usedHostConnections, it
// counts every half-closed connection.
func (c *Core) connectionsExhausted() bool {
	return len(c.connections)+len(c.owners) >= c.config.MaxConnections || len(c.connections) >= c.config.MaxHostConnections
}

// closeConnection closes a connection at once and logs the reason.
func (c *Core) closeConnection(conn *hostConnection, reason logReason, details ...slog.Attr) {
	c.logConnection(messageConnectionClosed, conn, reason, details...)
	if reason != reasonEvicted { // else the connections of two hosts could evict one another for ever
		c.recordBroken(conn, false)
	}
	c.emit(CloseHostConnection{conn.id})
	c.connectionLost(conn)
}

func (c *Core) logConnection(message string, conn *hostConnection, reason logReason, details ...slog.Attr) {
	attributes := append([]slog.Attr{hostAttr(conn.host.name), connectionAttr(conn.id), reasonAttr(reason)}, details...)
	c.logInfo(message, attributes...)
}

// hostDisconnected handles the end of a connection that its host has closed or that was reset.
func (c *Core) hostDisconnected(input HostDisconnected) {
	conn := c.connections[input.Connection]
	if conn == nil {
		return
	}
	reason := reasonClosedByPeer
	if input.Reset {
		reason = reasonReset
		c.recordBroken(conn, conn.state == connectionHalfClosed && c.now <= conn.halfClosedAt+closeAnswerTime)
	}
	c.logConnection(messageConnectionEnded, conn, reason)
	conn.host.wasReset = input.Reset
	c.connectionLost(conn)
}

// connectionLost handles the end of a connection. Attempts in flight on it may have run.
func (c *Core) connectionLost(conn *hostConnection) {
	c.removeConnection(conn)
	h := conn.host
	for _, a := range h.attemptsWhere(func(a *taskAttempt) bool { return a.connection == conn }) {
		end := attemptEnd{input: attempt.ConnectionLost, result: forkhead.ConnectFailed}
		if a.isInFlight() {
			c.abandoned.add(a.key())
			end.result, end.inferredFrom = forkhead.Reset, reasonConnectionEnded
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

// without removes a connection from a slice, in place.
func without(all []*hostConnection, conn *hostConnection) []*hostConnection {
	return slices.DeleteFunc(all, func(other *hostConnection) bool { return other == conn })
}
