package rules

import (
	"testing"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

func TestVerdictOK(t *testing.T) {
	if v := (Verdict{}); !v.OK() {
		t.Error("no breach is not OK")
	}
	for rule := range invariant.RuleCount {
		var v Verdict
		v.Counts[rule] = 1
		if v.OK() {
			t.Errorf("a breach of %v is OK", rule)
		}
	}
}

// A verdict counts all breaches, and lists the first of them that it has room for.
func TestBreachesListed(t *testing.T) {
	var events []capture.Event
	for range 51 {
		events = append(events, capture.Event{At: 10 * ms, Type: capture.Overloaded, Host: "a"})
	}
	for _, c := range []struct{ count, listed int }{{49, 49}, {50, 50}, {51, 50}} {
		v := Check(events[:c.count], testConfig())
		if v.Counts[invariant.SlowStart] != c.count || len(v.Breaches) != c.listed {
			t.Errorf("%d breaches: %d counted, %d listed", c.count, v.Counts[invariant.SlowStart], len(v.Breaches))
		}
	}
}
