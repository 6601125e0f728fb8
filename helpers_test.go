package forkhead

import (
	"fmt"
	"testing"
	"time"
)

// testSettings are settings in which nothing is scarce and everything is allowed.
func testSettings() Settings {
	return Settings{
		Placers: 1, MachineTypes: []MachineType{{Cores: 10, Memory: 20}}, MeanCores: 1, MeanMemory: 2,
		Classes: []Class{{
			Effect: Safe, DedupWindow: 5 * time.Second, LatencyObjective: time.Second, Weight: 1, MachineType: -1, SaturationThreshold: 0.8, DegradationRange: 0.2,
		}},
		CoresOvercommit: 1, MemoryOvercommit: 1, BoundWhenRunning: true, ListReportsAvailable: true, ListWatched: true,
		MaxAttempts: 4, MayWithdraw: true, MayProbe: true,
		DrainGrace: time.Second, SlowStartDuration: 10 * time.Second, SlowStartWindow: time.Second, SlowStartMaxOffers: 20,
		MaxPollInterval: 10 * time.Second, OwnerBackoff: 3 * time.Second,
	}
}

// fleet returns n ready machines of kind 0, three to a cell and six to a zone.
func fleet(n int) []Machine {
	var list []Machine
	for i := range n {
		list = append(list, Machine{
			ID: MachineID(i + 1), State: Ready, Cell: i / 3, Zone: i / 6, AvailableCores: 10, AvailableMemory: 20,
		})
	}
	return list
}

// bench drives one placer by hand.
type bench struct {
	t    *testing.T
	p    *Placer
	now  time.Duration
	next TaskID
}

func newBench(t *testing.T, set Settings, machines []Machine) *bench {
	t.Helper()
	p, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, p: p, now: time.Hour}
	b.step(ListUpdate{Mode: ListCached, Machines: machines})
	return b
}

func (b *bench) step(events ...Event) []Action { return b.p.Step(b.now, events) }

func (b *bench) task(class int, service uint64) Task {
	b.next++
	return Task{
		ID: b.next, Key: uint64(b.next), Service: service, Class: class, Timeout: 5 * time.Second, Cores: 1, Memory: 1,
	}
}

// arrive brings one task of the service and returns its id and what was done.
func (b *bench) arrive(class int, service uint64) (TaskID, []Action) {
	task := b.task(class, service)
	return task.ID, b.step(PlacementRequest{Task: task})
}

// offered returns the one offer among the actions.
func (b *bench) offered(actions []Action) Offer {
	b.t.Helper()
	offers := only[Offer](actions)
	if len(offers) != 1 {
		b.t.Fatalf("want one offer, got %v", describe(actions))
	}
	return offers[0]
}

// only returns the actions of one type.
func only[A Action](actions []Action) []A {
	var out []A
	for _, a := range actions {
		if a, ok := a.(A); ok {
			out = append(out, a)
		}
	}
	return out
}

func describe(actions []Action) string {
	text := ""
	for _, a := range actions {
		text += fmt.Sprintf("%T%+v ", a, a)
	}
	return text
}
