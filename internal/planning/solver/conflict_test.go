package solver

import (
	"reflect"
	"testing"
)

// TestFindConflictReturnsIrreducibleSubset checks that a conflict has the requirements that cannot be met together, and
// no requirement that could be left out.
func TestFindConflictReturnsIrreducibleSubset(t *testing.T) {
	for name, c := range map[string]struct {
		in   Instance
		want []Requirement
	}{
		"spread over racks": {
			Instance{Hosts: newHosts(4, 4, 8, 1), Services: []Service{
				{Name: "idle", Count: 1, Cores: 1},
				{Name: "spread", Count: 5, Cores: 1, MaxPerRack: 2, MaxPerHost: 3},
			}},
			[]Requirement{{1, RequireTasks}, {1, RequireMaxPerRack}},
		},
		"two services and the fleet's cores": {
			Instance{Hosts: newHosts(2, 4, 8, 1), Services: []Service{{Count: 1, Cores: 3}, {Count: 2, Cores: 3, Memory: 1}}},
			[]Requirement{{0, RequireTasks}, {1, RequireTasks}, {FleetWide, RequireCores}},
		},
	} {
		conflict, ok := FindConflict(&c.in, Options{})
		if !ok || !reflect.DeepEqual(conflict, c.want) {
			t.Errorf("%s: FindConflict = %v, %v, want %v, true", name, conflict, ok, c.want)
		}
	}
}

func TestFindConflictFindsNoneInFeasibleInstance(t *testing.T) {
	in := Instance{Hosts: newHosts(2, 4, 8, 1), Services: []Service{{Count: 1, Cores: 3}, {Count: 1, Cores: 3, Memory: 1}}}
	if conflict, ok := FindConflict(&in, Options{}); ok {
		t.Errorf("FindConflict of a feasible instance = %v, ok true, want ok false", conflict)
	}
}
