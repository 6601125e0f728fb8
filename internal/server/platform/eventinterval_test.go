package platform

import (
	"testing"
	"time"
)

// A watch that delivers events all the time is polled again when it goes without one for longer, ever more rarely; one whose
// events are rare is not.
func TestEventIntervalsNextTimeout(t *testing.T) {
	var e eventIntervals
	now := time.Unix(1000, 0)
	if e.nextTimeout() != 0 {
		t.Error("there is a timeout before the intervals are known")
	}
	for range 40 {
		now = now.Add(300 * time.Millisecond)
		e.add(now)
	}
	if got := []time.Duration{e.nextTimeout(), e.nextTimeout(), e.nextTimeout()}; got[0] != minEventTimeout || got[1] != 2*minEventTimeout || got[2] != 4*minEventTimeout {
		t.Errorf("the timeouts are %v", got)
	}
	for range 10 {
		if e.nextTimeout() > maxEventTimeout {
			t.Error("the timeout is too long")
		}
	}
	now = now.Add(3 * time.Second)
	if e.add(now); e.nextTimeout() != 6*time.Second {
		t.Error("a longer interval does not count")
	}
	now = now.Add(time.Minute)
	if e.add(now); e.nextTimeout() != 0 {
		t.Error("a watch with rare events is polled again")
	}
}
