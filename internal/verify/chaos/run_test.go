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

// A checker that misses breaches would pass every run, so a breach of each rule is committed on the sockets here, and
// the check of the captured traffic must report it.
func TestRunReportsInjectedBugs(t *testing.T) {
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
				t.Fatalf("Run() = OK %v, breaches by rule %v, want a breach of %v", r.OK(), r.Rules, rule[bug])
			}
		})
	}
}

// runShort runs shortScenario and returns its result.
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

func TestRunShortScenarioBreaksNoRule(t *testing.T) {
	r := runShort(t, Options{})
	if !r.OK() || r.Defects > 0 {
		t.Fatalf("Run() = %d vetoes, %d defects, breaches %v, want none", r.Vetoes, r.Defects, r.Verdict.Breaches)
	}
	if r.Tasks < 50 || r.Outcomes["placed"] < r.Tasks/2 {
		t.Fatalf("Run() = %d tasks, %d of them placed, want at least 50 and half of them placed: %+v", r.Tasks, r.Outcomes["placed"], r)
	}
}

// Actions of a module that break rules must not reach the sockets. The module of this test offers each task, also an
// unsafe one, to two machines at the same time. The second machine may have been removed. The module also reports a
// second outcome of a task. The invariant checks must veto these actions and count the vetoes.
func TestRunVetoesBrokenModule(t *testing.T) {
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
		t.Fatal("Run() = 0 vetoes with a module that breaks rules, want at least 1")
	}
	if n := r.Verdict.Counts[invariant.NoRepeat] + r.Verdict.Counts[invariant.Spread] + r.Verdict.Counts[invariant.Drain]; n > 0 {
		t.Fatalf("got %d breaches of no-repeat, spread and drain on the sockets, want 0: %v", n, r.Verdict.Breaches)
	}
}
