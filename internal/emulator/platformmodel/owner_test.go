package platformmodel

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"forkhead/internal/protocol/platform"
)

// ownerRig is an owner whose placer is the test.
type ownerRig struct {
	t      *testing.T
	owner  *Owner
	now    time.Duration
	conn   ConnID // the latest that it opens
	closed bool   // it has closed that
	sent   []platform.Message
}

// newOwnerRig returns an owner with one request, that has sent it.
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

// handleActions notes what the owner does; connections that it makes pass a probe at once.
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
				r.t.Fatal(err)
			}
			if m.Type == platform.TypeProbe {
				r.answer(platform.TypeProbeResult, m.Ref, platform.CauseHealthy)
			} else {
				r.sent = append(r.sent, m)
			}
		}
	}
}

func (r *ownerRig) answer(kind platform.MessageType, ref string, cause platform.Cause) {
	r.handleActions(r.owner.Received(r.now, r.conn, platform.Append(nil, kind, ref, cause, boundDescription("s-00000001", ref))))
}

func (r *ownerRig) advance(d time.Duration) {
	for end := r.now + d; r.now < end; r.handleActions(r.owner.Step(r.now)) {
		r.now = min(end, max(r.owner.Next(), r.now+1))
	}
}

func (r *ownerRig) lastSent() platform.Message { return r.sent[len(r.sent)-1] }

func (r *ownerRig) wantOutcome(outcome Outcome, messages int) {
	r.t.Helper()
	if got := r.owner.Reports()[0]; got.Outcome != outcome || len(r.sent) != messages {
		r.t.Errorf("%+v after %d messages, want %v after %d", got, len(r.sent), outcome, messages)
	}
}

// A request is submitted again after a rejection, and after a failure if its class allows that, under another ref.
func TestOwnerResubmitsAfterRejectionOrRetryableFailure(t *testing.T) {
	for _, c := range []struct {
		class    int
		cause    platform.Cause
		wait     time.Duration // before the answer
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
			t.Errorf("class %d, cause %d: submitted again as %+v", c.class, c.cause, r.lastSent())
		}
	}
}

// A keyed request is not submitted again once hosts may have forgotten it, and none too often.
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

// A request that crosses the end of its connection goes out again once under its ref; else it may have run.
func TestOwnerResendsRequestOnceWhenConnectionCloses(t *testing.T) {
	r := newOwnerRig(t, 2, 0)
	first := r.lastSent()
	r.advance(inFlightWindow - 1)
	r.handleActions(r.owner.ConnectionClosed(r.now, r.conn, false))
	r.advance(ownerRedialDelay)
	r.wantOutcome(OutcomeOpen, 2)
	if r.lastSent().Ref != first.Ref {
		t.Errorf("sent again as %s, want %s", r.lastSent().Ref, first.Ref)
	}
	r.handleActions(r.owner.ConnectionClosed(r.now, r.conn, false))
	r.wantOutcome(OutcomeLost, 2)
}

// A request without an answer is given up, and a task is released after its time; a release that was not heard is sent again.
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
		t.Error("its connection is idle and open")
	}
}

// A task that its placer migrates is requested again, and one that ended is not.
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
		t.Errorf("%+v", got)
	}
}

// After a reset the owner connects again and hands over its tasks; after a plain close it has nothing to send.
func TestOwnerHandsOverTasksOnlyAfterReset(t *testing.T) {
	for _, reset := range []bool{false, true} {
		r := newOwnerRig(t, 0, 0)
		r.answer(platform.TypeBound, r.lastSent().Ref, platform.NoCause)
		r.advance(10 * second) // its connection is not idle: a task of it runs
		r.handleActions(r.owner.ConnectionClosed(r.now, r.conn, reset))
		r.advance(ownerRedialDelay)
		last := r.lastSent()
		if extras, _ := last.Text(platform.FieldExtras); strings.Contains(extras, string(platform.ExtraHost)+":s-00000001") != reset || r.closed {
			t.Errorf("reset %v: the last message has %q; closed %v", reset, extras, r.closed)
		}
	}
}
