package modelcheck

import (
	"fmt"
	"time"

	"forkhead/internal/scheduler/attempt"
)

// model is the configuration of one search.
type model struct {
	stateMachines stateMachines
	rules         attempt.Rules
	cfg           Config
	formatNames   bool // actions get their names, which takes time: for traces only
}

// newModel returns the model without an injected bug.
func newModel(cfg Config) model {
	return model{
		stateMachines: productionStateMachines(), cfg: cfg,
		rules: attempt.Rules{Effect: cfg.Effect, DedupWindow: dedupWindow, MaxAttempts: maxRequestAttempts},
	}
}

// step is a transition that is being applied: it changes s, a copy of the state from which it leads.
type step struct {
	*model
	s         *state
	property  string // the first that the step breaks; "": none
	message   string // what breaks it
	queueFull bool   // a message queue was full: the step cannot be taken now
}

// violate records that the step breaks a property, unless it has broken one already.
func (st *step) violate(property, format string, args ...any) {
	if st.property == "" {
		st.property, st.message = property, fmt.Sprintf(format, args...)
	}
}

// The clock matters only in what has passed by: a task's time is before or after the end of its deduplication window, a
// host's before or after the end of its drain's grace.
const (
	beforeWindowEnd    = time.Second
	dedupWindow        = 10 * time.Second
	afterWindowEnd     = 60 * time.Second
	requestDeadline    = 100 * time.Second
	drainGrace         = time.Second / 4
	afterDrainGrace    = time.Second
	maxRequestAttempts = 2 // of one request
)

// now is the time as the task's window has it.
func (t *task) now() time.Duration {
	if t.windowExpired {
		return afterWindowEnd
	}
	return beforeWindowEnd
}

// request returns the task's present request in the form of package attempt. Its attempts are in buf.
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
		// A request beside an unknown attempt ends before the task's key expires.
		remaining, _ := st.stateMachines.mayRequest(&st.rules, beforeWindowEnd, 1, 0)
		if a.phase == attempt.Unknown && remaining > 0 {
			r.Deadline = beforeWindowEnd + remaining
		}
	}
	return r
}

// unknownAttempts counts the attempts of a task whose outcome the placer does not know.
func (st *step) unknownAttempts(t *task) int {
	n := 0
	for i := range t.attemptsMade() {
		if a := &t.attempts[i]; a.isKnown(st.s.incarnation) && a.phase == attempt.Unknown {
			n++
		}
	}
	return n
}

// isWanted reports whether a task's owner still wants it placed.
func (t *task) isWanted() bool { return t.owner == ownerWaiting || t.owner == ownerRequested }

// notifyOwner notifies a task's owner of an outcome. A task that was placed and lost is placed again without notice.
func (st *step) notifyOwner(t *task, o outcome) {
	if t.outcome == outcomeNone {
		t.outcome = o
		return
	}
	if t.outcome != outcomePlaced || o != outcomePlaced {
		st.violate("one-outcome", "a task that was told %d is told %d", t.outcome, o)
	}
}

// forEachUnsettled calls f for the attempts at a host that the placer knows and that are not settled.
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
