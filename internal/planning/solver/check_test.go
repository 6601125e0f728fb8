package solver

import (
	"strings"
	"testing"
)

// checkInstance returns an instance with four hosts (a and b in rack A, c and d in rack B) and two services that have
// every kind of constraint.
func checkInstance() *Instance {
	hosts := newHosts(4, 10, 10, 5)
	hosts[1].InUse = true
	hosts[3].Unschedulable = true
	return &Instance{
		Hosts: hosts,
		Services: []Service{
			{
				Name: "web", Count: 3, Cores: 3, Memory: 2, Allowed: []bool{true, true, true, true},
				MaxPerHost: 2, MaxPerRack: 3, MaxPerZone: 3, Running: []int{1, 0, 0, 0},
			},
			{Name: "db", Count: 1, Cores: 5, Memory: 1, Allowed: []bool{true, true, false, true}, Affinities: []Affinity{{0, HostDomain}}},
		},
		MigrationCost: 7, HomeZone: "elsewhere", OutsideHomeCost: 100,
	}
}

func TestCheckAcceptsValidPlacement(t *testing.T) {
	// Host a costs 5, two of the three tasks of web are migrations, and four tasks are outside the home zone.
	if err := Check(checkInstance(), [][]int{{1, 2, 0, 0}, {1, 0, 0, 0}}, 5+2*7+4*100); err != nil {
		t.Errorf("Check of a valid placement and its cost: error %v, want none", err)
	}
}

func TestCheckNamesTheViolatedConstraint(t *testing.T) {
	for want, c := range map[string]struct {
		change func(in *Instance)
		counts [][]int
	}{
		"the placement has 1 rows, want one for each of 2 services":                {nil, [][]int{{1, 2, 0, 0}}},
		"web has -1 tasks on host a, want at least 0":                              {nil, [][]int{{-1, 2, 2, 0}, {0, 1, 0, 0}}},
		"web has tasks on host d, which is unschedulable":                          {nil, [][]int{{1, 1, 0, 1}, {1, 0, 0, 0}}},
		"db has tasks on host c, which is not allowed for it":                      {nil, [][]int{{1, 1, 1, 0}, {0, 0, 1, 0}}},
		"web has 3 tasks on host a, want at most 2":                                {nil, [][]int{{3, 0, 0, 0}, {1, 0, 0, 0}}},
		"db has tasks on host b, but web has none in the domain of their affinity": {nil, [][]int{{2, 0, 1, 0}, {0, 1, 0, 0}}},
		"web has 2 placed tasks, want 3":                                           {nil, [][]int{{1, 1, 0, 0}, {1, 0, 0, 0}}},
		"web has 3 tasks in rack A, want at most 2":                                {func(in *Instance) { in.Services[0].MaxPerRack = 2 }, [][]int{{1, 2, 0, 0}, {1, 0, 0, 0}}},
		"web has 3 tasks in zone z, want at most 2":                                {func(in *Instance) { in.Services[0].MaxPerZone = 2 }, [][]int{{1, 1, 1, 0}, {1, 0, 0, 0}}},
		"tasks on host b need 11 of 10 millicores":                                 {nil, [][]int{{1, 2, 0, 0}, {0, 1, 0, 0}}},
		"5 of 4 MiB": {func(in *Instance) { in.Hosts[1].Memory = 4; in.Hosts[1].Cores = 11 }, [][]int{{1, 2, 0, 0}, {0, 1, 0, 0}}},
		"the placement costs 419, but its stated cost is 0": {nil, [][]int{{1, 2, 0, 0}, {1, 0, 0, 0}}},
		"the placement costs 424, but its stated cost is 0": {func(in *Instance) { in.Hosts[1].InUse = false }, [][]int{{1, 2, 0, 0}, {1, 0, 0, 0}}},
		"the placement costs 19, but its stated cost is 0":  {func(in *Instance) { in.HomeZone = "z" }, [][]int{{1, 2, 0, 0}, {1, 0, 0, 0}}},
		"the placement costs 405, but its stated cost is 0": {func(in *Instance) { in.Services[0].Running = nil }, [][]int{{1, 2, 0, 0}, {1, 0, 0, 0}}},
	} {
		in := checkInstance()
		if c.change != nil {
			c.change(in)
		}
		if err := Check(in, c.counts, 0); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Check(%v): error = %v, want one with %q", c.counts, err, want)
		}
	}
}
