package nodechaos_test

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"forkhead/internal/emulator/platformmodel"
	"forkhead/internal/verify/nodechaos"
)

// Shrink keeps the faults and signals that a breach needs, in their order, and no others.
func TestShrinkKeepsWhatABreachNeeds(t *testing.T) {
	plan := nodechaos.NewPlan(1, faultEnd)
	for i := range 6 {
		plan.Faults = append(plan.Faults, platformmodel.Fault{At: time.Duration(i) * time.Second})
		plan.Signals = append(plan.Signals, nodechaos.Signal{At: time.Duration(i) * time.Second, Signal: syscall.SIGSTOP})
	}
	runs := 0
	needs := func(p *nodechaos.Plan) (bool, error) {
		runs++
		hasFault := func(at time.Duration) bool {
			return slices.ContainsFunc(p.Faults, func(f platformmodel.Fault) bool { return f.At == at })
		}
		hasSignal := slices.ContainsFunc(p.Signals, func(s nodechaos.Signal) bool { return s.At == 3*time.Second })
		return hasFault(time.Second) && hasFault(4*time.Second) && hasSignal, nil
	}
	got, err := nodechaos.Shrink(plan, needs)
	if err != nil || len(got.Faults) != 2 || got.Faults[0].At != time.Second || got.Faults[1].At != 4*time.Second ||
		len(got.Signals) != 1 || got.Signals[0].At != 3*time.Second || runs != 12 {
		t.Errorf("Shrink: got faults %+v, signals %+v, error %v after %d runs; want the faults at 1s and 4s, the signal at 3s, nil and 12",
			got.Faults, got.Signals, err, runs)
	}
}

// The plan of a seed is always the same, and its faults are ones that the emulators accept.
func TestDrawIsDeterministic(t *testing.T) {
	for seed := range uint64(200) {
		first, second := nodechaos.Draw(seed), nodechaos.Draw(seed)
		if first.Text() != second.Text() {
			t.Fatalf("Draw(%d) twice: got\n%s\nand\n%s\nwant the same plan", seed, first.Text(), second.Text())
		}
	}
}
