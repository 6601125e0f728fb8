package core_test

import (
	"testing"
	"time"

	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/simulation"
)

// A project is removed and submitted again at once. No task may be offered before its earlier copy has ended, even if
// the stop takes long to arrive or cannot arrive at all (a chaos test found this as a breach of rule 2, no_repeat).
func TestCoreAwaitsEndOfRemovedTasks(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 4)
	text := "name: p\nservices: {l: {x-forkhead: {class: ledger}, deploy: {replicas: 4}}}"
	s.Await(s.Submit("", text), 5*time.Second)
	s.Delay = 100 * time.Millisecond
	s.Step(core.RemoveProject{Request: 2, Project: "p"})
	stopped := s.Now
	out := s.Await(s.Submit("", text), 10*time.Second)
	if simulation.Count(out, core.OutcomePlaced) != 4 {
		t.Fatalf("after the project was removed and submitted again, outcomes = %+v, want 4 placed", out)
	}
	for _, o := range s.Offers[4:] {
		if o.At < stopped+2*s.Delay {
			t.Fatalf("%s was offered %v after its earlier copy was told to stop, want at least %v", o.Offer.Spec.Name, o.At-stopped, 2*s.Delay)
		}
	}
	if n := s.RunningTasks(); n != 4 {
		t.Fatalf("after the project was submitted again, %d tasks run, want 4", n)
	}
	// A task whose earlier copy is on an unreachable host is rejected and not offered anywhere.
	for _, h := range s.HostNames {
		s.Hosts[h].Blackholed = true
	}
	n := len(s.Offers)
	s.Step(core.RemoveProject{Request: 3, Project: "p"})
	if out := s.Await(s.Submit("", text), 60*time.Second); simulation.Count(out, core.OutcomeRejected) != 4 || len(s.Offers) != n {
		t.Fatalf("with unreachable hosts, outcomes = %+v and %d new offers, want 4 refused and 0", out, len(s.Offers)-n)
	}
	s.RequireNoViolations()
}
