package platform

import (
	"slices"
	"time"
)

// reconcile does what only time brings: it closes connections, ends what has timed out and moves a shutdown on.
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
	c.expireStops(h)
	if c.reconcileListing(h) {
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
	case conn.lines.isStuck(c.now, hostLineTimeout):
		c.closeFaultyConnection(conn, reasonPartialLine)
	case conn.isIdle() && c.config.IdleTimeout > 0 && c.now > conn.lastUsedAt()+c.config.IdleTimeout*3/5:
		c.closeIdle(conn)
	}
}

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

// shutdown is how far the end of this placer has come.
type shutdown struct {
	requestedAt    time.Duration // 0: not requested
	listenerClosed bool
}

func (s *shutdown) request(now time.Duration) {
	if s.requestedAt == 0 {
		s.requestedAt = now
	}
}

// refusesRequests says whether requests are rejected, as this placer will not be there to answer.
func (s *shutdown) refusesRequests(now time.Duration) bool {
	return s.requestedAt > 0 && now > s.requestedAt+listenAfterShutdown
}

// reconcileShutdown closes the listener some time after a shutdown was requested, and completes it when no request is open
// and no owner is in the middle of sending one.
func (c *Core) reconcileShutdown() {
	s := &c.shutdown
	if s.requestedAt == 0 {
		return
	}
	if !s.listenerClosed && c.now >= s.requestedAt+listenAfterShutdown {
		s.listenerClosed = true
		c.emit(CloseListener{})
	}
	if !s.listenerClosed || c.unanswered > 0 || c.now < s.requestedAt+minShutdownDuration {
		return
	}
	if !c.hasPartialRequest() || c.now >= s.requestedAt+minShutdownDuration+ownerLineTimeout {
		c.emit(ShutdownComplete{})
	}
}
