package hostmodel

import "time"

// Config is the configuration of a host and of its behavior.
type Config struct {
	Name, MachineType, Zone, Rack string
	Labels                        map[string]string

	Cores, Memory                     float64 // Memory is in GiB
	CoresOvercommit, MemoryOvercommit float64 // tasks are accepted up to these multiples of Cores and Memory

	DecisionTime        time.Duration // time to decide on an offer; the host decides on one offer at a time
	MaxQueued           int           // maximum number of offers that wait for their decision; further offers are rejected
	MaxStarting         int           // maximum number of tasks that start at the same time; further tasks wait
	StartTime           time.Duration // time to start a task if the program of its service is cached
	UncachedStartFactor float64       // StartTime is multiplied by this if the program is not cached
	MaxCachedPrograms   int           // number of programs that stay cached without a running task of their service

	// A host that has just come up warms up for SlowStartDuration. The rate at which it starts tasks grows linearly
	// from the fraction SlowStartInitialRate of its usual rate to the usual rate. While it warms up, it crashes if it
	// receives more offers within a SlowStartWindow than the larger of SlowStartMaxOffers and SlowStartOverload times
	// the number of tasks that it can start in the window.
	SlowStartDuration    time.Duration
	SlowStartInitialRate float64
	SlowStartWindow      time.Duration
	SlowStartMaxOffers   float64
	SlowStartOverload    float64

	MeanUsage    float64       // mean fraction of the requested cores and memory that a running task uses
	UsageSwing   float64       // amplitude of the periodic change of the used fraction
	NoteInterval time.Duration // interval between the notes of a running task; 0: no notes
	Preemption   bool          // a running task may be ended to accept a task of higher priority
}

// DefaultConfig returns the configuration of a host without overcommitment, with the given cores and GiB of memory.
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
