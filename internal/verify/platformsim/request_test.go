package platformsim

import (
	"strings"
	"testing"
	"time"

	platformcore "forkhead/internal/scheduler/platform"
)

// A request that its owner cancels counts as canceled from the moment in which its placer reads that, and not before.
func TestCancelCountsWhenItArrives(t *testing.T) {
	var w *world
	canceled, read := 0, 0
	cfg := busyConfig(1)
	cfg.Placers, cfg.Faults = 1, 0
	cfg.InjectFault = func(o platformcore.Output) []platformcore.Output {
		sent, ok := o.(platformcore.SendToOwner)
		if !ok || !strings.Contains(string(sent.Line), `"ack"`) {
			return []platformcore.Output{o}
		}
		m, err := decodeLine(sent.Line)
		if err != nil {
			t.Fatal(err)
		}
		read++
		if !w.requests[m.Ref].canceled {
			t.Errorf("%s is read as canceled and does not count as that", m.Ref)
		}
		return []platformcore.Output{o}
	}
	w = newWorld(cfg)
	p := &placer{w: w}
	w.placers = append(w.placers, p)
	p.start()
	for range 40 {
		w.arrive()
		r := w.sortedRequests()[len(w.requests)-1] // the one that has just come
		w.cancel(r)
		if r.cancelSent {
			canceled++
		}
		if r.canceled {
			t.Errorf("%s counts as canceled while that is on the way", r.ref)
		}
		w.runFor(100 * time.Millisecond)
	}
	if canceled == 0 || read != canceled {
		t.Errorf("%d requests are canceled by a message, %d such messages are read", canceled, read)
	}
}
