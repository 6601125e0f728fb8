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
	r := &ownerRig{t: t, now: rigStart}
	conns := ConnID(0)
	r.owner = NewOwner(OwnerConfig{
		Classes: testClasses, MaxSubmissions: 3, AnswerGrace: 100 * time.Millisecond,
		Requests: []Request{{At: rigStart, Class: class, Cores: 1, Memory: 1, Timeout: second, ReleaseAfter: releaseAfter}},
	}, rigStart, func() ConnID { conns++; return conns })
	r.take(r.owner.PlacerStarted(r.now, 0))
	return r
}

// take notes what the owner does; connections that it makes pass a probe at once.
func (r *ownerRig) take(actions []Action) {
	r.t.Helper()
	for _, a := range actions {
		switch a := a.(type) {
		case Connect:
			r.conn, r.closed = a.Conn, false
			r.take(r.owner.ConnectionOpened(r.now, a.Conn, 0))
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
	r.take(r.owner.Received(r.now, r.conn, platform.Append(nil, kind, ref, cause, boundDescription("s-00000001", ref))))
}

func (r *ownerRig) advance(d time.Duration) {
	for end := r.now + d; r.now < end; r.take(r.owner.Step(r.now)) {
		r.now = min(end, max(r.owner.Next(), r.now+1))
	}
}

func (r *ownerRig) last() platform.Message { return r.sent[len(r.sent)-1] }

func (r *ownerRig) want(outcome Outcome, messages int) {
	r.t.Helper()
	if got := r.owner.Reports()[0]; got.Outcome != outcome || len(r.sent) != messages {
		r.t.Errorf("%+v after %d messages, want %v after %d", got, len(r.sent), outcome, messages)
	}
}

// A request is submitted again after a rejection, and after a failure if its class allows that, under another ref.
func TestOwnerResubmits(t *testing.T) {
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
		first := r.last()
		r.answer(platform.TypeRelease, first.Ref, c.cause)
		r.advance(defaultRetryAfter)
		r.want(c.outcome, c.messages)
		if c.outcome != OutcomeOpen {
			continue
		}
		extras, _ := r.sent[1].Text(platform.FieldExtras)
		resubmitted := strings.HasSuffix(extras, string(platform.ExtraResubmitted)+":1")
		if r.last().Ref == first.Ref || resubmitted == isRejection(c.cause) {
			t.Errorf("class %d, cause %d: submitted again as %+v", c.class, c.cause, r.last())
		}
	}
}

// A keyed request is not submitted again once hosts may have forgotten it, and none too often.
func TestOwnerStopsResubmitting(t *testing.T) {
	r := newOwnerRig(t, 1, 0)
	r.owner.cfg.Classes = []Class{testClasses[0], {Name: "keyed", Effect: testClasses[1].Effect, DedupWindow: 500 * time.Millisecond}}
	r.advance(500 * time.Millisecond)
	r.answer(platform.TypeRelease, r.last().Ref, platform.CauseFailed)
	r.want(OutcomeFailed, 1)
	r = newOwnerRig(t, 0, 0)
	for range 3 {
		r.answer(platform.TypeRelease, r.last().Ref, platform.CauseRejected)
		r.advance(defaultRetryAfter)
	}
	r.want(OutcomeRejected, 3)
}

// A request that crosses the end of its connection goes out again once under its ref; else it may have run.
func TestOwnerLosesConnection(t *testing.T) {
	r := newOwnerRig(t, 2, 0)
	first := r.last()
	r.advance(crossingWindow - 1)
	r.take(r.owner.ConnectionClosed(r.now, r.conn, false))
	r.advance(ownerRedialAfter)
	r.want(OutcomeOpen, 2)
	if r.last().Ref != first.Ref {
		t.Errorf("sent again as %s, want %s", r.last().Ref, first.Ref)
	}
	r.take(r.owner.ConnectionClosed(r.now, r.conn, false))
	r.want(OutcomeLost, 2)
}

// A request without an answer is given up, and a task is released after its time; a release that was not heard is sent again.
func TestOwnerGivesUpAndReleases(t *testing.T) {
	r := newOwnerRig(t, 0, 0)
	r.advance(1100 * time.Millisecond)
	r.want(OutcomeGaveUp, 2)
	r = newOwnerRig(t, 0, second)
	ref := r.last().Ref
	r.answer(platform.TypeBound, ref, platform.NoCause)
	r.want(OutcomeRunning, 1)
	r.advance(second)
	r.want(OutcomeReleased, 2)
	r.take(r.owner.ConnectionClosed(r.now, r.conn, false))
	r.advance(ownerRedialAfter)
	r.want(OutcomeReleased, 3)
	r.answer(platform.TypeAck, ref, platform.NoCause)
	r.advance(ownerIdleTimeout)
	if !r.closed {
		t.Error("its connection is idle and open")
	}
}

// A task that its placer migrates is requested again, and one that ended is not.
func TestOwnerMigrates(t *testing.T) {
	r := newOwnerRig(t, 2, 0)
	r.answer(platform.TypeBound, r.last().Ref, platform.NoCause)
	r.answer(platform.TypeMigrate, r.last().Ref, platform.NoCause)
	r.want(OutcomeOpen, 2)
	r.answer(platform.TypeBound, r.last().Ref, platform.NoCause)
	r.answer(platform.TypeBound, r.last().Ref, platform.NoCause)
	r.answer(platform.TypeRelease, r.last().Ref, platform.CauseOK)
	r.want(OutcomeEnded, 2)
	if got := r.owner.Reports()[0]; got.Unexpected != 1 || got.Answers != 3 {
		t.Errorf("%+v", got)
	}
}

// After a reset the owner connects again and hands over its tasks; after a plain close it has nothing to send.
func TestOwnerHandsOverAfterReset(t *testing.T) {
	for _, reset := range []bool{false, true} {
		r := newOwnerRig(t, 0, 0)
		r.answer(platform.TypeBound, r.last().Ref, platform.NoCause)
		r.advance(10 * second) // its connection is not idle: a task of it runs
		r.take(r.owner.ConnectionClosed(r.now, r.conn, reset))
		r.advance(ownerRedialAfter)
		last := r.last()
		if extras, _ := last.Text(platform.FieldExtras); strings.Contains(extras, string(platform.ExtraHost)+":s-00000001") != reset || r.closed {
			t.Errorf("reset %v: the last message has %q; closed %v", reset, extras, r.closed)
		}
	}
}
