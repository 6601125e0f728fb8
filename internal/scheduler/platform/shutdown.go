package platform

import "time"

// shutdown is the progress of this placer's shutdown.
type shutdown struct {
	requestedAt    time.Duration // 0: no shutdown was requested
	listenerClosed bool
}

func (s *shutdown) request(now time.Duration) {
	if s.requestedAt == 0 {
		s.requestedAt = now
	}
}

// rejectsRequests reports whether new requests are rejected because this placer may exit before it answers them.
func (s *shutdown) rejectsRequests(now time.Duration) bool {
	return s.requestedAt > 0 && now > s.requestedAt+listenAfterShutdown
}

// reconcileShutdown closes the listener listenAfterShutdown after a shutdown was requested. It completes the shutdown
// when no request is open and no owner is in the middle of sending one; a message that does not end delays it by at
// most ownerLineTimeout.
func (c *Core) reconcileShutdown() {
	s := &c.shutdown
	if s.requestedAt == 0 {
		return
	}
	if !s.listenerClosed && c.now >= s.requestedAt+listenAfterShutdown {
		s.listenerClosed = true
		c.emit(CloseListener{})
	}
	if !s.listenerClosed || c.unanswered > 0 || c.now < s.requestedAt+minShutdownDuration {
		return
	}
	if !c.hasPartialRequest() || c.now >= s.requestedAt+minShutdownDuration+ownerLineTimeout {
		c.emit(ShutdownComplete{})
	}
}
