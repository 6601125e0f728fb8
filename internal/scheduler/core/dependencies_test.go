package core_test

import (
	"strings"
	"testing"
	"time"

	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/simulation"
)

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
		t.Fatalf("outcomes: %+v", out)
	}
	if s.Offers[0].Offer.Spec.Name != "p/migrate/1" || s.Offers[2].Offer.Spec.Name != "p/web/1" {
		t.Fatalf("order of offers: %v", s.Offers)
	}
	if gap := s.Offers[1].At - s.Offers[0].At; gap < 500*time.Millisecond {
		t.Fatalf("db went out %v after migrate, which takes 500ms", gap)
	}
	out = s.Await(s.Submit("", `
name: q
services:
  web: {depends_on: [db]}
  db: {deploy: {resources: {reservations: {cpus: "400"}}}}
`), 10*time.Second)
	if o := out["web/1"]; o.Outcome != core.OutcomeRejected || !strings.Contains(o.Reason, "depends on db") {
		t.Fatalf("web: %+v", o)
	}
	if o := out["db/1"]; !strings.Contains(o.Reason, "more than any kind of host has") {
		t.Fatalf("db: %+v", o)
	}
	s.RequireNoViolations()
}
