package platform

import (
	"bufio"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// slowHost is a host with a receive buffer of 4 KiB that reads nothing until the channel read is closed.
type slowHost struct {
	listener net.Listener
	read     chan struct{}
	lines    chan string // the lines that the host has read
}

// newSlowHost starts a host.
func newSlowHost(t *testing.T) *slowHost {
	t.Helper()
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	listener, err := small.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	h := &slowHost{listener: listener, read: make(chan struct{}), lines: make(chan string, 1000)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go h.serve(c)
		}
	}()
	return h
}

// serve reads lines of a connection once the channel read is closed.
func (h *slowHost) serve(c net.Conn) {
	<-h.read
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		h.lines <- line
	}
}

// countOffers returns how many offers the host reads within d.
func (h *slowHost) countOffers(d time.Duration) (count int) {
	end := time.After(d)
	for {
		select {
		case line := <-h.lines:
			if strings.Contains(line, `"t":"new"`) {
				count++
			}
		case <-end:
			return count
		}
	}
}

// hostConnectionCounts returns how many connections to hosts are established, and how many of them have unsent bytes.
func hostConnectionCounts(s *Server) (open, unsent int) {
	s.loop.Call(func() {
		for _, c := range s.hosts.open {
			if c.stream == nil {
				continue
			}
			open++
			if c.stream.HasUnsent() {
				unsent++
			}
		}
	})
	return open, unsent
}

// If an owner leaves while an offer of its task is unsent because the host does not read, the connection to the host is
// reset, and the offer does not reach the host. The host would otherwise start the attempt as soon as it reads again.
func TestHostConnectionsResetUnsentOffers(t *testing.T) {
	h := newSlowHost(t)
	s := startWithHost(t, &testHost{listener: h.listener})
	o := newTestOwner(t, s.Address())
	// An offer is larger than the host's receive buffer, so the rest of most offers waits in this process or its
	// kernel.
	for n := range 100 {
		send(o.conn, `{"t":"new","ref":"%016x","f":{"class":"keyed","left":"60000","tenant":"acme","key":"%016x","idem":"k%d","extras":"cores:0.001;memory:0.001;service:%016x"},"d":"%s"}`+"\n",
			0xd000+n, n, n, n, strings.Repeat("x", 12<<10))
	}
	o.probe(t) // the placer has read all requests
	open, unsent := 0, 0
	eventually(t, "no host is being dialed, and an offer has unsent bytes", func() bool {
		time.Sleep(100 * time.Millisecond)
		isDialing := dialingHostCount(s) > 0
		open, unsent = hostConnectionCounts(s)
		return !isDialing && unsent > 0
	})
	_ = o.conn.Close()
	eventually(t, "the placer sees that the owner has left", func() bool { return openOwnerCount(s) == 0 })
	time.Sleep(100 * time.Millisecond)
	close(h.read)
	if begun := h.countOffers(time.Second); begun > open-unsent {
		t.Errorf("offers that the host read after their owner had left: got %d, want at most %d (of %d connections, %d had unsent bytes)",
			begun, open-unsent, open, unsent)
	}
}

// serveUntilPeerCloses accepts the offers on a connection and does not answer probes. When the placer closes its side
// of the idle connection, serveUntilPeerCloses reports the end of the task, except on the first connection.
func serveUntilPeerCloses(c net.Conn, ref string, isFirst bool) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			break
		}
		if strings.Contains(line, `"t":"new"`) {
			send(c, `{"t":"up","ref":"%s","f":{},"d":"y"}`+"\n", ref)
		}
	}
	if !isFirst { // the placer opens the first connection to probe the host, and closes it
		send(c, `{"t":"down","ref":"%s","f":{},"c":16}`+"\n", ref)
	}
}

// A release that a host sends while the placer half-closes the idle connection reaches the owner.
func TestHostConnectionsReceiveReleaseAfterHalfClose(t *testing.T) {
	const ref = "00000000000000a0"
	listener := listenLoopback(t)
	go func() {
		for isFirst := true; ; isFirst = false {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveUntilPeerCloses(c, ref, isFirst)
		}
	}()
	s := startWithHost(t, &testHost{listener: listener})
	o := newTestOwner(t, s.Address())
	o.request(ref, 5000)
	eventually(t, "the owner has an answer and then the release", func() bool {
		got := o.answersTo(ref)
		return len(got) == 2 && got[1].Type == platform.TypeRelease && got[1].Cause == platform.CauseOK
	})
}
