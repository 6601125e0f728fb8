package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"forkhead/internal/verify/modelcheck"
)

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
