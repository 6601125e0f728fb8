// Package solve finds placements of least cost under capacity and spread limits, or proves that
// there are none. It is exact: amounts are whole numbers, no float decides. It is pure and
// deterministic; a caller may stop it at any time and gets the best answer so far with a bound.
//
// The method is branch and bound over counts: how many tasks of each service are on each host.
// Tasks of a service are alike, so only the hosts of one follow another in order; hosts that are
// alike and hold alike are tried once. Bounds come from covers: the cheapest share of hosts that
// holds what is left, by cores, by memory and by both weighed.
package solve

import (
	"cmp"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
)

// Host is a host of an instance. Amounts are in thousandths of a core and in MiB.
type Host struct {
	ID     string
	Zone   string
	Rack   string
	Cores  int64
	Memory int64
	Cost   int64 // of using it at all
	Closed bool  // takes nothing new: it drains, or is gone
	Used   bool  // it is in use by what is not part of the instance
}

// Service is some tasks that are alike.
type Service struct {
	Name    string
	Count   int
	Cores   int64 // of each task
	Memory  int64
	May     []bool // by host; nil: any
	Machine int    // most on one host; 0: no limit
	Rack    int    // most in one rack
	Zone    int    // most in one zone
	Near    []Near // services that it has to be beside
	Runs    []int  // tasks of it that run on each host now; nil: none
	Why     string // what May comes from, for a conflict
	Where   string // FILE:LINE:COL
}

// Near keeps a service's tasks to places where another service has one.
type Near struct {
	Service int
	Place   Place
}

// Place is a sort of place.
type Place uint8

// The places.
const (
	OnHost Place = iota
	InRack
	InZone
)

// Instance is a question.
type Instance struct {
	Hosts    []Host
	Services []Service
	Move     int64  // cost of each task that is not where one of its service runs
	Home     string // a zone; "": none
	Cross    int64  // cost of each task outside it
}

// beside says whether two hosts are in one place.
func (in *Instance) beside(p Place, a, b int) bool {
	switch p {
	case InRack:
		return in.Hosts[a].Rack == in.Hosts[b].Rack
	case InZone:
		return in.Hosts[a].Zone == in.Hosts[b].Zone
	}
	return a == b
}

// Answer is what was found.
type Answer struct {
	Feasible bool
	Optimal  bool // proven: Cost is Bound; or proven that there is none
	Cost     int64
	Bound    int64
	Counts   [][]int // by service, by host
	Nodes    int
}

// Validate refuses an instance that cannot be read.
func (in *Instance) Validate() error {
	for i, h := range in.Hosts {
		if h.Cores < 0 || h.Memory < 0 || h.Cost < 0 || h.Cores > 1<<40 || h.Memory > 1<<40 || h.Cost > 1<<40 {
			return fmt.Errorf("host %d, %s: amounts are 0 to 2^40", i, h.ID)
		}
	}
	for i, s := range in.Services {
		switch {
		case s.Count < 0 || s.Cores < 0 || s.Memory < 0 || s.Machine < 0 || s.Rack < 0 || s.Zone < 0:
			return fmt.Errorf("service %d, %s: amounts are not below 0", i, s.Name)
		case s.Cores > 1<<40 || s.Memory > 1<<40 || s.Count > 1<<20:
			return fmt.Errorf("service %d, %s: amounts are too large", i, s.Name)
		case s.May != nil && len(s.May) != len(in.Hosts), s.Runs != nil && len(s.Runs) != len(in.Hosts):
			return fmt.Errorf("service %d, %s: lists by host have another length than the hosts", i, s.Name)
		}
		for _, n := range s.Near {
			if n.Service < 0 || n.Service >= len(in.Services) || n.Place > InZone {
				return fmt.Errorf("service %d, %s: it is near service %d, which is not here", i, s.Name, n.Service)
			}
		}
	}
	if in.Cross < 0 || in.Move < 0 || in.Cross > 1<<40 || in.Move > 1<<40 {
		return fmt.Errorf("moves and crossings cost 0 to 2^40")
	}
	if in.depth() == nil {
		return fmt.Errorf("services are near each other in a circle")
	}
	return nil
}

// depth is how far each service is from one that is near nothing; nil if they go round.
func (in *Instance) depth() []int {
	out := make([]int, len(in.Services))
	for round := 0; ; round++ {
		changed := false
		for i, s := range in.Services {
			for _, n := range s.Near {
				if d := out[n.Service] + 1; d > out[i] {
					out[i], changed = d, true
				}
			}
		}
		if !changed {
			return out
		}
		if round > len(in.Services) {
			return nil
		}
	}
}

