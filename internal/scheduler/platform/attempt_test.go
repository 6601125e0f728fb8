package platform

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

// A request is forwarded byte for byte, and so is its answer.
func TestCorePlacesTask(t *testing.T) {
	w := newTestCore(t, nil)
	o := w.connectOwner()
	w.send(o, requestLine(ref1, "keyed", ""))
	out := w.connectDialed()
	f := fieldsOf(ofType[SendToHost](out)[0].Line)
	for name, want := range map[string]string{
		"class": `"keyed"`, "key": `"7f3a9c21e0b4d655"`, "idem": `"aa"`, "left": `"1500"`, "d": `"a\ud800\r\nb"`,
	} {
		if string(f[name]) != want {
			t.Errorf("%s is forwarded as %s, want %s", name, f[name], want)
		}
	}
	if f["tenant"] != nil || f["extras"] != nil {
		t.Error("the host is sent what is for the placer")
	}
	a := takeEvents[forkhead.PlacementRequest](w)[0].Task
	if a.Cores != 1 || a.Memory != 2 || a.Service != 0xb4d65521 || a.Key != 0x7f3a9c21e0b4d655 || a.Timeout != 1500*time.Millisecond || a.Resubmitted {
		t.Errorf("the module got %+v", a)
	}
	w.now += 30 * time.Millisecond
	conn := ofType[SendToHost](out)[0].Connection
	w.step(fromHost(conn, `{"t":"up","ref":"`+ref1+`","f":{},"d":"x\udc00"}`))
	if got := ofType[SendToOwner](w.outputs)[0].Line; !strings.Contains(string(got), `"d":"x\udc00"`) {
		t.Errorf("the answer is forwarded as %s", got)
	}
	if b := takeEvents[forkhead.Bound](w); len(b) != 1 || b[0].Took != 30*time.Millisecond || b[0].Machine != 1 {
		t.Errorf("Bound %+v", b)
	}
}

// attemptStage is how far an attempt is when a case begins.
type attemptStage int

const (
	stageDialing attemptStage = iota
	stageInFlight
	stagePlaced
)

// outcomeCase is a way in which an attempt ends.
type outcomeCase struct {
	stage  attemptStage
	end    func(w *testCore, conn ConnectionID)
	result forkhead.Result
	final  bool
	reason forkhead.RejectReason
}

// released is the end of an attempt by a release of its host with these fields.
func released(cause int, fields string) func(*testCore, ConnectionID) {
	return func(w *testCore, conn ConnectionID) {
		w.step(fromHost(conn, fmt.Sprintf(`{"t":"down","ref":"%s","f":{%s},"c":%d}`, ref1, fields, cause)))
	}
}

// received is the end of an attempt by bytes of its host, and by the time that passes then.
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
	"another cause": {stageInFlight, released(7, ""), forkhead.Reset, false, 0},
	"unreadable":    {stageInFlight, received("{]\n", 0), forkhead.Reset, false, 0},
	"no end":        {stageInFlight, received(strings.Repeat("a", platform.MaxLineSize+1), 0), forkhead.Reset, false, 0},
	"half a line":   {stageInFlight, received("{", 400*time.Millisecond), forkhead.Reset, false, 0},
	"connection ends": {
		stageInFlight, func(w *testCore, conn ConnectionID) { w.step(HostDisconnected{conn}) },
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
		stageInFlight, func(w *testCore, _ ConnectionID) { w.step(OwnerDisconnected{1}) },
		forkhead.Withdrawn, true, 0,
	},

	"ok":      {stagePlaced, released(16, ""), forkhead.OK, true, 0},
	"evicted": {stagePlaced, released(41, `"note":"killed"`), forkhead.Reset, true, forkhead.Evicted},
	"ended":   {stagePlaced, released(31, ""), forkhead.Withdrawn, true, 0},
	"its host crashes": {stagePlaced, func(w *testCore, conn ConnectionID) {
		w.step(HostDisconnected{conn})
		for range 8 {
			w.advance(60 * time.Millisecond)
			w.failDials(true)
		}
	}, forkhead.Reset, true, 0},
	"its host is removed": {stagePlaced, func(w *testCore, _ ConnectionID) {
		w.step(hostChanged(1, platform.Terminated))
		w.advance(time.Second)
	}, forkhead.Reset, true, 0},
	"its host restarts": {stagePlaced, func(w *testCore, _ ConnectionID) {
		event := hostChanged(1, platform.InService)
		event.Event.Endpoints.Hosts[0].StartedAtMS = float64((w.now + time.Second).Milliseconds())
		w.step(event)
	}, forkhead.Reset, true, 0},
}

