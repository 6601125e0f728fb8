package platform

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	platformcore "forkhead/internal/scheduler/platform"
)

// An owner that leaves while its request waits behind a full job queue gets no attempt, in whichever way it leaves.
func TestOwnerConnectionClosedBehindAFullJobQueue(t *testing.T) {
	// Too short a stall for the event loop to let others catch up, and then one that is long enough.
	for _, pause := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond} {
		for name, leave := range map[string]func(*net.TCPConn){
			"half-closed": func(c *net.TCPConn) { _ = c.CloseWrite() },
			"closed":      func(c *net.TCPConn) { _ = c.Close() },
			"reset":       func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
		} {
			t.Run(fmt.Sprint(name, " ", pause), func(t *testing.T) { testOwnerLeavesBehindAFullJobQueue(t, pause, leave) })
		}
	}
}

func testOwnerLeavesBehindAFullJobQueue(t *testing.T, pause time.Duration, leave func(*net.TCPConn)) {
	h := newTestHost(t, 0, 1)
	s := startWithHost(t, h)
	usual, o := newTestOwner(t, s.Address()), newTestOwner(t, s.Address())
	usual.request("00000000000000a0", 9000)
	usual.awaitAnswer(t, "00000000000000a0")
	o.probe(t)
	resume := stall(t, s)
	fillJobQueue(s)
	for i := range 3 { // pipelined
		o.request(fmt.Sprintf("%016x", 0xc0+i), 9000)
	}
	time.Sleep(pause) // they are read, and wait for space in the queue
	leave(o.conn.(*net.TCPConn))
	time.Sleep(pause)
	resume()
	usual.request("00000000000000a1", 9000)
	usual.awaitAnswer(t, "00000000000000a1")
	if n := h.offers(); n != 2 {
		t.Errorf("the host saw %d offers, want the 2 of the usual owner", n)
	}
}

// Many connections that come at once while all slots are taken wait for one; a usual owner among them is served.
func TestOwnerConnectionsUsualOwnerInACrowd(t *testing.T) {
	s := startWithHost(t, newTestHost(t, 0, 1))
	connect := func(size int) {
		for range size {
			dialLoopback(t, s.Address())
		}
	}
	bound := cap(s.owners.slots) - acceptReserve // all that the core takes
	connect(bound)
	eventually(t, "all slots of the core are taken", func() bool { return openOwnerCount(s) == bound })
	resume := stall(t, s)
	connect(3 * acceptReserve)
	o := newTestOwner(t, s.Address())
	o.request("00000000000000a0", 9000)
	time.Sleep(50 * time.Millisecond) // the accept queue is taken as far as there are slots
	resume()
	o.awaitAnswer(t, "00000000000000a0")
}

// slowOwner connects an owner that reads nothing, and writes to it until no more leaves this process.
func slowOwner(t *testing.T, s *Server) (conn net.Conn, written int) {
	t.Helper()
	before := s.owners.lastID.Load()
	conn = dialLoopback(t, s.Address())
	eventually(t, "the connection is accepted", func() bool {
		s.loop.Call(func() {
			c := s.owners.open[platformcore.OwnerID(before+1)]
			if c == nil {
				return
			}
			for c.stream.PendingBytes() == 0 {
				s.execute(platformcore.SendToOwner{Owner: c.id, Line: make([]byte, 64<<10)})
				written += 64 << 10
				c.flush()
			}
		})
		return written > 0
	})
	return conn, written
}

// An answer that a slow reader has not read when its connection is closed still comes.
func TestOwnerConnectionsCloseDeliversUnsentBytes(t *testing.T) {
	s := startWithHost(t, newTestHost(t, 0, 1))
	conn, written := slowOwner(t, s)
	s.loop.Call(func() {
		for id := range s.owners.open {
			s.execute(platformcore.CloseOwnerConnection{Owner: id})
		}
	})
	if n, err := io.Copy(io.Discard, conn); err != nil || int(n) != written {
		t.Errorf("%d bytes of %d came, then %v", n, written, err)
	}
}

// Connections that wait in the accept queue when the listener is to close are accepted.
func TestOwnerConnectionsCloseListenerTakesTheAcceptQueue(t *testing.T) {
	s := startWithHost(t, newTestHost(t, 0, 1))
	var taken []*acceptSlot
	for range cap(s.owners.slots) {
		taken = append(taken, s.owners.slots.acquire(t.Context()))
	}
	var owners []*testOwner // the first waits for a slot, the others behind it
	for range 5 {
		owners = append(owners, newTestOwner(t, s.Address()))
	}
	time.Sleep(50 * time.Millisecond) // the first is accepted
	s.loop.Call(func() { s.execute(platformcore.CloseListener{}) })
	for _, slot := range taken {
		slot.release()
	}
	for _, o := range owners {
		o.probe(t)
	}
}
