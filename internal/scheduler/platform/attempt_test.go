package platform

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

// The fields and the description of a request reach the host byte for byte, without the fields that are only for the
// placer, and the description of the answer reaches the owner byte for byte.
func TestCoreForwardsRequestAndAnswerUnchanged(t *testing.T) {
	w := newTestCore(t, nil)
	o := w.connectOwner()
	w.send(o, requestLine(ref1, "keyed", ""))
	out := w.connectDialed()
	f := fieldsOf(ofType[SendToHost](out)[0].Line)
	for name, want := range map[string]string{
		"class": `"keyed"`, "key": `"7f3a9c21e0b4d655"`, "idem": `"aa"`, "left": `"1500"`, "d": `"a\ud800\r\nb"`,
	} {
		if string(f[name]) != want {
			t.Errorf("offer to the host: got field %q with value %s, want %s", name, f[name], want)
		}
	}
	if f["tenant"] != nil || f["extras"] != nil {
		t.Errorf("offer to the host: got tenant %s and extras %s, want neither field", f["tenant"], f["extras"])
	}
	a := takeEvents[forkhead.PlacementRequest](w)[0].Task
	if a.Cores != 1 || a.Memory != 2 || a.Service != 0xb4d65521 || a.Key != 0x7f3a9c21e0b4d655 || a.Timeout != 1500*time.Millisecond || a.Resubmitted {
		t.Errorf("PlacementRequest to the module: got task %+v, want 1 core, 2 memory, service b4d65521, key 7f3a9c21e0b4d655, "+
			"timeout 1.5s, not resubmitted", a)
	}
	w.now += 30 * time.Millisecond
	conn := ofType[SendToHost](out)[0].Connection
	w.step(fromHost(conn, `{"t":"up","ref":"`+ref1+`","f":{},"d":"x\udc00"}`))
	if got := ofType[SendToOwner](w.outputs)[0].Line; !strings.Contains(string(got), `"d":"x\udc00"`) {
		t.Errorf("answer to the owner: got %s, want the description \"x\\udc00\" unchanged", got)
	}
	if b := takeEvents[forkhead.Bound](w); len(b) != 1 || b[0].Took != 30*time.Millisecond || b[0].Machine != 1 {
		t.Errorf("Bound events to the module: got %+v, want one of machine 1 that took 30ms", b)
	}
}

// attemptStage is the stage of an attempt at the start of a case.
type attemptStage int

const (
	stageDialing attemptStage = iota
	stageInFlight
	stagePlaced
)

// outcomeCase is a way in which an attempt ends, with the outcome that the module must receive.
type outcomeCase struct {
	stage  attemptStage
	end    func(w *testCore, conn ConnectionID)
	result forkhead.Result
	final  bool
	reason forkhead.RejectReason
}

// released returns a function that ends an attempt with a release by its host.
func released(cause int, fields string) func(*testCore, ConnectionID) {
	return func(w *testCore, conn ConnectionID) {
		w.step(fromHost(conn, fmt.Sprintf(`{"t":"down","ref":"%s","f":{%s},"c":%d}`, ref1, fields, cause)))
	}
}

// received returns a function that delivers data from the host and then advances the clock of the core by the parameter
// then.
func received(data string, then time.Duration) func(*testCore, ConnectionID) {
	return func(w *testCore, conn ConnectionID) {
		w.step(HostData{conn, []byte(data)})
		w.advance(then)
	}
}

