package platform

import "time"

// flushTimeout bounds how long a placer whose core has shut down waits for owners to read what was written to them.
const flushTimeout = 2 * time.Second

// shutdown knows when the process may end. It belongs to the event loop's goroutine, except for the channel.
type shutdown struct {
	flushDeadline time.Duration // 0: the core has not shut down
	isComplete    bool
	complete      chan struct{} // closed when isComplete is set
}

// newShutdown returns a shutdown that has not begun.
func newShutdown() *shutdown { return &shutdown{complete: make(chan struct{})} }

// coreComplete takes note that the core has shut down.
func (s *shutdown) coreComplete(now time.Duration) {
	if s.flushDeadline == 0 {
		s.flushDeadline = now + flushTimeout
	}
}

// update completes the shutdown once the core has shut down and all is flushed or the time for that is over.
func (s *shutdown) update(now time.Duration, isFlushed func() bool) {
	if s.flushDeadline == 0 || s.isComplete {
		return
	}
	if now >= s.flushDeadline || isFlushed() {
		s.isComplete = true
		close(s.complete)
	}
}
