// Package netio is the program's stream sockets, on lesismal/nbio: listeners that can be closed
// one by one, dialling, and connections whose unwritten bytes are counted and bounded.
package netio

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"golang.org/x/sys/unix"
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

// ReadSize is the most bytes that Data brings at once; where it brings fewer, nothing more waits to be read.
const ReadSize = 32 << 10

// Handler takes what happens on a connection. Data comes from one goroutine at a time and must
// not keep p. Closed comes once; Data may still be running then.
type Handler interface {
	Data(c *Conn, p []byte)
	Closed(c *Conn, err error)
}

// Drainer is a Handler that wants to hear when all that was written has gone out. Drained must
// not use the connection: it is called within its writes.
type Drainer interface{ Drained(c *Conn) }

// Opener is a Handler that wants to hear when its accepted connection may be used. Data may come
// before; accept itself must not use the connection.
type Opener interface{ Opened(c *Conn) }

// ErrWriteBufferFull means that a connection's reader does not keep up: it has been closed.
var ErrWriteBufferFull = errors.New("too much is waiting to be written")

// Engine runs connections.
type Engine struct {
	eng  *nbio.Engine
	mu   sync.Mutex
	lns  map[*Listener]bool
	wait sync.WaitGroup
	done bool
	// fence orders the making of a connection before its first event. The poller hands them over
	// through the kernel, which the memory model does not know of.
	fence atomic.Uint64
	taken []atomic.Bool // by poller: it has carried data
	pair  func() (net.Conn, net.Conn, error)
}

// Conn is one connection.
type Conn struct {
	nb      *nbio.Conn
	handler Handler
	most    int64
	pending atomic.Int64
	closed  atomic.Bool
	closing atomic.Bool // as soon as what is queued has gone out
	finish  atomic.Bool // its sending side only, likewise
	once    sync.Once

	mu     sync.Mutex
	polled bool  // the poller has it
	reason error // why it was closed before that
}

// Listener is what Listen returns.
type Listener struct {
	*net.TCPListener
	quiet  atomic.Int64 // a Drain waits for so long without a connection; 0: none is asked for
	until  atomic.Int64 // and ends by this Unix time in nanoseconds
	closed chan struct{}
}

// Drain closes the listener once it has taken all connections whose other end takes them for made: when none has come
// for quiet, or after most. A listener that is closed at once resets what waits in its accept queue.
func (l *Listener) Drain(quiet, most time.Duration) {
	l.until.Store(time.Now().Add(most).UnixNano())
	l.quiet.Store(int64(quiet))
	_ = l.SetDeadline(time.Now().Add(quiet))
}

// Closed is closed when the listener is and everything that it accepted has been handed over.
func (l *Listener) Closed() <-chan struct{} { return l.closed }

// drained says, when a deadline has passed since came connections had been taken, whether the listener is to be closed.
func (l *Listener) drained(came bool) bool {
	now := time.Now()
	if came && now.UnixNano() < l.until.Load() {
		_ = l.SetDeadline(now.Add(time.Duration(l.quiet.Load())))
		return false
	}
	return true
}

// New starts an engine with so many polling goroutines.
func New(name string, pollers int) (*Engine, error) {
	e := &Engine{lns: map[*Listener]bool{}, pair: pair, taken: make([]atomic.Bool, pollers)}
	e.eng = nbio.NewEngine(nbio.Config{Name: name, NPoller: pollers, ReadBufferSize: ReadSize})
	e.eng.OnData(func(nb *nbio.Conn, p []byte) {
		e.fence.Load()
		e.taken[nb.Hash()%pollers].Store(true) // as nbio deals descriptors out
		if c, ok := nb.Session().(*Conn); ok && !c.closed.Load() {
			c.handler.Data(c, p)
		}
	})
	e.eng.OnClose(func(nb *nbio.Conn, err error) {
		e.fence.Load()
		if c, ok := nb.Session().(*Conn); ok {
			c.end(err)
		}
	})
	e.eng.OnWrittenSize(func(nb *nbio.Conn, _ []byte, n int) {
		e.fence.Load()
		if c, ok := nb.Session().(*Conn); ok && c.pending.Add(int64(-n)) == 0 {
			if c.closing.Load() {
				go c.Close() // not within its own write
			}
			if c.finish.Load() {
				_ = syscall.Shutdown(nb.Hash(), syscall.SHUT_WR)
			}
			if d, ok := c.handler.(Drainer); ok {
				d.Drained(c)
			}
		}
	})
	if err := e.eng.Start(); err != nil {
		return nil, err
	}
	return e, nil
}

