package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/core"
)

// Mix determines which classes a run of RunRandom submits, and how often its placer is restarted.
type Mix struct {
	Name          string
	classes       []string // submissions draw from these classes; a class that is listed twice is drawn twice as often
	extraSettings string   // clauses that are added to the settings
	restartOneIn  int      // a restart action restarts the placer with a probability of 1/restartOneIn
}

// The mixes. Ordinary submits tasks of every class. In Spread, nearly all tasks have a spread limit and the placer is
// restarted often.
var (
	Ordinary = Mix{"ordinary", []string{"web", "keyed", "cell", "ledger", "ledger", "batch"}, "", 6}
	Spread   = Mix{"spread", []string{"listing", "listing", "listing", "batch", "books"}, `
		(class listing (effect keyed) (window 8s) (wait 2s) (patience 6s) (spread rack 2))
		(class books (effect unsafe) (wait 2s) (patience 20s) (spread machine 2))`, 2}
	Mixes = []Mix{Ordinary, Spread}
)

const (
	randomSettings = "(owner (first 200ms) (wait 20s)) (cold (for 2s) (window 500ms) (offers 12))"
	randomProjects = 6                     // number of project names that runs submit and remove
	faultTime      = 25 * time.Second      // duration of submissions and faults
	settleTime     = 30 * time.Second      // time from the end of the faults until all submissions must be complete
	checkInterval  = 25 * time.Millisecond // time between two checks during the settle time
	removalTime    = 20 * time.Second      // time from the removal of all projects until no task may run
	maxOutcomeTime = 41 * time.Second      // covers the attempt timeouts to end an old copy of a task and to start the new one
)

// randomRun is the state of a run of RunRandom.
type randomRun struct {
	faultInjector
	t           TB
	mix         Mix
	submitted   int // number of submissions so far, accepted or not
	submissions []randomSubmission
}

// randomSubmission is a submission that was accepted.
type randomSubmission struct {
	id    string
	epoch uint64 // epoch of the placer incarnation that accepted it; later incarnations do not know the submission
}

// RunRandom runs a random schedule that is determined by the seed: projects are submitted, changed and removed while
// hosts crash, stop answering, drain and come back, frames are lost with their connections, and the placer is
// restarted. It fails t if the core vetoes an output or logs an invariant violation, if a task has two outcomes or none
// in time, if an unsafe task runs twice, if the placer's traffic breaks a rule, or if the core's tables are not empty
// after all projects are removed.
func RunRandom(t TB, mix Mix, seed uint64) {
	r := newRandomRun(t, mix, seed)
	r.injectFaults()
	r.recoverAll()
	for range settleTime / checkInterval {
		r.s.Advance(checkInterval)
		r.s.RequireNoDuplicates()
	}
	for _, submission := range r.submissions {
		if submission.epoch == r.s.Epoch {
			r.checkOutcomes(submission.id)
		}
	}
	r.checkRemoval()
	r.s.RequireNoViolations()
}

// newRandomRun starts a placer and 4 to 8 hosts. Random frames are lost, each with its connection.
func newRandomRun(t TB, mix Mix, seed uint64) *randomRun {
	rng := rand.New(rand.NewPCG(seed, 77))
	s := New(t, Settings(t, randomSettings+mix.extraSettings), 4+rng.IntN(5))
	s.Delay = time.Duration(1+rng.IntN(30)) * time.Millisecond
	lossRate := rng.Float64() * 0.02
	deliver := func(host string, _ hostproto.Frame) bool {
		if rng.Float64() < lossRate { // TCP loses a frame only with its connection
			s.After(0, func() { s.ResetConnections(host) })
			return false
		}
		return true
	}
	s.ToHost, s.FromHost = deliver, deliver
	return &randomRun{faultInjector: faultInjector{s, rng}, t: t, mix: mix}
}

// injectFaults performs random actions (submissions, removals and faults of a host or the placer) for faultTime.
func (r *randomRun) injectFaults() {
	actions := []func(host string){ // drawn evenly; an action that is listed twice is drawn twice as often
		r.submit, r.submit, r.submit, r.submit,
		r.removeProject,
		r.s.ResetConnections,
		func(host string) { r.crashHost(host, 3000) },
		func(host string) { r.blackhole(host, 5000) },
		r.setRandomDrain,
		func(host string) { r.pauseHost(host, 1500) },
		func(string) { r.s.SendHostList() },
		r.maybeRestartPlacer,
		r.toggleListed,
		func(host string) { r.s.Hosts[host].Model.SuppressStarts(r.s.Now, 2*time.Second, "web") },
	}
	for end := r.s.Now + faultTime; r.s.Now < end; {
		host := r.randomHost()
		actions[r.rng.IntN(len(actions))](host)
		for range r.rng.IntN(20) {
			r.s.Advance(r.randomMS(40))
			r.s.RequireNoDuplicates()
		}
	}
}

