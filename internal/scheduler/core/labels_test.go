package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/simulation"
)

// Services with constraints on labels, one task per host, a limit per node and a preference to spread over racks are
// placed accordingly; a constraint that no host meets rejects the service, and removing the project frees all labels.
func TestCoreObeysPlacementConstraints(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 6)
	out := s.Await(s.Submit("", `
name: p
services:
  a: {deploy: {replicas: 3, placement: {constraints: ["node.labels.rack == r1", "node.hostname != h2"]}}}
  b: {deploy: {mode: global}}
  c: {deploy: {replicas: 6, placement: {max_replicas_per_node: 1}}}
  d: {deploy: {replicas: 6, placement: {preferences: [{spread: node.labels.rack}]}}}
  e: {x-forkhead: {wait: 300ms, patience: 500ms}, deploy: {placement: {constraints: ["node.labels.disk == ssd"]}}}
`), 10*time.Second)
	hosts := map[string]map[string]int{}
	racks := map[string]int{}
	for _, o := range out {
		if o.Outcome != core.OutcomePlaced {
			continue
		}
		if hosts[o.Service] == nil {
			hosts[o.Service] = map[string]int{}
		}
		hosts[o.Service][o.Host]++
		if o.Service == "d" {
			racks[o.Rack]++
		}
	}
	if hosts["a"]["h3"] != 3 || len(hosts["b"]) != 6 || len(hosts["c"]) != 6 {
		t.Fatalf("tasks by service and host = %v, want 3 of a on h3, and b and c on 6 hosts each", hosts)
	}
	if racks["r0"] != 2 || racks["r1"] != 2 || racks["r2"] != 2 {
		t.Fatalf("with a preference to spread over racks, tasks of d by rack = %v, want 2 in each of r0, r1 and r2", racks)
	}
	if o := out["e/1"]; o.Outcome != core.OutcomeRejected || !strings.Contains(o.Reason, "no ready host meets label.disk == ssd") {
		t.Fatalf("outcome of e, whose constraint no host meets = %+v, want refused with that constraint as the reason", o)
	}
	s.Step(core.RemoveProject{Project: "p"})
	s.Advance(time.Second)
	if n := s.Core.TableSizes().Labels; n != 0 {
		t.Fatalf("after the project was removed, %d labels are in use, want 0", n)
	}
	s.RequireNoViolations()
}

// A service that must be near another one is placed only in the domain of that one, even after that one has been placed
// again elsewhere. It is rejected if no host in that domain has the capacity.
func TestCorePlacesServicesNearOthers(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 8)
	out := s.Await(s.Submit("", `
name: p
services:
  db: {deploy: {resources: {reservations: {cpus: "6"}}}}
  web: {x-forkhead: {near: {db: rack}}, deploy: {replicas: 4}}
  side: {x-forkhead: {near: {db: machine}}}
  far: {x-forkhead: {near: {db: machine}, wait: 400ms, patience: 800ms}, deploy: {resources: {reservations: {cpus: "31"}}}}
`), 10*time.Second)
	db := out["db/1"]
	for i := 1; i <= 4; i++ {
		if o := out[fmt.Sprintf("web/%d", i)]; o.Outcome != core.OutcomePlaced || o.Rack != db.Rack {
			t.Fatalf("db is at %+v, web/%d at %+v; want web placed in the rack of db", db, i, o)
		}
	}
	if o := out["side/1"]; o.Host != db.Host {
		t.Fatalf("db is at %+v, side at %+v; want both on one host", db, o)
	}
	if o := out["far/1"]; o.Outcome != core.OutcomeRejected {
		t.Fatalf("outcome of far, for which no capacity is left beside db = %+v, want refused", o)
	}
	// The host of db is lost for good: db is placed elsewhere, and a service that is added later follows it there.
	s.KillHost(db.Host)
	s.Hosts[db.Host].Listed = false
	s.SendHostList()
	s.Advance(5 * time.Second)
	out = s.Await(s.Submit("", `
name: p
services:
  db: {deploy: {resources: {reservations: {cpus: "6"}}}}
  new: {x-forkhead: {near: {db: machine}}}
`), 10*time.Second)
	if now := out["db/1"]; now.Host == db.Host || out["new/1"].Host != now.Host {
		t.Fatalf("after host %s was lost, outcomes = %+v; want db on another host and new beside it", db.Host, out)
	}
	s.RequireNoViolations()
}
