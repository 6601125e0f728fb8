package solver

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// greedyStarts is the number of orders of the services in which the greedy heuristic is run.
const greedyStarts = 60

// findIncumbents searches for initial incumbents. It places the services greedily, in the branching order and in random
// variations of it, and improves each placement by emptying hosts. The seed of the variations is fixed.
func (s *search) findIncumbents() {
	rng := rand.New(rand.NewPCG(1, uint64(len(s.services))))
	order := s.positions()
	keys := make([]float64, len(order))
	for start := range greedyStarts {
		for k := range order {
			order[k], keys[k] = k, float64(k)
			if start > 0 {
				keys[k] += rng.NormFloat64() * float64(len(order)) / 8
			}
		}
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(keys[a], keys[b]) })
		if s.hasAffinities() {
			slices.Sort(order) // a service must be placed after those that it has an affinity to
		}
		if s.placeGreedily(order) {
			s.emptyHosts()
		}
		s.removeAll()
		if s.stopRequested() {
			s.stopped = true
			return
		}
	}
}

// positions returns the positions of all services in branching order: 0, 1, 2 and so on.
func (s *search) positions() []int {
	order := make([]int, len(s.services))
	for k := range order {
		order[k] = k
	}
	return order
}

// placeGreedily places all tasks that are not placed yet, service by service, each on its best candidate. It makes the
// placement the incumbent if it is valid and costs less. It returns false if a task has no candidate.
func (s *search) placeGreedily(order []int) bool {
	defer func(previous int) { s.current = previous }(s.current)
	for _, service := range order {
		s.current = service
		for s.placed(service) < s.services[service].Count {
			host, ok := s.bestCandidate(service)
			if !ok {
				return false
			}
			s.add(service, host, 1)
		}
	}
	// A task that was placed before may no longer meet its affinity, since the other service's tasks may have been moved.
	if s.affinitiesHold() {
		s.updateIncumbent()
	}
	return true
}

// bestCandidate returns the first host in the order of compareCandidates that can take a task of a service. ok is false
// if there is none.
func (s *search) bestCandidate(service int) (host int, ok bool) {
	best := -1
	for host := range s.in.Hosts {
		if s.capacity(service, host) > 0 && (best < 0 || s.compareCandidates(service, host, best) < 0) {
			best = host
		}
	}
	return best, best >= 0
}

// emptyHosts improves a complete placement: it empties hosts one by one, until emptying no host lowers the cost.
func (s *search) emptyHosts() {
	for improved := true; improved; {
		improved = false
		for host := range s.in.Hosts {
			h := &s.in.Hosts[host]
			if s.hostTasks[host] > 0 && !h.InUse && h.Cost > 0 && s.emptyHost(host) {
				improved = true
			}
		}
	}
}

// emptyHost places the tasks of a host greedily on other hosts. If that does not give a valid placement of lower cost, it
// restores the placement and returns false.
func (s *search) emptyHost(host int) bool {
	costBefore, countsBefore := s.cost, s.snapshot()
	for service := range s.counts {
		if n := s.counts[service][host]; n > 0 {
			s.add(service, host, -n)
		}
	}
	h := &s.in.Hosts[host]
	h.Unschedulable = true
	improved := s.placeGreedily(s.positions()) && s.cost < costBefore && s.affinitiesHold()
	h.Unschedulable = false
	if improved {
		return true
	}
	s.removeAll()
	for service, row := range countsBefore {
		s.addCounts(service, row)
	}
	return false
}
