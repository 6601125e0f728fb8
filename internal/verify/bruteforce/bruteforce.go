// Package bruteforce holds the solver against brute force that shares no code with it: it walks
// through every assignment of tasks to hosts of a small instance, one task after another.
package bruteforce

import (
	"fmt"
	"math/rand/v2"

	"forkhead/internal/planning/solver"
)

// MinCost answers a small instance by trying everything. cost is -1 if there is no answer.
func MinCost(in *solver.Instance) (cost int64) {
	type one struct{ service, host int }
	var tasks []one
	for si, s := range in.Services {
		for range s.Count {
			tasks = append(tasks, one{si, -1})
		}
	}
	best := int64(-1)
	var walk func(i int)
	walk = func(i int) {
		if i == len(tasks) {
			if c, ok := price(in, func(yield func(service, host int)) {
				for _, t := range tasks {
					yield(t.service, t.host)
				}
			}); ok && (best < 0 || c < best) {
				best = c
			}
			return
		}
		for h := range in.Hosts {
			tasks[i].host = h
			walk(i + 1)
		}
	}
	walk(0)
	return best
}

// price is the cost of a whole assignment, if it keeps every limit.
func price(in *solver.Instance, each func(yield func(service, host int))) (int64, bool) {
	type at struct {
		service int
		place   string
	}
	cores, memory, total := map[int]int64{}, map[int]int64{}, int64(0)
	byHost, byRack, byZone := map[[2]int]int{}, map[at]int{}, map[at]int{}
	good := true
	each(func(si, hi int) {
		s, h := in.Services[si], in.Hosts[hi]
		good = good && !h.Unschedulable && (s.Allowed == nil || s.Allowed[hi])
		if cores[hi] == 0 && memory[hi] == 0 && !h.InUse {
			if _, seen := cores[hi]; !seen {
				total += h.Cost
			}
		}
		cores[hi] += s.Cores
		memory[hi] += s.Memory
		byHost[[2]int{si, hi}]++
		byRack[at{si, h.Rack}]++
		byZone[at{si, h.Zone}]++
		good = good && cores[hi] <= h.Cores && memory[hi] <= h.Memory &&
			(s.MaxPerHost == 0 || byHost[[2]int{si, hi}] <= s.MaxPerHost) &&
			(s.MaxPerRack == 0 || byRack[at{si, h.Rack}] <= s.MaxPerRack) && (s.MaxPerZone == 0 || byZone[at{si, h.Zone}] <= s.MaxPerZone)
	})
	for key := range byHost {
		for _, near := range in.Services[key[0]].Affinities {
			found := false
			for other := range byHost {
				x, y := in.Hosts[other[1]], in.Hosts[key[1]]
				found = found || other[0] == near.Service && (other[1] == key[1] || near.Domain == solver.RackDomain && x.Rack == y.Rack || near.Domain == solver.ZoneDomain && x.Zone == y.Zone)
			}
			good = good && found
		}
	}
	if !good {
		return 0, false
	}
	for key, n := range byHost {
		if in.HomeZone != "" && in.Hosts[key[1]].Zone != in.HomeZone {
			total += in.OutsideHomeCost * int64(n)
		}
	}
	for key, n := range byHost {
		if runs := in.Services[key[0]].Running; runs != nil && n > runs[key[1]] {
			total += in.MigrationCost * int64(n-runs[key[1]])
		}
	}
	return total, true
}

// RandomInstance draws a small instance: up to four hosts and six tasks, often just at capacity.
func RandomInstance(rng *rand.Rand) *solver.Instance {
	in := &solver.Instance{MigrationCost: rng.Int64N(4)}
	for i := range rng.IntN(5) {
		h := solver.Host{
			ID: fmt.Sprint("h", i), Rack: fmt.Sprint("r", rng.IntN(2)), Cores: 1 + rng.Int64N(8), Memory: 1 + rng.Int64N(8),
			Cost: rng.Int64N(6), Unschedulable: rng.IntN(12) == 0, InUse: rng.IntN(8) == 0,
		}
		h.Zone = []string{"z0", "z1"}[rng.IntN(2)]
		if i > 0 && rng.IntN(2) == 0 { // hosts that are alike
			h = in.Hosts[i-1]
			h.ID = fmt.Sprint("h", i)
		}
		in.Hosts = append(in.Hosts, h)
	}
	left := rng.IntN(7)
	for i := 0; left > 0; i++ {
		s := solver.Service{Name: fmt.Sprint("s", i), Count: 1 + rng.IntN(left), Cores: rng.Int64N(5), Memory: rng.Int64N(5)}
		left -= s.Count
		for _, to := range []*int{&s.MaxPerHost, &s.MaxPerRack, &s.MaxPerZone} {
			if rng.IntN(3) == 0 {
				*to = 1 + rng.IntN(3)
			}
		}
		if rng.IntN(3) == 0 {
			for range in.Hosts {
				s.Allowed = append(s.Allowed, rng.IntN(3) > 0)
			}
		}
		if rng.IntN(3) == 0 {
			for range in.Hosts {
				s.Running = append(s.Running, rng.IntN(2))
			}
		}
		if i > 0 && rng.IntN(4) == 0 {
			s.Affinities = []solver.Affinity{{Service: rng.IntN(i), Domain: solver.Domain(rng.IntN(3))}}
		}
		in.Services = append(in.Services, s)
	}
	if rng.IntN(3) == 0 {
		in.HomeZone, in.OutsideHomeCost = "z0", rng.Int64N(3)
	}
	return in
}

