// Package netio provides stream sockets on lesismal/nbio: listeners that can be drained and closed individually,
// dialing, and connections whose unwritten bytes are counted and bounded.
//
// An Engine owns the following goroutines, and Stop waits for them: the pollers of nbio, one for each listener, one for
// each dial in progress, and one for each connection that is closed after its flush. Stop does not wait for the timer
// of Conn.CloseAfterFlush, which does nothing when it fires on a closed connection.
//
// Callbacks run on these goroutines:
//
//	Handler.Data       the connection's poller
//	Handler.Closed     the goroutine that closes the connection: its poller, a caller of Close, a timer, or Stop
//	Drainer.Drained    the goroutine that writes: a caller of Write, or the connection's poller
//	Opener.Opened      the listener's, after accept
//	accept of Listen   the listener's, for one connection at a time
//	opened of Dial     the dial's, or a separate one if the engine is stopping
//
// A callback must not call Engine.Stop, which would wait for the callback.
package netio

import "errors"

// ReadSize is the maximum number of bytes in one call of Handler.Data. A call with fewer bytes means that no further
// bytes are waiting to be read.
const ReadSize = 8 << 10

// ErrWriteBufferFull means that a connection was closed because its peer does not read fast enough.
var ErrWriteBufferFull = errors.New("write buffer is full: the peer does not read fast enough")

// Handler handles the events of a connection.
type Handler interface {
	// Data handles received bytes. It is called by one goroutine at a time and must not keep p. It may be called before
	// Opener.Opened or the opened callback of Dial has returned.
	Data(c *Conn, p []byte)
	// Closed is called once, with the reason of the close or nil. Data may still be running on another goroutine.
	// Closed must not close the connection again.
	Closed(c *Conn, err error)
}

// Drainer is a Handler that is notified when all written bytes have been passed to the kernel. Drained must not use the
// connection, as it is called during a write with the connection locked.
type Drainer interface{ Drained(c *Conn) }

// Opener is a Handler that is notified when its accepted connection may be used. The accept callback of Listen must not
// use the connection yet.
type Opener interface{ Opened(c *Conn) }
