package modelcheck

import (
	"slices"

	"forkhead"

	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostconn"
)

// addOwnerActions adds the actions of a task's owner, which requests the task and gives up, and the actions of the
// task's timers. Two periods may end at any time: the deduplication window, and the time after which an unreachable
// attempt counts as lost.
func (l *actionList) addOwnerActions(ti int) {
	t := &l.state.tasks[ti]
	if t.owner == ownerWaiting {
		if l.mayRequest(t) {
			l.add(true, func(st *step) { st.openRequest(ti) }, "task %d is asked for", ti)
		}
		l.add(true, func(st *step) { st.giveUp(ti) }, "the owner of task %d gives up", ti)
	}
	if !t.windowExpired && l.model.rules.Effect == forkhead.Keyed && t.attemptCount > 0 {
		l.add(false, func(st *step) { st.s.tasks[ti].windowExpired = true }, "hosts forget the key of task %d", ti)
	}
	if l.model.rules.ExpiresWhenUnreachable() {
		l.addExpiries(ti)
	}
}

// mayRequest reports whether a task's owner may request the task now.
func (l *actionList) mayRequest(t *task) bool {
	allHostsListed := true
	for hi := range l.model.cfg.Hosts {
		allHostsListed = allHostsListed && l.state.hosts[hi].knownEpoch > 0
	}
	// The model has no limit on the time that an owner waits for hosts that stay down: the owner waits for all hosts.
	const waited = false
	m := l.model
	st := step{model: m, s: l.state}
	_, allowed := m.stateMachines.mayRequest(&m.rules, t.now(), st.unknownAttempts(t), 0)
	return int(t.requests) < m.cfg.Requests && allowed && !m.stateMachines.mustWaitForHosts(&m.rules, allHostsListed, waited)
}

// addExpiries adds, for each unreachable attempt of a task, the expiry by which it counts as lost.
func (l *actionList) addExpiries(ti int) {
	t := &l.state.tasks[ti]
	for ai := range t.attemptsMade() {
		if a := &t.attempts[ai]; a.isKnown(l.state.incarnation) && a.phase == attempt.Unreachable {
			l.add(true, func(st *step) { st.applyInput(ti, ai, attempt.Expired) }, "task %d on host %d counts as lost", ti, a.host)
		}
	}
}

// openRequest opens a placement request. With the injected bug retryForever, only a task's first request is counted.
func (st *step) openRequest(ti int) {
	t := &st.s.tasks[ti]
	t.owner = ownerRequested
	if !st.stateMachines.retryForever || t.requests == 0 {
		t.requests++
	}
}

// giveUp makes an owner stop waiting for a task, and notifies the owner of an outcome unless the task already has one.
func (st *step) giveUp(ti int) {
	t := &st.s.tasks[ti]
	t.owner = ownerDone
	if t.outcome != outcomeNone {
		return
	}
	if !st.stateMachines.abandonedIsRejected(&st.rules, t.lastRejected, t.attemptCount > 0, st.attemptsMayHaveRun(t)) {
		st.notifyOwner(t, outcomeFailed)
		return
	}
	st.checkRejection(ti)
	st.notifyOwner(t, outcomeRejected)
}

// addModuleActions adds every legal action of the module on a task.
func (l *actionList) addModuleActions(ti int) {
	t := &l.state.tasks[ti]
	if t.owner != ownerRequested {
		return
	}
	st := step{model: l.model, s: l.state}
	var buf [maxAttempts]attempt.Attempt
	r := st.request(t, &buf)
	l.addOffers(ti, &r)
	l.addAnswer(ti, &r, true, "module refuses task %d")
	l.addAnswer(ti, &r, false, "module fails task %d")
	if r.HasAttemptInFlight() {
		l.add(false, func(st *step) { st.withdrawRequest(ti) }, "module withdraws task %d", ti)
	}
}

// addOffers adds the legal offers of a task.
func (l *actionList) addOffers(ti int, r *attempt.Request) {
	t := &l.state.tasks[ti]
	if int(t.attemptCount) >= l.model.cfg.Attempts {
		return
	}
	st := step{model: l.model, s: l.state}
	for hi := range l.model.cfg.Hosts {
		h := &l.state.hosts[hi]
		switch {
		case h.connState == hostconn.Down: // the attempt would end at once
		case st.drainGraceExpired(h):
		case l.model.stateMachines.mayOffer(r, t.now(), attempt.HostID(hi)) != nil:
		case st.atSpreadLimit(hi, noAttempt, noAttempt):
		default:
			l.add(false, func(st *step) { st.offer(ti, hi) }, "module offers task %d to host %d", ti, hi)
		}
	}
}

// addAnswer adds the rejection or the failure of a request, if it is legal after the attempts in flight are withdrawn.
// It is a fair action, because the request's deadline may be reached at any time.
func (l *actionList) addAnswer(ti int, r *attempt.Request, reject bool, format string) {
	withdrawn := *r
	withdrawn.Attempts = slices.Clone(r.Attempts)
	for i := range withdrawn.Attempts {
		if a := &withdrawn.Attempts[i]; a.Phase.IsInFlight() {
			a.Phase, _ = l.model.stateMachines.transition(a.Phase, attempt.Abandoned)
		}
	}
	if l.model.stateMachines.mayAnswer(&withdrawn, reject) != nil {
		return
	}
	l.add(true, func(st *step) {
		st.withdrawRequest(ti)
		t := &st.s.tasks[ti]
		t.owner, t.lastRejected = ownerWaiting, reject
	}, format, ti)
}
