package platform

import (
	"sync/atomic"
	"testing"
	"time"
)

// Polls wait longer after one that was not answered, and not after a second; and as long as responses come late.
func TestResponseWaitAlternatesUntilResponsesCome(t *testing.T) {
	var w responseWait
	for i, step := range []struct {
		event func()
		want  time.Duration
	}{
		{func() {}, freshResponseTimeout},
		{w.expired, slowResponseTimeout},
		{w.expired, responseTimeout},
		{w.expired, slowResponseTimeout},
		{func() { w.answered(3 * time.Second) }, slowResponseTimeout},
		{func() { w.answered(8 * time.Second) }, slowResponseTimeout},
		{func() { w.answered(time.Second) }, responseTimeout},
	} {
		if step.event(); w.timeout() != step.want {
			t.Errorf("step %d: got timeout %v, want %v", i, w.timeout(), step.want)
		}
	}
}

// A watch that answers each poll after more than responseTimeout is heard, with one poll open at a time, and again after its
// stream has ended.
func TestWatcherFollowsWatchThatAnswersLate(t *testing.T) {
	t.Parallel()
	const delay = 4300 * time.Millisecond
	var polls, open, most atomic.Int64
	address := scriptedWatch(t, func(s watchStream) {
		n := polls.Add(1)
		most.Store(max(most.Load(), open.Add(1)))
		defer open.Add(-1)
		select {
		case <-time.After(delay):
		case <-s.done:
			return
		}
		s.send("%s", emptyEvent(int(n), false)) // the first poll is given up, so that event 2 comes on the second
	})
	_, deliveries := startTestWatcher(t, address, 1)
	expectDeliveries(t, deliveries, delivery{2, false}, delivery{3, false})
	if polls.Load() != 3 || most.Load() != 1 {
		t.Errorf("until two events were delivered: got %d polls, %d at once, want 3 and 1", polls.Load(), most.Load())
	}
}
