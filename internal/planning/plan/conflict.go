package plan

import (
	"fmt"
	"strings"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/planning/solver"
)

// describeConflict returns a message for each requirement of a conflict, with its position in the specifications.
// Clients of the placer get these messages too, so their texts must not change. In the texts, a service "asks for" its
// tasks, and a schedulable host is "open".
func describeConflict(in *solver.Instance, services []service, conflict []solver.Requirement) []string {
	messages := []string{}
	for _, r := range conflict {
		if r.Service == solver.FleetWide {
			messages = append(messages, describeFleetCapacity(in.Hosts, r.Kind))
		} else {
			messages = append(messages, describeRequirement(&in.Services[r.Service], &services[r.Service], r.Kind))
		}
	}
	return messages
}

// describeFleetCapacity describes the total cores or memory of the fleet's schedulable hosts.
func describeFleetCapacity(hosts []solver.Host, kind solver.RequirementKind) string {
	var schedulable, cores, memory int64
	for i := range hosts {
		if !hosts[i].Unschedulable {
			schedulable, cores, memory = schedulable+1, cores+hosts[i].Cores, memory+hosts[i].Memory
		}
	}
	if kind == solver.RequireCores {
		return fmt.Sprintf("the cores of the %d hosts that are open (%.4g in all)", schedulable, float64(cores)/millicoresPerCore)
	}
	return fmt.Sprintf("the memory of the %d hosts that are open (%.4g GiB in all)", schedulable, float64(memory)/mebibytesPerGibibyte)
}

func describeRequirement(requested *solver.Service, s *service, kind solver.RequirementKind) string {
	name := s.spec.Name
	switch kind {
	case solver.RequireTasks:
		return fmt.Sprintf("%s: service %s asks for %d tasks of %.4g cores and %.4g GiB",
			s.spec.Pos, name, requested.Count, float64(requested.Cores)/millicoresPerCore, float64(requested.Memory)/mebibytesPerGibibyte)
	case solver.RequireMaxPerHost:
		return fmt.Sprintf("%s: at most %d of %s on one host", s.limitPos("machine"), requested.MaxPerHost, name)
	case solver.RequireMaxPerRack:
		return fmt.Sprintf("%s: at most %d of %s in one rack", s.limitPos("rack"), requested.MaxPerRack, name)
	case solver.RequireMaxPerZone:
		return fmt.Sprintf("%s: at most %d of %s in one zone", s.limitPos("zone"), requested.MaxPerZone, name)
	case solver.RequireAffinity:
		near := s.spec.Near[0]
		return fmt.Sprintf("%s: %s has to be near %s, in one %s", near.Pos, name, near.Service, near.Domain)
	case solver.RequireAllowedHosts:
		return s.describeAllowedHosts()
	default:
		return fmt.Sprintf("%s: service %s requires %s", s.spec.Pos, name, kind)
	}
}

// describeAllowedHosts lists the conditions that exclude hosts: the machine type of the service's class, and its
// constraints. The message has the position of the last constraint, or that of the service if there is none.
func (s *service) describeAllowedHosts() string {
	pos := s.spec.Pos
	var conditions []string
	if s.machineType != "" {
		conditions = append(conditions, "kind "+s.machineType)
	}
	for _, c := range s.spec.Constraints {
		conditions = append(conditions, c.String())
		pos = c.Pos
	}
	return fmt.Sprintf("%s: %s runs only on hosts with %s", pos, s.spec.Name, strings.Join(conditions, ", "))
}

// limitPos returns the position of the service's spread limit in a domain, or that of the service if only its class has
// one.
func (s *service) limitPos(domain string) diagnostic.Pos {
	for _, limit := range s.spec.SpreadLimits {
		if limit.Domain == domain {
			return limit.Pos
		}
	}
	return s.spec.Pos
}
