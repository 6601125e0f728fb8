package platform

import "time"

// shutdown is how far the end of this placer has come.
type shutdown struct {
	requestedAt    time.Duration // 0: not requested
	listenerClosed bool
}

func (s *shutdown) request(now time.Duration) {
	if s.requestedAt == 0 {
		s.requestedAt = now
	}
}

// rejectsRequests reports whether requests are rejected, as this placer will not be there to answer.
func (s *shutdown) rejectsRequests(now time.Duration) bool {
	return s.requestedAt > 0 && now > s.requestedAt+listenAfterShutdown
}

// reconcileShutdown closes the listener some time after a shutdown was requested, and completes it when no request is open
// and no owner is in the middle of sending one.
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
