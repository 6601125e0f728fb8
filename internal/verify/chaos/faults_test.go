package chaos

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"forkhead/internal/verify/scenario"
	"forkhead/internal/verify/testcluster"
)

func TestInjectorsCoverScenarioWords(t *testing.T) {
	for _, kind := range scenario.FaultKinds {
		if injectors[kind] == nil {
			t.Errorf("no injector for %s", kind)
		}
	}
	for _, bug := range scenario.InjectedBugs {
		if bugInjectors[bug] == nil {
			t.Errorf("no injector for %s", bug)
		}
	}
}

// The hosts that a fault affects, and their order, follow from the seed: a run must be the same one after a change of this
// package. The wanted ones were recorded before faults had injectors of their own.
func TestDrawHostsFollowsFromSeed(t *testing.T) {
	north, south := &scenario.HostGroup{Zone: "north"}, &scenario.HostGroup{Zone: "south"}
	var hosts []*testcluster.Host
	names := map[*testcluster.Host]string{}
	add := func(g *scenario.HostGroup, count, racks int) {
		for i := range count {
			h := &testcluster.Host{Group: g, Rack: fmt.Sprintf("%s-r%d", g.Zone, i%racks)}
			hosts = append(hosts, h)
			names[h] = fmt.Sprintf("%c%d", g.Zone[0], i)
		}
	}
	add(north, 5, 2)
	add(south, 4, 3)
	for _, c := range []struct {
		fault scenario.Fault
		want  []string
	}{
		{scenario.Fault{HostShare: 0.25}, []string{"n4", "n0"}},
		{scenario.Fault{HostShare: 0.01}, []string{"n4"}},
		{scenario.Fault{HostShare: 0.25, Zone: "south"}, []string{"s0", "s1"}},
		{scenario.Fault{HostShare: 0.25, Rack: "north-r1"}, []string{"n3", "n1"}},
		{scenario.Fault{HostShare: 0.7, Zone: "north"}, []string{"n0", "n2", "n3", "n4", "n1"}},
	} {
		f := &activeFault{Fault: c.fault, rng: rand.New(rand.NewPCG(0, 0))}
		f.drawHosts(hosts)
		var got []string
		for _, h := range f.hosts {
			got = append(got, names[h])
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%+v: %v, want %v", c.fault, got, c.want)
		}
	}
}
