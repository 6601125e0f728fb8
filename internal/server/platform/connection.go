package platform

import (
	"sync/atomic"
	"time"

	"forkhead/internal/server/netio"
)

const (
	maxLingering  = 4 // connections that the core has closed and whose unsent bytes still go out
	lingerTimeout = 200 * time.Millisecond
)

// connection is a connection of an owner or to a host, with the bytes that the core's current step has for it. Its fields
// belong to the event loop's goroutine, except for lingering.
type connection struct {
	stream    *netio.Conn // nil: it is being dialed
	output    []byte      // not yet handed to stream
	queued    bool        // it is in the write queue
	closed    bool        // by the core or by the peer
	lingering atomic.Bool // it is closed once its unsent bytes have gone out
}

// flush hands the collected bytes to the stream. A write that fails closes the connection, which its handler sees.
func (c *connection) flush() {
	c.queued = false
	if len(c.output) > 0 {
		_ = c.stream.Write(c.output)
		c.output = nil
	}
}

// writeQueue lists the connections that the core's current step has written to, so that each is written once per step. It
// belongs to the event loop's goroutine.
type writeQueue struct{ connections []*connection }

// write collects a line for a connection; one that is closed or not made yet takes none.
func (q *writeQueue) write(c *connection, line []byte) {
	if c == nil || c.stream == nil {
		return
	}
	c.output = append(c.output, line...)
	if !c.queued {
		c.queued = true
		q.connections = append(q.connections, c)
	}
}

// flush writes what was collected.
func (q *writeQueue) flush() {
	for _, c := range q.connections {
		c.flush()
	}
	q.connections = q.connections[:0]
}

// lingerer closes connections of owners and hosts. What is unsent when a connection is closed is lost, so it lets a few of
// them send it first. Safe for concurrent use.
type lingerer struct{ count atomic.Int64 }

// close writes what was collected for a connection and closes it. It returns whether the connection lingers.
func (l *lingerer) close(c *connection) bool {
	if c.stream == nil {
		return false
	}
	c.flush()
	if c.stream.PendingBytes() > 0 && l.add(c) {
		return true
	}
	c.stream.Close()
	return false
}

// add closes a connection after its unsent bytes. It returns false where too many linger already.
func (l *lingerer) add(c *connection) bool {
	if l.count.Add(1) > maxLingering {
		l.count.Add(-1)
		return false
	}
	c.lingering.Store(true)
	c.stream.CloseAfterFlush(lingerTimeout)
	if c.stream.IsClosed() { // perhaps before it lingered
		l.remove(c)
	}
	return true
}

// remove takes note, once, that a connection that lingered is closed.
func (l *lingerer) remove(c *connection) {
	if c.lingering.Swap(false) {
		l.count.Add(-1)
	}
}

// isEmpty reports whether no connection lingers.
func (l *lingerer) isEmpty() bool { return l.count.Load() == 0 }
