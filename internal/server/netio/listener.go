package netio

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// acceptBackoff is how long a listener waits after an error of accept: connections stay in its accept queue.
const acceptBackoff = 10 * time.Millisecond

// Listener accepts connections until it or its engine is closed. Its methods may be called from any goroutine.
type Listener struct {
	*net.TCPListener
	engine     *Engine
	maxPending int
	accept     func(c *Conn) Handler
	drainIdle  atomic.Int64  // nanoseconds without a connection that end a Drain; 0: none was requested
	drainUntil atomic.Int64  // Unix nanoseconds by which it ends
	done       chan struct{} // closed when the listener is, and everything that it accepted has been handed over
}

// Listen accepts connections at an address until the listener or the engine is closed. accept returns the handler of a new
// connection, or nil to close it; while it runs, further connections wait in the accept queue. maxPending bounds the
// unwritten bytes of a connection.
func (e *Engine) Listen(address string, maxPending int, accept func(c *Conn) Handler) (*Listener, error) {
	raw, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ln := &Listener{
		TCPListener: raw.(*net.TCPListener), engine: e, maxPending: maxPending, accept: accept, done: make(chan struct{}),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping {
		_ = ln.Close()
		return nil, net.ErrClosed
	}
	e.listeners[ln] = struct{}{}
	e.wait.Go(ln.serve)
	return ln, nil
}

// Drain closes the listener once it has accepted all connections that their peers take for established: when none has
// come for idle, or after limit. A listener that is closed at once resets what waits in its accept queue.
func (l *Listener) Drain(idle, limit time.Duration) {
	l.drainUntil.Store(time.Now().Add(limit).UnixNano())
	l.drainIdle.Store(int64(idle))
	_ = l.SetDeadline(time.Now().Add(idle))
}

// serve is the listener's goroutine.
func (l *Listener) serve() {
	defer close(l.done)
	defer l.engine.forget(l)
	accepted := false // since the last deadline
	for {
		socket, err := l.Accept()
		switch {
		case err == nil:
			accepted = true
			l.take(socket)
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !accepted || !l.extendDrain() {
				return
			}
			accepted = false
		default: // out of descriptors
			time.Sleep(acceptBackoff)
		}
	}
}

// extendDrain sets the next deadline of a Drain; false: its time is over.
func (l *Listener) extendDrain() bool {
	now := time.Now()
	if now.UnixNano() >= l.drainUntil.Load() {
		return false
	}
	_ = l.SetDeadline(now.Add(time.Duration(l.drainIdle.Load())))
	return true
}

// take hands an accepted connection to its handler and its poller.
func (l *Listener) take(socket net.Conn) {
	c, err := newConn(socket, l.maxPending)
	if err != nil {
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

// forget closes a listener and removes it from the engine's.
func (e *Engine) forget(l *Listener) {
	_ = l.Close()
	e.mu.Lock()
	delete(e.listeners, l)
	e.mu.Unlock()
}
