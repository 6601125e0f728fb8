package platform

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Connections that send nothing, or do not end a line, are closed within 3 s; one that requested something once stays.
func TestCoreClosesOwnersWithoutMessages(t *testing.T) {
	w := newTestCore(t, nil)
	idle, half := w.connectOwner(), w.connectOwner()
	w.step(OwnerData{half, []byte(`{"t":`)})
	usual, _ := w.placeTask()
	closed := map[OwnerID]bool{}
	for range 60 {
		w.now += 50 * time.Millisecond
		for _, c := range ofType[CloseOwnerConnection](w.step()) {
			closed[c.Owner] = true
		}
	}
	if !closed[idle] || !closed[half] || closed[usual] {
		t.Errorf("closed %v, want %d and %d", closed, idle, half)
	}
}

// Where connections run out, those that sent nothing are closed first, then the idle ones; one with an open request stays.
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
		t.Errorf("closed %v, want the oldest that sent nothing, 3 and 4", closed)
	}
	if len(w.core.owners) != 8 || w.core.owners[requesting] == nil || w.core.owners[idle] == nil {
		t.Error("a connection that is used was closed")
	}
}

// Where a task runs for each connection of the owners, none is evicted: the new one is closed.
func TestCoreClosesOwnerWhereAllOthersAreInUse(t *testing.T) {
	w := newTestCore(t, nil)
	for i := range 8 {
		w.send(w.connectOwner(), handOverLine(fmt.Sprintf("%016x", i+1), 1))
	}
	id := w.connectOwner()
	if closed := ofType[CloseOwnerConnection](w.outputs); len(closed) != 1 || closed[0].Owner != id {
		t.Errorf("closed %v, want the new one, %d", closed, id)
	}
}

// A usual owner, whose task runs, is not evicted for hundreds that request once and stay, and is sent its end.
func TestCoreKeepsOwnerWithPlacedTask(t *testing.T) {
	w := newTestCore(t, nil)
	usual, conn := w.placeTask()
	for i := range 300 {
		w.now += time.Millisecond
		o := w.connectOwner()
		w.send(o, strings.Replace(requestLine(fmt.Sprintf("%016x", i+1), "keyed", ""), "acme", "nobody", 1))
		w.send(o, ownerProbe)
	}
	w.step(fromHost(conn, releaseLine(ref1, 16)))
	if got := ofType[SendToOwner](w.outputs); len(got) != 1 || got[0].Owner != usual {
		t.Errorf("the release goes to %+v, want owner %d", got, usual)
	}
}
