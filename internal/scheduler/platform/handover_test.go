package platform

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

// A hand-over is not answered, even one with a long timeout, and the task counts as placed: its host is dialed, and the
// end of the task is released to the owner. A hand-over that names an unusable host is rejected.
func TestCoreHandOverIsNotAnswered(t *testing.T) {
	w := newTestCore(t, nil)
	o := w.connectOwner()
	long := strings.Replace(requestLine(ref1, "keyed", ";at:s-00000002"), `"left":"1500"`, `"left":"4294967"`, 1)
	w.wantLines(sentLines[SendToOwner](w.send(o, long)))
	if got := takeEvents[forkhead.HandedOver](w); len(got) != 1 || got[0].Machine != 2 {
		t.Fatalf("hand-over on host 2: got HandedOver events %+v, want one with machine 2", got)
	}
	w.advance(100 * time.Millisecond) // the host is dialed, as it may have ends of tasks to report
	w.advance(time.Millisecond)
	if len(w.core.hosts[2].connections) != 1 {
		t.Fatalf("100 ms after the hand-over: got %d connections to host 2, want 1", len(w.core.hosts[2].connections))
	}
	conn := w.core.hosts[2].connections[0].id
	w.step(HostConnected{conn})
	w.step(fromHost(conn, releaseLine(ref1, 16)))
	w.wantLines(sentLines[SendToOwner](w.outputs), "down "+ref1+" 16")
	// The host that the hand-over names has the number of a listed host, but a different name.
	w.wantLines(sentLines[SendToOwner](w.send(o, requestLine(ref2, "keyed", ";at:t-00000002"))), "down "+ref2+" 47")
}

// A task that is handed over on a host that the endpoint list does not have yet counts as placed. The host is dialed
// once it is listed. If that does not happen in time, the task is released and the host deleted.
func TestCoreReleasesHandedOverTaskWhoseHostIsNotListedInTime(t *testing.T) {
	for _, listed := range []bool{true, false} {
		w := newTestCore(t, nil)
		o := w.connectOwner()
		w.wantLines(sentLines[SendToOwner](w.send(o, handOverLine(ref1, 9))))
		if got := takeEvents[forkhead.HandedOver](w); len(got) != 1 || got[0].Machine != 9 {
			t.Fatalf("hand-over on host 9: got HandedOver events %+v, want one with machine 9", got)
		}
		var sent []string
		collect := func() { sent = append(sent, sentLines[SendToOwner](w.outputs)...) }
		w.run(time.Second, connected, collect)
		if listed {
			w.step(hostChanged(9, platform.InService))
		}
		dials := 0
		w.run(4*time.Second, func(d DialHost) Input { dials++; return connected(d) }, collect)
		if want := "down " + ref1 + " 41"; listed && (dials == 0 || len(sent) > 0) || !listed && (len(sent) != 1 || sent[0] != want) {
			t.Errorf("listed %v: got %d dials and lines to the owner %q; want dials and no line if listed, else the one line %q",
				listed, dials, sent, want)
		}
		if !listed {
			w.run(unconfirmedTimeout, connected, func() {}) // the host may still be listed, with the task, until then
		}
		if !listed && (w.core.hosts[9] != nil || w.core.unlistedHosts != 0) {
			t.Errorf("never listed: host 9 known %v, want false; %d unlisted hosts, want 0", w.core.hosts[9] != nil, w.core.unlistedHosts)
		}
	}
}

// The number of hosts that only hand-overs have named is bounded, and tasks are not offered to them.
func TestCoreBoundsUnlistedHosts(t *testing.T) {
	w := newTestCore(t, nil)
	o := w.connectOwner()
	rejected := 0
	for i := range maxUnlistedHosts + 10 {
		rejected += len(sentLines[SendToOwner](w.send(o, handOverLine(fmt.Sprintf("%016x", i+1), 1000+i))))
	}
	if rejected != 10 || w.core.unlistedHosts != maxUnlistedHosts {
		t.Errorf("hand-overs on %d unlisted hosts: got %d rejected, want 10; %d unlisted hosts kept, want %d",
			maxUnlistedHosts+10, rejected, w.core.unlistedHosts, maxUnlistedHosts)
	}
	w.decide = func(ev forkhead.Event) []forkhead.Action {
		if a, ok := ev.(forkhead.PlacementRequest); ok {
			return []forkhead.Action{forkhead.Offer{Task: a.Task.ID, Machine: 1000}}
		}
		return nil
	}
	w.send(o, requestLine(ref2, "unsafe", ""))
	dials, outcomes := ofType[DialHost](w.outputs), takeEvents[forkhead.Outcome](w)
	if len(dials) > 0 || outcomes[0].Result != forkhead.NotSent {
		t.Errorf("offer to an unlisted host: got dials %+v and outcomes %+v, want no dial and a first outcome with result %d (NotSent)",
			dials, outcomes, forkhead.NotSent)
	}
}

