package platform

import (
	"testing"
	"time"
)

// A watch with regular events gets a timeout. The timeout follows the longest recent interval and doubles with each
// poll that brings no event. A watch whose intervals are unknown or long gets no timeout.
func TestEventIntervalsNextTimeout(t *testing.T) {
	var e eventIntervals
	now := time.Unix(1000, 0)
	if got := e.nextTimeout(); got != 0 {
		t.Errorf("nextTimeout() without an event = %v, want 0", got)
	}
	for range 40 {
		now = now.Add(300 * time.Millisecond)
		e.add(now)
	}
	if got := []time.Duration{e.nextTimeout(), e.nextTimeout(), e.nextTimeout()}; got[0] != minEventTimeout || got[1] != 2*minEventTimeout || got[2] != 4*minEventTimeout {
		t.Errorf("three calls of nextTimeout() after events each 300ms = %v, want %v, %v, %v", got, minEventTimeout, 2*minEventTimeout, 4*minEventTimeout)
	}
	for range 10 {
		if got := e.nextTimeout(); got > maxEventTimeout {
			t.Errorf("nextTimeout() after many polls = %v, want at most %v", got, maxEventTimeout)
		}
	}
	now = now.Add(3 * time.Second)
	e.add(now)
	if got := e.nextTimeout(); got != 6*time.Second {
		t.Errorf("nextTimeout() after an interval of 3s = %v, want 6s", got)
	}
	now = now.Add(time.Minute)
	e.add(now)
	if got := e.nextTimeout(); got != 0 {
		t.Errorf("nextTimeout() after an interval of 1m = %v, want 0", got)
	}
}
