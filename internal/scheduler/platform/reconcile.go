package platform

import (
	"slices"
	"time"
)

// reconcile does the periodic work: it closes idle connections, handles timeouts that are over and advances a shutdown.
func (c *Core) reconcile() {
	c.reconcileOwners()
	c.reconcileUndelivered()
	c.closed.expire(c.now - resubmissionWindow)
	c.closeHalfClosed()
	for _, h := range c.hostsInOrder() {
		c.reconcileHost(h)
	}
	c.reconcileShutdown()
}

func (c *Core) reconcileHost(h *host) {
	c.closeSupersededConnections(h)
	for _, conn := range slices.Clone(h.connections) {
		c.reconcileConnection(conn)
	}
	c.reconcileProbe(h)
	if len(h.attempts) > 0 { // most hosts have no attempts, and iterating over an empty map has a cost
		c.expireStops(h)
	}
	switch {
	case !c.expireUnlessListed(h):
	case len(h.attempts) > 0:
		c.reconcileResponsiveness(h)
	default:
		h.liveness.unwatch()
	}
	if len(h.unconfirmed) > 0 {
		c.reconcileUnconfirmed(h)
	}
}

// closeHalfClosed closes half-closed connections that their host has not closed in time.
func (c *Core) closeHalfClosed() {
	for _, conn := range slices.Clone(c.halfClosed) {
		if c.now > conn.halfClosedAt+halfClosedTimeout {
			c.closeConnection(conn, reasonHalfClosedLong)
		}
	}
}

// reconcileConnection closes a connection to a host if a message on it has not ended in time or it has been idle for
// too long.
func (c *Core) reconcileConnection(conn *hostConnection) {
	switch {
	case conn.reader.isStuck(c.now, hostLineTimeout):
		c.closeConnection(conn, reasonPartialLine)
	case conn.hasServed(c.now) && conn.isIdle() && conn.host.hasOtherOpen(conn):
		c.halfClose(conn, reasonSuperseded)
	case conn.passesNothing(c.now):
		c.halfClose(conn, reasonPassesNothing)
	case conn.isIdle() && c.config.IdleTimeout > 0 && c.now > conn.lastUsedAt()+c.idleTimeout():
		c.closeIdle(conn)
	}
}

// hasServed reports whether a connection that was dialed for another purpose than messages has served it: it has brought
// what it was opened for, or has been open for so long that it will not.
func (conn *hostConnection) hasServed(now time.Duration) bool {
	isLate := now > conn.openedAt+reachabilityTimeout
	switch {
	case conn.state != connectionOpen:
		return false
	case conn.purpose == purposeMissedEnds:
		return isLate
	}
	return conn.purpose == purposeReachability && (isLate || conn.lastReceivedAt > conn.openedAt)
}

// idleTimeout returns how long a connection to a host may be idle. It is 3/5 of the time after which the host closes
// the connection, as an offer that crosses the host's close may have run.
func (c *Core) idleTimeout() time.Duration { return c.config.IdleTimeout * 3 / 5 }

// closeIdle closes an idle connection before its host does. A connection that is needed for the ends of tasks is kept
// alive with a probe or replaced instead.
func (c *Core) closeIdle(conn *hostConnection) {
	h := conn.host
	switch {
	case !conn.isNeeded():
		if !h.isReplacing() || !h.hasPlacedTasks() { // if this is false, closeSuperseded closes conn once its replacement is open
			c.halfClose(conn, reasonIdle)
		}
	case c.settings.MayProbe:
		// A draining host accepts no new connection and reports the ends of its tasks on this one.
		c.sendProbeMessage(conn)
	case c.now >= h.redialAt:
		c.dial(h, purposeReplacement)
	}
}
