package platform

import (
	"sync/atomic"
	"time"

	"forkhead/internal/server/netio"
)

const (
	maxLingering  = 4 // maximum number of connections that the core has closed and that still send their pending bytes
	lingerTimeout = 200 * time.Millisecond
)

// connection is a connection of an owner or to a host, with the output of the core's current step for it. Its fields
// are used by the event loop's goroutine only, except for lingering.
type connection struct {
	stream    *netio.Conn // nil while the connection is being dialed
	output    []byte      // bytes that are not yet written to stream
	queued    bool        // whether the connection is in the write queue
	closed    bool        // whether the core or the peer has closed the connection
	lingering atomic.Bool // whether the lingerer closes the connection once its pending bytes are sent
}

// flush writes the collected output to the stream. If the write fails, the stream is closed and the handler's Closed is
// called.
func (c *connection) flush() {
	c.queued = false
	if len(c.output) > 0 {
		_ = c.stream.Write(c.output)
		c.output = nil
	}
}

// writeQueue lists the connections with output of the core's current step, so that the output for each is written at
// once. It is used by the event loop's goroutine only.
type writeQueue struct{ connections []*connection }

// write adds a line to the output for a connection. It drops the line if c is nil or still being dialed.
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

// flush writes the collected output of all connections.
func (q *writeQueue) flush() {
	for _, c := range q.connections {
		c.flush()
	}
	q.connections = q.connections[:0]
}

// lingerer closes connections of owners and hosts. A connection that is closed at once loses its pending bytes, so the
// lingerer lets up to maxLingering connections send theirs first. It is safe for concurrent use.
type lingerer struct{ count atomic.Int64 }

// close writes the collected output of a connection and closes it. It returns whether the connection lingers.
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

// add closes a connection when its pending bytes are sent, or after lingerTimeout. It does nothing and returns false if
// maxLingering connections linger already.
func (l *lingerer) add(c *connection) bool {
	if l.count.Add(1) > maxLingering {
		l.count.Add(-1)
		return false
	}
	c.lingering.Store(true)
	c.stream.CloseAfterFlush(lingerTimeout)
	if c.stream.IsClosed() { // the handler's Closed may have called remove before lingering was set
		l.remove(c)
	}
	return true
}

// remove takes a closed connection out of the count of lingering connections, if it lingered. Further calls do nothing.
func (l *lingerer) remove(c *connection) {
	if c.lingering.Swap(false) {
		l.count.Add(-1)
	}
}

// isEmpty reports whether no connection lingers.
func (l *lingerer) isEmpty() bool { return l.count.Load() == 0 }
