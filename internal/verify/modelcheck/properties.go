package modelcheck

import (
	"fmt"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostsession"
)

// Properties are what a search checks: the name of each, and what it says.
var Properties = []struct{ Name, Text string }{
	{"one-outcome", "A task is told one outcome in one life of its placer."},
	{"liveness", "Where nothing fair is left to happen, every task has been told its outcome; and fair steps never lead round in a circle, so a fair run comes there."},
	{"one-out", "No offer is written while another of the same ask is waiting or unanswered."},
	{"no-repeat", "No offer of an unsafe task, or of a keyed one after its window, is written while an earlier attempt of any ask or life may run or have run, unless the placer knows that it is over and the ask is a new one; and no unsafe task starts while another start of it runs."},
	{"drain", "No offer is written to a host after the grace of a drain that the placer was told of."},
	{"spread", "Where the search has a spread, no offer is written to a host that has as many of the service's tasks, waiting, out, placed or silent, as it may."},
	{"after-outcome", "No offer is written for a task that was told refused or failed."},
	{"promise", "No unsafe task is told refused while an attempt that the placer does not know the fate of may run."},
	{"no-leak", "Where nothing fair is left to happen, every attempt is settled or placed, every task that a host holds is some owner's placed one, and every placed one is held."},
	{"absurd", "No host that follows its machine says what the placer's machine calls absurd."},
}

// mayRun reports whether an attempt may have started its task, or may yet, whatever the placer knows of it: it looks at
// what really is at the host and in transit.
func (st *step) mayRun(ti, ai int) bool {
	a := &st.s.tasks[ti].attempts[ai]
	h := &st.s.hosts[a.host]
	if !h.up {
		return false
	}
	switch h.attempts[ti][ai] {
	case hostsession.Queued, hostsession.Starting, hostsession.Running:
		return true
	case hostsession.Ended:
		// What ended in an earlier incarnation of the placer is its client's to judge, by the terms.
		return a.isKnown(st.s.incarnation)
	}
	for i := range h.streams {
		if h.streams[i].willDeliver(newMessage(offerMessage, ti, ai)) {
			return true
		}
	}
	return false
}

// willDeliver reports whether a message is in transit to the host.
func (s *stream) willDeliver(m message) bool {
	if !s.hostOpen || s.broken {
		return false
	}
	for i := range s.toHostCount {
		if s.toHost[i] == m {
			return true
		}
	}
	return false
}

// checkOffer checks an offer that is being written.
func (st *step) checkOffer(ti, ai int) {
	t := &st.s.tasks[ti]
	hi := int(t.attempts[ai].host)
	if st.s.hosts[hi].drainView == drainGraceOver {
		st.violate("drain", "an offer to a host after the grace of its drain")
	}
	if st.atSpreadLimit(hi, ti, ai) {
		st.violate("spread", "an offer to a host that has as many of its service as it may")
	}
	if t.outcome == outcomeRejected || t.outcome == outcomeFailed {
		st.violate("after-outcome", "an offer of a task that was told its outcome")
	}
	for other := range t.attemptsMade() {
		if other != ai {
			st.checkOneInFlight(t, ai, other)
			st.checkNoRepeat(ti, ai, other)
		}
	}
}

// checkOneInFlight checks an offer against another attempt of its request.
func (st *step) checkOneInFlight(t *task, ai, other int) {
	o := &t.attempts[other]
	if o.isKnown(st.s.incarnation) && o.request == t.attempts[ai].request && o.phase.IsInFlight() {
		st.violate("one-out", "an offer while another of the same ask is out")
	}
}

// checkNoRepeat checks an offer against another attempt of its task, of any request and incarnation.
func (st *step) checkNoRepeat(ti, ai, other int) {
	t := &st.s.tasks[ti]
	switch {
	case st.rules.Effect == forkhead.Safe:
		return
	case st.rules.Effect == forkhead.Keyed && !t.windowExpired:
		return // hosts drop the repeat
	case !st.mayRun(ti, other):
		return
	}
	o := &t.attempts[other]
	knownFinished := o.isKnown(st.s.incarnation) && o.phase == attempt.Finished
	if !knownFinished || o.request == t.attempts[ai].request {
		st.violate("no-repeat", "an offer while attempt %d, which the placer has as %v, may run or have run", other, o.phaseName())
	}
}

func (a *taskAttempt) phaseName() string {
	if a.phase == forgotten {
		return "forgotten"
	}
	return a.phase.String()
}

// checkStart checks that an attempt starts while no other of its task runs, where the task is unsafe.
func (st *step) checkStart(ti, ai int) {
	if st.rules.Effect != forkhead.Unsafe {
		return
	}
	for other := range st.s.tasks[ti].attemptsMade() {
		if other != ai && st.s.holdsCapacity(ti, other) {
			st.violate("no-repeat", "an unsafe task starts while another start of it runs")
		}
	}
}

// holdsCapacity reports whether an attempt holds capacity at its host.
func (s *state) holdsCapacity(ti, ai int) bool {
	h := &s.hosts[s.tasks[ti].attempts[ai].host]
	return h.up && h.attempts[ti][ai].HoldsCapacity()
}

// checkRejection checks the rejection of a task, which means that a further request is harmless.
func (st *step) checkRejection(ti int) {
	if st.rules.RetryIsHarmless() {
		return
	}
	t := &st.s.tasks[ti]
	for ai := range t.attemptsMade() {
		a := &t.attempts[ai]
		if a.isKnown(st.s.incarnation) && a.phase == attempt.Unknown && st.mayRun(ti, ai) {
			st.violate("promise", "a task is told refused while attempt %d may run", ai)
		}
	}
}

// checkEndState checks a state without a fair step: nothing more happens there unless a fault or the module makes it. It
// returns the property that does not hold and what breaks it, or "" and "".
func (m *model) checkEndState(s *state) (property, message string) {
	for ti := range m.cfg.Tasks {
		if s.tasks[ti].outcome == outcomeNone {
			return "liveness", fmt.Sprintf("task %d is never told an outcome", ti)
		}
		if message := s.findLeak(ti); message != "" {
			return "no-leak", message
		}
	}
	return "", ""
}

// findLeak returns what breaks the property no-leak for a task in a state without a fair step, or "".
func (s *state) findLeak(ti int) string {
	t := &s.tasks[ti]
	placements := 0
	for ai := range t.attemptsMade() {
		a := &t.attempts[ai]
		known := a.isKnown(s.incarnation)
		placed := known && a.phase == attempt.Placed
		if placed {
			placements++
		}
		if placements > 1 {
			return fmt.Sprintf("task %d is placed twice", ti)
		}
		if known && !placed && !a.phase.IsSettled() {
			return fmt.Sprintf("attempt %d of task %d stays %v for good", ai, ti, a.phase)
		}
		owned := placed && t.owner == ownerPlaced
		runs := s.holdsCapacity(ti, ai)
		if runs && !owned {
			return fmt.Sprintf("attempt %d of task %d runs on, and nobody has it", ai, ti)
		}
		if owned && !runs && s.hosts[a.host].up {
			return fmt.Sprintf("attempt %d of task %d is placed, and its host does not have it", ai, ti)
		}
	}
	return ""
}
