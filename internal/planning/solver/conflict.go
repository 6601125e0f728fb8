package solver

import "slices"

// RequirementKind is the kind of a Requirement.
type RequirementKind string

// The kinds of requirements. RequireCores and RequireMemory apply to the whole fleet, the others to one service.
const (
	RequireTasks        RequirementKind = "tasks"    // Service.Count
	RequireMaxPerHost   RequirementKind = "machine"  // Service.MaxPerHost
	RequireMaxPerRack   RequirementKind = "rack"     // Service.MaxPerRack
	RequireMaxPerZone   RequirementKind = "zone"     // Service.MaxPerZone
	RequireAllowedHosts RequirementKind = "allowed"  // Service.Allowed
	RequireAffinity     RequirementKind = "affinity" // Service.Affinities
	RequireCores        RequirementKind = "cores"    // Host.Cores
	RequireMemory       RequirementKind = "memory"   // Host.Memory
)

// FleetWide is the Service of a Requirement that applies to the hosts of the whole fleet.
const FleetWide = -1

// Requirement is a part of an instance that can be left out, to find out whether a placement exists without it.
type Requirement struct {
	Service int // index into Instance.Services, or FleetWide
	Kind    RequirementKind
}

// FindConflict returns an irreducible infeasible subset of an instance's requirements: they cannot be met together, but
// if any one of them is left out, the others can. It uses a deletion filter, which solves the instance once for each
// requirement. ok is false if the instance was not proven infeasible within the limits of opt. If a limit ends one of
// the later searches, the subset is infeasible but may not be irreducible.
func FindConflict(in *Instance, opt Options) (conflict []Requirement, ok bool) {
	removed := map[Requirement]bool{}
	infeasible := func() bool {
		result, err := Solve(in.without(removed), opt)
		return err == nil && result.Optimal && !result.Feasible
	}
	if !infeasible() {
		return nil, false
	}
	for _, r := range in.requirements() {
		if r.Service != FleetWide && removed[Requirement{r.Service, RequireTasks}] {
			continue // the requirement is already left out with its service
		}
		removed[r] = true
		if !infeasible() {
			removed[r] = false
			conflict = append(conflict, r)
		}
	}
	return conflict, true
}

// requirements returns all requirements of the instance. Whole services come first, since leaving out a service leaves
// out its limits too.
func (in *Instance) requirements() []Requirement {
	var all []Requirement
	for i := range in.Services {
		all = append(all, Requirement{i, RequireTasks})
	}
	all = append(all, Requirement{FleetWide, RequireMemory}, Requirement{FleetWide, RequireCores})
	for i := range in.Services {
		s := &in.Services[i]
		for _, limit := range []struct {
			isSet bool
			kind  RequirementKind
		}{
			{s.MaxPerHost > 0, RequireMaxPerHost},
			{s.MaxPerRack > 0, RequireMaxPerRack},
			{s.MaxPerZone > 0, RequireMaxPerZone},
			{s.Allowed != nil, RequireAllowedHosts},
			{len(s.Affinities) > 0, RequireAffinity},
		} {
			if limit.isSet {
				all = append(all, Requirement{i, limit.kind})
			}
		}
	}
	return all
}

// without returns a copy of the instance that leaves out the removed requirements. It has no costs, since only the
// existence of a placement matters.
func (in *Instance) without(removed map[Requirement]bool) *Instance {
	out := &Instance{Hosts: slices.Clone(in.Hosts), Services: slices.Clone(in.Services)}
	for i := range out.Services {
		out.Services[i].relax(i, removed)
	}
	for i := range out.Hosts {
		out.Hosts[i].Cost = 0
	}
	return out
}

// relax leaves out the removed requirements of the service, which has the given index, and of the fleet.
func (s *Service) relax(index int, removed map[Requirement]bool) {
	s.Running = nil
	if removed[Requirement{index, RequireTasks}] {
		s.Count = 0
	}
	if removed[Requirement{index, RequireMaxPerHost}] {
		s.MaxPerHost = 0
	}
	if removed[Requirement{index, RequireMaxPerRack}] {
		s.MaxPerRack = 0
	}
	if removed[Requirement{index, RequireMaxPerZone}] {
		s.MaxPerZone = 0
	}
	if removed[Requirement{index, RequireAllowedHosts}] {
		s.Allowed = nil
	}
	if removed[Requirement{index, RequireAffinity}] {
		s.Affinities = nil
	}
	// Affinities to a service that is left out are left out too.
	s.Affinities = slices.DeleteFunc(slices.Clone(s.Affinities), func(a Affinity) bool {
		return removed[Requirement{a.Service, RequireTasks}]
	})
	if removed[Requirement{FleetWide, RequireCores}] {
		s.Cores = 0
	}
	if removed[Requirement{FleetWide, RequireMemory}] {
		s.Memory = 0
	}
}
