package cli

import (
	"encoding/json"
	"fmt"

	"forkhead"
	"forkhead/internal/verify/modelcheck"
)

// replayTrace replays a violation's trace through the placer's real core. It returns errNegativeResult if two attempts
// of an unsafe task held capacity at the same time.
func (a *app) replayTrace(name string) error {
	trace, err := readTrace(name)
	if err != nil {
		return err
	}
	r, err := modelcheck.Replay(trace)
	if err != nil {
		return err
	}
	if a.wantsJSON() {
		if err := a.writeJSON(r); err != nil {
			return err
		}
	} else {
		a.printReplayedTrace(r)
	}
	if r.BoundTwice && trace.Config.Effect == forkhead.Unsafe {
		return errNegativeResult
	}
	return nil
}

// readTrace reads a trace and checks its configuration: the number of tasks, the number of hosts and the effect must
// each be in range.
func readTrace(name string) (*modelcheck.Trace, error) {
	text, err := readFile(name, "a trace that explore has written")
	if err != nil {
		return nil, err
	}
	var trace modelcheck.Trace
	if err := json.Unmarshal(text, &trace); err != nil {
		return nil, asInputError(fmt.Errorf("%s: not a trace of explore: %w", name, err))
	}
	cfg := &trace.Config
	if cfg.Tasks < 1 || cfg.Tasks > 3 || cfg.Hosts < 1 || cfg.Hosts > 2 || cfg.Effect > forkhead.Unsafe {
		return nil, asInputError(fmt.Errorf("%s: trace has %d tasks, %d hosts and effect %d; want 1 to 3 tasks, 1 or 2 hosts and effect 0 to %d",
			name, cfg.Tasks, cfg.Hosts, cfg.Effect, forkhead.Unsafe))
	}
	return &trace, nil
}

func (a *app) printReplayedTrace(r *modelcheck.ReplayResult) {
	for i, step := range r.Steps {
		a.printf("%3d  %s\n", i+1, step.Action)
		for _, did := range step.Effects {
			a.printf("       %s\n", did)
		}
	}
	a.printf("%d vetoes, %d offers written, %d starts, bound twice: %v\n", r.Vetoes, r.Offers, r.Starts, r.BoundTwice)
	if r.Divergence != "" {
		a.printf("the core diverges from the trace at %s\n", r.Divergence)
	}
}
