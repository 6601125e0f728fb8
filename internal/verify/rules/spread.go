package rules

import (
	"time"

	"forkhead"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

// domainNames are the words for domains in the texts of breaches.
var domainNames = [...]string{
	forkhead.AnyDomain:     "place",
	forkhead.MachineDomain: "host",
	forkhead.CellDomain:    "rack",
	forkhead.ZoneDomain:    "zone",
}

// checkSpreads checks, at each offer that came to a host, how many tasks of its service its placer has in the host's domain.
func (c *checker) checkSpreads() {
	for _, a := range c.trace.attempts {
		class := c.config.Classes[a.class]
		if class.SpreadDomain == forkhead.AnyDomain || a.judgedAtPlacer {
			continue
		}
		count := 1
		for _, other := range c.trace.byService[a.service] {
			if other != a && c.trace.locations.sameDomain(class.SpreadDomain, other.host, a.host) && c.counts(other, a) {
				count++
			}
		}
		if count > class.MaxPerDomain {
			c.breach(invariant.Spread, a.offeredAt, "%s was offered to %s as number %d of its service in one %v, of at most %d",
				a.name, a.host, count, domainNames[class.SpreadDomain], class.MaxPerDomain)
		}
	}
}

// counts reports whether the placer that sent a certainly still has another attempt at that time.
func (c *checker) counts(other, a *attempt) bool {
	if other.sender.placer != a.sender.placer || other.offeredAt > a.offeredAt {
		return false
	}
	slack := a.offeredAt + c.config.MaxTransit
	for _, at := range []time.Duration{other.endedAt, other.hostDownAt, other.withdrawnAt} {
		if happenedBy(at, slack) {
			return false
		}
	}
	if other.placerEpoch != a.placerEpoch {
		return c.wasReportedTo(other, a)
	}
	if happenedBy(other.disconnectedAt, slack) {
		// An attempt whose answer was lost with its connection is over (reset) and counts no more; so is one whose message that
		// it is bound was still on its way. A bound one counts until it is lost.
		boundBefore := happenedBy(other.boundAt, other.disconnectedAt-c.config.MaxTransit)
		return boundBefore && !happenedBy(other.disconnectedAt+c.config.LostAfter, slack)
	}
	return true
}

// wasReportedTo reports whether a host reported an attempt of an earlier incarnation to the one that sent a, which counts it
// from then on. What ended while no incarnation was there to be notified is not reported in a handshake, and its end to nobody.
func (c *checker) wasReportedTo(earlier, a *attempt) bool {
	successor := incarnation{a.sender.placer, a.placerEpoch}
	for _, handshake := range c.trace.holds[earlier.attemptID] {
		if handshake.placer == successor && handshake.at+c.config.MaxTransit <= a.offeredAt {
			return true
		}
	}
	return false
}

// checkSentSpread checks an offer against the tasks of its service that its placer has in the host's domain.
func (c *checker) checkSentSpread(view *placerView, offer *capture.Event, class Class) {
	if class.SpreadDomain == forkhead.AnyDomain {
		return
	}
	count := 1
	for _, other := range view.byService[offer.Service] {
		if c.trace.locations.sameDomain(class.SpreadDomain, other.host, offer.Host) && c.countsAtPlacer(other, offer.At) {
			count++
		}
	}
	if count > class.MaxPerDomain {
		c.breach(invariant.Spread, offer.At, "placer %d sent %s to %s as number %d of its service in one %v, of at most %d",
			offer.Placer, offer.Name, offer.Host, count, domainNames[class.SpreadDomain], class.MaxPerDomain)
	}
}

// countsAtPlacer reports whether the placer has placed an attempt, or is placing it.
func (c *checker) countsAtPlacer(a *sentAttempt, now time.Duration) bool {
	switch a.state {
	case awaitingAnswer, bound:
		return true
	case unreachable:
		// Only what may be started again without harm is given up by time alone.
		return c.config.Classes[a.class].Effect != forkhead.Safe || now < a.unreachableSince+c.config.LostAfter
	}
	return false
}
