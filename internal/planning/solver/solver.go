// Package solver finds placements of minimal cost under capacity and spread limits, or proves that none exist. It is
// exact: all amounts are integers, and no result depends on a float. It is pure and deterministic. A caller may stop a
// search at any time, and gets the best placement found so far and a lower bound of the cost.
//
// The method is branch and bound over counts, the number of tasks of each service on each host.
//
//   - Branching (branch.go): each node of the search tree places one task more than its parent. Tasks of a service are
//     interchangeable, so they are placed on hosts in ascending order. Of interchangeable hosts only one is tried.
//   - Incumbent (heuristic.go): the best placement found so far. The first ones come from a randomized greedy heuristic
//     with a fixed seed.
//   - Bound (bounds.go): the cheapest fractional cover of the remaining demand by unused hosts. A node whose bound is not
//     less than the incumbent's cost is pruned.
//   - Feasibility (feasibility.go): a node is pruned if the remaining tasks provably do not fit.
package solver

import "slices"

// defaultMaxNodes limits a search whose Options set no MaxNodes. To visit this many nodes takes a few minutes.
const defaultMaxNodes = 50_000_000

// Options limits a search.
type Options struct {
	MaxNodes int         // limit of the visited nodes of the search tree; 0: 50 million
	Stop     func() bool // called repeatedly during the search, which ends once Stop returns true; may be nil
	// InjectedBug is set by tests, to show that a comparison with another solver finds bugs.
	InjectedBug InjectedBug
}

// InjectedBug is a bug that Solve can be made to have.
type InjectedBug string

// The bugs that can be injected.
const (
	BugInBound       InjectedBug = "bound"       // the lower bound is too high
	BugInPropagation InjectedBug = "propagation" // the feasibility check counts one task too many of each service but the first
)

// Result is the result of Solve.
type Result struct {
	Feasible   bool    // a placement was found
	Optimal    bool    // it is proven that Cost is minimal or, if not Feasible, that no placement exists
	Cost       int64   // cost of the placement
	LowerBound int64   // proven lower bound of the cost of any placement
	Counts     [][]int // number of tasks, indexed by service, then by host
	Nodes      int     // visited nodes of the search tree
}

// Solve finds a placement of minimal cost. Its only errors are those of Instance.Validate.
func Solve(in *Instance, opt Options) (*Result, error) {
	if err := in.Validate(); err != nil {
		return nil, err
	}
	if opt.MaxNodes == 0 {
		opt.MaxNodes = defaultMaxNodes
	}
	instance := *in
	instance.Hosts = slices.Clone(in.Hosts) // emptyHost changes Unschedulable of this copy temporarily
	s := newSearch(&instance, opt)
	rootBound := s.lowerBound(0, 0)
	if s.canComplete(0, 0) {
		s.findIncumbents()
		if !s.stopped && (s.incumbent == nil || rootBound < s.incumbentCost) {
			s.branch(0, 0, 0)
		}
	}
	return s.result(rootBound), nil
}

func (s *search) result(rootBound int64) *Result {
	r := &Result{Nodes: s.nodes, LowerBound: rootBound}
	if s.incumbent != nil {
		r.Feasible, r.Cost, r.Counts = true, s.incumbentCost, s.inInstanceOrder(s.incumbent)
	}
	if !s.stopped || r.Feasible && r.LowerBound >= r.Cost {
		r.Optimal, r.LowerBound = true, r.Cost
	}
	return r
}
