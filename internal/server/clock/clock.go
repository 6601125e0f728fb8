// Package clock gives the shells the time of their cores.
package clock

import (
	"context"
	"time"
)

// Clock counts time since the Unix epoch, by the wall clock at its start and by the monotonic clock since: it never goes
// back, whatever is done to the wall clock. It may be used by several goroutines at once.
type Clock struct {
	startedAt time.Duration // since the Unix epoch, by the wall clock
	start     time.Time     // the same moment, by the monotonic clock
}

// New returns a clock that starts now.
func New() *Clock {
	now := time.Now()
	return &Clock{startedAt: time.Duration(now.UnixNano()), start: now}
}

// Now returns the time since the Unix epoch.
func (c *Clock) Now() time.Duration { return c.startedAt + time.Since(c.start) }

// Until returns how long it is until a time since the Unix epoch: 0 if that is over.
func (c *Clock) Until(t time.Duration) time.Duration { return max(t-c.Now(), 0) }

// Sleep returns nil after a duration, or the context's error as soon as it is canceled. A duration of 0 or below is over
// at once.
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
