package netio

import (
	"net"
	"sync"
	"testing"
)

// startListening runs an engine with one listener until the test ends.
func startListening(t *testing.T, maxPending int, h Handler) (*Engine, net.Listener) {
	t.Helper()
	e, err := New("test", 2)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := e.Listen("127.0.0.1:0", maxPending, func(*Conn) Handler { return h })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	return e, ln
}

// dial connects to a listener until the test ends.
func dial(t *testing.T, ln net.Listener) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

// echoHandler keeps what comes, and writes it back if it is to.
type echoHandler struct {
	mu     sync.Mutex
	closed chan error
	got    []byte
	back   bool
}

func (h *echoHandler) Data(c *Conn, p []byte) {
	h.mu.Lock()
	h.got = append(h.got, p...)
	h.mu.Unlock()
	if h.back {
		_ = c.Write(p)
	}
}

func (h *echoHandler) Closed(_ *Conn, err error) { h.closed <- err }

// floodHandler writes without end to a peer that wrote something.
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

// resetHandler resets a connection that something comes on.
type resetHandler struct{}

func (resetHandler) Data(c *Conn, _ []byte) { c.Reset() }

func (resetHandler) Closed(*Conn, error) {}

// openedHandler hands out connections and reads nothing of them.
type openedHandler chan *Conn

func (o openedHandler) Opened(c *Conn) { o <- c }

func (o openedHandler) Data(*Conn, []byte) {}

func (o openedHandler) Closed(*Conn, error) {}
