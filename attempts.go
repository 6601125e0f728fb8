package forkhead

import "time"

// Constants of attempts and migrations.
const (
	attemptTimeout = 700 * time.Millisecond // time without an answer to an offer until its machine is probed
	// If there are many placers, a machine is not probed for this time after it answered.
	probeBackoff = 3 * attemptTimeout
	// startTimeP95 estimates the 95th percentile of the time from offer to bind: a start that takes longer
	// raises it by 1/startTimeP95Rise, any other start lowers it by 1/startTimeP95Fall.
	initialStartTimeP95                = 1500 * time.Millisecond
	startTimeP95Rise, startTimeP95Fall = 5, 100
	unresponsiveStartFactor            = 2 // an attempt is unresponsive after this multiple of startTimeP95
	// A task with a service level below migrateBelow is migrated if one of the first migrationPasses
	// selection passes finds a machine for it.
	migrateBelow, migrationPasses = 0.5, 3
	maxMigrationsPerSecond        = 8               // for each machine, by all placers together
	migrationCooldown             = 2 * time.Second // no offers to the machine after a migration attempt
)

// retryIsHarmless reports whether a task of the class that may have run may be sent to any machine again.
func (c *Class) retryIsHarmless() bool {
	return c.Effect == Safe || c.Effect == Keyed && c.DedupDomain == AnyDomain
}

// mayAttempt reports whether the effect of the task's class allows a further attempt.
func (p *Placer) mayAttempt(t *task) bool {
	class := &p.settings.Classes[t.Class]
	if t.firstMayRun == nil || class.Effect == Safe {
		return true
	}
	return class.Effect == Keyed && p.now < t.firstMayRun.sentAt+class.DedupWindow-deadlineMargin
}

// mayAbandon reports whether an attempt that may have run can be withdrawn in favor of another one.
func (p *Placer) mayAbandon(t *task) bool {
	return p.settings.MayWithdraw && len(t.attempts) < p.settings.MaxAttempts &&
		p.settings.Classes[t.Class].retryIsHarmless()
}

func (p *Placer) offer(t *task, m *machine) {
	p.announceCapacity(p.startAttempt(t, m), reserved)
	if p.inSlowStart(m) {
		m.slowStartOffers = append(m.slowStartOffers, p.now) // withinSlowStartBudget removes old offers
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
	if event.Unconfirmed {
		a.unconfirmed = true
	} else {
		p.releaseAttempt(a)
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

// handleEndConfirmed releases what an attempt with an unconfirmed end still counts for.
func (p *Placer) handleEndConfirmed(event EndConfirmed) {
	t := p.tasks[event.Task]
	if t == nil || event.Attempt < 0 || event.Attempt >= len(t.attempts) {
		return
	}
	a := t.attempts[event.Attempt]
	if !a.unconfirmed {
		return
	}
	a.unconfirmed = false
	p.releaseAttempt(a)
	p.capacityChanged = true
	p.forgetIfDone(t)
}

// mayHaveRun reports whether a task may have run if its unbound attempt ended with the result.
func (r Result) mayHaveRun() bool { return r != Rejected && r != ConnectFailed && r != NotSent }

// continueAfter starts the next attempt of a task whose last attempt ended with the result, or finishes the
// task, or queues it.
func (p *Placer) continueAfter(t *task, result Result) {
	if !t.pending {
		return
	}
	if p.now >= t.deadline-deadlineMargin {
		p.finish(t)
	} else if p.backOffAfterRejection(t, result) || !p.place(t) {
		p.enqueue(t)
	}
}

// backOffAfterRejection delays the next attempt of a task from its second rejection on, and reports whether
// it did. The delay spreads the remaining attempts over the remaining time. Without it, many placers that
// offer to the same full machines would use up their attempts before any capacity is released. The cost:
// capacity that is released during the backoff is not used.
func (p *Placer) backOffAfterRejection(t *task, result Result) bool {
	if result != Rejected || len(t.attempts) < 2 || p.seesPeerChanges() {
		return false
	}
	attemptsLeft := time.Duration(max(p.settings.MaxAttempts-len(t.attempts), 0))
	t.backoffUntil = p.now + p.jitter((t.deadline-p.now)/(attemptsLeft+1))
	return true
}

// checkAttempt handles an attempt without an answer after attemptTimeout. It probes the machine. It reports
// the machine as an outlier if the machine answers other messages, but not this attempt. It withdraws the
// attempt if the task may be sent to another machine and this one is ejected or has failed a check.
func (p *Placer) checkAttempt(t *task) {
	if !t.pending || !p.hasAttemptInFlight(t) {
		return
	}
	a := t.attempts[len(t.attempts)-1]
	if p.now < a.sentAt+attemptTimeout {
		return
	}
	m := a.machine
	overdueAt := a.sentAt + unresponsiveStartFactor*max(attemptTimeout, p.startTimeP95)
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

// migrateIfPoorlyServed stops a task with a low service level if another machine has capacity to serve it
// well, so that it doesn't stay on a machine that is slow, crowded or misjudged. It migrates at most one
// task per note; each task causes about one note a second. The cost: a task may be migrated just before its
// service level recovers. Each placer migrates in proportion to its share of the cores requested on the
// machine; otherwise every placer with a task there would migrate a task at the same time. During
// migrationCooldown, the machine cannot be selected, not even for this task. The cooldown starts whether or
// not another machine is found.
func (p *Placer) migrateIfPoorlyServed(a *attempt, level float64) {
	if level >= migrateBelow || a.task.pending {
		return
	}
	cores, _ := p.available(a.machine)
	ourShare := a.machine.reservedCores / (p.settings.MachineTypes[a.machine.Type].Cores - cores)
	if ourShare*maxMigrationsPerSecond < 1 && p.rng.Float64() > ourShare*maxMigrationsPerSecond {
		return
	}
	a.machine.backoffUntil = p.now + migrationCooldown
	if p.selectMachine(a.task, selectionPasses[:migrationPasses]) != nil {
		p.emit(Stop{Task: a.task.ID})
	}
}
