package platform

import (
	"sync/atomic"
	"testing"
	"time"
)

// A timer that fires late, because its process was stalled, starts its timeout again. If it called onIdle instead, a
// responsive peer would be treated as unresponsive. The timer calls onIdle when the new timeout expires. A paused timer
// does not call onIdle.
func TestIdleTimerRestartsAfterStallOfTheProcess(t *testing.T) {
	var fired atomic.Int64
	timer := newIdleTimer(time.Hour, func() { fired.Add(1) })
	t.Cleanup(timer.stop)
	timer.mu.Lock()
	timer.timeout, timer.due = 30*time.Millisecond, time.Now().Add(-time.Second) // as if the process had stalled for 1 s
	timer.timer.Reset(0)
	timer.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	if fired.Load() != 0 {
		t.Errorf("calls of onIdle 10ms after the timer fired a second late: got %d, want 0", fired.Load())
	}
	for end := time.Now().Add(eventuallyTimeout); fired.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("calls of onIdle %v after the timer was started again with 30ms: got 0, want 1", eventuallyTimeout)
		}
	}
	paused := newIdleTimer(0, func() { t.Error("a paused timer called onIdle, want no call") })
	paused.reset(time.Hour)
	paused.reset(0)
	paused.stop()
}
