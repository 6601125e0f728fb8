package modelcheck

import (
	"fmt"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostsession"
)

// Properties are the properties that a search checks, each with its name and a description. docs/design/attempts.md
// lists them; stored traces contain the names.
var Properties = []struct{ Name, Text string }{
	{"one-outcome", "In one incarnation of the placer, the owner of a task is notified of one outcome."},
	{"liveness", "In a state without a fair step, the owner of every task has been notified of an outcome; and fair steps form no cycle, so a fair run reaches such a state."},
	{"one-out", "No offer is written while another offer of the same placement request is waiting or unanswered."},
	{"no-repeat", "No offer of an unsafe task, or of a keyed task after its deduplication window, is written while an earlier attempt of any placement request or incarnation of the placer may run or may have run, unless the placer knows that the attempt has finished and the offer is of a new placement request; and no unsafe task starts while another start of it runs."},
	{"drain", "No offer is written to a host after the grace of a drain that the placer was notified of."},
	{"spread", "With a spread limit, no offer is written to a host that has as many attempts of the service, waiting, in flight, placed or unreachable, as the limit allows."},
	{"after-outcome", "No offer is written for a task whose owner was notified that it was rejected or that it failed."},
	{"promise", "The owner of an unsafe task is not notified of a rejection while an attempt of which the placer does not know the outcome may run, or after an attempt that may have run."},
	{"no-leak", "In a state without a fair step, every attempt is settled or placed, every task that a host holds is the placed task of an owner, and every placed task is held by its host."},
	{"absurd", "No host that follows its state machine sends a message that is a protocol violation to the placer's state machine."},
}

// mayRun reports whether an attempt may have started its task or may still start it. It looks at the state of the host
// and the messages in transit, not at what the placer knows.
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
		// An attempt that has ended does not count if an earlier incarnation of the placer made it: by the terms of the
		// service, the client has to judge such an attempt.
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

// checkOffer checks an offer that is written in this step.
func (st *step) checkOffer(ti, ai int) {
	t := &st.s.tasks[ti]
	hi := int(t.attempts[ai].host)
	if st.s.hosts[hi].drainView == drainGraceOver {
		st.violate("drain", "an offer is written to a host after the grace of its drain")
	}
	if st.atSpreadLimit(hi, ti, ai) {
		st.violate("spread", "an offer is written to a host that is at its spread limit")
	}
	if t.outcome == outcomeRejected || t.outcome == outcomeFailed {
		st.violate("after-outcome", "an offer is written for a task whose owner was notified of a rejection or a failure")
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
		// Stored traces and internal/cli/testdata contain this text. An ask is a placement request; out means in flight.
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
		return // hosts recognize the repeated start by the task's key and drop it
	case !st.mayRun(ti, other):
		return
	}
	o := &t.attempts[other]
	knownFinished := o.isKnown(st.s.incarnation) && o.phase == attempt.Finished
	if !knownFinished || o.request == t.attempts[ai].request {
		st.violate("no-repeat", "an offer is written while attempt %d, which the placer has as %v, may run or may have run", other, o.phaseName())
	}
}

func (a *taskAttempt) phaseName() string {
	if a.phase == forgotten {
		return "forgotten"
	}
	return a.phase.String()
}

// checkStart checks, when an attempt of an unsafe task starts, that no other attempt of the task runs.
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

// checkRejection checks that a task's owner may be notified of a rejection, which states that a further request is
// harmless.
func (st *step) checkRejection(ti int) {
	if st.rules.RetryIsHarmless() {
		return
	}
	t := &st.s.tasks[ti]
	for ai := range t.attemptsMade() {
		a := &t.attempts[ai]
		switch {
		case !a.isKnown(st.s.incarnation):
		case a.phase == attempt.Unknown && st.mayRun(ti, ai):
			st.violate("promise", "the owner is notified of a rejection while attempt %d may run", ai)
		case a.phase == attempt.Finished:
			st.violate("promise", "the owner is notified of a rejection after attempt %d may have run", ai)
		}
	}
}

// checkEndState checks a state without a fair step, from which only a fault, a timer or the module leads on. It returns
// the property that is violated and a description of the violation, or "" and "".
func (m *model) checkEndState(s *state) (property, message string) {
	for ti := range m.cfg.Tasks {
		if s.tasks[ti].outcome == outcomeNone {
			return "liveness", fmt.Sprintf("the owner of task %d is never notified of an outcome", ti)
		}
		if message := s.findLeak(ti); message != "" {
			return "no-leak", message
		}
	}
	return "", ""
}

// findLeak returns a description of how a task violates the property no-leak in a state without a fair step, or "".
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
			return fmt.Sprintf("attempt %d of task %d stays %v forever", ai, ti, a.phase)
		}
		owned := placed && t.owner == ownerPlaced
		runs := s.holdsCapacity(ti, ai)
		if runs && !owned {
			return fmt.Sprintf("attempt %d of task %d runs, but is not placed for an owner", ai, ti)
		}
		if owned && !runs && s.hosts[a.host].up {
			return fmt.Sprintf("attempt %d of task %d is placed, but its host does not hold it", ai, ti)
		}
	}
	return ""
}
