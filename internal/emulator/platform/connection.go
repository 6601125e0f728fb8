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
	readBufferSize = 32 << 10
	maxQueuedBytes = 4 << 20 // a connection with more queued bytes is reset, as its placer does not read
	lingerTimeout  = 500 * time.Millisecond
)

// connection is a connection between the Emulator and a placer.
type connection struct {
	server *Server
	id     platformmodel.ConnID
	socket *net.TCPConn

	readDone chan struct{} // closed when read returns

	mu            sync.Mutex // guards the fields below
	changed       *sync.Cond // uses mu; wakes the goroutines that read and write
	readingPaused bool       // set by setReading
	queued        [][]byte   // data to be written
	queuedBytes   int        // total length of queued
	closing       bool       // the connection is to be closed after queued is written
	closed        bool
}

func newConnection(s *Server, id platformmodel.ConnID, socket *net.TCPConn) *connection {
	c := &connection{server: s, id: id, socket: socket, readDone: make(chan struct{})}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// write queues data to be written. It resets the connection if more than maxQueuedBytes are queued.
func (c *connection) write(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queued = append(c.queued, data)
	if c.queuedBytes += len(data); c.queuedBytes > maxQueuedBytes {
		c.closeSocketLocked(true)
	}
	c.changed.Broadcast()
}

// closeAfterFlush closes the connection after all queued data is written.
func (c *connection) closeAfterFlush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.changed.Broadcast()
}

// reset closes the connection at once and sends a reset to the placer.
func (c *connection) reset() { c.closeSocket(true) }

// closeSocket closes the connection, with a reset if reset is set.
func (c *connection) closeSocket(reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeSocketLocked(reset)
}

// closeSocketLocked does the same as closeSocket; mu must be held. It ignores errors, because the socket is not used
// any more.
func (c *connection) closeSocketLocked(reset bool) {
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

// setReading resumes or pauses reading.
func (c *connection) setReading(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingPaused = !on
	deadline := time.Time{}
	if c.readingPaused {
		deadline = time.Now() // interrupts a blocked Read
	}
	_ = c.socket.SetReadDeadline(deadline)
	c.changed.Broadcast()
}

// waitToRead blocks while reading is paused. It returns false if the connection is closed.
func (c *connection) waitToRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.readingPaused && !c.closing && !c.closed {
		c.changed.Wait()
	}
	return !c.closed
}

// isInterruptedRead reports whether err is the error of a read that setReading has interrupted. After it, reading may
// resume.
func (c *connection) isInterruptedRead(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return errors.Is(err, os.ErrDeadlineExceeded) && !c.closing && !c.closed
}

// read posts the received bytes to the event loop until the connection is closed.
func (c *connection) read() {
	defer close(c.readDone)
	buffer := make([]byte, readBufferSize)
	for c.waitToRead() {
		n, err := c.socket.Read(buffer)
		if n > 0 {
			c.server.postInput(platformmodel.Data{Conn: c.id, Bytes: bytes.Clone(buffer[:n])})
		}
		if err != nil && !c.isInterruptedRead(err) {
			break
		}
	}
	c.server.postInput(platformmodel.Disconnected{Conn: c.id})
}

// writeQueued writes the queued data until the connection is closed.
func (c *connection) writeQueued() {
	for {
		data, ok := c.nextWrite()
		if !ok {
			break
		}
		if _, err := c.socket.Write(data); err != nil {
			c.closeSocket(true)
			return
		}
	}
	c.closeGracefully()
}

// nextWrite blocks until there is data to write. It returns false if the connection is closed, or if all data is written
// and the connection is to be closed.
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
	c.queuedBytes -= len(data)
	return data, true
}

// closeGracefully half-closes the connection, reads until the placer closes it too or lingerTimeout is over, and then
// closes it. If it were closed at once, a reset could make the placer lose data that it has not read yet.
func (c *connection) closeGracefully() {
	_ = c.socket.CloseWrite()
	_ = c.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	<-c.readDone
	c.closeSocket(false)
}
