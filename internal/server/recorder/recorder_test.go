package recorder_test

import (
	"testing"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/server/recorder"
)

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
			t.Errorf("after %d events: %d, complete %v; want %d, %v", n, len(events), complete, want.events, want.complete)
		}
		for i, e := range events {
			if e.Placer != i+1 {
				t.Errorf("event %d is %+v", i, e)
			}
		}
	}
}

func TestRecorderNilTakesNoEvents(*testing.T) {
	var r *recorder.Recorder
	r.Add(capture.Event{})
}
