package platform

import (
	"sync/atomic"
	"testing"
	"time"
)

// A timer that fires late, as its process was stalled, gives as long again; one that is reset as it fires does not fire.
func TestIdleTimerIgnoresStallOfTheProcess(t *testing.T) {
	var fired atomic.Int64
	timer := newIdleTimer(time.Hour, func() { fired.Add(1) })
	t.Cleanup(timer.stop)
	timer.mu.Lock()
	timer.timeout, timer.due = 30*time.Millisecond, time.Now().Add(-time.Second) // due a second ago: a stall
	timer.timer.Reset(0)
	timer.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	if fired.Load() != 0 {
		t.Error("a stall of our own is taken for an unresponsive peer")
	}
	for end := time.Now().Add(eventuallyTimeout); fired.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("an unresponsive peer is not detected any more")
		}
	}
	paused := newIdleTimer(0, func() { t.Error("a paused timer fires") })
	paused.reset(time.Hour)
	paused.reset(0)
	paused.stop()
}
