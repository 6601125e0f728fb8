package rules

import (
	"slices"
	"time"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

// startingHost is a host's present incarnation.
type startingHost struct {
	startedAt time.Duration
	warmingUp bool
	offeredAt []time.Duration // in the window that ends at the last offer
}

// checkSlowStarts checks that no host that is warming up was offered more than it bears by all placers together, or fell.
func (c *checker) checkSlowStarts() {
	hosts := map[string]*startingHost{}
	for i := range c.trace.events {
		e := &c.trace.events[i]
		switch e.Type {
		case capture.HostUp:
			hosts[e.Host] = &startingHost{startedAt: e.At, warmingUp: e.WarmingUp}
		case capture.Overloaded:
			c.breach(invariant.SlowStart, e.At, "host %s fell over while cold", e.Host)
		case capture.Offer:
			if host := hosts[e.Host]; host != nil && host.warmingUp {
				c.checkSlowStart(host, e)
			}
		}
	}
}

func (c *checker) checkSlowStart(host *startingHost, offer *capture.Event) {
	age := offer.At - host.startedAt
	if age >= c.config.SlowStartDuration {
		return
	}
	window := c.config.SlowStartWindow
	beforeWindow := func(at time.Duration) bool { return at <= offer.At-window }
	host.offeredAt = slices.DeleteFunc(append(host.offeredAt, offer.At), beforeWindow)
	if count, limit := len(host.offeredAt), c.slowStartLimit(age); float64(count) > limit {
		c.breach(invariant.SlowStart, offer.At, "host %s, up for %v, was offered %d tasks within %v; it bears %.0f",
			offer.Host, age.Round(time.Millisecond), count, window, limit)
	}
}

// slowStartLimit is how many offers in a window a host bears at an age below SlowStartDuration. The tasks that it starts a
// second grow evenly with its age.
func (c *checker) slowStartLimit(age time.Duration) float64 {
	initial := c.config.SlowStartInitialRate
	rate := c.config.WarmStartRate * (initial + (1-initial)*float64(age)/float64(c.config.SlowStartDuration))
	return max(c.config.SlowStartMaxOffers, c.config.SlowStartOverload*rate*c.config.SlowStartWindow.Seconds())
}
