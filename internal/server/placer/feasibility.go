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

// Limits of the feasibility checks, which must not delay placement. Beyond one of them, a submission goes to the core
// unchecked.
const (
	maxFeasibilityChecks    = 4 // checks that run at the same time
	feasibilityCheckTimeout = 100 * time.Millisecond
)

// feasibilityChecker searches for a proof that a specification cannot be placed completely. It is safe for concurrent
// use.
type feasibilityChecker struct {
	settings *settings.Settings
	machines atomic.Pointer[[]plan.Host] // from the last machine list; nil: none has been received
	slots    chan struct{}               // contains an element for each running check
}

// newFeasibilityChecker returns a checker without a machine list.
func newFeasibilityChecker(set *settings.Settings) *feasibilityChecker {
	return &feasibilityChecker{settings: set, slots: make(chan struct{}, maxFeasibilityChecks)}
}

// acquire reserves a slot for a call of findConflict and reports whether one was free.
func (f *feasibilityChecker) acquire() bool {
	select {
	case f.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// release frees a slot that acquire has reserved.
func (f *feasibilityChecker) release() { <-f.slots }

// setMachines replaces the machine list. It leaves out machines whose machine type is not in the settings.
func (f *feasibilityChecker) setMachines(entries []core.HostEntry) {
	machines := make([]plan.Host, 0, len(entries))
	for i := range entries {
		entry := &entries[i]
		index := slices.Index(f.settings.MachineTypeNames, entry.Kind)
		if index < 0 {
			continue
		}
		machineType := f.settings.Module.MachineTypes[index]
		state := "ready" // a draining host counts as ready, too: it may be ready again before the client's timeout
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

// findConflict returns the requirements that keep a specification from being placed completely on the machines of the
// list, even if these had no tasks. It returns nil if that is not proven: the specification fits, no list has been
// received, ctx is done or feasibilityCheckTimeout has passed.
func (f *feasibilityChecker) findConflict(ctx context.Context, spec *servicespec.Description) []string {
	machines := f.machines.Load()
	if machines == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, feasibilityCheckTimeout)
	defer cancel()
	problem := &plan.Problem{Settings: f.settings, Hosts: *machines, Specs: []*servicespec.Description{spec}}
	result, err := plan.Solve(problem, solver.Options{Stop: func() bool { return ctx.Err() != nil }})
	if err != nil || result.Feasible || !result.Optimal {
		return nil
	}
	// The specification is infeasible, but the time was too short to reduce the proof to a conflict.
	if len(result.Conflict) == 0 {
		return []string{"no placement of all its tasks exists on the hosts of the list"}
	}
	return result.Conflict
}
