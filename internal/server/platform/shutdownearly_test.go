package platform

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// unresponsiveWatchAddress returns the address of a watch that accepts polls and never answers.
func unresponsiveWatchAddress(t *testing.T) string { return listenLoopback(t).Addr().String() }

// newConfigWithUnresponsiveWatch returns the configuration of a placer whose watch is silent.
func newConfigWithUnresponsiveWatch(t *testing.T, knownList string) *platform.Config {
	t.Helper()
	cfg := newTestConfig(t, newTestWatch(knownList))
	cfg.WatchAddress = unresponsiveWatchAddress(t)
	return cfg
}

// awaitShutdown waits until a shutdown is complete, for a time at most.
func awaitShutdown(t *testing.T, s *Server, timeout time.Duration) {
	t.Helper()
	select {
	case <-s.ShutdownComplete():
	case <-time.After(timeout):
		t.Fatalf("the shutdown is not complete after %v", timeout)
	}
}

// requestMany sends ten requests that wait for timeoutMS and returns their refs.
func requestMany(o *testOwner, timeoutMS int) (refs []string) {
	for i := range 10 {
		ref := fmt.Sprintf("%016x", 0xf100+i)
		o.request(ref, timeoutMS)
		refs = append(refs, ref)
	}
	return refs
}

// wantOneAnswerEach checks that each request was answered once, either with the description of a host that was offered the
// task once and is not stopped, or with a rejection of one that no host runs. It returns how many were placed.
func wantOneAnswerEach(t *testing.T, o *testOwner, h *recordingHost, refs []string) (placed int) {
	t.Helper()
	for _, ref := range refs {
		got := o.answersTo(ref)
		if len(got) != 1 {
			t.Errorf("%s is answered %+v, want one answer", ref, got)
			continue
		}
		offers, stops := h.received(platform.TypeRequest, ref), h.received(platform.TypeRelease, ref)
		switch {
		case got[0].Type == platform.TypeBound:
			placed++
			if want := `"of ` + ref + `"`; string(got[0].Description) != want || offers != 1 || stops != 0 {
				t.Errorf("%s is placed with %s after %d offers and %d stops, want %s after one offer", ref, got[0].Description, offers, stops, want)
			}
		case got[0].Type != platform.TypeRelease || offers > stops:
			t.Errorf("%s is answered %s %d after %d offers and %d stops", ref, got[0].Type, got[0].Cause, offers, stops)
		}
	}
	return placed
}

// A placer that is to shut down before an event of its watch has come serves by its initial list and ends.
func TestShutdownBeforeFirstWatchEvent(t *testing.T) {
	h := newRecordingHost(t)
	s := startConfig(t, newConfigWithUnresponsiveWatch(t, endpointEvent(1, true, endpointOf(1, h.asTestHost(), platform.InService))))
	o := newTestOwner(t, s.Address())
	refs := requestMany(o, 1500)
	s.BeginShutdown()
	awaitShutdown(t, s, 5*time.Second)
	<-o.closeServer(s)
	if placed := wantOneAnswerEach(t, o, h, refs); placed != len(refs) {
		t.Errorf("%d of %d are placed", placed, len(refs))
	}
}

// A placer that is to shut down and knows no host, from an empty list or from none, rejects what it took by the time of its
// owners, and ends.
func TestShutdownWithoutHosts(t *testing.T) {
	for _, hasList := range []bool{true, false} {
		t.Run(fmt.Sprintf("has a list %v", hasList), func(t *testing.T) {
			h := newRecordingHost(t) // which is not listed
			cfg := newConfigWithUnresponsiveWatch(t, endpointEvent(1, true))
			if !hasList {
				cfg.Initial.Seq, cfg.Initial.Events = 0, nil
			}
			s := startConfig(t, cfg)
			o := newTestOwner(t, s.Address())
			refs := requestMany(o, 1500)
			s.BeginShutdown()
			awaitShutdown(t, s, 5*time.Second)
			<-o.closeServer(s)
			if placed := wantOneAnswerEach(t, o, h, refs); placed != 0 {
				t.Errorf("%d are placed without a host", placed)
			}
		})
	}
}

// A placer that is to shut down and whose list comes only then places what it took.
func TestShutdownBeforeListComes(t *testing.T) {
	h := newRecordingHost(t)
	watch := newTestWatch(endpointEvent(1, true))
	s, _ := startServer(t, watch)
	o := newTestOwner(t, s.Address())
	refs := requestMany(o, 1500)
	s.BeginShutdown()
	watch.publish(endpointEvent(2, true, endpointOf(1, h.asTestHost(), platform.InService)))
	awaitShutdown(t, s, 5*time.Second)
	<-o.closeServer(s)
	if placed := wantOneAnswerEach(t, o, h, refs); placed != len(refs) {
		t.Errorf("%d of %d are placed", placed, len(refs))
	}
}

// A placer that is to shut down as soon as its listener is open serves the connections that come after that.
func TestShutdownAsListenerOpens(t *testing.T) {
	h := newRecordingHost(t)
	s := startWithHost(t, h.asTestHost())
	s.BeginShutdown()
	o := newTestOwner(t, s.Address())
	refs := requestMany(o, 1500)
	awaitShutdown(t, s, 5*time.Second)
	<-o.closeServer(s)
	if placed := wantOneAnswerEach(t, o, h, refs); placed != len(refs) {
		t.Errorf("%d of %d are placed", placed, len(refs))
	}
}

// fillAcceptQueue makes a listener drop connections, until the function that it returns accepts the one that fills its
// queue.
func fillAcceptQueue(t *testing.T, listener net.Listener) (drain func()) {
	t.Helper()
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil || listenErr != nil {
		t.Fatal(err, listenErr)
	}
	_ = dialLoopback(t, listener.Addr().String())
	return func() {
		conn, err := listener.Accept()
		if err != nil {
			t.Error(err)
			return
		}
		_ = conn.Close()
	}
}

// A placer that is to shut down while its only host is being dialed answers what it took: it is placed where the host
// accepts in time, else it is rejected.
func TestShutdownWhileHostIsDialed(t *testing.T) {
	for _, accepts := range []bool{true, false} {
		t.Run(fmt.Sprintf("host accepts %v", accepts), func(t *testing.T) {
			h := &recordingHost{listener: listenLoopback(t)}
			drain := fillAcceptQueue(t, h.listener)
			s := startWithHost(t, h.asTestHost())
			o := newTestOwner(t, s.Address())
			refs := requestMany(o, 2500)
			eventually(t, "a dial", func() bool { return dialingHostCount(s) > 0 })
			s.BeginShutdown()
			if accepts {
				drain()
				go h.accept()
			}
			awaitShutdown(t, s, 6*time.Second)
			<-o.closeServer(s)
			placed := wantOneAnswerEach(t, o, h, refs)
			if accepts && placed != len(refs) || !accepts && placed != 0 {
				t.Errorf("%d of %d are placed", placed, len(refs))
			}
		})
	}
}

// dialingHostCount returns how many connections to hosts are being dialed.
func dialingHostCount(s *Server) (count int) {
	s.loop.Call(func() {
		for _, c := range s.hosts.open {
			if c.stream == nil {
				count++
			}
		}
	})
	return count
}

// closeServer closes a placer and returns when the owner has read everything that it was sent.
func (o *testOwner) closeServer(s *Server) <-chan struct{} {
	s.Close()
	return o.done
}
