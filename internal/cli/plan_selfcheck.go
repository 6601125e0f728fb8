package cli

import (
	"time"

	"forkhead/internal/planning/solver"
	"forkhead/internal/verify/bruteforce"
)

// selfcheckSeed is the seed of the first instance: the same ones are drawn each time.
const selfcheckSeed = 1

// selfcheckResult is the line that plan --selfcheck writes.
type selfcheckResult struct {
	Agree      bool   `json:"agree"`
	Difference string `json:"difference,omitempty"` // of the first instance with one
	Feasible   int    `json:"feasible"`
	Instances  int    `json:"instances"`
}

// selfcheck compares the solver with brute force on random instances.
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
		a.printf("%d instances, %d with an answer: solver and brute force agree on all; %.1f s\n", instances, feasible, time.Since(start).Seconds())
	default:
		a.println(difference)
	}
	if difference != nil {
		return errNo
	}
	return nil
}
