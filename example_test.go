package forkhead_test

import (
	"fmt"
	"time"

	"forkhead"
)

func Example() {
	settings := forkhead.Settings{
		Placers: 1,
		Kinds:   []forkhead.Kind{{Cores: 16, Memory: 64}},
		Classes: []forkhead.Class{{Effect: forkhead.Safe, Aim: time.Second, Worth: 1, Kind: -1, Calm: 0.8, Fade: 0.2}},

		MeanCores: 1, MeanMemory: 4, AcceptCores: 1, AcceptMemory: 1, MaxAttempts: 3,
		ListPushed: true, ListsFree: true,
	}
	p, err := forkhead.New(settings, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Minute
	p.Step(now, []forkhead.Event{forkhead.Update{Mode: forkhead.ListFull, Machines: []forkhead.Machine{
		{ID: 7, State: forkhead.Ready, FreeCores: 16, FreeMemory: 64},
	}}})
	task := forkhead.Task{ID: 1, Service: 5, Wait: 5 * time.Second, Cores: 2, Memory: 4}
	for _, action := range p.Step(now, []forkhead.Event{forkhead.Arrival{Task: task}}) {
		if offer, ok := action.(forkhead.Offer); ok {
			fmt.Printf("offer task %d to machine %d\n", offer.Task, offer.Machine)
		}
	}
	// Output: offer task 1 to machine 7
}
