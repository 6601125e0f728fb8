package core_test

import (
	"testing"
	"time"

	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/simulation"
)

// The connection breaks while the start reply is on its way: the task runs, the host reports it
// when it is back, and the task is placed there; it is not started a second time.
func TestCoreAdoptsTaskWhoseReplyWasLost(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 4)
	lost := ""
	s.FromHost = func(host string, f hostproto.Frame) bool {
		if _, ok := f.(hostproto.Running); ok && lost == "" {
			lost = host
			s.After(0, func() { s.ResetConnections(host) })
			return false
		}
		return true
	}
	out := s.Await(s.Submit("", "name: p\nservices: {l: {x-forkhead: {class: ledger}}}"), 15*time.Second)
	if o := out["l/1"]; o.Outcome != core.OutcomePlaced || o.Host != lost || len(s.Offers) != 1 {
		t.Fatalf("outcome %+v, %d offers, lost at %s", o, len(s.Offers), lost)
	}
	s.RequireNoViolations()
}

// An offer that never arrived is known never to have run once the host is back and was queried.
func TestCoreOffersAgainWhatNeverArrived(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 4)
	lost := false
	s.ToHost = func(host string, f hostproto.Frame) bool {
		if _, ok := f.(hostproto.Offer); ok && !lost {
			lost = true
			s.After(0, func() { s.ResetConnections(host) })
			return false
		}
		return true
	}
	out := s.Await(s.Submit("", "name: p\nservices: {l: {x-forkhead: {class: ledger}}}"), 15*time.Second)
	if simulation.Count(out, core.OutcomePlaced) != 1 || len(s.Offers) != 2 {
		t.Fatalf("outcomes %+v, %d offers", out, len(s.Offers))
	}
	s.RequireNoViolations()
}

// A placer that is killed and starts again finds its tasks with the hosts; a client that sends
// its submission again gets them as they are, and nothing is started twice.
func TestCoreRestartStartsNothingTwice(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 6)
	text := "name: p\nservices: {web: {deploy: {replicas: 3}}, l: {x-forkhead: {class: ledger}, deploy: {replicas: 3}}}"
	s.Submit("k", text)
	s.Advance(30 * time.Millisecond) // attempts are out
	s.RestartPlacer()
	out := s.Await(s.Submit("k", text), 20*time.Second)
	if simulation.Count(out, core.OutcomePlaced) != 6 {
		t.Fatalf("outcomes: %+v", out)
	}
	s.Advance(3 * time.Second)
	keys := map[uint64]int{}
	running := s.RunningTasks()
	for _, o := range s.Offers {
		if o.Offer.Spec.Class == "ledger" {
			keys[o.Offer.Spec.Key]++
		}
	}
	for k, n := range keys {
		if n > 1 {
			t.Errorf("unsafe task %x was offered %d times", k, n)
		}
	}
	if running != 6 {
		t.Fatalf("%d tasks run, want 6", running)
	}
	s.RequireNoViolations()
}
