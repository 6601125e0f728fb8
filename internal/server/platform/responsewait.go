package platform

import "time"

const (
	// freshResponseTimeout bounds the wait for the first bytes of the first response at an address. An answer until then comes
	// in the 4 s after a new configuration after which the platform counts events as delivered.
	freshResponseTimeout = 3800 * time.Millisecond
	// responseTimeout bounds that wait later. With streamIdleTimeout, after which a silent stream is polled again, it is within
	// these 4 s, too.
	responseTimeout = 2200 * time.Millisecond
	// slowResponseTimeout bounds that wait for a watch that may be slow.
	slowResponseTimeout = 8500 * time.Millisecond
)

// responseWait decides how long a poll waits for its response. A watch that did not answer in time may be slow, or may never
// answer that poll: the next one waits longer, and the one after that not, so that a watch of either kind is heard. While
// responses come late, all polls wait longer. The zero value is that of a new address.
type responseWait struct {
	polled    bool // a response came, or a poll was given up
	mayBeSlow bool
}

func (w *responseWait) timeout() time.Duration {
	switch {
	case w.mayBeSlow:
		return slowResponseTimeout
	case w.polled:
		return responseTimeout
	}
	return freshResponseTimeout
}

// answered records the time that a response took.
func (w *responseWait) answered(took time.Duration) {
	w.polled, w.mayBeSlow = true, took > responseTimeout
}

// expired records a poll that was not answered in time.
func (w *responseWait) expired() { w.polled, w.mayBeSlow = true, !w.mayBeSlow }
