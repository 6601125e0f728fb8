package solver

import "fmt"

// Check verifies that a placement, given as counts of tasks by service and host, satisfies an instance and has the given
// cost. It shares no code with the search, so that it also detects faults of the search. Its error names the first
// violated constraint.
func Check(in *Instance, counts [][]int, cost int64) error {
	if len(counts) != len(in.Services) {
		return fmt.Errorf("the placement has %d rows, want one for each of %d services", len(counts), len(in.Services))
	}
	for i := range in.Services {
		if err := checkService(in, counts, i); err != nil {
			return err
		}
	}
	if err := checkCapacity(in, counts); err != nil {
		return err
	}
	if total := totalCost(in, counts); total != cost {
		return fmt.Errorf("the placement costs %d, but its stated cost is %d", total, cost)
	}
	return nil
}

// checkService verifies all constraints of one service, but not the capacity of hosts.
func checkService(in *Instance, counts [][]int, index int) error {
	s := &in.Services[index]
	for host, n := range counts[index] {
		if n == 0 {
			continue
		}
		if err := checkHost(s, &in.Hosts[host], host, n); err != nil {
			return err
		}
		if err := checkAffinities(in, counts, s, host); err != nil {
			return err
		}
	}
	if err := checkTaskCount(s, counts[index]); err != nil {
		return err
	}
	rackOf := func(h *Host) string { return h.Rack }
	if err := checkSpread(in, s, counts[index], "rack", rackOf, s.MaxPerRack); err != nil {
		return err
	}
	zoneOf := func(h *Host) string { return h.Zone }
	return checkSpread(in, s, counts[index], "zone", zoneOf, s.MaxPerZone)
}

// checkHost verifies that n tasks of a service may be on a host, without regard to other hosts and services.
func checkHost(s *Service, h *Host, host, n int) error {
	switch {
	case n < 0:
		return fmt.Errorf("%s has %d tasks on host %s, want at least 0", s.Name, n, h.ID)
	case h.Unschedulable:
		return fmt.Errorf("%s has tasks on host %s, which is unschedulable", s.Name, h.ID)
	case s.Allowed != nil && !s.Allowed[host]:
		return fmt.Errorf("%s has tasks on host %s, which is not allowed for it", s.Name, h.ID)
	case s.MaxPerHost > 0 && n > s.MaxPerHost:
		return fmt.Errorf("%s has %d tasks on host %s, want at most %d", s.Name, n, h.ID, s.MaxPerHost)
	}
	return nil
}

// checkAffinities verifies that a host on which a service has tasks meets each affinity of the service.
func checkAffinities(in *Instance, counts [][]int, s *Service, host int) error {
	for _, a := range s.Affinities {
		found := false
		for other, n := range counts[a.Service] {
			found = found || n > 0 && in.sameDomain(a.Domain, other, host)
		}
		if !found {
			return fmt.Errorf("%s has tasks on host %s, but %s has none in the domain of their affinity", s.Name, in.Hosts[host].ID, in.Services[a.Service].Name)
		}
	}
	return nil
}

// checkTaskCount verifies that all tasks of a service are placed.
func checkTaskCount(s *Service, row []int) error {
	placed := 0
	for _, n := range row {
		placed += n
	}
	if placed != s.Count {
		return fmt.Errorf("%s has %d placed tasks, want %d", s.Name, placed, s.Count)
	}
	return nil
}

// checkSpread verifies that no domain of a level has more than limit tasks of a service. A limit of 0 means no limit.
func checkSpread(in *Instance, s *Service, row []int, level string, domainOf func(*Host) string, limit int) error {
	if limit <= 0 {
		return nil
	}
	tasks := map[string]int{}
	for host, n := range row {
		tasks[domainOf(&in.Hosts[host])] += n
	}
	for host := range row { // in the order of hosts, so that the error is deterministic
		domain := domainOf(&in.Hosts[host])
		if n := tasks[domain]; n > limit {
			return fmt.Errorf("%s has %d tasks in %s %s, want at most %d", s.Name, n, level, domain, limit)
		}
	}
	return nil
}

// checkCapacity verifies that the tasks on each host need no more than its cores and memory.
func checkCapacity(in *Instance, counts [][]int) error {
	for host := range in.Hosts {
		h := &in.Hosts[host]
		cores, memory := int64(0), int64(0)
		for i := range in.Services {
			n := tasksOn(counts[i], host)
			cores += n * in.Services[i].Cores
			memory += n * in.Services[i].Memory
		}
		if cores > h.Cores || memory > h.Memory {
			return fmt.Errorf("tasks on host %s need %d of %d millicores and %d of %d MiB", h.ID, cores, h.Cores, memory, h.Memory)
		}
	}
	return nil
}

// tasksOn returns the number of tasks on a host. If row is too short to have an entry for the host, the number is 0.
func tasksOn(row []int, host int) int64 {
	if host >= len(row) {
		return 0
	}
	return int64(row[host])
}

// totalCost returns the cost of a placement.
func totalCost(in *Instance, counts [][]int) int64 {
	total := int64(0)
	used := make([]bool, len(in.Hosts))
	for i := range in.Services {
		for host, n := range counts[i] {
			if n == 0 {
				continue
			}
			used[host] = true
			if in.HomeZone != "" && in.Hosts[host].Zone != in.HomeZone {
				total += in.OutsideHomeCost * int64(n)
			}
			if running := in.Services[i].Running; running != nil {
				total += in.MigrationCost * int64(max(n-running[host], 0))
			}
		}
	}
	for host := range in.Hosts {
		if used[host] && !in.Hosts[host].InUse {
			total += in.Hosts[host].Cost
		}
	}
	return total
}
