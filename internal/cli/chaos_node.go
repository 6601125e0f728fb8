package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/spf13/cobra"

	"forkhead/internal/verify/nodechaos"
)

// nodeChaosFlags are the flags of chaos node.
type nodeChaosFlags struct {
	seed     uint64
	runs     int
	parallel int
	shrink   bool
	lost     bool
	folder   string // folder for the placers' logs; "" for a temporary one that is removed
}

func (a *app) nodeChaosCommand() *cobra.Command {
	var f nodeChaosFlags
	c := &cobra.Command{
		Use: "node", Short: "run placers of the users' platform under drawn faults and signals, and check the rules", Args: cobra.NoArgs,
		Long: "chaos node starts placers as processes of `forkhead node` against an emulated platform on loopback. The seed draws\n" +
			"requests, faults of hosts, owners and the endpoint list, and signals. The rules are checked on what crossed the sockets.\n" +
			"A breach prints its plan and the timeline of a request; --shrink then looks for a shorter plan that still breaks a rule.",
		RunE: func(cmd *cobra.Command, _ []string) error { return a.nodeChaos(cmd.Context(), &f) },
	}
	flags := c.Flags()
	flags.Uint64Var(&f.seed, "seed", 1, "seed of the first run")
	flags.IntVar(&f.runs, "runs", 1, "number of runs, with this seed and the ones after it")
	flags.IntVar(&f.parallel, "parallel", 1, "number of runs at once")
	flags.BoolVar(&f.shrink, "shrink", false, "shorten the plan of each run that breaks a rule")
	flags.BoolVar(&f.lost, "lost-hosts", false, "draw hosts that are lost while something still answers at their addresses, series of signals and crowds")
	flags.StringVar(&f.folder, "logs", "", "folder for the logs of the placers (default: a temporary one)")
	return c
}

// nodeChaos runs the drawn plans. It returns errNegativeResult if a rule was broken.
func (a *app) nodeChaos(ctx context.Context, f *nodeChaosFlags) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	folder := f.folder
	if folder == "" {
		if folder, err = os.MkdirTemp("", "forkhead-chaos-"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(folder) }()
	}
	run := func(plan *nodechaos.Plan) (*nodechaos.Result, error) {
		return nodechaos.Run(ctx, plan, nodechaos.Options{
			Command: []string{program, "node", "--log", "info"}, Folder: filepath.Join(folder, fmt.Sprintf("seed-%d", plan.Seed)),
		})
	}
	results, err := f.runAll(run)
	if err != nil {
		return err
	}
	broken := 0
	for _, r := range results {
		a.printf("%s", r.Text())
		if len(r.Breaches) == 0 {
			continue
		}
		broken++
		if f.shrink {
			if err := a.shrinkNodePlan(r.Plan, run); err != nil {
				return err
			}
		}
	}
	a.printf("%d runs, %d of them broke a rule\n", len(results), broken)
	if broken > 0 {
		return errNegativeResult
	}
	return nil
}

func (f *nodeChaosFlags) draw(seed uint64) nodechaos.Plan {
	if f.lost {
		return nodechaos.DrawLostHosts(seed)
	}
	return nodechaos.Draw(seed)
}

// runAll runs the plans of all seeds, up to parallel at once, and returns their results in the order of the seeds.
func (f *nodeChaosFlags) runAll(run func(*nodechaos.Plan) (*nodechaos.Result, error)) ([]*nodechaos.Result, error) {
	results, errs := make([]*nodechaos.Result, f.runs), make([]error, f.runs)
	slots := make(chan struct{}, max(f.parallel, 1))
	var running sync.WaitGroup
	for i := range f.runs {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			plan := f.draw(f.seed + uint64(i))
			results[i], errs[i] = run(&plan)
		})
	}
	running.Wait()
	for i, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("seed %d: %w", f.seed+uint64(i), err)
		}
	}
	return results, nil
}

// shrinkNodePlan prints a shorter plan that still breaks a rule.
func (a *app) shrinkNodePlan(plan nodechaos.Plan, run func(*nodechaos.Plan) (*nodechaos.Result, error)) error {
	shorter, err := nodechaos.Shrink(plan, func(p *nodechaos.Plan) (bool, error) {
		r, err := run(p)
		return err == nil && len(r.Breaches) > 0, err
	})
	if err != nil {
		return err
	}
	a.printf("shortened to %s", shorter.Text())
	return nil
}
