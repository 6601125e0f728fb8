package core_test

import (
	"testing"
	"time"

	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/simulation"
)

// The connection breaks while the report that an unsafe task runs is on its way. The host reports the task again after
// the reconnect, and the placer adopts it there instead of starting it a second time.
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
		t.Fatalf("after the reply of %s was lost, outcome = %+v after %d offers, want placed there after 1", lost, o, len(s.Offers))
	}
	s.RequireNoViolations()
}

// The offer of an unsafe task is lost with its connection. After the reconnect the placer queries the attempt, learns
// that it never ran, and offers the task again.
func TestCoreOffersUnsafeTaskAgainAfterLostOffer(t *testing.T) {
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
		t.Fatalf("after an offer was lost, outcomes = %+v after %d offers, want one placed after 2", out, len(s.Offers))
	}
	s.RequireNoViolations()
}

// A placer without durable state is killed while attempts are in flight. After its restart the hosts report the tasks
// that they hold, and a client that repeats its submission gets these tasks as outcomes: no unsafe task is offered
// twice, and six tasks run.
func TestCoreRestartStartsNothingTwice(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 6)
	text := "name: p\nservices: {web: {deploy: {replicas: 3}}, l: {x-forkhead: {class: ledger}, deploy: {replicas: 3}}}"
	s.Submit("k", text)
	s.Advance(30 * time.Millisecond) // attempts are in flight
	s.RestartPlacer()
	out := s.Await(s.Submit("k", text), 20*time.Second)
	if simulation.Count(out, core.OutcomePlaced) != 6 {
		t.Fatalf("after the restart, outcomes = %+v, want 6 placed", out)
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
			t.Errorf("unsafe task %x was offered %d times, want 1", k, n)
		}
	}
	if running != 6 {
		t.Fatalf("after the restart, %d tasks run, want 6", running)
	}
	s.RequireNoViolations()
}
