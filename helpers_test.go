package forkhead

import (
	"fmt"
	"testing"
	"time"
)

// testSettings are settings in which nothing is scarce and everything is allowed.
func testSettings() Settings {
	return Settings{
		Placers: 1, Kinds: []Kind{{Cores: 10, Memory: 20}}, MeanCores: 1, MeanMemory: 2,
		Classes: []Class{{
			Effect: Safe, Window: 5 * time.Second, Aim: time.Second, Worth: 1, Kind: -1, Calm: 0.8, Fade: 0.2,
		}},
		AcceptCores: 1, AcceptMemory: 1, BoundWhenRunning: true, ListsFree: true, ListPushed: true,
		MaxAttempts: 4, MayWithdraw: true, MayProbe: true,
		DrainGrace: time.Second, ColdFor: 10 * time.Second, ColdWindow: time.Second, ColdOffers: 20,
		MustAskWithin: 10 * time.Second, OwnerWait: 3 * time.Second,
	}
}

// fleet returns n ready machines of kind 0, three to a cell and six to a zone.
func fleet(n int) []Machine {
	var list []Machine
	for i := range n {
		list = append(list, Machine{
			ID: MachineID(i + 1), State: Ready, Cell: i / 3, Zone: i / 6, FreeCores: 10, FreeMemory: 20,
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
	b.step(Update{Mode: ListSaved, Machines: machines})
	return b
}

func (b *bench) step(events ...Event) []Action { return b.p.Step(b.now, events) }

func (b *bench) task(class int, service uint64) Task {
	b.next++
	return Task{
		ID: b.next, Key: uint64(b.next), Service: service, Class: class, Wait: 5 * time.Second, Cores: 1, Memory: 1,
	}
}

// arrive brings one task of the service and returns its id and what was done.
func (b *bench) arrive(class int, service uint64) (TaskID, []Action) {
	task := b.task(class, service)
	return task.ID, b.step(Arrival{Task: task})
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
