package solver

import (
	"cmp"
	"math/bits"
	"slices"
)

// maxGroups limits the number of host groups, and thus the time to compute a lower bound. The bound is valid with any
// subset of the groups.
const maxGroups = 16

// resource is a kind of amount for which the cost of covering a demand is computed.
type resource int

const (
	coresResource resource = iota
	memoryResource
	weightedSumResource // weighted sum of cores and memory; hosts that cover a demand of both also cover the sum
	resourceCount
)

// amount returns a host's amount of a resource.
func (s *search) amount(r resource, h *Host) int64 {
	switch r {
	case coresResource:
		return h.Cores
	case memoryResource:
		return h.Memory
	default:
		return s.weightedSum(h.Cores, h.Memory)
	}
}

func (s *search) weightedSum(cores, memory int64) int64 {
	return cores*s.coreWeight + memory*s.memoryWeight
}

// hostGroup is a set of hosts with the services that may use no other hosts, so that the set has to cover their demand.
type hostGroup struct {
	hosts       []bool               // indexed by host, whether it is in the group
	services    []bool               // indexed by service, whether the service may use only hosts of the group
	byUnitCost  [resourceCount][]int // indexes of the hosts, in ascending order of cost per unit of the resource
	costDivisor int64                // greatest common divisor of the costs of the hosts
}

// initGroups creates a group of all hosts, and one for each set of hosts to which some service is restricted, up to
// maxGroups.
func (s *search) initGroups() {
	all := make([]bool, len(s.in.Hosts))
	for i := range all {
		all[i] = true
	}
	sets := [][]bool{all}
	for k := range s.services {
		allowed := s.services[k].Allowed
		isKnown := slices.ContainsFunc(sets, func(set []bool) bool { return slices.Equal(set, allowed) })
		if allowed != nil && !isKnown && len(sets) < maxGroups {
			sets = append(sets, allowed)
		}
	}
	for _, set := range sets {
		s.groups = append(s.groups, s.newGroup(set))
	}
}

func (s *search) newGroup(set []bool) hostGroup {
	g := hostGroup{hosts: set}
	for k := range s.services {
		g.services = append(g.services, s.services[k].isConfinedTo(set))
	}
	var members []int
	for host, isMember := range set {
		if isMember {
			members = append(members, host)
			g.costDivisor = gcd(g.costDivisor, s.in.Hosts[host].Cost)
		}
	}
	for r := range resourceCount {
		g.byUnitCost[r] = slices.Clone(members)
		slices.SortStableFunc(g.byUnitCost[r], func(a, b int) int {
			x, y := &s.in.Hosts[a], &s.in.Hosts[b]
			return compareRatios(x.Cost, s.amount(r, x), y.Cost, s.amount(r, y))
		})
	}
	return g
}

// isConfinedTo reports whether the service may use only hosts of a set.
func (s *Service) isConfinedTo(set []bool) bool {
	for host, isMember := range set {
		if !isMember && s.allows(host) {
			return false
		}
	}
	return true
}

// compareRatios compares a/b with c/d exactly, by the products a*d and c*b. No argument may be negative.
func compareRatios(a, b, c, d int64) int {
	leftHigh, leftLow := bits.Mul64(uint64(a), uint64(d))
	rightHigh, rightLow := bits.Mul64(uint64(c), uint64(b))
	return cmp.Or(cmp.Compare(leftHigh, rightHigh), cmp.Compare(leftLow, rightLow))
}

func gcd(a, b int64) int64 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// lowerBound returns a lower bound of the cost of all completions of the current node: the cost of the placed tasks, and
// the largest of the groups' bounds for the remaining ones. placed is the number of placed tasks of the service at
// position from; no tasks of later services are placed.
func (s *search) lowerBound(from, placed int) int64 {
	if from >= len(s.services) {
		return s.cost
	}
	extra := int64(0)
	for i := range s.groups {
		extra = max(extra, s.groupBound(&s.groups[i], from, placed))
	}
	if s.opt.InjectedBug == BugInBound && extra > 0 {
		extra++
	}
	return s.cost + extra
}

// groupBound returns a lower bound of the cost of the unused hosts of a group that its services still need.
func (s *search) groupBound(g *hostGroup, from, placed int) int64 {
	cores, memory := s.uncoveredDemand(g, from, placed)
	extra := max(s.coverCost(g, coresResource, cores), s.coverCost(g, memoryResource, memory))
	if cores > 0 && memory > 0 {
		extra = max(extra, s.coverCost(g, weightedSumResource, s.weightedSum(cores, memory)))
	}
	if g.costDivisor > 1 {
		extra = (extra + g.costDivisor - 1) / g.costDivisor * g.costDivisor
	}
	return extra
}

// uncoveredDemand returns the remaining demand of a group's services, less the free amounts of the group's hosts in use.
func (s *search) uncoveredDemand(g *hostGroup, from, placed int) (cores, memory int64) {
	for k := from; k < len(s.services); k++ {
		if !g.services[k] {
			continue
		}
		n := int64(s.services[k].Count)
		if k == from {
			n -= int64(placed)
		}
		cores += n * s.services[k].Cores
		memory += n * s.services[k].Memory
	}
	for host := range s.in.Hosts {
		if g.hosts[host] && !s.in.Hosts[host].Unschedulable && s.inUse(host) {
			cores -= s.freeCores[host]
			memory -= s.freeMemory[host]
		}
	}
	return max(cores, 0), max(memory, 0)
}

// coverCost returns the minimal cost of unused hosts of a group that cover a demand of a resource, if a fraction of a
// host may be used at a fraction of its cost. The result is rounded up, since costs are integers.
func (s *search) coverCost(g *hostGroup, r resource, demand int64) int64 {
	if demand <= 0 {
		return 0
	}
	total := int64(0)
	for _, host := range g.byUnitCost[r] {
		h := &s.in.Hosts[host]
		if h.Unschedulable || s.inUse(host) {
			continue
		}
		amount := s.amount(r, h)
		if amount <= 0 {
			continue
		}
		if amount >= demand {
			return total + partialCost(h.Cost, demand, amount)
		}
		total += h.Cost
		demand -= amount
	}
	return total
}

// partialCost returns cost*demand/amount, rounded up. If the product would overflow, it returns 0, which makes the bound
// weaker but keeps it valid.
func partialCost(cost, demand, amount int64) int64 {
	const maxProduct = 1 << 62
	if cost > 0 && demand > maxProduct/cost {
		return 0
	}
	return (cost*demand + amount - 1) / amount
}
