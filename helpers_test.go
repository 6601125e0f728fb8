package forkhead

import (
	"fmt"
	"testing"
	"time"
)

// testSettings returns settings of a single placer that may withdraw and probe, with one class and one machine
// type.
func testSettings() Settings {
	return Settings{
		Placers: 1, MachineTypes: []MachineType{{Cores: 10, Memory: 20}}, MeanCores: 1, MeanMemory: 2,
		Classes: []Class{{
			Effect: Safe, DedupWindow: 5 * time.Second, LatencyObjective: time.Second, Weight: 1, MachineType: -1,
			SaturationThreshold: 0.8, DegradationRange: 0.2,
		}},
		CoresOvercommit: 1, MemoryOvercommit: 1, BoundWhenRunning: true, ListReportsAvailable: true, ListWatched: true,
		MaxAttempts: 4, MayWithdraw: true, MayProbe: true,
		DrainGrace:        time.Second,
		SlowStartDuration: 10 * time.Second, SlowStartWindow: time.Second, SlowStartMaxOffers: 20,
		MaxPollInterval: 10 * time.Second, OwnerBackoff: 3 * time.Second,
	}
}

// readyMachines returns n ready machines of type 0 with ids from 1, three per cell and six per zone.
func readyMachines(n int) []Machine {
	var machines []Machine
	for i := range n {
		machines = append(machines, Machine{
			ID: MachineID(i + 1), State: Ready, Cell: i / 3, Zone: i / 6, AvailableCores: 10, AvailableMemory: 20,
		})
	}
	return machines
}

// harness passes events to one placer. Tests advance now to let time pass.
type harness struct {
	t      *testing.T
	placer *Placer
	now    time.Duration
	lastID TaskID
}

// newHarness returns a harness with a placer that has the machines in its list.
func newHarness(t *testing.T, settings Settings, machines []Machine) *harness {
	t.Helper()
	p, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, placer: p, now: time.Hour}
	h.step(ListUpdate{Mode: ListCached, Machines: machines})
	return h
}

func (h *harness) step(events ...Event) []Action { return h.placer.Step(h.now, events) }

// newTask returns a task of one core with a new id. It does not request the task.
func (h *harness) newTask(class int, service uint64) Task {
	h.lastID++
	return Task{
		ID: h.lastID, Key: uint64(h.lastID), Service: service, Class: class, Timeout: 5 * time.Second,
		Cores: 1, Memory: 1,
	}
}

// request requests placement of a new task of the service and returns the task's id and the actions.
func (h *harness) request(class int, service uint64) (TaskID, []Action) {
	task := h.newTask(class, service)
	return task.ID, h.step(PlacementRequest{Task: task})
}

// singleOffer returns the offer among the actions and fails the test if there isn't exactly one.
func (h *harness) singleOffer(actions []Action) Offer {
	h.t.Helper()
	offers := actionsOf[Offer](actions)
	if len(offers) != 1 {
		h.t.Fatalf("got actions %v, want one Offer", formatActions(actions))
	}
	return offers[0]
}

// newPlacers returns n placers with the same settings except for their indexes and seeds.
func newPlacers(t *testing.T, settings Settings, n int) []*Placer {
	t.Helper()
	settings.Placers = n
	placers := make([]*Placer, n)
	for i := range placers {
		settings.Self = i
		p, err := New(settings, uint64(i)+1)
		if err != nil {
			t.Fatal(err)
		}
		placers[i] = p
	}
	return placers
}

// actionsOf returns the actions of type A.
func actionsOf[A Action](actions []Action) []A {
	var matching []A
	for _, action := range actions {
		if a, ok := action.(A); ok {
			matching = append(matching, a)
		}
	}
	return matching
}

func formatActions(actions []Action) string {
	text := ""
	for _, action := range actions {
		text += fmt.Sprintf("%T%+v ", action, action)
	}
	return text
}
