package forkhead_test

import (
	"fmt"
	"time"

	"forkhead"
)

func Example() {
	settings := forkhead.Settings{
		Placers:      1,
		MachineTypes: []forkhead.MachineType{{Cores: 16, Memory: 64}},
		Classes: []forkhead.Class{{
			Effect: forkhead.Safe, LatencyObjective: time.Second, Weight: 1, MachineType: -1,
			SaturationThreshold: 0.8, DegradationRange: 0.2,
		}},

		MeanCores: 1, MeanMemory: 4, CoresOvercommit: 1, MemoryOvercommit: 1, MaxAttempts: 3,
		ListWatched: true, ListReportsAvailable: true,
	}
	p, err := forkhead.New(settings, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Minute
	p.Step(now, []forkhead.Event{forkhead.ListUpdate{Mode: forkhead.ListSnapshot, Machines: []forkhead.Machine{
		{ID: 7, State: forkhead.Ready, AvailableCores: 16, AvailableMemory: 64},
	}}})
	task := forkhead.Task{ID: 1, Service: 5, Timeout: 5 * time.Second, Cores: 2, Memory: 4}
	for _, action := range p.Step(now, []forkhead.Event{forkhead.PlacementRequest{Task: task}}) {
		if offer, ok := action.(forkhead.Offer); ok {
			fmt.Printf("offer task %d to machine %d\n", offer.Task, offer.Machine)
		}
	}
	// Output: offer task 1 to machine 7
}
