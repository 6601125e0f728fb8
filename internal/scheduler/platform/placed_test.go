package platform

import (
	"testing"
	"time"

	"forkhead"
)

// A placed task ends by its owner, from any connection, and by the module; each time its host is sent a stop.
func TestCoreEndsPlacedTask(t *testing.T) {
	w := newTestCore(t, nil)
	_, conn := w.placeTask()
	other := w.connectOwner()
	out := w.send(other, releaseLine(ref1, 16))
	w.wantLines(sentLines[SendToOwner](out), "ack "+ref1)
	w.wantLines(sentLines[SendToHost](out), "down "+ref1+" 16")
	w.step(fromHost(conn, releaseLine(ref1, 31)))
	w.wantLines(sentLines[SendToOwner](w.outputs))
	if got := takeEvents[forkhead.Outcome](w); len(got) != 1 || got[0].Result != forkhead.Withdrawn {
		t.Errorf("outcomes %+v", got)
	}

	w = newTestCore(t, nil)
	w.placeTask()
	w.decide = func(forkhead.Event) []forkhead.Action { return []forkhead.Action{forkhead.Stop{Task: 1}} }
	out = w.step(GossipReceived{1, nil})
	w.wantLines(sentLines[SendToOwner](out), "shift "+ref1)
	w.wantLines(sentLines[SendToHost](out), "down "+ref1+" 16")
	w.decide = nil
	w.advance(2 * time.Second) // the host sends nothing
	if got := takeEvents[forkhead.Outcome](w); len(got) != 1 || got[0].Result != forkhead.Withdrawn || !got[0].Final {
		t.Errorf("outcomes %+v", got)
	}
	if len(w.core.requests)+len(w.core.requestsByRef)+len(w.core.attemptsByService) > 0 {
		t.Error("the task is not removed")
	}
}

// No connection owns a placed task: its end is sent on another one, or on the next that is used.
func TestCoreDeliversReleaseOnAnotherConnection(t *testing.T) {
	w := newTestCore(t, nil)
	o, conn := w.placeTask()
	w.step(OwnerDisconnected{o})
	w.step(fromHost(conn, releaseLine(ref1, 16)))
	w.wantLines(sentLines[SendToOwner](w.outputs))
	next := w.connectOwner()
	w.wantLines(sentLines[SendToOwner](w.send(next, ownerProbe)), "hb_ok 0000000000000001 1")
	w.wantLines(sentLines[SendToOwner](w.send(next, requestLine(ref2, "keyed", ";at:s-00000001"))), "down "+ref1+" 16")
	w.wantLines(sentLines[SendToOwner](w.send(next, handOverLine(ref3, 1)))) // it is sent once
}

// A task that its owner ends while no connection to its host is open is ended on the next one.
func TestCoreStopsTaskOnNextConnection(t *testing.T) {
	w := newTestCore(t, nil)
	o, conn := w.placeTask()
	w.step(HostDisconnected{conn})
	w.wantLines(sentLines[SendToOwner](w.send(o, releaseLine(ref1, 16))), "ack "+ref1)
	var dials []DialHost
	for range 40 { // its host accepts no connection for 2 s
		w.now += 50 * time.Millisecond
		dials = append(dials, ofType[DialHost](w.step())...)
		if len(dials) > 0 && w.core.connections[dials[len(dials)-1].Connection] != nil && len(dials) < 3 {
			w.step(DialFailed{Connection: dials[len(dials)-1].Connection})
		}
	}
	w.wantLines(sentLines[SendToHost](w.step(HostConnected{dials[len(dials)-1].Connection})), "down "+ref1+" 16")
	w.advance(1100 * time.Millisecond)
	if w.core.requestsByRef[ref1] != nil {
		t.Error("it is not removed once its host was notified")
	}
}
