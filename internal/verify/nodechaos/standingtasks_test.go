package nodechaos_test

import (
	"testing"
	"time"

	"forkhead/internal/emulator/platformmodel"
	"forkhead/internal/verify/nodechaos"
)

const (
	faultAt  = 4 * time.Second
	faultEnd = 12 * time.Second // length of a run with one fault
)

// hostFault returns a fault of one host, or of all hosts if the number is negative.
func hostFault(faultType platformmodel.FaultType, host int, duration time.Duration) platformmodel.Fault {
	target := platformmodel.Target{Kind: platformmodel.HostParty, Number: max(host, 0), All: host < 0}
	return platformmodel.Fault{At: faultAt, Duration: duration, Type: faultType, Target: target}
}

// A task that still runs counts toward its service's spread limit, although its host closes idle connections, refuses
// new ones, sends nothing, or is missing from the endpoint list.
func TestSpreadCountsTasksOfHostThatOnlySeemsLost(t *testing.T) {
	idleClosed := hostFault(platformmodel.FaultIdleClosed, 0, 0)
	for name, faults := range map[string][]platformmodel.Fault{
		"no fault":                        nil,
		"refuses for 0.6 s":               {hostFault(platformmodel.FaultRefused, 0, 600*time.Millisecond), idleClosed},
		"refuses for 3 s":                 {hostFault(platformmodel.FaultRefused, 0, 3*time.Second), idleClosed},
		"resets and refuses for 0.6 s":    {hostFault(platformmodel.FaultRefused, 0, 600*time.Millisecond), hostFault(platformmodel.FaultReset, 0, 0)},
		"listed as removed":               {hostFault(platformmodel.FaultListedRemoved, 0, time.Hour)},
		"listed as removed for 1 s":       {hostFault(platformmodel.FaultListedRemoved, 0, time.Second)},
		"left out of the list for 5 s":    {hostFault(platformmodel.FaultOmitted, 0, 5*time.Second)},
		"silent for 6 s":                  {hostFault(platformmodel.FaultSilent, 0, 6*time.Second)},
		"partitioned for 8.5 s":           {hostFault(platformmodel.FaultZonePartition, 0, 8500*time.Millisecond)},
		"all hosts refuse for 1.2 s":      {hostFault(platformmodel.FaultRefused, -1, 1200*time.Millisecond), hostFault(platformmodel.FaultIdleClosed, -1, 0)},
		"removed, and refuses for 5 s":    {hostFault(platformmodel.FaultListedRemoved, 0, time.Hour), hostFault(platformmodel.FaultRefused, 0, 5*time.Second), idleClosed},
		"does not read for 3 s":           {hostFault(platformmodel.FaultNotReading, 0, 3*time.Second)},
		"half open for 3 s":               {hostFault(platformmodel.FaultHalfOpen, 0, 3*time.Second)},
		"sends unreadable lines for 2 s":  {hostFault(platformmodel.FaultCorrupted, 0, 2*time.Second)},
		"sends each message twice, 2 s":   {hostFault(platformmodel.FaultDuplicated, 0, 2*time.Second)},
		"process ends and starts, 1.5 s":  {hostFault(platformmodel.FaultMassKill, 0, 1500*time.Millisecond)},
		"machine vanishes and is new 3 s": {hostFault(platformmodel.FaultHostReplaced, 0, 3*time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plan := nodechaos.NewPlan(1, faultEnd)
			plan.Faults = faults
			runPlan(t, &plan)
		})
	}
}

// A task that its owner has released counts toward the spread limit of its service until its host has read the stop.
func TestSpreadCountsReleasedTaskUntilHostHasReadStop(t *testing.T) {
	for name, faults := range map[string][]platformmodel.Fault{
		"hosts do not read for 4 s": {hostFault(platformmodel.FaultNotReading, -1, 4*time.Second)},
		"partitioned for 4 s":       {hostFault(platformmodel.FaultZonePartition, -1, 4*time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plan := nodechaos.NewPlan(1, faultEnd)
			plan.ReleaseAfter = 4200 * time.Millisecond
			plan.Faults = faults
			runPlan(t, &plan)
		})
	}
}
