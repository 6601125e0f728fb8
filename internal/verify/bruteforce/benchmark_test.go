package bruteforce

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"forkhead/internal/planning/solver"
)

// BenchmarkSizes measures the solver on the instances of fleetInstance and of tripletInstance. It reports the time, the
// gap between cost and lower bound, the nodes of the search and the cost. A search is stopped after five seconds.
//
//	go test ./internal/verify/bruteforce -run xxx -bench Sizes -benchtime 1x
func BenchmarkSizes(b *testing.B) {
	for _, size := range []struct{ hosts, tasks int }{{10, 30}, {40, 120}, {130, 400}} {
		for seed := range uint64(3) {
			b.Run(fmt.Sprintf("%dx%d/%d", size.hosts, size.tasks, seed), func(b *testing.B) {
				benchmarkInstance(b, fleetInstance(rand.New(rand.NewPCG(seed, 5)), size.hosts, size.tasks))
			})
		}
	}
	for _, hosts := range []int{4, 6, 8} {
		b.Run(fmt.Sprintf("triplets/%d", hosts), func(b *testing.B) {
			benchmarkInstance(b, tripletInstance(rand.New(rand.NewPCG(1, 6)), hosts))
		})
	}
}

func benchmarkInstance(b *testing.B, in *solver.Instance) {
	var result *solver.Result
	for b.Loop() {
		end := time.Now().Add(5 * time.Second)
		var err error
		result, err = solver.Solve(in, solver.Options{Stop: func() bool { return time.Now().After(end) }})
		if err != nil {
			b.Fatal(err)
		}
		if result.Feasible {
			if err := solver.Check(in, result.Counts, result.Cost); err != nil {
				b.Fatal(err)
			}
		}
	}
	gap := 100.0
	if result.Feasible && result.Cost > 0 {
		gap = float64(result.Cost-result.LowerBound) / float64(result.Cost) * 100
	}
	b.ReportMetric(gap, "gap-%")
	b.ReportMetric(float64(result.Nodes), "nodes")
	b.ReportMetric(float64(result.Cost), "cost")
}

// fleetInstance draws an instance that resembles a fleet: two machine types, racks of four hosts, and services of one
// to six tasks. A third of the services has a limit per rack, a fifth is allowed on large hosts only.
func fleetInstance(rng *rand.Rand, hosts, tasks int) *solver.Instance {
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
		s := solver.Service{
			Name: fmt.Sprint("s", i), Count: min(1+rng.IntN(6), tasks),
			Cores: 250 * (1 + rng.Int64N(24)), Memory: 512 * (1 + rng.Int64N(24)),
		}
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

// tripletInstance draws a bin-packing instance that is hard for lower bounds by sums: three tasks fill each host
// exactly, and every other arrangement wastes capacity.
func tripletInstance(rng *rand.Rand, hosts int) *solver.Instance {
	in := &solver.Instance{}
	for i := range hosts {
		in.Hosts = append(in.Hosts, solver.Host{
			ID: fmt.Sprint("h", i), Rack: fmt.Sprint("r", i), Zone: "z", Cores: 1000, Memory: 1000, Cost: 1,
		})
		first := 380 + rng.Int64N(111)
		second := 250 + rng.Int64N(max((1000-first)/2-250, 1))
		for k, cores := range []int64{first, second, 1000 - first - second} {
			in.Services = append(in.Services, solver.Service{Name: fmt.Sprint("s", i, k), Count: 1, Cores: cores, Memory: 1})
		}
	}
	return in
}
