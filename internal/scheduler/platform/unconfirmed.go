package platform

import (
	"cmp"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

// Most ends of attempts are inferred: a connection ended, a host refuses connections, the endpoint list has a host as
// removed, a stop was not answered. The host may nevertheless run the task. Such an end is unconfirmed: the owner is
// notified, but the attempt counts toward the limits of its service and its host until the host shows that it does not
// run the task. To that end the host is sent a stop. A release or an acknowledgment of the task confirms the end, and
// so does the result of a probe that was sent behind the stop on the same connection, as hosts read messages in order.

// stopMessageSent describes the latest stop of a task.
type stopMessageSent struct {
	connection *hostConnection // nil: no stop was sent
	at         time.Duration
	number     uint64 // position among all stops and barriers, in the order in which they were sent
}

// barrier is a probe that was sent behind stops on a connection.
type barrier struct {
	ref    requestRef // "": none awaits its result
	number uint64     // position among all stops and barriers, in the order in which they were sent
}

// nextStopNumber returns the position of a stop or a barrier that is being sent. Their times do not tell their order, as
// several are sent in one step.
func (c *Core) nextStopNumber() uint64 {
	c.lastStopNumber++
	return c.lastStopNumber
}

// awaitConfirmation moves an attempt that has ended to the unconfirmed ones of its host.
func (c *Core) awaitConfirmation(a *taskAttempt, inferredFrom logReason) {
	h, ref := a.host, a.request.ref
	h.removeAttempt(a)
	if earlier := h.unconfirmed[ref]; earlier != nil {
		c.confirmEnd(earlier, reasonOfferedAgain)
	}
	c.logInfo(messageEndUnconfirmed, hostAttr(h.name), refAttr(ref), reasonAttr(inferredFrom))
	a.endedAt = c.now
	h.unconfirmed[ref] = a
	c.unconfirmedEnds++
	c.newlyUnconfirmed = append(c.newlyUnconfirmed, a)
	if c.unconfirmedEnds > maxUnconfirmedEnds {
		c.giveUpOldest(h)
	}
}

// giveUpOldest confirms the oldest unconfirmed end of a host without proof, to bound their number.
func (c *Core) giveUpOldest(h *host) {
	oldest := h.unconfirmedInOrder()[0]
	c.confirmEnd(oldest, reasonTooMany)
}

// confirmEnd removes an attempt with an unconfirmed end from the counts, and logs the reason.
func (c *Core) confirmEnd(a *taskAttempt, reason logReason) {
	c.logInfo(messageEndConfirmed, hostAttr(a.host.name), refAttr(a.request.ref), reasonAttr(reason))
	delete(a.host.unconfirmed, a.request.ref)
	c.unconfirmedEnds--
	c.removeAttempt(a)
	c.notifyModule(forkhead.EndConfirmed{Task: a.request.id, Attempt: a.number})
}

// isAwaitingConfirmation reports whether the end of an attempt is still unconfirmed.
func (a *taskAttempt) isAwaitingConfirmation() bool { return a.host.unconfirmed[a.request.ref] == a }

// unconfirmedInOrder returns the attempts of a host with unconfirmed ends, oldest end first.
func (h *host) unconfirmedInOrder() []*taskAttempt {
	all := make([]*taskAttempt, 0, len(h.unconfirmed))
	for _, a := range h.unconfirmed {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *taskAttempt) int {
		return cmp.Or(cmp.Compare(a.endedAt, b.endedAt), cmp.Compare(a.request.id, b.request.id), cmp.Compare(a.number, b.number))
	})
	return all
}

// ---- Stops and their confirmation.

// stopNewlyUnconfirmed stops the tasks whose ends became unconfirmed in this step, unless a stop is on its way. A task
// that was offered to the same host again in this step is not stopped: the new attempt counts for it.
func (c *Core) stopNewlyUnconfirmed() {
	for _, a := range c.newlyUnconfirmed {
		if a.isAwaitingConfirmation() && !a.mayNotStop && !a.stop.isOnOpenConnection() {
			c.sendStopOnOpenConnection(a)
		}
	}
	c.newlyUnconfirmed = c.newlyUnconfirmed[:0]
}

// isOnOpenConnection reports whether the stop was sent on a connection that is still open.
func (s *stopMessageSent) isOnOpenConnection() bool {
	return s.connection != nil && slices.Contains(s.connection.host.connections, s.connection)
}

// sendStopOnOpenConnection sends the stop of a task to its host if a connection is open.
func (c *Core) sendStopOnOpenConnection(a *taskAttempt) {
	if conn := a.host.leastBusyConnection(); conn != nil {
		c.sendStopOn(conn, a)
	}
}

func (c *Core) sendStopOn(conn *hostConnection, a *taskAttempt) {
	a.stop = stopMessageSent{conn, c.now, c.nextStopNumber()}
	c.sendStop(conn, a.request.ref)
}

