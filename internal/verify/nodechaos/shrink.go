package nodechaos

import "slices"

// maxShrinkRuns bounds the runs of Shrink.
const maxShrinkRuns = 40

// Shrink returns a plan without the faults and signals that are not needed for a breach. It calls breaks for each plan
// that it tries, at most maxShrinkRuns times; breaks runs the plan and reports whether a rule was broken. A breach may
// depend on the scheduling of the processes, so that a fault which is needed only sometimes may be left out.
func Shrink(plan Plan, breaks func(*Plan) (bool, error)) (Plan, error) {
	runs := 0
	try := func(shorter Plan) error {
		if runs >= maxShrinkRuns {
			return nil
		}
		runs++
		broken, err := breaks(&shorter)
		if broken {
			plan = shorter
		}
		return err
	}
	for i := len(plan.Faults) - 1; i >= 0; i-- {
		shorter := plan
		shorter.Faults = slices.Delete(slices.Clone(plan.Faults), i, i+1)
		if err := try(shorter); err != nil {
			return plan, err
		}
	}
	for i := len(plan.Signals) - 1; i >= 0; i-- {
		shorter := plan
		shorter.Signals = slices.Delete(slices.Clone(plan.Signals), i, i+1)
		if err := try(shorter); err != nil {
			return plan, err
		}
	}
	return plan, nil
}
