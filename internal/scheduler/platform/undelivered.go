package platform

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"forkhead/internal/protocol/platform"
)

// The protocol binds no placed task to a connection, and a message to an owner names none. If the connection that a
// task's request came on has ended, only the address that it came from tells whose task it was. Several owners may share
// an address, so a message about such a task is sent on each open connection from that address, and until it expires on
// each one that opens. Owners ignore messages about tasks that are none of theirs, as messages may always cross.

// undeliveredMessage is a message about a placed task whose owner's connection has ended.
type undeliveredMessage struct {
	ref         requestRef
	address     string // address that the owner's connection came from
	line        []byte
	createdAt   time.Duration
	isDelivered bool // it was sent on a connection
}

// sentNotice is a message about the end of a placed task that was sent on the connection of its request.
type sentNotice struct {
	message undeliveredMessage
	end     reportedEnd // the end that the message is about
}

// notifyOwner sends a message about the end of a placed task to its owner on the connection that its request came on, and
// reports whether that connection is open. If it is not, the message is delivered on the connections that may be the
// owner's.
func (c *Core) notifyOwner(r *request, line []byte, end reportedEnd) (sent bool) {
	m := undeliveredMessage{ref: r.ref, address: r.ownerAddress, line: line, createdAt: c.now}
	owner := c.owners[r.owner]
	if owner == nil {
		c.addUndelivered(m)
		return false
	}
	c.logEndSent(owner, r.ref, end.cause)
	c.emit(SendToOwner{owner.id, line})
	owner.addNotice(sentNotice{m, end})
	return true
}

func (c *Core) logEndSent(owner *ownerConnection, ref requestRef, cause platform.Cause) {
	c.logInfo(messageEndSent, refAttr(ref), ownerAttr(owner.id), slog.Int(keyCause, int(cause)))
}

// addNotice keeps a message that was sent on the connection, and drops those that the owner has received for certain, or
// the oldest beyond maxNotices.
func (o *ownerConnection) addNotice(notice sentNotice) {
	expired := 0
	for expired < len(o.notices) && notice.message.createdAt > o.notices[expired].message.createdAt+noticeResetWindow {
		expired++
	}
	expired = max(expired, len(o.notices)+1-maxNotices)
	o.notices = append(slices.Delete(o.notices, 0, expired), notice)
}

// removeNotice drops the messages about a task whose receipt the owner has acknowledged.
func (o *ownerConnection) removeNotice(ref requestRef) {
	o.notices = slices.DeleteFunc(o.notices, func(n sentNotice) bool { return n.message.ref == ref })
}

// sendAgain delivers messages whose connection was reset on other connections of the owner, as the reset may have
// overtaken them.
func (c *Core) sendAgain(notices []sentNotice) {
	for _, n := range notices {
		if c.now > n.message.createdAt+noticeResetWindow {
			continue
		}
		c.reportedEnds.add(n.end)
		n.message.createdAt = c.now
		c.addUndelivered(n.message)
	}
}

// addUndelivered sends a message on all connections from its address, and keeps it for those that open later. Beyond
// maxUndelivered the oldest message is dropped.
func (c *Core) addUndelivered(m undeliveredMessage) {
	for _, owner := range c.ownersFrom(m.address) {
		c.deliver(&m, owner)
	}
	if len(c.undelivered) >= maxUndelivered {
		c.dropUndelivered(reasonTooManyUndelivered)
	}
	c.undelivered = append(c.undelivered, m)
}

// ownersFrom returns the connections from an address in the order in which they were accepted.
func (c *Core) ownersFrom(address string) []*ownerConnection {
	var all []*ownerConnection
	for _, owner := range c.owners {
		if owner.address == address {
			all = append(all, owner)
		}
	}
	slices.SortFunc(all, func(a, b *ownerConnection) int { return cmp.Compare(a.id, b.id) })
	return all
}

// deliver sends an undelivered message on a connection.
func (c *Core) deliver(m *undeliveredMessage, owner *ownerConnection) {
	m.isDelivered = true
	c.deliveredReleases.add(deliveredRelease{owner.id, m.ref})
	c.logEndSent(owner, m.ref, platform.NoCause)
	c.emit(SendToOwner{owner.id, m.line})
}

// deliverOn sends the undelivered messages for the address of a new connection.
func (c *Core) deliverOn(owner *ownerConnection) {
	for i := range c.undelivered {
		if m := &c.undelivered[i]; m.address == owner.address {
			c.deliver(m, owner)
		}
	}
}

// reconcileUndelivered drops the messages that have expired. A message for whose address no connection was open within
// otherAddressAfter is sent on the connection of another address, as its owner may have another one now. Once the listener
// is closed no connection can open, so the message is sent at once.
func (c *Core) reconcileUndelivered() {
	for len(c.undelivered) > 0 && c.now > c.undelivered[0].createdAt+undeliveredTimeout {
		c.dropUndelivered(reasonExpired)
	}
	for i := range c.undelivered {
		m := &c.undelivered[i]
		if c.now < m.createdAt+otherAddressAfter && !c.shutdown.listenerClosed {
			return
		}
		if m.isDelivered {
			continue
		}
		owner := c.busiestOwner()
		if owner == nil {
			return
		}
		c.deliver(m, owner)
	}
}

// dropUndelivered drops the oldest undelivered message, and logs the reason if it was sent on no connection.
func (c *Core) dropUndelivered(reason logReason) {
	if m := &c.undelivered[0]; !m.isDelivered {
		c.logInfo(messageNotDelivered, refAttr(m.ref), reasonAttr(reason))
	}
	c.undelivered = c.undelivered[1:]
}

// busiestOwner returns the connection that most tasks were placed for, or else the one that was accepted first. Left out
// are connections without a request and those with a malformed one. The result is nil if there is no other.
func (c *Core) busiestOwner() *ownerConnection {
	var best *ownerConnection
	for _, owner := range c.owners {
		if !owner.sentRequest || owner.malformedRequests > 0 {
			continue
		}
		if best == nil || owner.placedTotal > best.placedTotal || owner.placedTotal == best.placedTotal && owner.id < best.id {
			best = owner
		}
	}
	return best
}
