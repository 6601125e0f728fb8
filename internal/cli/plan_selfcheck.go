package cli

import (
	"time"

	"forkhead/internal/planning/solver"
	"forkhead/internal/verify/bruteforce"
)

// selfcheckSeed is the seed of the first instance. It is constant, so that each run draws the same instances.
const selfcheckSeed = 1

// selfcheckResult is the JSON output of plan --selfcheck.
type selfcheckResult struct {
	Agree      bool   `json:"agree"`
	Difference string `json:"difference,omitempty"` // description of the first instance on which solver and brute force differ
	Feasible   int    `json:"feasible"`
	Instances  int    `json:"instances"`
}

// selfcheck compares the solver with brute force on random instances. It returns errNegativeResult if they differ.
func (a *app) selfcheck(instances int) error {
	start := time.Now()
	feasible, difference := bruteforce.Compare(selfcheckSeed, instances, solver.Options{})
	switch {
	case a.wantsJSON():
		result := selfcheckResult{Agree: difference == nil, Feasible: feasible, Instances: instances}
		if difference != nil {
			result.Difference = difference.Error()
		}
		if err := a.writeJSON(result); err != nil {
			return err
		}
	case difference == nil:
		a.printf("%d instances, %d feasible: solver and brute force agree on all; %.1f s\n", instances, feasible, time.Since(start).Seconds())
	default:
		a.println(difference)
	}
	if difference != nil {
		return errNegativeResult
	}
	return nil
}
