package explore

import (
	"strings"
	"testing"

	"forkhead"
)

func small(effect forkhead.Effect) Config {
	return Config{Tasks: 1, Hosts: 2, Effect: effect, Asks: 2, Attempts: 2, Faults: 1}
}

// With nothing planted every state is reached and no property is broken.
func TestNothingFound(t *testing.T) {
	for _, effect := range []forkhead.Effect{forkhead.Safe, forkhead.Keyed, forkhead.Unsafe} {
		r, err := Run(small(effect))
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range r.Violations {
			t.Errorf("effect %d: %s: %s\n  %s", effect, v.Property, v.Why, strings.Join(v.Trace, "\n  "))
		}
		if !r.Complete || r.States < 1000 || r.Ends == 0 {
			t.Errorf("effect %d: %d states, %d ends, complete %v", effect, r.States, r.Ends, r.Complete)
		}
		t.Logf("effect %d: %d states, depth %d, %v, %.0f states/s", effect, r.States, r.Depth, r.Took, float64(r.States)/r.Took.Seconds())
	}
}

// Each planted bug is found, as the property that it breaks.
func TestPlants(t *testing.T) {
	for _, p := range Plants {
		cfg := small(p.Effect)
		cfg.Plant = p.Name
		if cfg.Faults = p.Faults; p.Faults > 1 {
			cfg.Hosts = 1
		}
		r, err := Run(cfg)
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Violations) == 0 {
			t.Errorf("%s: not found in %d states", p.Name, r.States)
			continue
		}
		if v := r.Violations[0]; v.Property != p.Property {
			t.Errorf("%s: found as %s (%s), want %s\n  %s", p.Name, v.Property, v.Why, p.Property, strings.Join(v.Trace, "\n  "))
		}
	}
}