var outcomeCases = map[string]outcomeCase{
	"not connected": {
		stageDialing, func(w *testCore, conn ConnectionID) { w.step(DialFailed{Connection: conn, Refused: true}) },
		forkhead.ConnectFailed, false, 0,
	},

	"rejected":      {stageInFlight, released(34, `"note":"lack_ram","load":"x0:1.5;queue:3"`), forkhead.Rejected, false, forkhead.InsufficientMemory},
	"error":         {stageInFlight, released(47, ""), forkhead.Errored, false, 0},
	"not sent":      {stageInFlight, released(102, ""), forkhead.NotSent, false, 0},
	"reset":         {stageInFlight, released(41, ""), forkhead.Reset, false, 0},
	"unknown cause": {stageInFlight, released(7, ""), forkhead.Reset, false, 0},
	"unreadable":    {stageInFlight, received("{]\n", 0), forkhead.Reset, false, 0},
	"line too long": {stageInFlight, received(strings.Repeat("a", platform.MaxLineSize+1), 0), forkhead.Reset, false, 0},
	"partial line":  {stageInFlight, received("{", 400*time.Millisecond), forkhead.Reset, false, 0},
	"connection ends": {
		stageInFlight, func(w *testCore, conn ConnectionID) { w.step(HostDisconnected{Connection: conn}) },
		forkhead.Reset, false, 0,
	},
	"deadline": {
		stageInFlight, func(w *testCore, _ ConnectionID) { w.advance(1500 * time.Millisecond) },
		forkhead.TimedOut, false, 0,
	},
	"owner withdraws": {
		stageInFlight, func(w *testCore, _ ConnectionID) { w.send(1, releaseLine(ref1, 16)) },
		forkhead.Withdrawn, true, 0,
	},
	"owner disconnects": {
		stageInFlight, func(w *testCore, _ ConnectionID) { w.step(OwnerDisconnected{Owner: 1}) },
		forkhead.Withdrawn, true, 0,
	},

	"ok":      {stagePlaced, released(16, ""), forkhead.OK, true, 0},
	"evicted": {stagePlaced, released(41, `"note":"killed"`), forkhead.Reset, true, forkhead.Evicted},
	"stopped": {stagePlaced, released(31, ""), forkhead.Withdrawn, true, 0},
	"host crashes": {stagePlaced, func(w *testCore, conn ConnectionID) {
		w.step(HostDisconnected{Connection: conn, Reset: true})
		for range 8 {
			w.advance(60 * time.Millisecond)
			w.failDials(true)
		}
	}, forkhead.Reset, true, 0},
	"host is removed": {stagePlaced, func(w *testCore, _ ConnectionID) {
		w.step(hostChanged(1, platform.Terminated))
		w.advance(time.Second)
	}, forkhead.Reset, true, 0},
	"host restarts": {stagePlaced, func(w *testCore, _ ConnectionID) {
		event := hostChanged(1, platform.InService)
		event.Event.Endpoints.Hosts[0].StartedAtMS = float64((w.now + time.Second).Milliseconds())
		w.step(event)
	}, forkhead.Reset, true, 0},
}

// However an attempt ends, the module receives exactly one outcome, with the right result.
func TestCoreReportsOneOutcomePerAttempt(t *testing.T) {
	for name, c := range outcomeCases {
		t.Run(name, func(t *testing.T) {
			w := newTestCore(t, nil)
			w.send(w.connectOwner(), requestLine(ref1, "keyed", ""))
			conn := ofType[DialHost](w.outputs)[0].Connection
			if c.stage >= stageInFlight {
				w.connectDialed()
			}
			if c.stage == stagePlaced {
				w.step(fromHost(conn, boundLine(ref1)))
			}
			c.end(w, conn)
			got := takeEvents[forkhead.Outcome](w)
			if len(got) != 1 || got[0].Result != c.result || got[0].Final != c.final || got[0].Reason != c.reason || got[0].Attempt != 0 {
				t.Fatalf("got outcomes %+v, want one with attempt 0, result %d, final %v, reason %d", got, c.result, c.final, c.reason)
			}
			if name == "rejected" && (got[0].Report == nil || got[0].Report.AvailableCores != 1.5 || got[0].Report.Queue != 3) {
				t.Errorf("got load report %+v, want 1.5 available cores and queue 3", got[0].Report)
			}
		})
	}
}

