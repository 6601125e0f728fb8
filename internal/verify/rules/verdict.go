package rules

import (
	"time"

	"forkhead/internal/scheduler/invariant"
)

// maxBreaches is the most breaches that a verdict lists; it counts all of them.
const maxBreaches = 50

// Breach is one breach of a rule. Its fields are stored under their Go names.
type Breach struct {
	Rule invariant.Rule
	At   time.Duration // by the clock of the capture
	Text string
}

// Verdict is what a capture shows.
type Verdict struct {
	Counts           [invariant.RuleCount]int // breaches of each rule
	Breaches         []Breach                 // by time; at most maxBreaches
	Tasks            int                      // tasks that were submitted
	Accounts         Accounts                 // what became of them
	Outcomes         map[string]int           // outcomes that clients read, by their kind
	Offers           int                      // offers that hosts read
	Rejected         int                      // offers that hosts rejected
	HostIncarnations int
}

// OK reports whether no rule was broken.
func (v *Verdict) OK() bool {
	for _, n := range v.Counts {
		if n > 0 {
			return false
		}
	}
	return true
}

// Accounts say what became of each task that was submitted. Their sum is the number of tasks.
type Accounts struct {
	Answered     int `json:"told"`        // its client read an outcome
	PlacerDied   int `json:"placer_dead"` // its placer died before the outcome was due
	Disconnected int `json:"cut"`         // its client's stream broke and the client did not submit again
	NotDue       int `json:"not_due"`     // the capture ends before the outcome was due
	Unanswered   int `json:"forgotten"`   // none of these: a breach
}

// Sum is the number of tasks that are accounted for.
func (a *Accounts) Sum() int {
	return a.Answered + a.PlacerDied + a.Disconnected + a.NotDue + a.Unanswered
}
