package platform

import (
	"net"
	"sync"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// recordingHost is a host that records the messages it receives, accepts every offer at once, and ends tasks when a
// test calls endTask.
type recordingHost struct {
	listener net.Listener

	mu    sync.Mutex
	conns []*recordedConn
}

// recordedConn is a connection to a recordingHost.
type recordedConn struct {
	net.Conn
	received []platform.Message // guarded by the host's mu
	closed   bool               // whether either side has closed the connection; guarded by the host's mu
}

// newRecordingHost starts a host.
func newRecordingHost(t *testing.T) *recordingHost {
	t.Helper()
	h := &recordingHost{listener: listenLoopback(t)}
	go h.accept()
	return h
}

// accept serves connections until the listener closes.
func (h *recordingHost) accept() {
	for {
		conn, err := h.listener.Accept()
		if err != nil {
			return
		}
		c := &recordedConn{Conn: conn}
		h.mu.Lock()
		h.conns = append(h.conns, c)
		h.mu.Unlock()
		go h.serve(c)
	}
}

// serve records the messages on a connection and answers offers, probes and releases.
func (h *recordingHost) serve(c *recordedConn) {
	defer func() {
		_ = c.Close()
		h.mu.Lock()
		c.closed = true
		h.mu.Unlock()
	}()
	serveHost(c, func(m *platform.Message) bool {
		h.mu.Lock()
		c.received = append(c.received, *m)
		h.mu.Unlock()
		if m.Type == platform.TypeRequest {
			send(c, `{"t":"up","ref":"%s","f":{},"d":"of %s"}`+"\n"+`{"t":"tell","ref":"%s","f":{"note":"running"}}`+"\n", m.Ref, m.Ref, m.Ref)
		}
		return true
	})
}

// asTestHost returns a testHost with this host's listener, for use in an endpoint list.
func (h *recordingHost) asTestHost() *testHost { return &testHost{listener: h.listener} }

// received returns how many messages of a type the host has received about a task, or about all tasks if ref is empty.
func (h *recordingHost) received(kind platform.MessageType, ref string) (count int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		for _, m := range c.received {
			if m.Type == kind && (ref == "" || m.Ref == ref) {
				count++
			}
		}
	}
	return count
}

// offeredTime returns the time that the host was told in the first offer of a task.
func (h *recordingHost) offeredTime(t *testing.T, ref string) time.Duration {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		for _, m := range c.received {
			if m.Type == platform.TypeRequest && m.Ref == ref {
				text, _ := m.Text(platform.FieldTimeout)
				left, err := time.ParseDuration(text + "ms")
				if err != nil {
					t.Fatalf("time in the offer of %s: %v", ref, err)
				}
				return left
			}
		}
	}
	t.Fatalf("the host has no offer of %s", ref)
	return 0
}

// lastOfferConn returns the newest connection with an offer of the task, or nil if the task was not offered.
func (h *recordingHost) lastOfferConn(ref string) *recordedConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	var last *recordedConn
	for _, c := range h.conns {
		for _, m := range c.received {
			if m.Type == platform.TypeRequest && m.Ref == ref {
				last = c
			}
		}
	}
	return last
}

// openConn returns the newest open connection, or nil if none is open.
func (h *recordingHost) openConn() *recordedConn {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.conns) - 1; i >= 0; i-- {
		if !h.conns[i].closed {
			return h.conns[i]
		}
	}
	return nil
}

// awaitConn waits for an open connection to the host and returns it.
func (h *recordingHost) awaitConn(t *testing.T) *recordedConn {
	t.Helper()
	var conn *recordedConn
	eventually(t, "a connection to the host", func() bool { conn = h.openConn(); return conn != nil })
	return conn
}

// endTask sends the end of a task on a connection.
func (c *recordedConn) endTask(ref string, cause platform.Cause) {
	send(c, "%s", platform.Append(nil, platform.TypeRelease, ref, cause, nil))
}
