package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/simulation"
)

func TestCoreKeepsPlacementConstraints(t *testing.T) {
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
		t.Fatalf("placed at %v", hosts)
	}
	if racks["r0"] != 2 || racks["r1"] != 2 || racks["r2"] != 2 {
		t.Fatalf("a preference to spread over racks gave %v", racks)
	}
	if o := out["e/1"]; o.Outcome != core.OutcomeRejected || !strings.Contains(o.Reason, "no ready host meets label.disk == ssd") {
		t.Fatalf("e: %+v", o)
	}
	s.Step(core.RemoveProject{Project: "p"})
	s.Advance(time.Second)
	if n := s.Core.TableSizes().Labels; n != 0 {
		t.Fatalf("%d labels are still in use", n)
	}
	s.RequireNoViolations()
}

// A service that has to be near another goes only where that one is, follows it where it is placed
// again, and is rejected where there is no capacity beside it.
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
			t.Fatalf("db is at %+v, web/%d at %+v", db, i, o)
		}
	}
	if o := out["side/1"]; o.Host != db.Host {
		t.Fatalf("db is at %+v, side at %+v", db, o)
	}
	if o := out["far/1"]; o.Outcome != core.OutcomeRejected {
		t.Fatalf("far: %+v", o)
	}
	// Its host is lost for good: db comes up elsewhere, and what comes after it follows.
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
		t.Fatalf("%+v", out)
	}
	s.RequireNoViolations()
}
