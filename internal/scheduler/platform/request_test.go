package platform

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

// A request that the module rejects or fails is answered in the same step.
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
		t.Errorf("rejection with RetryAfter 300ms: got field wait %s, want \"300\"", wait)
	}
	w.decide = func(ev forkhead.Event) []forkhead.Action {
		if a, ok := ev.(forkhead.PlacementRequest); ok {
			return []forkhead.Action{forkhead.Fail{Task: a.Task.ID}}
		}
		return nil
	}
	w.wantLines(sentLines[SendToOwner](w.send(o, requestLine(ref2, "keyed", ""))), "down "+ref2+" 47")
}

// A rejection promises that the task has not run. For an unsafe task that may have run, the module's Reject is
// therefore sent as a failure, and its further Offer is vetoed.
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
	out = w.step(HostDisconnected{Connection: ofType[SendToHost](out)[0].Connection})
	w.wantLines(sentLines[SendToOwner](out), "down "+ref1+" 47")
	if len(ofType[DialHost](out)) > 0 {
		t.Error("unsafe task that may have run: got a dial for another offer, want none")
	}
}

// A request that is sent again under its ref is the same request and moves to the new connection. A different request
// under that ref does not affect the first one if it comes on another connection, where it is rejected. If it comes on
// the connection of the first request, that connection is closed.
func TestCoreTreatsResubmissionAsOneRequest(t *testing.T) {
	w := newTestCore(t, nil)
	first, second := w.connectOwner(), w.connectOwner()
	w.send(first, requestLine(ref1, "keyed", ""))
	out := w.send(second, strings.Replace(requestLine(ref1, "keyed", ""), `a\ud800`, "other", 1))
	w.wantLines(sentLines[SendToOwner](out), "down "+ref1+" 47")
	if ofType[SendToOwner](out)[0].Owner != second || w.core.unanswered != 1 {
		t.Fatalf("different request under the same ref: answered to owner %d, want %d; %d unanswered requests, want 1",
			ofType[SendToOwner](out)[0].Owner, second, w.core.unanswered)
	}
	w.send(second, requestLine(ref1, "keyed", ""))
	w.step(OwnerDisconnected{Owner: first})
	requests, canceled := takeEvents[forkhead.PlacementRequest](w), takeEvents[forkhead.RequestCanceled](w)
	if len(requests) != 1 || len(canceled) != 0 {
		t.Fatalf("resubmission on a second connection, end of the first: got %d PlacementRequest events, want 1; %d RequestCanceled, want 0",
			len(requests), len(canceled))
	}
	out = w.send(second, strings.Replace(requestLine(ref1, "keyed", ""), `a\ud800`, "other", 1))
	if len(ofType[CloseOwnerConnection](out)) != 1 {
		t.Fatalf("two different requests under one ref on one connection: got %d connections of owners closed, want 1",
			len(ofType[CloseOwnerConnection](out)))
	}
	w.wantLines(sentLines[SendToOwner](out), "down "+ref1+" 47")
}

// If attempts may not be withdrawn, a request is answered shortly before its deadline although an attempt is in flight.
// The request must be answered once, without an invariant violation, and nothing may be sent to the host. If the host
// runs the task later, the task has no owner and is stopped.
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
	var messages []string
	for _, l := range ofType[Log](out) {
		messages = append(messages, l.Message)
	}
	if want := []string{messageEndUnconfirmed, messageRequestFailed}; !slices.Equal(messages, want) {
		t.Errorf("answer with an attempt in flight: logged %q, want %q", messages, want)
	}
	w.wantLines(sentLines[SendToHost](w.step(fromHost(conn, boundLine(ref1)))), "down "+ref1+" 16")
}

// A request that the module has not answered by its deadline fails, which is logged as an invariant violation.
func TestCoreFailsRequestThatTheModuleLeavesOpen(t *testing.T) {
	w := newTestCore(t, nil)
	w.decide = nil
	w.send(w.connectOwner(), requestLine(ref1, "keyed", ""))
	w.now += 1500 * time.Millisecond
	out := w.step()
	w.wantLines(sentLines[SendToOwner](out), "down "+ref1+" 47")
	logged := ofType[Log](out)
	if len(logged) != 2 || !logged[0].InvariantViolation || logged[0].Message != messageNoAnswer || logged[1].Message != messageRequestFailed {
		t.Errorf("at the deadline: logged %v, want one invariant violation with message %q and then %q", logged, messageNoAnswer, messageRequestFailed)
	}
}

