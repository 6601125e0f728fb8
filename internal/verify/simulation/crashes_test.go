package simulation

import (
	"fmt"
	"testing"
)

// A placer that is killed at each point of its steps, and while it recovers, forgets nothing that it acknowledged.
func TestDurableRuns(t *testing.T) {
	var all CrashCounts
	for seed := range 15 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := RunDurable(t, uint64(seed))
			all.BeforeCommit, all.AfterCommit, all.AfterHalfOutputs = all.BeforeCommit+c.BeforeCommit, all.AfterCommit+c.AfterCommit, all.AfterHalfOutputs+c.AfterHalfOutputs
			all.BetweenSteps, all.DuringRecovery = all.BetweenSteps+c.BetweenSteps, all.DuringRecovery+c.DuringRecovery
		})
	}
	if min(all.BeforeCommit, all.AfterCommit, all.AfterHalfOutputs, all.BetweenSteps, all.DuringRecovery) < 5 {
		t.Errorf("hardly any crashes prove nothing: %+v", all)
	}
	t.Logf("%+v", all)
}
