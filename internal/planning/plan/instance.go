package plan

import (
	"fmt"
	"math"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/planning/solver"
)

// The solver counts cores in millicores and memory in MiB.
const (
	millicoresPerCore    = 1000
	mebibytesPerGibibyte = 1024
)

// roundingTolerance is the largest rounding error of a float, in the solver's units, that roundDown and roundUp correct.
const roundingTolerance = 1e-6

// roundDown converts an amount of a host to the solver's units. Hosts are rounded down and tasks up, so that tasks that
// fit on a host in the solver's units also fit in the original units, up to roundingTolerance.
func roundDown(amount, unit float64) int64 { return int64(math.Floor(amount*unit + roundingTolerance)) }

// roundUp converts an amount that a task requests to the solver's units.
func roundUp(amount, unit float64) int64 { return int64(math.Ceil(amount*unit - roundingTolerance)) }

// solverInstance translates the problem for the solver. It also returns the services, in the order of the instance.
func (p *Problem) solverInstance() (*solver.Instance, []service, error) {
	in := &solver.Instance{
		Hosts: p.translateHosts(), MigrationCost: p.MigrationCost, HomeZone: p.HomeZone, OutsideHomeCost: p.OutsideHomeCost,
	}
	hostIndex := map[string]int{} // index of each host, by ID
	for i := range p.Hosts {
		hostIndex[p.Hosts[i].ID] = i
	}
	var services []service
	for _, spec := range p.Specs {
		first := len(services) // index of the specification's first service
		for i := range spec.Services {
			s := p.newService(&spec.Services[i])
			translated := p.translateService(&s, in.Hosts)
			translated.Affinities = translateAffinities(spec, s.spec, first)
			if err := p.addRunning(&s, &translated, hostIndex); err != nil {
				return nil, nil, err
			}
			services = append(services, s)
			in.Services = append(in.Services, translated)
		}
	}
	return in, services, nil
}

func (p *Problem) translateHosts() []solver.Host {
	m := &p.Settings.Module
	var hosts []solver.Host
	for i := range p.Hosts {
		h := &p.Hosts[i]
		hosts = append(hosts, solver.Host{
			ID: h.ID, Zone: h.Zone, Rack: h.Rack, Cost: h.Cost,
			Cores:         roundDown(h.Cores*m.CoresOvercommit, millicoresPerCore),
			Memory:        roundDown(h.Memory*m.MemoryOvercommit, mebibytesPerGibibyte),
			Unschedulable: h.State == stateDraining || h.State == stateRemoved,
		})
	}
	return hosts
}

// newService returns a service of a specification, with its class and without running replicas.
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

// translateService translates a service for the solver, without its affinities and running tasks.
func (p *Problem) translateService(s *service, hosts []solver.Host) solver.Service {
	translated := solver.Service{
		Name: s.spec.Name, Count: s.spec.Replicas,
		Cores: roundUp(s.spec.Cores, millicoresPerCore), Memory: roundUp(s.spec.Memory, mebibytesPerGibibyte),
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
	case forkhead.AnyDomain: // the tasks of the class have no limit
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

// domains maps the names of domains in specifications to those of the solver.
var domains = map[string]solver.Domain{"machine": solver.HostDomain, "rack": solver.RackDomain, "zone": solver.ZoneDomain}

// tightenLimit limits a service to a number of tasks in each domain of a level, unless it already has a lower limit
// there.
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

// translateAffinities translates the affinities of a service to other services of its specification. first is the index
// of the specification's first service in the instance.
func translateAffinities(spec *servicespec.Description, s *servicespec.Service, first int) []solver.Affinity {
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

// addRunning records the hosts on which replicas of a service run. It ignores replicas whose number is above the
// service's count.
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
			return fmt.Errorf("%s/%d runs on %q, which is not in the list of hosts", task.Service, task.Replica, task.Host)
		}
		if task.Replica >= 1 && task.Replica <= translated.Count {
			s.running[task.Replica] = host
			translated.Running[host]++
		}
	}
	return nil
}
