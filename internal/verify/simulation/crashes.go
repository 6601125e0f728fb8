package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"forkhead/internal/scheduler/core"
	"forkhead/internal/scheduler/durable"
)

// CrashCounts is how often the placer of a durable run crashed, by where.
type CrashCounts struct{ BeforeCommit, AfterCommit, AfterHalfOutputs, BetweenSteps, DuringRecovery int }

const (
	durableSettings   = "(owner (first 200ms) (wait 20s))"
	durableFaultTime  = 15 * time.Second // submissions and faults come for so long
	durableSettleTime = 35 * time.Second // after the faults, until all submissions must be complete
	maxProjects       = 200              // more than a run submits
)

// durableClasses are the classes of submissions; those listed twice are drawn twice as often.
var durableClasses = []string{"web", "keyed", "ledger", "ledger", "listing", "books"}

// durableRun is a run of RunDurable.
type durableRun struct {
	faultInjector
	t           TB
	crashing    bool // crash points are drawn
	recovering  bool // the placer is being restarted after a crash
	crashes     CrashCounts
	submitted   int // so far, acknowledged or not
	submissions []*durableSubmission
}

// durableSubmission is a submission that was acknowledged, as its client knows it.
type durableSubmission struct {
	id       string
	tasks    int
	outcomes map[string]core.OutcomeKind // that were reported, by replica
}

// RunDurable runs a random schedule, which the seed determines, in which the placer crashes again and again, at each point
// of a step that has durable records and while it recovers, as hosts crash, stop answering and come back. It fails t if a
// submission that was acknowledged is forgotten, if one of its tasks has no outcome, or another than was reported before, if
// an unsafe task runs twice, if a task or a stored attempt is left when all projects are removed, or on what
// RequireNoViolations finds.
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

// newDurableRun starts a placer that may crash at every step, and 4 to 7 hosts.
func newDurableRun(t TB, seed uint64) *durableRun {
	rng := rand.New(rand.NewPCG(seed, 99))
	s := NewDurable(t, Settings(t, durableSettings+Spread.extraSettings), 4+rng.IntN(4))
	s.Delay = time.Duration(1+rng.IntN(20)) * time.Millisecond
	r := &durableRun{faultInjector: faultInjector{s, rng}, t: t, crashing: true}
	s.NextCrash = r.nextCrash
	return r
}

// nextCrash draws and counts a crash point: at one in 25 steps, and at one in 3 of those of a recovery.
func (r *durableRun) nextCrash() CrashPoint {
	if !r.crashing || r.rng.IntN(25) > 0 && (!r.recovering || r.rng.IntN(3) > 0) {
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

// injectFaults does something to a host, or to the placer, again and again.
func (r *durableRun) injectFaults() {
	nothing := func(string) {}
	actions := []func(host string){ // each is as likely as another: one that is listed twice is drawn twice as often
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

// submit submits a project of its own.
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

func (r *durableRun) maybeRestartPlacer(string) {
	if r.rng.IntN(3) == 0 {
		r.crashes.BetweenSteps++
		r.s.RestartPlacer()
	}
}

// advance advances the clock and checks.
func (r *durableRun) advance(d time.Duration) {
	r.s.Advance(d)
	r.check()
}

// check restarts a placer that has crashed, and checks what clients and hosts see of it.
func (r *durableRun) check() {
	if r.s.Crashed() {
		r.recovering = true
		r.s.RestartPlacer()
		r.recovering = false
		if r.s.Crashed() {
			return // the next check restarts it again
		}
	}
	for _, submission := range r.submissions {
		r.checkOutcomes(submission)
	}
	r.s.RequireNoDuplicates()
}

// checkOutcomes fails the test if a submission, or an outcome that was reported, is forgotten or changed.
func (r *durableRun) checkOutcomes(submission *durableSubmission) {
	list, _, known := r.s.Core.Outcomes(submission.id, 0)
	if !known {
		r.t.Fatalf("submission %s, which was acknowledged, is forgotten", submission.id)
	}
	for _, o := range list {
		name := replicaName(o)
		if before, ok := submission.outcomes[name]; ok && before != o.Outcome {
			r.t.Fatalf("submission %s: %s was told %s and then %s", submission.id, name, before, o.Outcome)
		}
		submission.outcomes[name] = o.Outcome
	}
	if len(list) < len(submission.outcomes) {
		r.t.Fatalf("submission %s: %d outcomes were told and %d are left", submission.id, len(submission.outcomes), len(list))
	}
}

// recoverAll ends all faults.
func (r *durableRun) recoverAll() {
	r.crashing = false
	for _, name := range r.s.HostNames {
		r.recoverHost(name)
	}
	r.s.SendHostList()
}

// checkComplete fails the test unless a submission has an outcome for each task.
func (r *durableRun) checkComplete(submission *durableSubmission) {
	list, complete, _ := r.s.Core.Outcomes(submission.id, 0)
	if !complete || len(submission.outcomes) != submission.tasks {
		r.t.Fatalf("submission %s of %d tasks has outcomes %v; complete: %v", submission.id, submission.tasks, list, complete)
	}
}

// checkRemoval fails the test unless no task and no stored attempt is left when all projects are removed.
func (r *durableRun) checkRemoval() {
	for i := range maxProjects {
		r.s.Step(core.RemoveProject{Request: 10, Project: fmt.Sprintf("p%d", i)})
	}
	r.s.Advance(removalTime)
	if r.s.RunningTasks() != 0 {
		r.t.Fatalf("%d tasks run on", r.s.RunningTasks())
	}
	left := r.s.Disk.Values[durable.AttemptsBucket]
	if len(left) == 0 {
		return
	}
	const header = 5 // bytes of version and checksum ahead of a value
	var attempts []string
	for key, value := range left {
		attempts = append(attempts, key+" "+string(value[header:]))
	}
	slices.Sort(attempts)
	r.t.Fatalf("%d attempts are still noted: %v", len(left), attempts)
}
