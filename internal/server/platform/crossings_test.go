package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

// stall holds the loop until the function that it returns is called, as a process that gets no processor stands still.
func stall(t *testing.T, s *Server) (on func()) {
	t.Helper()
	stalled, gate := make(chan struct{}), make(chan struct{})
	s.loop.Post(func() { close(stalled); <-gate })
	<-stalled
	return func() { close(gate) }
}

// one starts a placer with one host of the test's.
func one(t *testing.T, h *standHost) *Server {
	t.Helper()
	s, _ := start(t, &standLog{cut: make(chan struct{}), events: []string{change(1, true, entry(1, h, "in_service"))}})
	return s
}

func (h *standHost) offers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, times := range h.news {
		n += times
	}
	return n
}

// An owner that leaves while its set-up waits behind a full job queue gets no attempt, in whichever way it leaves.
func TestOwnerLeavesBehindAFullQueue(t *testing.T) {
	// Too short a stall for the loop to let others catch up, and then one that is long enough.
	for _, quick := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond} {
		leavesBehindAFullQueue(t, quick)
	}
}

func leavesBehindAFullQueue(t *testing.T, quick time.Duration) {
	for name, leave := range map[string]func(*net.TCPConn){
		"half-closed": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"closed":      func(c *net.TCPConn) { _ = c.Close() },
		"reset":       func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	} {
		t.Run(fmt.Sprint(name, " ", quick), func(t *testing.T) {
			h := newHost(t, 0, 1)
			s := one(t, h)
			usual, o := newOwner(t, s.Address()), newOwner(t, s.Address())
			usual.ask("00000000000000a0", 9000)
			until(t, "the usual owner's answer", func() bool { return len(usual.got("00000000000000a0")) == 1 })
			o.ping(t)
			on := stall(t, s)
			for range maxQueuedJobs {
				s.loop.Post(func() {})
			}
			for i := range 3 { // pipelined
				o.ask(fmt.Sprintf("%016x", 0xc0+i), 9000)
			}
			time.Sleep(quick) // they are read, and wait for space in the queue
			leave(o.c.(*net.TCPConn))
			time.Sleep(quick)
			on()
			usual.ask("00000000000000a1", 9000)
			until(t, "the usual owner's next answer", func() bool { return len(usual.got("00000000000000a1")) == 1 })
			if n := h.offers(); n != 2 {
				t.Errorf("the host saw %d set-ups, want the 2 of the usual owner", n)
			}
		})
	}
}

// ping waits until a test of the owner's is answered: the placer knows its connection.
func (o *standOwner) ping(t *testing.T) {
	t.Helper()
	const ref = "00000000000000ee"
	fmt.Fprintf(o.c, `{"t":"hb","ref":"%s","f":{},"c":0}`+"\n", ref)
	until(t, "the answer to a test", func() bool { return len(o.got(ref)) > 0 })
}

// Connections that come in a crowd while all seats are taken wait for room; a usual owner among them is served.
func TestUsualOwnerInACrowd(t *testing.T) {
	h := newHost(t, 0, 1)
	s := one(t, h)
	var silent []net.Conn
	crowd := func(n int) {
		for range n {
			c, err := net.Dial("tcp", s.Address())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = c.Close() })
			silent = append(silent, c)
		}
	}
	crowd(cap(s.owners.slots) - acceptReserve) // all that the core takes
	until(t, "the crowd is in", func() bool {
		n := 0
		s.loop.Call(func() { n = len(s.owners.open) })
		return n == cap(s.owners.slots)-acceptReserve
	})
	on := stall(t, s)
	crowd(3 * acceptReserve)
	o := newOwner(t, s.Address())
	o.ask("00000000000000a0", 9000)
	time.Sleep(50 * time.Millisecond) // the accept queue is taken as far as there are seats
	on()
	until(t, "the usual owner's answer", func() bool { return len(o.got("00000000000000a0")) == 1 })
}