// prove waits until every poller has taken an event; one that has carried data has. It guards against nbio's own race: a
// poller that is stopped before its goroutine has come to its loop forgets that it was, spins, and Stop waits for it for
// good (nbio 1.6.8: readWriteLoop sets shutdown to false). It comes at the end, as only an engine that has carried nothing
// needs it: where a placer serves there may be none of the sockets that it takes.
func (e *Engine) prove() error {
	const tries = 64
	for try := 0; ; try++ {
		unproven := 0
		for i := range e.taken {
			if !e.taken[i].Load() {
				unproven++
			}
		}
		if unproven == 0 {
			return nil
		}
		if try == tries {
			return errors.New("netio: the pollers do not take events")
		}
		out, in, err := e.pair()
		if err != nil {
			return err
		}
		defer out.Close()
		if try%2 == 1 { // a poller takes descriptors by their number: held ones make the numbers differ
			if held, err := syscall.Dup(0); err == nil {
				defer syscall.Close(held)
			}
		}
		nb, err := nbio.NBConn(in)
		if err != nil {
			return err
		}
		taken := make(chan struct{}, 1)
		nb.SetSession(&Conn{nb: nb, polled: true, handler: prover{taken}})
		e.fence.Add(1)
		if _, err := e.eng.AddConn(nb); err != nil {
			return err
		}
		if _, err := out.Write([]byte{1}); err != nil {
			return err
		}
		select {
		case <-taken:
		case <-time.After(5 * time.Second):
			return errors.New("netio: a poller does not take events")
		}
	}
}

// pair makes two ends of a stream without a listener: where a placer may listen is not ours to choose.
func pair() (net.Conn, net.Conn, error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, nil, err
	}
	var ends [2]net.Conn
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "pair")
		ends[i], err = net.FileConn(f) // takes a copy
		_ = f.Close()
		if err != nil {
			return nil, nil, err
		}
	}
	return ends[0], ends[1], nil
}

// prover says that a poller took an event.
type prover struct {
	taken chan struct{}
}

// Data reports and closes.
func (p prover) Data(c *Conn, _ []byte) {
	p.taken <- struct{}{}
	c.Close()
}

// Closed does nothing.
func (prover) Closed(*Conn, error) {}

// Stop closes all listeners and connections and waits for the goroutines.
func (e *Engine) Stop() {
	e.mu.Lock()
	e.done = true
	for ln := range e.lns {
		_ = ln.Close()
	}
	e.mu.Unlock()
	e.wait.Wait()
	if e.prove() == nil { // else its goroutines stay, which cost little
		e.eng.Stop()
	}
}

// Listen accepts connections at an address until the listener or the engine is closed. accept
// returns the handler of a new connection, or nil to close it; it may take its time, connections
// then wait in the accept queue. most bounds the unwritten bytes of a connection.
func (e *Engine) Listen(address string, most int, accept func(c *Conn) Handler) (*Listener, error) {
	raw, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ln := &Listener{TCPListener: raw.(*net.TCPListener), closed: make(chan struct{})}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.done {
		_ = ln.Close()
		return nil, net.ErrClosed
	}
	e.lns[ln] = true
	e.wait.Add(1)
	go func() {
		defer e.wait.Done()
		defer close(ln.closed)
		defer func() {
			_ = ln.Close()
			e.mu.Lock()
			delete(e.lns, ln)
			e.mu.Unlock()
		}()
		for came := false; ; {
			raw, err := ln.Accept()
			switch {
			case err == nil:
				came = true
				e.adopt(raw, most, accept)
			case errors.Is(err, net.ErrClosed):
				return
			case errors.Is(err, os.ErrDeadlineExceeded):
				if ln.drained(came) {
					return
				}
				came = false
			default:
				time.Sleep(10 * time.Millisecond) // out of descriptors: connections wait in the backlog
			}
		}
	}()
	return ln, nil
}

func (e *Engine) adopt(raw net.Conn, most int, accept func(c *Conn) Handler) {
	nb, err := nbio.NBConn(raw)
	if err != nil {
		_ = raw.Close()
		return
	}
	c := &Conn{nb: nb, most: int64(most)}
	handler := accept(c)
	if handler == nil {
		_ = nb.Close()
		return
	}
	if err := e.poll(c, handler); err != nil {
		c.end(err)
		return
	}
	if o, ok := handler.(Opener); ok {
		o.Opened(c)
	}
}

