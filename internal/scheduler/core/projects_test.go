package core_test

import (
	"testing"
	"time"

	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/simulation"
)

// A project that is removed and submitted again at once: no task starts while its earlier copy
// has not ended, also where that takes a while. Found by a chaos test, as a breach of rule 2.
func TestCoreAwaitsEndOfRemovedTasks(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 4)
	text := "name: p\nservices: {l: {x-forkhead: {class: ledger}, deploy: {replicas: 4}}}"
	s.Await(s.Submit("", text), 5*time.Second)
	s.Delay = 100 * time.Millisecond
	s.Step(core.RemoveProject{Request: 2, Project: "p"})
	stopped := s.Now
	out := s.Await(s.Submit("", text), 10*time.Second)
	if simulation.Count(out, core.OutcomePlaced) != 4 {
		t.Fatalf("outcomes: %+v", out)
	}
	for _, o := range s.Offers[4:] {
		if o.At < stopped+2*s.Delay {
			t.Fatalf("%s is offered %v after the stop of its earlier copy was sent", o.Offer.Spec.Name, o.At-stopped)
		}
	}
	if n := s.RunningTasks(); n != 4 {
		t.Fatalf("%d run", n)
	}
	// With its host out of reach the task is rejected, and nothing is offered.
	for _, h := range s.HostNames {
		s.Hosts[h].Blackholed = true
	}
	n := len(s.Offers)
	s.Step(core.RemoveProject{Request: 3, Project: "p"})
	if out := s.Await(s.Submit("", text), 60*time.Second); simulation.Count(out, core.OutcomeRejected) != 4 || len(s.Offers) != n {
		t.Fatalf("outcomes: %+v, %d new offers", out, len(s.Offers)-n)
	}
	s.RequireNoViolations()
}
