// Package solver finds placements of least cost under capacity and spread limits, or proves that
// there are none. It is exact: amounts are whole numbers, no float decides. It is pure and
// deterministic; a caller may stop it at any time and gets the best answer so far with a bound.
//
// The method is branch and bound over counts: how many tasks of each service are on each host.
// Tasks of a service are alike, so only the hosts of one follow another in order; hosts that are
// alike and hold alike are tried once. Bounds come from covers: the cheapest share of hosts that
// holds what is left, by cores, by memory and by both weighed.
package solver

import (
	"cmp"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
)

// Options bound a search.
type Options struct {
	MaxNodes int         // 0: 50 million
	Stop     func() bool // asked now and then; true: answer with what there is
	// InjectedBug is for tests that show that a comparison with another solver finds bugs.
	InjectedBug InjectedBug
}

// InjectedBug is a bug that Solve can be told to have.
type InjectedBug string

// The bugs.
const (
	BugInBound       InjectedBug = "bound"       // the lower bound is too high
	BugInPropagation InjectedBug = "propagation" // the check of what is still possible counts tasks too many
)

// Solve answers an instance. The error is for an instance that cannot be read.
func Solve(in *Instance, opt Options) (*Result, error) {
	if err := in.Validate(); err != nil {
		return nil, err
	}
	if opt.MaxNodes == 0 {
		opt.MaxNodes = 50_000_000
	}
	own := *in
	own.Hosts = slices.Clone(in.Hosts)
	s := newSearch(&own, opt)
	root := s.boundAt(0, 0)
	if s.fitsFrom(0, 0) {
		s.first()
		if !s.stopped && (s.best == nil || root < s.bestCost) {
			s.descend(0, 0, 0)
		}
	}
	a := &Result{Nodes: s.nodes, LowerBound: root}
	if s.best != nil {
		a.Feasible, a.Cost, a.Counts = true, s.bestCost, s.inOrder(s.best)
	}
	switch {
	case !s.stopped:
		a.Optimal = true
		a.LowerBound = a.Cost
	case a.Feasible && a.LowerBound >= a.Cost:
		a.Optimal, a.LowerBound = true, a.Cost
	}
	return a, nil
}

type search struct {
	in       *Instance
	opt      Options
	order    []int // services, the hardest first
	svc      []Service
	rackOf   []int
	zoneOf   []int
	free     []int64 // cores
	freeMem  []int64
	held     []int // tasks of ours on each host
	counts   [][]int
	racks    [][]int // tasks of a service in each rack
	zones    [][]int
	alike    []int // the class of hosts that are alike
	groups   []group
	scaleC   int64 // weights that make cores and memory alike in size
	scaleM   int64
	cost     int64
	leftC    []int64 // demand of the services from one on
	leftM    []int64
	leastC   []int64 // the least that any task of those services asks for
	leastM   []int64
	best     [][]int
	bestCost int64
	nodes    int
	stopped  bool
	places   bool // racks and zones matter
	beside   bool // some service has to be on the very host of another
	placing  int  // the service that is being placed: those before it are all there
}

