package platform

import (
	"strings"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

// What the module rejects or fails is answered in the same step.
func TestCoreAnswersInTheSameStep(t *testing.T) {
	w := newTestCore(t, nil)
	o := w.connectOwner()
	w.decide = func(ev forkhead.Event) []forkhead.Action {
		if a, ok := ev.(forkhead.PlacementRequest); ok {
			return []forkhead.Action{forkhead.Reject{Task: a.Task.ID, RetryAfter: 300 * time.Millisecond}}
		}
		return nil
	}
	out := w.send(o, requestLine(ref1, "keyed", ""))
	w.wantLines(sentLines[SendToOwner](out), "down "+ref1+" 34")
	if wait := fieldsOf(ofType[SendToOwner](out)[0].Line)["wait"]; string(wait) != `"300"` {
		t.Errorf("wait is %s", wait)
	}
	w.decide = func(ev forkhead.Event) []forkhead.Action {
		if a, ok := ev.(forkhead.PlacementRequest); ok {
			return []forkhead.Action{forkhead.Fail{Task: a.Task.ID}}
		}
		return nil
	}
	w.wantLines(sentLines[SendToOwner](w.send(o, requestLine(ref2, "keyed", ""))), "down "+ref2+" 47")
}

// A rejection that the rules do not allow is sent as a failure.
func TestCoreVetoesUnsafeRejection(t *testing.T) {
	w := newTestCore(t, nil)
	o := w.connectOwner()
	w.send(o, requestLine(ref1, "unsafe", ""))
	out := w.connectDialed()
	w.decide = func(ev forkhead.Event) []forkhead.Action {
		if x, ok := ev.(forkhead.Outcome); ok && x.Attempt == 0 {
			return []forkhead.Action{forkhead.Offer{Task: x.Task, Machine: 2}, forkhead.Reject{Task: x.Task}}
		}
		return nil
	}
	out = w.step(HostDisconnected{ofType[SendToHost](out)[0].Connection})
	w.wantLines(sentLines[SendToOwner](out), "down "+ref1+" 47")
	if len(ofType[DialHost](out)) > 0 {
		t.Error("an unsafe task that may have run is sent again")
	}
}

// One ref is one request: a resubmission moves to its new connection, another request under the ref does not touch it.
func TestCoreResubmissionUnderOneRef(t *testing.T) {
	w := newTestCore(t, nil)
	first, second := w.connectOwner(), w.connectOwner()
	w.send(first, requestLine(ref1, "keyed", ""))
	out := w.send(second, strings.Replace(requestLine(ref1, "keyed", ""), `a\ud800`, "other", 1))
	w.wantLines(sentLines[SendToOwner](out), "down "+ref1+" 47")
	if ofType[SendToOwner](out)[0].Owner != second || w.core.unanswered != 1 {
		t.Fatal("the open request is touched")
	}
	w.send(second, requestLine(ref1, "keyed", ""))
	w.step(OwnerDisconnected{first})
	if len(takeEvents[forkhead.PlacementRequest](w)) != 1 || len(takeEvents[forkhead.RequestCanceled](w)) != 0 {
		t.Fatal("a resubmission is not one request")
	}
	out = w.send(second, strings.Replace(requestLine(ref1, "keyed", ""), `a\ud800`, "other", 1))
	if len(ofType[CloseOwnerConnection](out)) != 1 {
		t.Fatal("two requests under one ref on one connection do not close it")
	}
	w.wantLines(sentLines[SendToOwner](out), "down "+ref1+" 47")
}

// Where attempts may not be withdrawn, a task is answered at its time with one in flight: once, without a violation of an
// invariant, and nothing is sent to the host. A task that its host runs all the same runs for nobody, and is stopped.
func TestCoreAnswersWithoutWithdrawing(t *testing.T) {
	w := newTestCore(t, func(cfg *Config) { cfg.Settings.MayWithdraw = false })
	first := w.decide
	w.decide = func(ev forkhead.Event) []forkhead.Action {
		if _, ok := ev.(forkhead.TimerFired); ok {
			return []forkhead.Action{forkhead.Fail{Task: 1}}
		}
		return first(ev)
	}
	w.send(w.connectOwner(), requestLine(ref1, "unsafe", ""))
	conn := ofType[SendToHost](w.connectDialed())[0].Connection
	w.core.timers.Add(w.now+1495*time.Millisecond, timer{id: 9})
	w.now += 1495 * time.Millisecond
	out := w.step()
	w.wantLines(sentLines[SendToOwner](out), "down "+ref1+" 47")
	w.wantLines(sentLines[SendToHost](out))
	for _, l := range ofType[Log](out) {
		t.Errorf("logged: %s", l)
	}
	w.wantLines(sentLines[SendToHost](w.step(fromHost(conn, boundLine(ref1)))), "down "+ref1+" 16")
}

// A request that the module leaves open fails at its deadline, which is logged as a violation of an invariant.
func TestCoreFailsRequestThatTheModuleLeavesOpen(t *testing.T) {
	w := newTestCore(t, nil)
	w.decide = nil
	w.send(w.connectOwner(), requestLine(ref1, "keyed", ""))
	w.now += 1500 * time.Millisecond
	out := w.step()
	w.wantLines(sentLines[SendToOwner](out), "down "+ref1+" 47")
	if logged := ofType[Log](out); len(logged) != 1 || !logged[0].InvariantViolation || logged[0].Message != messageNoAnswer {
		t.Errorf("logged %v, want a violation %q", logged, messageNoAnswer)
	}
}

// Malformed input is rejected or its connection closed, and never reaches the module; the open request beside it stays.
func TestCoreRejectsMalformedInput(t *testing.T) {
	good := requestLine(ref1, "keyed", "")
	for name, c := range map[string]struct {
		line   string
		closes bool
	}{
		"unreadable":     {"{]", true},
		"not an object":  {"[1]", true},
		"no ref":         {`{"t":"new","f":{},"d":"x"}`, true},
		"short ref":      {strings.Replace(good, ref1, "12", 1), true},
		"unknown type":   {`{"t":"what","ref":"` + ref1 + `","f":{}}`, true},
		"an answer":      {boundLine(ref1), true},
		"too long":       {strings.Repeat("x", platform.MaxLineSize+1), true},
		"unknown ref":    {releaseLine(ref1, 16), true},
		"class":          {strings.Replace(good, `"keyed"`, `"kept"`, 1), false},
		"tenant":         {strings.Replace(good, "acme", "nobody", 1), false},
		"left below 0":   {strings.Replace(good, `"1500"`, `"-5"`, 1), false},
		"left below 1":   {strings.Replace(good, `"1500"`, `"0.5"`, 1), false},
		"left too large": {strings.Replace(good, `"1500"`, `"99999999999999999999999"`, 1), false},
		"left no number": {strings.Replace(good, `"1500"`, `"soon"`, 1), false},
		"cores":          {strings.Replace(good, "cores:1", "cores:nan", 1), false},
		"cores twice":    {strings.Replace(good, "cores:1", "cores:1;cores:1", 1), false},
		"memory":         {strings.Replace(good, "memory:2", "memory:1e99", 1), false},
		"no service":     {strings.Replace(good, "service", "servant", 1), false},
		"no idem":        {strings.Replace(good, `"idem":"aa",`, "", 1), false},
		"an object":      {strings.Replace(good, `"aa"`, `{}`, 1), false},
		"no description": {strings.Replace(good, `,"d":"a\ud800\r\nb"`, "", 1), false},
	} {
		w := newTestCore(t, nil)
		usual := w.connectOwner()
		w.send(usual, requestLine(ref2, "keyed", ""))
		o := w.connectOwner()
		takeEvents[forkhead.PlacementRequest](w)
		out := w.send(o, c.line)
		if c.closes != (len(ofType[CloseOwnerConnection](out)) == 1) {
			t.Errorf("%s: outputs %v, closed should be %v", name, out, c.closes)
		}
		if !c.closes {
			w.wantLines(sentLines[SendToOwner](out), "down "+ref1+" 47")
		}
		if len(takeEvents[forkhead.PlacementRequest](w)) > 0 || w.core.unanswered != 1 || w.core.requestsByRef[ref2] == nil {
			t.Errorf("%s: the module got it, or the request beside it was removed", name)
		}
	}
}
