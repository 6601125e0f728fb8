package platform

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

// Addresses of owners.
const (
	addressA = "10.9.0.1"
	addressB = "10.9.0.2"
)

// connectOwnerFrom opens a connection of an owner from an address and returns its id.
func (w *testCore) connectOwnerFrom(address string) OwnerID {
	w.lastOwner++
	w.step(OwnerConnected{Owner: w.lastOwner, Address: address})
	return w.lastOwner
}

// placeTaskFrom places a task on host 1 for a connection from an address, and returns that connection and the one to the
// host.
func (w *testCore) placeTaskFrom(address, ref string) (owner OwnerID, conn ConnectionID) {
	w.t.Helper()
	owner = w.connectOwnerFrom(address)
	w.send(owner, requestLine(ref, "keyed", ""))
	w.connectDialed()
	conn = w.core.hosts[1].leastBusyConnection().id
	w.wantLines(sentLines[SendToOwner](w.step(fromHost(conn, boundLine(ref)))), "up "+ref)
	return owner, conn
}

// linesTo returns the lines that outputs send on a connection of an owner, in the form of sentLines.
func linesTo(owner OwnerID, out []Output) []string {
	return sentLines[SendToOwner](slices.DeleteFunc(slices.Clone(out), func(o Output) bool {
		sent, ok := o.(SendToOwner)
		return !ok || sent.Owner != owner
	}))
}

// Guards against a release that never reaches its owner: the owner's connection has ended while its task ran, and no task
// is placed for the connection on which the owner comes back. That connection gets the release, whatever it is used for,
// and whether it opens before the end of the task or after it.
func TestCoreReleasesTaskToOwnerThatConnectedAgain(t *testing.T) {
	for name, use := range map[string]func(w *testCore, owner OwnerID){
		"sends nothing": func(*testCore, OwnerID) {},
		"sends a probe": func(w *testCore, owner OwnerID) { w.send(owner, ownerProbe) },
		"has a rejected request": func(w *testCore, owner OwnerID) {
			w.send(owner, requestLine(ref2, "keyed", ""))
			w.step(fromHost(w.core.hosts[1].leastBusyConnection().id, releaseLine(ref2, 34)))
		},
		"has a malformed request": func(w *testCore, owner OwnerID) { w.send(owner, requestLine(ref2, "none", "")) },
	} {
		t.Run(name+", open before the end", func(t *testing.T) {
			w := newTestCore(t, nil)
			before, conn := w.placeTask()
			w.step(OwnerDisconnected{Owner: before})
			again := w.connectOwner()
			use(w, again)
			w.wantLines(linesTo(again, w.step(fromHost(conn, releaseLine(ref1, 16)))), "down "+ref1+" 16")
		})
	}
	t.Run("opens after the end", func(t *testing.T) {
		w := newTestCore(t, nil)
		before, conn := w.placeTask()
		w.step(OwnerDisconnected{Owner: before})
		w.wantLines(sentLines[SendToOwner](w.step(fromHost(conn, releaseLine(ref1, 16)))))
		w.advance(undeliveredTimeout - time.Second)
		again := w.connectOwner()
		w.wantLines(linesTo(again, w.outputs), "down "+ref1+" 16")
	})
}

// Guards against a migration of which the owner never learns, as its connection has ended: it would not request the task
// again. The message takes the same way as a release. An owner that has not got it and hands the task over gets a
// release, but only once on a connection.
func TestCoreSendsMigrationToOwnerThatConnectedAgain(t *testing.T) {
	w := newTestCore(t, nil)
	before, conn := w.placeTaskFrom(addressA, ref1)
	w.step(OwnerDisconnected{Owner: before})
	again := w.connectOwnerFrom(addressA)
	w.decide = func(forkhead.Event) []forkhead.Action { return []forkhead.Action{forkhead.Stop{Task: 1}} }
	out := w.step(GossipReceived{1, nil})
	w.decide = nil
	w.wantLines(linesTo(again, out), "shift "+ref1)
	w.wantLines(sentLines[SendToHost](out), "down "+ref1+" 16")
	w.wantLines(sentLines[SendToOwner](w.step(fromHost(conn, releaseLine(ref1, 31)))))
	w.wantLines(sentLines[SendToOwner](w.send(again, handOverLine(ref1, 1))))
	elsewhere := w.connectOwnerFrom(addressB)
	w.wantLines(sentLines[SendToOwner](w.send(elsewhere, handOverLine(ref1, 1))), "down "+ref1+" 41")
}

