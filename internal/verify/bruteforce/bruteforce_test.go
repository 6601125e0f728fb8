package bruteforce

import (
	"testing"

	"forkhead/internal/planning/solver"
)

func TestSolverAgreesWithBruteForce(t *testing.T) {
	const n = 3000
	feasible, err := Compare(1, n, solver.Options{})
	if err != nil {
		t.Fatal(err)
	}
	if feasible < n/4 || feasible > n*9/10 {
		t.Fatalf("%d of %d have an answer: too one-sided to prove much", feasible, n)
	}
}

func TestInjectedBugsAreFound(t *testing.T) {
	for _, bug := range []solver.InjectedBug{solver.BugInBound, solver.BugInPropagation} {
		if _, err := Compare(1, 20_000, solver.Options{InjectedBug: bug}); err == nil {
			t.Errorf("a bug in the %s is not found", bug)
		}
	}
}
