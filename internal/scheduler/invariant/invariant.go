// Package invariant checks four of the scheduler's five rules, and Fit, on what the module decides, before anything is
// sent: it reports whether an offer or an answer would break one. The module keeps the rules by itself, so a violation is a
// defect; the caller vetoes the action, counts it and logs it. The fifth rule, SlowStart, binds all placers together and
// is checked afterwards, on captured traffic, by package verify/rules.
package invariant

import (
	"errors"

	"forkhead/internal/scheduler/attempt"
)

// Rule is a rule that an action can violate.
type Rule uint8

// The rules.
const (
	OneAnswer Rule = iota // a request has exactly one answer: placed, rejected or failed, in time
	NoRepeat              // what may have started is sent again only as its class allows
	Drain                 // nothing is sent to a host that drains or is removed, once the grace is over
	SlowStart             // all placers together do not overload a host that has just started; not checked by CheckOffer
	Spread                // a domain has no more tasks of a service than the spread limit
	Fit                   // the host can run the task; not one of the five, yet always required
	RuleCount
)

// ruleNames are the names in the status of a placer (vetoes_by_rule) and in its log; they stay as they are where a
// constant is renamed.
var ruleNames = [RuleCount]string{"one_answer", "no_repeat", "drain", "cold", "spread", "fit"}

// String returns the rule's name in status and log.
func (r Rule) String() string { return ruleNames[r] }

// Violation is the error of an action that would violate a rule.
type Violation struct {
	Rule   Rule
	Reason string
}

// Error returns the rule and the reason.
func (v *Violation) Error() string { return v.Rule.String() + ": " + v.Reason }

// CheckAnswer returns the violation of answering a request with a rejection, or else with a failure; nil if there is none.
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
