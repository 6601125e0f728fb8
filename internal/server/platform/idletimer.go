package platform

import (
	"sync"
	"time"
)

// stallThreshold is how late a timer fires when this process was stalled: that is no evidence about the peer.
const stallThreshold = 100 * time.Millisecond

// idleTimer calls a function when it was not reset for its timeout. A firing that is late by stallThreshold or more is the
// process's own doing: bytes that wait to be read get as long again. It guards against taking our own stall for an
// unresponsive peer. Safe for concurrent use.
type idleTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	timeout time.Duration // 0: paused
	due     time.Time
	stopped bool
}

// newIdleTimer starts a timer; with a timeout of 0 it is paused until it is reset.
func newIdleTimer(timeout time.Duration, onIdle func()) *idleTimer {
	t := &idleTimer{}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(time.Hour, func() { t.fire(onIdle) })
	t.set(timeout)
	return t
}

// fire is called on a goroutine of the timer's.
func (t *idleTimer) fire(onIdle func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	switch {
	case t.stopped || t.timeout == 0 || now.Before(t.due): // reset as it fired
	case now.Sub(t.due) >= stallThreshold:
		t.set(t.timeout)
	default:
		onIdle()
	}
}

// set begins a timeout; the caller holds mu.
func (t *idleTimer) set(timeout time.Duration) {
	t.timeout, t.due = timeout, time.Now().Add(timeout)
	if timeout == 0 {
		t.timer.Stop()
	} else {
		t.timer.Reset(timeout)
	}
}

// reset begins a new timeout; 0 pauses the timer.
func (t *idleTimer) reset(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.set(timeout)
	}
}

// stop ends the timer for good.
func (t *idleTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
