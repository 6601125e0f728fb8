package core_test

import (
	"strings"
	"testing"
	"time"

	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/simulation"
)

// Services start in the order of their dependencies, each once the conditions on the services that it depends on are
// met. A service that depends on one that cannot be placed is rejected with that reason.
func TestCoreStartsServicesAfterTheirDependencies(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 4)
	out := s.Await(s.Submit("", `
name: p
services:
  web: {depends_on: [db]}
  db: {depends_on: {migrate: {condition: service_completed_successfully}}}
  migrate: {x-forkhead: {life: 500ms}, deploy: {mode: replicated-job}}
`), 10*time.Second)
	if simulation.Count(out, core.OutcomePlaced) != 3 {
		t.Fatalf("with dependencies that can be met, outcomes = %+v, want 3 placed", out)
	}
	if s.Offers[0].Offer.Spec.Name != "p/migrate/1" || s.Offers[2].Offer.Spec.Name != "p/web/1" {
		t.Fatalf("offers in order = %v, want p/migrate/1 first and p/web/1 third", s.Offers)
	}
	if gap := s.Offers[1].At - s.Offers[0].At; gap < 500*time.Millisecond {
		t.Fatalf("db was offered %v after migrate, want at least the 500ms that migrate runs", gap)
	}
	out = s.Await(s.Submit("", `
name: q
services:
  web: {depends_on: [db]}
  db: {deploy: {resources: {reservations: {cpus: "400"}}}}
`), 10*time.Second)
	if o := out["web/1"]; o.Outcome != core.OutcomeRejected || !strings.Contains(o.Reason, "depends on db") {
		t.Fatalf("outcome of web, whose dependency cannot be placed = %+v, want refused with \"depends on db\"", o)
	}
	if o := out["db/1"]; !strings.Contains(o.Reason, "more than any kind of host has") {
		t.Fatalf("outcome of db, which needs 400 cores = %+v, want the reason \"more than any kind of host has\"", o)
	}
	s.RequireNoViolations()
}