func newSearch(in *Instance, opt Options) *search {
	s := &search{in: in, opt: opt}
	n := len(in.Hosts)
	maxC, maxM := int64(1), int64(1)
	for _, h := range in.Hosts {
		maxC, maxM = max(maxC, h.Cores), max(maxM, h.Memory)
	}
	// Hard services first: few hosts, then large tasks.
	allowed := func(v *Service) int {
		k := 0
		for hi := range in.Hosts {
			if !in.Hosts[hi].Unschedulable && (v.Allowed == nil || v.Allowed[hi]) {
				k++
			}
		}
		return k
	}
	size := func(v *Service) int64 { return max(v.Cores*1000/maxC, v.Memory*1000/maxM) }
	for i := range in.Services {
		s.order = append(s.order, i)
	}
	depth := in.depth() // what others are near to goes before them
	slices.SortStableFunc(s.order, func(a, b int) int {
		x, y := &in.Services[a], &in.Services[b]
		return cmp.Or(cmp.Compare(depth[a], depth[b]), cmp.Compare(size(y), size(x)), cmp.Compare(allowed(x), allowed(y)))
	})
	racks, zones := map[string]int{}, map[string]int{}
	intern := func(m map[string]int, name string) int {
		if _, ok := m[name]; !ok {
			m[name] = len(m)
		}
		return m[name]
	}
	for _, h := range in.Hosts {
		s.rackOf, s.zoneOf = append(s.rackOf, intern(racks, h.Rack)), append(s.zoneOf, intern(zones, h.Zone))
		s.free, s.freeMem = append(s.free, h.Cores), append(s.freeMem, h.Memory)
	}
	s.held = make([]int, n)
	at := make([]int, len(s.order)) // place in the order, by service
	for k, i := range s.order {
		at[i] = k
	}
	for _, i := range s.order {
		v := in.Services[i]
		s.places = s.places || v.MaxPerRack > 0 || v.MaxPerZone > 0 || len(v.Affinities) > 0 || in.HomeZone != ""
		v.Affinities = slices.Clone(v.Affinities)
		for n := range v.Affinities {
			v.Affinities[n].Service = at[v.Affinities[n].Service]
			s.beside = s.beside || v.Affinities[n].Domain == HostDomain
		}
		s.svc = append(s.svc, v)
		s.counts = append(s.counts, make([]int, n))
		s.racks, s.zones = append(s.racks, make([]int, len(racks))), append(s.zones, make([]int, len(zones)))
	}
	s.leftC, s.leftM = make([]int64, len(s.svc)+1), make([]int64, len(s.svc)+1)
	s.leastC, s.leastM = make([]int64, len(s.svc)+1), make([]int64, len(s.svc)+1)
	s.leastC[len(s.svc)], s.leastM[len(s.svc)] = 1<<62, 1<<62
	for i := len(s.svc) - 1; i >= 0; i-- {
		s.leastC[i], s.leastM[i] = s.leastC[i+1], s.leastM[i+1]
		if s.svc[i].Count > 0 {
			s.leastC[i], s.leastM[i] = min(s.leastC[i], s.svc[i].Cores), min(s.leastM[i], s.svc[i].Memory)
		}
		s.leftC[i] = s.leftC[i+1] + int64(s.svc[i].Count)*s.svc[i].Cores
		s.leftM[i] = s.leftM[i+1] + int64(s.svc[i].Count)*s.svc[i].Memory
	}
	s.classes()
	s.scaleC, s.scaleM = max(1<<20/maxC, 1), max(1<<20/maxM, 1)
	s.grouped()
	return s
}

// cheaper compares cost for gain of two hosts exactly: the bound rests on this order.
func cheaper(costX, gainX, costY, gainY int64) int {
	xh, xl := bits.Mul64(uint64(costX), uint64(gainY))
	yh, yl := bits.Mul64(uint64(costY), uint64(gainX))
	return cmp.Or(cmp.Compare(xh, yh), cmp.Compare(xl, yl))
}

// ratio orders hosts where nothing but the order of trying rests on it.
func ratio(cost, gain int64) float64 {
	if gain <= 0 {
		return 1e300
	}
	return float64(cost) / float64(gain)
}

// grouped makes the groups: all hosts, and each set that some service is kept to.
func (s *search) grouped() {
	all := make([]bool, len(s.in.Hosts))
	for i := range all {
		all[i] = true
	}
	sets := [][]bool{all}
	for k := range s.svc {
		may := s.svc[k].Allowed
		if may != nil && !slices.ContainsFunc(sets, func(o []bool) bool { return slices.Equal(o, may) }) && len(sets) < 16 {
			sets = append(sets, may)
		}
	}
	gain := [3]func(h *Host) int64{
		func(h *Host) int64 { return h.Cores },
		func(h *Host) int64 { return h.Memory },
		func(h *Host) int64 { return h.Cores*s.scaleC + h.Memory*s.scaleM },
	}
	for _, set := range sets {
		g := group{in: set}
		for k := range s.svc {
			member := true
			for hi := range set {
				if !set[hi] && (s.svc[k].Allowed == nil || s.svc[k].Allowed[hi]) {
					member = false
					break
				}
			}
			g.member = append(g.member, member)
		}
		for i := range g.byCost {
			for hi := range set {
				if set[hi] {
					g.byCost[i] = append(g.byCost[i], hi)
				}
			}
			slices.SortStableFunc(g.byCost[i], func(a, b int) int {
				x, y := &s.in.Hosts[a], &s.in.Hosts[b]
				return cheaper(x.Cost, gain[i](x), y.Cost, gain[i](y))
			})
		}
		for hi := range set {
			if set[hi] {
				g.step = gcd(g.step, s.in.Hosts[hi].Cost)
			}
		}
		s.groups = append(s.groups, g)
	}
}

