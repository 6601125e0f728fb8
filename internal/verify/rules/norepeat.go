package rules

import (
	"time"

	"forkhead"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

// checkRepeats checks each offer that reached a host against the earlier attempts of its task.
func (c *checker) checkRepeats() {
	for _, a := range c.trace.attempts {
		class, known := c.config.Classes[a.class]
		if !known {
			c.breach(invariant.NoRepeat, a.offeredAt, "%s has the unknown class %q", a.name, a.class)
			continue
		}
		c.checkRepeat(a, class)
	}
}

func (c *checker) checkRepeat(a *attempt, class Class) {
	var first *attempt // first attempt that may have run
	for _, earlier := range c.trace.byKey[a.key] {
		if !c.mayHaveRun(earlier, a) {
			continue
		}
		if !c.config.ParallelAttempts && c.awaitsAnswer(earlier, a) {
			c.breach(invariant.NoRepeat, a.offeredAt, "%s was offered to %s while its attempt at %s was unanswered", a.name, a.host, earlier.host)
			continue
		}
		if first == nil {
			first = earlier
		}
		switch {
		case class.Effect == forkhead.Unsafe:
			c.breach(invariant.NoRepeat, a.offeredAt, "unsafe task %s was offered to %s although its attempt at %s may have run",
				a.name, a.host, earlier.host)
		case class.Effect == forkhead.Safe: // repeating a safe task is harmless
		case !c.trace.locations.sameDomain(class.DedupDomain, earlier.host, a.host):
			c.breach(invariant.NoRepeat, a.offeredAt, "keyed task %s was offered to %s, outside the deduplication domain of %s, where it may have run",
				a.name, a.host, earlier.host)
		case a.offeredAt > first.offeredAt+class.DedupWindow+c.config.MaxTransit:
			c.breach(invariant.NoRepeat, a.offeredAt, "keyed task %s was offered to %s %v after the first attempt that may have run, at %s",
				a.name, a.host, a.offeredAt-first.offeredAt, first.host)
		}
	}
}

// mayHaveRun reports whether the first of two attempts of a task precedes the second and may run or have run, as far as
// the placer could know when it sent the second. If one incarnation of a placer sent both and its sockets were
// captured, the result is false, because checkSentRepeat compares these attempts.
func (c *checker) mayHaveRun(earlier, a *attempt) bool {
	isEarlier := earlier.offeredAt < a.offeredAt || earlier.offeredAt == a.offeredAt && earlier.number < a.number
	if !isEarlier || happenedBy(earlier.endedAt, a.offeredAt) {
		return false
	}
	if happenedBy(earlier.hostDownAt, a.offeredAt+c.config.MaxTransit) || c.ownerBackoffElapsed(earlier, a) {
		return false
	}
	return !a.checkedAtPlacer || earlier.sender != a.sender
}

// awaitsAnswer reports whether both attempts are from one placer and this placer, when it sent the second, was still
// waiting for the answer to the first on an open connection.
func (c *checker) awaitsAnswer(earlier, a *attempt) bool {
	slack := a.offeredAt + c.config.MaxTransit
	return earlier.sender.placer == a.sender.placer && !happenedBy(earlier.answeredAt, a.offeredAt) &&
		!happenedBy(earlier.withdrawnAt, slack) && !happenedBy(earlier.disconnectedAt, slack)
}

// ownerBackoffElapsed reports whether the placer of an earlier attempt had been dead for the owner's backoff when a
// further attempt was sent. The owner may then request the task again.
func (c *checker) ownerBackoffElapsed(earlier, a *attempt) bool {
	for _, death := range c.trace.placers[earlier.sender.placer].deaths {
		// A host on a stalled machine may read an offer after the death of its placer. A death of the incarnation that
		// sent the offer therefore counts even if the offer was read later.
		applies := death.at >= earlier.offeredAt || death.epoch != 0 && death.epoch == earlier.sender.epoch
		if applies && death.at+c.config.OwnerBackoff <= a.offeredAt+c.config.MaxTransit {
			return true
		}
	}
	return false
}

// checkSentRepeat checks an offer against the earlier attempts of its task that its placer knew of.
func (c *checker) checkSentRepeat(view *placerView, offer *capture.Event, class Class) {
	mayHaveRun := false
	var firstSentAt time.Duration
	for _, earlier := range view.byKey[offer.Key] {
		if earlier.state == finished {
			continue
		}
		if earlier.state == awaitingAnswer && !c.config.ParallelAttempts {
			c.breach(invariant.NoRepeat, offer.At, "placer %d sent %s to %s while its attempt at %s was unanswered",
				offer.Placer, offer.Name, offer.Host, earlier.host)
			continue
		}
		if !mayHaveRun { // byKey has the attempts in the order in which they were sent
			mayHaveRun, firstSentAt = true, earlier.sentAt
		}
		switch {
		case class.Effect == forkhead.Unsafe:
			c.breach(invariant.NoRepeat, offer.At, "placer %d sent unsafe task %s to %s although its attempt at %s may have run",
				offer.Placer, offer.Name, offer.Host, earlier.host)
		case class.Effect == forkhead.Keyed && !c.trace.locations.sameDomain(class.DedupDomain, earlier.host, offer.Host):
			c.breach(invariant.NoRepeat, offer.At, "placer %d sent keyed task %s to %s, outside the deduplication domain of %s, where it may have run",
				offer.Placer, offer.Name, offer.Host, earlier.host)
		}
	}
	if class.Effect == forkhead.Keyed && mayHaveRun && offer.At > firstSentAt+class.DedupWindow {
		c.breach(invariant.NoRepeat, offer.At, "placer %d sent keyed task %s to %s %v after the first attempt that may have run",
			offer.Placer, offer.Name, offer.Host, offer.At-firstSentAt)
	}
}
