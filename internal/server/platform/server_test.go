package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// Each request gets exactly one answer, even if hosts send damaged messages or reset connections, and a bound task has
// the description that its host sent.
func TestServerAnswersEachRequestOnce(t *testing.T) {
	good, faulty := newTestHost(t, 0, 1), newTestHost(t, 0.5, 2)
	s, _ := startServer(t, newTestWatch(endpointEvent(1, true, endpointOf(1, good, platform.InService), endpointOf(2, faulty, platform.InService))))
	o := newTestOwner(t, s.Address())
	const count = 120
	ref := func(i int) string { return fmt.Sprintf("%016x", 0xabc000+i) }
	for i := range count {
		o.request(ref(i), 6000)
		time.Sleep(2 * time.Millisecond)
	}
	eventually(t, "each request has an answer", func() bool {
		for i := range count {
			if len(o.answersTo(ref(i))) == 0 {
				return false
			}
		}
		return true
	})
	bound := 0
	for i := range count {
		bound += checkAnswers(t, ref(i), o.answersTo(ref(i)))
	}
	if bound < count*9/10 {
		t.Errorf("bound requests: got %d of %d, want at least %d", bound, count, count*9/10)
	}
}

// checkAnswers checks the answers to one request and returns how many of them are of the type bound.
func checkAnswers(t *testing.T, ref string, answers []platform.Message) (bound int) {
	t.Helper()
	if len(answers) > 1 && answers[0].Type != platform.TypeBound {
		t.Errorf("answers to %s: got %d, the first of type %s; want one, or more only after one of type %s", ref, len(answers), answers[0].Type, platform.TypeBound)
	}
	for _, m := range answers {
		if m.Type != platform.TypeBound {
			continue
		}
		bound++
		if string(m.Description) != `"of the host"` {
			t.Errorf("description of the bound task %s: got %s, want %s", ref, m.Description, `"of the host"`)
		}
	}
	if bound > 1 {
		t.Errorf("answers of type %s to %s: got %d, want at most 1", platform.TypeBound, ref, bound)
	}
	return bound
}

// The watch continues after its stream breaks. After a change of the watch's address, it continues at the new address
// from the number of the last event. A host gets no offer later than 300 ms after the event that says that the host
// drains.
func TestServerFollowsTheWatchToANewAddress(t *testing.T) {
	a, b := newTestHost(t, 0, 1), newTestHost(t, 0, 2)
	first := endpointEvent(1, true, endpointOf(1, a, platform.InService))
	watch := newTestWatch(first)
	s, cfg := startServer(t, watch)
	eventually(t, "the first watch is polled", func() bool { return watch.pollCount() >= 1 })
	watch.breakStreams()
	second := newTestWatch(first, endpointEvent(2, false, endpointOf(2, b, platform.InService)), endpointEvent(3, false, endpointOf(1, a, platform.Terminating)))
	changed := *cfg
	changed.WatchAddress = second.serve(t)
	eventually(t, "the first watch is polled again after the break", func() bool { return watch.pollCount() >= 2 })
	s.Reload(&changed)
	o := newTestOwner(t, s.Address())
	requests := 0
	request := func() (ref string) {
		requests++
		ref = fmt.Sprintf("%016x", 0xdef000+requests)
		o.request(ref, 2000)
		return ref
	}
	eventually(t, "an offer to the host of the second watch", func() bool { request(); return b.offers() > 0 })
	announced := time.Now() // the watch has announced the drain by this time
	time.Sleep(350 * time.Millisecond)
	last := ""
	for range 20 {
		last = request()
	}
	eventually(t, "the last request has an answer", func() bool { return len(o.answersTo(last)) > 0 })
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.offerTimes {
		if at.After(announced.Add(300 * time.Millisecond)) {
			t.Errorf("offer to the draining host: got one at least %v after the event, want none after 300ms", at.Sub(announced))
		}
	}
	second.mu.Lock()
	defer second.mu.Unlock()
	if second.polls[0] != "1" {
		t.Errorf("Last-Event-ID of the first poll of the second watch: got %s, want 1", second.polls[0])
	}
}

