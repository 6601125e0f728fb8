package bruteforce

import (
	"fmt"
	"math/rand/v2"
	"testing"

	gophersat "github.com/crillab/gophersat/solver"

	"forkhead/internal/planning/solver"
)

// encoder encodes an instance as a problem for the pseudo-Boolean solver gophersat, which checks this project's solver
// at sizes that brute force does not reach. A variable is true if a task is on a host, or if a host is in use.
type encoder struct {
	in          *solver.Instance
	variables   int // number of variables; they are numbered from 1
	constraints []gophersat.PBConstr
	inUse       []int          // variable of each host
	tasks       [][]taskOnHost // variables of all tasks on each host
}

// taskOnHost is the variable for a task on a host, with the resources that the task requests.
type taskOnHost struct {
	variable      int
	cores, memory int64
}

// pseudoBooleanCost returns the minimum cost of a placement, or -1 if there is no placement. It ignores affinities and
// all costs but those of hosts, and assumes that no host is in use already.
func pseudoBooleanCost(in *solver.Instance) int64 {
	e := &encoder{in: in, tasks: make([][]taskOnHost, len(in.Hosts))}
	for range in.Hosts {
		e.inUse = append(e.inUse, e.newVariable())
	}
	for i := range in.Services {
		e.encodeService(&in.Services[i])
	}
	for host := range in.Hosts {
		e.encodeCapacity(host, func(t taskOnHost) int64 { return t.cores }, in.Hosts[host].Cores)
		e.encodeCapacity(host, func(t taskOnHost) int64 { return t.memory }, in.Hosts[host].Memory)
	}
	problem := gophersat.ParsePBConstrs(e.constraints)
	var literals []gophersat.Lit
	var costs []int
	for host := range in.Hosts {
		literals = append(literals, gophersat.IntToLit(int32(e.inUse[host])))
		costs = append(costs, int(in.Hosts[host].Cost))
	}
	problem.SetCostFunc(literals, costs)
	return int64(gophersat.New(problem).Minimize())
}

func (e *encoder) newVariable() int {
	e.variables++
	return e.variables
}

func (e *encoder) add(constraints ...gophersat.PBConstr) {
	e.constraints = append(e.constraints, constraints...)
}

// encodeService requires that each task of a service is on exactly one host, that this host is in use, and that the
// service's limits hold.
func (e *encoder) encodeService(s *solver.Service) {
	byHost, byRack, byZone := map[string][]int{}, map[string][]int{}, map[string][]int{}
	for range s.Count {
		var onAnyHost []int
		for host := range e.in.Hosts {
			h := &e.in.Hosts[host]
			onHost := e.newVariable()
			if h.Unschedulable || s.Allowed != nil && !s.Allowed[host] {
				e.add(gophersat.PropClause(-onHost))
			}
			e.add(gophersat.PropClause(-onHost, e.inUse[host]))
			onAnyHost = append(onAnyHost, onHost)
			e.tasks[host] = append(e.tasks[host], taskOnHost{onHost, s.Cores, s.Memory})
			byHost[h.ID] = append(byHost[h.ID], onHost)
			byRack[h.Rack] = append(byRack[h.Rack], onHost)
			byZone[h.Zone] = append(byZone[h.Zone], onHost)
		}
		e.add(gophersat.AtLeast(onAnyHost, 1), gophersat.AtMost(onAnyHost, 1))
	}
	e.encodeLimit(byHost, s.MaxPerHost)
	e.encodeLimit(byRack, s.MaxPerRack)
	e.encodeLimit(byZone, s.MaxPerZone)
}

// encodeLimit bounds the number of a service's tasks in each domain. A limit of 0 means no limit.
func (e *encoder) encodeLimit(byDomain map[string][]int, limit int) {
	for _, variables := range byDomain {
		if limit > 0 && len(variables) > limit {
			e.add(gophersat.AtMost(variables, limit))
		}
	}
}

// encodeCapacity bounds the sum of one resource over the tasks on a host.
func (e *encoder) encodeCapacity(host int, amountOf func(taskOnHost) int64, capacity int64) {
	var variables, amounts []int
	for _, t := range e.tasks[host] {
		if amount := amountOf(t); amount > 0 {
			variables, amounts = append(variables, t.variable), append(amounts, int(amount))
		}
	}
	if len(variables) > 0 {
		e.add(gophersat.LtEq(variables, amounts, int(capacity)))
	}
}

// mediumInstance draws an instance that is too large for brute force: six to eight hosts, ten to fourteen tasks.
func mediumInstance(rng *rand.Rand) *solver.Instance {
	in := &solver.Instance{}
	for i := range 6 + rng.IntN(3) {
		in.Hosts = append(in.Hosts, solver.Host{
			ID: fmt.Sprint("h", i), Rack: fmt.Sprint("r", i/2), Zone: fmt.Sprint("z", i/4), Cores: 4 + rng.Int64N(6), Memory: 4 + rng.Int64N(6), Cost: 1 + rng.Int64N(5),
			Unschedulable: rng.IntN(10) == 0,
		})
	}
	for remaining := 10 + rng.IntN(5); remaining > 0; {
		s := solver.Service{Name: fmt.Sprint("s", remaining), Count: min(1+rng.IntN(4), remaining), Cores: 1 + rng.Int64N(4), Memory: 1 + rng.Int64N(4)}
		if rng.IntN(2) == 0 {
			s.MaxPerRack = 1 + rng.IntN(2)
		}
		if rng.IntN(4) == 0 {
			for range in.Hosts {
				s.Allowed = append(s.Allowed, rng.IntN(4) > 0)
			}
		}
		remaining -= s.Count
		in.Services = append(in.Services, s)
	}
	return in
}

// The solver must find the same cost as an independent solver on instances that are too large for brute force. The set
// must have feasible and infeasible instances: a set with almost only one kind would hardly test the solver's result
// for the other.
func TestSolverAgreesWithPseudoBooleanSolver(t *testing.T) {
	feasible := 0
	const n = 14
	for seed := range uint64(n) {
		in := mediumInstance(rand.New(rand.NewPCG(seed, 31)))
		result, err := solver.Solve(in, solver.Options{})
		if err != nil || !result.Optimal {
			t.Fatalf("instance %d: Solve() = %+v, %v, want an optimal result", seed, result, err)
		}
		want := pseudoBooleanCost(in)
		if result.Feasible != (want >= 0) || result.Feasible && result.Cost != want {
			t.Fatalf("instance %d: Solve() = feasible %v, cost %d, want cost %d (-1: infeasible): %+v", seed, result.Feasible, result.Cost, want, in)
		}
		if result.Feasible {
			feasible++
		}
	}
	if feasible < n/5 || feasible == n {
		t.Fatalf("Solve() found %d feasible instances of %d, want at least a fifth and not all", feasible, n)
	}
}
