package platform

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"forkhead"
)

type ownerConnection struct {
	id                OwnerID
	reader            lineReader
	acceptedAt        time.Duration
	lastUsedAt        time.Duration // when it last sent a message that can be read
	sentValid         bool          // it has sent a message that makes sense
	malformedRequests int           // requests that did not
	openRequests      map[*request]struct{}
	runningTasks      int // tasks that came on it and run
	placedTotal       int // tasks that came on it and were placed or handed over, in all
}

// ownerRank ranks connections of owners by their use until now: those of usual owners carry one task after the
// other, and what becomes of these is sent on them.
type ownerRank uint8

const (
	ownerWithoutValidMessage ownerRank = iota // it has sent nothing that makes sense
	ownerWithoutTasks                         // nothing was placed for it
	ownerWithoutRunningTasks                  // nothing that was placed for it runs any more
	ownerWithRunningTasks                     // never evicted
)

func (o *ownerConnection) rank() ownerRank {
	switch {
	case !o.sentValid:
		return ownerWithoutValidMessage
	case o.placedTotal == 0:
		return ownerWithoutTasks
	case o.runningTasks == 0:
		return ownerWithoutRunningTasks
	}
	return ownerWithRunningTasks
}

func (o *ownerConnection) mayBeEvicted() bool {
	return len(o.openRequests) == 0 && o.rank() < ownerWithRunningTasks
}

// isEvictedBefore reports whether a connection is closed before another one to free a slot.
func (o *ownerConnection) isEvictedBefore(other *ownerConnection) bool {
	return cmp.Or(cmp.Compare(o.rank(), other.rank()), cmp.Compare(o.lastUsedAt, other.lastUsedAt), cmp.Compare(o.id, other.id)) < 0
}

// ownerConnected accepts a connection of an owner, or closes it where all connection slots are taken.
func (c *Core) ownerConnected(id OwnerID) {
	if !c.acquireOwnerSlot() {
		c.emit(CloseOwnerConnection{id})
		return
	}
	c.owners[id] = &ownerConnection{id: id, acceptedAt: c.now, lastUsedAt: c.now, openRequests: map[*request]struct{}{}}
}

// acquireOwnerSlot frees a slot for one more connection of an owner, if need be: an idle one to a host is evicted if there
// are not too many owners, else one of the owners, by its rank. It guards against usual owners that are evicted for hundreds that
// request once and stay: what became of their tasks could then be sent nowhere.
func (c *Core) acquireOwnerSlot() bool {
	if len(c.owners) < c.config.MaxOwnerConnections {
		if len(c.owners)+c.usedHostConnections() < c.config.MaxConnections {
			return true
		}
		if idle := c.evictionCandidate(nil); idle != nil {
			c.evictHostConnection(idle)
			return true
		}
	}
	owner := c.ownerEvictionCandidate()
	if owner == nil {
		return false
	}
	c.closeOwner(owner)
	return true
}

// ownerEvictionCandidate is the connection of an owner that is evicted first; nil: none may be.
func (c *Core) ownerEvictionCandidate() *ownerConnection {
	var first *ownerConnection
	for _, owner := range c.owners {
		if owner.mayBeEvicted() && (first == nil || owner.isEvictedBefore(first)) {
			first = owner
		}
	}
	return first
}

// closeOwner closes a connection. Its open requests fail first.
func (c *Core) closeOwner(owner *ownerConnection) {
	for _, r := range owner.requestsInOrder() {
		c.notifyModule(forkhead.RequestCanceled{Task: r.id})
		c.withdrawAll(r, forkhead.Withdrawn, true)
		c.failRequest(r.id)
	}
	delete(c.owners, owner.id)
	c.emit(CloseOwnerConnection{owner.id})
}

// ownerDisconnected handles the end of a connection that its owner closed: nobody waits for what is open on it.
func (c *Core) ownerDisconnected(id OwnerID) {
	owner := c.owners[id]
	if owner == nil {
		return
	}
	delete(c.owners, id)
	for _, r := range owner.requestsInOrder() {
		c.cancelRequest(r)
	}
}

// requestsInOrder lists the open requests of a connection in the order in which they came.
func (o *ownerConnection) requestsInOrder() []*request {
	return slices.SortedFunc(maps.Keys(o.openRequests), func(a, b *request) int { return cmp.Compare(a.id, b.id) })
}

// reconcileOwners closes connections that have sent nothing, or not ended a message, for too long.
func (c *Core) reconcileOwners() {
	var late []*ownerConnection
	for _, owner := range c.owners {
		if owner.hasTimedOut(c.now) {
			late = append(late, owner)
		}
	}
	slices.SortFunc(late, func(a, b *ownerConnection) int { return cmp.Compare(a.id, b.id) })
	for _, owner := range late {
		c.closeOwner(owner)
	}
}

func (o *ownerConnection) hasTimedOut(now time.Duration) bool {
	return o.reader.isStuck(now, ownerLineTimeout) ||
		!o.sentValid && len(o.openRequests) == 0 && now > o.acceptedAt+firstMessageTimeout
}

// hasPartialRequest reports whether an owner that has sent something valid is in the middle of a message: it must be
// answered once that is complete.
func (c *Core) hasPartialRequest() bool {
	for _, owner := range c.owners {
		if owner.sentValid && owner.reader.isPartial() {
			return true
		}
	}
	return false
}

// countPlaced counts a task that runs for the connection that it came on, and sends there what could not be delivered.
func (c *Core) countPlaced(r *request) {
	owner := c.owners[r.owner]
	if owner == nil {
		return
	}
	owner.runningTasks++
	owner.placedTotal++
	c.deliverTo(owner)
}

// uncountPlaced takes a task that has ended off the count.
func (c *Core) uncountPlaced(r *request) {
	if owner := c.owners[r.owner]; owner != nil {
		owner.runningTasks--
	}
}

// movePlaced makes a connection the one that the release of a placed task is sent on.
func (c *Core) movePlaced(r *request, owner *ownerConnection) {
	c.uncountPlaced(r)
	r.owner = owner.id
	c.countPlaced(r)
}
