package platform

import (
	"slices"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

func mayProbe(cfg *Config) { cfg.Settings.MayProbe = true }

// countedAttempts returns the number of attempts that count toward the limits of all services.
func (w *testCore) countedAttempts() int {
	count := 0
	for _, attempts := range w.core.attemptsByService {
		count += len(attempts)
	}
	return count
}

// wantUnconfirmed fails the test unless the module has received one outcome, which is unconfirmed, and the attempt still
// counts.
func (w *testCore) wantUnconfirmed() {
	w.t.Helper()
	if got := takeEvents[forkhead.Outcome](w); len(got) != 1 || !got[0].Unconfirmed || w.countedAttempts() != 1 {
		w.t.Fatalf("got outcomes %+v and %d counted attempts, want one unconfirmed outcome and 1", got, w.countedAttempts())
	}
	if got := takeEvents[forkhead.EndConfirmed](w); len(got) != 0 {
		w.t.Fatalf("got events %+v before the host has shown anything, want none", got)
	}
}

// wantConfirmed fails the test unless the module has received one EndConfirmed and the attempt does not count any more.
func (w *testCore) wantConfirmed() {
	w.t.Helper()
	if got := takeEvents[forkhead.EndConfirmed](w); len(got) != 1 || w.countedAttempts() != 0 || w.core.unconfirmedEnds != 0 {
		w.t.Errorf("got events %+v, %d counted attempts and %d unconfirmed ends, want one EndConfirmed, 0 and 0",
			got, w.countedAttempts(), w.core.unconfirmedEnds)
	}
}

// loseHost resets the connection to host 1 and refuses dials until its task counts as lost.
func (w *testCore) loseHost(conn ConnectionID) {
	w.step(HostDisconnected{Connection: conn, Reset: true})
	for range 8 {
		w.advance(60 * time.Millisecond)
		w.failDials(true)
	}
}

// The task of a host that was taken for lost counts until the host shows that it does not run the task: by a release, by
// an acknowledgment of the stop, or by the result of a probe sent behind the stop.
func TestCoreCountsTaskOfLostHostUntilItsEndIsConfirmed(t *testing.T) {
	for name, confirm := range map[string]func(w *testCore, conn ConnectionID){
		"release":        func(w *testCore, conn ConnectionID) { w.step(fromHost(conn, releaseLine(ref1, 31))) },
		"acknowledgment": func(w *testCore, conn ConnectionID) { w.step(fromHost(conn, `{"t":"ack","ref":"`+ref1+`","f":{}}`)) },
		"probe behind the stop": func(w *testCore, _ ConnectionID) {
			w.run(5*time.Second, connected, func() {
				for _, o := range ofType[SendToHost](w.outputs) {
					for _, ref := range probeRefs([]Output{o}) {
						w.step(fromHost(o.Connection, `{"t":"hb_ok","ref":"`+ref+`","f":{},"c":1}`))
					}
				}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestCore(t, mayProbe)
			_, conn := w.placeTask()
			w.loseHost(conn)
			w.wantUnconfirmed()
			w.advance(time.Minute) // nothing shows that the host does not run the task, and it is still listed
			w.failDials(true)
			if w.countedAttempts() != 1 {
				t.Fatalf("a minute after the host was lost: got %d counted attempts, want 1", w.countedAttempts())
			}
			var dial DialHost
			for w.run(20*time.Second, func(d DialHost) Input { dial = d; return connected(d) }, func() {}); dial.Connection == 0; {
				t.Fatal("20 s: got no dial of the host, want one")
			}
			stops := 0
			for _, a := range w.core.hosts[1].unconfirmed {
				if a.stop.connection != nil {
					stops++
				}
			}
			if stops != 1 {
				t.Fatalf("after the host accepted a connection: got %d stops sent, want 1", stops)
			}
			confirm(w, w.core.hosts[1].newestConnection().id)
			w.wantConfirmed()
		})
	}
}

// probeRefs returns the refs of the probes among outputs.
func probeRefs(outputs []Output) []string {
	var refs []string
	for _, o := range ofType[SendToHost](outputs) {
		if m, err := platform.Decode(o.Line[:len(o.Line)-1]); err == nil && m.Type == platform.TypeProbe {
			refs = append(refs, m.Ref)
		}
	}
	return refs
}

// An attempt whose connection ends, and one that is withdrawn, counts until its end is confirmed.
func TestCoreCountsAbandonedAttemptUntilItsEndIsConfirmed(t *testing.T) {
	for name, abandon := range map[string]func(w *testCore, conn ConnectionID){
		"connection ends": func(w *testCore, conn ConnectionID) { w.step(HostDisconnected{Connection: conn}) },
		"owner withdraws": func(w *testCore, _ ConnectionID) { w.send(1, releaseLine(ref1, 16)) },
		"deadline":        func(w *testCore, _ ConnectionID) { w.advance(1500 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestCore(t, nil)
			w.send(w.connectOwner(), requestLine(ref1, "keyed", ""))
			conn := ofType[DialHost](w.outputs)[0].Connection
			w.connectDialed()
			abandon(w, conn)
			w.wantUnconfirmed()
			w.run(200*time.Millisecond, connected, func() {})
			w.step(fromHost(w.core.hosts[1].newestConnection().id, releaseLine(ref1, 31)))
			w.wantConfirmed()
		})
	}
}

// A release that is a late copy of the rejection of an earlier offer does not confirm the end of a later attempt.
func TestCoreIgnoresCopyOfEarlierRejectionAsConfirmation(t *testing.T) {
	w := newTestCore(t, nil)
	_, conn := w.placeTask()
	w.step(HostDisconnected{Connection: conn, Reset: true})
	w.loseHost(conn)
	w.wantUnconfirmed()
	w.run(20*time.Second, connected, func() {})
	w.step(fromHost(w.core.hosts[1].newestConnection().id, releaseLine(ref1, 34)))
	if w.countedAttempts() != 1 {
		t.Errorf("after a rejection on another connection than the offer's: got %d counted attempts, want 1", w.countedAttempts())
	}
}

// An offer of the task to the same host replaces the earlier attempt: the host runs the task at most once, and it is not
// stopped.
func TestCoreCountsRepeatedOfferToSameHostOnce(t *testing.T) {
	w := newTestCore(t, nil)
	w.offerAgain()
	w.send(w.connectOwner(), requestLine(ref1, "keyed", ""))
	conn := ofType[DialHost](w.outputs)[0].Connection
	w.connectDialed()
	w.step(HostDisconnected{Connection: conn})
	w.wantLines(sentLines[SendToHost](w.connectDialed()), "new "+ref1)
	if w.countedAttempts() != 1 || w.core.unconfirmedEnds != 0 {
		t.Errorf("after the second offer: got %d counted attempts and %d unconfirmed ends, want 1 and 0", w.countedAttempts(), w.core.unconfirmedEnds)
	}
}

// The ends of tasks of a removed host that never answers count as confirmed after unconfirmedTimeout, and the host is
// deleted then.
func TestCoreGivesUpUnconfirmedEndsOfRemovedHost(t *testing.T) {
	w := newTestCore(t, nil)
	_, conn := w.placeTask()
	w.step(hostChanged(1, platform.Terminated), HostDisconnected{Connection: conn, Reset: true})
	refuse := func(d DialHost) Input { return DialFailed{Connection: d.Connection, Refused: true} }
	w.run(unconfirmedTimeout, refuse, func() {})
	w.wantUnconfirmed()
	w.run(2*time.Second, refuse, func() {})
	w.wantConfirmed()
	if w.core.hosts[1] != nil {
		t.Error("after the end was given up: host 1 is still known, want it deleted")
	}
}

// A host whose connections ended in order and that refuses new ones keeps its tasks until it counts as unresponsive.
func TestCoreKeepsTasksOfHostThatRefusesAfterOrderlyClose(t *testing.T) {
	w := newTestCore(t, nil)
	_, conn := w.placeTask()
	w.step(HostDisconnected{Connection: conn})
	refuse := func(d DialHost) Input { return DialFailed{Connection: d.Connection, Refused: true} }
	w.run(7*time.Second, refuse, func() {})
	if got := takeEvents[forkhead.Outcome](w); len(got) != 0 {
		t.Fatalf("refused dials for 7 s: got outcomes %+v, want none", got)
	}
	w.run(900*time.Millisecond, refuse, func() {})
	w.wantUnconfirmed()
}

// A host that the endpoint list has as removed keeps its tasks while it answers on an open connection.
func TestCoreKeepsTasksOfRemovedHostThatAnswers(t *testing.T) {
	w := newTestCore(t, mayProbe)
	_, conn := w.placeTask()
	refs := probeRefs(w.step(hostChanged(1, platform.Terminated)))
	if len(refs) != 1 {
		t.Fatalf("host listed as removed: got %d probes, want 1", len(refs))
	}
	w.now += 10 * time.Millisecond
	w.step(fromHost(conn, `{"t":"hb_ok","ref":"`+refs[0]+`","f":{},"c":1}`))
	w.run(5*time.Second, connected, func() {})
	if got := takeEvents[forkhead.Outcome](w); len(got) != 0 {
		t.Fatalf("removed host that answers: got outcomes %+v, want none", got)
	}
	w.step(fromHost(conn, releaseLine(ref1, 16)))
	if got := takeEvents[forkhead.Outcome](w); len(got) != 1 || got[0].Result != forkhead.OK {
		t.Errorf("after the host's release: got outcomes %+v, want one with result OK", got)
	}
}

// The number of unconfirmed ends is bounded.
func TestCoreBoundsUnconfirmedEnds(t *testing.T) {
	const before, tasks = maxUnconfirmedEnds - 10, 20
	w := newTestCore(t, nil)
	w.core.unconfirmedEnds = before // as if other hosts had them
	owner := w.connectOwner()
	for i := range tasks {
		w.send(owner, handOverLine(requestNumber(i), 1))
	}
	w.step(hostChanged(1, platform.Terminated))
	w.advance(time.Second)
	if w.core.unconfirmedEnds != maxUnconfirmedEnds || w.countedAttempts() != maxUnconfirmedEnds-before {
		t.Errorf("%d unconfirmed ends, then %d tasks of a lost host: got %d and %d counted attempts, want %d and %d",
			before, tasks, w.core.unconfirmedEnds, w.countedAttempts(), maxUnconfirmedEnds, maxUnconfirmedEnds-before)
	}
}

// An inferred end and its confirmation have one log line each, with the host, the request and the reason.
func TestCoreLogsUnconfirmedEndAndItsConfirmation(t *testing.T) {
	w := newTestCore(t, nil)
	owner, conn := w.placeTask()
	w.send(owner, releaseLine(ref1, 16))
	var logged []string
	collect := func() {
		for _, line := range ofType[Log](w.outputs) {
			logged = append(logged, line.String())
		}
	}
	w.run(2*time.Second, connected, collect)
	w.step(fromHost(conn, releaseLine(ref1, 31)))
	collect()
	want := []string{
		messageEndUnconfirmed + " host=s-00000001 ref=" + ref1 + " reason=" + string(reasonStopUnanswered),
		messageEndConfirmed + " host=s-00000001 ref=" + ref1 + " reason=" + string(reasonHostReleased),
	}
	if !slices.Equal(logged, want) {
		t.Errorf("log lines: got %q, want %q", logged, want)
	}
}

// The result of a probe confirms only the ends whose stops were sent before the probe, not those that follow it in the
// same step.
func TestCoreConfirmsNoEndWhoseStopFollowsTheProbe(t *testing.T) {
	w := newTestCore(t, mayProbe)
	owner, conn := w.placeTask()
	w.send(owner, requestLine(ref2, "keyed", "")) // in flight on the same connection
	w.send(owner, releaseLine(ref1, 16))
	var refs []string
	for end := w.now + 5*time.Second; len(refs) == 0 && w.now < end; { // the stop is not answered, and a probe follows it
		w.now += 10 * time.Millisecond
		refs = probeRefs(w.step())
	}
	if len(refs) != 1 || w.core.hosts[1].unconfirmed[ref1] == nil {
		t.Fatalf("got %d probes behind the unanswered stop, want 1; first end unconfirmed %v, want true", len(refs), w.core.hosts[1].unconfirmed[ref1] != nil)
	}
	w.send(owner, releaseLine(ref2, 16)) // the stop of the second task is sent at the time of the probe, but behind it
	w.step(fromHost(conn, `{"t":"hb_ok","ref":"`+refs[0]+`","f":{},"c":1}`))
	if w.core.hosts[1].unconfirmed[ref2] == nil || w.core.hosts[1].unconfirmed[ref1] != nil {
		t.Errorf("after the probe's result: first end unconfirmed %v, second %v; want false and true",
			w.core.hosts[1].unconfirmed[ref1] != nil, w.core.hosts[1].unconfirmed[ref2] != nil)
	}
}

// A removed host is gone although its address answers, if the endpoint list has another host there.
func TestCoreLosesTasksOfRemovedHostWhoseAddressIsTaken(t *testing.T) {
	w := newTestCore(t, mayProbe)
	_, conn := w.placeTask()
	event := hostChanged(1, platform.Terminated)
	taken := endpoint(3, platform.InService)
	taken.Address = event.Event.Endpoints.Hosts[0].Address
	event.Event.Endpoints.Hosts = append(event.Event.Endpoints.Hosts, taken)
	refs := probeRefs(w.step(event))
	w.now += 10 * time.Millisecond
	w.step(fromHost(conn, `{"t":"hb_ok","ref":"`+refs[0]+`","f":{},"c":1}`)) // from the other host
	w.run(time.Second, connected, func() {})
	w.wantUnconfirmed()
}