// If the release of a task comes before its hand-over, the hand-over is answered with the release at once, as the host
// reports the end only once. Nothing is sent if the owner itself has ended the task. The tasks of a removed host count
// as ended too: each hand-over of one is answered with a release and does not count as malformed, however many there
// are.
func TestCoreReleasesTaskHandedOverAfterItsEnd(t *testing.T) {
	for cause, want := range map[int][]string{16: {"down " + ref2 + " 16"}, 41: {"down " + ref2 + " 41"}, 47: {"down " + ref2 + " 41"}, 31: nil} {
		w := newTestCore(t, nil)
		o, conn := w.placeTask()
		w.step(fromHost(conn, releaseLine(ref2, cause)))
		w.wantLines(sentLines[SendToHost](w.outputs), "ack "+ref2)
		w.wantLines(sentLines[SendToOwner](w.send(o, handOverLine(ref2, 1))), want...)
		if got := takeEvents[forkhead.HandedOver](w); len(got) > 0 || w.core.requestsByRef[ref2] != nil {
			t.Errorf("hand-over after a release with cause %d: got HandedOver events %+v, want none; request known %v, want false",
				cause, got, w.core.requestsByRef[ref2] != nil)
		}
	}
	w := newTestCore(t, nil)
	o, conn := w.placeTask()
	w.wantLines(sentLines[SendToOwner](w.step(fromHost(conn, releaseLine(ref1, 16)))), "down "+ref1+" 16")
	if w.wantLines(sentLines[SendToOwner](w.send(o, handOverLine(ref1, 1)))); w.core.requestsByRef[ref1] != nil {
		t.Error("hand-over of a task whose release was sent: request known again, want it unknown, as the task has ended")
	}
	w.step(hostChanged(2, platform.Terminated))
	w.advance(time.Second)
	for i := range 3 * maxMalformedRequests {
		ref := fmt.Sprintf("%016x", i+1)
		w.wantLines(sentLines[SendToOwner](w.send(o, handOverLine(ref, 2))), "down "+ref+" 41")
	}
	if w.core.owners[o] == nil {
		t.Errorf("after %d hand-overs on a removed host: connection of the owner closed, want it open", 3*maxMalformedRequests)
	}
}

// A task is handed over again on another connection in the step in which its host releases it. The owner must get one
// release, on the connection of the last hand-over, and the module one HandedOver event.
func TestCoreReleasesTaskHandedOverTwiceOnLastConnection(t *testing.T) {
	w := newTestCore(t, nil)
	first, second := w.connectOwner(), w.connectOwner()
	w.wantLines(sentLines[SendToOwner](w.send(first, handOverLine(ref1, 1))))
	w.advance(100 * time.Millisecond)
	conn := w.core.hosts[1].connections[0].id
	w.step(HostConnected{conn})
	w.wantLines(sentLines[SendToOwner](w.step(OwnerData{Owner: second, Data: []byte(handOverLine(ref1, 1) + "\n")}, fromHost(conn, releaseLine(ref1, 16)))),
		"down "+ref1+" 16")
	if ofType[SendToOwner](w.outputs)[0].Owner != second {
		t.Errorf("release sent to owner %d, want %d, whose hand-over came last", ofType[SendToOwner](w.outputs)[0].Owner, second)
	}
	if got := takeEvents[forkhead.HandedOver](w); len(got) != 1 {
		t.Errorf("task handed over twice: got HandedOver events %+v, want one", got)
	}
	// A further hand-over after the release gets no line: the owner knows that the task has ended.
	w.wantLines(sentLines[SendToOwner](w.send(first, handOverLine(ref1, 1))))
}