func gcd(a, b int64) int64 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// classes finds hosts that differ in nothing that any service can tell.
func (s *search) classes() {
	seen := map[string]int{}
	for hi, h := range s.in.Hosts {
		key := fmt.Sprint(h.Cores, h.Memory, h.Cost, h.Unschedulable, h.InUse)
		if s.places {
			key += fmt.Sprintf(" %q %q", h.Rack, h.Zone)
		}
		for i := range s.svc {
			v := &s.svc[i]
			may, runs := v.Allowed == nil || v.Allowed[hi], 0
			if v.Running != nil {
				runs = v.Running[hi]
			}
			key += fmt.Sprint(" ", may, runs)
		}
		if _, ok := seen[key]; !ok {
			seen[key] = len(seen)
		}
		s.alike = append(s.alike, seen[key])
	}
}

func (s *search) inOrder(counts [][]int) [][]int {
	out := make([][]int, len(counts))
	for k, i := range s.order {
		out[i] = counts[k]
	}
	return out
}

// room is how many more tasks of a service a host takes, by itself.
func (s *search) room(k, hi int) int {
	v, h := &s.svc[k], &s.in.Hosts[hi]
	if h.Unschedulable || v.Allowed != nil && !v.Allowed[hi] {
		return 0
	}
	n := v.Count
	if v.Cores > 0 {
		n = min(n, int(min(s.free[hi]/v.Cores, int64(v.Count))))
	}
	if v.Memory > 0 {
		n = min(n, int(min(s.freeMem[hi]/v.Memory, int64(v.Count))))
	}
	if v.MaxPerHost > 0 {
		n = min(n, v.MaxPerHost-s.counts[k][hi])
	}
	if v.MaxPerRack > 0 {
		n = min(n, v.MaxPerRack-s.racks[k][s.rackOf[hi]])
	}
	if v.MaxPerZone > 0 {
		n = min(n, v.MaxPerZone-s.zones[k][s.zoneOf[hi]])
	}
	for _, near := range v.Affinities {
		// Only once the other is all placed is it known where; until then anywhere may do.
		if near.Service < s.placing && !s.hasNear(near, hi) {
			return 0
		}
	}
	return max(n, 0)
}

func (s *search) hasNear(n Affinity, hi int) bool {
	switch n.Domain {
	case RackDomain:
		return s.racks[n.Service][s.rackOf[hi]] > 0
	case ZoneDomain:
		return s.zones[n.Service][s.zoneOf[hi]] > 0
	}
	return s.counts[n.Service][hi] > 0
}

func (s *search) put(k, hi, by int) {
	v := &s.svc[k]
	s.counts[k][hi] += by
	s.racks[k][s.rackOf[hi]] += by
	s.zones[k][s.zoneOf[hi]] += by
	s.free[hi] -= int64(by) * v.Cores
	s.freeMem[hi] -= int64(by) * v.Memory
	before := s.held[hi]
	s.held[hi] += by
	if !s.in.Hosts[hi].InUse {
		if before == 0 && s.held[hi] > 0 {
			s.cost += s.in.Hosts[hi].Cost
		} else if before > 0 && s.held[hi] == 0 {
			s.cost -= s.in.Hosts[hi].Cost
		}
	}
	if s.in.HomeZone != "" && s.in.Hosts[hi].Zone != s.in.HomeZone {
		s.cost += s.in.OutsideHomeCost * int64(by)
	}
	if v.Running != nil {
		now, was := s.counts[k][hi], s.counts[k][hi]-by
		s.cost += s.in.MigrationCost * int64(max(now-v.Running[hi], 0)-max(was-v.Running[hi], 0))
	}
}

// first finds answers to begin with: greedily, in the order of the search and in orders that
// chance has changed a little, each improved by closing hosts.
func (s *search) first() {
	rng := rand.New(rand.NewPCG(1, uint64(len(s.svc))))
	keys := make([]float64, len(s.svc))
	order := make([]int, len(s.svc))
	for round := range starts {
		for k := range order {
			order[k], keys[k] = k, float64(k)
			if round > 0 {
				keys[k] += rng.NormFloat64() * float64(len(order)) / 8
			}
		}
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(keys[a], keys[b]) })
		if s.nears() {
			slices.Sort(order) // what others are near to has to go before them
		}
		if s.fill(order) {
			s.close()
		}
		s.clear()
		if s.opt.Stop != nil && s.opt.Stop() {
			s.stopped = true
			return
		}
	}
}

