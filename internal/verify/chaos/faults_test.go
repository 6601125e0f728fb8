package chaos

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"forkhead/internal/verify/scenario"
	"forkhead/internal/verify/testcluster"
)

// A keyword that scenarios accept but that has no injector would panic in the middle of a run.
func TestInjectorsCoverScenarioWords(t *testing.T) {
	for _, kind := range scenario.FaultKinds {
		if injectors[kind] == nil {
			t.Errorf("injectors[%q] is nil, want a method", kind)
		}
	}
	for _, bug := range scenario.InjectedBugs {
		if bugInjectors[bug] == nil {
			t.Errorf("bugInjectors[%q] is nil, want a method", bug)
		}
	}
}

// A scenario with the same seed must affect the same hosts in the same order after a change of this package. The
// expected hosts are recorded results of an earlier version.
func TestDrawHostsIsDeterministic(t *testing.T) {
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
			t.Errorf("drawHosts for %+v: got %v, want %v", c.fault, got, c.want)
		}
	}
}
