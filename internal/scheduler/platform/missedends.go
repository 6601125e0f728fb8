package platform

import "time"

// A host sends the end of a task on the connection of its offer, or else on any open one, and repeats it on the next
// connection that opens. An end that was on its way when a connection broke therefore comes only if another one is opened,
// however many others are open. If the host does not know that the connection is broken, it goes on sending there: as long
// as a task runs whose offer was sent on such a connection, one is opened from time to time.

// carriage counts the placed tasks whose offers were sent on a connection. It outlives the connection.
type carriage struct {
	placed   int
	isBroken bool // the connection did not end in order
}

// addPlaced counts a task that its host has accepted.
func (a *taskAttempt) addPlaced() {
	if a.carriage != nil {
		a.carriage.placed++
	}
}

// removePlaced is the reverse of addPlaced, at the end of the task.
func (a *taskAttempt) removePlaced() {
	if a.carriage == nil {
		return
	}
	a.carriage.placed--
	if a.carriage.isBroken {
		a.host.stranded--
	}
}

// recordBroken handles the end of a connection that may have lost ends of tasks: it may have passed nothing since its last
// message. If its host has answered a half-close at once, by a reset, the host knows of the end, and no task is stranded.
func (c *Core) recordBroken(conn *hostConnection, isAnswer bool) {
	h := conn.host
	if conn.state == connectionDialing || conn.carriage.isBroken {
		return
	}
	if !isAnswer {
		conn.carriage.isBroken = true
		h.brokenAt, h.missingSince = c.now, conn.lastReceivedAt
		h.stranded += conn.carriage.placed
	}
	switch {
	case !h.hasPlacedTasks():
	case conn.purpose == purposeMissedEnds: // little was sent on it, and if the host leaves all of them open, each would call for another
		h.reopenAt = c.now + reopenInterval
	default:
		h.reopenAt = c.now
	}
}

// moveCarriage handles a message about a task on another connection than that of its offer: the host knows that the latter is
// broken, and sends what concerns the task on this one.
func (a *taskAttempt) moveCarriage(conn *hostConnection) {
	if a.carriage == nil || !a.carriage.isBroken || conn.carriage.isBroken || !a.isPlaced() {
		return
	}
	a.removePlaced()
	a.carriage = conn.carriage
	a.addPlaced()
}

// expireStranded ends the tasks whose connection broke as lost, if no further connection could be made for so long that their
// owners would learn of their ends too late.
func (c *Core) expireStranded(h *host) {
	isRefused := h.lastDialFailedAt > max(h.brokenAt, h.openedAt)
	if h.stranded == 0 || !isRefused || c.now <= max(h.missingSince+lostAfter, h.openedAt+lostAfter, h.brokenAt+minStrandedWait) {
		return
	}
	stranded := h.attemptsWhere(func(a *taskAttempt) bool { return a.isPlaced() && a.carriage != nil && a.carriage.isBroken })
	c.endTasks(h, stranded, reasonNoFurtherConnection)
}

// recordOpened notes that a connection has opened on which the host repeats ends.
func (h *host) recordOpened(now time.Duration) {
	h.openedAt = now
	if h.reopenAt == 0 {
		return
	}
	h.reopenAt = 0
	if h.stranded > 0 {
		h.reopenAt = now + reopenInterval
	}
}

// needsReopening reports whether a connection is to be opened for ends that may have been lost. None is evicted for it.
func (c *Core) needsReopening(h *host) bool {
	return h.reopenAt > 0 && c.now >= h.reopenAt && len(h.connections) < maxConnectionsPerHost && c.hasFreeHostSlot()
}

// passesNothing reports whether an idle connection has brought nothing for so long that it may be broken, and another one
// is open in its place. It is closed then: a host that is still there closes it too, and so shows that nothing was lost.
func (conn *hostConnection) passesNothing(now time.Duration) bool {
	h := conn.host
	return conn.isIdle() && now > conn.lastReceivedAt+silentConnectionAfter && h.hasOtherOpen(conn) && h.hasPlacedTasks()
}

func (h *host) hasOtherOpen(conn *hostConnection) bool {
	for _, other := range h.connections {
		if other != conn && other.state == connectionOpen {
			return true
		}
	}
	return false
}