// A hand-over may name a task that this placer has placed or is placing. It is not answered, and the release of a
// placed task moves to the connection of the hand-over. A hand-over of another task under the same ref is rejected.
func TestCoreAcceptsHandOverOfTaskItPlaced(t *testing.T) {
	w := newTestCore(t, nil)
	o, _ := w.placeTask()
	second := w.connectOwner()
	for _, by := range []OwnerID{o, second} {
		if w.wantLines(sentLines[SendToOwner](w.send(by, handOverLine(ref1, 1)))); w.core.owners[by] == nil || w.core.requestsByRef[ref1].owner != by {
			t.Fatalf("hand-over on connection %d: got it open %v, want true; got request %+v, want one with owner %d",
				by, w.core.owners[by] != nil, w.core.requestsByRef[ref1], by)
		}
	}
	w.send(o, requestLine(ref2, "keyed", ""))
	w.wantLines(sentLines[SendToOwner](w.send(second, handOverLine(ref2, 1))))
	if w.core.requestsByRef[ref2] == nil || w.core.requestsByRef[ref2].phase != requestOpen {
		t.Errorf("hand-over of a task that is being placed: got request %+v, want one with phase %d (requestOpen)",
			w.core.requestsByRef[ref2], requestOpen)
	}
	w.wantLines(sentLines[SendToOwner](w.send(o, strings.Replace(handOverLine(ref1, 1), "7f3a9c21e0b4d655", "00000000000000aa", 1))), "down "+ref1+" 47")
}

// A release that could not be delivered, as no owner was connected, is sent on the next connection from the owner's
// address. If that connection hands the task over, the release is not sent on it again. On a connection from another
// address, it is sent on the hand-over of its task, and only once.
func TestCoreSendsUndeliveredReleaseOnHandOver(t *testing.T) {
	w := newTestCore(t, nil)
	o, conn := w.placeTask()
	w.step(OwnerDisconnected{Owner: o})
	w.wantLines(sentLines[SendToOwner](w.step(fromHost(conn, releaseLine(ref1, 16)))))
	elsewhere := w.connectOwnerFrom(addressB)
	w.wantLines(sentLines[SendToOwner](w.send(elsewhere, handOverLine(ref1, 1))), "down "+ref1+" 16")
	w.wantLines(sentLines[SendToOwner](w.send(elsewhere, handOverLine(ref1, 1))))

	w = newTestCore(t, nil)
	o, conn = w.placeTask()
	w.step(OwnerDisconnected{Owner: o})
	w.wantLines(sentLines[SendToOwner](w.step(fromHost(conn, releaseLine(ref1, 16)))))
	next := w.connectOwner()
	w.wantLines(sentLines[SendToOwner](w.outputs), "down "+ref1+" 16")
	w.wantLines(sentLines[SendToOwner](w.send(next, handOverLine(ref1, 1))))
	// The task of ref2 counts as placed, and the release of ref1 is not sent again.
	w.wantLines(sentLines[SendToOwner](w.send(next, handOverLine(ref2, 1))))
}

// A task of the same service is handed over on a host while an offer waits for a connection to it. The offer is not
// sent if it would now exceed the spread limit.
func TestCoreDropsQueuedOfferThatHandOverPutsOverSpreadLimit(t *testing.T) {
	for limit, want := range map[int]int{1: 0, 2: 1} {
		w := newTestCore(t, func(cfg *Config) {
			cfg.Settings.Classes[0].SpreadDomain, cfg.Settings.Classes[0].MaxPerDomain = forkhead.MachineDomain, limit
		})
		o := w.connectOwner()
		w.send(o, requestLine(ref1, "keyed", ""))
		dial := ofType[DialHost](w.outputs)[0]
		w.send(o, handOverLine(ref2, 1))
		n := 0
		for _, line := range sentLines[SendToHost](w.step(HostConnected{dial.Connection})) {
			if line == "new "+ref1 {
				n++
			}
		}
		if got := takeEvents[forkhead.Outcome](w); n != want || want == 0 && (len(got) != 1 || got[0].Result != forkhead.NotSent) {
			t.Errorf("spread limit %d: got %d offers sent, want %d; outcomes %+v, want one with result NotSent if none is sent",
				limit, n, want, got)
		}
	}
}

