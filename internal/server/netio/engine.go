package netio

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

func init() {
	logging.SetLevel(logging.LevelNone) // nbio need not log: its functions return the errors that netio needs
	// nbio indexes connections by descriptor in a table of 16 MiB by default, which each garbage collection scans. The
	// table needs no entries for descriptors above the process's limit.
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(nbio.MaxOpenFiles) {
		nbio.MaxOpenFiles = int(limit.Cur) + 1
	}
}

// Engine runs listeners and connections. Its methods are safe for concurrent use.
type Engine struct {
	poller *nbio.Engine
	// fence orders the setup of a connection before its first event: it is written before the connection is added to
	// its poller and read at each event. The poller gets the event from the kernel, which Go's memory model does not
	// treat as synchronization.
	fence atomic.Uint64
	// delivered records, by the poller's index, whether the poller has delivered data.
	delivered  []atomic.Bool
	socketPair func() (net.Conn, net.Conn, error) // opens a socket pair; replaced in tests

	dialContext context.Context // ends when Stop begins, which interrupts dials
	cancelDials context.CancelFunc

	running sync.WaitGroup // goroutines of listeners and dials; none is added after stopping is set
	closers sync.WaitGroup // goroutines of closeLater; none is added after stopped is set

	mu        sync.Mutex // guards the fields below; no callback is called and no other lock is taken while it is held
	listeners map[*Listener]struct{}
	stopping  bool // Stop has begun; no further listener or connection is opened
	stopped   bool // Stop has stopped the pollers, or has found that it cannot stop them safely
}

// New starts an engine with the given number of pollers, which have one goroutine each.
func New(name string, pollers int) (*Engine, error) {
	e := &Engine{listeners: map[*Listener]struct{}{}, socketPair: socketPair, delivered: make([]atomic.Bool, pollers)}
	e.dialContext, e.cancelDials = context.WithCancel(context.Background())
	e.poller = nbio.NewEngine(nbio.Config{Name: name, NPoller: pollers, ReadBufferSize: ReadSize})
	e.poller.OnData(e.onData)
	e.poller.OnClose(e.onClose)
	e.poller.OnWrittenSize(e.onWritten)
	if err := e.poller.Start(); err != nil {
		return nil, fmt.Errorf("start %d pollers: %w", pollers, err)
	}
	return e, nil
}

// onData is called by nbio with received bytes.
func (e *Engine) onData(raw *nbio.Conn, p []byte) {
	e.fence.Load()
	e.delivered[raw.Hash()%len(e.delivered)].Store(true) // nbio assigns a descriptor to a poller by the same modulus
	if c, ok := raw.Session().(*Conn); ok && !c.closed.Load() {
		c.handler.Data(c, p)
	}
}

// onClose is called by nbio when it has closed a connection.
func (e *Engine) onClose(raw *nbio.Conn, err error) {
	e.fence.Load()
	if c, ok := raw.Session().(*Conn); ok {
		c.reportClosed(err)
	}
}

// onWritten is called by nbio, with the connection locked, when n bytes have been passed to the kernel.
func (e *Engine) onWritten(raw *nbio.Conn, _ []byte, n int) {
	e.fence.Load()
	c, ok := raw.Session().(*Conn)
	if !ok || c.pending.Add(int64(-n)) != 0 {
		return
	}
	if c.closeAfterFlush.Load() {
		e.closeLater(c)
	}
	if c.shutdownAfterFlush.Load() {
		_ = syscall.Shutdown(raw.Hash(), syscall.SHUT_WR)
	}
	if d, ok := c.handler.(Drainer); ok {
		d.Drained(c)
	}
}

// closeLater closes a connection on a separate goroutine: nbio would deadlock on a close during the connection's own
// write.
func (e *Engine) closeLater(c *Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.stopped {
		e.closers.Go(c.Close)
	}
}

// startTracked runs a function on a goroutine that Stop waits for. It returns false, and runs nothing, if the engine is
// stopping.
func (e *Engine) startTracked(run func()) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping {
		return false
	}
	e.running.Go(run)
	return true
}

// Stop closes all listeners and connections, interrupts dials and waits for the engine's goroutines. If the
// pollers cannot be stopped safely (see awaitPollers), they keep running and their connections stay open.
func (e *Engine) Stop() {
	e.mu.Lock()
	e.stopping = true
	for ln := range e.listeners {
		_ = ln.Close()
	}
	e.mu.Unlock()
	e.cancelDials()
	e.running.Wait()
	if e.awaitPollers() == nil {
		e.poller.Stop()
	}
	e.mu.Lock()
	e.stopped = true
	e.mu.Unlock()
	e.closers.Wait()
}

// Dial connects to an address and calls opened, on another goroutine, with the connection or with an error: a timeout
// error of package net after timeout, or net.ErrClosed once Stop has begun. Stop does not wait for the goroutine that
// reports net.ErrClosed. maxPending bounds the connection's pending bytes.
func (e *Engine) Dial(address string, timeout time.Duration, maxPending int, handler Handler, opened func(*Conn, error)) {
	started := e.startTracked(func() {
		opened(e.dial(address, timeout, maxPending, handler))
	})
	if !started {
		go opened(nil, net.ErrClosed)
	}
}

// dial connects to an address and adds the connection to its poller.
func (e *Engine) dial(address string, timeout time.Duration, maxPending int, handler Handler) (*Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	socket, err := dialer.DialContext(e.dialContext, "tcp", address)
	if err != nil && e.dialContext.Err() != nil {
		return nil, net.ErrClosed
	}
	if err != nil {
		return nil, err
	}
	c, err := newConn(socket, maxPending)
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	if err := e.attach(c, handler); err != nil {
		return nil, err
	}
	return c, nil
}

// attach sets a connection's handler and adds the connection to its poller. If the connection was closed before, attach
// does not add it and returns the reason of the close: nbio would store the closed connection in its table under its
// old descriptor, and a later connection with the same descriptor would get no more events.
func (e *Engine) attach(c *Conn, handler Handler) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handler, c.attached = handler, true
	if c.closed.Load() {
		_ = c.raw.Close()
		return c.closeReason
	}
	c.raw.SetSession(c)
	e.fence.Add(1)
	if _, err := e.poller.AddConn(c.raw); err != nil {
		_ = c.raw.Close()
		return fmt.Errorf("add a connection to its poller: %w", err)
	}
	return nil
}
