package platform

import "time"

// undeliveredMessage is a message about a request that no connection of an owner could take yet.
type undeliveredMessage struct {
	ref       requestRef
	line      []byte
	expiresAt time.Duration
}

// notifyOwner sends a message about a request to its owner: on the connection that it came on, else on the one that most
// tasks were placed for, else on the next one that a task is placed for. It returns whether one of the first two was
// there.
func (c *Core) notifyOwner(r *request, line []byte) (sent bool) {
	if c.owners[r.owner] != nil {
		c.emit(SendToOwner{r.owner, line})
		return true
	}
	if owner := c.busiestOwner(); owner != nil {
		c.emit(SendToOwner{owner.id, line})
		return true
	}
	if len(c.undelivered) < maxUndelivered {
		c.undelivered = append(c.undelivered, undeliveredMessage{r.ref, line, c.now + undeliveredTimeout})
	}
	return false
}

// busiestOwner is the connection that most tasks were placed for, of those that sent nothing malformed; nil: none were.
func (c *Core) busiestOwner() *ownerConnection {
	var best *ownerConnection
	for _, owner := range c.owners {
		if owner.placedTotal == 0 || owner.malformedRequests > 0 {
			continue
		}
		if best == nil || owner.placedTotal > best.placedTotal || owner.placedTotal == best.placedTotal && owner.id < best.id {
			best = owner
		}
	}
	return best
}

// deliverTo sends a connection what no other could take.
func (c *Core) deliverTo(owner *ownerConnection) {
	for _, m := range c.undelivered {
		c.emit(SendToOwner{owner.id, m.line})
	}
	c.undelivered = nil
}

// expireUndelivered drops messages that it is too late for.
func (c *Core) expireUndelivered() {
	for len(c.undelivered) > 0 && c.undelivered[0].expiresAt < c.now {
		c.undelivered = c.undelivered[1:]
	}
}
