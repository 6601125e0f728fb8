package rules

import (
	"time"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

// Outcomes that a client may read.
const (
	outcomePlaced   = "placed"
	outcomeRejected = "refused"
	outcomeFailed   = "failed"
)

// decisionTolerance is the time after a submission's timeout within which the placer may still decide an outcome, by
// the placer's clock. It covers the rounding of times.
const decisionTolerance = time.Millisecond

// submission is a client's submission of tasks.
type submission struct {
	name    string
	placer  int
	count   int           // number of tasks
	timeout time.Duration // time from the submission until an outcome is due

	submittedAt     time.Duration
	lastSubmittedAt time.Duration // time of the latest submission
	disconnectedAt  time.Duration // time at which the stream of outcomes last broke; 0: never
	receivedAt      time.Duration // time at which the placer read the submission, by its clock; 0: not captured

	outcomes map[string]string // outcomes that the client has read, by the task's name; filled by checkOutcome
}

// dueAt returns the time at which the outcomes of the tasks are due.
func (s *submission) dueAt() time.Duration { return s.submittedAt + s.timeout }

// checkAnswers checks that the client of each task read exactly one outcome in time, and counts every task in the
// verdict's accounts.
func (c *checker) checkAnswers() {
	end := time.Duration(0)
	for i := range c.trace.events {
		e := &c.trace.events[i]
		end = e.At
		if e.Type == capture.Outcome {
			c.checkOutcome(e)
		}
	}
	for _, s := range c.trace.submissions {
		c.accountForTasks(s, end)
	}
}

// checkOutcome checks an outcome that a client read.
func (c *checker) checkOutcome(e *capture.Event) {
	s := c.trace.byName[e.Submission]
	if s == nil {
		c.breach(invariant.OneAnswer, e.At, "an outcome of %s was read for submission %s, which was never made", e.Name, e.Submission)
		return
	}
	repeatable := c.mayReadAgain(s, e.At)
	if before, ok := s.outcomes[e.Name]; ok {
		if before != e.Result || !repeatable {
			// Stored verdicts hold this text, so that it must not change.
			c.breach(invariant.OneAnswer, e.At, "%s of submission %s was told %s and then %s", e.Name, e.Submission, before, e.Result)
		}
		return
	}
	s.outcomes[e.Name] = e.Result
	c.verdict.Outcomes[e.Result]++
	switch e.Result {
	case outcomePlaced, outcomeRejected, outcomeFailed:
	default:
		c.breach(invariant.OneAnswer, e.At, "%s of submission %s got the unknown outcome %q", e.Name, e.Submission, e.Result)
	}
	if !repeatable {
		c.checkDelivery(s, e)
	}
	c.checkDecisionTime(s, e)
}

// mayReadAgain reports whether, at a given time, a client may read an outcome again or read it late. Both are allowed
// after the stream of outcomes broke. If placers keep accepted requests over a restart, both are also allowed if the
// placer was down since the submission.
func (c *checker) mayReadAgain(s *submission, at time.Duration) bool {
	return happenedBy(s.disconnectedAt, at) || c.config.Durable && c.trace.placers[s.placer].wasDown(s.submittedAt, at)
}

// checkDelivery checks that a client read an outcome at most Config.MaxOutcomeDelay after it was due. If the outcome
// was decided after it was due, and the capture has the time at which the placer received the submission, the delay is
// counted from the decision instead; checkDecisionTime checks whether the decision was in time.
func (c *checker) checkDelivery(s *submission, e *capture.Event) {
	since := s.dueAt()
	if s.receivedAt > 0 {
		since = max(since, s.receivedAt+e.Took)
	}
	late := e.At - since
	// A stalled process delivers no outcome, so the time for which it was stalled does not count.
	if late > c.config.MaxOutcomeDelay && late-c.trace.stalledFor(since, e.At) > c.config.MaxOutcomeDelay {
		c.breach(invariant.OneAnswer, e.At, "the outcome of %s of submission %s was read %v after it was due",
			e.Name, e.Submission, late.Round(time.Millisecond))
	}
}

// checkDecisionTime checks that the placer decided an outcome within the submission's timeout by its own clock. Only a
// step that ran late, or the placer's death, excuses a late decision.
func (c *checker) checkDecisionTime(s *submission, e *capture.Event) {
	if s.receivedAt <= 0 || e.Took <= s.timeout+decisionTolerance {
		return
	}
	due := s.receivedAt + s.timeout
	if !c.trace.hasOverdueStep(s.placer, due) && !c.trace.placers[s.placer].wasDown(due, due) {
		c.breach(invariant.OneAnswer, e.At, "the outcome of %s of submission %s was decided %v after its timeout",
			e.Name, e.Submission, e.Took-s.timeout)
	}
}

// accountForTasks adds the tasks of a submission to the verdict's accounts. end is the time at which the capture ends.
func (c *checker) accountForTasks(s *submission, end time.Duration) {
	accounts := &c.verdict.Accounts
	c.verdict.Tasks += s.count
	answered := len(s.outcomes)
	accounts.Answered += min(s.count, answered)
	missing := s.count - answered
	switch {
	case missing < 0:
		c.breach(invariant.OneAnswer, end, "submission %s has %d tasks, but outcomes of %d tasks were read", s.name, s.count, answered)
	case missing == 0:
	case !c.config.Durable && c.trace.placers[s.placer].diedWithin(s.submittedAt, s.dueAt()):
		// When a placer dies, clients submit again the tasks that the placer had. A death after the outcome was due
		// excuses no missing outcome.
		accounts.PlacerDied += missing
	case s.disconnectedAt > s.lastSubmittedAt:
		accounts.Disconnected += missing
	case end <= s.dueAt()+c.config.MaxOutcomeDelay:
		accounts.NotDue += missing
	default:
		accounts.Unanswered += missing
		c.breach(invariant.OneAnswer, end, "no outcome was read of %d of the %d tasks of submission %s", missing, s.count, s.name)
	}
}

// checkOffersCaptured checks the capture at the sockets of each placer, if there is one: it must have each offer of the
// placer that reached a host. An offer that is missing there would escape the checks of the placers' views.
func (c *checker) checkOffersCaptured(views map[incarnation]*placerView) {
	for _, a := range c.trace.attempts {
		view := views[a.sender]
		if view != nil && !view.hasSent(a.attemptID) {
			c.breach(invariant.OneAnswer, a.offeredAt, "an offer of %s reached %s, but the capture at placer %d does not have it",
				a.name, a.host, a.sender.placer)
		}
	}
}
