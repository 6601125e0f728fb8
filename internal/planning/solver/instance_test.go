package solver

import "testing"

func TestSolveRejectsMalformedInstances(t *testing.T) {
	for name, in := range map[string]Instance{
		"negative cores":                 {Hosts: []Host{{Cores: -1}}},
		"cost above the maximum":         {Hosts: []Host{{Cost: 1 << 50}}},
		"negative count":                 {Services: []Service{{Count: -1}}},
		"Allowed shorter than the hosts": {Hosts: newHosts(2, 1, 1, 1), Services: []Service{{Allowed: []bool{true}}}},
		"Running shorter than the hosts": {Hosts: newHosts(2, 1, 1, 1), Services: []Service{{Running: []int{1}}}},
		"cores above the maximum":        {Services: []Service{{Cores: 1 << 50}}},
		"affinity to unknown service":    {Services: []Service{{Affinities: []Affinity{{Service: 1}}}}},
		"affinity in unknown domain":     {Services: []Service{{}, {Affinities: []Affinity{{Domain: ZoneDomain + 1}}}}},
		"cycle of affinities":            {Services: []Service{{Affinities: []Affinity{{Service: 1}}}, {Affinities: []Affinity{{Service: 0}}}}},
		"negative migration cost":        {MigrationCost: -1},
	} {
		if _, err := Solve(&in, Options{}); err == nil {
			t.Errorf("%s: Solve = no error, want one", name)
		}
	}
}
