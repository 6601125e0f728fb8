package solver

import (
	"cmp"
	"fmt"
	"slices"
)

// search is the state of one branch-and-bound search. It identifies services by their position in the branching order,
// and hosts by their index in the instance. It is not safe for concurrent use.
type search struct {
	in  *Instance
	opt Options

	// The services in branching order: each service comes after the services that it has an affinity to; apart from that,
	// services that are hard to place come first.
	order    []int     // index into in.Services of each position
	services []Service // by position; the services in their affinities are positions too

	// The hosts. These fields do not change during a search.
	rackOf           []int // number of the rack, by host
	zoneOf           []int // number of the zone, by host
	zoneOfRack       []int
	racksSpanZones   bool  // some rack has hosts in several zones
	equivalenceClass []int // by host; hosts of one class are interchangeable as long as they have the same tasks
	groups           []hostGroup
	// Weights in weightedSumResource. The largest cores and the largest memory of a host weigh about the same.
	coreWeight   int64
	memoryWeight int64

	// For each position, the total demand of the services from that position on. The last entry, at len(services), is
	// that of no services.
	demandCores  []int64
	demandMemory []int64
	minCores     []int64 // minimum cores that a task of these services requests
	minMemory    []int64 // minimum memory that a task of these services requests; it may be another task

	hasHostAffinity bool // some service has an affinity in HostDomain

	// The partial placement at the current node.
	freeCores  []int64 // by host
	freeMemory []int64
	hostTasks  []int   // by host, the number of tasks of all services
	counts     [][]int // number of placed tasks by service, by host
	rackCounts [][]int // number of placed tasks by service, by rack
	zoneCounts [][]int // number of placed tasks by service, by zone
	cost       int64
	current    int // position of the service being placed; all services before it are placed completely

	// The incumbent is the placement of least cost found so far.
	incumbent     [][]int // nil: none found yet
	incumbentCost int64

	nodes   int  // number of visited nodes
	stopped bool // the limits of Options ended the search before it was complete
}

func newSearch(in *Instance, opt Options) *search {
	s := &search{in: in, opt: opt}
	maxCores, maxMemory := int64(1), int64(1)
	for i := range in.Hosts {
		maxCores, maxMemory = max(maxCores, in.Hosts[i].Cores), max(maxMemory, in.Hosts[i].Memory)
	}
	s.coreWeight, s.memoryWeight = max(1<<20/maxCores, 1), max(1<<20/maxMemory, 1)
	s.order = branchingOrder(in, maxCores, maxMemory)
	s.initServices()
	s.initTopology()
	s.initDemand()
	s.initEquivalentHosts()
	s.initGroups()
	s.initPlacement()
	return s
}

// branchingOrder sorts services by the length of their chains of affinities, then by descending task size, then by the
// number of allowed hosts. It returns their indexes.
func branchingOrder(in *Instance, maxCores, maxMemory int64) []int {
	order := make([]int, len(in.Services))
	for i := range order {
		order[i] = i
	}
	depths := in.affinityDepths()
	size := func(s *Service) int64 { return max(s.Cores*1000/maxCores, s.Memory*1000/maxMemory) }
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &in.Services[a], &in.Services[b]
		return cmp.Or(
			cmp.Compare(depths[a], depths[b]),
			cmp.Compare(size(y), size(x)),
			cmp.Compare(in.allowedHosts(x), in.allowedHosts(y)),
		)
	})
	return order
}

// allowedHosts returns the number of schedulable hosts that a service may use.
func (in *Instance) allowedHosts(s *Service) int {
	n := 0
	for host := range in.Hosts {
		if !in.Hosts[host].Unschedulable && s.allows(host) {
			n++
		}
	}
	return n
}

func (s *Service) allows(host int) bool { return s.Allowed == nil || s.Allowed[host] }

// initServices copies the services in branching order, and translates the indexes in their affinities to positions.
func (s *search) initServices() {
	position := make([]int, len(s.order)) // by index into in.Services
	for k, index := range s.order {
		position[index] = k
	}
	for _, index := range s.order {
		service := s.in.Services[index]
		service.Affinities = slices.Clone(service.Affinities)
		for i := range service.Affinities {
			a := &service.Affinities[i]
			a.Service = position[a.Service]
			s.hasHostAffinity = s.hasHostAffinity || a.Domain == HostDomain
		}
		s.services = append(s.services, service)
	}
}

