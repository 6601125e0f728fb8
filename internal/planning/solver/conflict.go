package solver

import "slices"

// Part is something that an instance asks for and that can be left out to see whether an answer
// exists without it.
type Part struct {
	Service int    // by place; -1: of the hosts
	What    string // tasks, machine, rack, zone, may, near, cores, memory
}

// Conflict returns a set of parts that together cannot be met, of which none can be left out: a
// deletion-minimal one. ok is false if the instance was not proven to have no answer, or the budget
// of nodes did not suffice to make the set minimal.
func Conflict(in *Instance, opt Options) (parts []Part, ok bool) {
	without := map[Part]bool{}
	none := func() bool {
		a, err := Solve(in.without(without), opt)
		return err == nil && a.Optimal && !a.Feasible
	}
	if !none() {
		return nil, false
	}
	var all []Part
	for i := range in.Services { // whole services first: they take their limits with them
		all = append(all, Part{i, "tasks"})
	}
	all = append(all, Part{-1, "memory"}, Part{-1, "cores"})
	for i, s := range in.Services {
		for _, l := range []struct {
			on   bool
			what string
		}{{s.Machine > 0, "machine"}, {s.Rack > 0, "rack"}, {s.Zone > 0, "zone"}, {s.May != nil, "may"}, {len(s.Near) > 0, "near"}} {
			if l.on {
				all = append(all, Part{i, l.what})
			}
		}
	}
	for _, p := range all {
		if p.Service >= 0 && without[Part{p.Service, "tasks"}] {
			continue // it went with its service
		}
		without[p] = true
		if !none() {
			without[p] = false
			parts = append(parts, p)
		}
	}
	return parts, true
}

// without returns the instance with some parts left out.
func (in *Instance) without(parts map[Part]bool) *Instance {
	out := &Instance{Hosts: slices.Clone(in.Hosts), Services: slices.Clone(in.Services)}
	for i := range out.Services {
		s := &out.Services[i]
		s.Runs = nil
		if parts[Part{i, "tasks"}] {
			s.Count = 0
		}
		if parts[Part{i, "machine"}] {
			s.Machine = 0
		}
		if parts[Part{i, "rack"}] {
			s.Rack = 0
		}
		if parts[Part{i, "zone"}] {
			s.Zone = 0
		}
		if parts[Part{i, "may"}] {
			s.May = nil
		}
		if parts[Part{i, "near"}] {
			s.Near = nil
		}
		// Who was near a service that is left out is near nothing of it.
		s.Near = slices.DeleteFunc(slices.Clone(s.Near), func(n Near) bool { return parts[Part{n.Service, "tasks"}] })
		if parts[Part{-1, "cores"}] {
			s.Cores = 0
		}
		if parts[Part{-1, "memory"}] {
			s.Memory = 0
		}
	}
	for i := range out.Hosts {
		out.Hosts[i].Cost = 0 // only whether there is an answer matters
	}
	return out
}
