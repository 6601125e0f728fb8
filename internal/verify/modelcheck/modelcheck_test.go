package modelcheck

import (
	"strings"
	"testing"

	"forkhead/internal/verify/doccheck"

	"forkhead"
)

func smallConfig(effect forkhead.Effect) Config {
	return Config{Tasks: 1, Hosts: 2, Effect: effect, Requests: 2, Attempts: 2, Faults: 1}
}

// configForBug returns the configuration of a small search that finds the injected bug.
func configForBug(bug *InjectedBug) Config {
	cfg := smallConfig(bug.Effect)
	cfg.InjectedBug, cfg.Faults, cfg.SpreadLimit = bug.Name, bug.Faults, bug.SpreadLimit
	if bug.Faults > 1 {
		cfg.Hosts = 1
	}
	if bug.Property == "liveness" {
		cfg.Hosts, cfg.FindCycles = 1, true
	}
	if bug.SpreadLimit > 0 {
		cfg.Hosts, cfg.Tasks, cfg.Requests = 1, 2, 1
	}
	return cfg
}

// A search finds no cycle of fair steps. Together with the check of the states without a fair step, this shows
// liveness.
func TestRunWithoutBugFindsNoFairCycle(t *testing.T) {
	for _, effect := range []forkhead.Effect{forkhead.Safe, forkhead.Keyed, forkhead.Unsafe} {
		cfg := smallConfig(effect)
		cfg.Hosts, cfg.FindCycles = 1, true
		if effect == forkhead.Unsafe {
			cfg.Hosts = 2
		}
		r, err := Run(cfg)
		if err != nil || !r.Complete {
			t.Fatalf("effect %d: Run(%+v) = %+v, %v, want a complete search without an error", effect, cfg, r, err)
		}
	}
}

// Without an injected bug, a search reaches all states and finds no violation.
func TestRunWithoutBugFindsNoViolation(t *testing.T) {
	for _, effect := range []forkhead.Effect{forkhead.Safe, forkhead.Keyed, forkhead.Unsafe} {
		r, err := Run(smallConfig(effect))
		if err != nil {
			t.Fatalf("effect %d: Run() error = %v, want nil", effect, err)
		}
		for _, v := range r.Violations {
			t.Errorf("effect %d: got a violation of %s, want none: %s\n  %s", effect, v.Property, v.Message, strings.Join(v.Trace, "\n  "))
		}
		if !r.Complete || r.States < 1000 || r.EndStates == 0 {
			t.Errorf("effect %d: got %d states, %d end states, complete %v, want at least 1000, at least 1, true",
				effect, r.States, r.EndStates, r.Complete)
		}
		t.Logf("effect %d: %d states, depth %d, %v, %.0f states/s",
			effect, r.States, r.Depth, r.Duration, float64(r.States)/r.Duration.Seconds())
	}
}

// With a limit of one task per host, two tasks of a service and one host, no property is violated, even after a crash
// of the placer.
func TestRunWithSpreadLimitFindsNoViolation(t *testing.T) {
	for _, effect := range []forkhead.Effect{forkhead.Safe, forkhead.Unsafe} {
		r, err := Run(Config{Tasks: 2, Hosts: 1, Effect: effect, Requests: 1, Attempts: 1, Faults: 1, SpreadLimit: 1})
		if err != nil || !r.Complete || len(r.Violations) > 0 {
			t.Errorf("effect %d: got result %+v and error %v, want a complete search without a violation or an error", effect, r, err)
		}
		t.Logf("effect %d: %d states", effect, r.States)
	}
}

// A search finds a violation for each injected bug, of the property that InjectedBug.Property names.
func TestRunFindsEachInjectedBugAsItsProperty(t *testing.T) {
	for _, bug := range InjectedBugs {
		cfg := configForBug(&bug)
		r, err := Run(cfg)
		if err != nil {
			t.Fatalf("bug %s: Run() error = %v, want nil", bug.Name, err)
		}
		if len(r.Violations) == 0 {
			t.Errorf("bug %s: got no violation in %d states, want one of %s", bug.Name, r.States, bug.Property)
			continue
		}
		if v := r.Violations[0]; v.Property != bug.Property {
			t.Errorf("bug %s: got a violation of %s (%s), want one of %s\n  %s",
				bug.Name, v.Property, v.Message, bug.Property, strings.Join(v.Trace, "\n  "))
		}
	}
}

// docs/design/attempts.md has each property with its text and each injected bug by its name.
func TestPropertiesAndInjectedBugsAreOnPage(t *testing.T) {
	for _, p := range Properties {
		doccheck.Contains(t, "docs/design/attempts.md", "| "+p.Name+" | "+p.Text+" |")
	}
	for _, bug := range InjectedBugs {
		doccheck.Contains(t, "docs/design/attempts.md", "`"+bug.Name+"`")
	}
}

