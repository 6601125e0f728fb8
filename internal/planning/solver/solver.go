// Package solver finds placements of least cost under capacity and spread limits, or proves that there are none. It is
// exact: amounts are whole numbers and no float decides. It is pure and deterministic; a caller may stop it at any time
// and gets the best placement so far with a lower bound of the cost.
//
// The method is branch and bound over counts: how many tasks of each service are on each host.
//
//   - Branching (branch.go): a node of the search tree has one task more than its parent. Tasks of a service are
//     interchangeable, so they are placed on hosts in ascending order; of interchangeable hosts one is tried.
//   - Incumbent (heuristic.go): the best placement so far. The first ones come from a randomized greedy heuristic with a
//     fixed seed.
//   - Bound (bounds.go): the cheapest fractional cover of the remaining demand by unused hosts. A node whose bound is no
//     less than the incumbent's cost is pruned.
//   - Feasibility (feasibility.go): a node is pruned if the remaining tasks provably do not fit.
package solver

import "slices"

// defaultMaxNodes bounds a search whose Options do not; it is some minutes of time.
const defaultMaxNodes = 50_000_000

// Options bound a search.
type Options struct {
	MaxNodes int         // of the search tree; 0: 50 million
	Stop     func() bool // polled during the search; once it returns true, Solve returns what it has. nil: never
	// InjectedBug is for tests that show that a comparison with another solver finds bugs.
	InjectedBug InjectedBug
}

// InjectedBug is a bug that Solve can be made to have.
type InjectedBug string

// The bugs.
const (
	BugInBound       InjectedBug = "bound"       // the lower bound is too high
	BugInPropagation InjectedBug = "propagation" // the feasibility check counts tasks too many
)

// Result is what Solve found.
type Result struct {
	Feasible   bool    // a placement was found
	Optimal    bool    // proven: Cost is the least; or, if not Feasible, no placement exists
	Cost       int64   // of the placement
	LowerBound int64   // no placement costs less
	Counts     [][]int // tasks by service, by host
	Nodes      int     // visited nodes of the search tree
}

// Solve finds a placement of least cost. Its error is that of Instance.Validate.
func Solve(in *Instance, opt Options) (*Result, error) {
	if err := in.Validate(); err != nil {
		return nil, err
	}
	if opt.MaxNodes == 0 {
		opt.MaxNodes = defaultMaxNodes
	}
	own := *in
	own.Hosts = slices.Clone(in.Hosts) // the heuristic makes hosts unschedulable for a while
	s := newSearch(&own, opt)
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