// poll hands a connection to its poller. It guards against one that was closed before: nbio would enter it in its table
// under a descriptor that may be another connection's by then, which no event would reach any more.
func (e *Engine) poll(c *Conn, handler Handler) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handler, c.polled = handler, true
	if c.closed.Load() {
		_ = c.nb.Close()
		return c.reason
	}
	c.nb.SetSession(c)
	e.fence.Add(1)
	_, err := e.eng.AddConn(c.nb)
	if err != nil {
		_ = c.nb.Close()
	}
	return err
}

// Dial makes a connection; opened is called with it, or with the error, on another goroutine.
func (e *Engine) Dial(address string, timeout time.Duration, most int, handler Handler, opened func(*Conn, error)) {
	e.mu.Lock()
	if e.done {
		e.mu.Unlock()
		go opened(nil, net.ErrClosed)
		return
	}
	e.wait.Add(1)
	e.mu.Unlock()
	go func() {
		defer e.wait.Done()
		raw, err := net.DialTimeout("tcp", address, timeout)
		if err != nil {
			opened(nil, err)
			return
		}
		nb, err := nbio.NBConn(raw)
		if err != nil {
			_ = raw.Close()
			opened(nil, err)
			return
		}
		c := &Conn{nb: nb, most: int64(most)}
		if err := e.poll(c, handler); err != nil {
			opened(nil, err)
			return
		}
		opened(c, nil)
	}()
}

// end tells the handler, once, that the connection is gone.
func (c *Conn) end(err error) {
	c.closed.Store(true)
	c.once.Do(func() { c.handler.Closed(c, err) })
}

// Write queues bytes. It closes the connection if more wait than its bound.
func (c *Conn) Write(p []byte) error {
	if c.closed.Load() {
		return net.ErrClosed
	}
	if c.pending.Add(int64(len(p))) > c.most {
		c.CloseWith(ErrWriteBufferFull)
		return ErrWriteBufferFull
	}
	if _, err := c.nb.Write(p); err != nil {
		return err
	}
	return nil
}

// IsClosed says whether the connection is closed.
func (c *Conn) IsClosed() bool { return c.closed.Load() }

// HasUnsent says whether bytes that were written wait in this process or its machine, as the other end does not read.
func (c *Conn) HasUnsent() bool {
	if c.closed.Load() {
		return false
	}
	if c.pending.Load() > 0 {
		return true
	}
	n, err := unix.IoctlGetInt(c.nb.Hash(), unix.SIOCOUTQNSD)
	return err == nil && n > 0
}

// PendingBytes is how many bytes wait to be written.
func (c *Conn) PendingBytes() int { return int(c.pending.Load()) }

// Close closes the connection; Closed of its handler follows.
func (c *Conn) Close() { c.CloseWith(nil) }

// CloseWith closes the connection and gives Closed the reason.
func (c *Conn) CloseWith(err error) {
	c.mu.Lock()
	if !c.polled { // by accept, or beside it: poll closes it
		if !c.closed.Swap(true) {
			c.reason = err
		}
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	_ = c.nb.CloseWithError(err)
	c.end(err)
}

// CloseAfterFlush closes the connection once what is queued has gone out, or after most: what is queued when a connection is
// closed is lost. Data may come until then.
func (c *Conn) CloseAfterFlush(most time.Duration) {
	c.closing.Store(true)
	if c.pending.Load() == 0 {
		c.Close()
		return
	}
	time.AfterFunc(most, c.Close)
}

// CloseWrite tells the other end that nothing more comes, once what is queued has gone out; what it sends is still read.
func (c *Conn) CloseWrite() {
	c.finish.Store(true)
	if c.pending.Load() == 0 && !c.closed.Load() {
		_ = syscall.Shutdown(c.nb.Hash(), syscall.SHUT_WR)
	}
}

// PeerClosed says whether the other end has closed its side or reset the connection, though that was not read yet.
func (c *Conn) PeerClosed() bool {
	if c.closed.Load() {
		return true
	}
	fds := []unix.PollFd{{Fd: int32(c.nb.Hash()), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0
}

// Reset closes the connection so that the other end sees a reset, and what is queued is lost.
func (c *Conn) Reset() {
	_ = c.nb.SetLinger(1, 0)
	c.Close()
}

// SetReadTimeout closes the connection if nothing has come by then; 0 takes that back.
func (c *Conn) SetReadTimeout(d time.Duration) {
	t := time.Time{}
	if d > 0 {
		t = time.Now().Add(d)
	}
	_ = c.nb.SetReadDeadline(t)
}

// RemoteAddress is the other end's address.
func (c *Conn) RemoteAddress() string { return c.nb.RemoteAddr().String() }
