package netio

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// Drain accepts the connections that wait in the accept queue, even if the accept callback takes longer than the idle
// time of the Drain, and then closes the listener.
func TestListenerDrainTakesAcceptQueue(t *testing.T) {
	gate := make(chan struct{})
	e, err := New("test", 1)
	if err != nil {
		t.Fatalf("New: got error %v, want nil", err)
	}
	defer e.Stop()
	ln, err := e.Listen("127.0.0.1:0", 1<<20, func(*Conn) Handler {
		<-gate
		return &echoHandler{closed: make(chan error, 1), echo: true}
	})
	if err != nil {
		t.Fatalf("Listen: got error %v, want nil", err)
	}
	var all []net.Conn
	for range 30 {
		c := dial(t, ln)
		_, _ = c.Write([]byte("x"))
		all = append(all, c)
	}
	ln.Drain(10*time.Millisecond, time.Minute)
	time.Sleep(30 * time.Millisecond) // the accept callback blocks for longer than the idle time of the Drain
	close(gate)
	for i, c := range all {
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Fatalf("read the echo on connection %d of the accept queue: got %v, want nil", i, err)
		}
	}
	<-ln.done
	if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("Dial after the end of a Drain succeeded, want an error")
	}
}

// A connection that is closed while its accept callback runs is reported as closed once, and later connections, which
// get the same descriptor, are served. nbio would lose the events of the later connections if the closed one were added
// to its table.
func TestConnClosedDuringAccept(t *testing.T) {
	e, err := New("test", 1)
	if err != nil {
		t.Fatalf("New: got error %v, want nil", err)
	}
	defer e.Stop()
	first := &echoHandler{closed: make(chan error, 2)}
	n := 0
	ln, err := e.Listen("127.0.0.1:0", 1<<20, func(c *Conn) Handler {
		if n++; n == 1 {
			done := make(chan struct{})
			go func() { c.CloseWith(ErrWriteBufferFull); close(done) }()
			<-done
			return first
		}
		return &echoHandler{closed: make(chan error, 1), echo: true}
	})
	if err != nil {
		t.Fatal(err)
	}
	dial(t, ln)
	if err := <-first.closed; !errors.Is(err, ErrWriteBufferFull) {
		t.Errorf("Closed of the first connection is called with %v, want %v", err, ErrWriteBufferFull)
	}
	for range 3 {
		c := dial(t, ln)
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		_, _ = c.Write([]byte("x"))
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Fatalf("read the echo on a later connection: got %v, want nil", err)
		}
	}
}
