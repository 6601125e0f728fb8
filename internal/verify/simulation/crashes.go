package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"forkhead/internal/scheduler/core"
	"forkhead/internal/scheduler/durable"
)

// CrashCounts counts the crashes of the placer in a run of RunDurable. The fields are the places where the placer
// crashed. A crash during recovery is also counted at its crash point.
type CrashCounts struct{ BeforeCommit, AfterCommit, AfterHalfOutputs, BetweenSteps, DuringRecovery int }

const (
	durableSettings   = "(owner (first 200ms) (wait 20s))"
	durableFaultTime  = 15 * time.Second // duration of submissions and faults
	durableSettleTime = 35 * time.Second // time from the end of the faults until all submissions must be complete
	maxProjects       = 200              // more projects than a run submits
)

// durableClasses lists the classes that submissions draw from; one that is listed twice is drawn twice as often.
var durableClasses = []string{"web", "keyed", "ledger", "ledger", "listing", "books"}

// durableRun is the state of a run of RunDurable.
type durableRun struct {
	faultInjector
	t              TB
	crashesEnabled bool // whether steps draw crash points
	recovering     bool // the placer is being restarted after a crash
	crashes        CrashCounts
	submitted      int // number of submissions so far, acknowledged or not
	submissions    []*durableSubmission
}

// durableSubmission is what a client knows about a submission that was acknowledged.
type durableSubmission struct {
	id       string
	tasks    int
	outcomes map[string]core.OutcomeKind // the reported outcomes by replica name
}

// RunDurable runs a random schedule that is determined by the seed. The placer crashes repeatedly, at every crash point
// of steps with durable records and during recovery, while hosts crash, stop answering and come back. RunDurable fails
// t if an acknowledged submission is forgotten, if one of its tasks has no outcome or an outcome that differs from the
// one reported earlier, if an unsafe task runs twice, if a task or a stored attempt remains after all projects are
// removed, or if RequireNoViolations finds a violation.
func RunDurable(t TB, seed uint64) CrashCounts {
	r := newDurableRun(t, seed)
	r.injectFaults()
	r.recoverAll()
	for range durableSettleTime / checkInterval {
		r.advance(checkInterval)
	}
	for _, submission := range r.submissions {
		r.checkComplete(submission)
	}
	r.checkRemoval()
	r.s.RequireNoViolations()
	return r.crashes
}

// newDurableRun starts 4 to 7 hosts and a placer that may crash at every step with durable records.
func newDurableRun(t TB, seed uint64) *durableRun {
	rng := rand.New(rand.NewPCG(seed, 99))
	s := NewDurable(t, Settings(t, durableSettings+Spread.extraSettings), 4+rng.IntN(4))
	s.Delay = time.Duration(1+rng.IntN(20)) * time.Millisecond
	r := &durableRun{faultInjector: faultInjector{s, rng}, t: t, crashesEnabled: true}
	s.NextCrash = r.nextCrash
	return r
}

// nextCrash draws and counts a crash point, for about one step in 25 and, during a recovery, for about one step in 3.
func (r *durableRun) nextCrash() CrashPoint {
	if !r.crashesEnabled || r.rng.IntN(25) > 0 && (!r.recovering || r.rng.IntN(3) > 0) {
		return NoCrash
	}
	if r.recovering {
		r.crashes.DuringRecovery++
	}
	switch r.rng.IntN(3) {
	case 0:
		r.crashes.BeforeCommit++
		return BeforeCommit
	case 1:
		r.crashes.AfterCommit++
		return AfterCommit
	}
	r.crashes.AfterHalfOutputs++
	return AfterHalfOutputs
}

// injectFaults performs random actions (submissions and faults of a host or the placer) for durableFaultTime.
func (r *durableRun) injectFaults() {
	nothing := func(string) {}
	actions := []func(host string){ // drawn evenly; an action that is listed twice is drawn twice as often
		r.submit, r.submit, r.submit,
		r.s.ResetConnections,
		func(host string) { r.crashHost(host, 2000) },
		func(host string) { r.blackhole(host, 3000) },
		r.maybeRestartPlacer,
		func(host string) { r.pauseHost(host, 800) },
		nothing, nothing,
	}
	for end := r.s.Now + durableFaultTime; r.s.Now < end; {
		host := r.randomHost()
		actions[r.rng.IntN(len(actions))](host)
		r.check()
		for range r.rng.IntN(15) {
			r.advance(r.randomMS(40))
		}
	}
}

