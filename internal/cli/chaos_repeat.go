package cli

import (
	"context"
	"fmt"
	"os"
	"strconv"

	"forkhead/internal/verify/chaos"
	"forkhead/internal/verify/scenario"
)

// repeat plays a day many times.
func (a *app) repeat(ctx context.Context, name string, s *scenario.Scenario, f *baddayFlags) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	r := chaos.Repeat{
		Runs: f.times, Parallel: f.parallel, Seed: s.Seed, BusyLoops: f.busy, MaxStop: f.stop,
		Command: func(seed int) []string {
			words := []string{self, "badday", "--output", "json", "--log", "error", "--seed", strconv.Itoa(seed)}
			if f.onBreach != "" {
				words = append(words, "--record-on-breach", f.onBreach)
			}
			if name != "" {
				words = append(words, name)
			}
			return words
		},
		OnDone: func(p chaos.ProcessResult) {
			if a.output == "json" {
				_ = a.json(p)
			} else {
				fmt.Fprintf(a.out, "seed %d: exit %d, %d breaches told %s\n", p.Seed, p.ExitCode, len(p.Breaches), p.Error)
			}
		},
	}
	t := r.Run(ctx)
	if a.output == "json" {
		err = a.json(t)
	} else {
		_, err = fmt.Fprintf(a.out, "%d plays, %d broken, %d not played to the end; %d tasks, %d offers; %d breaches, %d vetoes, %d defects\n",
			t.Runs, t.Broken, t.Failed, t.Tasks, t.Offers, t.Breaches, t.Vetoes, t.Defects)
	}
	switch {
	case err != nil:
		return err
	case t.Broken > 0:
		return errNo
	case t.Failed > 0 || ctx.Err() != nil:
		return fmt.Errorf("%d of %d plays were not played to the end", t.Failed+f.times-t.Runs, f.times)
	}
	return nil
}
