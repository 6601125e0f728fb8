// Package netio is the program's stream sockets, on lesismal/nbio: listeners that can be drained and closed one by one,
// dialing, and connections whose unwritten bytes are counted and bounded.
//
// An Engine owns these goroutines, and Stop waits for them: the pollers of nbio, one for each listener, one for each
// dial that has not ended, and one for each connection that closes after its flush. The timer of Conn.CloseAfterFlush
// is not waited for; when it fires on a connection that is closed, it does nothing.
//
// Callbacks run on these goroutines:
//
//	Handler.Data       the connection's poller
//	Handler.Closed     whoever closes the connection: its poller, a caller of Close, a timer, or Stop
//	Drainer.Drained    whoever writes: a caller of Write, or the connection's poller
//	Opener.Opened      the listener's, after accept
//	accept of Listen   the listener's, one connection after the other
//	opened of Dial     one of its own
//
// A callback must not call Engine.Stop, which would wait for it.
package netio

import "errors"

// ReadSize is the most bytes that Handler.Data gets at once; where it gets fewer, nothing more waits to be read.
const ReadSize = 32 << 10

// ErrWriteBufferFull means that a connection's peer does not read fast enough: the connection has been closed.
var ErrWriteBufferFull = errors.New("too much is waiting to be written")

// Handler handles what happens on a connection.
type Handler interface {
	// Data handles received bytes. It is called by one goroutine at a time and must not keep p. It may be called before
	// Opened of the connection, or opened of its dial, has returned.
	Data(c *Conn, p []byte)
	// Closed is called once, with the reason or nil. Data may still be running. It must not close the connection again.
	Closed(c *Conn, err error)
}

// Drainer is a Handler that is notified when everything that was written has gone out. Drained must not use the connection:
// it is called within its writes.
type Drainer interface{ Drained(c *Conn) }

// Opener is a Handler that is notified when its accepted connection may be used, which accept itself must not do.
type Opener interface{ Opened(c *Conn) }
