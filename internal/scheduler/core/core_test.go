package core_test

import (
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/simulation"
)

// A module offers twice, and withdraws what was vetoed and what never was: that is vetoed and counted, and the placer goes
// on.
func TestCoreVetoesHarmfulActions(t *testing.T) {
	set := simulation.Settings(t, "")
	module, err := forkhead.New(set.Module, 1)
	if err != nil {
		t.Fatal(err)
	}
	s := simulation.New(t, set, 4, func(c *core.Config) {
		c.Decide = func(now time.Duration, events []forkhead.Event) (out []forkhead.Action) {
			for _, a := range module.Step(now, events) {
				out = append(out, a)
				if o, ok := a.(forkhead.Offer); ok {
					out = append(out, o, forkhead.Withdraw{Task: o.Task, Attempt: 1}, forkhead.Withdraw{Task: o.Task, Attempt: 7},
						forkhead.Offer{Task: 9999, Machine: o.Machine}, forkhead.Reject{Task: 9999})
				}
			}
			return out
		}
	})
	if out := s.Await(s.Submit("", "services: {l: {x-forkhead: {class: ledger}}}"), 10*time.Second); simulation.Count(out, core.OutcomePlaced) != 1 {
		t.Fatalf("outcomes: %+v", out)
	}
	if st := s.Core.Status(); st.Vetoes != 3 || st.VetoesByRule["no_repeat"] != 1 || st.VetoesByRule["one_answer"] != 2 || st.Defects != 3 || len(s.Offers) != 1 {
		t.Fatalf("%+v, %d offers", st, len(s.Offers))
	}
}

// The same inputs at the same times give the same outputs.
func TestCoreIsDeterministic(t *testing.T) {
	play := func() (string, int) {
		s := simulation.New(t, simulation.Settings(t, ""), 5)
		s.Submit("", "name: p\nservices: {web: {deploy: {replicas: 30}}, l: {x-forkhead: {class: ledger}, deploy: {replicas: 5}}}")
		s.Advance(time.Second)
		s.KillHost("h1")
		s.Advance(time.Second)
		s.RestartHost("h1", true)
		s.Advance(3 * time.Second)
		text := ""
		for _, o := range s.Offers {
			text += o.At.String() + o.Host + o.Offer.Spec.Name + "\n"
		}
		return text, len(s.Offers)
	}
	a, n := play()
	b, _ := play()
	if a != b || n < 35 {
		t.Fatalf("two plays of one history differ (%d offers)", n)
	}
}
