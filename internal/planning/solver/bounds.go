package solver

import (
	"cmp"
)

// fitsFrom says whether the services from one on could still be placed, each by itself, and all
// together by their sums. A no is a proof.
func (s *search) fitsFrom(from, placed int) bool {
	var cores, memory int64
	for hi, h := range s.in.Hosts {
		// Room that not even the smallest task of what is left fits into is waste: this decides
		// instances that are exactly at capacity.
		if !h.Unschedulable && s.free[hi] >= s.leastC[from] && s.freeMem[hi] >= s.leastM[from] {
			cores, memory = cores+s.free[hi], memory+s.freeMem[hi]
		}
	}
	if from < len(s.svc) {
		done := int64(placed)
		if s.leftC[from]-done*s.svc[from].Cores > cores || s.leftM[from]-done*s.svc[from].Memory > memory {
			return false
		}
	}
	for k := from; k < len(s.svc); k++ {
		need := s.svc[k].Count
		if k == from {
			need -= placed
		}
		if s.opt.InjectedBug == BugInPropagation && k > from {
			need++
		}
		if !s.reach(k, need) {
			return false
		}
	}
	return true
}

// reach says whether the hosts take so many tasks of a service, its limits in racks and zones
// counted once for all.
func (s *search) reach(k, need int) bool {
	if need <= 0 {
		return true
	}
	v := &s.svc[k]
	if v.MaxPerRack == 0 && v.MaxPerZone == 0 {
		for hi := range s.in.Hosts {
			if need -= s.room(k, hi); need <= 0 {
				return true
			}
		}
		return false
	}
	racks := make([]int, len(s.racks[k]))
	zoneOfRack := make([]int, len(racks))
	mixed := false // a rack name that stands in two zones: only the zones are summed then
	seen := make([]bool, len(racks))
	for hi := range s.in.Hosts {
		r := s.rackOf[hi]
		racks[r] += s.room(k, hi)
		if seen[r] && zoneOfRack[r] != s.zoneOf[hi] {
			mixed = true
		}
		seen[r], zoneOfRack[r] = true, s.zoneOf[hi]
	}
	zones := make([]int, len(s.zones[k]))
	if mixed {
		for hi := range s.in.Hosts {
			zones[s.zoneOf[hi]] += s.room(k, hi)
		}
	} else {
		for r, n := range racks {
			if v.MaxPerRack > 0 {
				n = min(n, v.MaxPerRack-s.racks[k][r])
			}
			if seen[r] {
				zones[zoneOfRack[r]] += n
			}
		}
	}
	for z, n := range zones {
		if v.MaxPerZone > 0 {
			n = min(n, v.MaxPerZone-s.zones[k][z])
		}
		if need -= n; need <= 0 {
			return true
		}
	}
	return false
}

// boundAt is a lower bound of the cost of any completion: what is spent, and the cheapest share of
// unused hosts that covers what the used ones cannot hold. placed tasks of service from are there.
func (s *search) boundAt(from, placed int) int64 {
	if from >= len(s.svc) {
		return s.cost
	}
	extra := int64(0)
	for g := range s.groups {
		extra = max(extra, s.need(&s.groups[g], from, placed))
	}
	if s.opt.InjectedBug == BugInBound {
		if extra > 0 {
			extra++
		}
	}
	return s.cost + extra
}

// group is a set of hosts and the services that may use no others: what they ask for has to be
// covered by those hosts alone. The first group is all hosts.
type group struct {
	in     []bool // hosts
	member []bool // services, by place in the order
	byCost [3][]int
	step   int64 // all costs of its hosts are multiples of it
}

