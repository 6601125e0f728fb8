package rules

import (
	"time"

	"forkhead/internal/scheduler/invariant"
)

// maxBreaches is the largest number of breaches that a verdict lists. Verdict.Counts has all of them.
const maxBreaches = 50

// Breach is one breach of a rule. Stored verdicts have its fields under their Go names.
type Breach struct {
	Rule invariant.Rule
	At   time.Duration // time of the event, by the clock of the capture
	Text string
}

// Verdict is the result of checking a capture.
type Verdict struct {
	Counts           [invariant.RuleCount]int // breaches by rule
	Breaches         []Breach                 // sorted by time; at most maxBreaches
	Tasks            int                      // tasks that were submitted
	Accounts         Accounts                 // the tasks by what became of them
	Outcomes         map[string]int           // outcomes that clients read, by kind
	Offers           int                      // offers that hosts read
	Rejected         int                      // offers that hosts rejected
	HostIncarnations int
}

// OK reports whether no rule was breached.
func (v *Verdict) OK() bool {
	for _, n := range v.Counts {
		if n > 0 {
			return false
		}
	}
	return true
}

// Accounts counts the submitted tasks by what became of them. The sum of the fields is the number of tasks.
type Accounts struct {
	Answered     int `json:"told"`        // tasks whose client read an outcome
	PlacerDied   int `json:"placer_dead"` // tasks whose placer died before the outcome was due
	Disconnected int `json:"cut"`         // tasks whose client lost the stream and did not submit again
	NotDue       int `json:"not_due"`     // tasks whose outcome was not due before the end of the capture
	Unanswered   int `json:"forgotten"`   // all other tasks, whose missing outcome is a breach
}

// Sum returns the number of tasks that are accounted for.
func (a *Accounts) Sum() int {
	return a.Answered + a.PlacerDied + a.Disconnected + a.NotDue + a.Unanswered
}
