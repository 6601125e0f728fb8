package nodechaos_test

import (
	"testing"
	"time"

	"forkhead/internal/emulator/platformmodel"
	"forkhead/internal/verify/nodechaos"
)

const (
	// lostHostEnd is the length of a run in which the tasks of a host end at faultAt or soon after: their owners must be
	// notified within 8 s.
	lostHostEnd = 15 * time.Second
	// forGood is longer than any run.
	forGood = time.Hour
)

// endingTasks are run times of which many end while a fault is in force.
var endingTasks = platformmodel.Range{Min: 2 * time.Second, Max: 9 * time.Second}

func afterwards(f platformmodel.Fault, delay time.Duration) platformmodel.Fault {
	f.At += delay
	return f
}

func addressTaken(duration time.Duration) platformmodel.Fault {
	return hostFault(platformmodel.FaultAddressTaken, 0, duration)
}

func hung() platformmodel.Fault { return hostFault(platformmodel.FaultHung, 0, forGood) }

func listedRemoved() platformmodel.Fault {
	return hostFault(platformmodel.FaultListedRemoved, 0, forGood)
}

// runCases runs a plan with each set of faults. The run times of tasks are as in NewPlan if runTime is the zero value.
func runCases(t *testing.T, runTime platformmodel.Range, cases map[string][]platformmodel.Fault) {
	t.Helper()
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plan := nodechaos.NewPlan(1, lostHostEnd)
			plan.Faults = faults
			if runTime != (platformmodel.Range{}) {
				plan.RunTime = runTime
			}
			runPlan(t, &plan)
		})
	}
}

// Another host that answers at the address of one that has died does not keep the tasks of the latter alive.
func TestOwnerLearnsEndOfTaskWhoseHostsAddressIsTaken(t *testing.T) {
	t.Parallel()
	runCases(t, platformmodel.Range{}, map[string][]platformmodel.Fault{
		"the list keeps both":                {addressTaken(forGood)},
		"removed from the list in 5 s":       {addressTaken(5 * time.Second)},
		"taken again 0.7 s later":            {addressTaken(forGood), afterwards(addressTaken(forGood), 700*time.Millisecond)},
		"after connections closed in order":  {hostFault(platformmodel.FaultIdleClosed, 0, 0), afterwards(addressTaken(forGood), 20*time.Millisecond)},
		"while the list has it as removed":   {listedRemoved(), afterwards(addressTaken(forGood), 100*time.Millisecond)},
		"with many connections that are new": {hostFault(platformmodel.FaultReset, 0, 0), afterwards(addressTaken(forGood), 20*time.Millisecond)},
	})
}

// A host that the endpoint list has as removed is lost once it says nothing more, although its port accepts connections.
func TestOwnerLearnsEndOfTaskWhoseRemovedHostHangs(t *testing.T) {
	t.Parallel()
	runCases(t, platformmodel.Range{}, map[string][]platformmodel.Fault{
		"hangs 1 s after the removal":   {listedRemoved(), afterwards(hung(), time.Second)},
		"hangs 1 s before the removal":  {hung(), afterwards(listedRemoved(), time.Second)},
		"hangs 30 ms after the removal": {listedRemoved(), afterwards(hung(), 30*time.Millisecond)},
	})
}

// A host in service that answers no probe is lost, although its port accepts connections.
func TestOwnerLearnsEndOfTaskWhoseHostHangs(t *testing.T) {
	t.Parallel()
	runCases(t, platformmodel.Range{}, map[string][]platformmodel.Fault{"in service": {hung()}})
}

// A host repeats the end of a task on the next connection only, so a connection that passes nothing is replaced even if
// others to the same host work.
func TestOwnerLearnsEndOfTaskSentOnDeadConnection(t *testing.T) {
	t.Parallel()
	dead := func(duration time.Duration) platformmodel.Fault {
		return hostFault(platformmodel.FaultConnectionsDead, -1, duration)
	}
	runCases(t, endingTasks, map[string][]platformmodel.Fault{
		"reset after 1 s": {dead(time.Second)},
		"reset after 4 s": {dead(4 * time.Second)},
		"never reset":     {dead(forGood)},
	})
}

// A host whose process is killed and is back at once has lost its tasks, although no dial was refused meanwhile.
func TestOwnerLearnsEndOfTaskWhoseHostRestartsAtOnce(t *testing.T) {
	t.Parallel()
	restart := hostFault(platformmodel.FaultMassKill, 0, time.Millisecond)
	runCases(t, platformmodel.Range{}, map[string][]platformmodel.Fault{
		"once":                              {restart},
		"twice":                             {restart, afterwards(restart, 600*time.Millisecond)},
		"after connections closed in order": {hostFault(platformmodel.FaultIdleClosed, 0, 0), afterwards(restart, 10*time.Millisecond)},
	})
}
