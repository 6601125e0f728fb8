package simulation

import (
	"slices"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/verify/rules"
)

// unsafeClasses lists the classes of Settings and Spread whose effect is unsafe: their tasks must not run twice.
var unsafeClasses = []string{"ledger", "books"}

// Verdict checks the placer's captured traffic against the rules and returns the result.
func (s *Sim) Verdict() rules.Verdict {
	events := make([]capture.Event, 0, len(s.HostNames)+len(s.Captured))
	for _, name := range s.HostNames {
		cfg := &s.Hosts[name].Config
		events = append(events, capture.Event{Type: capture.HostUp, Host: name, Zone: cfg.Zone, Rack: cfg.Rack})
	}
	return rules.Check(append(events, s.Captured...), rules.ConfigFromSettings(s.Settings, 0))
}

// RequireNoViolations fails the test if the core logged an invariant violation or vetoed an output, or if the placer's
// traffic breaks a rule.
func (s *Sim) RequireNoViolations() {
	s.t.Helper()
	if len(s.Defects) > 0 {
		s.t.Fatalf("core logged %d invariant violations, want none: %v", len(s.Defects), s.Defects)
	}
	if st := s.Core.Status(); st.Vetoes > 0 {
		s.t.Fatalf("core vetoed %d outputs, want none; by rule: %v", st.Vetoes, st.VetoesByRule)
	}
	if v := s.Verdict(); !v.OK() {
		s.t.Fatalf("captured traffic breaks rules, want no breaches: %v", v.Breaches)
	}
}

// RequireNoDuplicates fails the test if two hosts that are up run the same unsafe task.
func (s *Sim) RequireNoDuplicates() {
	runsOn := map[uint64]string{}
	for _, name := range s.HostNames {
		h := s.Hosts[name]
		if h.Model.Dead() {
			continue
		}
		for _, spec := range h.Model.BoundSpecs() {
			if !slices.Contains(unsafeClasses, spec.Class) {
				continue
			}
			if other := runsOn[spec.Key]; other != "" {
				s.t.Fatalf("unsafe task %s runs on hosts %s and %s, want one host", spec.Name, other, name)
			}
			runsOn[spec.Key] = name
		}
	}
}
