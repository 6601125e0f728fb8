package rules

import (
	"slices"
	"time"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

// hostIncarnation is the current incarnation of a host.
type hostIncarnation struct {
	startedAt time.Duration
	warmingUp bool
	offeredAt []time.Duration // times of the offers in the window that ends at the latest offer
}

// checkSlowStarts checks, for each host that is warming up, that all placers together did not offer it more tasks than
// the limit, and that the host did not crash from overload.
func (c *checker) checkSlowStarts() {
	hosts := map[string]*hostIncarnation{}
	for i := range c.trace.events {
		e := &c.trace.events[i]
		switch e.Type {
		case capture.HostUp:
			hosts[e.Host] = &hostIncarnation{startedAt: e.At, warmingUp: e.WarmingUp}
		case capture.Overloaded:
			c.breach(invariant.SlowStart, e.At, "host %s crashed from too many offers while it was warming up", e.Host)
		case capture.Offer:
			if host := hosts[e.Host]; host != nil && host.warmingUp {
				c.checkSlowStart(host, e)
			}
		}
	}
}

func (c *checker) checkSlowStart(host *hostIncarnation, offer *capture.Event) {
	age := offer.At - host.startedAt
	if age >= c.config.SlowStartDuration {
		return
	}
	window := c.config.SlowStartWindow
	beforeWindow := func(at time.Duration) bool { return at <= offer.At-window }
	host.offeredAt = slices.DeleteFunc(append(host.offeredAt, offer.At), beforeWindow)
	if count, limit := len(host.offeredAt), c.slowStartLimit(age); float64(count) > limit {
		c.breach(invariant.SlowStart, offer.At, "host %s, up for %v, was offered %d tasks within %v; the limit is %.0f",
			offer.Host, age.Round(time.Millisecond), count, window, limit)
	}
}

// slowStartLimit returns the number of offers that are allowed in a window to a host. The host's age is the time since
// its start and is below SlowStartDuration. The rate at which the host starts tasks grows linearly with its age.
func (c *checker) slowStartLimit(age time.Duration) float64 {
	initial := c.config.SlowStartInitialRate
	rate := c.config.WarmStartRate * (initial + (1-initial)*float64(age)/float64(c.config.SlowStartDuration))
	return max(c.config.SlowStartMaxOffers, c.config.SlowStartOverload*rate*c.config.SlowStartWindow.Seconds())
}
