package bruteforce

import (
	"testing"

	"forkhead/internal/planning/solver"
)

// The solver must agree with brute force on small random instances. The set must have feasible and infeasible
// instances: a set with almost only one kind would hardly test the solver's result for the other.
func TestSolverAgreesWithBruteForce(t *testing.T) {
	const n = 3000
	feasible, err := Compare(1, n, solver.Options{})
	if err != nil {
		t.Fatal(err)
	}
	if feasible < n/4 || feasible > n*9/10 {
		t.Fatalf("Compare: got %d feasible instances of %d, want between a quarter and nine tenths", feasible, n)
	}
}

// A comparison that missed a wrong solver would prove nothing, so Compare must detect each injected bug.
func TestCompareFindsInjectedBugs(t *testing.T) {
	for _, bug := range []solver.InjectedBug{solver.BugInBound, solver.BugInPropagation} {
		if _, err := Compare(1, 20_000, solver.Options{InjectedBug: bug}); err == nil {
			t.Errorf("Compare with the injected bug %q: got no error, want one", bug)
		}
	}
}
