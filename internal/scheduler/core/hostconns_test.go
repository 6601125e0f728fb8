package core_test

import (
	"testing"
	"time"

	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/simulation"
)

// Hosts that crash in the middle of a start, or after it and before they report it: safe tasks go
// elsewhere, and each gets one outcome.
func TestCoreRetriesSafeTasksOfCrashedHosts(t *testing.T) {
	for name, point := range map[string]hostmodel.CrashPoint{"mid look": hostmodel.DuringDecision, "mid start": hostmodel.DuringStart, "after bind": hostmodel.AfterBind} {
		t.Run(name, func(t *testing.T) {
			s := simulation.New(t, simulation.Settings(t, ""), 6)
			for _, h := range s.HostNames[:3] {
				s.Hosts[h].Model.CrashAt(point)
			}
			out := s.Await(s.Submit("", "name: p\nservices: {web: {deploy: {replicas: 12}}}"), 20*time.Second)
			if simulation.Count(out, core.OutcomePlaced) != 12 {
				t.Fatalf("outcomes: %+v", out)
			}
			s.RequireNoViolations()
		})
	}
}

// A host that becomes unresponsive without a reset is detected; harmless tasks go elsewhere, and when it comes back
// what it still runs is stopped.
func TestCoreReplacesSafeTasksOfUnresponsiveHost(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 4)
	out := s.Await(s.Submit("", "name: p\nservices: {web: {deploy: {replicas: 4}}, l: {x-forkhead: {class: ledger}, deploy: {replicas: 4}}}"), 5*time.Second)
	victim := out["web/1"].Host
	s.Hosts[victim].Blackholed = true
	s.Advance(8 * time.Second)
	unsafe := 0
	for _, o := range s.Offers {
		if o.Offer.Spec.Class == "ledger" {
			unsafe++
		}
	}
	if unsafe != 4 {
		t.Fatalf("%d offers of four unsafe tasks", unsafe)
	}
	s.Hosts[victim].Blackholed = false
	s.Advance(8 * time.Second)
	running := s.RunningTasks()
	if running != 8 {
		t.Fatalf("%d tasks run, want 8", running)
	}
	s.RequireNoViolations()
}

// A host reports that it drains while offers are in flight and while a retry waits: nothing new reaches it after the
// grace.
func TestCoreSendsNothingToDrainingHostAfterTheGrace(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 3)
	s.Delay = 20 * time.Millisecond
	s.Submit("", "name: p\nservices: {web: {deploy: {replicas: 20}}}")
	s.Advance(25 * time.Millisecond)
	notifiedAt := s.Now
	s.ExecuteHostOutputs("h1", s.Hosts["h1"].Model.Drain(s.Now, true, false))
	s.Advance(10 * time.Second)
	for _, o := range s.Offers {
		if o.Host == "h1" && o.At > notifiedAt+s.Delay+s.Settings.Module.DrainGrace {
			t.Fatalf("an offer to h1 %v after it drains", o.At-notifiedAt)
		}
	}
	s.RequireNoViolations()
}

// A host that flaps under one name with a new epoch each time: no task has two outcomes, none is
// lost, and the tables are empty once the project is removed.
func TestCoreForgetsEverythingAfterFlappingHost(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 4)
	id := s.Submit("", "name: p\nservices: {web: {deploy: {replicas: 30}}, l: {x-forkhead: {class: ledger}, deploy: {replicas: 4}}}")
	for range 10 {
		s.Advance(300 * time.Millisecond)
		s.KillHost("h1")
		s.Advance(150 * time.Millisecond)
		s.RestartHost("h1", false)
	}
	if out := s.Await(id, 30*time.Second); len(out) != 34 {
		t.Fatalf("%d outcomes", len(out))
	}
	s.Advance(10 * time.Second)
	s.Step(core.RemoveProject{Request: 2, Project: "p"})
	s.Advance(5 * time.Second)
	if sizes := s.Core.TableSizes(); sizes != (core.TableSizes{Hosts: sizes.Hosts}) {
		t.Fatalf("left over: %+v", sizes)
	}
	s.RequireNoViolations()
}
