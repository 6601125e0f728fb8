package recorder_test

import (
	"testing"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/server/recorder"
)

// At its limit the recorder keeps the first events, drops later ones and reports the capture as incomplete.
func TestRecorderReportsDroppedEvents(t *testing.T) {
	r := recorder.New(2)
	for n, want := range []struct {
		events   int
		complete bool
	}{{0, true}, {1, true}, {2, true}, {2, false}} {
		if n > 0 {
			r.Add(capture.Event{Placer: n})
		}
		events, complete := r.Events()
		if len(events) != want.events || complete != want.complete {
			t.Errorf("Events() after %d calls of Add = %d events, %v, want %d, %v", n, len(events), complete, want.events, want.complete)
		}
		for i, e := range events {
			if e.Placer != i+1 {
				t.Errorf("event %d = %+v, want placer %d", i, e, i+1)
			}
		}
	}
}

// Add on a nil recorder, which stands for a run without a capture, does not panic.
func TestRecorderNilTakesNoEvents(*testing.T) {
	var r *recorder.Recorder
	r.Add(capture.Event{})
}
