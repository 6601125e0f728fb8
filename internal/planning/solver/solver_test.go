package solver

import (
	"reflect"
	"testing"
)

func hosts(n int, cores, memory, cost int64) (out []Host) {
	for i := range n {
		out = append(out, Host{ID: string(rune('a' + i)), Rack: string(rune('A' + i/2)), Zone: "z", Cores: cores, Memory: memory, Cost: cost})
	}
	return out
}

func TestHardCases(t *testing.T) {
	closed := hosts(3, 4, 4, 1)
	closed[0].Unschedulable, closed[1].Unschedulable = true, true
	dear := hosts(4, 4, 4, 1) // the cheap rack holds all by room, and only two by its limit
	dear[2].Cost, dear[3].Cost = 9, 9
	for name, c := range map[string]struct {
		in       Instance
		feasible bool
		cost     int64
	}{
		"nothing at all":               {Instance{}, true, 0},
		"no tasks":                     {Instance{Hosts: hosts(2, 4, 4, 1)}, true, 0},
		"no hosts":                     {Instance{Services: []Service{{Count: 1}}}, false, 0},
		"larger than any host":         {Instance{Hosts: hosts(9, 4, 4, 1), Services: []Service{{Count: 1, Cores: 5}}}, false, 0},
		"exactly at capacity":          {Instance{Hosts: hosts(3, 4, 6, 2), Services: []Service{{Count: 6, Cores: 2, Memory: 3}}}, true, 6},
		"one more than capacity":       {Instance{Hosts: hosts(3, 4, 6, 2), Services: []Service{{Count: 7, Cores: 2, Memory: 3}}}, false, 0},
		"fits by sums, not by parts":   {Instance{Hosts: hosts(3, 4, 9, 1), Services: []Service{{Count: 4, Cores: 3}}}, false, 0},
		"the cheapest breaks a rack":   {Instance{Hosts: dear, Services: []Service{{Count: 4, Cores: 2, MaxPerRack: 2}}}, true, 1 + 9},
		"drained hosts":                {Instance{Hosts: closed, Services: []Service{{Count: 2, Cores: 2}}}, true, 1},
		"drained hosts, too much":      {Instance{Hosts: closed, Services: []Service{{Count: 3, Cores: 2}}}, false, 0},
		"equal hosts by the dozen":     {Instance{Hosts: hosts(24, 4, 4, 1), Services: []Service{{Count: 36, Cores: 2, Memory: 2}}}, true, 18},
		"moves cost more than a host":  {Instance{Hosts: hosts(2, 4, 4, 1), MigrationCost: 5, Services: []Service{{Count: 2, Cores: 1, Running: []int{1, 1}}}}, true, 2},
		"a host costs more than moves": {Instance{Hosts: hosts(2, 4, 4, 9), MigrationCost: 5, Services: []Service{{Count: 2, Cores: 1, Running: []int{1, 1}}}}, true, 14},
	} {
		a, err := Solve(&c.in, Options{})
		if err != nil {
			t.Fatal(err)
		}
		if a.Feasible != c.feasible || a.Cost != c.cost || !a.Optimal {
			t.Errorf("%s: %+v", name, a)
		}
		if a.Feasible {
			if err := Check(&c.in, a.Counts, a.Cost); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
}

func TestStop(t *testing.T) {
	in := Instance{Hosts: hosts(20, 1000, 1000, 1)}
	for i := range int64(30) {
		in.Services = append(in.Services, Service{Count: 1, Cores: 301 + 7*i, Memory: 401 - 5*i})
	}
	a, err := Solve(&in, Options{MaxNodes: 2000})
	if err != nil || !a.Feasible || a.LowerBound > a.Cost || a.Nodes > 2000 {
		t.Fatalf("%+v, %v", a, err)
	}
	if err := Check(&in, a.Counts, a.Cost); err != nil {
		t.Fatal(err)
	}
}

func TestBadInstances(t *testing.T) {
	for _, in := range []Instance{
		{Hosts: []Host{{Cores: -1}}}, {Hosts: []Host{{Cost: 1 << 50}}}, {Services: []Service{{Count: -1}}},
		{Hosts: hosts(2, 1, 1, 1), Services: []Service{{Allowed: []bool{true}}}}, {Services: []Service{{Cores: 1 << 50}}},
	} {
		if _, err := Solve(&in, Options{}); err == nil {
			t.Errorf("%+v is taken", in)
		}
	}
}

// A conflict names what cannot be met together, and nothing that could be left out.
func TestConflict(t *testing.T) {
	in := Instance{Hosts: hosts(4, 4, 8, 1), Services: []Service{
		{Name: "idle", Count: 1, Cores: 1},
		{Name: "spread", Count: 5, Cores: 1, MaxPerRack: 2, MaxPerHost: 3},
	}}
	parts, ok := FindConflict(&in, Options{})
	if want := []Requirement{{1, RequireTasks}, {1, RequireMaxPerRack}}; !ok || !reflect.DeepEqual(parts, want) {
		t.Fatalf("%v, %v", parts, ok)
	}
	in = Instance{Hosts: hosts(2, 4, 8, 1), Services: []Service{{Count: 1, Cores: 3}, {Count: 2, Cores: 3, Memory: 1}}}
	parts, ok = FindConflict(&in, Options{})
	if want := []Requirement{{0, RequireTasks}, {1, RequireTasks}, {FleetWide, RequireCores}}; !ok || !reflect.DeepEqual(parts, want) {
		t.Fatalf("%v, %v", parts, ok)
	}
	in.Services[1].Count = 1
	if _, ok := FindConflict(&in, Options{}); ok {
		t.Fatal("a conflict where there is an answer")
	}
}