// Several owners may share an address. Each connection from the address of the owner gets the release once; connections
// from other addresses do not get it.
func TestCoreReleasesTaskOnAllConnectionsFromAddress(t *testing.T) {
	w := newTestCore(t, nil)
	neighbor, _ := w.placeTaskFrom(addressA, ref2)
	stranger, _ := w.placeTaskFrom(addressB, ref3)
	before, conn := w.placeTaskFrom(addressA, ref1)
	w.step(OwnerDisconnected{Owner: before})
	first := w.connectOwnerFrom(addressA)
	got := map[OwnerID]int{}
	count := func() {
		for _, o := range ofType[SendToOwner](w.outputs) {
			got[o.Owner]++
		}
	}
	w.step(fromHost(conn, releaseLine(ref1, 16)))
	count()
	second := w.connectOwnerFrom(addressA)
	count()
	w.run(10*time.Second, connected, count)
	for _, owner := range []OwnerID{neighbor, first, second} {
		if got[owner] != 1 {
			t.Errorf("connection %d from the owner's address: got %d messages, want 1", owner, got[owner])
		}
	}
	if got[stranger] != 0 {
		t.Errorf("connection from another address: got %d messages, want 0", got[stranger])
	}
}

// While the connection of its request is open, a release is sent on that connection alone.
func TestCoreReleasesTaskOnConnectionOfItsRequest(t *testing.T) {
	w := newTestCore(t, nil)
	w.placeTaskFrom(addressA, ref2)
	owner, conn := w.placeTaskFrom(addressA, ref1)
	out := w.step(fromHost(conn, releaseLine(ref1, 16)))
	w.wantLines(sentLines[SendToOwner](out), "down "+ref1+" 16")
	w.wantLines(linesTo(owner, out), "down "+ref1+" 16")
	w.run(10*time.Second, connected, func() { w.wantLines(sentLines[SendToOwner](w.outputs)) })
}

// A release for whose address no connection opens is sent within a second on a connection from another address: on the
// one that most tasks were placed for, not on one that has sent only probes. It is still sent to the address afterwards.
func TestCoreReleasesTaskOnConnectionFromOtherAddress(t *testing.T) {
	w := newTestCore(t, nil)
	prober := w.connectOwnerFrom(addressB)
	w.send(prober, ownerProbe)
	asking := w.connectOwnerFrom(addressB)
	w.send(asking, requestLine(ref2, "keyed", ""))
	w.connectDialed()
	w.step(fromHost(w.core.hosts[1].leastBusyConnection().id, releaseLine(ref2, 34)))
	w.send(asking, releaseLine(ref2, 16))
	before, conn := w.placeTaskFrom(addressA, ref1)
	w.step(OwnerDisconnected{Owner: before})
	w.wantLines(sentLines[SendToOwner](w.step(fromHost(conn, releaseLine(ref1, 16)))))
	var toAsking []string
	w.run(time.Second, connected, func() {
		toAsking = append(toAsking, linesTo(asking, w.outputs)...)
		w.wantLines(linesTo(prober, w.outputs))
	})
	w.wantLines(toAsking, "down "+ref1+" 16")
	again := w.connectOwnerFrom(addressA)
	w.wantLines(linesTo(again, w.outputs), "down "+ref1+" 16")
}

// A release that was sent to a connection of another owner is no proof that the task's owner knows of the end: if that
// owner hands the task over, it gets the release.
func TestCoreReleasesTaskHandedOverAfterReleaseToOthers(t *testing.T) {
	w := newTestCore(t, nil)
	w.placeTaskFrom(addressA, ref2)
	before, conn := w.placeTaskFrom(addressA, ref1)
	w.step(OwnerDisconnected{Owner: before})
	w.step(fromHost(conn, releaseLine(ref1, 16)))
	w.advance(undeliveredTimeout + time.Second)
	again := w.connectOwnerFrom(addressA)
	w.wantLines(sentLines[SendToOwner](w.outputs))
	w.wantLines(sentLines[SendToOwner](w.send(again, handOverLine(ref1, 1))), "down "+ref1+" 16")
	w.wantLines(sentLines[SendToOwner](w.send(again, handOverLine(ref1, 1))))
}

// Once the listener is closed no owner can connect. What is undelivered is sent on another connection before the shutdown
// completes.
func TestCoreDeliversReleasesBeforeShutdownCompletes(t *testing.T) {
	w := newTestCore(t, nil)
	other, _ := w.placeTaskFrom(addressB, ref2)
	before, conn := w.placeTaskFrom(addressA, ref1)
	w.step(OwnerDisconnected{Owner: before})
	w.step(ShutdownRequested{})
	w.now += minShutdownDuration - reconcileInterval
	w.step()
	w.now += reconcileInterval
	out := w.step(fromHost(conn, releaseLine(ref1, 16)))
	w.wantLines(linesTo(other, out), "down "+ref1+" 16")
	if len(ofType[ShutdownComplete](out)) != 1 {
		t.Errorf("outputs of the step: got %+v, want a ShutdownComplete", out)
	}
}