// An offer that becomes invalid while it waits for its connection to open is not sent.
func TestCoreDropsQueuedOfferThatBecameInvalid(t *testing.T) {
	for name, invalidate := range map[string]func(w *testCore){
		"owner disconnected": func(w *testCore) { w.step(OwnerDisconnected{Owner: 1}) },
		"draining past the grace": func(w *testCore) {
			w.step(hostChanged(1, platform.Terminating))
			w.advance(300 * time.Millisecond)
		},
	} {
		w := newTestCore(t, nil)
		o := w.connectOwner()
		w.send(o, requestLine(ref1, "keyed", ""))
		dial := ofType[DialHost](w.outputs)[0]
		invalidate(w)
		if got := w.step(HostConnected{dial.Connection}); len(sentLines[SendToHost](got)) != 0 {
			t.Errorf("%s: got lines to the host %q, want none", name, sentLines[SendToHost](got))
		}
		if got := takeEvents[forkhead.Outcome](w); len(got) != 1 || got[0].Result != forkhead.NotSent && got[0].Result != forkhead.Withdrawn {
			t.Errorf("%s: got outcomes %+v, want one with result NotSent or Withdrawn", name, got)
		}
	}
}

// inputOf returns an input for the connection of an owner or the one to a host.
type inputOf func(owner OwnerID, conn ConnectionID) Input

// Inputs that TestCoreSendsOneAnswerForTwoInputsInOneStep combines in one step.
var (
	answered     inputOf = func(_ OwnerID, conn ConnectionID) Input { return fromHost(conn, boundLine(ref1)) }
	answersTwice inputOf = func(_ OwnerID, conn ConnectionID) Input { return fromHost(conn, boundLine(ref1), boundLine(ref1)) }
	rejected     inputOf = func(_ OwnerID, conn ConnectionID) Input { return fromHost(conn, releaseLine(ref1, 34)) }
	hostEnds     inputOf = func(_ OwnerID, conn ConnectionID) Input { return HostDisconnected{Connection: conn} }
	withdrawn    inputOf = func(owner OwnerID, _ ConnectionID) Input {
		return OwnerData{Owner: owner, Data: []byte(releaseLine(ref1, 16) + "\n")}
	}
	ownerEnds inputOf = func(owner OwnerID, _ ConnectionID) Input { return OwnerDisconnected{Owner: owner} }
)

// decideOnFirstOutcome rejects a request after an attempt that never ran or timed out, and fails it after any other.
func decideOnFirstOutcome(outcome forkhead.Outcome) []forkhead.Action {
	switch {
	case outcome.Final:
		return nil
	case outcome.Result == forkhead.Rejected || outcome.Result == forkhead.TimedOut:
		return []forkhead.Action{forkhead.Reject{Task: outcome.Task}}
	}
	return []forkhead.Action{forkhead.Fail{Task: outcome.Task}}
}