// fill places all tasks that are not placed, service by service, each on the host that better says.
func (s *search) fill(order []int) bool {
	defer func(was int) { s.placing = was }(s.placing)
	for _, k := range order {
		s.placing = k
		for s.total(k) < s.svc[k].Count {
			best := -1
			for hi := range s.in.Hosts {
				if s.room(k, hi) > 0 && (best < 0 || s.better(k, hi, best) < 0) {
					best = hi
				}
			}
			if best < 0 {
				return false
			}
			s.put(k, best, 1)
		}
	}
	if s.nearKept() {
		s.keep()
	}
	return true
}

// nears says whether any service has to be near another.
func (s *search) nears() bool {
	return slices.ContainsFunc(s.svc, func(v Service) bool { return len(v.Affinities) > 0 })
}

// nearKept says whether all tasks are beside those that they have to be near to: emptying a host
// may have taken those away.
func (s *search) nearKept() bool {
	for k := range s.svc {
		for _, n := range s.svc[k].Affinities {
			for hi, c := range s.counts[k] {
				if c > 0 && !s.hasNear(n, hi) {
					return false
				}
			}
		}
	}
	return true
}

func (s *search) total(k int) (n int) {
	for _, c := range s.counts[k] {
		n += c
	}
	return n
}

func (s *search) clear() {
	for k := range s.counts {
		for hi, n := range s.counts[k] {
			if n > 0 {
				s.put(k, hi, -n)
			}
		}
	}
}

// close tries to empty hosts, the dearest for what they hold first: their tasks go to others that
// are in use, or to a cheaper one.
func (s *search) close() {
	order := make([]int, len(s.svc))
	for k := range order {
		order[k] = k
	}
	for again := true; again; {
		again = false
		for hi := range s.in.Hosts {
			h := &s.in.Hosts[hi]
			if s.held[hi] == 0 || h.InUse || h.Cost == 0 {
				continue
			}
			before := s.cost
			saved := make([][]int, len(s.counts))
			for k := range s.counts {
				saved[k] = slices.Clone(s.counts[k])
				if n := s.counts[k][hi]; n > 0 {
					s.put(k, hi, -n)
				}
			}
			h.Unschedulable = true
			good := s.fill(order) && s.cost < before && s.nearKept()
			h.Unschedulable = false
			if good {
				again = true
				continue
			}
			s.clear()
			for k := range saved {
				for i, n := range saved[k] {
					if n > 0 {
						s.put(k, i, n)
					}
				}
			}
		}
	}
}

func (s *search) keep() {
	if s.best != nil && s.cost >= s.bestCost {
		return
	}
	s.best = make([][]int, len(s.counts))
	for k := range s.counts {
		s.best[k] = slices.Clone(s.counts[k])
	}
	s.bestCost = s.cost
}

// descend places the next task of service k, of which placed are there, on a host not before
// from: tasks of a service are alike, so an order among them would only repeat answers.
func (s *search) descend(k, placed, from int) {
	for k < len(s.svc) && placed == s.svc[k].Count {
		k, placed, from = k+1, 0, 0
	}
	defer func(was int) { s.placing = was }(s.placing)
	s.placing = k
	if k == len(s.svc) {
		s.keep()
		return
	}
	if s.nodes++; s.nodes >= s.opt.MaxNodes || s.nodes%1024 == 0 && s.opt.Stop != nil && s.opt.Stop() {
		s.stopped = true
		return
	}
	if s.best != nil && s.boundAt(k, placed) >= s.bestCost || !s.fitsFrom(k, placed) {
		return
	}
	var buf [64]int
	hosts := s.hostsFor(k, from, buf[:])
	order := slices.Clone(hosts)
	slices.SortStableFunc(order, func(a, b int) int { return s.better(k, a, b) })
	for _, hi := range order {
		s.put(k, hi, 1)
		s.descend(k, placed+1, hi)
		s.put(k, hi, -1)
		if s.stopped {
			return
		}
	}
}
