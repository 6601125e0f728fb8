package core_test

import (
	"strings"
	"testing"
	"time"

	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/simulation"
)

// Each task of a submission is placed, and its outcome names the host, the rack and the number of attempts.
func TestCorePlacesEachTask(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 6)
	out := s.Await(s.Submit("", `
name: shop
services:
  web: {image: web, deploy: {replicas: 5}}
  ledger: {image: ledger, x-forkhead: {class: ledger}, deploy: {replicas: 2}}
`), 5*time.Second)
	if simulation.Count(out, core.OutcomePlaced) != 7 {
		t.Fatalf("of 7 tasks, outcomes = %+v, want 7 placed", out)
	}
	if o := out["web/1"]; o.Host == "" || o.Rack == "" || o.Attempts < 1 {
		t.Fatalf("outcome of web/1 = %+v, want a host, a rack and at least one attempt", o)
	}
	s.RequireNoViolations()
}

// A class allows two tasks of a service in one rack, and three racks have a large host. Of eight tasks six are placed,
// the others are rejected with the spread limit as the reason, and none has two outcomes.
func TestCoreRejectsTasksBeyondTheSpreadLimit(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 6)
	out := s.Await(s.Submit("", `
name: calendar
services:
  calendar-batch:
    x-forkhead: {class: batch}
    deploy: {replicas: 8, resources: {reservations: {cpus: "2", memory: 4gb}}}
`), 20*time.Second)
	if simulation.Count(out, core.OutcomePlaced) != 6 || simulation.Count(out, core.OutcomeRejected) != 2 {
		t.Fatalf("of 8 tasks, outcomes = %+v, want 6 placed and 2 refused", out)
	}
	for _, o := range out {
		if o.Outcome == core.OutcomeRejected && !strings.Contains(o.Reason, "spread: at most 2 of the service in one rack") {
			t.Fatalf("reason of a refused task = %q, want the spread limit of 2 in one rack", o.Reason)
		}
	}
	s.RequireNoViolations()
}

// A host crashes after it started an unsafe task and before it answered. The task may have run, so it is not offered
// again until the host is back with a new incarnation. After that it is offered exactly once more.
func TestCoreHoldsUnsafeTaskUntilItsAttemptIsSettled(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 4)
	for _, h := range s.HostNames {
		s.Hosts[h].Model.CrashAt(hostmodel.AfterBind)
	}
	id := s.Submit("", "name: p\nservices: {l: {x-forkhead: {class: ledger}}}")
	s.Advance(5 * time.Second)
	if len(s.Offers) != 1 {
		t.Fatalf("while the first attempt may have run, %d offers were sent, want 1", len(s.Offers))
	}
	first := s.Offers[0].Host
	for _, h := range s.HostNames {
		s.Hosts[h].Model.CrashAt(hostmodel.NoCrash)
	}
	s.RestartHost(first, true)
	out := s.Await(id, 15*time.Second)
	if simulation.Count(out, core.OutcomePlaced) != 1 || len(s.Offers) != 2 {
		t.Fatalf("after the host's restart, outcomes = %+v after %d offers, want one placed after 2", out, len(s.Offers))
	}
	s.RequireNoViolations()
}

// A host's reply arrives after the deadline of its request. The started task is either stopped or adopted by its owner,
// so that there is one outcome, and as many tasks run as were placed.
func TestCoreSettlesReplyAfterDeadline(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 2)
	for _, h := range s.HostNames {
		s.Hosts[h].Model.SlowDown(s.Now, 10*time.Second, 30) // a start takes 3 s, a request times out after 2 s
	}
	out := s.Await(s.Submit("", "name: p\nservices: {l: {x-forkhead: {class: ledger, patience: 9s}}}"), 20*time.Second)
	if len(out) != 1 {
		t.Fatalf("with replies after the deadline, outcomes = %+v, want 1", out)
	}
	s.Advance(5 * time.Second)
	running := s.RunningTasks()
	if placed := simulation.Count(out, core.OutcomePlaced); running != placed {
		t.Fatalf("with replies after the deadline, %d tasks run, want the %d that were placed", running, placed)
	}
	s.RequireNoViolations()
}
