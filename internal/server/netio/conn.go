package netio

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// Conn is one connection. Its methods may be called from any goroutine.
type Conn struct {
	raw        *nbio.Conn
	handler    Handler // set before the poller has the connection
	maxPending int64   // bytes
	pending    atomic.Int64

	closed             atomic.Bool
	closeAfterFlush    atomic.Bool // close once nothing is pending
	shutdownAfterFlush atomic.Bool // close the sending side once nothing is pending
	reportOnce         sync.Once   // Closed of the handler

	mu          sync.Mutex // held while the poller takes the connection
	attached    bool       // the poller has it
	closeReason error      // reason for which it was closed before that
}

// newConn wraps a socket, which it closes if it cannot.
func newConn(socket net.Conn, maxPending int) (*Conn, error) {
	raw, err := nbio.NBConn(socket)
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	return &Conn{raw: raw, maxPending: int64(maxPending)}, nil
}

// reportClosed notifies the handler, once, that the connection is closed.
func (c *Conn) reportClosed(err error) {
	c.closed.Store(true)
	c.reportOnce.Do(func() { c.handler.Closed(c, err) })
}

// Write queues bytes; the handler's Drained is called when all are out. It closes the connection and returns
// ErrWriteBufferFull if more would be pending than its bound, and net.ErrClosed if it is closed already.
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

// HasUnsent reports whether bytes that were written wait in this process or its kernel, as the peer does not read.
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

// RemoteAddress is the peer's address, host:port.
func (c *Conn) RemoteAddress() string { return c.raw.RemoteAddr().String() }

// PendingBytes is how many bytes wait in this process to be written.
func (c *Conn) PendingBytes() int { return int(c.pending.Load()) }

// PeerClosed reports whether the peer has closed its side or reset the connection, though that was not read yet.
func (c *Conn) PeerClosed() bool {
	if c.closed.Load() {
		return true
	}
	const hangup = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR | unix.POLLNVAL
	fds := []unix.PollFd{{Fd: int32(c.raw.Hash()), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&hangup != 0
}

// SetReadTimeout closes the connection if nothing has come by then; 0 removes the timeout.
func (c *Conn) SetReadTimeout(d time.Duration) {
	t := time.Time{}
	if d > 0 {
		t = time.Now().Add(d)
	}
	_ = c.raw.SetReadDeadline(t)
}

// Close closes the connection; what is pending is lost. Closed of its handler is called before it returns, or is being
// called; during accept it follows.
func (c *Conn) Close() { c.CloseWith(nil) }

// CloseWith closes the connection like Close and gives Closed of its handler the reason.
func (c *Conn) CloseWith(reason error) {
	c.mu.Lock()
	if !c.attached { // within accept or beside it: attach closes it
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

// CloseAfterFlush closes the connection once what is pending has gone out, or after limit. Data may come until then.
func (c *Conn) CloseAfterFlush(limit time.Duration) {
	c.closeAfterFlush.Store(true)
	if c.pending.Load() == 0 {
		c.Close()
		return
	}
	time.AfterFunc(limit, c.Close)
}

// CloseWrite closes the sending side once what is pending has gone out; what the peer sends is still read.
func (c *Conn) CloseWrite() {
	c.shutdownAfterFlush.Store(true)
	if c.pending.Load() == 0 && !c.closed.Load() {
		_ = syscall.Shutdown(c.raw.Hash(), syscall.SHUT_WR)
	}
}

// Reset closes the connection so that the peer sees a reset; what is pending is lost.
func (c *Conn) Reset() {
	_ = c.raw.SetLinger(1, 0)
	c.Close()
}