// need is the cheapest cover of what a group's services still ask for, by hosts not in use.
func (s *search) need(g *group, from, placed int) int64 {
	var needC, needM int64
	for k := from; k < len(s.svc); k++ {
		if !g.member[k] {
			continue
		}
		n := int64(s.svc[k].Count)
		if k == from {
			n -= int64(placed)
		}
		needC, needM = needC+n*s.svc[k].Cores, needM+n*s.svc[k].Memory
	}
	for hi, h := range s.in.Hosts {
		if g.in[hi] && !h.Unschedulable && (s.held[hi] > 0 || h.InUse) {
			needC, needM = needC-s.free[hi], needM-s.freeMem[hi]
		}
	}
	needC, needM = max(needC, 0), max(needM, 0)
	extra := max(s.cover(g, 0, needC, func(h *Host) int64 { return h.Cores }), s.cover(g, 1, needM, func(h *Host) int64 { return h.Memory }))
	if needC > 0 && needM > 0 {
		// Both at once: whoever holds both needs holds their sum, in any weights.
		extra = max(extra, s.cover(g, 2, needC*s.scaleC+needM*s.scaleM, func(h *Host) int64 { return h.Cores*s.scaleC + h.Memory*s.scaleM }))
	}
	if g.step > 1 {
		extra = (extra + g.step - 1) / g.step * g.step
	}
	return extra
}

// cover is the least cost of unused hosts of a group, the last of them in part, that hold a need.
// It is rounded up, which costs of whole numbers allow.
func (s *search) cover(g *group, k int, need int64, gain func(*Host) int64) int64 {
	if need <= 0 {
		return 0
	}
	total := int64(0)
	for _, hi := range g.byCost[k] {
		h := &s.in.Hosts[hi]
		if h.Unschedulable || h.InUse || s.held[hi] > 0 {
			continue
		}
		v := gain(h)
		if v <= 0 {
			continue
		}
		if v >= need {
			if h.Cost > 0 && need > (1<<62)/h.Cost {
				return total // the product would not fit: a weaker bound is a bound
			}
			return total + (h.Cost*need+v-1)/v
		}
		total += h.Cost
		need -= v
	}
	return total
}

// hostsFor lists hosts that take a task of the service, the promising first: in use and tightest,
// then unused and cheap for what they hold. Of hosts that are alike and hold alike one is listed.
func (s *search) hostsFor(k, from int, buf []int) []int {
	out := buf[:0]
	for hi := from; hi < len(s.in.Hosts); hi++ {
		if s.room(k, hi) == 0 {
			continue
		}
		twin := false
		for _, o := range out {
			if s.alike[o] == s.alike[hi] && s.free[o] == s.free[hi] && s.freeMem[o] == s.freeMem[hi] &&
				s.counts[k][o] == s.counts[k][hi] && (s.held[o] > 0) == (s.held[hi] > 0) && (!s.beside || s.held[o] == 0) {
				twin = true
				break
			}
		}
		if !twin {
			out = append(out, hi)
		}
	}
	return out
}

func (s *search) better(k, a, b int) int {
	use := func(hi int) int {
		if s.held[hi] > 0 || s.in.Hosts[hi].InUse {
			return 0
		}
		return 1
	}
	stay := func(hi int) int {
		if v := &s.svc[k]; v.Running != nil && s.counts[k][hi] < v.Running[hi] {
			return 0
		}
		return 1
	}
	x, y := &s.in.Hosts[a], &s.in.Hosts[b]
	if c := cmp.Or(cmp.Compare(stay(a), stay(b)), cmp.Compare(use(a), use(b))); c != 0 {
		return c
	}
	if use(a) == 1 {
		return cmp.Or(cmp.Compare(ratio(x.Cost, x.Cores), ratio(y.Cost, y.Cores)), cmp.Compare(a, b))
	}
	left := func(hi int, h *Host) float64 {
		return float64(s.free[hi])/float64(max(h.Cores, 1)) + float64(s.freeMem[hi])/float64(max(h.Memory, 1))
	}
	return cmp.Or(cmp.Compare(left(a, x), left(b, y)), cmp.Compare(a, b))
}

// starts is how many orders of services a first answer is sought in.
const starts = 60
