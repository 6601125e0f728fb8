package rules

import (
	"testing"
	"time"
)

func TestHappenedBy(t *testing.T) {
	for _, c := range []struct {
		at, by time.Duration
		want   bool
	}{{0, 5, false}, {1, 5, true}, {4, 5, true}, {5, 5, true}, {6, 5, false}} {
		if got := happenedBy(c.at, c.by); got != c.want {
			t.Errorf("happenedBy(%d, %d) = %v, want %v", c.at, c.by, got, c.want)
		}
	}
}

// The placer starts at 0, is down from 1s to 2s, recovers until 2.1s, and is down from 4s on.
func TestPlacerHistory(t *testing.T) {
	h := placerHistory{
		starts: []time.Duration{0, 2 * time.Second, 3 * time.Second},
		deaths: []placerDeath{{at: time.Second}, {at: 4 * time.Second}},
	}
	for _, c := range []struct {
		from, to         time.Duration
		wasDown, hasDied bool
	}{
		{0, 999 * ms, false, false},
		{0, 1000 * ms, true, true},
		{1000 * ms, 1500 * ms, true, true},
		{1001 * ms, 1500 * ms, true, false},
		{2100 * ms, 3000 * ms, true, false},
		{2100*ms + 1, 3999 * ms, false, false},
		{2101 * ms, 4000 * ms, true, true},
		{time.Hour, time.Hour, true, false},
	} {
		if got := h.wasDown(c.from, c.to); got != c.wasDown {
			t.Errorf("wasDown(%v, %v) = %v, want %v", c.from, c.to, got, c.wasDown)
		}
		if got := h.diedWithin(c.from, c.to); got != c.hasDied {
			t.Errorf("diedWithin(%v, %v) = %v, want %v", c.from, c.to, got, c.hasDied)
		}
	}
	startedAtDeath := placerHistory{starts: []time.Duration{time.Second}, deaths: []placerDeath{{at: time.Second}}}
	if !startedAtDeath.wasDown(time.Minute, time.Minute) {
		t.Error("wasDown after a death at the time of the last start = false, want true: that start is not a restart")
	}
}

// Steps are overdue from 1s to 3s, from 2s to 4s and from 6s to 7s. Time in which two steps are overdue counts once.
func TestStalledFor(t *testing.T) {
	trace := trace{lateSteps: []lateStep{
		{placer: 0, dueAt: time.Second, ranAt: 3 * time.Second},
		{placer: 1, dueAt: 2 * time.Second, ranAt: 4 * time.Second},
		{placer: 0, dueAt: 6 * time.Second, ranAt: 7 * time.Second},
	}}
	for _, c := range []struct{ from, to, want time.Duration }{
		{0, 500 * ms, 0},
		{0, time.Second, 0},
		{0, 1001 * ms, ms},
		{0, 10 * time.Second, 4 * time.Second},
		{2500 * ms, 6500 * ms, 2 * time.Second},
		{3999 * ms, 6 * time.Second, ms},
		{4 * time.Second, 6 * time.Second, 0},
		{7 * time.Second, 10 * time.Second, 0},
	} {
		if got := trace.stalledFor(c.from, c.to); got != c.want {
			t.Errorf("stalledFor(%v, %v) = %v, want %v", c.from, c.to, got, c.want)
		}
	}
}
