package hostmodel

import "time"

// Config is what a host is and how it behaves.
type Config struct {
	Name, MachineType, Zone, Rack string
	Labels                        map[string]string

	Cores, Memory                     float64 // Memory in GiB
	CoresOvercommit, MemoryOvercommit float64 // offers are accepted up to these multiples of Cores and Memory

	DecisionTime        time.Duration // of one offer; offers are decided one after another
	MaxQueued           int           // offers that may wait for their decision
	MaxStarting         int           // tasks that start at a time
	StartTime           time.Duration // of a task whose service's program is cached
	UncachedStartFactor float64       // a start takes so many times as long where the program is not cached
	MaxCachedPrograms   int           // programs that stay after the last task of their service

	// A host that has just come up warms up for SlowStartDuration: it starts tasks at first at the fraction
	// SlowStartInitialRate of its usual rate, and the fraction grows evenly to 1. Within a SlowStartWindow it then withstands
	// SlowStartMaxOffers offers, or SlowStartOverload times as many as it can start in it, if these are more. With one
	// more it crashes.
	SlowStartDuration    time.Duration
	SlowStartInitialRate float64
	SlowStartWindow      time.Duration
	SlowStartMaxOffers   float64
	SlowStartOverload    float64

	MeanUsage    float64       // fraction of what tasks request that they use
	UsageSwing   float64       // how far the fraction swings to both sides
	NoteInterval time.Duration // between notes of a running task; 0: no notes
	Preemption   bool          // tasks of a lower priority are ended for one of a higher
}

// DefaultConfig returns the configuration of a plain host with the given cores and memory in GiB.
func DefaultConfig(name, machineType, zone, rack string, cores, memory float64) Config {
	return Config{
		Name: name, MachineType: machineType, Zone: zone, Rack: rack,
		Cores: cores, Memory: memory, CoresOvercommit: 1, MemoryOvercommit: 1,
		DecisionTime: 2 * time.Millisecond, MaxQueued: 50,
		MaxStarting: 4, StartTime: 20 * time.Millisecond, UncachedStartFactor: 5, MaxCachedPrograms: 8,
		SlowStartDuration: 6 * time.Second, SlowStartInitialRate: 0.25, SlowStartWindow: time.Second, SlowStartMaxOffers: 24,
		SlowStartOverload: 4,
		MeanUsage:         0.7, UsageSwing: 0.15, NoteInterval: time.Second, Preemption: true,
	}
}