// initTopology numbers the racks and zones of the hosts.
func (s *search) initTopology() {
	racks, zones := map[string]int{}, map[string]int{}
	for i := range s.in.Hosts {
		rack, zone := numberOf(racks, s.in.Hosts[i].Rack), numberOf(zones, s.in.Hosts[i].Zone)
		s.rackOf, s.zoneOf = append(s.rackOf, rack), append(s.zoneOf, zone)
		if rack == len(s.zoneOfRack) {
			s.zoneOfRack = append(s.zoneOfRack, zone)
		}
		s.racksSpanZones = s.racksSpanZones || s.zoneOfRack[rack] != zone
	}
	for range s.services {
		s.rackCounts = append(s.rackCounts, make([]int, len(racks)))
		s.zoneCounts = append(s.zoneCounts, make([]int, len(zones)))
	}
}

// numberOf returns the number of a name. A new name gets the next number, from 0.
func numberOf(numbers map[string]int, name string) int {
	n, ok := numbers[name]
	if !ok {
		n = len(numbers)
		numbers[name] = n
	}
	return n
}

// initDemand computes the total demand of the services from each position on.
func (s *search) initDemand() {
	n := len(s.services)
	s.demandCores, s.demandMemory = make([]int64, n+1), make([]int64, n+1)
	s.minCores, s.minMemory = make([]int64, n+1), make([]int64, n+1)
	const infinity = 1 << 62 // larger than any amount
	s.minCores[n], s.minMemory[n] = infinity, infinity
	for k := n - 1; k >= 0; k-- {
		service := &s.services[k]
		s.demandCores[k] = s.demandCores[k+1] + int64(service.Count)*service.Cores
		s.demandMemory[k] = s.demandMemory[k+1] + int64(service.Count)*service.Memory
		s.minCores[k], s.minMemory[k] = s.minCores[k+1], s.minMemory[k+1]
		if service.Count > 0 {
			s.minCores[k], s.minMemory[k] = min(s.minCores[k], service.Cores), min(s.minMemory[k], service.Memory)
		}
	}
}

// initEquivalentHosts numbers the equivalence classes of hosts. The hosts of a class are the same for all services.
func (s *search) initEquivalentHosts() {
	topologyMatters := s.topologyMatters()
	sets := map[string]int{} // number of each class, by the properties that its hosts have in common
	for host := range s.in.Hosts {
		h := &s.in.Hosts[host]
		key := fmt.Sprint(h.Cores, h.Memory, h.Cost, h.Unschedulable, h.InUse)
		if topologyMatters {
			key += fmt.Sprintf(" %q %q", h.Rack, h.Zone)
		}
		for k := range s.services {
			running := 0
			if s.services[k].Running != nil {
				running = s.services[k].Running[host]
			}
			key += fmt.Sprint(" ", s.services[k].allows(host), running)
		}
		s.equivalenceClass = append(s.equivalenceClass, numberOf(sets, key))
	}
}

// topologyMatters reports whether anything in the instance depends on racks or zones.
func (s *search) topologyMatters() bool {
	return s.in.HomeZone != "" || slices.ContainsFunc(s.services, func(service Service) bool {
		return service.MaxPerRack > 0 || service.MaxPerZone > 0 || len(service.Affinities) > 0
	})
}

// initPlacement initializes the placement without tasks.
func (s *search) initPlacement() {
	for i := range s.in.Hosts {
		s.freeCores, s.freeMemory = append(s.freeCores, s.in.Hosts[i].Cores), append(s.freeMemory, s.in.Hosts[i].Memory)
	}
	s.hostTasks = make([]int, len(s.in.Hosts))
	for range s.services {
		s.counts = append(s.counts, make([]int, len(s.in.Hosts)))
	}
}

// inInstanceOrder converts counts by position to counts by index into in.Services.
func (s *search) inInstanceOrder(counts [][]int) [][]int {
	rows := make([][]int, len(counts))
	for k, index := range s.order {
		rows[index] = counts[k]
	}
	return rows
}