// submit submits a new project or a new version of an earlier one. A quarter of the submissions have a second service
// that is placed near the first.
func (r *randomRun) submit(string) {
	r.submitted++
	text := fmt.Sprintf("name: p%d\nservices:\n  a: {x-forkhead: {class: %s, life: %dms}, deploy: {replicas: %d, restart_policy: {condition: on-failure}, resources: {reservations: {cpus: '%.1f'}}}}\n",
		r.rng.IntN(r.submitted+1)%randomProjects, r.mix.classes[r.rng.IntN(len(r.mix.classes))], 500+r.rng.IntN(6000), 1+r.rng.IntN(6), 0.2+r.rng.Float64()*2)
	if r.rng.IntN(4) == 0 {
		text += fmt.Sprintf("  b: {x-forkhead: {near: {a: %s}, life: 3s}, deploy: {replicas: %d, restart_policy: {condition: on-failure}}}\n",
			[]string{"machine", "rack", "zone"}[r.rng.IntN(3)], 1+r.rng.IntN(3))
	}
	if id := r.s.Submit(fmt.Sprintf("k%d", r.submitted), text); id != "" {
		r.submissions = append(r.submissions, randomSubmission{id, r.s.Epoch})
	}
}

// removeProject removes a random project, which may not exist.
func (r *randomRun) removeProject(string) {
	r.s.Step(core.RemoveProject{Request: 9, Project: fmt.Sprintf("p%d", r.rng.IntN(randomProjects))})
}

// setRandomDrain makes a host start or stop draining. It draws both the change and whether the running tasks end.
func (r *randomRun) setRandomDrain(host string) {
	on := r.rng.IntN(2) == 0
	r.s.ExecuteHostOutputs(host, r.s.Hosts[host].Model.Drain(r.s.Now, on, r.rng.IntN(2) == 0))
}

// maybeRestartPlacer restarts the placer with a probability of 1/restartOneIn.
func (r *randomRun) maybeRestartPlacer(string) {
	if r.rng.IntN(r.mix.restartOneIn) == 0 {
		r.s.RestartPlacer()
	}
}

// toggleListed removes a host that is down from the endpoint list, or adds a removed host again, and sends the list.
func (r *randomRun) toggleListed(host string) {
	h := r.s.Hosts[host]
	h.Listed = !h.Listed || !h.Model.Dead()
	r.s.SendHostList()
}

// recoverAll ends all faults: no frame is lost any more, and all hosts are up, listed and not draining.
func (r *randomRun) recoverAll() {
	r.s.ToHost, r.s.FromHost = nil, nil
	for _, name := range r.s.HostNames {
		r.recoverHost(name)
		r.s.ExecuteHostOutputs(name, r.s.Hosts[name].Model.Drain(r.s.Now, false, false))
	}
	r.s.SendHostList()
}

// checkOutcomes fails the test unless a submission is complete and each of its tasks has one outcome, within
// maxOutcomeTime.
func (r *randomRun) checkOutcomes(id string) {
	list, complete, known := r.s.Core.Outcomes(id, 0)
	seen := map[string]bool{}
	for _, o := range list {
		name := replicaName(o)
		if seen[name] {
			r.t.Fatalf("Outcomes(%s): task %s has two outcomes, want one", id, name)
		}
		seen[name] = true
		if took := time.Duration(o.TookMS) * time.Millisecond; took > maxOutcomeTime {
			r.t.Fatalf("Outcomes(%s): outcome of task %s took %v, want at most %v", id, name, took, maxOutcomeTime)
		}
	}
	if !complete || !known {
		r.t.Fatalf("Outcomes(%s): complete = %v, known = %v, want true for both; outcomes %+v", id, complete, known, list)
	}
}

// checkRemoval removes all projects and fails the test unless, removalTime later, no task runs and the core's tables
// are empty except for the hosts.
func (r *randomRun) checkRemoval() {
	for i := range randomProjects + 1 {
		r.s.Step(core.RemoveProject{Request: 10, Project: fmt.Sprintf("p%d", i)})
	}
	r.s.Advance(removalTime)
	if sizes := r.s.Core.TableSizes(); sizes != (core.TableSizes{Hosts: sizes.Hosts}) || r.s.RunningTasks() != 0 {
		r.t.Fatalf("%v after all projects were removed: got table sizes %+v and %d running tasks, want 0 except for hosts", removalTime, sizes, r.s.RunningTasks())
	}
}
