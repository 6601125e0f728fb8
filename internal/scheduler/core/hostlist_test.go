package core_test

import (
	"testing"
	"time"

	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/verify/simulation"
)

// A task that is submitted while the endpoint list cannot be read waits, and is placed once a later poll succeeds.
func TestCoreWaitsWhileTheHostListFails(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 0)
	s.CatalogUp = false
	s.SendHostList()
	for i := range 3 {
		s.AddHost(hostmodel.DefaultConfig("late"+string(rune('a'+i)), "small", "a", "r", 8, 16))
	}
	id := s.Submit("", "services: {w: {}}")
	s.Advance(time.Second)
	s.CatalogUp = true
	if out := s.Await(id, 10*time.Second); simulation.Count(out, core.OutcomePlaced) != 1 {
		t.Fatalf("after the endpoint list came back, outcomes = %+v, want one placed", out)
	}
	s.RequireNoViolations()
}

// The names of two of the four hosts hash to the same number. Both hosts get numbers of their own, so that a service
// with a task on each host reaches all four.
func TestCoreRenumbersCollidingHosts(t *testing.T) {
	hash := func(name string, salt uint32) uint32 {
		if salt == 0 && (name == "h0" || name == "h1") {
			return 42
		}
		return uint32(name[1]) + salt*1000
	}
	s := simulation.New(t, simulation.Settings(t, ""), 4, func(c *core.Config) { c.Hash = hash })
	out := s.Await(s.Submit("", "services: {w: {deploy: {mode: global}}}"), 5*time.Second)
	hosts := map[string]bool{}
	for _, o := range out {
		hosts[o.Host] = true
	}
	if len(hosts) != 4 {
		t.Fatalf("hosts of a global service = %v, want all 4", hosts)
	}
	s.RequireNoViolations()
}
