package platform

import (
	"fmt"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// After a shutdown request, a placer accepts requests for listenAfterShutdown, rejects later ones at once, answers all
// open ones and then completes the shutdown.
func TestCoreAnswersOpenRequestsBeforeShutdownCompletes(t *testing.T) {
	w := newTestCore(t, nil)
	o := w.connectOwner()
	w.step(ShutdownRequested{})
	w.send(o, requestLine(ref1, "keyed", ""))
	conn := ofType[SendToHost](w.connectDialed())[0].Connection
	closed, complete := false, false
	tick := func(d time.Duration) {
		for range d / (50 * time.Millisecond) {
			w.now += 50 * time.Millisecond
			out := w.step()
			closed = closed || len(ofType[CloseListener](out)) > 0
			complete = complete || len(ofType[ShutdownComplete](out)) > 0
		}
	}
	tick(600 * time.Millisecond)
	if closed {
		t.Fatal("600 ms after the shutdown request: listener closed, want it open")
	}
	tick(700 * time.Millisecond)
	w.wantLines(sentLines[SendToOwner](w.send(o, requestLine(ref2, "keyed", ""))), "down "+ref2+" 42")
	if !closed || complete {
		t.Fatalf("1.3 s after the shutdown request, with an open request: listener closed %v, want true; shutdown complete %v, want false",
			closed, complete)
	}
	w.step(fromHost(conn, boundLine(ref1)))
	tick(200 * time.Millisecond)
	if !complete {
		t.Error("200 ms after the last answer: shutdown not complete, want it complete")
	}
}

// State of finished requests, closed connections and removed hosts must not accumulate over 20000 requests.
func TestCoreKeepsNoStateOfFinishedRequests(t *testing.T) {
	w := newTestCore(t, nil)
	seq := uint64(1)
	for i := range 20000 {
		if i%100 == 0 { // a host with a new name, possibly at the address of a removed one
			n := 10 + i/100
			seq++
			removed := endpoint(n-1, platform.Terminated)
			added := endpoint(n, platform.InService)
			added.Address = fmt.Sprintf("10.0.1.%d:1", n%3)
			w.step(WatchEventReceived{Event: platform.WatchEvent{Seq: seq, Endpoints: &platform.EndpointList{Hosts: []platform.Endpoint{removed, added}}}})
		}
		ref := fmt.Sprintf("%016x", i+1)
		o := w.connectOwner()
		w.send(o, requestLine(ref, "keyed", ""))
		w.connectDialed()
		conn := w.core.hosts[1].leastBusyConnection()
		switch i % 4 {
		case 0:
			w.step(fromHost(conn.id, releaseLine(ref, 34)))
			w.send(o, releaseLine(ref, 16))
		case 1:
			w.step(HostDisconnected{Connection: conn.id})
		default:
			w.step(fromHost(conn.id, boundLine(ref)))
			w.step(fromHost(conn.id, releaseLine(ref, 16)))
		}
		w.step(OwnerDisconnected{Owner: o})
		w.now += 13 * time.Millisecond
		w.step()
		w.events = nil
	}
	w.advance(time.Minute)
	c := w.core
	if n := len(c.requests) + len(c.requestsByRef) + len(c.attemptsByService) + len(c.owners) + len(c.undelivered) + c.unanswered + c.timers.Len(); n != 0 {
		t.Errorf("after the last request has ended: got %d requests, refs, services, owners, undelivered messages and timers in total, want 0",
			n)
	}
	if len(c.hosts) > 6 || len(c.connections) > maxConnectionsPerHost || len(c.abandoned.ring) > maxRemembered || len(c.abandoned.counts) > maxRemembered {
		t.Errorf("after the last request has ended: got %d hosts, want at most 6; %d connections to hosts, want at most %d; "+
			"%d abandoned attempts (%d distinct), want at most %d", len(c.hosts), len(c.connections), maxConnectionsPerHost,
			len(c.abandoned.ring), len(c.abandoned.counts), maxRemembered)
	}
}
