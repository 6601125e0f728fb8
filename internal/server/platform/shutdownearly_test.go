package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// unresponsiveWatchAddress returns the address of a watch that accepts connections and never answers.
func unresponsiveWatchAddress(t *testing.T) string { return listenLoopback(t).Addr().String() }

// newConfigWithUnresponsiveWatch returns the configuration of a placer with the given initial list and an unresponsive
// watch.
func newConfigWithUnresponsiveWatch(t *testing.T, initialList string) *platform.Config {
	t.Helper()
	cfg := newTestConfig(t, newTestWatch(initialList))
	cfg.WatchAddress = unresponsiveWatchAddress(t)
	return cfg
}

// awaitShutdown waits until the shutdown is complete and fails the test after timeout.
func awaitShutdown(t *testing.T, s *Server, timeout time.Duration) {
	t.Helper()
	select {
	case <-s.ShutdownComplete():
	case <-time.After(timeout):
		t.Fatalf("got no complete shutdown within %v, want one", timeout)
	}
}

// requestMany sends ten requests with a timeout in milliseconds and returns their refs.
func requestMany(o *testOwner, timeoutMS int) (refs []string) {
	for i := range 10 {
		ref := fmt.Sprintf("%016x", 0xf100+i)
		o.request(ref, timeoutMS)
		refs = append(refs, ref)
	}
	return refs
}

// wantOneAnswerEach checks that each request has exactly one answer. If a request is placed, its answer is the
// description from the host, and the host got one offer and no release for it. Any other request is rejected, and the
// host got no more offers than releases for it, so that it does not run the task. wantOneAnswerEach returns how many
// requests were placed.
func wantOneAnswerEach(t *testing.T, o *testOwner, h *recordingHost, refs []string) (placed int) {
	t.Helper()
	for _, ref := range refs {
		got := o.answersTo(ref)
		if len(got) != 1 {
			t.Errorf("answers to %s: got %+v, want exactly one", ref, got)
			continue
		}
		offers, stops := h.received(platform.TypeRequest, ref), h.received(platform.TypeRelease, ref)
		switch {
		case got[0].Type == platform.TypeBound:
			placed++
			if want := `"of ` + ref + `"`; string(got[0].Description) != want || offers != 1 || stops != 0 {
				t.Errorf("%s is placed: got description %s, %d offers and %d stops; want %s, 1 offer and 0 stops", ref, got[0].Description, offers, stops, want)
			}
		case got[0].Type != platform.TypeRelease || offers > stops:
			t.Errorf("answer to %s: got type %s with cause %d, after %d offers and %d stops at the host; want type %s and no more offers than stops",
				ref, got[0].Type, got[0].Cause, offers, stops, platform.TypeRelease)
		}
	}
	return placed
}

// A placer that shuts down before the first event of its watch places the pending requests on hosts of its initial
// list.
func TestShutdownBeforeFirstWatchEvent(t *testing.T) {
	h := newRecordingHost(t)
	s := startConfig(t, newConfigWithUnresponsiveWatch(t, endpointEvent(1, true, endpointOf(1, h.asTestHost(), platform.InService))))
	o := newTestOwner(t, s.Address())
	refs := requestMany(o, 1500)
	s.BeginShutdown()
	awaitShutdown(t, s, 5*time.Second)
	<-o.closeServer(s)
	if placed := wantOneAnswerEach(t, o, h, refs); placed != len(refs) {
		t.Errorf("placed requests: got %d of %d, want all", placed, len(refs))
	}
}

// A placer that shuts down without a known host, because its initial list is empty or missing, rejects the pending
// requests when their timeout expires, and the shutdown completes.
func TestShutdownWithoutHosts(t *testing.T) {
	for _, hasList := range []bool{true, false} {
		t.Run(fmt.Sprintf("has a list %v", hasList), func(t *testing.T) {
			h := newRecordingHost(t) // a host that is not in the endpoint list
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
				t.Errorf("requests placed without a known host: got %d of %d, want 0", placed, len(refs))
			}
		})
	}
}

