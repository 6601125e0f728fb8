package platform

import (
	"fmt"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// Once its shutdown is requested, a placer serves as long as requests come, rejects later ones at once, answers all and
// completes.
func TestCoreShutdown(t *testing.T) {
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
		t.Fatal("it stops listening while requests come")
	}
	tick(700 * time.Millisecond)
	w.wantLines(sentLines[SendToOwner](w.send(o, requestLine(ref2, "keyed", ""))), "down "+ref2+" 42")
	if !closed || complete {
		t.Fatal("it listens on, or completes with a request open")
	}
	w.step(fromHost(conn, boundLine(ref1)))
	tick(200 * time.Millisecond)
	if !complete {
		t.Error("it does not complete")
	}
}

// New refs, connections and hosts, again and again, leave no state behind.
func TestCoreForgetsWhatIsOver(t *testing.T) {
	w := newTestCore(t, nil)
	seq := uint64(1)
	for i := range 20000 {
		if i%100 == 0 { // hosts under new names, some at the address of one that is removed
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
			w.step(HostDisconnected{conn.id})
		default:
			w.step(fromHost(conn.id, boundLine(ref)))
			w.step(fromHost(conn.id, releaseLine(ref, 16)))
		}
		w.step(OwnerDisconnected{o})
		w.now += 13 * time.Millisecond
		w.step()
		w.events = nil
	}
	w.advance(time.Minute)
	c := w.core
	if n := len(c.requests) + len(c.requestsByRef) + len(c.attemptsByService) + len(c.owners) + len(c.undelivered) + c.unanswered + c.timers.Len(); n != 0 {
		t.Errorf("%d requests, refs, services, owners, messages and timers are left", n)
	}
	if len(c.hosts) > 6 || len(c.connections) > maxConnectionsPerHost || len(c.abandoned.ring) > maxRemembered || len(c.abandoned.counts) > maxRemembered {
		t.Errorf("%d hosts, %d connections, %d abandoned attempts", len(c.hosts), len(c.connections), len(c.abandoned.counts))
	}
}
