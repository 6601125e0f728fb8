package modelcheck

import (
	"fmt"
	"time"

	"forkhead/internal/scheduler/attempt"
)

// model is the system that a search explores.
type model struct {
	stateMachines stateMachines
	rules         attempt.Rules
	cfg           Config
	formatNames   bool // whether names of actions are formatted, which takes time; only traces need the names
}

// newModel returns the model without an injected bug.
func newModel(cfg Config) model {
	return model{
		stateMachines: productionStateMachines(), cfg: cfg,
		rules: attempt.Rules{Effect: cfg.Effect, DedupWindow: dedupWindow, MaxAttempts: maxRequestAttempts},
	}
}

// step is a transition that is being applied. It changes the field s, which is a copy of the state before the
// transition.
type step struct {
	*model
	s         *state
	property  string // the first property that the step violates; "": none
	message   string // describes the violation
	queueFull bool   // a message queue is full or no stream is free: the step is not possible in this state
}

// violate records that the step violates a property, unless it has violated one already.
func (st *step) violate(property, format string, args ...any) {
	if st.property == "" {
		st.property, st.message = property, fmt.Sprintf(format, args...)
	}
}

// The model has no clock, only two points in time for each period: before and after the end of a task's deduplication
// window, and before and after the end of the grace period of a host's drain.
const (
	beforeWindowEnd    = time.Second
	dedupWindow        = 10 * time.Second
	afterWindowEnd     = 60 * time.Second
	requestDeadline    = 100 * time.Second
	drainGrace         = time.Second / 4
	afterDrainGrace    = time.Second
	maxRequestAttempts = 2 // attempts that one request may have
)

// now returns a time before or after the end of the task's deduplication window.
func (t *task) now() time.Duration {
	if t.windowExpired {
		return afterWindowEnd
	}
	return beforeWindowEnd
}

// request returns the task's current request as a value of package attempt. Its attempts are stored in buf.
func (st *step) request(t *task, buf *[maxAttempts]attempt.Attempt) attempt.Request {
	r := attempt.Request{Rules: st.rules, Deadline: requestDeadline, Attempts: buf[:0]}
	for i := range t.attemptsMade() {
		a := &t.attempts[i]
		if !a.isKnown(st.s.incarnation) {
			continue
		}
		if a.request == t.requests {
			r.Attempts = append(r.Attempts, attempt.Attempt{Host: attempt.HostID(a.host), Phase: a.phase})
			continue
		}
		// If an attempt of an earlier request is unknown, the current request must end before the task's deduplication
		// key expires.
		remaining, _ := st.stateMachines.mayRequest(&st.rules, beforeWindowEnd, 1, 0)
		if a.phase == attempt.Unknown && remaining > 0 {
			r.Deadline = beforeWindowEnd + remaining
		}
	}
	return r
}

// unknownAttempts returns the number of a task's attempts that are in phase Unknown at the placer.
func (st *step) unknownAttempts(t *task) int {
	n := 0
	for i := range t.attemptsMade() {
		if a := &t.attempts[i]; a.isKnown(st.s.incarnation) && a.phase == attempt.Unknown {
			n++
		}
	}
	return n
}

// attemptsMayHaveRun returns the number of a task's attempts that, as far as the placer knows, may have run.
func (st *step) attemptsMayHaveRun(t *task) int {
	n := 0
	for i := range t.attemptsMade() {
		if a := &t.attempts[i]; a.isKnown(st.s.incarnation) && a.phase.MayHaveRun() {
			n++
		}
	}
	return n
}

// isWanted reports whether a task's owner still wants the task placed.
func (t *task) isWanted() bool { return t.owner == ownerWaiting || t.owner == ownerRequested }

// notifyOwner notifies a task's owner of an outcome. If a task was placed and lost, the owner is not notified a second
// time when the task is placed again.
func (st *step) notifyOwner(t *task, o outcome) {
	if t.outcome == outcomeNone {
		t.outcome = o
		return
	}
	if t.outcome != outcomePlaced || o != outcomePlaced {
		st.violate("one-outcome", "an owner that was notified of outcome %d is notified of outcome %d", t.outcome, o)
	}
}

// forEachUnsettled calls f for each attempt at a host that the placer knows and that is not settled.
func (st *step) forEachUnsettled(hi int, f func(ti, ai int)) {
	for ti := range st.cfg.Tasks {
		t := &st.s.tasks[ti]
		for ai := range t.attemptsMade() {
			if a := &t.attempts[ai]; a.isKnown(st.s.incarnation) && int(a.host) == hi && !a.phase.IsSettled() {
				f(ti, ai)
			}
		}
	}
}
