package netio

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// An engine that is stopped right after its start stops: nbio's pollers would forget it and spin.
func TestStopAtOnce(t *testing.T) {
	for range 200 {
		e, err := New("test", 2)
		if err != nil {
			t.Fatal(err)
		}
		e.Stop()
	}
}

type echo struct {
	mu     sync.Mutex
	closed chan error
	got    []byte
	back   bool
}

func (h *echo) Data(c *Conn, p []byte) {
	h.mu.Lock()
	h.got = append(h.got, p...)
	h.mu.Unlock()
	if h.back {
		_ = c.Write(p)
	}
}

func (h *echo) Closed(_ *Conn, err error) { h.closed <- err }

func start(t *testing.T, most int, h Handler) (*Engine, net.Listener) {
	t.Helper()
	e, err := New("test", 2)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := e.Listen("127.0.0.1:0", most, func(*Conn) Handler { return h })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	return e, ln
}

func TestDialAndEcho(t *testing.T) {
	e, ln := start(t, 1<<20, &echo{closed: make(chan error, 1), back: true})
	mine := &echo{closed: make(chan error, 1)}
	opened := make(chan *Conn, 1)
	e.Dial(ln.Addr().String(), time.Second, 1<<20, mine, func(c *Conn, err error) {
		if err != nil {
			t.Error(err)
		}
		opened <- c
	})
	c := <-opened
	want := bytes.Repeat([]byte("forkhead"), 10_000)
	if err := c.Write(want); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		mine.mu.Lock()
		same := bytes.Equal(mine.got, want)
		mine.mu.Unlock()
		if same {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the echo does not come")
		}
	}
	c.Close()
	if err := <-mine.closed; err != nil {
		t.Fatal(err)
	}
	if err := c.Write(want); !errors.Is(err, net.ErrClosed) {
		t.Fatalf("a write after the end: %v", err)
	}
}

// Nobody listens: the error comes back, and no connection.
func TestDialFails(t *testing.T) {
	e, ln := start(t, 1, &echo{closed: make(chan error, 1)})
	address := ln.Addr().String()
	_ = ln.Close()
	got := make(chan error, 1)
	e.Dial(address, time.Second, 1, &echo{}, func(c *Conn, err error) { got <- err })
	if err := <-got; err == nil {
		t.Fatal("no error")
	}
}

// A reader that does not read costs its bound and no more: then its connection is closed.
func TestWriteBound(t *testing.T) {
	h := &flood{closed: make(chan error, 1)}
	_, ln := start(t, 64<<10, h)
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte{1}); err != nil {
		t.Fatal(err)
	}
	if err := <-h.closed; !errors.Is(err, ErrWriteBufferFull) {
		t.Fatalf("closed with %v", err)
	}
}

type flood struct{ closed chan error }

func (h *flood) Data(c *Conn, _ []byte) {
	p := make([]byte, 32<<10)
	for range 10_000 {
		if c.Write(p) != nil {
			return
		}
	}
}

func (h *flood) Closed(_ *Conn, err error) { h.closed <- err }

// A reset is seen by the other end.
func TestReset(t *testing.T) {
	_, ln := start(t, 1, resetter{})
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = c.Write([]byte{1})
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil || err == io.EOF {
		t.Fatalf("read after a reset: %v", err)
	}
}

type resetter struct{}

func (resetter) Data(c *Conn, _ []byte) { c.Reset() }
func (resetter) Closed(*Conn, error)    {}

// A connection that is closed while accept still runs ends once, and those that come after it under its descriptor are
// served.
func TestClosedWhileAccepted(t *testing.T) {
	e, err := New("test", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	first := &echo{closed: make(chan error, 2)}
	n := 0
	ln, err := e.Listen("127.0.0.1:0", 1<<20, func(c *Conn) Handler {
		if n++; n == 1 {
			done := make(chan struct{})
			go func() { c.CloseWith(ErrWriteBufferFull); close(done) }()
			<-done
			return first
		}
		return &echo{closed: make(chan error, 1), back: true}
	})
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := <-first.closed; !errors.Is(err, ErrWriteBufferFull) {
		t.Errorf("closed with %v", err)
	}
	for range 3 {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		_, _ = c.Write([]byte("x"))
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Fatalf("a later connection is not served: %v", err)
		}
	}
}

// A listener that is drained takes what waits in its accept queue, also where accept takes its time, and then closes.
func TestDrainTakesTheAcceptQueue(t *testing.T) {
	gate := make(chan struct{})
	e, err := New("test", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	ln, err := e.Listen("127.0.0.1:0", 1<<20, func(c *Conn) Handler {
		<-gate
		return &echo{closed: make(chan error, 1), back: true}
	})
	if err != nil {
		t.Fatal(err)
	}
	var all []net.Conn
	for range 30 {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = c.Write([]byte("x"))
		all = append(all, c)
	}
	ln.Drain(10*time.Millisecond, time.Minute)
	time.Sleep(30 * time.Millisecond) // accept is held for longer than the queue would have to be quiet
	close(gate)
	for i, c := range all {
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Fatalf("connection %d of the accept queue: %v", i, err)
		}
	}
	<-ln.Closed()
	if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		c.Close()
		t.Error("it still listens")
	}
}

// CloseWritten loses nothing that was written; Left sees a half-closed, a closed and a reset connection that was not read.
func TestCloseWrittenAndLeft(t *testing.T) {
	conns := make(chan *Conn, 4)
	_, ln := start(t, 64<<20, opener(conns))
	dial := func() (*net.TCPConn, *Conn) {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c.(*net.TCPConn), <-conns
	}
	slow, c := dial()
	want := 32 << 20
	if err := c.Write(make([]byte, want)); err != nil {
		t.Fatal(err)
	}
	if c.PendingBytes() == 0 {
		t.Fatal("all of it is out already; this tests nothing")
	}
	if !c.HasUnsent() {
		t.Error("nothing is unsent with a reader that does not read")
	}
	c.CloseAfterFlush(time.Minute)
	if n, err := io.Copy(io.Discard, slow); err != nil || int(n) != want {
		t.Errorf("%d bytes of %d came, then %v", n, want, err)
	}
	for name, leave := range map[string]func(*net.TCPConn){
		"half-closed": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"closed":      func(c *net.TCPConn) { _ = c.Close() },
		"reset":       func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	} {
		mine, c := dial()
		if c.PeerClosed() {
			t.Errorf("%s: it has left before it did", name)
		}
		leave(mine)
		for end := time.Now().Add(20 * time.Second); !c.PeerClosed(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: not seen", name)
			}
		}
	}
}

// opener hands out connections and reads nothing of them.
type opener chan *Conn

func (o opener) Opened(c *Conn)      { o <- c }
func (o opener) Data(*Conn, []byte)  {}
func (o opener) Closed(*Conn, error) {}

// An engine that has carried something stops without a socket of another kind than it serves on: a placer's platform may
// have none.
func TestNoOtherSockets(t *testing.T) {
	e, err := New("test", 1)
	if err != nil {
		t.Fatal(err)
	}
	e.pair = func() (net.Conn, net.Conn, error) {
		t.Error("a pair of sockets is made")
		return nil, nil, errors.ErrUnsupported
	}
	ln, err := e.Listen("127.0.0.1:0", 1<<20, func(*Conn) Handler { return &echo{closed: make(chan error, 1), back: true} })
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = c.Write([]byte("x"))
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	e.Stop()
}
