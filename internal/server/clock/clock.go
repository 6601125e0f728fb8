// Package clock provides the time source of the servers and an interruptible sleep.
package clock

import (
	"context"
	"time"
)

// Clock measures time since the Unix epoch. It reads the wall clock once, when it is created, and advances by the
// monotonic clock from then on: it never goes back, even if the wall clock is set. It is safe for concurrent use.
type Clock struct {
	startedAt time.Duration // wall clock time of creation, since the Unix epoch
	start     time.Time     // time of creation, with its reading of the monotonic clock
}

// New returns a clock that starts at the current wall clock time.
func New() *Clock {
	now := time.Now()
	return &Clock{startedAt: time.Duration(now.UnixNano()), start: now}
}

// Now returns the time since the Unix epoch.
func (c *Clock) Now() time.Duration { return c.startedAt + time.Since(c.start) }

// Until returns the duration until t, which is a time since the Unix epoch, or 0 if t has passed.
func (c *Clock) Until(t time.Duration) time.Duration { return max(t-c.Now(), 0) }

// Sleep waits for d and returns nil, or returns the context's error as soon as ctx is canceled. It does not wait if d
// is 0 or negative.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
