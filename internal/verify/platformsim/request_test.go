package platformsim

import (
	"strings"
	"testing"
	"time"

	platformcore "forkhead/internal/scheduler/platform"
)

// A request that its owner cancels counts as canceled from the moment when the placer reads the cancel message, not
// before.
func TestRequestIsCanceledWhenPlacerReadsCancel(t *testing.T) {
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
			t.Fatalf("decodeLine(%q): error %v, want none", sent.Line, err)
		}
		read++
		if !w.requests[m.Ref].canceled {
			t.Errorf("request %s: got canceled = false when the placer acknowledges its cancel, want true", m.Ref)
		}
		return []platformcore.Output{o}
	}
	w = newWorld(cfg)
	p := &placer{w: w}
	w.placers = append(w.placers, p)
	p.start()
	for range 40 {
		w.sendNewRequest()
		r := w.sortedRequests()[len(w.requests)-1] // the request that was just sent
		w.cancel(r)
		if r.cancelSent {
			canceled++
		}
		if r.canceled {
			t.Errorf("request %s: got canceled = true while its cancel is in flight, want false", r.ref)
		}
		w.runFor(100 * time.Millisecond)
	}
	if canceled == 0 || read != canceled {
		t.Errorf("placer read %d cancel messages, want the %d that were sent, and at least one", read, canceled)
	}
}
