package cli

import (
	"context"
	"fmt"
	"os"
	"strconv"

	"forkhead/internal/verify/chaos"
	"forkhead/internal/verify/scenario"
)

// repeatChaos runs a scenario f.runs times, each time in its own process. It returns errNegativeResult if a rule was
// broken or an action vetoed in any run.
func (a *app) repeatChaos(ctx context.Context, s *scenario.Scenario, f *chaosFlags) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	r := chaos.Repeat{
		Runs: f.runs, Parallel: f.parallel, Seed: s.Seed, BusyLoops: f.busyLoops, MaxStop: f.maxStop,
		Command: func(seed int) []string { return f.runCommand(program, seed) },
		OnDone:  a.writeRepeatedRun,
	}
	totals := r.Run(ctx)
	if err := a.writeRepeatTotals(totals); err != nil {
		return err
	}
	switch {
	case totals.Broken > 0:
		return errNegativeResult
	case totals.Failed > 0 || ctx.Err() != nil:
		return fmt.Errorf("%d of %d runs did not complete", totals.Failed+f.runs-totals.Runs, f.runs)
	}
	return nil
}

// runCommand returns the command line of the process for one run.
func (f *chaosFlags) runCommand(program string, seed int) []string {
	command := []string{program, "chaos", "--output", formatJSON, "--log", "error", "--seed", strconv.Itoa(seed)}
	if f.breachFolder != "" {
		command = append(command, "--record-on-breach", f.breachFolder)
	}
	if f.scenarioArg != "" {
		command = append(command, f.scenarioArg)
	}
	return command
}

func (a *app) writeRepeatedRun(run chaos.ProcessResult) {
	if a.wantsJSON() {
		_ = a.writeJSON(run) // a write error recurs when the totals are written, and is returned there
		return
	}
	a.printf("seed %d: exit code %d, %d breaches reported %s\n", run.Seed, run.ExitCode, len(run.Breaches), run.Error)
}

func (a *app) writeRepeatTotals(t chaos.Totals) error {
	if a.wantsJSON() {
		return a.writeJSON(t)
	}
	_, err := fmt.Fprintf(a.out, "%d runs, %d with breaches or vetoes, %d incomplete; %d tasks, %d offers; %d breaches, %d vetoes, %d defects\n",
		t.Runs, t.Broken, t.Failed, t.Tasks, t.Offers, t.Breaches, t.Vetoes, t.Defects)
	return err
}
