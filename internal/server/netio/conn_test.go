package netio

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// A connection whose peer does not read is closed when its pending bytes would exceed their bound.
func TestConnBoundsPendingBytes(t *testing.T) {
	h := &floodHandler{closed: make(chan error, 1)}
	_, ln := startListening(t, 64<<10, h)
	c := dial(t, ln)
	if _, err := c.Write([]byte{1}); err != nil {
		t.Fatal(err)
	}
	if err := <-h.closed; !errors.Is(err, ErrWriteBufferFull) {
		t.Fatalf("Closed is called with %v, want %v", err, ErrWriteBufferFull)
	}
}

// The peer of a connection that is reset reads an error other than io.EOF.
func TestConnResetReachesPeer(t *testing.T) {
	_, ln := startListening(t, 1, resetHandler{})
	c := dial(t, ln)
	_, _ = c.Write([]byte{1})
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Fatalf("Read after the peer's Reset = %v, want an error other than io.EOF", err)
	}
}

// acceptedConns starts a listener and returns a function that dials it and returns both ends of the connection.
func acceptedConns(t *testing.T) (connect func(*testing.T) (*net.TCPConn, *Conn)) {
	t.Helper()
	conns := make(chan *Conn, 4)
	_, ln := startListening(t, 64<<20, openedHandler(conns))
	return func(t *testing.T) (*net.TCPConn, *Conn) {
		t.Helper()
		return dial(t, ln), <-conns
	}
}

// All written bytes reach a slow reader when the connection is closed with CloseAfterFlush.
func TestConnCloseAfterFlushLosesNothing(t *testing.T) {
	slow, c := acceptedConns(t)(t)
	want := 32 << 20
	if err := c.Write(make([]byte, want)); err != nil {
		t.Fatalf("Write(%d bytes) = %v, want nil", want, err)
	}
	if c.PendingBytes() == 0 {
		t.Fatalf("PendingBytes() = 0 after a write of %d bytes, want more than 0: there is nothing left to flush", want)
	}
	if !c.HasUnsent() {
		t.Error("HasUnsent() = false with a peer that does not read, want true")
	}
	c.CloseAfterFlush(time.Minute)
	if n, err := io.Copy(io.Discard, slow); err != nil || int(n) != want {
		t.Errorf("the peer read %d bytes and the error %v, want %d bytes and no error", n, err, want)
	}
}

// PeerClosed reports a connection that its peer has half-closed, closed or reset.
func TestConnPeerClosed(t *testing.T) {
	connect := acceptedConns(t)
	for name, leave := range map[string]func(*net.TCPConn){
		"half-closed": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"closed":      func(c *net.TCPConn) { _ = c.Close() },
		"reset":       func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			peer, c := connect(t)
			if c.PeerClosed() {
				t.Error("PeerClosed() of an open connection = true, want false")
			}
			leave(peer)
			for end := time.Now().Add(20 * time.Second); !c.PeerClosed(); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("PeerClosed() of a %s connection = false for 20s, want true", name)
				}
			}
		})
	}
}