// Check holds an answer against its instance: a certificate of a few lines, with none of the
// solver's code.
func Check(in *Instance, counts [][]int, cost int64) error {
	total := int64(0)
	used := make([]bool, len(in.Hosts))
	cores, memory := make([]int64, len(in.Hosts)), make([]int64, len(in.Hosts))
	if len(counts) != len(in.Services) {
		return fmt.Errorf("%d rows for %d services", len(counts), len(in.Services))
	}
	for si, s := range in.Services {
		n := 0
		racks, zones := map[string]int{}, map[string]int{}
		for hi, k := range counts[si] {
			h := in.Hosts[hi]
			switch {
			case k < 0:
				return fmt.Errorf("%s: %d tasks on %s", s.Name, k, h.ID)
			case k == 0:
				continue
			case h.Closed:
				return fmt.Errorf("%s on %s, which takes nothing new", s.Name, h.ID)
			case s.May != nil && !s.May[hi]:
				return fmt.Errorf("%s on %s, which it may not use", s.Name, h.ID)
			case s.Machine > 0 && k > s.Machine:
				return fmt.Errorf("%s: %d on %s, at most %d", s.Name, k, h.ID, s.Machine)
			}
			for _, near := range s.Near {
				found := false
				for o, c := range counts[near.Service] {
					found = found || c > 0 && in.beside(near.Place, o, hi)
				}
				if !found {
					return fmt.Errorf("%s on %s, and no %s beside it", s.Name, h.ID, in.Services[near.Service].Name)
				}
			}
			if in.Home != "" && h.Zone != in.Home {
				total += in.Cross * int64(k)
			}
			n += k
			racks[h.Rack] += k
			zones[h.Zone] += k
			cores[hi] += int64(k) * s.Cores
			memory[hi] += int64(k) * s.Memory
			used[hi] = true
			if s.Runs != nil {
				total += in.Move * int64(max(k-s.Runs[hi], 0))
			}
		}
		if n != s.Count {
			return fmt.Errorf("%s: %d of %d tasks", s.Name, n, s.Count)
		}
		for rack, k := range racks {
			if s.Rack > 0 && k > s.Rack {
				return fmt.Errorf("%s: %d in rack %s, at most %d", s.Name, k, rack, s.Rack)
			}
		}
		for zone, k := range zones {
			if s.Zone > 0 && k > s.Zone {
				return fmt.Errorf("%s: %d in zone %s, at most %d", s.Name, k, zone, s.Zone)
			}
		}
	}
	for hi, h := range in.Hosts {
		if cores[hi] > h.Cores || memory[hi] > h.Memory {
			return fmt.Errorf("%s holds %d of %d thousandths of a core and %d of %d MiB", h.ID, cores[hi], h.Cores, memory[hi], h.Memory)
		}
		if used[hi] && !h.Used {
			total += h.Cost
		}
	}
	if total != cost {
		return fmt.Errorf("the cost is %d, not %d", total, cost)
	}
	return nil
}

// Options bound a search.
type Options struct {
	Nodes int         // 0: 50 million
	Stop  func() bool // asked now and then; true: answer with what there is
	// Flaw plants a bug, to show that the comparison with brute force finds it: "bound" or "propagation".
	Flaw string
}

