package solver

import "testing"

// newHosts returns n hosts of equal size, two in each rack, all in one zone.
func newHosts(n int, cores, memory, cost int64) []Host {
	var hosts []Host
	for i := range n {
		hosts = append(hosts, Host{
			ID: string(rune('a' + i)), Rack: string(rune('A' + i/2)), Zone: "z", Cores: cores, Memory: memory, Cost: cost,
		})
	}
	return hosts
}

// TestSolveFindsKnownOptimum checks Solve on instances whose minimal cost is known, or that are known to be infeasible.
func TestSolveFindsKnownOptimum(t *testing.T) {
	draining := newHosts(3, 4, 4, 1)
	draining[0].Unschedulable, draining[1].Unschedulable = true, true
	expensive := newHosts(4, 4, 4, 1) // the cheap rack A has the cores for all 4 tasks, but may take only 2
	expensive[2].Cost, expensive[3].Cost = 9, 9
	for name, c := range map[string]struct {
		in       Instance
		feasible bool
		cost     int64
	}{
		"empty instance":                    {Instance{}, true, 0},
		"no tasks":                          {Instance{Hosts: newHosts(2, 4, 4, 1)}, true, 0},
		"no hosts":                          {Instance{Services: []Service{{Count: 1}}}, false, 0},
		"larger than any host":              {Instance{Hosts: newHosts(9, 4, 4, 1), Services: []Service{{Count: 1, Cores: 5}}}, false, 0},
		"exactly at capacity":               {Instance{Hosts: newHosts(3, 4, 6, 2), Services: []Service{{Count: 6, Cores: 2, Memory: 3}}}, true, 6},
		"one more than capacity":            {Instance{Hosts: newHosts(3, 4, 6, 2), Services: []Service{{Count: 7, Cores: 2, Memory: 3}}}, false, 0},
		"fits in total, not by host":        {Instance{Hosts: newHosts(3, 4, 9, 1), Services: []Service{{Count: 4, Cores: 3}}}, false, 0},
		"rack limit excludes cheap hosts":   {Instance{Hosts: expensive, Services: []Service{{Count: 4, Cores: 2, MaxPerRack: 2}}}, true, 1 + 9},
		"draining hosts":                    {Instance{Hosts: draining, Services: []Service{{Count: 2, Cores: 2}}}, true, 1},
		"draining hosts, one task too many": {Instance{Hosts: draining, Services: []Service{{Count: 3, Cores: 2}}}, false, 0},
		"many equal hosts":                  {Instance{Hosts: newHosts(24, 4, 4, 1), Services: []Service{{Count: 36, Cores: 2, Memory: 2}}}, true, 18},
		"migration costs more than a host":  {Instance{Hosts: newHosts(2, 4, 4, 1), MigrationCost: 5, Services: []Service{{Count: 2, Cores: 1, Running: []int{1, 1}}}}, true, 2},
		"host costs more than a migration":  {Instance{Hosts: newHosts(2, 4, 4, 9), MigrationCost: 5, Services: []Service{{Count: 2, Cores: 1, Running: []int{1, 1}}}}, true, 14},
	} {
		t.Run(name, func(t *testing.T) {
			result, err := Solve(&c.in, Options{})
			if err != nil {
				t.Fatalf("Solve: %v", err)
			}
			if result.Feasible != c.feasible || result.Cost != c.cost || !result.Optimal {
				t.Errorf("Solve = %+v, want Feasible %v, Cost %d and Optimal true", result, c.feasible, c.cost)
			}
			if result.Feasible {
				if err := Check(&c.in, result.Counts, result.Cost); err != nil {
					t.Errorf("Check of the placement by Solve: error %v, want none", err)
				}
			}
		})
	}
}

// TestSolveStopsAtMaxNodes checks that a search that reaches MaxNodes returns a valid placement and a lower bound of
// the cost.
func TestSolveStopsAtMaxNodes(t *testing.T) {
	in := Instance{Hosts: newHosts(20, 1000, 1000, 1)}
	for i := range int64(30) {
		in.Services = append(in.Services, Service{Count: 1, Cores: 301 + 7*i, Memory: 401 - 5*i})
	}
	result, err := Solve(&in, Options{MaxNodes: 2000})
	if err != nil || !result.Feasible || result.LowerBound > result.Cost || result.Nodes > 2000 {
		t.Fatalf("Solve with MaxNodes 2000 = %+v, %v, want Feasible true, LowerBound at most Cost and at most 2000 nodes", result, err)
	}
	if err := Check(&in, result.Counts, result.Cost); err != nil {
		t.Fatalf("Check of the placement by Solve with MaxNodes 2000: error %v, want none", err)
	}
}

// TestSolveStopsOnRequest checks that a search that is stopped before its first node returns a valid placement.
func TestSolveStopsOnRequest(t *testing.T) {
	in := Instance{Hosts: newHosts(3, 4, 4, 2), Services: []Service{{Count: 3, Cores: 2}}}
	result, err := Solve(&in, Options{Stop: func() bool { return true }})
	if err != nil || !result.Feasible || result.Nodes != 0 {
		t.Fatalf("Solve stopped at once = %+v, %v, want Feasible true and 0 nodes", result, err)
	}
	if err := Check(&in, result.Counts, result.Cost); err != nil {
		t.Errorf("Check of the placement by Solve stopped at once: error %v, want none", err)
	}
}