// Each way in which an attempt ends is one outcome, with its result.
func TestCoreNotifiesModuleOfOutcomes(t *testing.T) {
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
				t.Fatalf("outcomes %+v, want one with result %d, final %v, reason %d", got, c.result, c.final, c.reason)
			}
			if name == "rejected" && (got[0].Report == nil || got[0].Report.AvailableCores != 1.5 || got[0].Report.Queue != 3) {
				t.Errorf("report %+v", got[0].Report)
			}
		})
	}
}

// An offer that was queued for a connection is not sent once it has become wrong.
func TestCoreDropsQueuedOfferThatBecameWrong(t *testing.T) {
	for name, wrong := range map[string]func(w *testCore){
		"owner disconnected": func(w *testCore) { w.step(OwnerDisconnected{1}) },
		"draining past the grace": func(w *testCore) {
			w.step(hostChanged(1, platform.Terminating))
			w.advance(300 * time.Millisecond)
		},
	} {
		w := newTestCore(t, nil)
		o := w.connectOwner()
		w.send(o, requestLine(ref1, "keyed", ""))
		dial := ofType[DialHost](w.outputs)[0]
		wrong(w)
		if got := w.step(HostConnected{dial.Connection}); len(sentLines[SendToHost](got)) != 0 {
			t.Errorf("%s: %q is sent all the same", name, sentLines[SendToHost](got))
		}
		if got := takeEvents[forkhead.Outcome](w); len(got) != 1 || got[0].Result != forkhead.NotSent && got[0].Result != forkhead.Withdrawn {
			t.Errorf("%s: outcomes %+v", name, got)
		}
	}
}

// inputOf makes an input of the connections of an owner and to a host.
type inputOf func(owner OwnerID, conn ConnectionID) Input

// The inputs that meet in TestCoreTwoInputsInOneStep.
var (
	answered     inputOf = func(_ OwnerID, conn ConnectionID) Input { return fromHost(conn, boundLine(ref1)) }
	answersTwice inputOf = func(_ OwnerID, conn ConnectionID) Input { return fromHost(conn, boundLine(ref1), boundLine(ref1)) }
	rejected     inputOf = func(_ OwnerID, conn ConnectionID) Input { return fromHost(conn, releaseLine(ref1, 34)) }
	hostEnds     inputOf = func(_ OwnerID, conn ConnectionID) Input { return HostDisconnected{conn} }
	withdrawn    inputOf = func(owner OwnerID, _ ConnectionID) Input {
		return OwnerData{owner, []byte(releaseLine(ref1, 16) + "\n")}
	}
	ownerEnds inputOf = func(owner OwnerID, _ ConnectionID) Input { return OwnerDisconnected{owner} }
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

// In one step: a deadline and the answer, the deadline and a rejection, a rejection and the end of its connection, the
// owner's withdrawal and the answer, in both orders. One final answer each, and no task is left running for nobody.
func TestCoreTwoInputsInOneStep(t *testing.T) {
	for name, c := range map[string]struct {
		inputs     []inputOf
		atDeadline bool
		owner      string // what it is sent
		host       string // what it is sent
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
			t.Errorf("%s: the owner is sent %q, want %q", name, got, c.owner)
		}
		if got := short(sentLines[SendToHost](w.outputs)); got != c.host {
			t.Errorf("%s: the host is sent %q, want %q", name, got, c.host)
		}
	}
}

// An attempt is withdrawn and offered to the same host again; the host answers the first and then stops it, as it was
// requested. Its owner is sent the release, though the cause is the one of a task that its owner has ended.
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
	w.wantLines(sentLines[SendToHost](w.step(HostData{conn, []byte(up)})), "down "+ref1+" 16") // the second runs for nobody
	w.wantLines(sentLines[SendToOwner](w.outputs))
}

// A task has run and ended before its host's answer has come, which is late: it is released to its owner at once, and not
// offered to another host. Without a sign that it has run, it is.
func TestCoreReleasesTaskThatEndedUnanswered(t *testing.T) {
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
			t.Errorf("%s: the owner is sent %q, %d more offers", name, got, offers)
		}
		if c.ran { // and the answer, when it comes
			w.step(fromHost(conn, boundLine(ref1)))
			w.wantLines(sentLines[SendToOwner](w.outputs))
			w.wantLines(sentLines[SendToHost](w.outputs))
		}
	}
}

// A second answer and one under an unknown ref are ignored; a late answer leaves no task that runs for nobody.
func TestCoreStopsTaskOfLateAnswer(t *testing.T) {
	w := newTestCore(t, nil)
	_, conn := w.placeTask()
	w.step(fromHost(conn, boundLine(ref1), boundLine(ref2)))
	w.wantLines(sentLines[SendToOwner](w.outputs))
	w.wantLines(sentLines[SendToHost](w.outputs))
	if w.core.connections[conn] == nil {
		t.Fatal("the connection is closed")
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