// A task that is handed over on a removed host counts until the end is confirmed, although its owner is notified at once:
// the list may be wrong.
func TestCoreCountsTaskHandedOverOnRemovedHost(t *testing.T) {
	w := newTestCore(t, nil)
	o := w.connectOwner()
	w.step(hostChanged(1, platform.Terminated))
	w.advance(time.Second)
	w.wantLines(sentLines[SendToOwner](w.send(o, handOverLine(ref1, 1))), "down "+ref1+" 41")
	w.wantUnconfirmed()
}

// A task that ended before its hand-over is released once on a connection, however often it is handed over there, and
// again on another connection.
func TestCoreReleasesTaskHandedOverTwiceAfterItsEndOnce(t *testing.T) {
	w := newTestCore(t, nil)
	o, conn := w.placeTask()
	w.step(fromHost(conn, releaseLine(ref2, 16)))
	w.wantLines(sentLines[SendToOwner](w.send(o, handOverLine(ref2, 1))), "down "+ref2+" 16")
	w.wantLines(sentLines[SendToOwner](w.send(o, handOverLine(ref2, 1))))
	w.wantLines(sentLines[SendToOwner](w.send(w.connectOwner(), handOverLine(ref2, 1))), "down "+ref2+" 16")
}

// Guards against a client that fills the memory with tasks that it only names: hand-overs beyond the bound are rejected,
// and accepted again once tasks have ended.
func TestCoreBoundsHandedOverTasks(t *testing.T) {
	w := newTestCore(t, func(cfg *Config) { cfg.MaxTakenOverTasks = 3 })
	o := w.connectOwner()
	for i := range 3 {
		w.wantLines(sentLines[SendToOwner](w.send(o, handOverLine(requestNumber(i), 2))))
	}
	w.wantLines(sentLines[SendToOwner](w.send(o, handOverLine(requestNumber(3), 2))), "down "+requestNumber(3)+" 47")
	if len(w.core.requests) != 3 {
		t.Fatalf("after 4 hand-overs with a bound of 3: got %d requests, want 3", len(w.core.requests))
	}
	w.advance(100 * time.Millisecond)
	conn := w.core.hosts[2].connections[0].id
	w.step(HostConnected{conn})
	w.step(fromHost(conn, releaseLine(requestNumber(0), 16)))
	w.wantLines(sentLines[SendToOwner](w.send(o, handOverLine(requestNumber(4), 2))))
	if w.core.takenOver != 3 || len(w.core.requests) != 3 {
		t.Errorf("after the end of one and a further hand-over: got %d taken over and %d requests, want 3 of each", w.core.takenOver, len(w.core.requests))
	}
}

// Guards against a hand-over whose cost grows with the number of tasks on its host (a client sent ever new ones).
func BenchmarkHandOver(b *testing.B) {
	for _, tasks := range []int{10, 10_000} {
		b.Run(fmt.Sprint(tasks, " tasks on the host"), func(b *testing.B) {
			w := newTestCore(b, nil)
			o := w.connectOwner()
			for i := range tasks {
				w.step(OwnerData{Owner: o, Data: []byte(handOverLine(fmt.Sprintf("%016x", 1<<40+i), 2) + "\n")})
			}
			h := w.core.hosts[2]
			decoded := &decodedRequest{ref: ref1}
			decoded.task.Key = 1
			for b.Loop() {
				w.core.logSecondHandOver(h, decoded)
				w.core.expireStops(h)
			}
		})
	}
}

// A task that is handed over twice in one read, on a host that has gone, is released once, and the requests behind it are
// served: its owner repeats hand-overs when a start and a reset come together.
func TestCoreServesRequestsBehindRepeatedHandOverOnGoneHost(t *testing.T) {
	w := newTestCore(t, nil)
	w.step(hostChanged(2, platform.Terminated))
	w.advance(removedGrace + 2*reconcileInterval)
	owner := w.connectOwner()
	lines := []string{handOverLine(ref1, 2), handOverLine(ref1, 2), requestLine(ref2, "keyed", "")}
	out := w.step(OwnerData{Owner: owner, Data: []byte(strings.Join(lines, "\n") + "\n")})
	w.wantLines(sentLines[SendToOwner](out), "down "+ref1+" 41")
	if closed := ofType[CloseOwnerConnection](out); len(closed) != 0 {
		t.Fatalf("after a repeated hand-over: got %v, want the connection open", closed)
	}
	if dials := ofType[DialHost](out); len(dials) != 1 {
		t.Errorf("the request behind the hand-overs: got %d dials of its host, want 1", len(dials))
	}
}
