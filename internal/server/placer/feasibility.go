package placer

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/parse/settings"
	"forkhead/internal/planning/plan"
	"forkhead/internal/planning/solver"
	"forkhead/internal/scheduler/core"
)

// Bounds of the checks, which must not hold up placement: where one of them is exceeded, the submission is taken.
const (
	maxFeasibilityChecks    = 4 // at a time
	feasibilityCheckTimeout = 100 * time.Millisecond
)

// feasibilityChecker looks for a proof that a specification cannot be placed completely. Its methods may be called from any
// goroutine.
type feasibilityChecker struct {
	settings *settings.Settings
	machines atomic.Pointer[[]plan.Host] // of the last list; nil: none has come
	slots    chan struct{}               // one for each running check
}

func newFeasibilityChecker(set *settings.Settings) *feasibilityChecker {
	return &feasibilityChecker{settings: set, slots: make(chan struct{}, maxFeasibilityChecks)}
}

// acquire takes a slot for findConflict and reports whether one was available.
func (f *feasibilityChecker) acquire() bool {
	select {
	case f.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// release gives a slot back.
func (f *feasibilityChecker) release() { <-f.slots }

// setMachines takes a new machine list. Machines of an unknown machine type are left out.
func (f *feasibilityChecker) setMachines(entries []core.HostEntry) {
	machines := make([]plan.Host, 0, len(entries))
	for i := range entries {
		entry := &entries[i]
		index := slices.Index(f.settings.MachineTypeNames, entry.Kind)
		if index < 0 {
			continue
		}
		machineType := f.settings.Module.MachineTypes[index]
		state := "ready" // a draining one may be ready again before the client's timeout is over
		if entry.State == forkhead.Removed {
			state = "gone"
		}
		machines = append(machines, plan.Host{
			ID: entry.Name, MachineType: entry.Kind, Zone: entry.Zone, Rack: entry.Rack, Cores: machineType.Cores, Memory: machineType.Memory,
			State: state, Attributes: entry.Attributes,
		})
	}
	f.machines.Store(&machines)
}

// findConflict returns the requirements that keep a specification from being placed completely on the machines of the list,
// even if they were empty. It returns nil where that is not proven: the specification fits, no list has come, ctx is done
// or the time is over.
func (f *feasibilityChecker) findConflict(ctx context.Context, spec *servicespec.Description) []string {
	machines := f.machines.Load()
	if machines == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, feasibilityCheckTimeout)
	defer cancel()
	question := &plan.Problem{Settings: f.settings, Hosts: *machines, Specs: []*servicespec.Description{spec}}
	result, err := plan.Solve(question, solver.Options{Stop: func() bool { return ctx.Err() != nil }})
	if err != nil || result.Feasible || !result.Optimal {
		return nil
	}
	if len(result.Conflict) == 0 { // proven, but there was no time to reduce it to a conflict
		return []string{"no placement of all its tasks exists on the hosts of the list"}
	}
	return result.Conflict
}
