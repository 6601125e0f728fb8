package solver

// canComplete reports whether the remaining tasks might still be placed. Of the service at position from, the parameter
// placed gives how many tasks are placed. Its other tasks and all tasks of later services remain. canComplete checks
// the total cores and memory of the remaining tasks, and each service separately. If it returns false, the placement
// cannot be completed. If it returns true, the placement may or may not be completed.
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

// demandFits reports whether the total free cores and memory cover the remaining demand. Hosts on which not even the
// smallest remaining task fits are not counted, so that the check decides instances that are exactly at capacity.
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

// canPlace reports whether the hosts could take a number of additional tasks of a service if no other tasks were added.
// The parameter need is that number.
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

// zoneCapacities returns how many more tasks of a service each zone could take under the service's limit per rack. If
// some rack spans zones, it ignores that limit, and the result is an upper bound.
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
