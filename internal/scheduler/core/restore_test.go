package core_test

import (
	"strings"
	"testing"
	"time"

	"forkhead/internal/scheduler/core"
	"forkhead/internal/scheduler/durable"
	"forkhead/internal/verify/simulation"
)

// restartWithoutDiscovery runs a durable placer until it has an endpoint list, then kills it with discovery unavailable, lets
// time pass, and begins another incarnation. h0 has left meanwhile.
func restartWithoutDiscovery(t *testing.T, away time.Duration) *simulation.Sim {
	t.Helper()
	s := simulation.NewDurable(t, simulation.Settings(t, "(saved-list (fresh 10s) (old 1h))"), 4)
	s.Advance(3 * time.Second)
	s.SendHostList() // noted
	s.Submit("k", "name: first\nservices: {a: {x-forkhead: {class: web, life: 1s}, restart: 'no'}}")
	s.Advance(5 * time.Second)
	s.CatalogUp = false
	s.KillHost("h0")
	if away < 0 { // a clock that was set back, as the list shows
		list := s.Disk.Snapshot().HostList
		list.ReceivedAt = s.Now - away
		s.Disk.Persist([]durable.Record{durable.HostListReceived{List: list}, durable.IncarnationStarted{Epoch: s.Epoch}})
		away = time.Second
	}
	s.Now += away
	s.Offers = nil
	s.RestartPlacer()
	return s
}

// A placer that restarts while discovery is unavailable places by the stored list, and sends nothing to the host that was
// removed; whether the list is young or old, and where a clock was set back.
func TestCorePlacesByTheSavedHostList(t *testing.T) {
	for name, away := range map[string]time.Duration{"young": time.Second, "old": 30 * time.Minute, "of the future": -30 * time.Minute} {
		t.Run(name, func(t *testing.T) { testPlacesBySavedList(t, away) })
	}
}

func testPlacesBySavedList(t *testing.T, away time.Duration) {
	s := restartWithoutDiscovery(t, away)
	out := s.Await(s.Submit("k2", "name: second\nservices: {a: {x-forkhead: {class: ledger}, deploy: {replicas: 4}}}"), 20*time.Second)
	if simulation.Count(out, core.OutcomePlaced) != 4 {
		t.Errorf("%+v", out)
	}
	for _, o := range s.Offers {
		if o.Host == "h0" {
			t.Errorf("an offer to a host that was removed")
		}
	}
	s.RequireNoViolations()
}

// Old entries count only after their host's handshake; a list that is too old is ignored, with how old it is.
func TestCoreIgnoresTooOldHostList(t *testing.T) {
	s := restartWithoutDiscovery(t, 2*time.Hour)
	s.Advance(2 * time.Second)
	if st := s.Core.Status(); st.HostsReady != 0 || !strings.Contains(strings.Join(s.Logs, "\n"), "the list of hosts that was kept is 2h0m") {
		t.Fatalf("%d hosts are ready; logs %v", st.HostsReady, s.Logs)
	}
	s.CatalogUp = true
	s.Advance(2 * time.Second)
	s.SendHostList()
	s.Advance(time.Second)
	if s.Core.Status().HostsReady == 0 {
		t.Fatal("a list from the catalog is not taken")
	}
	s.RequireNoViolations()
}

// A description, its outcomes and its key outlive the placer; what was removed stays removed, and is stopped where it shows.
func TestCoreRestoresProjectsAndOutcomes(t *testing.T) {
	s := simulation.NewDurable(t, simulation.Settings(t, ""), 4)
	text := "name: p\nservices: {a: {x-forkhead: {class: ledger}, deploy: {replicas: 2}}}"
	id := s.Submit("key", text)
	before := s.Await(id, 5*time.Second)
	removed := s.Submit("other", "name: q\nservices: {b: {x-forkhead: {class: web}}}")
	s.Await(removed, 5*time.Second)
	s.ResetConnections("h0")
	for _, name := range s.HostNames {
		s.Hosts[name].Blackholed = true // the stop of q does not arrive
	}
	s.Step(core.RemoveProject{Request: 3, Project: "q"})
	s.RestartPlacer()
	for _, name := range s.HostNames {
		s.Hosts[name].Blackholed = false
	}
	s.Offers = nil
	s.Advance(10 * time.Second)
	after := s.Await(id, time.Second)
	for name, o := range before {
		if after[name] != o {
			t.Errorf("%s was %+v and is %+v", name, o, after[name])
		}
	}
	if again := s.Submit("key", text); again != id {
		t.Errorf("the same key made another submission, %s", again)
	}
	if len(s.Offers) != 0 || s.RunningTasks() != 2 {
		t.Errorf("%d offers, %d tasks run; want none, and the two that ran before", len(s.Offers), s.RunningTasks())
	}
	s.RequireNoViolations()
}
