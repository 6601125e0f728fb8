package cli

import (
	"fmt"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"forkhead"
	"forkhead/internal/verify/modelcheck"
)

var effects = map[string]forkhead.Effect{"safe": forkhead.Safe, "keyed": forkhead.Keyed, "unsafe": forkhead.Unsafe}

func (a *app) exploreCommand() *cobra.Command {
	var cfg modelcheck.Config
	var effect, trace, replay string
	var list bool
	var lives int
	var from uint64
	c := &cobra.Command{
		Use: "explore", Short: "search all states of attempts, connections and hosts, exhaustively", Args: cobra.NoArgs,
		Long: "explore searches every order of events of a small service, over the machines that placers and hosts\n" +
			"run on, with faults, timers that fire at any time, and every legal action in the module's place.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if list {
				return a.plants()
			}
			if replay != "" {
				return a.replay(replay)
			}
			if lives > 0 {
				return a.lives(cmd.Context(), from, lives)
			}
			names := []string{effect}
			if effect == "all" {
				names = []string{"safe", "keyed", "unsafe"}
			} else if _, ok := effects[effect]; !ok {
				return badInput(fmt.Errorf("--effect is %q, want safe, keyed, unsafe or all", effect))
			}
			if p, ok := modelcheck.FindPlant(cfg.Plant); cfg.Plant != "" && !ok {
				return badInput(fmt.Errorf("no plant is named %q; see --list-plants", cfg.Plant))
			} else if ok && !cmd.Flags().Changed("effect") {
				for name, e := range effects {
					if e == p.Effect {
						names = []string{name}
					}
				}
				cfg.Cycles = cfg.Cycles || p.Property == "liveness"
				// Enough for it to show, unless told otherwise.
				for name, to := range map[string]*int{"faults": &cfg.Faults, "tasks": &cfg.Tasks, "asks": &cfg.Asks, "hosts": &cfg.Hosts, "spread": &cfg.Spread} {
					if !cmd.Flags().Changed(name) {
						*to = map[string]int{"faults": p.Faults, "tasks": 1 + p.Spread, "asks": 2, "hosts": 3 - p.Faults, "spread": p.Spread}[name]
					}
				}
			}
			found := false
			for _, name := range names {
				bad, err := a.search(cfg, name, trace)
				if err != nil {
					return err
				}
				found = found || bad
			}
			if found {
				return errNo
			}
			return nil
		},
	}
	f := c.Flags()
	f.IntVar(&cfg.Tasks, "tasks", 2, "tasks, 1 to 3")
	f.IntVar(&cfg.Hosts, "hosts", 2, "hosts, 1 or 2")
	f.IntVar(&cfg.Asks, "asks", 1, "asks of a task in one life of the placer")
	f.IntVar(&cfg.Attempts, "attempts", 2, "attempts of a task, 1 to 3")
	f.IntVar(&cfg.Faults, "faults", 1, "connections cut, hosts that die or drain, crashes of the placer, all together")
	f.BoolVar(&cfg.Ends, "ends", false, "tasks may end by themselves")
	f.BoolVar(&cfg.Cycles, "cycles", false, "look for fair steps that lead round in a circle, too (more memory)")
	f.IntVar(&cfg.Spread, "spread", 0, "all tasks are of one service, of which a host may have so many; 0: no limit")
	f.IntVar(&cfg.Workers, "workers", 0, "goroutines (default: one a processor)")
	f.IntVar(&cfg.MostStates, "most", 0, "stop behind so many states (default: 100 million, about 8 GiB)")
	f.StringVar(&cfg.Plant, "plant", "", "a bug to plant")
	f.StringVar(&effect, "effect", "unsafe", "the tasks' class: safe, keyed, unsafe or all, one after another")
	f.StringVar(&trace, "trace", "", "file to write a violation's trace to")
	f.StringVar(&replay, "replay", "", "play the trace in such a file through the placer's real core")
	f.IntVar(&lives, "lives", 0, "instead of the search, play so many random lives of the real core with the real module")
	f.Uint64Var(&from, "from", 0, "seed of the first of them; with --lives 1 a life is played again")
	f.BoolVar(&list, "list-plants", false, "list the bugs that can be planted")
	return c
}

func (a *app) plants() error {
	if a.output == "json" {
		for _, p := range modelcheck.Plants {
			if err := a.json(map[string]string{"plant": p.Name, "what": p.What, "property": p.Property}); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "PLANT\tBREAKS\tWHAT")
	for _, p := range modelcheck.Plants {
		fmt.Fprintf(w, "%s\t%s\t%s\n", p.Name, p.Property, p.What)
	}
	return w.Flush()
}
