package platform

import (
	"slices"
	"testing"
	"time"

	"forkhead"
)

// A host that refuses new connections and keeps ours is not lost; one that vanishes is, in time.
func TestCoreLosesUnresponsiveHostButNotDrainingOne(t *testing.T) {
	w := newTestCore(t, nil)
	_, conn := w.placeTask()
	for range 100 {
		w.advance(100 * time.Millisecond)
		w.failDials(true)
	}
	if got := takeEvents[forkhead.Outcome](w); len(got) != 0 {
		t.Fatalf("a host that drains loses its tasks: %+v", got)
	}
	if w.core.connections[conn] == nil {
		t.Fatal("its connection was closed")
	}
	began := w.now
	for len(w.events) == 0 || len(takeEvents[forkhead.Outcome](w)) == 0 {
		w.advance(50 * time.Millisecond)
		w.failDials(false)
		if w.now > began+8*time.Second {
			t.Fatal("a host that vanished keeps its tasks for more than 8 s")
		}
	}
}

// A host that runs tasks and sends nothing for long is dialed, and connections to it do not pile up. It is lost where it
// accepts none any more, and is not where only this process could not dial.
func TestCoreRedialsUnresponsiveHost(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(DialHost) Input
		lost   bool
	}{
		"it accepts connections": {connected, false},
		"it accepts none":        {func(d DialHost) Input { return DialFailed{Connection: d.Connection} }, true},
		"a local failure":        {func(d DialHost) Input { return DialFailed{Connection: d.Connection, Local: true} }, false},
	} {
		w := newTestCore(t, nil)
		w.placeTask()
		dials, maxConnections := 0, 0
		w.run(60*time.Second, func(d DialHost) Input { dials++; return c.answer(d) }, func() {
			maxConnections = max(maxConnections, len(w.core.hosts[1].connections))
		})
		if lost := len(takeEvents[forkhead.Outcome](w)) > 0; lost != c.lost {
			t.Errorf("%s: its task is lost %v, want %v", name, lost, c.lost)
		}
		if maxConnections > 2 || !c.lost && dials < 10 {
			t.Errorf("%s: %d connections at once, %d dials", name, maxConnections, dials)
		}
	}
}

// A host that is partitioned for less than the protocol's time keeps its tasks; those of one that does not come back are
// released within that time, counted from when it last sent something.
func TestCoreHostCutOff(t *testing.T) {
	for _, cut := range []time.Duration{6 * time.Second, time.Hour} {
		w := newTestCore(t, nil)
		w.placeTask()
		w.run(3*time.Second, connected, func() {})
		receivedAt, from := w.core.hosts[1].lastSeenAliveAt, w.now
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
			t.Errorf("partitioned for %v: its task is released after %v", cut, releasedAt-receivedAt)
		}
		if cut > time.Minute && (releasedAt == 0 || releasedAt > receivedAt+8*time.Second) {
			t.Errorf("lost: its task is released %v after it last sent something", releasedAt-receivedAt)
		}
	}
}
