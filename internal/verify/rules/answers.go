package rules

import (
	"time"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

// The outcomes that a client may read.
const (
	outcomePlaced   = "placed"
	outcomeRejected = "refused"
	outcomeFailed   = "failed"
)

// settleTolerance is by how much an outcome may be settled late by its placer's clock: times are rounded in between.
const settleTolerance = time.Millisecond

// submission is a client's submission of tasks.
type submission struct {
	name    string
	placer  int
	count   int           // of tasks
	timeout time.Duration // an outcome is due so long after the submission

	submittedAt    time.Duration
	resubmittedAt  time.Duration // it was submitted last
	disconnectedAt time.Duration // its stream last broke; 0: it didn't
	receivedAt     time.Duration // its placer had read it, by that placer's clock; 0: not noted

	outcomes map[string]string // what the client has read, by task's name; filled by checkOutcome
}

func (s *submission) dueAt() time.Duration { return s.submittedAt + s.timeout }

// checkAnswers checks that the client of each task read exactly one outcome, in time, and accounts for all tasks.
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
		c.account(s, end)
	}
}

// checkOutcome checks an outcome that a client has read.
func (c *checker) checkOutcome(e *capture.Event) {
	s := c.trace.byName[e.Submission]
	if s == nil {
		c.breach(invariant.OneAnswer, e.At, "an outcome for %s of submission %s, which nobody made", e.Name, e.Submission)
		return
	}
	repeatable := c.mayReadAgain(s, e.At)
	if before, ok := s.outcomes[e.Name]; ok {
		if before != e.Result || !repeatable {
			c.breach(invariant.OneAnswer, e.At, "%s of submission %s was told %s and then %s", e.Name, e.Submission, before, e.Result)
		}
		return
	}
	s.outcomes[e.Name] = e.Result
	c.verdict.Outcomes[e.Result]++
	switch e.Result {
	case outcomePlaced, outcomeRejected, outcomeFailed:
	default:
		c.breach(invariant.OneAnswer, e.At, "%s was told %q", e.Name, e.Result)
	}
	if !repeatable {
		c.checkDelivery(s, e)
	}
	c.checkSettled(s, e)
}

// mayReadAgain reports whether a client may read an outcome again, or late, at a time: its stream broke, or its placer
// was down and remembers what it has accepted.
func (c *checker) mayReadAgain(s *submission, at time.Duration) bool {
	return happenedBy(s.disconnectedAt, at) || c.config.Durable && c.trace.placers[s.placer].wasDown(s.submittedAt, at)
}

// checkDelivery checks that an outcome reached its client in time. Where it is noted when the placer received the
// submission, the outcome has Config.MaxOutcomeDelay from when it was settled; whether it was settled in time is up to
// checkSettled.
func (c *checker) checkDelivery(s *submission, e *capture.Event) {
	since := s.dueAt()
	if s.receivedAt > 0 {
		since = max(since, s.receivedAt+e.Took)
	}
	late := e.At - since
	// While the process stood still it delivered nothing.
	if late > c.config.MaxOutcomeDelay && late-c.trace.stalledFor(since, e.At) > c.config.MaxOutcomeDelay {
		c.breach(invariant.OneAnswer, e.At, "%s of submission %s was told %v after its owner gave up",
			e.Name, e.Submission, late.Round(time.Millisecond))
	}
}

// checkSettled checks that the placer settled an outcome in time by its own clock. Nothing but a step that ran late, or its
// death, lets it be late.
func (c *checker) checkSettled(s *submission, e *capture.Event) {
	if s.receivedAt <= 0 || e.Took <= s.timeout+settleTolerance {
		return
	}
	due := s.receivedAt + s.timeout
	if !c.trace.isOverdueAt(s.placer, due) && !c.trace.placers[s.placer].wasDown(due, due) {
		c.breach(invariant.OneAnswer, e.At, "%s of submission %s was settled %v after its owner gave up",
			e.Name, e.Submission, e.Took-s.timeout)
	}
}

// account says what became of the tasks of a submission, in a capture that ends at a time.
func (c *checker) account(s *submission, end time.Duration) {
	accounts := &c.verdict.Accounts
	c.verdict.Tasks += s.count
	answered := len(s.outcomes)
	accounts.Answered += min(s.count, answered)
	missing := s.count - answered
	switch {
	case missing < 0:
		c.breach(invariant.OneAnswer, end, "submission %s of %d tasks was told %d outcomes", s.name, s.count, answered)
	case missing == 0:
	case !c.config.Durable && c.trace.placers[s.placer].diedWithin(s.submittedAt, s.dueAt()):
		// The client submits again what its placer had when it died. A death after the outcome was due excuses nothing.
		accounts.PlacerDied += missing
	case s.disconnectedAt > s.resubmittedAt:
		accounts.Disconnected += missing
	case end <= s.dueAt()+c.config.MaxOutcomeDelay:
		accounts.NotDue += missing
	default:
		accounts.Unanswered += missing
		c.breach(invariant.OneAnswer, end, "%d of %d tasks of submission %s were never told an outcome", missing, s.count, s.name)
	}
}

// checkOffersNoted checks that each offer that came to a host is one that its placer noted: no offer escapes what is judged
// by the placers' views.
func (c *checker) checkOffersNoted(views map[incarnation]*placerView) {
	for _, a := range c.trace.attempts {
		view := views[a.sender]
		if view != nil && !view.hasSent(a.attemptID) {
			c.breach(invariant.OneAnswer, a.offeredAt, "%s came to %s, and placer %d did not note that it sent it",
				a.name, a.host, a.sender.placer)
		}
	}
}
