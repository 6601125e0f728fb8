package modelcheck

import (
	"forkhead/internal/verify/doccheck"
	"strings"
	"testing"

	"forkhead"
)

func small(effect forkhead.Effect) Config {
	return Config{Tasks: 1, Hosts: 2, Effect: effect, Requests: 2, Attempts: 2, Faults: 1}
}

// planted is the smallest search that shows a plant.
func planted(p *InjectedBug) Config {
	cfg := small(p.Effect)
	cfg.InjectedBug, cfg.Faults, cfg.SpreadLimit = p.Name, p.Faults, p.SpreadLimit
	if p.Faults > 1 {
		cfg.Hosts = 1
	}
	if p.Property == "liveness" {
		cfg.Hosts, cfg.FindCycles = 1, true
	}
	if p.SpreadLimit > 0 {
		cfg.Hosts, cfg.Tasks, cfg.Requests = 1, 2, 1
	}
	return cfg
}

// No fair run goes round: with the states in which nothing fair is left, that is liveness.
func TestNoCycle(t *testing.T) {
	for _, effect := range []forkhead.Effect{forkhead.Safe, forkhead.Keyed, forkhead.Unsafe} {
		cfg := small(effect)
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

// With nothing planted every state is reached and no property is broken.
func TestNothingFound(t *testing.T) {
	for _, effect := range []forkhead.Effect{forkhead.Safe, forkhead.Keyed, forkhead.Unsafe} {
		r, err := Run(small(effect))
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

// The spread is kept over a crash of the placer: two tasks of a service, of which a host may have one.
func TestSpread(t *testing.T) {
	for _, effect := range []forkhead.Effect{forkhead.Safe, forkhead.Unsafe} {
		r, err := Run(Config{Tasks: 2, Hosts: 1, Effect: effect, Requests: 1, Attempts: 1, Faults: 1, SpreadLimit: 1})
		if err != nil || !r.Complete || len(r.Violations) > 0 {
			t.Errorf("effect %d: %+v, %v", effect, r, err)
		}
		t.Logf("effect %d: %d states", effect, r.States)
	}
}

// Each planted bug is found, as the property that it breaks.
func TestPlants(t *testing.T) {
	for _, p := range InjectedBugs {
		cfg := planted(&p)
		r, err := Run(cfg)
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Violations) == 0 {
			t.Errorf("%s: not found in %d states", p.Name, r.States)
			continue
		}
		if v := r.Violations[0]; v.Property != p.Property {
			t.Errorf("%s: found as %s (%s), want %s\n  %s", p.Name, v.Property, v.Message, p.Property, strings.Join(v.Trace, "\n  "))
		}
	}
}

// The page says what is searched for in the words of the code.
func TestPropertiesOnPage(t *testing.T) {
	for _, p := range Properties {
		doccheck.Contains(t, "docs/design/attempts.md", "| "+p.Name+" | "+p.Text+" |")
	}
	for _, p := range InjectedBugs {
		doccheck.Contains(t, "docs/design/attempts.md", "`"+p.Name+"`")
	}
}

// A state is its bytes: two tasks, or two hosts, that change places are one state.
func TestCanonical(t *testing.T) {
	cfg := Config{Tasks: 3, Hosts: 2, Requests: 1, Attempts: 2, Faults: 1}
	m := model{m: real(), cfg: cfg}
	s := start(&cfg)
	var acts []action
	for i := range 40 {
		if acts = m.actions(&s, acts); len(acts) == 0 {
			break
		}
		next := s
		st := step{model: &m, s: &next}
		acts[(i*7)%len(acts)].do(&st)
		if st.full || st.bad != "" {
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

// The traces of planted bugs, played through the placer's real core, in which nothing is planted:
// the step that broke a property is vetoed, or leads to nothing that should not be.
func TestReplay(t *testing.T) {
	for _, p := range InjectedBugs {
		cfg := planted(&p)
		r, err := Run(cfg)
		if err != nil || len(r.Violations) == 0 {
			t.Fatalf("%s: %v, %v", p.Name, r, err)
		}
		out, err := Replay(&Trace{Config: cfg, Violation: r.Violations[0]})
		if err != nil {
			t.Fatal(err)
		}
		if out.BoundTwice && p.Effect == forkhead.Unsafe {
			t.Errorf("%s: the real core lets an unsafe task be held twice: %+v", p.Name, out)
		}
		t.Logf("%s: %d vetoes, %d offers, %d starts, parted %q", p.Name, out.Vetoes, out.Offers, out.Starts, out.Divergence)
		if p.Name == "double-send" && out.Vetoes != 1 {
			t.Errorf("%d vetoes of an offer beside one that is out", out.Vetoes)
		}
	}
}

// A run without a bug, played through the core, ends as the search says: placed, once.
func TestReplayGood(t *testing.T) {
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
