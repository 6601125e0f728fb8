package platformmodel

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// ownerRig is an owner with the test as its placer.
type ownerRig struct {
	t      *testing.T
	owner  *Owner
	now    time.Duration
	conn   ConnID             // latest connection that the owner has opened
	closed bool               // the owner has closed conn
	sent   []platform.Message // messages that the owner has sent, except for probes
}

// newOwnerRig returns an owner with one request, which it has submitted.
func newOwnerRig(t *testing.T, class int, releaseAfter time.Duration) *ownerRig {
	t.Helper()
	r := &ownerRig{t: t, now: testStart}
	conns := ConnID(0)
	r.owner = NewOwner(OwnerConfig{
		Classes: testClasses, MaxSubmissions: 3, AnswerGrace: 100 * time.Millisecond,
		Requests: []Request{{At: testStart, Class: class, Cores: 1, Memory: 1, Timeout: second, ReleaseAfter: releaseAfter}},
	}, testStart, func() ConnID { conns++; return conns })
	r.handleActions(r.owner.PlacerStarted(r.now, 0))
	return r
}

// handleActions records the actions of the owner. It opens the connections that the owner makes and answers its probes.
func (r *ownerRig) handleActions(actions []Action) {
	r.t.Helper()
	for _, a := range actions {
		switch a := a.(type) {
		case Connect:
			r.conn, r.closed = a.Conn, false
			r.handleActions(r.owner.ConnectionOpened(r.now, a.Conn, 0))
		case Close:
			r.closed = true
		case Send:
			m, err := platform.Decode(bytes.TrimSuffix(a.Data, []byte("\n")))
			if err != nil {
				r.t.Fatalf("Decode(%q) of a message of the owner: %v", a.Data, err)
			}
			if m.Type == platform.TypeProbe {
				r.answer(platform.TypeProbeResult, m.Ref, platform.CauseHealthy)
			} else {
				r.sent = append(r.sent, m)
			}
		}
	}
}

// answer passes a message of the placer to the owner on its latest connection.
func (r *ownerRig) answer(kind platform.MessageType, ref string, cause platform.Cause) {
	r.handleActions(r.owner.Received(r.now, r.conn, platform.Append(nil, kind, ref, cause, boundDescription("s-00000001", ref))))
}

// advance lets time pass and steps the owner whenever a timer is due.
func (r *ownerRig) advance(d time.Duration) {
	for end := r.now + d; r.now < end; r.handleActions(r.owner.Step(r.now)) {
		r.now = min(end, max(r.owner.Next(), r.now+1))
	}
}

func (r *ownerRig) lastSent() platform.Message { return r.sent[len(r.sent)-1] }

// wantOutcome checks the outcome of the request and the number of messages that the owner has sent.
func (r *ownerRig) wantOutcome(outcome Outcome, messages int) {
	r.t.Helper()
	if got := r.owner.Reports()[0]; got.Outcome != outcome || len(r.sent) != messages {
		r.t.Errorf("got report %+v and %d sent messages, want outcome %v and %d messages", got, len(r.sent), outcome, messages)
	}
}

// A request is submitted again under another ref after a rejection, and after a failure if its class allows that. After
// a failure the request is marked as resubmitted, as it may have run; after a rejection it is not.
func TestOwnerResubmitsAfterRejectionOrRetryableFailure(t *testing.T) {
	for _, c := range []struct {
		class    int
		cause    platform.Cause
		wait     time.Duration // time before the answer
		outcome  Outcome
		messages int
	}{
		{0, platform.CauseRejected, 0, OutcomeOpen, 2},
		{2, platform.CauseBusy, 0, OutcomeOpen, 2},
		{2, platform.CauseNotSent, 0, OutcomeOpen, 2},
		{0, platform.CauseFailed, 0, OutcomeOpen, 2},
		{1, platform.CauseReset, 0, OutcomeOpen, 2},
		{2, platform.CauseFailed, 0, OutcomeFailed, 1},
	} {
		r := newOwnerRig(t, c.class, 0)
		first := r.lastSent()
		r.answer(platform.TypeRelease, first.Ref, c.cause)
		r.advance(defaultRetryAfter)
		r.wantOutcome(c.outcome, c.messages)
		if c.outcome != OutcomeOpen {
			continue
		}
		extras, _ := r.sent[1].Text(platform.FieldExtras)
		resubmitted := strings.HasSuffix(extras, string(platform.ExtraResubmitted)+":1")
		if r.lastSent().Ref == first.Ref || resubmitted == isRejection(c.cause) {
			t.Errorf("class %d, cause %d: second submission is %+v, want a ref other than %s and resubmitted %v",
				c.class, c.cause, r.lastSent(), first.Ref, !isRejection(c.cause))
		}
	}
}

