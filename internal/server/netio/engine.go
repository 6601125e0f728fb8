package netio

import (
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
	logging.SetLevel(logging.LevelNone) // what matters comes back as errors
	// nbio keeps a table of connections by descriptor, 16 MiB by default, which each collection goes through: no
	// descriptor is above the process's limit.
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(nbio.MaxOpenFiles) {
		nbio.MaxOpenFiles = int(limit.Cur) + 1
	}
}

// Engine runs listeners and connections. Its methods may be called from any goroutine.
type Engine struct {
	poller *nbio.Engine
	// fence orders the making of a connection before its first event. The poller hands them over
	// through the kernel, which the memory model does not know of.
	fence atomic.Uint64
	// served is, by the poller's number, whether it has carried data.
	served     []atomic.Bool
	socketPair func() (net.Conn, net.Conn, error)

	wait    sync.WaitGroup // listeners and dials; nothing is added after stopping is set
	closers sync.WaitGroup // see closeLater; nothing is added after stopped is set

	mu        sync.Mutex // held for a moment only: no callback, no other lock within it
	listeners map[*Listener]struct{}
	stopping  bool // Stop has begun: nothing new is opened
	stopped   bool // all connections are closed
}

// New starts an engine with so many polling goroutines.
func New(name string, pollers int) (*Engine, error) {
	e := &Engine{listeners: map[*Listener]struct{}{}, socketPair: socketPair, served: make([]atomic.Bool, pollers)}
	e.poller = nbio.NewEngine(nbio.Config{Name: name, NPoller: pollers, ReadBufferSize: ReadSize})
	e.poller.OnData(e.onData)
	e.poller.OnClose(e.onClose)
	e.poller.OnWrittenSize(e.onWritten)
	if err := e.poller.Start(); err != nil {
		return nil, fmt.Errorf("start %d pollers: %w", pollers, err)
	}
	return e, nil
}

func (e *Engine) onData(raw *nbio.Conn, p []byte) {
	e.fence.Load()
	e.served[raw.Hash()%len(e.served)].Store(true) // as nbio deals descriptors out
	if c, ok := raw.Session().(*Conn); ok && !c.closed.Load() {
		c.handler.Data(c, p)
	}
}

func (e *Engine) onClose(raw *nbio.Conn, err error) {
	e.fence.Load()
	if c, ok := raw.Session().(*Conn); ok {
		c.reportClosed(err)
	}
}

// onWritten is called by nbio with the connection locked.
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

// closeLater closes a connection from a goroutine of its own: nbio would deadlock within the connection's own write.
func (e *Engine) closeLater(c *Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.stopped {
		e.closers.Go(c.Close)
	}
}

// start runs a function on a goroutine that Stop waits for; false: the engine stops, and nothing was started.
func (e *Engine) start(run func()) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping {
		return false
	}
	e.wait.Go(run)
	return true
}

// Stop closes all listeners and connections and waits for the engine's goroutines, dials included. The pollers of an
// engine that cannot be stopped safely stay, and so do its connections; see awaitPollers.
func (e *Engine) Stop() {
	e.mu.Lock()
	e.stopping = true
	for ln := range e.listeners {
		_ = ln.Close()
	}
	e.mu.Unlock()
	e.wait.Wait()
	if e.awaitPollers() == nil {
		e.poller.Stop()
	}
	e.mu.Lock()
	e.stopped = true
	e.mu.Unlock()
	e.closers.Wait()
}

// Dial connects to an address and calls opened with the connection or with the error, on another goroutine. After
// timeout the error is one of net's timeouts; once Stop has begun it is net.ErrClosed, on a goroutine that Stop does not
// wait for. maxPending bounds the unwritten bytes of the connection.
func (e *Engine) Dial(address string, timeout time.Duration, maxPending int, handler Handler, opened func(*Conn, error)) {
	started := e.start(func() {
		opened(e.dial(address, timeout, maxPending, handler))
	})
	if !started {
		go opened(nil, net.ErrClosed)
	}
}

func (e *Engine) dial(address string, timeout time.Duration, maxPending int, handler Handler) (*Conn, error) {
	socket, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	c, err := newConn(socket, maxPending)
	if err != nil {
		return nil, err
	}
	if err := e.attach(c, handler); err != nil {
		return nil, err
	}
	return c, nil
}

// attach hands a connection to its poller. It guards against one that was closed before: nbio would enter it in its table
// under a descriptor that may be another connection's by then, which no event would reach any more.
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
		return fmt.Errorf("hand a connection to its poller: %w", err)
	}
	return nil
}