// Two events of one attempt may arrive in one step: an answer or a rejection together with the deadline, the end of the
// connection or the owner's withdrawal, in either order. The owner must get at most one final answer, and no task may
// be left running without an owner.
func TestCoreSendsOneAnswerForTwoInputsInOneStep(t *testing.T) {
	for name, c := range map[string]struct {
		inputs     []inputOf
		atDeadline bool
		owner      string // lines sent to the owner
		host       string // lines sent to the host
	}{
		"answer, deadline":      {[]inputOf{answered}, true, "up", ""},
		"rejection, deadline":   {[]inputOf{rejected}, true, "down 34", "ack"},
		"rejection, end":        {[]inputOf{rejected, hostEnds}, false, "down 34", "ack"},
		"end, rejection":        {[]inputOf{hostEnds, rejected}, false, "down 47", ""},
		"answer, end":           {[]inputOf{answered, hostEnds}, false, "up", ""},
		"answer, withdrawal":    {[]inputOf{answered, withdrawn}, false, "up ack", "down 16"},
		"withdrawal, answer":    {[]inputOf{withdrawn, answered}, false, "ack", "down 16 down 16"},
		"withdrawal, rejection": {[]inputOf{withdrawn, rejected}, false, "ack", "down 16 ack"},
		"rejection, withdrawal": {[]inputOf{rejected, withdrawn}, false, "ack", "ack"},
		"two answers":           {[]inputOf{answersTwice}, false, "up", ""},
		"answer, end of owner":  {[]inputOf{answered, ownerEnds}, false, "up", ""},
		"end of owner, answer":  {[]inputOf{ownerEnds, answered}, false, "", "down 16 down 16"},
	} {
		w := newTestCore(t, nil)
		owner := w.connectOwner()
		offer := w.decide
		w.decide = func(event forkhead.Event) []forkhead.Action {
			if outcome, ok := event.(forkhead.Outcome); ok {
				return decideOnFirstOutcome(outcome)
			}
			return offer(event)
		}
		w.send(owner, requestLine(ref1, "keyed", ""))
		conn := ofType[SendToHost](w.connectDialed())[0].Connection
		if c.atDeadline {
			w.now += 1500 * time.Millisecond
		}
		var inputs []Input
		for _, input := range c.inputs {
			inputs = append(inputs, input(owner, conn))
		}
		w.step(inputs...)
		short := func(lines []string) string { return strings.ReplaceAll(strings.Join(lines, " "), " "+ref1, "") }
		if got := short(sentLines[SendToOwner](w.outputs)); got != c.owner {
			t.Errorf("%s: got lines to the owner %q, want %q", name, got, c.owner)
		}
		if got := short(sentLines[SendToHost](w.outputs)); got != c.host {
			t.Errorf("%s: got lines to the host %q, want %q", name, got, c.host)
		}
	}
}

// An attempt is withdrawn and its task offered to the same host again. The host answers the first offer and later stops
// the task because of the withdrawal, with the cause CauseMigrated. The owner must get the release, although that cause
// normally means that the owner itself has ended the task.
func TestCoreReleasesTaskStoppedByEarlierWithdrawal(t *testing.T) {
	w := newTestCore(t, nil)
	o := w.connectOwner()
	w.decide = func(ev forkhead.Event) []forkhead.Action {
		switch ev := ev.(type) {
		case forkhead.PlacementRequest:
			return []forkhead.Action{forkhead.Offer{Task: ev.Task.ID, Machine: 1}}
		case forkhead.TimerFired:
			return []forkhead.Action{forkhead.Withdraw{Task: 1, Attempt: 0}}
		case forkhead.Outcome:
			if ev.Attempt == 0 {
				return []forkhead.Action{forkhead.Offer{Task: ev.Task, Machine: 1}}
			}
		}
		return nil
	}
	w.send(o, requestLine(ref1, "keyed", ""))
	w.wantLines(sentLines[SendToHost](w.connectDialed()), "new "+ref1)
	w.core.timers.Add(w.now, timer{id: 7})
	w.wantLines(sentLines[SendToHost](w.step()), "down "+ref1+" 16", "new "+ref1)
	conn := ofType[SendToHost](w.outputs)[0].Connection
	up := `{"t":"up","ref":"` + ref1 + `","f":{},"d":"x"}` + "\n"
	w.wantLines(sentLines[SendToOwner](w.step(HostData{conn, []byte(up)})), "up "+ref1)
	w.wantLines(sentLines[SendToOwner](w.step(fromHost(conn, releaseLine(ref1, 31)))), "down "+ref1+" 41")
	w.wantLines(sentLines[SendToHost](w.step(HostData{conn, []byte(up)})), "down "+ref1+" 16") // the second attempt runs without an owner and is stopped
	w.wantLines(sentLines[SendToOwner](w.outputs))
}

