package platform

import (
	"slices"
	"testing"
	"time"

	"forkhead"
)

// A host that refuses new connections but keeps an open one is draining and keeps its tasks. A host to which dials fail
// in other ways and that sends nothing is lost within 8 s.
func TestCoreLosesUnresponsiveHostButNotDrainingOne(t *testing.T) {
	w := newTestCore(t, nil)
	_, conn := w.placeTask()
	for range 100 {
		w.advance(100 * time.Millisecond)
		w.failDials(true)
	}
	if got := takeEvents[forkhead.Outcome](w); len(got) != 0 {
		t.Fatalf("host that refuses dials for 10 s beside an open connection: got outcomes %+v, want none", got)
	}
	if w.core.connections[conn] == nil {
		t.Fatal("host that refuses dials for 10 s: its open connection was closed, want it open")
	}
	began := w.now
	for len(w.events) == 0 || len(takeEvents[forkhead.Outcome](w)) == 0 {
		w.advance(50 * time.Millisecond)
		w.failDials(false)
		if w.now > began+8*time.Second {
			t.Fatal("host to which dials fail: got no outcome of its task within 8 s, want the task lost by then")
		}
	}
}

// A host that runs tasks and sends nothing for a minute is dialed repeatedly, without connections to it accumulating.
// The host is lost if it accepts no connection, but not if the dials fail for a local cause.
func TestCoreRedialsUnresponsiveHost(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(DialHost) Input
		lost   bool
	}{
		"host accepts connections": {connected, false},
		"host accepts none":        {func(d DialHost) Input { return DialFailed{Connection: d.Connection} }, true},
		"dials fail locally":       {func(d DialHost) Input { return DialFailed{Connection: d.Connection, Local: true} }, false},
	} {
		w := newTestCore(t, nil)
		w.placeTask()
		dials, maxConnections := 0, 0
		w.run(60*time.Second, func(d DialHost) Input { dials++; return c.answer(d) }, func() {
			maxConnections = max(maxConnections, len(w.core.hosts[1].connections))
		})
		if lost := len(takeEvents[forkhead.Outcome](w)) > 0; lost != c.lost {
			t.Errorf("%s: task lost %v, want %v", name, lost, c.lost)
		}
		if maxConnections > 2 || !c.lost && dials < 10 {
			t.Errorf("%s: got up to %d connections at once, want at most 2; %d dials, want at least 10 unless the host is lost (%v)",
				name, maxConnections, dials, c.lost)
		}
	}
}

// A host that is partitioned for less than undeliveredTimeout, 8 s by the protocol, keeps its tasks. The tasks of a
// host that does not come back are released within that time, counted from when it was last seen alive.
func TestCoreReleasesTasksOfPartitionedHostInTime(t *testing.T) {
	for _, cut := range []time.Duration{6 * time.Second, time.Hour} {
		w := newTestCore(t, nil)
		w.placeTask()
		w.run(3*time.Second, connected, func() {})
		receivedAt, from := w.core.hosts[1].liveness.lastContactAt(), w.now
		releasedAt := time.Duration(0)
		w.run(10*time.Second, func(d DialHost) Input {
			if w.now > from+cut {
				return connected(d)
			}
			return DialFailed{Connection: d.Connection}
		}, func() {
			if releasedAt == 0 && slices.Contains(sentLines[SendToOwner](w.outputs), "down "+ref1+" 41") {
				releasedAt = w.now
			}
		})
		if cut < time.Minute && releasedAt > 0 {
			t.Errorf("partitioned for %v: task released %v after the host was last seen alive, want it kept", cut, releasedAt-receivedAt)
		}
		if cut > time.Minute && (releasedAt == 0 || releasedAt > receivedAt+8*time.Second) {
			t.Errorf("partitioned for good: got task released %v, want true; released %v after the host was last seen alive, want at most 8s",
				releasedAt != 0, releasedAt-receivedAt)
		}
	}
}

// The tasks of a host that sends only unreadable messages are released within 8 s, as their ends may be among these. The
// host is not dialed over and over meanwhile.
func TestCoreReleasesTasksOfHostThatSendsOnlyUnreadableMessages(t *testing.T) {
	w := newTestCore(t, nil)
	_, conn := w.placeTask()
	began, releasedAt, dials := w.now, time.Duration(0), 0
	w.step(fromHost(conn, "{]"))
	w.run(10*time.Second, func(d DialHost) Input { dials++; return connected(d) }, func() {
		if releasedAt == 0 && slices.Contains(sentLines[SendToOwner](w.outputs), "down "+ref1+" 41") {
			releasedAt = w.now
		}
		if open := w.core.hosts[1].newestConnection(); open != nil {
			w.step(fromHost(open.id, "{]")) // the host reports the end of the task on each connection
		}
	})
	if releasedAt == 0 || releasedAt > began+undeliveredTimeout {
		t.Errorf("host that sends only unreadable messages: task released %v after the first, want at most %v", releasedAt-began, undeliveredTimeout)
	}
	if dials > 100 {
		t.Errorf("host that sends only unreadable messages for 10 s: got %d dials, want at most 100", dials)
	}
}
