package solver

import (
	"cmp"
	"math/bits"
	"slices"
)

// maxGroups bounds the time that a lower bound takes; any subset of the groups gives a valid one.
const maxGroups = 16

// resource is an amount by which a cover is computed.
type resource int

const (
	byCores resource = iota
	byMemory
	byWeightedSum // whoever covers a demand of cores and memory covers every weighted sum of them
	resourceCount
)

// amount returns what a host has of a resource.
func (s *search) amount(r resource, h *Host) int64 {
	switch r {
	case byCores:
		return h.Cores
	case byMemory:
		return h.Memory
	default:
		return s.weightedSum(h.Cores, h.Memory)
	}
}

func (s *search) weightedSum(cores, memory int64) int64 {
	return cores*s.coreWeight + memory*s.memoryWeight
}

// hostGroup is a set of hosts with the services that may use no others, so that these hosts alone have to cover them.
type hostGroup struct {
	hosts      []bool // by host
	services   []bool // by service
	byCost     [resourceCount][]int
	costFactor int64 // all costs of its hosts are multiples of it
}

// initGroups makes a group of all hosts, and one of each set of hosts that some service is confined to.
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
			g.costFactor = gcd(g.costFactor, s.in.Hosts[host].Cost)
		}
	}
	for r := range resourceCount {
		g.byCost[r] = slices.Clone(members)
		slices.SortStableFunc(g.byCost[r], func(a, b int) int {
			x, y := &s.in.Hosts[a], &s.in.Hosts[b]
			return compareRatios(x.Cost, s.amount(r, x), y.Cost, s.amount(r, y))
		})
	}
	return g
}

// isConfinedTo reports whether a service may use no hosts but those of a set.
func (s *Service) isConfinedTo(set []bool) bool {
	for host, isMember := range set {
		if !isMember && s.allows(host) {
			return false
		}
	}
	return true
}

// compareRatios compares a/b with c/d exactly, as the products a*d and c*b. None of them is negative.
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

// lowerBound returns what every completion of the current node costs at least: what is spent, and the dearest of the
// groups' covers. Of the service at position from, some tasks are placed.
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

// groupBound returns the least cost of unused hosts of a group that cover what its services still need.
func (s *search) groupBound(g *hostGroup, from, placed int) int64 {
	cores, memory := s.uncoveredDemand(g, from, placed)
	extra := max(s.coverCost(g, byCores, cores), s.coverCost(g, byMemory, memory))
	if cores > 0 && memory > 0 {
		extra = max(extra, s.coverCost(g, byWeightedSum, s.weightedSum(cores, memory)))
	}
	if g.costFactor > 1 {
		extra = (extra + g.costFactor - 1) / g.costFactor * g.costFactor
	}
	return extra
}

// uncoveredDemand returns the remaining demand of a group's services beyond what is available on its hosts in use.
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

// coverCost returns the least cost of unused hosts of a group, the last of them in part, that have a demand of a resource.
// It is rounded up, since costs are whole numbers.
func (s *search) coverCost(g *hostGroup, r resource, demand int64) int64 {
	if demand <= 0 {
		return 0
	}
	total := int64(0)
	for _, host := range g.byCost[r] {
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

// partialCost returns cost*demand/amount, rounded up; 0, which makes a weaker bound, where the product would overflow.
func partialCost(cost, demand, amount int64) int64 {
	const maxProduct = 1 << 62
	if cost > 0 && demand > maxProduct/cost {
		return 0
	}
	return (cost*demand + amount - 1) / amount
}
