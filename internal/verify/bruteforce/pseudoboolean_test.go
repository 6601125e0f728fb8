package bruteforce

import (
	"fmt"
	"math/rand/v2"
	"testing"

	gophersat "github.com/crillab/gophersat/solver"

	"forkhead/internal/planning/solver"
)

// pseudo answers an instance by a pseudo-Boolean solver from elsewhere, as an independent check at
// sizes that brute force does not reach: a variable for each task and host, one for each host in use.
func pseudo(in *solver.Instance) int64 {
	var constrs []gophersat.PBConstr
	next := 0
	fresh := func() int { next++; return next }
	use := make([]int, len(in.Hosts))
	for h := range use {
		use[h] = fresh()
	}
	byHost := make([][]int, len(in.Hosts)) // literals, with their amounts
	cores, memory := make([][]int, len(in.Hosts)), make([][]int, len(in.Hosts))
	for _, s := range in.Services {
		onHost, inRack, inZone := make([][]int, len(in.Hosts)), map[string][]int{}, map[string][]int{}
		for range s.Count {
			var any []int
			for h, host := range in.Hosts {
				x := fresh()
				if host.Unschedulable || s.Allowed != nil && !s.Allowed[h] {
					constrs = append(constrs, gophersat.PropClause(-x))
				}
				any = append(any, x)
				constrs = append(constrs, gophersat.PropClause(-x, use[h]))
				byHost[h], cores[h], memory[h] = append(byHost[h], x), append(cores[h], int(s.Cores)), append(memory[h], int(s.Memory))
				onHost[h] = append(onHost[h], x)
				inRack[host.Rack], inZone[host.Zone] = append(inRack[host.Rack], x), append(inZone[host.Zone], x)
			}
			constrs = append(constrs, gophersat.AtLeast(any, 1), gophersat.AtMost(any, 1))
		}
		bound := func(lits []int, most int) {
			if most > 0 && len(lits) > most {
				constrs = append(constrs, gophersat.AtMost(lits, most))
			}
		}
		for _, lits := range onHost {
			bound(lits, s.MaxPerHost)
		}
		for _, lits := range inRack {
			bound(lits, s.MaxPerRack)
		}
		for _, lits := range inZone {
			bound(lits, s.MaxPerZone)
		}
	}
	for h, host := range in.Hosts {
		for _, res := range []struct {
			amounts []int
			most    int64
		}{{cores[h], host.Cores}, {memory[h], host.Memory}} {
			var lits, weights []int
			for i, w := range res.amounts {
				if w > 0 {
					lits, weights = append(lits, byHost[h][i]), append(weights, w)
				}
			}
			if len(lits) > 0 {
				constrs = append(constrs, gophersat.LtEq(lits, weights, int(res.most)))
			}
		}
	}
	problem := gophersat.ParsePBConstrs(constrs)
	var lits []gophersat.Lit
	var weights []int
	for h, host := range in.Hosts {
		lits, weights = append(lits, gophersat.IntToLit(int32(use[h]))), append(weights, int(host.Cost))
	}
	problem.SetCostFunc(lits, weights)
	return int64(gophersat.New(problem).Minimize())
}

// medium draws an instance beyond brute force: six to eight hosts, ten to fourteen tasks.
func medium(rng *rand.Rand) *solver.Instance {
	in := &solver.Instance{}
	for i := range 6 + rng.IntN(3) {
		in.Hosts = append(in.Hosts, solver.Host{
			ID: fmt.Sprint("h", i), Rack: fmt.Sprint("r", i/2), Zone: fmt.Sprint("z", i/4), Cores: 4 + rng.Int64N(6), Memory: 4 + rng.Int64N(6), Cost: 1 + rng.Int64N(5),
			Unschedulable: rng.IntN(10) == 0,
		})
	}
	for left := 10 + rng.IntN(5); left > 0; {
		s := solver.Service{Name: fmt.Sprint("s", left), Count: min(1+rng.IntN(4), left), Cores: 1 + rng.Int64N(4), Memory: 1 + rng.Int64N(4)}
		if rng.IntN(2) == 0 {
			s.MaxPerRack = 1 + rng.IntN(2)
		}
		if rng.IntN(4) == 0 {
			for range in.Hosts {
				s.Allowed = append(s.Allowed, rng.IntN(4) > 0)
			}
		}
		left -= s.Count
		in.Services = append(in.Services, s)
	}
	return in
}

func TestAgainstPseudoBoolean(t *testing.T) {
	feasible := 0
	const n = 14
	for seed := range uint64(n) {
		in := medium(rand.New(rand.NewPCG(seed, 31)))
		a, err := solver.Solve(in, solver.Options{})
		if err != nil || !a.Optimal {
			t.Fatalf("instance %d: %+v, %v", seed, a, err)
		}
		want := pseudo(in)
		if a.Feasible != (want >= 0) || a.Feasible && a.Cost != want {
			t.Fatalf("instance %d: feasible %v at %d, the other solver says %d: %+v", seed, a.Feasible, a.Cost, want, in)
		}
		if a.Feasible {
			feasible++
		}
	}
	if feasible < n/5 || feasible == n {
		t.Fatalf("%d of %d have an answer: too one-sided", feasible, n)
	}
}
