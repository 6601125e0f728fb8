package solver

import "slices"

// capacity returns how many more tasks of a service a host could take if no tasks of other services were added.
func (s *search) capacity(service, host int) int {
	spec, h := &s.services[service], &s.in.Hosts[host]
	if h.Unschedulable || !spec.allows(host) {
		return 0
	}
	n := spec.Count
	if spec.Cores > 0 {
		n = int(min(s.freeCores[host]/spec.Cores, int64(n)))
	}
	if spec.Memory > 0 {
		n = int(min(s.freeMemory[host]/spec.Memory, int64(n)))
	}
	if spec.MaxPerHost > 0 {
		n = min(n, spec.MaxPerHost-s.counts[service][host])
	}
	if spec.MaxPerRack > 0 {
		n = min(n, spec.MaxPerRack-s.rackCounts[service][s.rackOf[host]])
	}
	if spec.MaxPerZone > 0 {
		n = min(n, spec.MaxPerZone-s.zoneCounts[service][s.zoneOf[host]])
	}
	for _, a := range spec.Affinities {
		// An affinity can be checked only once the other service is placed completely. Until then it excludes no host.
		if a.Service < s.current && !s.affinityHolds(a, host) {
			return 0
		}
	}
	return max(n, 0)
}

// affinityHolds reports whether the service that an affinity refers to has a task in a host's domain.
func (s *search) affinityHolds(a Affinity, host int) bool {
	switch a.Domain {
	case RackDomain:
		return s.rackCounts[a.Service][s.rackOf[host]] > 0
	case ZoneDomain:
		return s.zoneCounts[a.Service][s.zoneOf[host]] > 0
	default:
		return s.counts[a.Service][host] > 0
	}
}

// affinitiesHold reports whether all placed tasks meet the affinities of their services.
func (s *search) affinitiesHold() bool {
	for k := range s.services {
		for _, a := range s.services[k].Affinities {
			for host, n := range s.counts[k] {
				if n > 0 && !s.affinityHolds(a, host) {
					return false
				}
			}
		}
	}
	return true
}

// hasAffinities reports whether any service has an affinity.
func (s *search) hasAffinities() bool {
	return slices.ContainsFunc(s.services, func(service Service) bool { return len(service.Affinities) > 0 })
}

// inUse reports whether a host has tasks, either of this instance or others. Another task on such a host doesn't add the
// host's Cost.
func (s *search) inUse(host int) bool { return s.hostTasks[host] > 0 || s.in.Hosts[host].InUse }

// placed returns the number of placed tasks of a service.
func (s *search) placed(service int) int {
	n := 0
	for _, count := range s.counts[service] {
		n += count
	}
	return n
}

// add places n tasks of a service on a host, or removes them if n is negative.
func (s *search) add(service, host, n int) {
	spec, h := &s.services[service], &s.in.Hosts[host]
	wasInUse, wasCount := s.inUse(host), s.counts[service][host]
	s.counts[service][host] += n
	s.rackCounts[service][s.rackOf[host]] += n
	s.zoneCounts[service][s.zoneOf[host]] += n
	s.freeCores[host] -= int64(n) * spec.Cores
	s.freeMemory[host] -= int64(n) * spec.Memory
	s.hostTasks[host] += n

	switch isInUse := s.inUse(host); {
	case isInUse && !wasInUse:
		s.cost += h.Cost
	case wasInUse && !isInUse:
		s.cost -= h.Cost
	}
	if s.in.HomeZone != "" && h.Zone != s.in.HomeZone {
		s.cost += s.in.OutsideHomeCost * int64(n)
	}
	if spec.Running != nil {
		running := spec.Running[host]
		s.cost += s.in.MigrationCost * int64(max(wasCount+n-running, 0)-max(wasCount-running, 0))
	}
}

// addCounts places tasks of a service; row has their number for each host.
func (s *search) addCounts(service int, row []int) {
	for host, n := range row {
		if n > 0 {
			s.add(service, host, n)
		}
	}
}

// removeAll removes all tasks from the placement.
func (s *search) removeAll() {
	for service := range s.counts {
		for host, n := range s.counts[service] {
			if n > 0 {
				s.add(service, host, -n)
			}
		}
	}
}

// snapshot returns a copy of the placement's counts.
func (s *search) snapshot() [][]int {
	rows := make([][]int, len(s.counts))
	for service := range s.counts {
		rows[service] = slices.Clone(s.counts[service])
	}
	return rows
}

// updateIncumbent makes the placement the incumbent if there is none or it costs less. The placement must be complete.
func (s *search) updateIncumbent() {
	if s.incumbent != nil && s.cost >= s.incumbentCost {
		return
	}
	s.incumbent, s.incumbentCost = s.snapshot(), s.cost
}
