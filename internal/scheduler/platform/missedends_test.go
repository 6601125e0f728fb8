package platform

import (
	"slices"
	"testing"
	"time"
)

// placeTwoTasks places the tasks of ref1 and ref2 on host 1, each on a connection of its own.
func (w *testCore) placeTwoTasks() (conn1, conn2 ConnectionID) {
	w.t.Helper()
	owner := w.connectOwner()
	w.send(owner, requestLine(ref1, "keyed", ""))
	dials := ofType[DialHost](w.outputs)
	w.send(owner, requestLine(ref2, "unsafe", ""))
	dials = append(dials, ofType[DialHost](w.outputs)...)
	if len(dials) != 2 {
		w.t.Fatalf("two requests at once: got %d dials of host 1, want 2", len(dials))
	}
	conn1, conn2 = dials[0].Connection, dials[1].Connection
	w.step(HostConnected{conn1}, HostConnected{conn2})
	w.step(fromHost(conn1, boundLine(ref1)), fromHost(conn2, boundLine(ref2)))
	return conn1, conn2
}

// note delivers a note on a task, as hosts send them regularly.
func (w *testCore) note(conn ConnectionID, ref string) {
	w.step(fromHost(conn, `{"t":"tell","ref":"`+ref+`","f":{"note":"use_cpu","value":"1"}}`))
}

// runWithNotes lets time pass while the host sends a note on the task of ref2 every 100 ms, and returns the times of its
// dials, which succeed, from now. The host closes half-closed connections in turn, but for one.
func (w *testCore) runWithNotes(d time.Duration, conn, leftOpen ConnectionID) []time.Duration {
	began := w.now
	var dials []time.Duration
	for range d / (100 * time.Millisecond) {
		w.run(100*time.Millisecond, func(dial DialHost) Input {
			dials = append(dials, w.now-began)
			return connected(dial)
		}, func() { w.answerProbes(nil) })
		w.note(conn, ref2)
		for _, half := range slices.Clone(w.core.halfClosed) {
			if half.id != leftOpen {
				w.step(HostDisconnected{Connection: half.id})
			}
		}
	}
	return dials
}

// An end that was lost with a broken connection comes on a new one, which is opened although another connection works. It is
// opened again while the host may not know that the first is broken.
func TestCoreOpensConnectionForEndsLostWithAnother(t *testing.T) {
	w := newTestCore(t, mayProbe)
	conn1, conn2 := w.placeTwoTasks()
	w.step(HostDisconnected{Connection: conn1, Reset: true})
	dials := w.runWithNotes(12*time.Second, conn2, conn1)
	if len(dials) != 3 || dials[0] > 2*reconcileInterval || dials[2] > 2*reopenInterval+4*reconcileInterval {
		t.Fatalf("12 s after a reset beside a connection that works: got dials after %v, want three, one at once and one each %v", dials, reopenInterval)
	}
	if open := len(w.core.hosts[1].connections); open != 1 {
		t.Errorf("got %d open connections, want 1: those for lost ends are closed", open)
	}
	w.run(reopenInterval, func(d DialHost) Input { return connected(d) }, func() {
		if newest := w.core.hosts[1].newestConnection(); newest != nil && newest.id != conn2 && w.core.hosts[1].stranded > 0 {
			w.step(fromHost(newest.id, releaseLine(ref1, 16)))
			w.wantLines(sentLines[SendToOwner](w.outputs), "down "+ref1+" 16")
		}
		w.note(conn2, ref2)
	})
	if w.core.hosts[1].stranded != 0 {
		t.Fatalf("after the end of the task whose connection broke: got %d such tasks, want 0", w.core.hosts[1].stranded)
	}
	if dials := w.runWithNotes(reopenInterval+time.Second, conn2, conn1); len(dials) > 1 {
		t.Errorf("after that: got dials after %v, want at most one", dials)
	}
	if dials := w.runWithNotes(2*reopenInterval, conn2, conn1); len(dials) != 0 {
		t.Errorf("later: got dials after %v, want none", dials)
	}
}