// stopUnconfirmed sends the stops of a host's unconfirmed ends that are not on their way, or that were sent too long
// ago on another connection than the newest.
func (c *Core) stopUnconfirmed(h *host) {
	conn := h.newestConnection()
	if conn == nil {
		return
	}
	for _, a := range h.unconfirmedInOrder() {
		isLate := c.now > a.stop.at+stopRetryDelay && a.stop.connection != conn
		if !a.mayNotStop && (!a.stop.isOnOpenConnection() || isLate) {
			c.sendStopOn(conn, a)
		}
	}
}

// newestConnection returns the open connection that was dialed last, or nil if none is open.
func (h *host) newestConnection() *hostConnection {
	var newest *hostConnection
	for _, conn := range h.connections {
		if conn.state == connectionOpen && (newest == nil || conn.id > newest.id) {
			newest = conn
		}
	}
	return newest
}

// handleUnconfirmedMessage handles a message of a host about a task whose end is unconfirmed. An acknowledgment counts
// only on the connection of the stop: on another one, it may be older.
func (c *Core) handleUnconfirmedMessage(conn *hostConnection, ref requestRef, m *platform.Message) {
	a := conn.host.unconfirmed[ref]
	if a == nil {
		return
	}
	switch m.Type {
	case platform.TypeRelease:
		// The answer to an offer that says that its task does not run may be a late copy for an earlier offer.
		if !isRejection(m.Cause) || conn.id == a.offeredOn {
			c.confirmEnd(a, reasonHostReleased)
		}
	case platform.TypeAck:
		if a.stop.connection == conn {
			c.confirmEnd(a, reasonStopAcknowledged)
		}
	case platform.TypeBound:
		a.mayNotStop = false
		c.sendStopOnOpenConnection(a) // the task runs only now, and the host may have read an earlier stop before
	}
}

// isRejection reports whether a cause is one of an answer to an offer that says that its task does not run.
func isRejection(cause platform.Cause) bool {
	return cause == platform.CauseRejected || cause == platform.CauseNotSent || cause == platform.CauseFailed
}

// handleBarrierResult confirms the ends whose stops the host has read before a probe on the same connection.
func (c *Core) handleBarrierResult(conn *hostConnection, ref requestRef) {
	if conn.barrier.ref != ref {
		return
	}
	number := conn.barrier.number
	conn.barrier.ref = ""
	for _, a := range conn.host.unconfirmedInOrder() {
		if a.stop.connection == conn && a.stop.number < number {
			c.confirmEnd(a, reasonStopRead)
		}
	}
}

// reconcileUnconfirmed sends the probes and the stops that are due for the unconfirmed ends of a host, dials it if no
// connection is open, and gives up ends that cannot be confirmed.
func (c *Core) reconcileUnconfirmed(h *host) {
	c.expireUnconfirmed(h)
	if len(h.unconfirmed) == 0 {
		return
	}
	c.stopUnconfirmed(h)
	c.sendBarriers(h)
	if c.needsConnectionForStops(h) && !h.isDialing() && c.now >= h.redialAt {
		c.dial(h, purposeMessages)
	}
}

// needsConnectionForStops reports whether no open connection of a host carries a stop that may still be confirmed.
func (c *Core) needsConnectionForStops(h *host) bool {
	if h.address == "" || len(h.connections) >= maxConnectionsPerHost {
		return false
	}
	newest := h.newestConnection()
	for _, a := range h.unconfirmed {
		isOverdue := a.stop.connection == newest && c.now > a.stop.at+2*stopRetryDelay
		if !a.mayNotStop && (newest == nil || isOverdue) {
			return true
		}
	}
	return false
}

// sendBarriers sends a probe on each connection with a stop that was not answered within barrierDelay.
func (c *Core) sendBarriers(h *host) {
	if !c.settings.MayProbe {
		return
	}
	for _, a := range h.unconfirmedInOrder() {
		conn := a.stop.connection
		if a.stop.isOnOpenConnection() && c.now >= a.stop.at+barrierDelay && conn.barrier.number < a.stop.number {
			conn.barrier = barrier{c.sendProbeMessage(conn), c.nextStopNumber()}
		}
	}
}

// expireUnconfirmed confirms ends without proof after unconfirmedTimeout: if the endpoint list does not have the host
// any more, or if the protocol leaves no way to confirm them.
func (c *Core) expireUnconfirmed(h *host) {
	isListed := h.entry.State != forkhead.Removed && h.unlistedSince == 0
	var expired []*taskAttempt
	for _, a := range h.unconfirmedInOrder() {
		since := a.endedAt
		if !isListed {
			since = max(since, h.removedAt)
		}
		mayBeConfirmed := isListed && c.settings.MayProbe && !a.mayNotStop
		if !mayBeConfirmed && c.now > since+unconfirmedTimeout {
			expired = append(expired, a)
		}
	}
	for _, a := range expired {
		c.confirmEnd(a, reasonConfirmationExpired)
	}
}
