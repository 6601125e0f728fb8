package forkhead

import "time"

// Tuned values of attempts and migrations.
const (
	attemptTimeout = 700 * time.Millisecond // an attempt unanswered for this long gets its machine probed
	probeBackoff   = 3 * attemptTimeout     // where placers are many, one that answered since is not probed
	// The estimate of the 95th percentile of the time from offer to bind: a start that takes longer raises
	// it by one part in startTimeP95Rise, any other lowers it by one in startTimeP95Fall.
	initialStartTimeP95                = 1500 * time.Millisecond
	startTimeP95Rise, startTimeP95Fall = 5, 100
	unresponsiveStarts                 = 2 // a start that takes so many times as long will not come
	// A task that gets less service than this is migrated where one of the first passes finds a machine.
	migrateBelow, migrationPasses = 0.5, 3
	maxMigrationsPerSecond        = 8               // off one machine, by all placers together
	migrationCooldown             = 2 * time.Second // until this placer uses the machine again
)

// retryIsHarmless says whether a task of the class may be sent to any machine though it may have run.
func (c *Class) retryIsHarmless() bool {
	return c.Effect == Safe || c.Effect == Keyed && c.DedupDomain == AnyDomain
}

// mayAttempt says whether the class's effect allows a further attempt.
func (p *Placer) mayAttempt(t *task) bool {
	class := &p.settings.Classes[t.Class]
	if t.firstMayRun == nil || class.Effect == Safe {
		return true
	}
	return class.Effect == Keyed && p.now < t.firstMayRun.sentAt+class.DedupWindow-deadlineMargin
}

// mayAbandon says whether an attempt that may have run can be withdrawn for another.
func (p *Placer) mayAbandon(t *task) bool {
	return p.settings.MayWithdraw && len(t.attempts) < p.settings.MaxAttempts &&
		p.settings.Classes[t.Class].retryIsHarmless()
}

func (p *Placer) offer(t *task, m *machine) {
	p.announceCapacity(p.startAttempt(t, m), reserved)
	if p.inSlowStart(m) {
		m.slowStartOffers = append(m.slowStartOffers, p.now) // withinSlowStartBudget drops the old ones
	}
	p.emit(Offer{Task: t.ID, Machine: m.ID})
	p.setTimer(timerAttempt, uint32(t.ID), attemptTimeout)
}

func (p *Placer) handleBound(event Bound) {
	a := p.activeAttempt(event.Task, event.Attempt)
	if a == nil {
		return
	}
	a.bound, a.machine.availableStale = true, true
	a.task.pending = false
	if event.Took > p.startTimeP95 {
		p.startTimeP95 += p.startTimeP95 / startTimeP95Rise
	} else {
		p.startTimeP95 -= p.startTimeP95 / startTimeP95Fall
	}
	p.clearOutlier(a.machine, a.task.Class)
	p.markHealthy(a.machine)
	p.reportErroredMachines(a.task)
	if p.settings.BoundWhenRunning {
		p.markRunning(a)
	}
}

func (p *Placer) handleOutcome(event Outcome) {
	a := p.activeAttempt(event.Task, event.Attempt)
	if a == nil {
		return
	}
	p.endAttempt(a)
	if a.bound {
		// A rejected offer stays announced: that keeps the others off a full machine until the list is newer.
		p.announceCapacity(a, released)
	}
	p.applyReport(a.machine, event.Report)
	p.recordHealth(a.machine, event.Result)
	a.errored = event.Result == Errored && !a.bound
	if event.Final || a.bound {
		a.task.pending = false
	}
	if event.Result == Rejected {
		p.recordRejection(a, event.Reason)
	}
	if a.task.firstMayRun == nil && event.Result.mayHaveRun() {
		a.task.firstMayRun = a
	}
	p.capacityChanged = true
	p.continueAfter(a.task, event.Result)
	p.forgetIfDone(a.task)
}

// mayHaveRun says whether a task whose attempt ended so may have run.
func (r Result) mayHaveRun() bool { return r != Rejected && r != ConnectFailed && r != NotSent }

// continueAfter makes the next attempt of a task whose last one has ended so, or finishes or queues it.
func (p *Placer) continueAfter(t *task, result Result) {
	if !t.pending {
		return
	}
	if p.now >= t.deadline-deadlineMargin {
		p.finish(t)
	} else if p.backsOff(t, result) || !p.place(t) {
		p.enqueue(t)
	}
}

// backsOff says whether a task waits before its next attempt: from the second rejection on, so that the
// attempts left spread over the time left. It guards against placers that all offer into the same full
// machines and use up their attempts before anything can change; it may hurt where capacity comes up
// within the backoff.
func (p *Placer) backsOff(t *task, result Result) bool {
	if result != Rejected || len(t.attempts) < 2 || p.seesPeerChanges() {
		return false
	}
	attemptsLeft := time.Duration(max(p.settings.MaxAttempts-len(t.attempts), 0))
	t.backoffUntil = p.now + p.jitter((t.deadline-p.now)/(attemptsLeft+1))
	return true
}

// checkAttempt looks after an attempt that has had no answer for a while.
func (p *Placer) checkAttempt(t *task) {
	if !t.pending || !p.hasAttemptInFlight(t) {
		return
	}
	a := t.attempts[len(t.attempts)-1]
	if p.now < a.sentAt+attemptTimeout {
		return
	}
	m := a.machine
	overdueAt := a.sentAt + unresponsiveStarts*max(attemptTimeout, p.startTimeP95)
	unresponsive := m.answeredAt > a.sentAt && p.now >= overdueAt
	if unresponsive && !a.unresponsive {
		a.unresponsive = true
		p.reportOutlier(m, t.Class)
	}
	if (unresponsive && p.isEjected(m, t.Class) || m.failures > 0) && p.mayAbandon(t) {
		p.emit(Withdraw{Task: t.ID, Attempt: a.number})
		return
	}
	if p.seesPeerChanges() || m.answeredAt <= a.sentAt || p.now > m.answeredAt+probeBackoff {
		p.probe(m)
	}
	p.setTimer(timerAttempt, uint32(t.ID), attemptTimeout)
}

// migrateIfPoorlyServed stops a task that gets little where another machine would serve it well: one for
// each note, and notes come about once a second. It guards against tasks stuck on a machine that is slow,
// crowded or misjudged; it may hurt where service was about to come back. Each placer migrates by its part
// of what is requested there: else all that have a task on the machine would migrate one each. The cooldown
// keeps the machine itself out of the search for another one, and holds whether or not there is one.
func (p *Placer) migrateIfPoorlyServed(a *attempt, level float64) {
	if level >= migrateBelow || a.task.pending {
		return
	}
	cores, _ := p.available(a.machine)
	ourPart := a.machine.reservedCores / (p.settings.MachineTypes[a.machine.Type].Cores - cores)
	if ourPart*maxMigrationsPerSecond < 1 && p.rng.Float64() > ourPart*maxMigrationsPerSecond {
		return
	}
	a.machine.backoffUntil = p.now + migrationCooldown
	if p.selectMachine(a.task, selectionPasses[:migrationPasses]) != nil {
		p.emit(Stop{Task: a.task.ID})
	}
}
