package platform

import (
	"slices"
	"time"
)

// reconcile does what is due by time: it closes idle connections, ends what has timed out and advances a shutdown.
func (c *Core) reconcile() {
	c.reconcileOwners()
	c.expireUndelivered()
	c.closeHalfClosed()
	for _, h := range c.hostsInOrder() {
		c.reconcileHost(h)
	}
	c.reconcileShutdown()
}

func (c *Core) reconcileHost(h *host) {
	for _, conn := range slices.Clone(h.connections) {
		c.reconcileConnection(conn)
	}
	c.reconcileProbe(h)
	if len(h.attempts) > 0 { // few of many hosts have any, and a loop over an empty map has a cost
		c.expireStops(h)
	}
	if c.expireUnlessListed(h) && len(h.attempts) > 0 {
		c.reconcileResponsiveness(h)
	}
}

// closeHalfClosed closes connections whose host has not closed them in time.
func (c *Core) closeHalfClosed() {
	for _, conn := range slices.Clone(c.halfClosed) {
		if c.now > conn.halfClosedAt+halfClosedTimeout {
			c.closeConnection(conn)
		}
	}
}

// reconcileConnection closes a connection to a host on which a message has not ended, or that has been idle for too long.
func (c *Core) reconcileConnection(conn *hostConnection) {
	switch {
	case conn.reader.isStuck(c.now, hostLineTimeout):
		c.closeFaultyConnection(conn, reasonPartialLine)
	case conn.isIdle() && c.config.IdleTimeout > 0 && c.now > conn.lastUsedAt()+c.idleTimeout():
		c.closeIdle(conn)
	}
}

// idleTimeout is how long a connection to a host may be idle: well below the time after which its host closes it, as an
// offer that crosses that close may have run.
func (c *Core) idleTimeout() time.Duration { return c.config.IdleTimeout * 3 / 5 }

// closeIdle closes an idle connection before its host does. One that the ends of tasks are reported on is kept alive
// instead, or replaced.
func (c *Core) closeIdle(conn *hostConnection) {
	h := conn.host
	switch {
	case !conn.isNeeded():
		if !h.isReplacing() || !h.hasPlacedTasks() { // else it is closed once the new one is open
			c.halfClose(conn)
		}
	case c.settings.MayProbe:
		// A host that drains accepts no new connection, and reports what becomes of its tasks on this one.
		c.sendProbeMessage(conn)
	case c.now >= h.redialAt:
		c.dial(h, purposeReplacement)
	}
}
