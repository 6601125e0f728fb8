package bruteforce

import (
	"testing"

	"forkhead/internal/planning/solver"
)

func TestAgainstBruteForce(t *testing.T) {
	n := 3000
	feasible, err := Compare(1, n, solver.Options{})
	if err != nil {
		t.Fatal(err)
	}
	if feasible < n/4 || feasible > n*9/10 {
		t.Fatalf("%d of %d have an answer: too one-sided to prove much", feasible, n)
	}
}

// A bug in the bound and one in propagation are caught by the comparison.
func TestPlantedFlaws(t *testing.T) {
	for _, flaw := range []string{"bound", "propagation"} {
		if _, err := Compare(1, 20_000, solver.Options{Flaw: flaw}); err == nil {
			t.Errorf("a flaw in the %s is not caught", flaw)
		}
	}
}