// Malformed input is rejected or closes its connection. It never reaches the module, and an open request of another
// owner stays open.
func TestCoreRejectsMalformedInput(t *testing.T) {
	good := requestLine(ref1, "keyed", "")
	for name, c := range map[string]struct {
		line   string
		closes bool
	}{
		"not JSON":                     {"{]", true},
		"not an object":                {"[1]", true},
		"no ref":                       {`{"t":"new","f":{},"d":"x"}`, true},
		"short ref":                    {strings.Replace(good, ref1, "12", 1), true},
		"unknown type":                 {`{"t":"what","ref":"` + ref1 + `","f":{}}`, true},
		"host's answer":                {boundLine(ref1), true},
		"line too long":                {strings.Repeat("x", platform.MaxLineSize+1), true},
		"release of unknown ref":       {releaseLine(ref1, 16), true},
		"unknown class":                {strings.Replace(good, `"keyed"`, `"kept"`, 1), false},
		"unknown tenant":               {strings.Replace(good, "acme", "nobody", 1), false},
		"timeout below 0":              {strings.Replace(good, `"1500"`, `"-5"`, 1), false},
		"timeout below 1 ms":           {strings.Replace(good, `"1500"`, `"0.5"`, 1), false},
		"timeout too large":            {strings.Replace(good, `"1500"`, `"99999999999999999999999"`, 1), false},
		"timeout not a number":         {strings.Replace(good, `"1500"`, `"soon"`, 1), false},
		"cores not a number":           {strings.Replace(good, "cores:1", "cores:nan", 1), false},
		"cores twice":                  {strings.Replace(good, "cores:1", "cores:1;cores:1", 1), false},
		"memory too large":             {strings.Replace(good, "memory:2", "memory:1e99", 1), false},
		"no service":                   {strings.Replace(good, "service", "servant", 1), false},
		"no idempotency key":           {strings.Replace(good, `"idem":"aa",`, "", 1), false},
		"idempotency key is an object": {strings.Replace(good, `"aa"`, `{}`, 1), false},
		"no description":               {strings.Replace(good, `,"d":"a\ud800\r\nb"`, "", 1), false},
	} {
		w := newTestCore(t, nil)
		regular := w.connectOwner()
		w.send(regular, requestLine(ref2, "keyed", ""))
		o := w.connectOwner()
		takeEvents[forkhead.PlacementRequest](w)
		out := w.send(o, c.line)
		if c.closes != (len(ofType[CloseOwnerConnection](out)) == 1) {
			t.Errorf("%s: got outputs %v, want the connection closed: %v", name, out, c.closes)
		}
		if !c.closes {
			w.wantLines(sentLines[SendToOwner](out), "down "+ref1+" 47")
		}
		if got := takeEvents[forkhead.PlacementRequest](w); len(got) > 0 || w.core.unanswered != 1 || w.core.requestsByRef[ref2] == nil {
			t.Errorf("%s: got PlacementRequest events %+v, want none; %d unanswered requests, want 1; other owner's request known %v, want true",
				name, got, w.core.unanswered, w.core.requestsByRef[ref2] != nil)
		}
	}
}

// A request that has waited to be read is offered with the rest of its time, and rejected if none is left.
func TestCoreSubtractsAgeOfRequestFromItsTime(t *testing.T) {
	w := newTestCore(t, nil)
	owner := w.connectOwner()
	w.step(OwnerData{Owner: owner, Data: []byte(requestLine(ref1, "unsafe", "") + "\n"), Age: 900 * time.Millisecond})
	offers := ofType[SendToHost](w.connectDialed())
	if len(offers) != 1 || string(fieldsOf(offers[0].Line)["left"]) != `"600"` {
		t.Fatalf("request of 1.5 s that waited 0.9 s: got outputs %v, want one offer with 600 ms left", w.outputs)
	}
	out := w.step(OwnerData{Owner: owner, Data: []byte(requestLine(ref2, "unsafe", "") + "\n"), Age: 1500 * time.Millisecond})
	w.wantLines(sentLines[SendToOwner](out), "down "+ref2+" 42")
	w.wantLines(sentLines[SendToHost](out))
}

// Guards against a placer that is killed for its memory: clients send hundreds of large requests at once, and no host takes
// them. What open requests hold is bounded, and an owner with small requests is not kept out by owners that flood. Answered
// requests hold nothing.
func TestCoreBoundsBytesOfOpenRequests(t *testing.T) {
	const limit = 1 << 20
	w := newTestCore(t, func(cfg *Config) { cfg.MaxOpenRequestBytes = limit })
	w.decide = nil // requests wait
	large := strings.Replace(requestLine("%s", "keyed", ""), `a\ud800`, strings.Repeat("x", 15000), 1)
	number, rejected := 0, 0
	flood := func(owner OwnerID) {
		for range 200 {
			number++
			rejected += len(sentLines[SendToOwner](w.send(owner, fmt.Sprintf(large, requestNumber(number)))))
		}
	}
	first, second, usual := w.connectOwner(), w.connectOwner(), w.connectOwner()
	flood(first)
	if w.core.openBytes > limit || rejected == 0 {
		t.Errorf("one flooding owner: got %d bytes held and %d of 200 requests rejected, want at most %d bytes and some rejected", w.core.openBytes, rejected, limit)
	}
	for range 100 {
		number++
		if got := sentLines[SendToOwner](w.send(usual, requestLine(requestNumber(number), "keyed", ""))); len(got) != 0 {
			t.Fatalf("small request beside a flood: got %q, want it accepted", got)
		}
	}
	flood(second)
	if w.core.openBytes > 2*limit || w.core.owners[second].openBytes == 0 {
		t.Errorf("two flooding owners: got %d bytes held, %d of them for the second, want at most %d and some", w.core.openBytes, w.core.owners[second].openBytes, 2*limit)
	}
	for _, owner := range []OwnerID{first, second, usual} {
		w.step(OwnerDisconnected{Owner: owner})
	}
	if w.core.openBytes != 0 || w.core.unanswered != 0 {
		t.Errorf("after all owners have left: got %d bytes held for %d requests, want 0", w.core.openBytes, w.core.unanswered)
	}
}

// A request that moves to another connection counts for the owner that it moves to.
func TestCoreMovesBytesOfResubmittedRequest(t *testing.T) {
	w := newTestCore(t, nil)
	first, second := w.connectOwner(), w.connectOwner()
	w.send(first, requestLine(ref1, "keyed", ""))
	held := w.core.openBytes
	w.send(second, requestLine(ref1, "keyed", ""))
	if before, after := w.core.owners[first].openBytes, w.core.owners[second].openBytes; before != 0 || after != held || held == 0 {
		t.Errorf("bytes held after the resubmission: got %d for the first connection, %d for the second, want 0 and %d above 0", before, after, held)
	}
}