// Undelivered messages are dropped after undeliveredTimeout, and beyond maxUndelivered the oldest. The log names those
// that no connection got.
func TestCoreBoundsUndeliveredMessages(t *testing.T) {
	const extra = 3
	w := newTestCore(t, nil)
	owner := w.connectOwnerFrom(addressA)
	for i := range maxUndelivered + extra {
		w.send(owner, handOverLine(fmt.Sprintf("%016x", i+1), 1))
	}
	w.step(OwnerDisconnected{Owner: owner})
	w.step(hostChanged(1, platform.Terminated))
	var dropped []Log
	for range (removedGrace + 100*time.Millisecond) / reconcileInterval { // no host accepts a connection
		w.now += reconcileInterval
		dropped = append(dropped, notDelivered(w.step())...)
	}
	if len(dropped) != extra || len(w.core.undelivered) != maxUndelivered {
		t.Errorf("after %d ends: got %d messages dropped and %d kept, want %d and %d",
			maxUndelivered+extra, len(dropped), len(w.core.undelivered), extra, maxUndelivered)
	}
	again := w.connectOwnerFrom(addressA)
	if got := linesTo(again, w.outputs); len(got) != maxUndelivered || got[0] != fmt.Sprintf("down %016x 41", extra+1) {
		t.Errorf("connection from the owner's address: got %d messages, the first %q, want %d, the first the release of task %d",
			len(got), got[:min(1, len(got))], maxUndelivered, extra+1)
	}
	dropped = nil
	w.run(undeliveredTimeout, connected, func() { dropped = append(dropped, notDelivered(w.outputs)...) })
	if len(dropped) != 0 || len(w.core.undelivered) != 0 {
		t.Errorf("after their time, all delivered: got %d messages logged as dropped and %d kept, want none", len(dropped), len(w.core.undelivered))
	}
}

// notDelivered returns the log lines of messages that no connection got.
func notDelivered(out []Output) []Log {
	return slices.DeleteFunc(ofType[Log](out), func(l Log) bool { return l.Message != messageNotDelivered })
}

// Guards against a release that is lost with its connection: it was written, and a reset of the connection overtook it.
// The owner gets it on its next connection, unless it has acknowledged it, the connection was closed in order or the reset
// came long afterwards.
func TestCoreReleasesTaskAgainAfterReset(t *testing.T) {
	for name, c := range map[string]struct {
		acknowledged bool
		after        time.Duration
		reset        bool
		want         []string
	}{
		"reset at once":      {reset: true, want: []string{"down " + ref1 + " 16"}},
		"reset in time":      {reset: true, after: noticeResetWindow, want: []string{"down " + ref1 + " 16"}},
		"reset later":        {reset: true, after: noticeResetWindow + time.Millisecond},
		"reset after an ack": {reset: true, acknowledged: true},
		"closed in order":    {},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestCore(t, nil)
			before, conn := w.placeTaskFrom(addressA, ref1)
			w.wantLines(linesTo(before, w.step(fromHost(conn, releaseLine(ref1, 16)))), "down "+ref1+" 16")
			if c.acknowledged {
				w.send(before, fmt.Sprintf(`{"t":"ack","ref":"%s","f":{}}`, ref1))
			}
			w.now += c.after
			w.step(OwnerDisconnected{Owner: before, Reset: c.reset})
			again := w.connectOwnerFrom(addressA)
			w.wantLines(linesTo(again, w.outputs), c.want...)
			elsewhere := w.connectOwnerFrom(addressB)
			w.wantLines(linesTo(elsewhere, w.send(elsewhere, handOverLine(ref1, 1))), c.want...)
		})
	}
}

// A migration that a reset overtook is sent again like a release.
func TestCoreSendsMigrationAgainAfterReset(t *testing.T) {
	w := newTestCore(t, nil)
	before, _ := w.placeTaskFrom(addressA, ref1)
	w.decide = func(forkhead.Event) []forkhead.Action { return []forkhead.Action{forkhead.Stop{Task: 1}} }
	w.wantLines(linesTo(before, w.step(GossipReceived{1, nil})), "shift "+ref1)
	w.decide = nil
	w.step(OwnerDisconnected{Owner: before, Reset: true})
	again := w.connectOwnerFrom(addressA)
	w.wantLines(linesTo(again, w.outputs), "shift "+ref1)
}

// The messages that a connection keeps in case of a reset are bounded in number, and dropped when their time is over.
func TestCoreBoundsNoticesOfConnection(t *testing.T) {
	w := newTestCore(t, nil)
	owner, conn := w.placeTaskFrom(addressA, ref1)
	for i := range maxNotices + 10 {
		ref := fmt.Sprintf("%016x", i+1)
		w.send(owner, handOverLine(ref, 1))
		w.step(fromHost(conn, releaseLine(ref, 16)))
	}
	if got := len(w.core.owners[owner].notices); got != maxNotices {
		t.Errorf("after %d releases at once: got %d kept, want %d", maxNotices+10, got, maxNotices)
	}
	w.now += noticeResetWindow + time.Millisecond
	w.step(fromHost(conn, releaseLine(ref1, 16)))
	if got := len(w.core.owners[owner].notices); got != 1 {
		t.Errorf("after the time of all but the last: got %d kept, want 1", got)
	}
}
