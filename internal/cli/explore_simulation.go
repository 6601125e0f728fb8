package cli

import (
	"context"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"

	"forkhead/internal/verify/simulation"
)

// runsPerProgress is the number of simulated runs after which their count is written to standard error.
const runsPerProgress = 1000

// simulationResult is the line of all simulated runs.
type simulationResult struct {
	Failed []string `json:"failed"`
	From   uint64   `json:"from"`  // seed of the first run
	Runs   int64    `json:"lives"` // of all mixes
}

// simulate runs the simulation with n seeds from firstSeed on, of each mix of work once, on all processors.
func (a *app) simulate(ctx context.Context, firstSeed uint64, n int) error {
	failed, done := a.simulateSeeds(ctx, firstSeed, n)
	runs := done * int64(len(simulation.Mixes))
	if a.wantsJSON() {
		if err := a.writeJSON(simulationResult{Failed: append([]string{}, failed...), From: firstSeed, Runs: runs}); err != nil {
			return err
		}
	} else {
		for _, failure := range failed {
			a.println(failure)
		}
		a.printf("%d lives, %d went wrong\n", runs, len(failed))
	}
	if len(failed) > 0 {
		return errNo
	}
	return ctx.Err()
}

// simulateSeeds returns the failures in order, and the number of seeds that were run before ctx ended.
func (a *app) simulateSeeds(ctx context.Context, firstSeed uint64, n int) (failed []string, seeds int64) {
	var next, done atomic.Int64
	var mu sync.Mutex // guards failed
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := next.Add(1) - 1; i < int64(n) && ctx.Err() == nil; i = next.Add(1) - 1 {
				for _, mix := range simulation.Mixes {
					if err := simulation.CheckRandom(mix, firstSeed+uint64(i)); err != nil {
						mu.Lock()
						failed = append(failed, mix.Name+" "+err.Error())
						mu.Unlock()
					}
				}
				if d := done.Add(1); d%runsPerProgress == 0 {
					a.warnf("%d lives\n", d)
				}
			}
		})
	}
	workers.Wait()
	slices.Sort(failed)
	return failed, done.Load()
}
