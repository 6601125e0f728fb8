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

// smallestConfigFor returns the smallest search that shows a bug.
func smallestConfigFor(bug *InjectedBug) Config {
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

// No fair run has a cycle: with the states in which nothing fair is left, that is liveness.
func TestRunFindsNoFairCycle(t *testing.T) {
	for _, effect := range []forkhead.Effect{forkhead.Safe, forkhead.Keyed, forkhead.Unsafe} {
		cfg := smallConfig(effect)
		cfg.Hosts, cfg.FindCycles = 1, true
		if effect == forkhead.Unsafe {
			cfg.Hosts = 2
		}
		r, err := Run(cfg)
		if err != nil || !r.Complete {
			t.Fatalf("effect %d: %+v, %v", effect, r, err)
		}
	}
}

// Without an injected bug every state is reached and no property is broken.
func TestRunFindsNoViolation(t *testing.T) {
	for _, effect := range []forkhead.Effect{forkhead.Safe, forkhead.Keyed, forkhead.Unsafe} {
		r, err := Run(smallConfig(effect))
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range r.Violations {
			t.Errorf("effect %d: %s: %s\n  %s", effect, v.Property, v.Message, strings.Join(v.Trace, "\n  "))
		}
		if !r.Complete || r.States < 1000 || r.EndStates == 0 {
			t.Errorf("effect %d: %d states, %d ends, complete %v", effect, r.States, r.EndStates, r.Complete)
		}
		t.Logf("effect %d: %d states, depth %d, %v, %.0f states/s", effect, r.States, r.Depth, r.Duration, float64(r.States)/r.Duration.Seconds())
	}
}

// The spread limit holds over a crash of the placer: two tasks of a service, of which a host may have one.
func TestRunKeepsSpreadLimit(t *testing.T) {
	for _, effect := range []forkhead.Effect{forkhead.Safe, forkhead.Unsafe} {
		r, err := Run(Config{Tasks: 2, Hosts: 1, Effect: effect, Requests: 1, Attempts: 1, Faults: 1, SpreadLimit: 1})
		if err != nil || !r.Complete || len(r.Violations) > 0 {
			t.Errorf("effect %d: %+v, %v", effect, r, err)
		}
		t.Logf("effect %d: %d states", effect, r.States)
	}
}

// Each injected bug is found, as the property that it breaks.
func TestRunFindsInjectedBugs(t *testing.T) {
	for _, bug := range InjectedBugs {
		cfg := smallestConfigFor(&bug)
		r, err := Run(cfg)
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Violations) == 0 {
			t.Errorf("%s: not found in %d states", bug.Name, r.States)
			continue
		}
		if v := r.Violations[0]; v.Property != bug.Property {
			t.Errorf("%s: found as %s (%s), want %s\n  %s", bug.Name, v.Property, v.Message, bug.Property, strings.Join(v.Trace, "\n  "))
		}
	}
}

// The page lists what is searched for as the code names it.
func TestPropertiesOnPage(t *testing.T) {
	for _, p := range Properties {
		doccheck.Contains(t, "docs/design/attempts.md", "| "+p.Name+" | "+p.Text+" |")
	}
	for _, bug := range InjectedBugs {
		doccheck.Contains(t, "docs/design/attempts.md", "`"+bug.Name+"`")
	}
}

// A state is its bytes: two tasks, or two hosts, that change places are one state.
func TestStateCanonical(t *testing.T) {
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
					t.Fatalf("step %d: tasks %v and hosts %v change the canonical state", i, tp, hp)
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

// The traces of injected bugs, replayed through the placer's real core, which does not have them:
// the step that broke a property is vetoed, or leads to nothing that should not be.
func TestReplayInjectedBugTraces(t *testing.T) {
	for _, bug := range InjectedBugs {
		cfg := smallestConfigFor(&bug)
		r, err := Run(cfg)
		if err != nil || len(r.Violations) == 0 {
			t.Fatalf("%s: %v, %v", bug.Name, r, err)
		}
		out, err := Replay(&Trace{Config: cfg, Violation: r.Violations[0]})
		if err != nil {
			t.Fatal(err)
		}
		if out.BoundTwice && bug.Effect == forkhead.Unsafe {
			t.Errorf("%s: the real core lets an unsafe task be placed twice: %+v", bug.Name, out)
		}
		t.Logf("%s: %d vetoes, %d offers, %d starts, parted %q", bug.Name, out.Vetoes, out.Offers, out.Starts, out.Divergence)
		if bug.Name == "double-send" && out.Vetoes != 1 {
			t.Errorf("%d vetoes of an offer beside one that is out", out.Vetoes)
		}
	}
}

// A run without a bug, replayed through the core, ends as the search says: placed, once.
func TestReplayFollowsTrace(t *testing.T) {
	cfg := Config{Tasks: 1, Hosts: 2, Effect: forkhead.Unsafe, Requests: 2, Attempts: 2, Faults: 1}
	out, err := Replay(&Trace{Config: cfg, Violation: Violation{Trace: []string{
		"task 0 is asked for", "module offers task 0 to host 0", "host 0 reads Offer", "host 0 accepts task 0",
		"the connection to host 0 is cut", "placer sees the connection to host 0 end", "task 0 runs on host 0",
		"host 0 sees its connection end", "placer connects to host 0", "host 0 reads Hello", "placer reads Welcome of host 0",
	}}})
	if err != nil {
		t.Fatal(err)
	}
	if out.Divergence != "" || out.Vetoes != 0 || out.Offers != 1 || out.Starts != 1 || out.BoundTwice {
		t.Fatalf("%+v", out)
	}
}

// Every line that a trace may have is known to the replay, as one action; and the replay knows no other.
func TestReplayActionsMatchActions(t *testing.T) {
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
			t.Errorf("%q is of the patterns %q, want one", name, patterns)
		}
	}
	for _, known := range replayActions {
		if !used[known.pattern] {
			t.Errorf("no action is of the pattern %q", known.pattern)
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
