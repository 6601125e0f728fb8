package netio

import (
	"net"
	"sync"
	"testing"
)

// startListening starts an engine with one listener. The engine is stopped at the end of the test.
func startListening(t *testing.T, maxPending int, h Handler) (*Engine, net.Listener) {
	t.Helper()
	e, err := New("test", 2)
	if err != nil {
		t.Fatalf("New: got error %v, want nil", err)
	}
	ln, err := e.Listen("127.0.0.1:0", maxPending, func(*Conn) Handler { return h })
	if err != nil {
		t.Fatalf("Listen: got error %v, want nil", err)
	}
	t.Cleanup(e.Stop)
	return e, ln
}

// dial connects to a listener. The connection is closed at the end of the test.
func dial(t *testing.T, ln net.Listener) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatalf("Dial(%s): got error %v, want nil", ln.Addr(), err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

// echoHandler records the received bytes and, if echo is set, writes them back.
type echoHandler struct {
	mu       sync.Mutex
	closed   chan error
	received []byte
	echo     bool
}

func (h *echoHandler) Data(c *Conn, p []byte) {
	h.mu.Lock()
	h.received = append(h.received, p...)
	h.mu.Unlock()
	if h.echo {
		_ = c.Write(p)
	}
}

func (h *echoHandler) Closed(_ *Conn, err error) { h.closed <- err }

// floodHandler writes up to 10,000 blocks of 32 KiB, until a write fails, when it receives something.
type floodHandler struct{ closed chan error }

func (h *floodHandler) Data(c *Conn, _ []byte) {
	p := make([]byte, 32<<10)
	for range 10_000 {
		if c.Write(p) != nil {
			return
		}
	}
}

func (h *floodHandler) Closed(_ *Conn, err error) { h.closed <- err }

// resetHandler resets a connection when it receives something.
type resetHandler struct{}

func (resetHandler) Data(c *Conn, _ []byte) { c.Reset() }

func (resetHandler) Closed(*Conn, error) {}

// openedHandler is a channel of the opened connections. It ignores the received bytes.
type openedHandler chan *Conn

func (o openedHandler) Opened(c *Conn) { o <- c }

func (o openedHandler) Data(*Conn, []byte) {}

func (o openedHandler) Closed(*Conn, error) {}
