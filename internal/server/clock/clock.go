// Package clock gives shells the time that cores go by.
package clock

import "time"

// Clock counts time since the Unix epoch, by the wall clock at its start and by the monotonic
// clock since: it never goes back, whatever is done to the wall clock.
type Clock struct {
	base  time.Duration
	start time.Time
}

// New returns a clock that starts now.
func New() *Clock {
	now := time.Now()
	return &Clock{base: time.Duration(now.UnixNano()), start: now}
}

// Now returns the time since the Unix epoch.
func (c *Clock) Now() time.Duration { return c.base + time.Since(c.start) }

// Until returns how long it is until a time, at least 0.
func (c *Clock) Until(t time.Duration) time.Duration { return max(t-c.Now(), 0) }