// submit submits a new project.
func (r *durableRun) submit(string) {
	r.submitted++
	tasks := 1 + r.rng.IntN(4)
	text := fmt.Sprintf("name: p%d\nservices:\n  a: {x-forkhead: {class: %s, life: %dms}, deploy: {replicas: %d, restart_policy: {condition: on-failure}}}\n",
		r.submitted, durableClasses[r.rng.IntN(len(durableClasses))], 500+r.rng.IntN(4000), tasks)
	accepted := len(r.s.Accepted)
	r.s.Step(core.Submit{Request: 1, IdempotencyKey: fmt.Sprintf("k%d", r.submitted), BodyHash: 1, Description: r.s.ParseCompose(text)})
	if len(r.s.Accepted) > accepted {
		id := r.s.Accepted[accepted].Submission
		r.submissions = append(r.submissions, &durableSubmission{id, tasks, map[string]core.OutcomeKind{}})
	}
}

// maybeRestartPlacer restarts the placer between steps with a probability of 1/3.
func (r *durableRun) maybeRestartPlacer(string) {
	if r.rng.IntN(3) == 0 {
		r.crashes.BetweenSteps++
		r.s.RestartPlacer()
	}
}

// advance advances the clock by d and then calls check.
func (r *durableRun) advance(d time.Duration) {
	r.s.Advance(d)
	r.check()
}

// check restarts the placer if it has crashed, and checks the outcomes of all submissions and that no unsafe task runs
// twice.
func (r *durableRun) check() {
	if r.s.Crashed() {
		r.recovering = true
		r.s.RestartPlacer()
		r.recovering = false
		if r.s.Crashed() {
			return // the placer crashed during the restart; the next check restarts it
		}
	}
	for _, submission := range r.submissions {
		r.checkOutcomes(submission)
	}
	r.s.RequireNoDuplicates()
}

// checkOutcomes fails the test if the placer has forgotten a submission, or forgotten or changed a reported outcome.
func (r *durableRun) checkOutcomes(submission *durableSubmission) {
	list, _, known := r.s.Core.Outcomes(submission.id, 0)
	if !known {
		r.t.Fatalf("Outcomes(%s): submission is unknown, want it kept since it was acknowledged", submission.id)
	}
	for _, o := range list {
		name := replicaName(o)
		if before, ok := submission.outcomes[name]; ok && before != o.Outcome {
			r.t.Fatalf("submission %s: outcome of %s is now %s, want %s as reported earlier", submission.id, name, o.Outcome, before)
		}
		submission.outcomes[name] = o.Outcome
	}
	if len(list) < len(submission.outcomes) {
		r.t.Fatalf("submission %s: got %d outcomes, want the %d reported so far", submission.id, len(list), len(submission.outcomes))
	}
}

// recoverAll ends all faults: the placer no longer crashes, and all hosts are up and listed.
func (r *durableRun) recoverAll() {
	r.crashesEnabled = false
	for _, name := range r.s.HostNames {
		r.recoverHost(name)
	}
	r.s.SendHostList()
}

// checkComplete fails the test unless a submission is complete and has an outcome for each task.
func (r *durableRun) checkComplete(submission *durableSubmission) {
	list, complete, _ := r.s.Core.Outcomes(submission.id, 0)
	if !complete || len(submission.outcomes) != submission.tasks {
		r.t.Fatalf("submission %s: complete = %v with outcomes %v, want true with an outcome for each of %d tasks", submission.id, complete, list, submission.tasks)
	}
}

// checkRemoval removes all projects and fails the test if a task still runs or an attempt is still stored removalTime
// later.
func (r *durableRun) checkRemoval() {
	for i := range maxProjects {
		r.s.Step(core.RemoveProject{Request: 10, Project: fmt.Sprintf("p%d", i)})
	}
	r.s.Advance(removalTime)
	if r.s.RunningTasks() != 0 {
		r.t.Fatalf("%d tasks run %v after all projects were removed, want 0", r.s.RunningTasks(), removalTime)
	}
	left := r.s.Disk.Values[durable.AttemptsBucket]
	if len(left) == 0 {
		return
	}
	const header = 5 // bytes of version and checksum before each stored value
	var attempts []string
	for key, value := range left {
		attempts = append(attempts, key+" "+string(value[header:]))
	}
	slices.Sort(attempts)
	r.t.Fatalf("%d attempts are stored %v after all projects were removed, want 0: %v", len(left), removalTime, attempts)
}
