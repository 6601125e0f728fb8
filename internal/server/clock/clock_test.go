package clock

import (
	"context"
	"errors"
	"testing"
	"time"
)

// A clock starts at the wall clock's time and does not go back. Until returns 0 for a time that has passed.
func TestClockStartsAtWallClockAndNeverGoesBack(t *testing.T) {
	before := time.Duration(time.Now().UnixNano())
	c := New()
	first := c.Now()
	if first < before {
		t.Errorf("first Now() = %v, want at least the wall clock time before New, %v", first, before)
	}
	if second := c.Now(); second < first {
		t.Errorf("second Now() = %v, want at least the first, %v", second, first)
	}
	if wait := c.Until(first); wait != 0 {
		t.Errorf("Until(a time that has passed) = %v, want 0", wait)
	}
	if wait := c.Until(first + time.Hour); wait <= 0 || wait > time.Hour {
		t.Errorf("Until(an hour after the first Now) = %v, want more than 0 and at most 1h", wait)
	}
}

func TestSleepEndsWithDurationOrContext(t *testing.T) {
	if err := Sleep(t.Context(), -time.Second); err != nil {
		t.Errorf("Sleep(-1s) = %v, want nil", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := Sleep(ctx, time.Hour); !errors.Is(err, context.Canceled) {
		t.Errorf("Sleep(1h) with a canceled context = %v, want %v", err, context.Canceled)
	}
}