// Compare draws instances from a seed on and returns the first that solver and brute force do not
// agree on, or nil; and how many of them have an answer.
func Compare(seed uint64, n int, opt solver.Options) (feasible int, err error) {
	for i := range n {
		rng := rand.New(rand.NewPCG(seed+uint64(i), 12))
		in := RandomInstance(rng)
		a, err := solver.Solve(in, opt)
		if err != nil {
			return feasible, fmt.Errorf("instance %d: %w", seed+uint64(i), err)
		}
		want := MinCost(in)
		switch {
		case !a.Optimal:
			return feasible, fmt.Errorf("instance %d: not proven", seed+uint64(i))
		case a.Feasible != (want >= 0):
			return feasible, fmt.Errorf("instance %d: feasible %v, brute force finds %d: %+v", seed+uint64(i), a.Feasible, want, in)
		case a.Feasible && a.Cost != want:
			return feasible, fmt.Errorf("instance %d: cost %d, brute force finds %d: %+v", seed+uint64(i), a.Cost, want, in)
		}
		if a.Feasible {
			feasible++
			if err := solver.Check(in, a.Counts, a.Cost); err != nil {
				return feasible, fmt.Errorf("instance %d: %w", seed+uint64(i), err)
			}
		}
	}
	return feasible, nil
}

// FleetInstance draws an instance of about so many hosts and tasks as a fleet has them: two kinds of host,
// racks of four, services of one to six tasks, some with limits in racks, a fifth on large hosts only.
func FleetInstance(rng *rand.Rand, hosts, tasks int) *solver.Instance {
	in := &solver.Instance{}
	large := make([]bool, hosts)
	for i := range hosts {
		h := solver.Host{
			ID: fmt.Sprint("h", i), Rack: fmt.Sprint("r", i/4), Zone: fmt.Sprint("z", i*3/hosts), Cores: 28_000, Memory: 64 << 10, Cost: 28,
		}
		if large[i] = i%3 == 2; large[i] {
			h.Cores, h.Memory, h.Cost = 56_000, 128<<10, 56
		}
		in.Hosts = append(in.Hosts, h)
	}
	for i := 0; tasks > 0; i++ {
		s := solver.Service{Name: fmt.Sprint("s", i), Count: min(1+rng.IntN(6), tasks), Cores: 250 * (1 + rng.Int64N(24)), Memory: 512 * (1 + rng.Int64N(24))}
		tasks -= s.Count
		if rng.IntN(5) == 0 {
			s.Allowed = large
			s.Cores *= 2
		}
		if rng.IntN(3) == 0 {
			s.MaxPerRack = 2
		}
		in.Services = append(in.Services, s)
	}
	return in
}

// TripletInstance is bin packing of the kind that is hard for bounds by sums: three tasks fill each host
// exactly, and every other arrangement wastes some.
func TripletInstance(rng *rand.Rand, hosts int) *solver.Instance {
	in := &solver.Instance{}
	for i := range hosts {
		in.Hosts = append(in.Hosts, solver.Host{ID: fmt.Sprint("h", i), Rack: fmt.Sprint("r", i), Zone: "z", Cores: 1000, Memory: 1000, Cost: 1})
		a := 380 + rng.Int64N(111)
		b := 250 + rng.Int64N(max((1000-a)/2-250, 1))
		for k, size := range []int64{a, b, 1000 - a - b} {
			in.Services = append(in.Services, solver.Service{Name: fmt.Sprint("s", i, k), Count: 1, Cores: size, Memory: 1})
		}
	}
	return in
}
