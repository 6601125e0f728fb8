package core_test

import (
	"strings"
	"testing"
	"time"

	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/simulation"
)

func TestCorePlacesEachTask(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 6)
	out := s.Await(s.Submit("", `
name: shop
services:
  web: {image: web, deploy: {replicas: 5}}
  ledger: {image: ledger, x-forkhead: {class: ledger}, deploy: {replicas: 2}}
`), 5*time.Second)
	if simulation.Count(out, core.OutcomePlaced) != 7 {
		t.Fatalf("outcomes: %+v", out)
	}
	if o := out["web/1"]; o.Host == "" || o.Rack == "" || o.Attempts < 1 {
		t.Fatalf("outcome lacks its place: %+v", o)
	}
	s.RequireNoViolations()
}

// Two in a rack are allowed, three racks have a large host: six of eight are placed, the rest
// rejected with the spread as the reason, and none has two outcomes.
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
		t.Fatalf("outcomes: %+v", out)
	}
	for _, o := range out {
		if o.Outcome == core.OutcomeRejected && !strings.Contains(o.Reason, "spread: at most 2 of the service in one rack") {
			t.Fatalf("reason: %q", o.Reason)
		}
	}
	s.RequireNoViolations()
}

// An unsafe task whose host crashes before it answered is not sent again before that incarnation
// of the host is known to be over, and then is.
func TestCoreHoldsUnsafeTaskUntilItsAttemptIsSettled(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 4)
	for _, h := range s.HostNames {
		s.Hosts[h].Model.CrashAt(hostmodel.AfterBind)
	}
	id := s.Submit("", "name: p\nservices: {l: {x-forkhead: {class: ledger}}}")
	s.Advance(5 * time.Second)
	if len(s.Offers) != 1 {
		t.Fatalf("%d offers while the first may have run", len(s.Offers))
	}
	first := s.Offers[0].Host
	for _, h := range s.HostNames {
		s.Hosts[h].Model.CrashAt(hostmodel.NoCrash)
	}
	s.RestartHost(first, true)
	out := s.Await(id, 15*time.Second)
	if simulation.Count(out, core.OutcomePlaced) != 1 || len(s.Offers) != 2 {
		t.Fatalf("outcomes %+v after %d offers", out, len(s.Offers))
	}
	s.RequireNoViolations()
}

// A reply that comes after the deadline's timer: the request has ended, the host is requested to stop
// what it started, or its owner takes it; there is one outcome either way.
func TestCoreSettlesReplyAfterDeadline(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 2)
	for _, h := range s.HostNames {
		s.Hosts[h].Model.SlowDown(s.Now, 10*time.Second, 30) // starts take 3 s, requests 2 s
	}
	out := s.Await(s.Submit("", "name: p\nservices: {l: {x-forkhead: {class: ledger, patience: 9s}}}"), 20*time.Second)
	if len(out) != 1 {
		t.Fatalf("outcomes: %+v", out)
	}
	s.Advance(5 * time.Second)
	running := s.RunningTasks()
	if placed := simulation.Count(out, core.OutcomePlaced); running != placed {
		t.Fatalf("%d run, %d placed", running, placed)
	}
	s.RequireNoViolations()
}
