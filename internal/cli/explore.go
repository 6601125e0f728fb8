package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"forkhead"
	"forkhead/internal/verify/modelcheck"
	"forkhead/internal/verify/simulation"
)

var effects = map[string]forkhead.Effect{"safe": forkhead.Safe, "keyed": forkhead.Keyed, "unsafe": forkhead.Unsafe}

// exploration is what is written of a search.
type exploration struct {
	Effect     string                 `json:"effect"`
	Tasks      int                    `json:"tasks"`
	Hosts      int                    `json:"hosts"`
	Faults     int                    `json:"faults"`
	Plant      string                 `json:"plant,omitempty"`
	States     int                    `json:"states"`
	Steps      int                    `json:"steps"`
	Ends       int                    `json:"ends"`
	Depth      int                    `json:"depth"`
	PerSecond  int                    `json:"states_per_second"`
	MiB        uint64                 `json:"mib"`
	Complete   bool                   `json:"complete"`
	Violations []modelcheck.Violation `json:"violations"`
}

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

// replay plays a trace through the real core.
func (a *app) replay(name string) error {
	text, err := file(name, "a trace that explore has written")
	if err != nil {
		return err
	}
	var t modelcheck.Trace
	if err := json.Unmarshal(text, &t); err != nil {
		return badInput(fmt.Errorf("%s: not a trace: %w", name, err))
	}
	if t.Config.Tasks < 1 || t.Config.Tasks > 3 || t.Config.Hosts < 1 || t.Config.Hosts > 2 || t.Config.Effect > forkhead.Unsafe {
		return badInput(fmt.Errorf("%s: not a trace of 1 to 3 tasks and 1 or 2 hosts", name))
	}
	r, err := modelcheck.Replay(&t)
	if err != nil {
		return err
	}
	if a.output == "json" {
		if err := a.json(r); err != nil {
			return err
		}
	} else {
		for i, s := range r.Steps {
			fmt.Fprintf(a.out, "%3d  %s\n", i+1, s.What)
			for _, did := range s.Did {
				fmt.Fprintf(a.out, "       %s\n", did)
			}
		}
		fmt.Fprintf(a.out, "%d vetoes, %d offers written, %d starts, held twice: %v\n", r.Vetoes, r.Offers, r.Starts, r.Twice)
		if r.Parted != "" {
			fmt.Fprintf(a.out, "the core parts from the trace at %s\n", r.Parted)
		}
	}
	if r.Twice && t.Config.Effect == forkhead.Unsafe {
		return errNo
	}
	return nil
}

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

// search runs one search and tells of it; it returns whether a property was broken.
func (a *app) search(cfg modelcheck.Config, effect, trace string) (bool, error) {
	cfg.Effect = effects[effect]
	last := time.Now()
	cfg.Progress = func(states, depth int) {
		if time.Since(last) > 2*time.Second {
			last = time.Now()
			fmt.Fprintf(a.errs, "%d states, depth %d\n", states, depth)
		}
	}
	r, err := modelcheck.Run(cfg)
	if err != nil {
		return false, badInput(err)
	}
	e := exploration{
		Effect: effect, Tasks: cfg.Tasks, Hosts: cfg.Hosts, Faults: cfg.Faults, Plant: cfg.Plant, States: r.States, Steps: r.Steps,
		Ends: r.Ends, Depth: r.Depth, PerSecond: int(float64(r.States) / r.Took.Seconds()), MiB: r.Bytes >> 20,
		Complete: r.Complete, Violations: r.Violations,
	}
	if trace != "" && len(r.Violations) > 0 {
		text, err := json.MarshalIndent(modelcheck.Trace{Config: cfg, Violation: r.Violations[0]}, "", "  ")
		if err != nil {
			return false, err
		}
		if err := os.WriteFile(trace, append(text, '\n'), 0o644); err != nil {
			return false, badInput(err)
		}
	}
	if a.output == "json" {
		return len(r.Violations) > 0, a.json(e)
	}
	fmt.Fprintf(a.out, "%d tasks, %d hosts, %s, %d faults: %d states, %d steps, depth %d, %d ends, %d states/s, %d MiB, complete: %v\n",
		e.Tasks, e.Hosts, effect, e.Faults, e.States, e.Steps, e.Depth, e.Ends, e.PerSecond, e.MiB, e.Complete)
	if len(r.Violations) == 0 {
		for _, p := range modelcheck.Properties {
			fmt.Fprintf(a.out, "  holds  %-14s %s\n", p.Name, p.Text)
		}
		return false, nil
	}
	for _, v := range r.Violations {
		fmt.Fprintf(a.out, "BROKEN %s: %s\n%s", v.Property, v.Why, chart(v.Trace))
	}
	return true, nil
}

// chart lays a trace out by who does what: the placer on the left, hosts on the right.
func chart(trace []string) string {
	out := fmt.Sprintf("  %3s  %-46s| %s\n", "", "placer, owner, module", "hosts, network")
	for i, line := range trace {
		left, right := line, ""
		if strings.HasPrefix(line, "host ") || strings.HasPrefix(line, "the connection") || strings.Contains(line, "runs on host") || strings.Contains(line, "ends on host") {
			left, right = "", line
		}
		out += fmt.Sprintf("  %3d  %-46s| %s\n", i+1, left, right)
	}
	return out
}
