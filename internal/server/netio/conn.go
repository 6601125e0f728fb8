package netio

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// Conn is a connection. Its methods are safe for concurrent use.
type Conn struct {
	raw        *nbio.Conn
	handler    Handler      // set before the connection is added to its poller
	maxPending int64        // upper bound of pending; a write that would exceed it closes the connection
	pending    atomic.Int64 // number of bytes that are written but not yet passed to the kernel

	closed             atomic.Bool
	closeAfterFlush    atomic.Bool // whether to close the connection when pending reaches 0
	shutdownAfterFlush atomic.Bool // whether to close the sending side when pending reaches 0
	reportOnce         sync.Once   // ensures that the handler's Closed is called once

	mu          sync.Mutex // guards the fields below; held while the connection is added to its poller
	attached    bool       // whether attach has been called
	closeReason error      // reason with which the connection was closed before attach was called
}

// newConn wraps a socket. On an error the socket stays open and may be wrapped again.
func newConn(socket net.Conn, maxPending int) (*Conn, error) {
	raw, err := nbio.NBConn(socket)
	if err != nil {
		return nil, err
	}
	return &Conn{raw: raw, maxPending: int64(maxPending)}, nil
}

// reportClosed marks the connection as closed and calls the handler's Closed, at most once.
func (c *Conn) reportClosed(err error) {
	c.closed.Store(true)
	c.reportOnce.Do(func() { c.handler.Closed(c, err) })
}

// Write queues bytes. The handler's Drained is called when all pending bytes have been passed to the kernel. If more
// bytes than the connection's bound would be pending, Write closes the connection and returns ErrWriteBufferFull. On a
// closed connection it returns net.ErrClosed.
func (c *Conn) Write(p []byte) error {
	if c.closed.Load() {
		return net.ErrClosed
	}
	if c.pending.Add(int64(len(p))) > c.maxPending {
		c.CloseWith(ErrWriteBufferFull)
		return ErrWriteBufferFull
	}
	_, err := c.raw.Write(p)
	return err
}

// IsClosed reports whether the connection is closed.
func (c *Conn) IsClosed() bool { return c.closed.Load() }

// HasUnsent reports whether written bytes wait in this process or in the kernel's send queue, as they do when the peer
// does not read.
func (c *Conn) HasUnsent() bool {
	if c.closed.Load() {
		return false
	}
	if c.pending.Load() > 0 {
		return true
	}
	n, err := unix.IoctlGetInt(c.raw.Hash(), unix.SIOCOUTQNSD)
	return err == nil && n > 0
}

// RemoteAddress returns the peer's address as host:port.
func (c *Conn) RemoteAddress() string { return c.raw.RemoteAddr().String() }

// PendingBytes returns the number of written bytes that wait in this process.
func (c *Conn) PendingBytes() int { return int(c.pending.Load()) }

// PeerClosed reports whether the peer has closed its side or reset the connection, even if the poller has not read that
// yet.
func (c *Conn) PeerClosed() bool {
	if c.closed.Load() {
		return true
	}
	const hangup = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR | unix.POLLNVAL
	fds := []unix.PollFd{{Fd: int32(c.raw.Hash()), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&hangup != 0
}

// IsReset reports whether a connection ended for the given reason because the peer reset it.
func IsReset(reason error) bool {
	return errors.Is(reason, syscall.ECONNRESET) || errors.Is(reason, syscall.EPIPE)
}

// SetReadTimeout closes the connection after d, unless the timeout is set again before; a d of 0 removes the timeout.
// Received data does not extend it.
func (c *Conn) SetReadTimeout(d time.Duration) {
	t := time.Time{}
	if d > 0 {
		t = time.Now().Add(d)
	}
	_ = c.raw.SetReadDeadline(t)
}

// Close closes the connection and drops its pending bytes. When Close returns, the handler's Closed has been called or
// is being called by another goroutine. For a connection whose accept callback has not returned yet, Closed is called
// after that callback.
func (c *Conn) Close() { c.CloseWith(nil) }

// CloseWith closes the connection like Close and passes the reason to the handler's Closed.
func (c *Conn) CloseWith(reason error) {
	c.mu.Lock()
	if !c.attached { // accept has not returned yet, and attach will close the connection
		if !c.closed.Swap(true) {
			c.closeReason = reason
		}
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	_ = c.raw.CloseWithError(reason)
	c.reportClosed(reason)
}

// CloseAfterFlush closes the connection when its pending bytes have been passed to the kernel, or after limit. The
// handler's Data may be called until then.
func (c *Conn) CloseAfterFlush(limit time.Duration) {
	c.closeAfterFlush.Store(true)
	if c.pending.Load() == 0 {
		c.Close()
		return
	}
	time.AfterFunc(limit, c.Close)
}

// CloseWrite closes the sending side when the pending bytes have been passed to the kernel. Data from the peer is still
// read.
func (c *Conn) CloseWrite() {
	c.shutdownAfterFlush.Store(true)
	if c.pending.Load() == 0 && !c.closed.Load() {
		_ = syscall.Shutdown(c.raw.Hash(), syscall.SHUT_WR)
	}
}

// Reset closes the connection with a reset and drops its unsent bytes.
func (c *Conn) Reset() {
	_ = c.raw.SetLinger(1, 0)
	c.Close()
}
