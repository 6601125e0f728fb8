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
	address           string // address that the connection comes from, without the port
	reader            lineReader
	acceptedAt        time.Duration
	lastUsedAt        time.Duration // last time the owner sent a readable message
	dataAge           time.Duration // how long the data that is being handled may have waited to be read
	left              bool          // the owner has closed its side; bytes that it sent before may still come
	sentValid         bool          // the owner has sent a valid message
	sentRequest       bool          // the owner has sent a valid request or hand-over
	malformedRequests int           // number of malformed requests that the owner has sent
	openRequests      map[*request]struct{}
	openBytes         int          // sum of the sizes of openRequests
	runningTasks      int          // number of running tasks whose requests or hand-overs came on this connection
	placedTotal       int          // like runningTasks, but including tasks that have ended
	notices           []sentNotice // the latest messages about the ends of tasks, oldest first
}

// ownerRank ranks connections of owners by their use so far; the lowest rank is evicted first. Regular owners send one
// request after another on a connection and get the outcomes of their tasks on it.
type ownerRank uint8

const (
	ownerWithoutValidMessage ownerRank = iota // the owner has sent no valid message
	ownerWithoutTasks                         // no task was placed for the connection
	ownerWithoutRunningTasks                  // tasks were placed for the connection, but none runs any more
	ownerWithRunningTasks                     // a task that was placed for the connection runs; never evicted
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

// recordRequest records that the owner has sent a valid request or hand-over.
func (o *ownerConnection) recordRequest() { o.sentValid, o.sentRequest = true, true }

func (o *ownerConnection) mayBeEvicted() bool {
	return len(o.openRequests) == 0 && o.rank() < ownerWithRunningTasks
}

// isEvictedBefore reports whether a connection is closed before another one to free a slot: the one with the lower
// rank, or else the least recently used.
func (o *ownerConnection) isEvictedBefore(other *ownerConnection) bool {
	return cmp.Or(cmp.Compare(o.rank(), other.rank()), cmp.Compare(o.lastUsedAt, other.lastUsedAt), cmp.Compare(o.id, other.id)) < 0
}

// ownerConnected accepts a connection of an owner and sends what is undelivered on it, or closes it if no connection slot
// can be freed.
func (c *Core) ownerConnected(input OwnerConnected) {
	if !c.acquireOwnerSlot() {
		c.emit(CloseOwnerConnection{input.Owner})
		return
	}
	owner := &ownerConnection{
		id: input.Owner, address: input.Address, acceptedAt: c.now, lastUsedAt: c.now, openRequests: map[*request]struct{}{},
	}
	c.owners[owner.id] = owner
	c.deliverOn(owner)
}

// acquireOwnerSlot makes sure that there is a slot for one more connection of an owner, and reports whether there is.
// If all are taken, it evicts an idle connection to a host, unless owners have all the connections that they may have,
// or else the owner of the lowest rank. The rank keeps regular owners from being evicted in favor of hundreds that send
// one request and stay connected. The outcomes of the tasks of evicted owners could not be delivered.
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
	c.closeOwner(owner, reasonEvicted)
	return true
}

// ownerEvictionCandidate returns the connection of an owner that is evicted first, or nil if none may be evicted.
func (c *Core) ownerEvictionCandidate() *ownerConnection {
	var first *ownerConnection
	for _, owner := range c.owners {
		if owner.mayBeEvicted() && (first == nil || owner.isEvictedBefore(first)) {
			first = owner
		}
	}
	return first
}

// closeOwner fails the open requests of a connection, closes it and logs the reason.
func (c *Core) closeOwner(owner *ownerConnection, reason logReason) {
	c.logInfo(messageOwnerClosed, ownerAttr(owner.id), reasonAttr(reason))
	for _, r := range owner.requestsInOrder() {
		c.notifyModule(forkhead.RequestCanceled{Task: r.id})
		c.withdrawAll(r, forkhead.Withdrawn, true)
		c.failRequest(r.id, reasonOwnerClosed)
	}
	delete(c.owners, owner.id)
	c.emit(CloseOwnerConnection{owner.id})
}

// ownerDisconnected handles the end of a connection that its owner closed or that was reset. It cancels the open requests
// of the connection, as nobody waits for their answers.
func (c *Core) ownerDisconnected(input OwnerDisconnected) {
	owner := c.owners[input.Owner]
	if owner == nil {
		return
	}
	delete(c.owners, owner.id)
	if input.Reset {
		c.logInfo(messageOwnerReset, ownerAttr(owner.id))
		c.sendAgain(owner.notices)
	}
	for _, r := range owner.requestsInOrder() {
		c.cancelRequest(r)
	}
}

// ownerLeft cancels the open requests of an owner that has left while bytes of it are unread. Releases among these still
// count; requests are not opened.
func (c *Core) ownerLeft(owner *ownerConnection) {
	owner.left = true
	for _, r := range owner.requestsInOrder() {
		c.cancelRequest(r)
	}
}

// addOpen adds an open request to the connection.
func (o *ownerConnection) addOpen(r *request) {
	o.openRequests[r] = struct{}{}
	o.openBytes += r.size
}

// removeOpen removes a request from the open ones of the connection, if it is among them.
func (o *ownerConnection) removeOpen(r *request) {
	if _, ok := o.openRequests[r]; ok {
		delete(o.openRequests, r)
		o.openBytes -= r.size
	}
}

// requestsInOrder returns the open requests of a connection in the order of their arrival.
func (o *ownerConnection) requestsInOrder() []*request {
	return slices.SortedFunc(maps.Keys(o.openRequests), func(a, b *request) int { return cmp.Compare(a.id, b.id) })
}

// reconcileOwners closes the connections that have timed out.
func (c *Core) reconcileOwners() {
	var late []*ownerConnection
	for _, owner := range c.owners {
		if owner.hasTimedOut(c.now) {
			late = append(late, owner)
		}
	}
	slices.SortFunc(late, func(a, b *ownerConnection) int { return cmp.Compare(a.id, b.id) })
	for _, owner := range late {
		c.closeOwner(owner, reasonNoValidMessage)
	}
}

// hasTimedOut reports whether a connection has not ended a message, or not sent a first valid one, in time.
func (o *ownerConnection) hasTimedOut(now time.Duration) bool {
	return o.reader.isStuck(now, ownerLineTimeout) ||
		!o.sentValid && len(o.openRequests) == 0 && now > o.acceptedAt+firstMessageTimeout
}

// hasPartialRequest reports whether an owner that has sent a valid message before is in the middle of another one,
// which must be answered once it is complete.
func (c *Core) hasPartialRequest() bool {
	for _, owner := range c.owners {
		if owner.sentValid && owner.reader.isPartial() {
			return true
		}
	}
	return false
}

// countPlaced counts a running task for the connection that its request came on.
func (c *Core) countPlaced(r *request) {
	owner := c.owners[r.owner]
	if owner == nil {
		return
	}
	owner.runningTasks++
	owner.placedTotal++
}

// uncountPlaced removes a task from the running tasks of its connection.
func (c *Core) uncountPlaced(r *request) {
	if owner := c.owners[r.owner]; owner != nil {
		owner.runningTasks--
	}
}

// movePlaced moves a placed task to another connection, on which its release will be sent.
func (c *Core) movePlaced(r *request, owner *ownerConnection) {
	c.uncountPlaced(r)
	r.setOwner(owner)
	c.countPlaced(r)
}
