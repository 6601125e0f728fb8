package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/verify/modelcheck"
)

// progressInterval is the minimum time between two progress lines of a search.
const progressInterval = 2 * time.Second

// searchResult is the JSON output of a search.
type searchResult struct {
	Effect     string                 `json:"effect"`
	Tasks      int                    `json:"tasks"`
	Hosts      int                    `json:"hosts"`
	Faults     int                    `json:"faults"`
	Bug        string                 `json:"plant,omitempty"`
	States     int                    `json:"states"`
	Steps      int                    `json:"steps"`
	Ends       int                    `json:"ends"`
	Depth      int                    `json:"depth"`
	PerSecond  int                    `json:"states_per_second"`
	MiB        uint64                 `json:"mib"`
	Complete   bool                   `json:"complete"`
	Violations []modelcheck.Violation `json:"violations"`
}

// searchEach runs one search for each effect. It returns errNegativeResult if a property was violated.
func (a *app) searchEach(f *exploreFlags, effects []forkhead.Effect) error {
	violated := false
	for _, effect := range effects {
		cfg := f.search
		cfg.Effect = effect
		violations, err := a.search(cfg, f.traceFile)
		if err != nil {
			return err
		}
		violated = violated || violations > 0
	}
	if violated {
		return errNegativeResult
	}
	return nil
}

// search runs one search, writes its result and returns the number of violations. It writes the trace of the first
// violation to the file traceFile, unless traceFile is "".
func (a *app) search(cfg modelcheck.Config, traceFile string) (violations int, err error) {
	cfg.Progress = a.reportProgress()
	r, err := modelcheck.Run(cfg)
	if err != nil {
		return 0, asInputError(err)
	}
	if traceFile != "" && len(r.Violations) > 0 {
		if err := writeTrace(traceFile, modelcheck.Trace{Config: cfg, Violation: r.Violations[0]}); err != nil {
			return 0, err
		}
	}
	result := searchResult{
		Effect: effectNames[cfg.Effect], Tasks: cfg.Tasks, Hosts: cfg.Hosts, Faults: cfg.Faults, Bug: cfg.InjectedBug,
		States: r.States, Steps: r.Steps, Ends: r.EndStates, Depth: r.Depth,
		PerSecond: int(float64(r.States) / r.Duration.Seconds()), MiB: r.MemoryBytes >> 20,
		Complete: r.Complete, Violations: r.Violations,
	}
	if a.wantsJSON() {
		return len(r.Violations), a.writeJSON(result)
	}
	a.printSearch(&result)
	return len(r.Violations), nil
}

// reportProgress returns a function that writes a search's progress to standard error, at most once per progressInterval.
func (a *app) reportProgress() func(states, depth int) {
	last := time.Now()
	return func(states, depth int) {
		if time.Since(last) > progressInterval {
			last = time.Now()
			a.warnf("%d states, depth %d\n", states, depth)
		}
	}
}

func writeTrace(name string, trace modelcheck.Trace) error {
	text, err := json.MarshalIndent(trace, "", "  ")
	if err != nil {
		return err
	}
	return asInputError(os.WriteFile(name, append(text, '\n'), 0o644))
}

func (a *app) printSearch(r *searchResult) {
	a.printf("%d tasks, %d hosts, %s, %d faults: %d states, %d steps, depth %d, %d end states, %d states/s, %d MiB, complete: %v\n",
		r.Tasks, r.Hosts, r.Effect, r.Faults, r.States, r.Steps, r.Depth, r.Ends, r.PerSecond, r.MiB, r.Complete)
	if len(r.Violations) == 0 {
		for _, p := range modelcheck.Properties {
			a.printf("  holds  %-14s %s\n", p.Name, p.Text)
		}
		return
	}
	for _, v := range r.Violations {
		a.printf("BROKEN %s: %s\n%s", v.Property, v.Message, sequenceChart(v.Trace))
	}
}

// sequenceChart formats a trace in two columns. The left column has the steps at the placer, and the right column has the
// steps at hosts and on the network.
func sequenceChart(trace []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "  %3s  %-46s| %s\n", "", "placer, owner, module", "hosts, network")
	for i, line := range trace {
		left, right := line, ""
		if isOutsidePlacer(line) {
			left, right = "", line
		}
		fmt.Fprintf(&b, "  %3d  %-46s| %s\n", i+1, left, right)
	}
	return b.String()
}

// isOutsidePlacer reports whether a step of a trace happens at a host or on the network.
func isOutsidePlacer(line string) bool {
	return strings.HasPrefix(line, "host ") || strings.HasPrefix(line, "the connection") ||
		strings.Contains(line, "runs on host") || strings.Contains(line, "ends on host")
}
