package rules

import (
	"time"

	"forkhead"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

// domainNames are the names of domains in the texts of breaches.
var domainNames = [...]string{
	forkhead.AnyDomain:     "place",
	forkhead.MachineDomain: "host",
	forkhead.CellDomain:    "rack",
	forkhead.ZoneDomain:    "zone",
}

// checkSpreads checks, for each offer that reached a host, how many tasks of the offered service the placer has in the
// host's domain.
func (c *checker) checkSpreads() {
	for _, a := range c.trace.attempts {
		class := c.config.Classes[a.class]
		if class.SpreadDomain == forkhead.AnyDomain || a.checkedAtPlacer {
			continue
		}
		count := 1
		for _, other := range c.trace.byService[a.service] {
			if other != a && c.trace.locations.sameDomain(class.SpreadDomain, other.host, a.host) && c.countsTowardSpread(other, a) {
				count++
			}
		}
		if count > class.MaxPerDomain {
			c.breach(invariant.Spread, a.offeredAt, "%s was offered to %s as task %d of its service in one %v; the limit is %d",
				a.name, a.host, count, domainNames[class.SpreadDomain], class.MaxPerDomain)
		}
	}
}

// countsTowardSpread reports whether the placer that sent attempt a certainly still had the attempt other when it sent
// a.
func (c *checker) countsTowardSpread(other, a *attempt) bool {
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
		// An attempt whose answer was lost with its connection no longer counts. Neither does an attempt whose host
		// reported it as bound so late that the message may have been in transit when the connection ended. An attempt
		// that the placer knew as bound counts until LostAfter after the end of the connection.
		boundBefore := happenedBy(other.boundAt, other.disconnectedAt-c.config.MaxTransit)
		return boundBefore && !happenedBy(other.disconnectedAt+c.config.LostAfter, slack)
	}
	return true
}

// wasReportedTo reports whether a host had reported an earlier attempt to the incarnation of the placer that sent
// attempt a, by the time at which a was offered. The incarnation counts the earlier attempt from that report on. An
// attempt that ended while no incarnation was connected is not listed in a later handshake, and no placer is notified
// of its end.
func (c *checker) wasReportedTo(earlier, a *attempt) bool {
	successor := incarnation{a.sender.placer, a.placerEpoch}
	for _, handshake := range c.trace.holds[earlier.attemptID] {
		if handshake.placer == successor && handshake.at+c.config.MaxTransit <= a.offeredAt {
			return true
		}
	}
	return false
}

// checkSentSpread checks an offer against the tasks of its service that its placer knows of in the host's domain.
func (c *checker) checkSentSpread(view *placerView, offer *capture.Event, class Class) {
	if class.SpreadDomain == forkhead.AnyDomain {
		return
	}
	count := 1
	for _, other := range view.byService[offer.Service] {
		if c.trace.locations.sameDomain(class.SpreadDomain, other.host, offer.Host) && c.countsTowardSpreadAtPlacer(other, offer.At) {
			count++
		}
	}
	if count > class.MaxPerDomain {
		c.breach(invariant.Spread, offer.At, "placer %d sent %s to %s as task %d of its service in one %v; the limit is %d",
			offer.Placer, offer.Name, offer.Host, count, domainNames[class.SpreadDomain], class.MaxPerDomain)
	}
}

// countsTowardSpreadAtPlacer reports whether an attempt is placed, or being placed, as far as its placer knows.
func (c *checker) countsTowardSpreadAtPlacer(a *sentAttempt, now time.Duration) bool {
	switch a.state {
	case awaitingAnswer, bound:
		return true
	case unreachable:
		// A placer gives up an unreachable attempt after LostAfter only if its task is safe to start again.
		return c.config.Classes[a.class].Effect != forkhead.Safe || now < a.unreachableSince+c.config.LostAfter
	}
	return false
}
