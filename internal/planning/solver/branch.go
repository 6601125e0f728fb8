package solver

import (
	"cmp"
	"slices"
)

// stopPollInterval is the number of nodes between two calls of Options.Stop.
const stopPollInterval = 1024

// branch searches the subtree of the current node. At this node, all services before the given service are placed
// completely. The parameter placed is the number of placed tasks of the given service. Since the tasks of a service are
// interchangeable, its next task is placed on firstHost or a later host.
func (s *search) branch(service, placed, firstHost int) {
	for service < len(s.services) && placed == s.services[service].Count {
		service, placed, firstHost = service+1, 0, 0
	}
	defer func(previous int) { s.current = previous }(s.current)
	s.current = service
	if service == len(s.services) {
		s.updateIncumbent()
		return
	}
	s.nodes++
	if s.limitReached() {
		s.stopped = true
		return
	}
	if s.canPrune(service, placed) {
		return
	}
	for _, host := range s.candidates(service, firstHost) {
		s.add(service, host, 1)
		s.branch(service, placed+1, host)
		s.add(service, host, -1)
		if s.stopped {
			return
		}
	}
}

// limitReached reports whether the limits of Options end the search at the current node.
func (s *search) limitReached() bool {
	return s.nodes >= s.opt.MaxNodes || s.nodes%stopPollInterval == 0 && s.stopRequested()
}

func (s *search) stopRequested() bool { return s.opt.Stop != nil && s.opt.Stop() }

// canPrune reports whether the subtree of the current node provably has no placement that costs less than the incumbent.
func (s *search) canPrune(service, placed int) bool {
	if s.incumbent != nil && s.lowerBound(service, placed) >= s.incumbentCost {
		return true
	}
	return !s.canComplete(service, placed)
}

// candidates returns the hosts from firstHost on that can take a task of a service, in the order of compareCandidates. Of
// interchangeable hosts it returns only the first.
func (s *search) candidates(service, firstHost int) []int {
	hosts := make([]int, 0, len(s.in.Hosts)-firstHost)
	for host := firstHost; host < len(s.in.Hosts); host++ {
		if s.capacity(service, host) == 0 {
			continue
		}
		if !slices.ContainsFunc(hosts, func(other int) bool { return s.interchangeable(service, other, host) }) {
			hosts = append(hosts, host)
		}
	}
	slices.SortStableFunc(hosts, func(a, b int) int { return s.compareCandidates(service, a, b) })
	return hosts
}

// interchangeable reports whether two hosts are equivalent for the next task of a service.
func (s *search) interchangeable(service, a, b int) bool {
	if s.hasHostAffinity && s.hostTasks[a] > 0 {
		return false
	}
	return s.equivalenceClass[a] == s.equivalenceClass[b] && s.freeCores[a] == s.freeCores[b] && s.freeMemory[a] == s.freeMemory[b] &&
		s.counts[service][a] == s.counts[service][b] && (s.hostTasks[a] > 0) == (s.hostTasks[b] > 0)
}

// compareCandidates orders hosts for a task of a service: first hosts on which the placement can keep another running
// task of the service, then hosts in use, the fullest first, then unused hosts, in ascending order of cost per core.
func (s *search) compareCandidates(service, a, b int) int {
	aInUse, bInUse := s.inUse(a), s.inUse(b)
	if c := cmp.Or(
		compareTrueFirst(s.canKeepRunningTask(service, a), s.canKeepRunningTask(service, b)),
		compareTrueFirst(aInUse, bInUse),
	); c != 0 {
		return c
	}
	if aInUse {
		return cmp.Or(cmp.Compare(s.freeFraction(a), s.freeFraction(b)), cmp.Compare(a, b))
	}
	return cmp.Or(cmp.Compare(costPerCore(&s.in.Hosts[a]), costPerCore(&s.in.Hosts[b])), cmp.Compare(a, b))
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// canKeepRunningTask reports whether more tasks of a service are running on a host than are placed on it, so that another
// task there is no migration.
func (s *search) canKeepRunningTask(service, host int) bool {
	running := s.services[service].Running
	return running != nil && s.counts[service][host] < running[host]
}

// freeFraction returns the free fraction of a host's cores plus that of its memory. It may be a float, since only the
// order of branching depends on it.
func (s *search) freeFraction(host int) float64 {
	h := &s.in.Hosts[host]
	return float64(s.freeCores[host])/float64(max(h.Cores, 1)) + float64(s.freeMemory[host])/float64(max(h.Memory, 1))
}

// costPerCore returns a host's cost per millicore. It may be a float, since only the order of branching depends on it.
func costPerCore(h *Host) float64 {
	if h.Cores <= 0 {
		return 1e300 // sorts after all other hosts
	}
	return float64(h.Cost) / float64(h.Cores)
}
