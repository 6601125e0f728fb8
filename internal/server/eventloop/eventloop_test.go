package eventloop

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"forkhead/internal/server/clock"
)

// Jobs run in order on one goroutine; the step follows them, and comes again when its time is due.
func TestLoopRunsJobsInOrderAndTimers(t *testing.T) {
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
		l.PostBlocking(func() { got = append(got, i) })
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

// A full queue blocks producers, and Stop releases them.
func TestLoopBlocksProducersWhenFull(t *testing.T) {
	l := New(clock.New(), 5, func(time.Duration) (time.Duration, bool) { return 0, false })
	l.Start()
	gate := make(chan struct{})
	l.Post(func() { <-gate })
	var queued atomic.Int64
	var wait sync.WaitGroup
	for range 20 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if l.PostBlocking(func() {}) {
				queued.Add(1)
			}
		}()
	}
	time.Sleep(50 * time.Millisecond)
	if n := queued.Load(); n > 10 { // a batch in execution beside a full queue
		t.Fatalf("%d jobs beside a queue of 5", n)
	}
	go func() {
		time.Sleep(10 * time.Millisecond)
		close(gate)
	}()
	l.Stop()
	wait.Wait()
	if l.Post(func() {}) || l.Call(func() {}) {
		t.Fatal("a job is taken after the end")
	}
}

// A loop that was stalled past a timer takes what was blocked meanwhile before the timer is due.
func TestLoopCatchesUpBeforeLateTimer(t *testing.T) {
	got := 0
	stepped := make(chan int, 1)
	c := clock.New()
	due := c.Now() + 20*time.Millisecond
	l := New(c, 1, func(now time.Duration) (time.Duration, bool) {
		if now < due {
			return due, true
		}
		select {
		case stepped <- got:
		default:
		}
		return now + time.Hour, true
	})
	l.Start()
	defer l.Stop()
	l.Call(func() {}) // a step follows it, before what is queued from here on
	stalled, on := make(chan struct{}), make(chan struct{})
	l.Post(func() { close(stalled); <-on })
	<-stalled
	for range 5 { // one is queued, the others wait for space one after the other
		go l.PostBlocking(func() { got++ })
	}
	time.Sleep(200 * time.Millisecond)
	close(on)
	if n := <-stepped; n != 5 {
		t.Errorf("%d of 5 jobs came before the late timer", n)
	}
}
