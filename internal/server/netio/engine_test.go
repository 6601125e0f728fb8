package netio

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// An engine that is stopped right after its start stops: nbio's pollers would lose the stop and spin.
func TestEngineStopsRightAfterStart(t *testing.T) {
	for range 200 {
		e, err := New("test", 2)
		if err != nil {
			t.Fatal(err)
		}
		e.Stop()
	}
}

// An engine that has carried something stops without a socket of another kind than it serves on: a placer's platform may
// have none.
func TestEngineStopsWithoutSocketPair(t *testing.T) {
	e, err := New("test", 1)
	if err != nil {
		t.Fatal(err)
	}
	e.socketPair = func() (net.Conn, net.Conn, error) {
		t.Error("a pair of sockets is made")
		return nil, nil, errors.ErrUnsupported
	}
	ln, err := e.Listen("127.0.0.1:0", 1<<20, func(*Conn) Handler { return &echoHandler{closed: make(chan error, 1), back: true} })
	if err != nil {
		t.Fatal(err)
	}
	c := dial(t, ln)
	_, _ = c.Write([]byte("x"))
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	e.Stop()
}

// What one end writes comes back whole, and a closed connection takes nothing more.
func TestEngineDialEchoes(t *testing.T) {
	e, ln := startListening(t, 1<<20, &echoHandler{closed: make(chan error, 1), back: true})
	mine := &echoHandler{closed: make(chan error, 1)}
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
func TestEngineDialReportsError(t *testing.T) {
	e, ln := startListening(t, 1, &echoHandler{closed: make(chan error, 1)})
	address := ln.Addr().String()
	_ = ln.Close()
	got := make(chan error, 1)
	e.Dial(address, time.Second, 1, &echoHandler{}, func(_ *Conn, err error) { got <- err })
	if err := <-got; err == nil {
		t.Fatal("no error")
	}
}
