package platform

import (
	"sync"
	"time"
)

// stallThreshold is the lateness of a timer from which on idleTimer assumes that this process was stalled.
const stallThreshold = 100 * time.Millisecond

// idleTimer calls a function when it has not been reset for its timeout. If it fires late by stallThreshold or more,
// this process was stalled, and bytes of the peer may be waiting to be read: the timer then starts again instead, so
// that a responsive peer is not taken for unresponsive. It is safe for concurrent use.
type idleTimer struct {
	mu      sync.Mutex // guards the fields below
	timer   *time.Timer
	timeout time.Duration // 0 while the timer is paused
	due     time.Time     // when the timeout expires
	stopped bool
}

// newIdleTimer starts a timer. With a timeout of 0 the timer is paused until reset is called. onIdle is called with the
// timer locked and must not use it.
func newIdleTimer(timeout time.Duration, onIdle func()) *idleTimer {
	t := &idleTimer{}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(time.Hour, func() { t.fire(onIdle) })
	t.set(timeout)
	return t
}

// fire calls onIdle if the timeout has expired. It runs on the goroutine of the time.AfterFunc.
func (t *idleTimer) fire(onIdle func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	switch {
	case t.stopped || t.timeout == 0 || now.Before(t.due): // the timer was stopped, paused or reset while it fired
	case now.Sub(t.due) >= stallThreshold:
		t.set(t.timeout)
	default:
		onIdle()
	}
}

// set starts a new timeout, or pauses the timer if the timeout is 0. The caller holds mu.
func (t *idleTimer) set(timeout time.Duration) {
	t.timeout, t.due = timeout, time.Now().Add(timeout)
	if timeout == 0 {
		t.timer.Stop()
	} else {
		t.timer.Reset(timeout)
	}
}

// reset starts a new timeout, or pauses the timer if the timeout is 0. It does nothing after stop.
func (t *idleTimer) reset(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.set(timeout)
	}
}

// stop stops the timer permanently.
func (t *idleTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
