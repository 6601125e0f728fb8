package nodechaos_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"forkhead/internal/verify/nodechaos"
)

// Variables that choose the seeds of TestSoak: the first seed and their number.
const (
	soakSeedVariable  = "FORKHEAD_SOAK_SEED"
	soakCountVariable = "FORKHEAD_SOAK_COUNT"
)

// The soak in CI: seeds and the number of runs at once are fixed, and a run takes 20 s.
const (
	defaultSoakSeed  = 1
	defaultSoakCount = 8
)

// Runs with drawn faults and signals break no rule.
func TestSoak(t *testing.T) { runSoak(t, nodechaos.Draw) }

// Runs in which hosts are lost and something still answers at their addresses break no rule.
func TestSoakLostHosts(t *testing.T) { runSoak(t, nodechaos.DrawLostHosts) }

func runSoak(t *testing.T, draw func(seed uint64) nodechaos.Plan) {
	t.Helper()
	first, count := intVariable(t, soakSeedVariable, defaultSoakSeed), intVariable(t, soakCountVariable, defaultSoakCount)
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			plan := draw(uint64(seed))
			runPlan(t, &plan)
		})
	}
}

func intVariable(t *testing.T, name string, ifUnset int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return ifUnset
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}
