package forkhead

import (
	"testing"
	"time"
)

func TestPoorlyServedTaskIsMovedOnlyWhereAnotherMachineHasRoom(t *testing.T) {
	for n, want := range map[int]int{1: 0, 2: 1} {
		b := newBench(t, testSettings(), fleet(n))
		id, actions := b.arrive(0, 7)
		on := b.offered(actions).Machine
		b.step(Bound{Task: id, Machine: on})
		b.now += 5 * time.Second
		if got := b.step(Note{Task: id, Machine: on, Kind: NoteServiceLevel, Amount: 0.95}); len(only[Stop](got)) > 0 {
			t.Errorf("%d machines: moved a task that is served well", n)
		}
		got := b.step(Note{Task: id, Machine: on, Kind: NoteServiceLevel, Amount: 0.2})
		if len(only[Stop](got)) != want {
			t.Errorf("%d machines: want %d moves, got %v", n, want, describe(got))
		}
	}
}

func TestHigherPriorityIsOfferedWhereLowerOnesGiveWay(t *testing.T) {
	for _, preempts := range []bool{false, true} {
		set := testSettings()
		set.Preemption = preempts
		high := set.Classes[0]
		high.Priority = 1
		set.Classes = append(set.Classes, high)
		b := newBench(t, set, fleet(1))
		for service := range uint64(10) {
			id, actions := b.arrive(0, service)
			b.step(Bound{Task: id, Machine: b.offered(actions).Machine})
		}
		b.now += 3 * time.Second
		b.step(ListUpdate{Mode: ListDelta, Machines: []Machine{{ID: 1, State: Ready, AvailableMemory: 10}}})
		if _, actions := b.arrive(0, 98); len(only[Offer](actions)) > 0 {
			t.Error("a task of the same priority was offered to a full machine")
		}
		task := b.task(1, 99)
		actions := b.step(PlacementRequest{Task: task})
		b.now += 60 * time.Millisecond
		actions = append(actions, b.step(ListUpdate{Mode: ListDelta})...)
		if got := len(only[Offer](actions)); got != map[bool]int{false: 0, true: 1}[preempts] {
			t.Errorf("preempts %v: %d offers of the higher priority to a full machine", preempts, got)
		}
	}
}

func TestNewsSurvivesItsForm(t *testing.T) {
	var sent []capacityChange
	for i := range 50 {
		sent = append(sent, capacityChange{program: uint32(i), machine: MachineID(i * 3), cores: float64(i) / 4, memory: -1.5})
	}
	var got []capacityChange
	for _, data := range encodeCapacityChanges(sent) {
		if len(data) > 256 {
			t.Errorf("a message of %d bytes, at most 256", len(data))
		}
		got = append(got, decodeCapacityChanges(data)...)
	}
	if len(got) != len(sent) {
		t.Fatalf("%d items of %d came through", len(got), len(sent))
	}
	for i := range got {
		if got[i] != sent[i] {
			t.Errorf("item %d: %+v became %+v", i, sent[i], got[i])
		}
	}
	if items := decodeCapacityChanges([]byte{1, 2, 3}); len(items) > 0 {
		t.Errorf("a cut message gave %v", items)
	}
}
