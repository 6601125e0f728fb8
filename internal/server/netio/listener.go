package netio

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	// acceptBackoff is the wait after an error of accept. During the wait, connections stay in the accept queue.
	acceptBackoff = 10 * time.Millisecond
	// maxAdoptAttempts bounds how often an accepted connection is passed to the poller while descriptors are short. A
	// connection that is closed instead would lose what its peer has sent.
	maxAdoptAttempts = 300
)

// Listener accepts connections until it is closed or its engine is stopped. Its methods are safe for concurrent use.
type Listener struct {
	*net.TCPListener
	engine     *Engine
	maxPending int
	accept     func(c *Conn) Handler
	drainIdle  atomic.Int64  // nanoseconds without a new connection after which a Drain ends; 0: Drain was not called
	drainUntil atomic.Int64  // latest end of a Drain, in nanoseconds since openedAt
	openedAt   time.Time     // has a reading of the monotonic clock
	done       chan struct{} // closed when the listener is closed and all accepted connections have been handled
}

// Listen accepts connections at an address until the listener is closed or the engine is stopped. accept returns the
// handler of a new connection, or nil to close it. While accept runs, further connections wait in the accept queue.
// maxPending bounds the pending bytes of a connection.
func (e *Engine) Listen(address string, maxPending int, accept func(c *Conn) Handler) (*Listener, error) {
	raw, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ln := &Listener{
		TCPListener: raw.(*net.TCPListener), engine: e, maxPending: maxPending, accept: accept, openedAt: time.Now(),
		done: make(chan struct{}),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping {
		_ = ln.Close()
		return nil, net.ErrClosed
	}
	e.listeners[ln] = struct{}{}
	e.running.Go(ln.serve)
	return ln, nil
}

// Drain accepts the connections that wait in the accept queue, which their peers see as established, and then closes
// the listener: when no connection has arrived for the duration idle, or after limit. Closing the listener at once
// would reset the waiting connections.
func (l *Listener) Drain(idle, limit time.Duration) {
	l.drainUntil.Store(int64(time.Since(l.openedAt) + limit))
	l.drainIdle.Store(int64(idle))
	_ = l.SetDeadline(time.Now().Add(idle))
}

// serve is the body of the listener's goroutine.
func (l *Listener) serve() {
	defer close(l.done)
	defer l.engine.removeListener(l)
	accepted := false // whether a connection was accepted since the last deadline
	for {
		socket, err := l.Accept()
		switch {
		case err == nil:
			accepted = true
			l.handle(socket)
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !accepted || !l.extendDrain() {
				return
			}
			accepted = false
		default: // accept failed, for example because no descriptor is free
			time.Sleep(acceptBackoff)
		}
	}
}

// extendDrain sets the next deadline of a Drain. It returns false if the limit of the Drain has passed.
func (l *Listener) extendDrain() bool {
	if int64(time.Since(l.openedAt)) >= l.drainUntil.Load() {
		return false
	}
	_ = l.SetDeadline(time.Now().Add(time.Duration(l.drainIdle.Load())))
	return true
}

// handle passes an accepted connection to accept and attaches it to its handler and poller.
func (l *Listener) handle(socket net.Conn) {
	c, err := l.adopt(socket)
	if err != nil {
		_ = socket.Close()
		return
	}
	handler := l.accept(c)
	if handler == nil {
		_ = c.raw.Close()
		return
	}
	if err := l.engine.attach(c, handler); err != nil {
		c.reportClosed(err)
		return
	}
	if o, ok := handler.(Opener); ok {
		o.Opened(c)
	}
}

// adopt wraps an accepted socket. While the process or the machine lacks descriptors or memory, it tries again.
func (l *Listener) adopt(socket net.Conn) (c *Conn, err error) {
	for range maxAdoptAttempts {
		if c, err = newConn(socket, l.maxPending); err == nil || !IsLocalFailure(err) {
			return c, err
		}
		time.Sleep(acceptBackoff)
	}
	return nil, err
}

// removeListener closes a listener and removes it from the engine's listeners.
func (e *Engine) removeListener(l *Listener) {
	_ = l.Close()
	e.mu.Lock()
	delete(e.listeners, l)
	e.mu.Unlock()
}
