package platform

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Connections that send nothing or do not end a line are closed within 3 s. One that has sent a valid request stays
// open.
func TestCoreClosesOwnersWithoutMessages(t *testing.T) {
	w := newTestCore(t, nil)
	idle, half := w.connectOwner(), w.connectOwner()
	w.step(OwnerData{Owner: half, Data: []byte(`{"t":`)})
	regular, _ := w.placeTask()
	closed := map[OwnerID]bool{}
	for range 60 {
		w.now += 50 * time.Millisecond
		for _, c := range ofType[CloseOwnerConnection](w.step()) {
			closed[c.Owner] = true
		}
	}
	if !closed[idle] || !closed[half] || closed[regular] {
		t.Errorf("closed connections of owners in 3 s: got %v, want %d and %d", closed, idle, half)
	}
}

// When connections run out, those that have sent nothing are closed first, oldest first. A connection that has sent a
// valid message and one with an open request stay open.
func TestCoreEvictsOwnersByRank(t *testing.T) {
	w := newTestCore(t, nil)
	requesting := w.connectOwner()
	w.send(requesting, requestLine(ref1, "keyed", ""))
	idle := w.connectOwner()
	w.send(idle, ownerProbe)
	var closed []OwnerID
	for range 8 {
		w.now += time.Millisecond
		w.connectOwner()
		for _, c := range ofType[CloseOwnerConnection](w.outputs) {
			closed = append(closed, c.Owner)
		}
	}
	if len(closed) != 2 || closed[0] != 3 || closed[1] != 4 {
		t.Errorf("closed connections of owners: got %v, want 3 and 4, the oldest that have sent nothing", closed)
	}
	if len(w.core.owners) != 8 || w.core.owners[requesting] == nil || w.core.owners[idle] == nil {
		t.Errorf("got %d connections of owners, want 8; the one with an open request is open: %v, want true; the one that sent a probe: %v, want true",
			len(w.core.owners), w.core.owners[requesting] != nil, w.core.owners[idle] != nil)
	}
}

// If a task runs for every connection of owners, none of them is evicted and a new one is closed.
func TestCoreClosesNewOwnerIfAllOthersHaveRunningTasks(t *testing.T) {
	w := newTestCore(t, nil)
	for i := range 8 {
		w.send(w.connectOwner(), handOverLine(fmt.Sprintf("%016x", i+1), 1))
	}
	id := w.connectOwner()
	if closed := ofType[CloseOwnerConnection](w.outputs); len(closed) != 1 || closed[0].Owner != id {
		t.Errorf("closed connections of owners: got %v, want only the new one, %d", closed, id)
	}
}

// An owner whose task runs is not evicted in favor of hundreds that send one malformed request and a probe and stay
// connected. The release of its task must reach it.
func TestCoreKeepsOwnerWithPlacedTask(t *testing.T) {
	w := newTestCore(t, nil)
	regular, conn := w.placeTask()
	for i := range 300 {
		w.now += time.Millisecond
		o := w.connectOwner()
		w.send(o, strings.Replace(requestLine(fmt.Sprintf("%016x", i+1), "keyed", ""), "acme", "nobody", 1))
		w.send(o, ownerProbe)
	}
	w.step(fromHost(conn, releaseLine(ref1, 16)))
	if got := ofType[SendToOwner](w.outputs); len(got) != 1 || got[0].Owner != regular {
		t.Errorf("release of the task: got lines %+v, want one to owner %d", got, regular)
	}
}