// The running tasks of a host whose process ends are released to their owners.
func TestServerReleasesTasksOfADeadHost(t *testing.T) {
	h := newTestHost(t, 0, 1)
	s := startWithHost(t, h)
	o := newTestOwner(t, s.Address())
	const ref = "00000000000000a1"
	o.request(ref, 2000)
	o.awaitAnswer(t, ref)
	h.kill()
	eventually(t, "the owner has an answer and then a release with cause reset", func() bool {
		got := o.answersTo(ref)
		return len(got) == 2 && got[1].Type == platform.TypeRelease && got[1].Cause == platform.CauseReset
	})
}

// Connections past the bound on connections are closed, while an owner that has sent requests is still served. After
// that, the placer can be shut down.
func TestServerClosesConnectionsPastItsBound(t *testing.T) {
	s := startWithHost(t, newTestHost(t, 0, 1))
	regular := newTestOwner(t, s.Address())
	regular.request("00000000000000b0", 5000)
	// Until it has answered the owner's request, the core may close the owner's connection like an idle one.
	regular.awaitAnswer(t, "00000000000000b0")
	var idle []net.Conn
	for range 400 {
		idle = append(idle, dialLoopback(t, s.Address()))
	}
	garbage := newTestOwner(t, s.Address())
	for range 1000 {
		send(garbage.conn, "%s", strings.Repeat("x", 1<<10))
	}
	<-garbage.done
	regular.request("00000000000000b1", 5000)
	regular.awaitAnswer(t, "00000000000000b1")
	for _, c := range idle {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
			t.Fatalf("Read on an idle connection = %v, want the error of a closed connection", err)
		}
	}
	s.BeginShutdown()
	select {
	case <-s.ShutdownComplete():
	case <-time.After(eventuallyTimeout):
		t.Fatalf("got no complete shutdown within %v of BeginShutdown, want one", eventuallyTimeout)
	}
}

// The connect timeout of the settings applies to connections to hosts and to the watch.
func TestServerConnectTimeoutOfTheSettings(t *testing.T) {
	h := newTestHost(t, 0, 1)
	_, cfg := startServer(t, newTestWatch(endpointEvent(1, true, endpointOf(1, h, platform.InService))))
	cfg.Settings = json.RawMessage(strings.Replace(testSettings, `"connectTimeout":250`, `"connectTimeout":700`, 1))
	s := startConfig(t, cfg)
	if s.hosts.connectTimeout != 700*time.Millisecond || s.watch.dialer.Timeout != s.hosts.connectTimeout {
		t.Errorf("connect timeouts: got %v for hosts and %v for the watch, want 700ms for both", s.hosts.connectTimeout, s.watch.dialer.Timeout)
	}
}

// Clients that send one probe or nothing and stay connected do not use up the descriptors: while discovery is down from
// the start, the probe of a new owner is answered and its request is placed. After a reload the endpoint list is
// watched at its new address.
func TestServerIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	first, second := newTestHost(t, 0, 1), newTestHost(t, 0, 2)
	initial := endpointEvent(1, true, endpointOf(1, first, platform.InService))
	available := newTestWatch(initial, endpointEvent(2, false, endpointOf(1, first, platform.Terminating), endpointOf(2, second, platform.InService))).serve(t)
	down := listenLoopback(t)
	_ = down.Close()
	_, cfg := startServer(t, newTestWatch(initial))
	cfg.WatchAddress = down.Addr().String()
	s := startConfig(t, cfg)
	for i := range 2 * cap(s.owners.slots) {
		c := dialLoopback(t, s.Address())
		if i%2 == 0 {
			send(c, `{"t":"hb","ref":"%016x","f":{},"c":0}`+"\n", i)
		}
	}
	o := newTestOwner(t, s.Address())
	o.probe(t) // the platform's frontend probes first, too
	o.request("00000000000000a0", 9000)
	o.awaitAnswer(t, "00000000000000a0") // the request is placed on a host of the initial list
	cfg.WatchAddress = available
	s.Reload(cfg)
	eventually(t, "a task is offered to the host of the new list", func() bool {
		o.request(fmt.Sprintf("%016x", time.Now().UnixNano()), 9000)
		time.Sleep(5 * time.Millisecond)
		return second.offers() > 0
	})
}
