package platform

import (
	"testing"
	"time"

	"forkhead"
)

// A placed task can be ended by a release on any connection of an owner or by the module's Stop. In both cases its host
// is sent a stop and the module receives one outcome; without an answer of the host, the stop times out.
func TestCoreStopsPlacedTaskEndedByOwnerOrModule(t *testing.T) {
	w := newTestCore(t, nil)
	_, conn := w.placeTask()
	other := w.connectOwner()
	out := w.send(other, releaseLine(ref1, 16))
	w.wantLines(sentLines[SendToOwner](out), "ack "+ref1)
	w.wantLines(sentLines[SendToHost](out), "down "+ref1+" 16")
	w.step(fromHost(conn, releaseLine(ref1, 31)))
	w.wantLines(sentLines[SendToOwner](w.outputs))
	if got := takeEvents[forkhead.Outcome](w); len(got) != 1 || got[0].Result != forkhead.Withdrawn {
		t.Errorf("ended by its owner: got outcomes %+v, want one with result Withdrawn", got)
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
		t.Errorf("ended by the module, without an answer of the host: got outcomes %+v, want one final with result Withdrawn", got)
	}
	if len(w.core.requests)+len(w.core.requestsByRef) > 0 || len(w.core.attemptsByService) != 1 {
		t.Errorf("after its unconfirmed end: got %d requests, %d refs and %d services, want 0, 0 and 1",
			len(w.core.requests), len(w.core.requestsByRef), len(w.core.attemptsByService))
	}
	w.step(fromHost(1, releaseLine(ref1, 31)))
	if got := takeEvents[forkhead.EndConfirmed](w); len(got) != 1 || len(w.core.attemptsByService) != 0 {
		t.Errorf("after the host's release: got events %+v and %d services, want one EndConfirmed and 0", got, len(w.core.attemptsByService))
	}
}

// A task ends after its owner has disconnected. The release is sent on the next connection, at once and only once,
// whatever the connection is used for afterwards.
func TestCoreDeliversReleaseOnAnotherConnection(t *testing.T) {
	w := newTestCore(t, nil)
	o, conn := w.placeTask()
	w.step(OwnerDisconnected{Owner: o})
	w.step(fromHost(conn, releaseLine(ref1, 16)))
	w.wantLines(sentLines[SendToOwner](w.outputs))
	next := w.connectOwner()
	w.wantLines(sentLines[SendToOwner](w.outputs), "down "+ref1+" 16")
	w.wantLines(sentLines[SendToOwner](w.send(next, ownerProbe)), "hb_ok 0000000000000001 1")
	w.wantLines(sentLines[SendToOwner](w.send(next, requestLine(ref2, "keyed", ";at:s-00000001")))) // the release is not sent again
	w.wantLines(sentLines[SendToOwner](w.send(next, handOverLine(ref3, 1))))                        // the release is not sent again
}

// An owner ends a task while no connection to the task's host is open. The stop is sent on the next connection to that
// host.
func TestCoreStopsTaskOnNextConnection(t *testing.T) {
	w := newTestCore(t, nil)
	o, conn := w.placeTask()
	w.step(HostDisconnected{Connection: conn})
	w.wantLines(sentLines[SendToOwner](w.send(o, releaseLine(ref1, 16))), "ack "+ref1)
	var dials []DialHost
	for range 40 { // the host accepts no connection for 2 s
		w.now += 50 * time.Millisecond
		dials = append(dials, ofType[DialHost](w.step())...)
		if len(dials) > 0 && w.core.connections[dials[len(dials)-1].Connection] != nil && len(dials) < 3 {
			w.step(DialFailed{Connection: dials[len(dials)-1].Connection})
		}
	}
	w.wantLines(sentLines[SendToHost](w.step(HostConnected{dials[len(dials)-1].Connection})), "down "+ref1+" 16")
	w.advance(1100 * time.Millisecond)
	if w.core.requestsByRef[ref1] != nil {
		t.Error("1.1 s after the stop was sent, without an answer: request still known, want it removed")
	}
}
