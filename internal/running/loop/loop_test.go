package loop

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"forkhead/internal/running/clock"
)

// Jobs run in order on one goroutine; the step follows them, and comes again when its time is due.
func TestOrderAndTimer(t *testing.T) {
	c := clock.New()
	steps := make(chan time.Duration, 1000)
	wants := c.Now() + 30*time.Millisecond
	l := New(c, 10, func(now time.Duration) (time.Duration, bool) {
		steps <- now
		return wants, now < wants
	})
	l.Start()
	defer l.Stop()
	var got []int
	for i := range 100 {
		l.Wait(func() { got = append(got, i) })
	}
	l.Call(func() {})
	for i, n := range got {
		if i != n {
			t.Fatalf("job %d ran as number %d", n, i)
		}
	}
	for end := time.After(5 * time.Second); ; {
		select {
		case at := <-steps:
			if at >= wants {
				return
			}
		case <-end:
			t.Fatal("the timer did not come")
		}
	}
}

// A full queue holds producers back, and Stop lets them go.
func TestBackpressure(t *testing.T) {
	l := New(clock.New(), 5, func(time.Duration) (time.Duration, bool) { return 0, false })
	l.Start()
	gate := make(chan struct{})
	l.Do(func() { <-gate })
	var queued atomic.Int64
	var wait sync.WaitGroup
	for range 20 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if l.Wait(func() {}) {
				queued.Add(1)
			}
		}()
	}
	time.Sleep(50 * time.Millisecond)
	if n := queued.Load(); n > 10 { // a batch in hand beside a full queue
		t.Fatalf("%d jobs beside a queue of 5", n)
	}
	go func() {
		time.Sleep(10 * time.Millisecond)
		close(gate)
	}()
	l.Stop()
	wait.Wait()
	if l.Do(func() {}) || l.Call(func() {}) {
		t.Fatal("a job is taken after the end")
	}
}
