package rules

import (
	"testing"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

func TestVerdictIsOKOnlyWithoutBreaches(t *testing.T) {
	if v := (Verdict{}); !v.OK() {
		t.Error("OK of a verdict without breaches = false, want true")
	}
	for rule := range invariant.RuleCount {
		var v Verdict
		v.Counts[rule] = 1
		if v.OK() {
			t.Errorf("OK of a verdict with a breach of rule %v = true, want false", rule)
		}
	}
}

// A verdict counts all breaches and lists the first 50.
func TestVerdictCountsAllBreachesAndListsTheFirst(t *testing.T) {
	var events []capture.Event
	for range 51 {
		events = append(events, capture.Event{At: 10 * ms, Type: capture.Overloaded, Host: "a"})
	}
	for _, c := range []struct{ count, listed int }{{49, 49}, {50, 50}, {51, 50}} {
		v := Check(events[:c.count], testConfig())
		if v.Counts[invariant.SlowStart] != c.count || len(v.Breaches) != c.listed {
			t.Errorf("Check of a trace with %d breaches: %d counted and %d listed, want %d counted and %d listed",
				c.count, v.Counts[invariant.SlowStart], len(v.Breaches), c.count, c.listed)
		}
	}
}
