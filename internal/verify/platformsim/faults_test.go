package platformsim

import (
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// runFor advances the clock of a world by d and runs the timers that are due.
func (w *world) runFor(d time.Duration) {
	for end := w.now + d; w.runNext(end); {
	}
}

// placeOne places a task and returns its request, whose task is still running.
func placeOne(t *testing.T, w *world) *request {
	t.Helper()
	for range 20 { // hosts reject some offers
		w.sendNewRequest()
		w.runFor(200 * time.Millisecond)
		for _, r := range w.sortedRequests() {
			if r.finalMessage == "" && r.boundAttempt() != nil {
				return r
			}
		}
	}
	t.Fatal("placeOne: no task is bound after 20 requests, want one")
	return nil
}

// A host that crashes while the hand-over of its task is in flight, just before faults end, must come back only after
// the hand-over has arrived. The start of the host then tells the placer that the task has ended, and the owner gets a
// release.
func TestHostDiesWhileItsTaskIsHandedOver(t *testing.T) {
	for _, hasEnded := range []bool{true, false} { // whether the task ends while its placer is down, before the hand-over
		cfg := busyConfig(1)
		cfg.Placers, cfg.Hosts, cfg.Faults = 1, 1, 0
		w := newWorld(cfg)
		p, h := &placer{w: w}, w.hosts[0]
		w.placers = append(w.placers, p)
		p.start()
		r := placeOne(t, w)
		p.kill()
		if hasEnded {
			h.end(r.boundAttempt(), platform.CauseOK, true)
		}
		p.start()
		for r.incarnation != p.incarnation {
			if !w.runNext(w.now + time.Second) {
				t.Fatalf("task ended before the hand-over: %v: the task was not handed over, want a hand-over to the new incarnation", hasEnded)
			}
		}
		h.crash()
		w.endFaults()
		w.runFor(settleTime)
		w.checkEnd()
		for _, b := range w.report.Breaches {
			t.Errorf("task ended before the hand-over: %v: got a breach, want none: %s", hasEnded, b)
		}
		if r.finalMessage == "" {
			t.Errorf("task ended before the hand-over: %v: the owner got no release, want one", hasEnded)
		}
	}
}
