package clock

import (
	"context"
	"errors"
	"testing"
	"time"
)

// A clock starts at the wall clock's time and never goes back; what is over is no time away.
func TestClockCountsFromTheWallClock(t *testing.T) {
	before := time.Duration(time.Now().UnixNano())
	c := New()
	first := c.Now()
	if first < before {
		t.Errorf("the clock is at %v, which is before it started at %v", first, before)
	}
	if second := c.Now(); second < first {
		t.Errorf("%v follows %v", second, first)
	}
	if wait := c.Until(first); wait != 0 {
		t.Errorf("a time that is over is %v away", wait)
	}
	if wait := c.Until(first + time.Hour); wait <= 0 || wait > time.Hour {
		t.Errorf("a time an hour later is %v away", wait)
	}
}

func TestSleepEndsWithTheTimeOrTheContext(t *testing.T) {
	if err := Sleep(t.Context(), -time.Second); err != nil {
		t.Errorf("a duration below 0: %v, want nil", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := Sleep(ctx, time.Hour); !errors.Is(err, context.Canceled) {
		t.Errorf("a canceled context: %v, want %v", err, context.Canceled)
	}
}
