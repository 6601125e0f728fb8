package platform

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"forkhead/internal/emulator/platformmodel"
)

const (
	readSize      = 32 << 10
	maxUnwritten  = 4 << 20 // bytes on a connection that its placer does not read; with more it is reset
	lingerTimeout = 500 * time.Millisecond
)

// connection is a connection between the Emulator and a placer.
type connection struct {
	server *Server
	id     platformmodel.ConnID
	socket *net.TCPConn

	readDone chan struct{} // closed when nothing more is read

	mu        sync.Mutex // guards what follows
	changed   *sync.Cond // on mu
	paused    bool       // nothing is read
	queued    [][]byte   // to be written
	unwritten int        // bytes of queued
	closing   bool       // to be closed once all is written
	closed    bool
}

func newConnection(s *Server, id platformmodel.ConnID, socket *net.TCPConn) *connection {
	c := &connection{server: s, id: id, socket: socket, readDone: make(chan struct{})}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// write queues bytes.
func (c *connection) write(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queued = append(c.queued, data)
	if c.unwritten += len(data); c.unwritten > maxUnwritten {
		c.endLocked(true)
	}
	c.changed.Broadcast()
}

// closeAfterFlush closes the connection once all is written.
func (c *connection) closeAfterFlush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.changed.Broadcast()
}

// reset closes the connection at once; the other end is sent a reset.
func (c *connection) reset() { c.end(true) }

func (c *connection) end(reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endLocked(reset)
}

// endLocked is called with mu held. Errors of a socket that is closed mean nothing.
func (c *connection) endLocked(reset bool) {
	if c.closed {
		return
	}
	c.closed = true
	if reset {
		_ = c.socket.SetLinger(0)
	}
	_ = c.socket.Close()
	c.changed.Broadcast()
}

// setReading makes the connection read, or read no longer.
func (c *connection) setReading(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = !on
	deadline := time.Time{}
	if c.paused {
		deadline = time.Now() // ends the read that waits
	}
	_ = c.socket.SetReadDeadline(deadline)
	c.changed.Broadcast()
}

// mayRead waits while nothing is to be read. It returns false when the connection is closed.
func (c *connection) mayRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.paused && !c.closing && !c.closed {
		c.changed.Wait()
	}
	return !c.closed
}

// wasInterrupted reports whether a read has ended by setReading, so that there may be more to read.
func (c *connection) wasInterrupted(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return errors.Is(err, os.ErrDeadlineExceeded) && !c.closing && !c.closed
}

// read posts what comes until the other end closes the connection.
func (c *connection) read() {
	defer close(c.readDone)
	buffer := make([]byte, readSize)
	for c.mayRead() {
		n, err := c.socket.Read(buffer)
		if n > 0 {
			c.server.post(platformmodel.Data{Conn: c.id, Bytes: bytes.Clone(buffer[:n])})
		}
		if err != nil && !c.wasInterrupted(err) {
			break
		}
	}
	c.server.post(platformmodel.Disconnected{Conn: c.id})
}

// writeQueued writes what is queued until the connection is closed.
func (c *connection) writeQueued() {
	for {
		data, ok := c.nextWrite()
		if !ok {
			break
		}
		if _, err := c.socket.Write(data); err != nil {
			c.end(true)
			return
		}
	}
	c.linger()
}

// nextWrite waits for bytes to write. It returns false when all is written and the connection is to be closed.
func (c *connection) nextWrite() (data []byte, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queued) == 0 && !c.closing && !c.closed {
		c.changed.Wait()
	}
	if c.closed || len(c.queued) == 0 {
		return nil, false
	}
	data = c.queued[0]
	c.queued = c.queued[1:]
	c.unwritten -= len(data)
	return data, true
}

// linger ends the connection's own direction and reads on for a while until the other one ends too: what was written would
// be lost to a reset otherwise.
func (c *connection) linger() {
	_ = c.socket.CloseWrite()
	_ = c.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	<-c.readDone
	c.end(false)
}
