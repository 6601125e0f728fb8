package rules

import (
	"time"

	"forkhead"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

// checkRepeats checks each offer that came to a host against the earlier attempts of its task.
func (c *checker) checkRepeats() {
	for _, a := range c.trace.attempts {
		class, known := c.config.Classes[a.class]
		if !known {
			c.breach(invariant.NoRepeat, a.offeredAt, "%s is of class %q, which is unknown", a.name, a.class)
			continue
		}
		c.checkRepeat(a, class)
	}
}

func (c *checker) checkRepeat(a *attempt, class Class) {
	var first *attempt // that may have run
	for _, earlier := range c.trace.byKey[a.key] {
		if !c.mayHaveRun(earlier, a) {
			continue
		}
		if !c.config.ParallelAttempts && c.awaitsAnswer(earlier, a) {
			c.breach(invariant.NoRepeat, a.offeredAt, "%s was offered to %s while its attempt at %s was out", a.name, a.host, earlier.host)
			continue
		}
		if first == nil {
			first = earlier
		}
		switch {
		case class.Effect == forkhead.Unsafe:
			c.breach(invariant.NoRepeat, a.offeredAt, "%s, unsafe, was offered to %s while its attempt at %s may have run",
				a.name, a.host, earlier.host)
		case class.Effect == forkhead.Safe: // a repeat is harmless
		case !c.trace.locations.sameDomain(class.DedupDomain, earlier.host, a.host):
			c.breach(invariant.NoRepeat, a.offeredAt, "%s, keyed, was offered to %s, outside the group of %s where it may have run",
				a.name, a.host, earlier.host)
		case a.offeredAt > first.offeredAt+class.DedupWindow+c.config.MaxTransit:
			c.breach(invariant.NoRepeat, a.offeredAt, "%s, keyed, was offered to %s %v after it may have run at %s",
				a.name, a.host, a.offeredAt-first.offeredAt, first.host)
		}
	}
}

// mayHaveRun reports whether an attempt is an earlier one, of the same task, that may run or have run for all that the
// placer knew when it sent a.
func (c *checker) mayHaveRun(earlier, a *attempt) bool {
	isEarlier := earlier.offeredAt < a.offeredAt || earlier.offeredAt == a.offeredAt && earlier.number < a.number
	if !isEarlier || happenedBy(earlier.endedAt, a.offeredAt) {
		return false
	}
	if happenedBy(earlier.hostDownAt, a.offeredAt+c.config.MaxTransit) || c.isForgotten(earlier, a) {
		return false
	}
	return !a.judgedAtPlacer || earlier.sender != a.sender
}

// awaitsAnswer reports whether a's placer was still waiting for the answer to its earlier attempt, on a connection that
// stood, when it sent a.
func (c *checker) awaitsAnswer(earlier, a *attempt) bool {
	slack := a.offeredAt + c.config.MaxTransit
	return earlier.sender.placer == a.sender.placer && !happenedBy(earlier.answeredAt, a.offeredAt) &&
		!happenedBy(earlier.withdrawnAt, slack) && !happenedBy(earlier.disconnectedAt, slack)
}

// isForgotten reports whether the placer of an earlier attempt had been dead for the owner's backoff when a was sent: the
// owner may then request the task anew.
func (c *checker) isForgotten(earlier, a *attempt) bool {
	for _, death := range c.trace.placers[earlier.sender.placer].deaths {
		// A host on a stalled machine may read an offer when its placer is dead already: the incarnation that sent it counts,
		// not the time at which it was read.
		concerned := death.at >= earlier.offeredAt || death.epoch != 0 && death.epoch == earlier.sender.epoch
		if concerned && death.at+c.config.OwnerBackoff <= a.offeredAt+c.config.MaxTransit {
			return true
		}
	}
	return false
}

// checkSentRepeat checks an offer against what its placer knew of the task's earlier attempts.
func (c *checker) checkSentRepeat(view *placerView, offer *capture.Event, class Class) {
	mayHaveRun := false
	var firstSentAt time.Duration
	for _, earlier := range view.byKey[offer.Key] {
		if earlier.state == over {
			continue
		}
		if earlier.state == awaitingAnswer && !c.config.ParallelAttempts {
			c.breach(invariant.NoRepeat, offer.At, "placer %d sent %s to %s while its attempt at %s was out",
				offer.Placer, offer.Name, offer.Host, earlier.host)
			continue
		}
		if !mayHaveRun { // they stand in the order in which they were sent
			mayHaveRun, firstSentAt = true, earlier.sentAt
		}
		switch {
		case class.Effect == forkhead.Unsafe:
			c.breach(invariant.NoRepeat, offer.At, "placer %d sent %s, unsafe, to %s while its attempt at %s may have run",
				offer.Placer, offer.Name, offer.Host, earlier.host)
		case class.Effect == forkhead.Keyed && !c.trace.locations.sameDomain(class.DedupDomain, earlier.host, offer.Host):
			c.breach(invariant.NoRepeat, offer.At, "placer %d sent %s, keyed, to %s, outside the group of %s where it may have run",
				offer.Placer, offer.Name, offer.Host, earlier.host)
		}
	}
	if class.Effect == forkhead.Keyed && mayHaveRun && offer.At > firstSentAt+class.DedupWindow {
		c.breach(invariant.NoRepeat, offer.At, "placer %d sent %s, keyed, to %s %v after it may have run",
			offer.Placer, offer.Name, offer.Host, offer.At-firstSentAt)
	}
}