// A connection that ends in order, or that is evicted, has lost nothing.
func TestCoreOpensNoConnectionAfterOrderlyEnd(t *testing.T) {
	for name, end := range map[string]func(w *testCore, conn ConnectionID){
		"closed by the host": func(w *testCore, conn ConnectionID) { w.step(HostDisconnected{Connection: conn}) },
		"evicted": func(w *testCore, conn ConnectionID) {
			w.core.config.MaxConnections, w.core.halfClosed = 0, slices.Repeat([]*hostConnection{{}}, maxHalfClosed)
			w.core.evictHostConnection(w.core.connections[conn])
			w.core.config.MaxConnections, w.core.halfClosed = 24, nil
		},
	} {
		w := newTestCore(t, mayProbe)
		conn1, conn2 := w.placeTwoTasks()
		end(w, conn1)
		if dials := w.runWithNotes(10*time.Second, conn2, conn1); len(dials) != 0 {
			t.Errorf("%s: got dials after %v, want none", name, dials)
		}
	}
}

// A connection that brings nothing beside one that does is closed. The only connection to a host is not, and one that its
// host closes in turn has lost nothing.
func TestCoreClosesConnectionThatPassesNothing(t *testing.T) {
	w := newTestCore(t, mayProbe)
	conn1, conn2 := w.placeTwoTasks()
	w.runWithNotes(silentConnectionAfter, conn2, conn1)
	if state := w.core.connections[conn1].state; state != connectionOpen {
		t.Fatalf("after %v without a message: connection in state %d, want it open", silentConnectionAfter, state)
	}
	dials := w.runWithNotes(300*time.Millisecond, conn2, conn1)
	if conn := w.core.connections[conn1]; conn == nil || conn.state != connectionHalfClosed || len(dials) != 0 {
		t.Fatalf("after a little more: got connection %+v and dials after %v, want it half-closed and none", conn, dials)
	}
	if dials = w.runWithNotes(halfClosedTimeout+200*time.Millisecond, conn2, conn1); len(dials) != 1 {
		t.Errorf("the host does not close it: got dials after %v, want one", dials)
	}
	w = newTestCore(t, mayProbe)
	conn1, conn2 = w.placeTwoTasks()
	w.runWithNotes(silentConnectionAfter+300*time.Millisecond, conn2, conn1)
	w.step(HostDisconnected{Connection: conn1})
	if dials := w.runWithNotes(5*time.Second, conn2, conn1); len(dials) != 0 {
		t.Errorf("the host closes it in turn: got dials after %v, want none", dials)
	}
	if w.core.connections[conn2] == nil {
		t.Error("the connection that works was closed, want it open")
	}
}

// A task whose connection broke is released if its host accepts no further connection in time, although others are open. It
// is not if the host sends notes on it on another one, and so shows that it knows.
func TestCoreReleasesTaskWhoseConnectionBrokeAndCannotBeReplaced(t *testing.T) {
	for name, notedElsewhere := range map[string]bool{"nothing is said of it": false, "notes on it come on another connection": true} {
		t.Run(name, func(t *testing.T) {
			w := newTestCore(t, mayProbe)
			conn1, conn2 := w.placeTwoTasks()
			w.step(HostDisconnected{Connection: conn1, Reset: true})
			after := w.releasedAfter(20*time.Second, refuse, func() {
				w.answerProbes(nil)
				w.note(conn2, ref2)
				if notedElsewhere {
					w.note(conn2, ref1)
				}
			})
			if notedElsewhere && after != 0 || !notedElsewhere && (after < lostAfter || after > undeliveredTimeout) {
				t.Errorf("task released after %v (0 is never), want released %v, after %v to %v", after, !notedElsewhere, lostAfter, undeliveredTimeout)
			}
			if a := w.core.hosts[1].attempts[ref2]; a == nil || !a.isPlaced() {
				t.Error("the task of the other connection was lost, want it placed")
			}
		})
	}
}

// A host that answers a half-close by a reset knows of the end of the connection. It may refuse others without losing tasks.
func TestCoreKeepsTaskWhoseHostAnswersHalfCloseByReset(t *testing.T) {
	w := newTestCore(t, mayProbe)
	conn1, conn2 := w.placeTwoTasks()
	w.runWithNotes(silentConnectionAfter+200*time.Millisecond, conn2, conn1)
	w.core.connections[conn1].halfClosedAt = w.now
	w.step(HostDisconnected{Connection: conn1, Reset: true})
	after := w.releasedAfter(20*time.Second, refuse, func() {
		w.answerProbes(nil)
		w.note(conn2, ref2)
	})
	if after != 0 {
		t.Errorf("task released after %v, want it kept", after)
	}
}
