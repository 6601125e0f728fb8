package solver

// canComplete reports whether the services from a position on, of the first of which some tasks are placed, could still be
// placed: all together by their sums of cores and memory, and each by itself. False is a proof that they cannot.
func (s *search) canComplete(from, placed int) bool {
	if !s.demandFits(from, placed) {
		return false
	}
	for service := from; service < len(s.services); service++ {
		need := s.services[service].Count
		if service == from {
			need -= placed
		}
		if s.opt.InjectedBug == BugInPropagation && service > from {
			need++
		}
		if !s.canPlace(service, need) {
			return false
		}
	}
	return true
}

// demandFits reports whether the sums of available cores and memory cover the remaining demand. What not even the smallest
// remaining task fits into is not counted: this decides instances that are exactly at capacity.
func (s *search) demandFits(from, placed int) bool {
	if from >= len(s.services) {
		return true
	}
	var cores, memory int64
	for host := range s.in.Hosts {
		if s.in.Hosts[host].Unschedulable || s.freeCores[host] < s.minCores[from] || s.freeMemory[host] < s.minMemory[from] {
			continue
		}
		cores += s.freeCores[host]
		memory += s.freeMemory[host]
	}
	first, done := &s.services[from], int64(placed)
	return s.demandCores[from]-done*first.Cores <= cores && s.demandMemory[from]-done*first.Memory <= memory
}

// canPlace reports whether the hosts could take need tasks of a service if nothing else were placed.
func (s *search) canPlace(service, need int) bool {
	if need <= 0 {
		return true
	}
	spec := &s.services[service]
	if spec.MaxPerRack == 0 && spec.MaxPerZone == 0 {
		return s.hostsCanTake(service, need)
	}
	for zone, n := range s.zoneCapacities(service) {
		if spec.MaxPerZone > 0 {
			n = min(n, spec.MaxPerZone-s.zoneCounts[service][zone])
		}
		if need -= n; need <= 0 {
			return true
		}
	}
	return false
}

func (s *search) hostsCanTake(service, need int) bool {
	for host := range s.in.Hosts {
		if need -= s.capacity(service, host); need <= 0 {
			return true
		}
	}
	return false
}

// zoneCapacities returns how many tasks of a service each zone could take under the limit by rack. That limit is left out
// where racks span zones: the result is then an upper bound.
func (s *search) zoneCapacities(service int) []int {
	spec := &s.services[service]
	zones := make([]int, len(s.zoneCounts[service]))
	if s.racksSpanZones {
		for host, zone := range s.zoneOf {
			zones[zone] += s.capacity(service, host)
		}
		return zones
	}
	racks := make([]int, len(s.rackCounts[service]))
	for host, rack := range s.rackOf {
		racks[rack] += s.capacity(service, host)
	}
	for rack, n := range racks {
		if spec.MaxPerRack > 0 {
			n = min(n, spec.MaxPerRack-s.rackCounts[service][rack])
		}
		zones[s.zoneOfRack[rack]] += n
	}
	return zones
}
