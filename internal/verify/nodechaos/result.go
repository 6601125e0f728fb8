package nodechaos

import (
	"fmt"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/emulator/platformmodel"
	"forkhead/internal/verify/noderules"
)

// spreadDomain is the domain of the spread limit.
const spreadDomain = forkhead.CellDomain

// maxPrintedBreaches bounds the breaches that Text prints in full.
const maxPrintedBreaches = 5

// Result is the result of a run.
type Result struct {
	Plan     Plan
	Breaches []noderules.Breach
	Outcomes map[platformmodel.Outcome]int // requests by their outcome at the end
	Faults   map[string]int                // targets of faults, by the name of the fault

	begin   time.Duration
	journal *platformmodel.Journal
}

// count fills in the figures of a result.
func (r *Result) count(reports [][]platformmodel.RequestReport, journal *platformmodel.Journal) {
	r.journal = journal
	r.Outcomes, r.Faults = map[platformmodel.Outcome]int{}, map[string]int{}
	for _, owner := range reports {
		for i := range owner {
			r.Outcomes[owner[i].Outcome]++
		}
	}
	for i := range journal.Records {
		record := &journal.Records[i]
		if r.begin == 0 && record.Party.Kind == platformmodel.OwnerParty {
			r.begin = record.At
		}
		if record.Event == platformmodel.RecordFaultBegan {
			r.Faults[record.Fault.String()]++
		}
	}
}

// ByRule returns the number of breaches of each rule.
func (r *Result) ByRule() map[noderules.Rule]int {
	counts := map[noderules.Rule]int{}
	for _, b := range r.Breaches {
		counts[b.Rule]++
	}
	return counts
}

// Text returns the plan as lines: its shape, then one line for each fault and signal.
func (p *Plan) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %v, %d placers, %d hosts in %d racks, tasks run %v to %v, released after %v\n",
		p.Seed, p.Length, p.Placers, p.Hosts, p.Racks, p.RunTime.Min, p.RunTime.Max, p.ReleaseAfter)
	for _, f := range p.Faults {
		fmt.Fprintf(&text, "  %v for %v: %s, target %+v, amount %v\n", f.At, f.Duration, f.Type, f.Target, f.Amount)
	}
	for _, s := range p.Signals {
		fmt.Fprintf(&text, "  %v: %v to placer %d, %v; then %v each %v\n", s.At, s.Signal, s.Placer, s.RestartDelay, s.Then, s.Interval)
	}
	if p.Crowd.Connections > 0 {
		fmt.Fprintf(&text, "  %v: a crowd of %d at placer %d\n", p.Crowd.At, p.Crowd.Connections, p.Crowd.Placer)
	}
	return text.String()
}

// Text returns the seed, the first breaches and the timeline of the first request concerned.
func (r *Result) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %d breaches %v, requests %v, faults %v\n", r.Plan.Seed, len(r.Breaches), r.ByRule(), r.Outcomes, r.Faults)
	for i, b := range r.Breaches {
		if i == maxPrintedBreaches {
			fmt.Fprintf(&text, "  and %d more\n", len(r.Breaches)-i)
			break
		}
		b.At -= r.begin
		fmt.Fprintf(&text, "  %s\n", b)
	}
	if len(r.Breaches) > 0 {
		for _, line := range noderules.Timeline(r.journal, r.Breaches[0].Ref, r.begin) {
			fmt.Fprintf(&text, "    %s\n", line)
		}
	}
	return text.String()
}
