package solver

import (
	"strings"
	"testing"
)

// checkInstance has four hosts (a and b in rack A, c and d in rack B) and two services, with every kind of constraint.
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

func TestCheckAcceptsAPlacement(t *testing.T) {
	// Host a costs 5, two of the three tasks of web are migrations, and four tasks are outside the home zone.
	if err := Check(checkInstance(), [][]int{{1, 2, 0, 0}, {1, 0, 0, 0}}, 5+2*7+4*100); err != nil {
		t.Error(err)
	}
}

func TestCheckNamesTheConstraint(t *testing.T) {
	for want, c := range map[string]struct {
		change func(in *Instance)
		counts [][]int
	}{
		"1 rows for 2 services":             {nil, [][]int{{1, 2, 0, 0}}},
		"web: -1 tasks on a":                {nil, [][]int{{-1, 2, 2, 0}, {0, 1, 0, 0}}},
		"web on d, which takes nothing new": {nil, [][]int{{1, 1, 0, 1}, {1, 0, 0, 0}}},
		"db on c, which it may not use":     {nil, [][]int{{1, 1, 1, 0}, {0, 0, 1, 0}}},
		"web: 3 on a, at most 2":            {nil, [][]int{{3, 0, 0, 0}, {1, 0, 0, 0}}},
		"db on b, and no web beside it":     {nil, [][]int{{2, 0, 1, 0}, {0, 1, 0, 0}}},
		"web: 2 of 3 tasks":                 {nil, [][]int{{1, 1, 0, 0}, {1, 0, 0, 0}}},
		"web: 3 in rack A, at most 2":       {func(in *Instance) { in.Services[0].MaxPerRack = 2 }, [][]int{{1, 2, 0, 0}, {1, 0, 0, 0}}},
		"web: 3 in zone z, at most 2":       {func(in *Instance) { in.Services[0].MaxPerZone = 2 }, [][]int{{1, 1, 1, 0}, {1, 0, 0, 0}}},
		"b holds 11 of 10 thousandths":      {nil, [][]int{{1, 2, 0, 0}, {0, 1, 0, 0}}},
		"5 of 4 MiB":                        {func(in *Instance) { in.Hosts[1].Memory = 4; in.Hosts[1].Cores = 11 }, [][]int{{1, 2, 0, 0}, {0, 1, 0, 0}}},
		"the cost is 419, not 0":            {nil, [][]int{{1, 2, 0, 0}, {1, 0, 0, 0}}},
		"the cost is 424, not 0":            {func(in *Instance) { in.Hosts[1].InUse = false }, [][]int{{1, 2, 0, 0}, {1, 0, 0, 0}}},
		"the cost is 19, not 0":             {func(in *Instance) { in.HomeZone = "z" }, [][]int{{1, 2, 0, 0}, {1, 0, 0, 0}}},
		"the cost is 405, not 0":            {func(in *Instance) { in.Services[0].Running = nil }, [][]int{{1, 2, 0, 0}, {1, 0, 0, 0}}},
	} {
		in := checkInstance()
		if c.change != nil {
			c.change(in)
		}
		if err := Check(in, c.counts, 0); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: got %v, want %s", c.counts, err, want)
		}
	}
}
