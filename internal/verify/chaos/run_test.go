package chaos

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"forkhead"
	"forkhead/internal/scheduler/invariant"
	"forkhead/internal/verify/scenario"
)

// shortScenario has faults of hosts, placers, connections and clients.
const shortScenario = `(badday (seed 3) (length 5s) (settle 8s)
  (hosts 3 (kind std-28) (zone north) (racks 2) (prefix n-))
  (hosts 2 (kind large-56) (zone south) (racks 1) (prefix s-))
  (load web (class web) (rate 10) (replicas 1 4) (life 500ms 2s))
  (load ledger (class ledger-batch) (rate 3) (replicas 1 2) (life 500ms 2s))
  (troubles
    (crash (at 500ms) (for 1s)) (cut (at 1s) (for 2s) (hosts 0.5) (every 300ms)) (client-cut (at 1s) (for 1s))
    (slow-reader (at 2s) (for 1s)) (placer-kill (at 2500ms) (for 300ms) (placer 0)) (tear (at 3s) (for 1s) (hosts 1))
    (half-open (at 4s) (hosts 0.2))))`

// A breach of each rule, made on purpose on the sockets, is caught in the captured traffic.
func TestInjectedBugsAreCaught(t *testing.T) {
	rule := map[scenario.InjectedBug]invariant.Rule{
		scenario.BugTwoOutcomes: invariant.OneAnswer, scenario.BugRepeatedOffer: invariant.NoRepeat, scenario.BugOfferWhileDraining: invariant.Drain,
		scenario.BugSlowStartOverload: invariant.SlowStart, scenario.BugSpreadExceeded: invariant.Spread,
	}
	for _, bug := range scenario.InjectedBugs {
		t.Run(string(bug), func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Read("test", []byte(`(badday (length 2s) (settle 2s) (hosts 3 (kind std-28) (zone north))
			  (load web (class web) (rate 10)) (plant `+string(bug)+`))`))
			if err != nil {
				t.Fatal(err)
			}
			r, err := Run(context.Background(), s, Options{Log: zerolog.Nop()})
			if err != nil {
				t.Fatal(err)
			}
			if r.OK() || r.Verdict.Counts[rule[bug]] == 0 {
				t.Fatalf("not caught: %v", r.Rules)
			}
		})
	}
}

// runShort runs shortScenario.
func runShort(t *testing.T, opt Options) *Result {
	t.Helper()
	s, err := scenario.Read("test", []byte(shortScenario))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	opt.Log = zerolog.Nop()
	r, err := Run(ctx, s, opt)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestRunShortScenario(t *testing.T) {
	r := runShort(t, Options{})
	if !r.OK() || r.Defects > 0 {
		t.Fatalf("vetoes %d, defects %d, breaches %v", r.Vetoes, r.Defects, r.Verdict.Breaches)
	}
	if r.Tasks < 50 || r.Outcomes["placed"] < r.Tasks/2 {
		t.Fatalf("a run with hardly any tasks proves nothing: %+v", r)
	}
}

// A module that breaks the rules offers tasks twice at once and to removed hosts, repeats unsafe ones, and answers
// twice. The invariant checks let none of it onto the sockets, and count it.
func TestBrokenModuleIsVetoed(t *testing.T) {
	newModule := func(set forkhead.Settings) func(time.Duration, []forkhead.Event) []forkhead.Action {
		module, err := forkhead.New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		rng := rand.New(rand.NewPCG(1, 2))
		var seen []forkhead.MachineID
		return func(now time.Duration, events []forkhead.Event) []forkhead.Action {
			for _, ev := range events {
				if u, ok := ev.(forkhead.ListUpdate); ok {
					for _, m := range u.Machines {
						seen = append(seen, m.ID)
					}
				}
			}
			var out []forkhead.Action
			for _, a := range module.Step(now, events) {
				out = append(out, a)
				switch a := a.(type) {
				case forkhead.Offer:
					out = append(out, forkhead.Offer{Task: a.Task, Machine: seen[rng.IntN(len(seen))]})
				case forkhead.Reject:
					out = append(out, forkhead.Fail{Task: a.Task})
				}
			}
			return out
		}
	}
	r := runShort(t, Options{NewModule: newModule})
	if r.Vetoes == 0 {
		t.Fatal("no veto of a module that breaks rules")
	}
	if n := r.Verdict.Counts[invariant.NoRepeat] + r.Verdict.Counts[invariant.Spread] + r.Verdict.Counts[invariant.Drain]; n > 0 {
		t.Fatalf("%d breaches reached the sockets: %v", n, r.Verdict.Breaches)
	}
}
