package nodechaos_test

import (
	"fmt"
	"testing"

	"forkhead/internal/seedtest"
	"forkhead/internal/verify/nodechaos"
)

// soakSeeds are the seeds of the soaks. A run takes 20 s or 24 s.
var soakSeeds = seedtest.Seeds{First: 1, Count: 8, FirstVariable: "FORKHEAD_SOAK_SEED", CountVariable: "FORKHEAD_SOAK_COUNT"}

// Runs with drawn faults and signals break no rule.
func TestSoak(t *testing.T) { runSoak(t, nodechaos.Draw) }

// Runs in which hosts are lost and something still answers at their addresses break no rule.
func TestSoakLostHosts(t *testing.T) { runSoak(t, nodechaos.DrawLostHosts) }

func runSoak(t *testing.T, draw func(seed uint64) nodechaos.Plan) {
	t.Helper()
	first, end := soakSeeds.Range(t)
	for seed := first; seed < end; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			plan := draw(uint64(seed))
			runPlan(t, &plan)
		})
	}
}
