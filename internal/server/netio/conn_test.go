package netio

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// A reader that does not read costs its bound and no more: then its connection is closed.
func TestConnBoundsPendingBytes(t *testing.T) {
	h := &floodHandler{closed: make(chan error, 1)}
	_, ln := startListening(t, 64<<10, h)
	c := dial(t, ln)
	if _, err := c.Write([]byte{1}); err != nil {
		t.Fatal(err)
	}
	if err := <-h.closed; !errors.Is(err, ErrWriteBufferFull) {
		t.Fatalf("closed with %v", err)
	}
}

// A reset is seen by the other end.
func TestConnResetReachesPeer(t *testing.T) {
	_, ln := startListening(t, 1, resetHandler{})
	c := dial(t, ln)
	_, _ = c.Write([]byte{1})
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Fatalf("read after a reset: %v", err)
	}
}

// acceptedConns listens and returns a function that dials and gives both ends of a connection.
func acceptedConns(t *testing.T) (connect func(*testing.T) (*net.TCPConn, *Conn)) {
	t.Helper()
	conns := make(chan *Conn, 4)
	_, ln := startListening(t, 64<<20, openedHandler(conns))
	return func(t *testing.T) (*net.TCPConn, *Conn) {
		t.Helper()
		return dial(t, ln), <-conns
	}
}

// CloseAfterFlush loses nothing that was written.
func TestConnCloseAfterFlushLosesNothing(t *testing.T) {
	slow, c := acceptedConns(t)(t)
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
}

// PeerClosed sees a half-closed, a closed and a reset connection that was not read.
func TestConnSeesPeerClosed(t *testing.T) {
	connect := acceptedConns(t)
	for name, leave := range map[string]func(*net.TCPConn){
		"half-closed": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"closed":      func(c *net.TCPConn) { _ = c.Close() },
		"reset":       func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			peer, c := connect(t)
			if c.PeerClosed() {
				t.Error("it is seen before it happens")
			}
			leave(peer)
			for end := time.Now().Add(20 * time.Second); !c.PeerClosed(); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("it is not seen")
				}
			}
		})
	}
}
