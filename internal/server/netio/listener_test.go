package netio

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// A listener that is drained takes what waits in its accept queue, also where accept takes its time, and then closes.
func TestListenerDrainTakesAcceptQueue(t *testing.T) {
	gate := make(chan struct{})
	e, err := New("test", 1)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	ln, err := e.Listen("127.0.0.1:0", 1<<20, func(*Conn) Handler {
		<-gate
		return &echoHandler{closed: make(chan error, 1), back: true}
	})
	if err != nil {
		t.Fatal(err)
	}
	var all []net.Conn
	for range 30 {
		c := dial(t, ln)
		_, _ = c.Write([]byte("x"))
		all = append(all, c)
	}
	ln.Drain(10*time.Millisecond, time.Minute)
	time.Sleep(30 * time.Millisecond) // accept is blocked for longer than the queue would have to be idle
	close(gate)
	for i, c := range all {
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Fatalf("connection %d of the accept queue: %v", i, err)
		}
	}
	<-ln.done
	if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("it still listens")
	}
}

// A connection that is closed while accept still runs ends once, and those that come after it under its descriptor are
// served.
func TestConnClosedDuringAccept(t *testing.T) {
	e, err := New("test", 1)
	if err != nil {
		t.Fatal(err)
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
		return &echoHandler{closed: make(chan error, 1), back: true}
	})
	if err != nil {
		t.Fatal(err)
	}
	dial(t, ln)
	if err := <-first.closed; !errors.Is(err, ErrWriteBufferFull) {
		t.Errorf("closed with %v", err)
	}
	for range 3 {
		c := dial(t, ln)
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		_, _ = c.Write([]byte("x"))
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Fatalf("a later connection is not served: %v", err)
		}
	}
}
