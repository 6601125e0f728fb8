package forkhead

import "testing"

// A task that needs a label goes only where it is carried, and waits where none carries it.
func TestNeedsLabel(t *testing.T) {
	machines := fleet(6)
	machines[4].Labels = 0b10
	b := newBench(t, testSettings(), machines)
	task := b.task(0, 7)
	task.RequiredLabels = 0b10
	if o := b.offered(b.step(PlacementRequest{Task: task})); o.Machine != 5 {
		t.Fatalf("offered to machine %d, which lacks the label", o.Machine)
	}
	task = b.task(0, 8)
	task.RequiredLabels = 0b110
	if offers := only[Offer](b.step(PlacementRequest{Task: task})); len(offers) != 0 {
		t.Fatalf("offered to %v, which carries one of two labels", offers)
	}
	machines[1].Labels = 0b111
	if o := b.offered(b.step(ListUpdate{Mode: ListDelta, Machines: machines[1:2]})); o.Machine != 2 {
		t.Fatalf("offered to machine %d once another carried both", o.Machine)
	}
}

// A service's own limit holds beside that of its class, whichever is tighter.
func TestOwnSpread(t *testing.T) {
	set := testSettings()
	set.Classes[0].SpreadDomain, set.Classes[0].MaxPerDomain = ZoneDomain, 3
	b := newBench(t, set, fleet(6)) // two cells, one zone
	offers := 0
	for range 5 {
		task := b.task(0, 7)
		task.SpreadLimits[CellDomain] = 1
		offers += len(only[Offer](b.step(PlacementRequest{Task: task})))
	}
	if offers != 2 {
		t.Fatalf("%d offers at one a cell of two, want 2", offers)
	}
	for range 3 {
		task := b.task(0, 7)
		task.SpreadLimits[CellDomain] = 9
		offers += len(only[Offer](b.step(PlacementRequest{Task: task})))
	}
	if offers != 3 {
		t.Fatalf("%d offers where the class allows 3 in the zone", offers)
	}
}