// A state and all states that differ from it only in the order of tasks and hosts have one canonical state.
func TestStateCanonicalIgnoresOrderOfTasksAndHosts(t *testing.T) {
	cfg := Config{Tasks: 3, Hosts: 2, Requests: 1, Attempts: 2, Faults: 1}
	m := model{stateMachines: productionStateMachines(), cfg: cfg}
	s := initialState(&cfg)
	for i := range 40 {
		actions := m.actions(&s, nil)
		if len(actions) == 0 {
			break
		}
		next := s
		st := step{model: &m, s: &next}
		actions[(i*7)%len(actions)].do(&st)
		if st.queueFull || st.property != "" {
			continue
		}
		s = next
		want := s.canonical(3, 2)
		for _, hp := range permutations[2] {
			for _, tp := range permutations[3] {
				c := s.permuted(tp, hp)
				if got := c.canonical(3, 2); got != want {
					t.Fatalf("step %d: permuted(%v, %v).canonical() = %+v, want %+v", i, tp, hp, got, want)
				}
			}
		}
	}
}

func BenchmarkExpand(b *testing.B) {
	b.ReportAllocs()
	states := 0
	for b.Loop() {
		r, err := Run(Config{Tasks: 1, Hosts: 2, Effect: forkhead.Unsafe, Requests: 2, Attempts: 2, Faults: 1})
		if err != nil {
			b.Fatal(err)
		}
		states += r.States
	}
	b.ReportMetric(float64(states)/b.Elapsed().Seconds(), "states/s")
}

// Traces of injected bugs are replayed through the placer's real core, which does not have the bugs. The core either
// vetoes the step that violated a property, or the step does no harm: no unsafe task is placed twice.
func TestReplayOfInjectedBugTracesPlacesNoUnsafeTaskTwice(t *testing.T) {
	for _, bug := range InjectedBugs {
		cfg := configForBug(&bug)
		r, err := Run(cfg)
		if err != nil || len(r.Violations) == 0 {
			t.Fatalf("bug %s: got result %+v and error %v, want a violation", bug.Name, r, err)
		}
		out, err := Replay(&Trace{Config: cfg, Violation: r.Violations[0]})
		if err != nil {
			t.Fatalf("bug %s: Replay() error = %v, want nil", bug.Name, err)
		}
		if out.BoundTwice && bug.Effect == forkhead.Unsafe {
			t.Errorf("bug %s: got BoundTwice for an unsafe task, want each task bound at most once: %+v", bug.Name, out)
		}
		t.Logf("bug %s: %d vetoes, %d offers, %d starts, divergence %q", bug.Name, out.Vetoes, out.Offers, out.Starts, out.Divergence)
		if bug.Name == "double-send" && out.Vetoes != 1 {
			t.Errorf("bug %s: got %d vetoes of an offer while another is in flight, want 1", bug.Name, out.Vetoes)
		}
	}
}

// The real core follows a trace without a bug, in which the connection breaks before the host reports the task as
// running: the task is placed once.
func TestReplayWithoutBugFollowsTrace(t *testing.T) {
	cfg := Config{Tasks: 1, Hosts: 2, Effect: forkhead.Unsafe, Requests: 2, Attempts: 2, Faults: 1}
	out, err := Replay(&Trace{Config: cfg, Violation: Violation{Trace: []string{
		"task 0 is asked for", "module offers task 0 to host 0", "host 0 reads Offer", "host 0 accepts task 0",
		"the connection to host 0 is cut", "placer sees the connection to host 0 end", "task 0 runs on host 0",
		"host 0 sees its connection end", "placer connects to host 0", "host 0 reads Hello", "placer reads Welcome of host 0",
	}}})
	if err != nil {
		t.Fatalf("Replay() error = %v, want nil", err)
	}
	if out.Divergence != "" || out.Vetoes != 0 || out.Offers != 1 || out.Starts != 1 || out.BoundTwice {
		t.Fatalf("Replay() = %+v, want no divergence, 0 vetoes, 1 offer, 1 start, and no task bound twice", out)
	}
}

// Each line that may occur in a trace matches exactly one pattern of replayActions, and each of these patterns matches
// at least one such line.
func TestReplayActionsMatchEachLineOnce(t *testing.T) {
	r := &replayer{hosts: []*replayHost{newReplayHost(0), newReplayHost(1)}}
	used := map[string]bool{}
	for name := range allActionNames() {
		var patterns []string
		for _, known := range replayActions {
			if _, ok := r.match(known.pattern, name); ok {
				patterns = append(patterns, known.pattern)
				used[known.pattern] = true
			}
		}
		if len(patterns) != 1 {
			t.Errorf("line %q: got matching patterns %q, want exactly one", name, patterns)
		}
	}
	for _, known := range replayActions {
		if !used[known.pattern] {
			t.Errorf("pattern %q: got no matching line, want at least one", known.pattern)
		}
	}
}

// allActionNames returns the names of the actions that are possible in any state of small searches.
func allActionNames() map[string]bool {
	names := map[string]bool{}
	for _, effect := range []forkhead.Effect{forkhead.Safe, forkhead.Keyed, forkhead.Unsafe} {
		cfg := Config{Tasks: 1, Hosts: 1, Effect: effect, Requests: 1, Attempts: 1, Faults: 1, TasksEnd: true}
		m := newModel(cfg)
		m.formatNames = true
		states := []state{initialState(&cfg)}
		known := map[state]bool{states[0]: true}
		for len(states) > 0 {
			from := states[len(states)-1]
			states = states[:len(states)-1]
			for _, a := range m.actions(&from, nil) {
				names[a.name] = true
				next := from
				st := step{model: &m, s: &next}
				a.do(&st)
				if !st.queueFull && !known[next] {
					known[next] = true
					states = append(states, next)
				}
			}
		}
	}
	return names
}
