package netio

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// Stop returns for an engine that has only just started. A poller of nbio that has not reached its loop yet would miss
// the stop and spin, and Stop would wait for it forever.
func TestEngineStopsRightAfterStart(t *testing.T) {
	for range 200 {
		e, err := New("test", 2)
		if err != nil {
			t.Fatalf("New: got error %v, want nil", err)
		}
		e.Stop()
	}
}

// Stop opens no socket pair for an engine whose pollers have delivered data: the platform that a placer runs on may not
// provide Unix sockets.
func TestEngineStopsWithoutSocketPair(t *testing.T) {
	e, err := New("test", 1)
	if err != nil {
		t.Fatalf("New: got error %v, want nil", err)
	}
	e.socketPair = func() (net.Conn, net.Conn, error) {
		t.Error("Stop opened a socket pair, want none as the poller has delivered data")
		return nil, nil, errors.ErrUnsupported
	}
	ln, err := e.Listen("127.0.0.1:0", 1<<20, func(*Conn) Handler { return &echoHandler{closed: make(chan error, 1), echo: true} })
	if err != nil {
		t.Fatalf("Listen: got error %v, want nil", err)
	}
	c := dial(t, ln)
	_, _ = c.Write([]byte("x"))
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Fatalf("read the echo of one byte: got %v, want nil", err)
	}
	e.Stop()
}

// An echo of all bytes that were written on a dialed connection arrives. Write returns net.ErrClosed after Close.
func TestEngineDialEchoes(t *testing.T) {
	e, ln := startListening(t, 1<<20, &echoHandler{closed: make(chan error, 1), echo: true})
	client := &echoHandler{closed: make(chan error, 1)}
	opened := make(chan *Conn, 1)
	e.Dial(ln.Addr().String(), time.Second, 1<<20, client, func(c *Conn, err error) {
		if err != nil {
			t.Errorf("Dial(a listener's address) reports %v, want nil", err)
		}
		opened <- c
	})
	c := <-opened
	want := bytes.Repeat([]byte("forkhead"), 10_000)
	if err := c.Write(want); err != nil {
		t.Fatalf("Write(%d bytes) = %v, want nil", len(want), err)
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		client.mu.Lock()
		same, received := bytes.Equal(client.received, want), len(client.received)
		client.mu.Unlock()
		if same {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("echo after 5s: got %d bytes, want the %d bytes that were written", received, len(want))
		}
	}
	c.Close()
	if err := <-client.closed; err != nil {
		t.Fatalf("Closed after Close() is called with %v, want nil", err)
	}
	if err := c.Write(want); !errors.Is(err, net.ErrClosed) {
		t.Fatalf("Write after Close = %v, want %v", err, net.ErrClosed)
	}
}

// Dial reports an error for an address on which nothing listens.
func TestEngineDialReportsError(t *testing.T) {
	e, ln := startListening(t, 1, &echoHandler{closed: make(chan error, 1)})
	address := ln.Addr().String()
	_ = ln.Close()
	got := make(chan error, 1)
	e.Dial(address, time.Second, 1, &echoHandler{}, func(_ *Conn, err error) { got <- err })
	if err := <-got; err == nil {
		t.Fatal("Dial(the address of a closed listener) reports nil, want an error")
	}
}