// A host that does not read gets no set-up of an owner that has left meanwhile.
func TestOwnerLeavesAsTheHostReadsNothing(t *testing.T) {
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	ln, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	read, lines := make(chan struct{}), make(chan string, 1000)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				<-read
				r := bufio.NewReader(c)
				for {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					lines <- line
				}
			}()
		}
	}()
	h := &standHost{ln: ln}
	s := one(t, h)
	o := newOwner(t, s.Address())
	// The host's machine takes less unread than most set-ups: the rest of each waits in this process or its machine.
	waits := func() (unsent, all int) {
		s.loop.Call(func() {
			for _, w := range s.hosts.open {
				if w.stream != nil {
					if all++; w.stream.HasUnsent() {
						unsent++
					}
				}
			}
		})
		return unsent, all
	}
	for n := range 100 {
		fmt.Fprintf(o.c, `{"t":"new","ref":"%016x","f":{"class":"keyed","left":"60000","tenant":"acme","key":"%016x","idem":"k%d","extras":"cores:0.001;memory:0.001;service:%016x"},"d":"%s"}`+"\n",
			0xd000+n, n, n, n, strings.Repeat("x", 12<<10))
	}
	unsent, all := 0, 0
	until(t, "a set-up that waits", func() bool {
		time.Sleep(100 * time.Millisecond)
		unsent, all = waits()
		return unsent > 0
	})
	_ = o.c.Close()
	until(t, "the placer hears of it", func() bool {
		open := 0
		s.loop.Call(func() { open = len(s.owners.open) })
		return open == 0
	})
	time.Sleep(100 * time.Millisecond)
	close(read)
	began := 0
	for end := time.After(time.Second); ; {
		select {
		case line := <-lines:
			if strings.Contains(line, `"t":"new"`) {
				began++
			}
			continue
		case <-end:
		}
		break
	}
	if began > all-unsent {
		t.Errorf("%d set-ups begin after their owner has left; of %d connections %d had taken theirs", began, all, all-unsent)
	}
}

// Told to end, a placer serves what waits in its accept queue and hears out an owner whose request comes in pieces.
func TestStopCrossings(t *testing.T) {
	s := one(t, newHost(t, 0, 1))
	pieces := newOwner(t, s.Address())
	pieces.ping(t)
	set := `{"t":"new","ref":"00000000000000a7","f":{"class":"keyed","left":"3000","tenant":"acme","key":"0000000000000001","idem":"k","extras":"cores:1;memory:1;service:0000000000000009"},"d":"in pieces"}` + "\n"
	s.BeginShutdown()
	time.Sleep(750 * time.Millisecond)
	on := stall(t, s)
	for range maxQueuedJobs {
		s.loop.Post(func() {})
	}
	var late []*standOwner // all but one wait in the accept queue as the listener is told to close
	for i := range 20 {
		o := newOwner(t, s.Address())
		o.ask(fmt.Sprintf("%016x", 0xb700+i), 3000)
		late = append(late, o)
	}
	time.Sleep(150 * time.Millisecond)
	on()
	for i, o := range late {
		until(t, "an answer to a connection of the accept queue", func() bool { return len(o.got(fmt.Sprintf("%016x", 0xb700+i))) == 1 })
	}
	fmt.Fprint(pieces.c, set[:60])
	time.Sleep(700 * time.Millisecond) // past the least time after which it may end
	select {
	case <-s.ShutdownComplete():
		t.Fatal("it ends with half a request read")
	default:
	}
	fmt.Fprint(pieces.c, set[60:])
	until(t, "an answer to the request in pieces", func() bool { return len(pieces.got("00000000000000a7")) == 1 })
	if got := pieces.got("00000000000000a7")[0]; got.Type != platform.TypeRelease || got.Cause != platform.CauseBusy {
		t.Errorf("it is answered %s %d, want a refusal", got.Type, got.Cause)
	}
	<-s.ShutdownComplete()
}