// A failed keyed request is not submitted again after its DedupWindow, when hosts may have forgotten its key. No
// request is submitted more than MaxSubmissions times.
func TestOwnerStopsResubmittingAfterDedupWindowOrMaxSubmissions(t *testing.T) {
	r := newOwnerRig(t, 1, 0)
	r.owner.cfg.Classes = []Class{testClasses[0], {Name: "keyed", Effect: testClasses[1].Effect, DedupWindow: 500 * time.Millisecond}}
	r.advance(500 * time.Millisecond)
	r.answer(platform.TypeRelease, r.lastSent().Ref, platform.CauseFailed)
	r.wantOutcome(OutcomeFailed, 1)
	r = newOwnerRig(t, 0, 0)
	for range 3 {
		r.answer(platform.TypeRelease, r.lastSent().Ref, platform.CauseRejected)
		r.advance(defaultRetryAfter)
	}
	r.wantOutcome(OutcomeRejected, 3)
}

// A request sent shortly before its connection ends is sent again under the same ref, but only once. If the connection
// ends again, the request may have run. It is lost if its class is unsafe.
func TestOwnerResendsRequestOnceWhenConnectionCloses(t *testing.T) {
	r := newOwnerRig(t, 2, 0)
	first := r.lastSent()
	r.advance(inFlightWindow - 1)
	r.handleActions(r.owner.ConnectionClosed(r.now, r.conn, false))
	r.advance(ownerRedialDelay)
	r.wantOutcome(OutcomeOpen, 2)
	if r.lastSent().Ref != first.Ref {
		t.Errorf("request sent again with ref %s, want %s", r.lastSent().Ref, first.Ref)
	}
	r.handleActions(r.owner.ConnectionClosed(r.now, r.conn, false))
	r.wantOutcome(OutcomeLost, 2)
}

// A request without an answer is withdrawn after its Timeout and AnswerGrace, and a task is released after
// ReleaseAfter. A release without an acknowledgment is sent again on the next connection.
func TestOwnerCancelsUnansweredRequestAndReleasesTask(t *testing.T) {
	r := newOwnerRig(t, 0, 0)
	r.advance(1100 * time.Millisecond)
	r.wantOutcome(OutcomeGaveUp, 2)
	r = newOwnerRig(t, 0, second)
	ref := r.lastSent().Ref
	r.answer(platform.TypeBound, ref, platform.NoCause)
	r.wantOutcome(OutcomeRunning, 1)
	r.advance(second)
	r.wantOutcome(OutcomeReleased, 2)
	r.handleActions(r.owner.ConnectionClosed(r.now, r.conn, false))
	r.advance(ownerRedialDelay)
	r.wantOutcome(OutcomeReleased, 3)
	r.answer(platform.TypeAck, ref, platform.NoCause)
	r.advance(ownerIdleTimeout)
	if !r.closed {
		t.Errorf("idle connection is open after %v, want it closed", ownerIdleTimeout)
	}
}

// A task that its placer migrates is submitted again, even if its class is unsafe. A task that has ended is not
// submitted again. A second answer to a submission counts as unexpected.
func TestOwnerResubmitsMigratedTask(t *testing.T) {
	r := newOwnerRig(t, 2, 0)
	r.answer(platform.TypeBound, r.lastSent().Ref, platform.NoCause)
	r.answer(platform.TypeMigrate, r.lastSent().Ref, platform.NoCause)
	r.wantOutcome(OutcomeOpen, 2)
	r.answer(platform.TypeBound, r.lastSent().Ref, platform.NoCause)
	r.answer(platform.TypeBound, r.lastSent().Ref, platform.NoCause)
	r.answer(platform.TypeRelease, r.lastSent().Ref, platform.CauseOK)
	r.wantOutcome(OutcomeEnded, 2)
	if got := r.owner.Reports()[0]; got.Unexpected != 1 || got.Answers != 3 {
		t.Errorf("report after a migration and a second answer = %+v, want Unexpected 1 and Answers 3", got)
	}
}

// After a reset, the owner connects again and hands over its running tasks, as it may have missed the messages about
// their ends. After a regular close, it does not.
func TestOwnerHandsOverTasksOnlyAfterReset(t *testing.T) {
	for _, reset := range []bool{false, true} {
		r := newOwnerRig(t, 0, 0)
		r.answer(platform.TypeBound, r.lastSent().Ref, platform.NoCause)
		r.advance(10 * second) // the connection is not idle, as its task runs
		r.handleActions(r.owner.ConnectionClosed(r.now, r.conn, reset))
		r.advance(ownerRedialDelay)
		last := r.lastSent()
		if extras, _ := last.Text(platform.FieldExtras); strings.Contains(extras, string(platform.ExtraHost)+":s-00000001") != reset || r.closed {
			t.Errorf("reset %v: last message has extras %q and closed is %v, want a hand-over %v and closed false", reset, extras, r.closed, reset)
		}
	}
}