// A placer that gets its first host from the watch during its shutdown places the pending requests on it.
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
		t.Errorf("placed requests: got %d of %d, want all", placed, len(refs))
	}
}

// A placer that begins its shutdown as soon as its listener is open serves a connection that is made after that.
func TestShutdownAsListenerOpens(t *testing.T) {
	h := newRecordingHost(t)
	s := startWithHost(t, h.asTestHost())
	s.BeginShutdown()
	o := newTestOwner(t, s.Address())
	refs := requestMany(o, 1500)
	awaitShutdown(t, s, 5*time.Second)
	<-o.closeServer(s)
	if placed := wantOneAnswerEach(t, o, h, refs); placed != len(refs) {
		t.Errorf("placed requests: got %d of %d, want all", placed, len(refs))
	}
}

// fillAcceptQueue fills a listener's accept queue with one connection, so that the kernel drops further ones. The
// returned function accepts that connection, after which the kernel no longer drops others.
func fillAcceptQueue(t *testing.T, listener net.Listener) (drain func()) {
	t.Helper()
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil || listenErr != nil {
		t.Fatalf("set the accept queue's length: got errors %v and %v, want nil", err, listenErr)
	}
	_ = dialLoopback(t, listener.Addr().String())
	return func() {
		conn, err := listener.Accept()
		if err != nil {
			t.Errorf("Accept of the connection that fills the queue = %v, want nil", err)
			return
		}
		_ = conn.Close()
	}
}

// A placer that shuts down while its only host is being dialed places the pending requests if the host accepts in time,
// and rejects them otherwise.
func TestShutdownWhileHostIsDialed(t *testing.T) {
	for _, accepts := range []bool{true, false} {
		t.Run(fmt.Sprintf("host accepts %v", accepts), func(t *testing.T) {
			h := &recordingHost{listener: listenLoopback(t)}
			drain := fillAcceptQueue(t, h.listener)
			s := startWithHost(t, h.asTestHost())
			o := newTestOwner(t, s.Address())
			refs := requestMany(o, 2500)
			eventually(t, "the host is being dialed", func() bool { return dialingHostCount(s) > 0 })
			s.BeginShutdown()
			if accepts {
				drain()
				go h.accept()
			}
			awaitShutdown(t, s, 6*time.Second)
			<-o.closeServer(s)
			placed := wantOneAnswerEach(t, o, h, refs)
			if accepts && placed != len(refs) || !accepts && placed != 0 {
				t.Errorf("host accepts connections: %v: got %d of %d requests placed, want all if it accepts, none otherwise", accepts, placed, len(refs))
			}
		})
	}
}

// Guards against requests that a placer takes in its last moment and never answers: between the end of the event loop and
// that of the process, its connections are still open, so that nothing may wait there. A host that does not answer its
// dial must not hold up Close.
func TestServerCloseInterruptsDials(t *testing.T) {
	h := &recordingHost{listener: listenLoopback(t)}
	fillAcceptQueue(t, h.listener)
	cfg := newTestConfig(t, newTestWatch(endpointEvent(1, true, endpointOf(1, h.asTestHost(), platform.InService))))
	cfg.Settings = json.RawMessage(strings.Replace(testSettings, `"connectTimeout":250`, `"connectTimeout":600000`, 1))
	s := startConfig(t, cfg)
	newTestOwner(t, s.Address()).request("00000000000000a1", 2500)
	eventually(t, "the host is being dialed", func() bool { return dialingHostCount(s) > 0 })
	closed := make(chan struct{})
	go func() {
		s.Close()
		close(closed)
	}()
	eventually(t, "the server is closed", func() bool {
		select {
		case <-closed:
			return true
		default:
			return false
		}
	})
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

// closeServer closes a placer. The returned channel is closed when the owner has read all messages to it.
func (o *testOwner) closeServer(s *Server) <-chan struct{} {
	s.Close()
	return o.done
}
