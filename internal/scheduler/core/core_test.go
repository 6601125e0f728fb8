package core_test

import (
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/simulation"
)

// A faulty module repeats an offer and withdraws the attempt of the repeated offer. It also withdraws an attempt that
// does not exist, and offers and rejects a task that was never requested. The repeated offer, and the offer and the
// rejection of the unknown task, are vetoed and counted. The withdrawals have no effect, and the placer still places
// the task.
func TestCoreVetoesActionsThatBreakInvariants(t *testing.T) {
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
		t.Fatalf("with a faulty module, outcomes = %+v, want one placed", out)
	}
	if st := s.Core.Status(); st.Vetoes != 3 || st.VetoesByRule["no_repeat"] != 1 || st.VetoesByRule["one_answer"] != 2 || st.Defects != 3 || len(s.Offers) != 1 {
		t.Fatalf("with a faulty module, Status() = %+v and %d offers sent, want 3 vetoes (1 no_repeat, 2 one_answer), 3 defects and 1 offer", st, len(s.Offers))
	}
}

// Two runs with the same inputs at the same times send the same offers. A dependence on map order or on a clock would
// break replays of recordings.
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
		t.Fatalf("two runs of one history: same offers %v, %d offers in the first; want true and at least 35", a == b, n)
	}
}
