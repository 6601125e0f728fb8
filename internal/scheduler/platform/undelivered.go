package platform

import "time"

// undeliveredMessage is a message about a request for which no suitable connection of an owner was open yet.
type undeliveredMessage struct {
	ref       requestRef
	line      []byte
	expiresAt time.Duration
}

// notifyOwner sends a message about a request to its owner: on the connection that the request came on, or else on the
// one that most tasks were placed for. If neither is open, the message is kept for the next connection that a task is
// placed for, and the result sent is false.
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

// busiestOwner returns the connection that most tasks were placed for, or nil if no task was placed for any.
// Connections with a malformed request are left out.
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

// deliverTo sends all undelivered messages on a connection.
func (c *Core) deliverTo(owner *ownerConnection) {
	for _, m := range c.undelivered {
		c.emit(SendToOwner{owner.id, m.line})
	}
	c.undelivered = nil
}

// expireUndelivered drops the undelivered messages that have expired.
func (c *Core) expireUndelivered() {
	for len(c.undelivered) > 0 && c.undelivered[0].expiresAt < c.now {
		c.undelivered = c.undelivered[1:]
	}
}