// The release of a task may arrive before the host's answer to its offer, if the answer is late. If there is a sign
// that the task has run, it is released to its owner at once and not offered again. Without such a sign it is offered
// to another host.
func TestCoreReleasesTaskThatEndedBeforeItsAnswer(t *testing.T) {
	note := `{"t":"tell","ref":"` + ref1 + `","f":{"note":"running","value":"1"}}` + "\n"
	release := func(cause int, note string) string {
		return fmt.Sprintf(`{"t":"down","ref":"%s","f":{"note":"%s"},"c":%d}`, ref1, note, cause)
	}
	for name, c := range map[string]struct {
		sent string
		ran  bool
	}{
		"notes and a reset": {note + release(41, ""), true}, "displaced": {release(41, "displaced"), true}, "killed": {release(41, "killed"), true},
		"its end": {release(16, ""), true}, "a reset": {release(41, ""), false}, "full": {release(34, "lack_cpu"), false}, "an error": {release(47, ""), false},
	} {
		w := newTestCore(t, nil)
		first := w.decide
		w.decide = func(ev forkhead.Event) []forkhead.Action {
			if o, ok := ev.(forkhead.Outcome); ok && !o.Final {
				return []forkhead.Action{forkhead.Offer{Task: o.Task, Machine: 2}}
			}
			return first(ev)
		}
		w.send(w.connectOwner(), requestLine(ref1, "keyed", ""))
		conn := ofType[SendToHost](w.connectDialed())[0].Connection
		out := w.step(fromHost(conn, c.sent))
		offers := len(ofType[DialHost](out))
		if got := sentLines[SendToOwner](out); c.ran && (len(got) != 1 || got[0] != "down "+ref1+" 41" || offers > 0) || !c.ran && (len(got) > 0 || offers != 1) {
			t.Errorf("%s: got lines to the owner %q and %d more offers; want one release with cause 41 and no offer if the task has run (%v), "+
				"no line and one offer otherwise", name, got, offers, c.ran)
		}
		if c.ran { // the late answer must have no effect
			w.step(fromHost(conn, boundLine(ref1)))
			w.wantLines(sentLines[SendToOwner](w.outputs))
			w.wantLines(sentLines[SendToHost](w.outputs))
		}
	}
}

// A second answer and an answer under an unknown ref are ignored. A task whose answer comes after its withdrawal is
// stopped, as it would run without an owner.
func TestCoreStopsTaskOfLateAnswer(t *testing.T) {
	w := newTestCore(t, nil)
	_, conn := w.placeTask()
	w.step(fromHost(conn, boundLine(ref1), boundLine(ref2)))
	w.wantLines(sentLines[SendToOwner](w.outputs))
	w.wantLines(sentLines[SendToHost](w.outputs))
	if w.core.connections[conn] == nil {
		t.Fatal("after a second answer and one under an unknown ref: connection to the host closed, want it open")
	}
	o := w.connectOwner()
	out := w.send(o, requestLine(ref2, "keyed", ""))
	w.wantLines(sentLines[SendToHost](out), "new "+ref2)
	w.send(o, releaseLine(ref2, 16))
	w.wantLines(sentLines[SendToHost](w.outputs), "down "+ref2+" 16")
	w.step(fromHost(conn, boundLine(ref2)))
	w.wantLines(sentLines[SendToHost](w.outputs), "down "+ref2+" 16")
	w.wantLines(sentLines[SendToOwner](w.outputs))
}

// The host repeats the end of an earlier attempt on a new connection while a later attempt of the same request is in flight on
// another one. The later attempt goes on.
func TestCoreIgnoresReleaseOfEarlierAttemptOnAnotherConnection(t *testing.T) {
	w := newTestCore(t, mayProbe)
	w.offerAgain()
	w.send(w.connectOwner(), requestLine(ref1, "keyed", ""))
	first := ofType[DialHost](w.outputs)[0].Connection
	w.connectDialed()
	w.step(HostDisconnected{Connection: first, Reset: true})
	second := ofType[DialHost](w.outputs)[0].Connection
	w.wantLines(sentLines[SendToHost](w.connectDialed()), "new "+ref1)
	third := w.core.dial(w.core.hosts[1], purposeMissedEnds).id
	w.step(HostConnected{third})
	out := w.step(fromHost(third, releaseLine(ref1, 41)))
	w.wantLines(sentLines[SendToHost](out), "ack "+ref1)
	out = w.step(fromHost(second, boundLine(ref1)))
	w.wantLines(sentLines[SendToOwner](out), "up "+ref1)
}
