package cli

import (
	"context"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"

	"forkhead/internal/verify/simulation"
)

// seedsPerProgress is the number of seeds between two progress lines on standard error. Each seed is used for one run
// with each mix of work.
const seedsPerProgress = 1000

// simulationResult is the JSON output of explore --lives.
type simulationResult struct {
	Failed []string `json:"failed"` // for each run that failed, the mix of work, the seed and the failed check
	From   uint64   `json:"from"`   // seed of the first run
	Runs   int64    `json:"lives"`  // number of runs, summed over all mixes of work
}

// simulate runs the simulation with n seeds from firstSeed on, once with each mix of work, on all processors. It returns
// errNegativeResult if a run failed.
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
		a.printf("%d runs, %d failed\n", runs, len(failed))
	}
	if len(failed) > 0 {
		return errNegativeResult
	}
	return ctx.Err()
}

// simulateSeeds runs the simulation with n seeds from firstSeed on. It returns the failures in sorted order, and how
// many seeds were completed, which is fewer than n if ctx ended.
func (a *app) simulateSeeds(ctx context.Context, firstSeed uint64, n int) (failed []string, seeds int64) {
	var next, done atomic.Int64
	var mu sync.Mutex // protects the list failed
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
				if d := done.Add(1); d%seedsPerProgress == 0 {
					a.warnf("%d seeds done\n", d)
				}
			}
		})
	}
	workers.Wait()
	slices.Sort(failed)
	return failed, done.Load()
}
