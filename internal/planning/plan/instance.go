package plan

import (
	"fmt"
	"math"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/planning/solver"
)

// Units of the solver.
const (
	milliCores = 1000 // in a core
	mebibytes  = 1024 // in a GiB
)

// roundingError is how far an amount may be off a whole number of the solver's units by the rounding of floats.
const roundingError = 1e-6

// roundDown converts an amount that a host has, and roundUp one that a task requests, so that what fits in the solver's
// units fits.
func roundDown(amount, unit float64) int64 { return int64(math.Floor(amount*unit + roundingError)) }
func roundUp(amount, unit float64) int64   { return int64(math.Ceil(amount*unit - roundingError)) }

// instance translates the problem for the solver. The services it returns have the order of the instance's.
func (p *Problem) instance() (*solver.Instance, []service, error) {
	in := &solver.Instance{
		Hosts: p.solverHosts(), MigrationCost: p.MigrationCost, HomeZone: p.HomeZone, OutsideHomeCost: p.OutsideHomeCost,
	}
	hostIndex := map[string]int{} // by ID
	for i := range p.Hosts {
		hostIndex[p.Hosts[i].ID] = i
	}
	var services []service
	for _, spec := range p.Specs {
		first := len(services) // of this specification
		for i := range spec.Services {
			s := p.newService(&spec.Services[i])
			translated := p.solverService(&s, in.Hosts)
			translated.Affinities = affinities(spec, s.spec, first)
			if err := p.addRunning(&s, &translated, hostIndex); err != nil {
				return nil, nil, err
			}
			services = append(services, s)
			in.Services = append(in.Services, translated)
		}
	}
	return in, services, nil
}

func (p *Problem) solverHosts() []solver.Host {
	m := &p.Settings.Module
	var hosts []solver.Host
	for i := range p.Hosts {
		h := &p.Hosts[i]
		hosts = append(hosts, solver.Host{
			ID: h.ID, Zone: h.Zone, Rack: h.Rack, Cost: h.Cost,
			Cores:         roundDown(h.Cores*m.CoresOvercommit, milliCores),
			Memory:        roundDown(h.Memory*m.MemoryOvercommit, mebibytes),
			Unschedulable: h.State == stateDraining || h.State == stateRemoved,
		})
	}
	return hosts
}

// newService returns a service of a specification with its class; nothing runs of it yet.
func (p *Problem) newService(spec *servicespec.Service) service {
	index, ok := p.Settings.ClassIndex(spec.Class)
	if !ok {
		index = p.Settings.DefaultClass
	}
	s := service{spec: spec, class: &p.Settings.Module.Classes[index], running: map[int]int{}}
	if s.class.MachineType >= 0 {
		s.machineType = p.Settings.MachineTypeNames[s.class.MachineType]
	}
	return s
}

// solverService translates a service, but for its affinities and what runs.
func (p *Problem) solverService(s *service, hosts []solver.Host) solver.Service {
	translated := solver.Service{
		Name: s.spec.Name, Count: s.spec.Replicas,
		Cores: roundUp(s.spec.Cores, milliCores), Memory: roundUp(s.spec.Memory, mebibytes),
	}
	allowed, excluded, schedulable := make([]bool, len(p.Hosts)), 0, 0
	for host := range p.Hosts {
		allowed[host] = s.allows(&p.Hosts[host])
		switch {
		case !allowed[host]:
			excluded++
		case !hosts[host].Unschedulable:
			schedulable++
		}
	}
	if excluded > 0 {
		translated.Allowed = allowed
	}
	if s.spec.Mode.PerHost() {
		translated.Count = schedulable
	}
	for _, limit := range s.spec.SpreadLimits {
		tightenLimit(&translated, domains[limit.Domain], limit.MaxTasks)
	}
	switch s.class.SpreadDomain {
	case forkhead.MachineDomain:
		tightenLimit(&translated, solver.HostDomain, s.class.MaxPerDomain)
	case forkhead.CellDomain:
		tightenLimit(&translated, solver.RackDomain, s.class.MaxPerDomain)
	case forkhead.ZoneDomain:
		tightenLimit(&translated, solver.ZoneDomain, s.class.MaxPerDomain)
	case forkhead.AnyDomain: // no limit
	}
	return translated
}

// allows reports whether a host has the machine type and the attributes that a service requires.
func (s *service) allows(h *Host) bool {
	if s.machineType != "" && h.MachineType != s.machineType {
		return false
	}
	for i := range s.spec.Constraints {
		c := &s.spec.Constraints[i]
		isEqual := h.Attributes[c.Attribute] == c.Value
		if isEqual == c.Not {
			return false
		}
	}
	return true
}

// domains translates the keywords of specifications.
var domains = map[string]solver.Domain{"machine": solver.HostDomain, "rack": solver.RackDomain, "zone": solver.ZoneDomain}

// tightenLimit lowers a service's limit in a domain to a number of tasks, unless it has a lower one.
func tightenLimit(s *solver.Service, domain solver.Domain, tasks int) {
	limit := &s.MaxPerHost
	switch domain {
	case solver.RackDomain:
		limit = &s.MaxPerRack
	case solver.ZoneDomain:
		limit = &s.MaxPerZone
	case solver.HostDomain:
	}
	if *limit == 0 || tasks < *limit {
		*limit = tasks
	}
}

// affinities translates the affinities of a service. They name services of its own specification, whose first service has
// the index first.
func affinities(spec *servicespec.Description, s *servicespec.Service, first int) []solver.Affinity {
	var translated []solver.Affinity
	for _, near := range s.Near {
		for i := range spec.Services {
			if spec.Services[i].Name == near.Service {
				translated = append(translated, solver.Affinity{Service: first + i, Domain: domains[near.Domain]})
			}
		}
	}
	return translated
}

// addRunning records on which hosts tasks of a service run. Replicas beyond its count are left out.
func (p *Problem) addRunning(s *service, translated *solver.Service, hostIndex map[string]int) error {
	if p.Running == nil {
		return nil
	}
	translated.Running = make([]int, len(p.Hosts))
	for _, task := range p.Running {
		if task.Service != s.spec.Name {
			continue
		}
		host, ok := hostIndex[task.Host]
		if !ok {
			return fmt.Errorf("%s/%d runs on %q, which is not among the hosts", task.Service, task.Replica, task.Host)
		}
		if task.Replica >= 1 && task.Replica <= translated.Count {
			s.running[task.Replica] = host
			translated.Running[host]++
		}
	}
	return nil
}
