package platform

import "time"

// flushTimeout bounds the wait for owners to read their pending bytes after the core has shut down.
const flushTimeout = 2 * time.Second

// shutdown determines when the process may end. It is used by the event loop's goroutine only, except for the channel.
type shutdown struct {
	flushDeadline time.Duration // 0 until the core has shut down
	isComplete    bool
	complete      chan struct{} // closed when isComplete is set
}

// newShutdown returns the state of a server that is not shutting down.
func newShutdown() *shutdown { return &shutdown{complete: make(chan struct{})} }

// coreComplete starts flushTimeout when the core has shut down. Further calls do nothing.
func (s *shutdown) coreComplete(now time.Duration) {
	if s.flushDeadline == 0 {
		s.flushDeadline = now + flushTimeout
	}
}

// update completes the shutdown if the core has shut down and either isFlushed reports true or flushTimeout has passed.
func (s *shutdown) update(now time.Duration, isFlushed func() bool) {
	if s.flushDeadline == 0 || s.isComplete {
		return
	}
	if now >= s.flushDeadline || isFlushed() {
		s.isComplete = true
		close(s.complete)
	}
}