// Told to end, a placer stays until a slow reader has its answers, and not for ever.
func TestStopWithSlowReaders(t *testing.T) {
	for _, reads := range []bool{true, false} {
		s := one(t, newHost(t, 0, 1))
		slow, written := fullOwner(t, s)
		s.BeginShutdown()
		time.Sleep(1500 * time.Millisecond)
		select {
		case <-s.ShutdownComplete():
			t.Error("it ends with answers that were not read")
		default:
		}
		if reads {
			_ = slow.SetReadDeadline(time.Now().Add(20 * time.Second))
			if n, err := io.CopyN(io.Discard, slow, int64(written)); err != nil {
				t.Errorf("%d bytes of %d came, then %v", n, written, err)
			}
		}
		<-s.ShutdownComplete()
	}
}

// fullOwner connects an owner that reads nothing, and writes to it until no more leaves this process.
func fullOwner(t *testing.T, s *Server) (c net.Conn, written int) {
	t.Helper()
	before := s.owners.lastID.Load()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	until(t, "the connection is taken", func() bool {
		s.loop.Call(func() {
			if w := s.owners.open[before+1]; w != nil {
				for w.stream.PendingBytes() == 0 {
					s.execute(platformcore.SendToOwner{Owner: w.id, Line: make([]byte, 64<<10)})
					written += 64 << 10
					w.flush()
				}
			}
		})
		return written > 0
	})
	return c, written
}

// An answer that a slow reader has not read when its connection is closed still comes.
func TestClosedOwnerReadsOn(t *testing.T) {
	s := one(t, newHost(t, 0, 1))
	c, written := fullOwner(t, s)
	s.loop.Call(func() {
		for id := range s.owners.open {
			s.execute(platformcore.CloseOwnerConnection{Owner: id})
		}
	})
	if n, err := io.Copy(io.Discard, c); err != nil || int(n) != written {
		t.Errorf("%d bytes of %d came, then %v", n, written, err)
	}
}

// A host that says what became of a task as the placer closes that connection, idle, is heard.
func TestReleaseCrossesOurClose(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	const ref = "00000000000000a0"
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					line, err := r.ReadString('\n')
					if err != nil {
						break
					}
					if strings.Contains(line, `"t":"new"`) { // it takes the task, and says no more on this connection
						fmt.Fprintf(c, `{"t":"up","ref":"%s","f":{},"d":"y"}`+"\n", ref)
					}
				}
				if n > 0 { // a connection that was made to see whether the host is up: the placer closes it
					fmt.Fprintf(c, `{"t":"down","ref":"%s","f":{},"c":16}`+"\n", ref)
				}
			}()
		}
	}()
	s := one(t, &standHost{ln: ln})
	o := newOwner(t, s.Address())
	o.ask(ref, 5000)
	until(t, "the release", func() bool {
		got := o.got(ref)
		return len(got) == 2 && got[1].Type == platform.TypeRelease && got[1].Cause == platform.CauseOK
	})
}

// Clients who say something once and stay, or nothing at all, fill the descriptors while discovery is down from the start: the
// front's tests, usual owners, hosts and a new configuration still get theirs, and the list is followed once it is there.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	first, second := newHost(t, 0, 1), newHost(t, 0, 2)
	known := change(1, true, entry(1, first, "in_service"))
	good := (&standLog{cut: make(chan struct{}), events: []string{known, change(2, false, entry(1, first, "terminating"), entry(2, second, "in_service"))}}).serve(t)
	down, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = down.Close()
	_, cfg := start(t, &standLog{cut: make(chan struct{}), events: []string{known}})
	cfg.WatchAddress = down.Addr().String()
	s, err := Start(Options{Config: cfg, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for i := range 2 * cap(s.owners.slots) {
		c, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			fmt.Fprintf(c, `{"t":"hb","ref":"%016x","f":{},"c":0}`+"\n", i)
		}
	}
	o := newOwner(t, s.Address())
	o.ping(t) // as the front does
	o.ask("00000000000000a0", 9000)
	until(t, "a task is placed from the known list", func() bool { return len(o.got("00000000000000a0")) == 1 })
	cfg.WatchAddress = good
	s.Reload(cfg)
	until(t, "a task goes to a host of the new list", func() bool {
		o.ask(fmt.Sprintf("%016x", time.Now().UnixNano()), 9000)
		time.Sleep(5 * time.Millisecond)
		return second.offers() > 0
	})
}
