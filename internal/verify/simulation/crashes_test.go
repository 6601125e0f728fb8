package simulation

import (
	"fmt"
	"testing"
)

// A placer that crashes at any crash point of its steps, or during recovery, must restore every submission that it
// acknowledged.
func TestRunDurableKeepsAcknowledgedSubmissions(t *testing.T) {
	var all CrashCounts
	for seed := range 15 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := RunDurable(t, uint64(seed))
			all.BeforeCommit, all.AfterCommit, all.AfterHalfOutputs = all.BeforeCommit+c.BeforeCommit, all.AfterCommit+c.AfterCommit, all.AfterHalfOutputs+c.AfterHalfOutputs
			all.BetweenSteps, all.DuringRecovery = all.BetweenSteps+c.BetweenSteps, all.DuringRecovery+c.DuringRecovery
		})
	}
	if min(all.BeforeCommit, all.AfterCommit, all.AfterHalfOutputs, all.BetweenSteps, all.DuringRecovery) < 5 {
		t.Errorf("RunDurable over all seeds: got crashes %+v, want at least 5 of each kind", all)
	}
	t.Logf("crashes: %+v", all)
}
