package modelcheck

import "forkhead/internal/scheduler/hostsession"

// addHostActions adds the actions of a host: the host restarts, handles its attempts, crashes and drains.
func (l *actionList) addHostActions(hi int) {
	h := &l.state.hosts[hi]
	if !h.up {
		l.add(true, func(st *step) { st.s.hosts[hi].restart() }, "host %d comes back", hi)
		return
	}
	for ti := range l.model.cfg.Tasks {
		for ai := range maxAttempts {
			l.addHostAttemptActions(hi, ti, ai)
		}
	}
	if l.faultAllowed() {
		l.add(false, func(st *step) { st.crashHost(hi) }, "host %d dies", hi)
	}
	if !h.draining && l.faultAllowed() {
		l.add(false, func(st *step) { st.drainHost(hi) }, "host %d drains", hi)
	}
}

// addHostAttemptActions adds the actions of a host on one attempt.
func (l *actionList) addHostAttemptActions(hi, ti, ai int) {
	h := &l.state.hosts[hi]
	switch h.attempts[ti][ai] {
	case hostsession.Queued:
		if !h.draining && !h.holdsOther(ti, ai) {
			l.add(true, func(st *step) {
				st.applyHostInput(hi, ti, ai, hostsession.Accept)
				st.checkStart(ti, ai)
			}, "host %d accepts task %d", hi, ti)
		}
		l.addHostInput(true, hi, ti, ai, hostsession.Reject, "host %d refuses task %d", hi, ti)
	case hostsession.Starting:
		l.addHostInput(true, hi, ti, ai, hostsession.Start, "task %d runs on host %d", ti, hi)
	case hostsession.Running:
		if l.model.cfg.TasksEnd {
			l.addHostInput(false, hi, ti, ai, hostsession.Finish, "task %d ends on host %d", ti, hi)
		}
	}
}

func (l *actionList) addHostInput(fair bool, hi, ti, ai int, in hostsession.Input, format string, args ...any) {
	l.add(fair, func(st *step) { st.applyHostInput(hi, ti, ai, in) }, format, args...)
}

// holdsOther reports whether the host holds capacity for an attempt of the task other than the given one.
func (h *host) holdsOther(ti, ai int) bool {
	for other := range maxAttempts {
		if other != ai && h.attempts[ti][other].HoldsCapacity() {
			return true
		}
	}
	return false
}

// restart brings a crashed host up in a new epoch.
func (h *host) restart() {
	h.up = true
	h.epoch++
}

// crashHost crashes a host: its attempts and its session are lost, and its ends of the connections are closed.
func (st *step) crashHost(hi int) {
	h := &st.s.hosts[hi]
	h.up, h.sessionOpen, h.draining = false, false, false
	h.attempts = [maxTasks][maxAttempts]hostsession.State{}
	for i := range h.streams {
		h.streams[i].hostOpen = false
		h.streams[i].discardUndeliverable()
	}
	st.s.faults++
}

func (st *step) drainHost(hi int) {
	st.s.hosts[hi].draining = true
	st.s.faults++
}
