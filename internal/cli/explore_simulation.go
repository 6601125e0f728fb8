package cli

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"

	"forkhead/internal/verify/simulation"
)

// lives plays random lives on all processors.
func (a *app) lives(ctx context.Context, from uint64, n int) error {
	var next, done atomic.Int64
	var mu sync.Mutex
	var failed []string
	var wait sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := next.Add(1) - 1; i < int64(n) && ctx.Err() == nil; i = next.Add(1) - 1 {
				for _, mix := range simulation.Mixes {
					if err := simulation.Check(mix, from+uint64(i)); err != nil {
						mu.Lock()
						failed = append(failed, mix.Name+" "+err.Error())
						mu.Unlock()
					}
				}
				if d := done.Add(1); d%1000 == 0 {
					fmt.Fprintf(a.errs, "%d lives\n", d)
				}
			}
		}()
	}
	wait.Wait()
	slices.Sort(failed)
	if a.output == "json" {
		if err := a.json(map[string]any{"lives": done.Load() * int64(len(simulation.Mixes)), "from": from, "failed": append([]string{}, failed...)}); err != nil {
			return err
		}
	} else {
		for _, f := range failed {
			fmt.Fprintln(a.out, f)
		}
		fmt.Fprintf(a.out, "%d lives, %d went wrong\n", done.Load()*int64(len(simulation.Mixes)), len(failed))
	}
	if len(failed) > 0 {
		return errNo
	}
	return ctx.Err()
}
