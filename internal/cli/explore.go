package cli

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"forkhead"
	"forkhead/internal/verify/modelcheck"
)

// exploreFlags are the flags of explore.
type exploreFlags struct {
	search     modelcheck.Config
	effect     string // value of --effect
	traceFile  string // file to write the trace of a violation to; "" for none
	replayFile string // trace to replay instead of searching; "" for none
	listBugs   bool   // list the injectable bugs instead of searching
	runs       int    // if not 0, simulate this many runs instead of searching
	firstSeed  uint64 // seed of the first simulated run
}

// allEffects is the value of --effect that selects all effects. One search is run for each effect, one after another.
const allEffects = "all"

// effectNames are the names of the effects in --effect and in the output.
var effectNames = [...]string{forkhead.Safe: "safe", forkhead.Keyed: "keyed", forkhead.Unsafe: "unsafe"}

func (a *app) exploreCommand() *cobra.Command {
	var f exploreFlags
	c := &cobra.Command{
		Use: "explore", Short: "model-check attempts, connections and hosts: search all their states", Args: cobra.NoArgs,
		Long: "explore searches all orders of events of a small service on the state machines of placers and hosts: with faults,\n" +
			"with timers that fire at any time, and with each legal action instead of only the one that the policy chooses.\n" +
			"--replay replays a violation's trace through the placer's real core; --lives runs deterministic simulations of\n" +
			"the real core with the real policy instead.",
		RunE: func(cmd *cobra.Command, _ []string) error { return a.explore(cmd.Context(), &f, cmd.Flags()) },
	}
	flags := c.Flags()
	flags.IntVar(&f.search.Tasks, "tasks", 2, "tasks, 1 to 3")
	flags.IntVar(&f.search.Hosts, "hosts", 2, "hosts, 1 or 2")
	flags.IntVar(&f.search.Requests, "asks", 1, "placement requests of a task in one incarnation of the placer")
	flags.IntVar(&f.search.Attempts, "attempts", 2, "attempts of a task, 1 to 3")
	flags.IntVar(&f.search.Faults, "faults", 1, "total number of faults: broken connections, hosts that crash or drain, crashes of the placer")
	flags.BoolVar(&f.search.TasksEnd, "ends", false, "let tasks end by themselves")
	flags.BoolVar(&f.search.FindCycles, "cycles", false, "also search for cycles of fair steps (takes more memory)")
	flags.IntVar(&f.search.SpreadLimit, "spread", 0, "spread limit: all tasks belong to one service, of which a host may have at most this many; 0: no limit")
	flags.IntVar(&f.search.Workers, "workers", 0, "number of goroutines (default: one per processor)")
	flags.IntVar(&f.search.MaxStates, "most", 0, "maximum number of states (default: 100 million, about 8 GiB)")
	flags.StringVar(&f.search.InjectedBug, "plant", "", "name of a bug to inject; flags that are not given get values with which the search finds it")
	flags.StringVar(&f.effect, "effect", "unsafe", "effect of a repeated start of the tasks: safe, keyed, unsafe, or all for one search after another")
	flags.StringVar(&f.traceFile, "trace", "", "file to write the first violation's trace to")
	flags.StringVar(&f.replayFile, "replay", "", "trace to replay through the placer's real core")
	flags.IntVar(&f.runs, "lives", 0, "instead of the search, simulate this number of random runs of the real core with the real policy")
	flags.Uint64Var(&f.firstSeed, "from", 0, "with --lives: seed of the first run; --lives 1 repeats a single run")
	flags.BoolVar(&f.listBugs, "list-plants", false, "list the bugs that can be injected")
	return c
}

func (a *app) explore(ctx context.Context, f *exploreFlags, given *pflag.FlagSet) error {
	switch {
	case f.listBugs:
		return a.listInjectableBugs()
	case f.replayFile != "":
		return a.replayTrace(f.replayFile)
	case f.runs > 0:
		return a.simulate(ctx, f.firstSeed, f.runs)
	}
	effects, err := f.effects()
	if err != nil {
		return err
	}
	if f.search.InjectedBug != "" {
		bug, ok := modelcheck.FindInjectedBug(f.search.InjectedBug)
		if !ok {
			return asInputError(fmt.Errorf("--plant is %q, want a name that --list-plants shows", f.search.InjectedBug))
		}
		if !given.Changed("effect") {
			effects = []forkhead.Effect{bug.Effect}
			f.setInjectedBugBounds(bug, given)
		}
	}
	return a.searchEach(f, effects)
}

// effects returns the effects that --effect selects.
func (f *exploreFlags) effects() ([]forkhead.Effect, error) {
	var effects []forkhead.Effect
	for effect, name := range effectNames {
		if f.effect == name || f.effect == allEffects {
			effects = append(effects, forkhead.Effect(effect))
		}
	}
	if len(effects) == 0 {
		return nil, asInputError(fmt.Errorf("--effect is %q, want safe, keyed, unsafe or all", f.effect))
	}
	return effects, nil
}

// setInjectedBugBounds sets the bounds of the search to values with which the search finds the injected bug. It does not
// change bounds that a flag sets.
func (f *exploreFlags) setInjectedBugBounds(bug *modelcheck.InjectedBug, given *pflag.FlagSet) {
	f.search.FindCycles = f.search.FindCycles || bug.Property == "liveness"
	for _, bound := range []struct {
		flag   string
		value  *int
		enough int // value of the bound with which the search finds the bug
	}{
		{"faults", &f.search.Faults, bug.Faults},
		{"tasks", &f.search.Tasks, 1 + bug.SpreadLimit},
		{"asks", &f.search.Requests, 2},
		{"hosts", &f.search.Hosts, 3 - bug.Faults},
		{"spread", &f.search.SpreadLimit, bug.SpreadLimit},
	} {
		if !given.Changed(bound.flag) {
			*bound.value = bound.enough
		}
	}
}

// injectableBug is a line of the JSON output of explore --list-plants.
type injectableBug struct {
	Name     string `json:"plant"`
	Property string `json:"property"` // name of the property that the bug violates
	What     string `json:"what"`
}

func (a *app) listInjectableBugs() error {
	if a.wantsJSON() {
		for _, p := range modelcheck.InjectedBugs {
			if err := a.writeJSON(injectableBug{Name: p.Name, Property: p.Property, What: p.Description}); err != nil {
				return err
			}
		}
		return nil
	}
	t := newTable(a.out, 0, "PLANT\tVIOLATES\tDESCRIPTION")
	for _, p := range modelcheck.InjectedBugs {
		t.printf("%s\t%s\t%s\n", p.Name, p.Property, p.Description)
	}
	return t.flush()
}
