package nodechaos_test

import (
	"os"
	"sync"
	"testing"
	"time"

	"forkhead/internal/cli"
	"forkhead/internal/verify/nodechaos"
)

// nodeVariable makes the test program act as `forkhead node`.
const nodeVariable = "FORKHEAD_TEST_RUN_NODE"

func TestMain(m *testing.M) {
	if os.Getenv(nodeVariable) != "" {
		os.Exit(cli.Run([]string{"node", "--log", "info"}, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// startTime is the time that a run needs to start its placers and to fill the services up to their limits. Runs start one
// after another: the emulators of all runs share this process, and their first requests come within 0.3 s.
const startTime = time.Second

var starting sync.Mutex // held while a run starts

// runPlan runs a plan with this test program as the placers, and fails the test if a rule is broken.
func runPlan(t *testing.T, plan *nodechaos.Plan) *nodechaos.Result {
	t.Helper()
	starting.Lock()
	time.AfterFunc(startTime, starting.Unlock)
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	result, err := nodechaos.Run(t.Context(), plan, nodechaos.Options{
		Command: []string{program}, Env: []string{nodeVariable + "=1"}, Folder: t.TempDir(),
	})
	if err != nil {
		t.Fatalf("Run with seed %d: got error %v, want a valid run", plan.Seed, err)
	}
	if len(result.Breaches) > 0 {
		t.Errorf("Run: got breaches, want none:\n%s", result.Text())
	}
	return result
}
