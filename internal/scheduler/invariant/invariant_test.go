package invariant

import (
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
)

func TestCheckAnswerReturnsViolatedRule(t *testing.T) {
	unsafe := attempt.Rules{MaxAttempts: 2, Effect: forkhead.Unsafe}
	for name, c := range map[string]struct {
		inputs []attempt.Input // inputs of the request's only attempt
		reject bool
		want   Rule // RuleCount for no violation
	}{
		"failed, unknown":      {[]attempt.Input{attempt.OfferWritten, attempt.ConnectionLost}, false, RuleCount},
		"rejected by the host": {[]attempt.Input{attempt.OfferWritten, attempt.Rejected}, true, RuleCount},
		"rejected, unknown":    {[]attempt.Input{attempt.OfferWritten, attempt.ConnectionLost}, true, NoRepeat},
		"in flight":            {[]attempt.Input{attempt.OfferWritten}, false, OneAnswer},
		"placed":               {[]attempt.Input{attempt.OfferWritten, attempt.Accepted}, false, OneAnswer},
	} {
		r := attempt.Request{Rules: unsafe, Deadline: time.Minute}
		number := r.AddOffer(0, 1)
		for _, in := range c.inputs {
			r.Handle(number, in)
		}
		checkViolation(t, "CheckAnswer: "+name, CheckAnswer(&r, c.reject), c.want)
	}
}

// checkViolation fails the test unless v is a violation of the wanted rule, or nil if that is RuleCount.
func checkViolation(t *testing.T, name string, v *Violation, want Rule) {
	t.Helper()
	switch {
	case want == RuleCount && v != nil:
		t.Errorf("%s: got violation %q, want none", name, v.Error())
	case want != RuleCount && v == nil:
		t.Errorf("%s: got no violation, want one of rule %v", name, want)
	case want != RuleCount && v.Rule != want:
		t.Errorf("%s: got violation %q, want one of rule %v", name, v.Error(), want)
	}
}
