// Package invariant checks decisions of the module before anything is sent: whether an offer or an answer would violate
// Fit or one of the scheduler's five rules other than SlowStart. The module follows the rules by itself, so a violation
// is a defect; the caller vetoes the action, counts it and logs it. SlowStart applies to all placers together and is
// checked afterwards, on captured traffic, by package verify/rules.
package invariant

import (
	"errors"

	"forkhead/internal/scheduler/attempt"
)

// Rule is a rule that an action can violate.
type Rule uint8

// The rules.
const (
	OneAnswer Rule = iota // a request has exactly one answer (placed, rejected or failed), and gets it in time
	NoRepeat              // a task that may have started is offered again only as its class allows
	Drain                 // no offer is sent to a host that drains or is removed, once the grace period is over
	SlowStart             // all placers together do not overload a host that just started; not checked by this package
	Spread                // a domain has no more tasks of a service than the spread limit
	Fit                   // the host can run the task; not one of the five rules, but always required
	RuleCount             // number of rules
)

// ruleNames holds the names used in a placer's status (vetoes_by_rule) and log. A name stays the same when its constant
// is renamed.
var ruleNames = [RuleCount]string{"one_answer", "no_repeat", "drain", "cold", "spread", "fit"}

// String returns the rule's name in the status and log of a placer.
func (r Rule) String() string { return ruleNames[r] }

// Violation is the error for an action that would violate a rule. Logs and recorded runs contain the texts of Reason.
type Violation struct {
	Rule   Rule
	Reason string
}

// Error returns the name of the rule and the reason.
func (v *Violation) Error() string { return v.Rule.String() + ": " + v.Reason }

// CheckAnswer returns the violation that answering a request would cause, with a rejection if reject is true and with a
// failure otherwise. It returns nil if there is none.
func CheckAnswer(r *attempt.Request, reject bool) *Violation {
	err := r.MayAnswer(reject)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, attempt.ErrRejectionUnsafe):
		return &Violation{Rule: NoRepeat, Reason: err.Error()}
	}
	return &Violation{Rule: OneAnswer, Reason: err.Error()}
}