// Solve answers an instance. The error is for an instance that cannot be read.
func Solve(in *Instance, opt Options) (*Answer, error) {
	if err := in.Validate(); err != nil {
		return nil, err
	}
	if opt.Nodes == 0 {
		opt.Nodes = 50_000_000
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
	a := &Answer{Nodes: s.nodes, Bound: root}
	if s.best != nil {
		a.Feasible, a.Cost, a.Counts = true, s.bestCost, s.inOrder(s.best)
	}
	switch {
	case !s.stopped:
		a.Optimal = true
		a.Bound = a.Cost
	case a.Feasible && a.Bound >= a.Cost:
		a.Optimal, a.Bound = true, a.Cost
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
			if !in.Hosts[hi].Closed && (v.May == nil || v.May[hi]) {
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
		s.places = s.places || v.Rack > 0 || v.Zone > 0 || len(v.Near) > 0 || in.Home != ""
		v.Near = slices.Clone(v.Near)
		for n := range v.Near {
			v.Near[n].Service = at[v.Near[n].Service]
			s.beside = s.beside || v.Near[n].Place == OnHost
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
		may := s.svc[k].May
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
				if !set[hi] && (s.svc[k].May == nil || s.svc[k].May[hi]) {
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
		key := fmt.Sprint(h.Cores, h.Memory, h.Cost, h.Closed, h.Used)
		if s.places {
			key += fmt.Sprintf(" %q %q", h.Rack, h.Zone)
		}
		for i := range s.svc {
			v := &s.svc[i]
			may, runs := v.May == nil || v.May[hi], 0
			if v.Runs != nil {
				runs = v.Runs[hi]
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
	if h.Closed || v.May != nil && !v.May[hi] {
		return 0
	}
	n := v.Count
	if v.Cores > 0 {
		n = min(n, int(min(s.free[hi]/v.Cores, int64(v.Count))))
	}
	if v.Memory > 0 {
		n = min(n, int(min(s.freeMem[hi]/v.Memory, int64(v.Count))))
	}
	if v.Machine > 0 {
		n = min(n, v.Machine-s.counts[k][hi])
	}
	if v.Rack > 0 {
		n = min(n, v.Rack-s.racks[k][s.rackOf[hi]])
	}
	if v.Zone > 0 {
		n = min(n, v.Zone-s.zones[k][s.zoneOf[hi]])
	}
	for _, near := range v.Near {
		// Only once the other is all placed is it known where; until then anywhere may do.
		if near.Service < s.placing && !s.hasNear(near, hi) {
			return 0
		}
	}
	return max(n, 0)
}

func (s *search) hasNear(n Near, hi int) bool {
	switch n.Place {
	case InRack:
		return s.racks[n.Service][s.rackOf[hi]] > 0
	case InZone:
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
	if !s.in.Hosts[hi].Used {
		if before == 0 && s.held[hi] > 0 {
			s.cost += s.in.Hosts[hi].Cost
		} else if before > 0 && s.held[hi] == 0 {
			s.cost -= s.in.Hosts[hi].Cost
		}
	}
	if s.in.Home != "" && s.in.Hosts[hi].Zone != s.in.Home {
		s.cost += s.in.Cross * int64(by)
	}
	if v.Runs != nil {
		now, was := s.counts[k][hi], s.counts[k][hi]-by
		s.cost += s.in.Move * int64(max(now-v.Runs[hi], 0)-max(was-v.Runs[hi], 0))
	}
}

// fitsFrom says whether the services from one on could still be placed, each by itself, and all
// together by their sums. A no is a proof.
func (s *search) fitsFrom(from, placed int) bool {
	var cores, memory int64
	for hi, h := range s.in.Hosts {
		// Room that not even the smallest task of what is left fits into is waste: this decides
		// instances that are exactly at capacity.
		if !h.Closed && s.free[hi] >= s.leastC[from] && s.freeMem[hi] >= s.leastM[from] {
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
		if s.opt.Flaw == "propagation" && k > from {
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
	if v.Rack == 0 && v.Zone == 0 {
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
			if v.Rack > 0 {
				n = min(n, v.Rack-s.racks[k][r])
			}
			if seen[r] {
				zones[zoneOfRack[r]] += n
			}
		}
	}
	for z, n := range zones {
		if v.Zone > 0 {
			n = min(n, v.Zone-s.zones[k][z])
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
	if s.opt.Flaw == "bound" {
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
		if g.in[hi] && !h.Closed && (s.held[hi] > 0 || h.Used) {
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
		if h.Closed || h.Used || s.held[hi] > 0 {
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
		if s.held[hi] > 0 || s.in.Hosts[hi].Used {
			return 0
		}
		return 1
	}
	stay := func(hi int) int {
		if v := &s.svc[k]; v.Runs != nil && s.counts[k][hi] < v.Runs[hi] {
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
	return slices.ContainsFunc(s.svc, func(v Service) bool { return len(v.Near) > 0 })
}

// nearKept says whether all tasks are beside those that they have to be near to: emptying a host
// may have taken those away.
func (s *search) nearKept() bool {
	for k := range s.svc {
		for _, n := range s.svc[k].Near {
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
			if s.held[hi] == 0 || h.Used || h.Cost == 0 {
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
			h.Closed = true
			good := s.fill(order) && s.cost < before && s.nearKept()
			h.Closed = false
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
	if s.nodes++; s.nodes >= s.opt.Nodes || s.nodes%1024 == 0 && s.opt.Stop != nil && s.opt.Stop() {
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
