package platformsim

import (
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// runFor runs a world for a time.
func (w *world) runFor(d time.Duration) {
	for end := w.now + d; w.runNext(end); {
	}
}

// placeOne has a placer place a task that ends much later, and returns its request.
func placeOne(t *testing.T, w *world) *request {
	t.Helper()
	for range 20 { // hosts reject some offers
		w.arrive()
		w.runFor(200 * time.Millisecond)
		for _, r := range w.sortedRequests() {
			if r.final == "" && r.boundAttempt() != nil {
				return r
			}
		}
	}
	t.Fatal("no task is placed")
	return nil
}

// A host that dies while the hand-over of its task is on the way, as faults end, is back only later than that arrives: the
// start that its placer learns of then shows that the task is over, and its owner is told.
func TestHostDiesWhileItsTaskIsHandedOver(t *testing.T) {
	for _, hasEnded := range []bool{true, false} { // before the hand-over, while its placer was down
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
				t.Fatal("the task is not handed over")
			}
		}
		h.crash()
		w.endFaults()
		w.runFor(settleTime)
		w.checkEnd()
		for _, b := range w.report.Breaches {
			t.Errorf("ended %v: %s", hasEnded, b)
		}
		if r.final == "" {
			t.Errorf("ended %v: the owner is not told", hasEnded)
		}
	}
}
