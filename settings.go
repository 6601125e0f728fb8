package forkhead

import "time"

// Settings are what a placer is configured with when it starts. Amounts of cores are in cores, amounts of
// memory in the units of the machine types.
//
// The module does not read MeanMemory, ServiceAffinity, the Notes and Reports flags but ReportsCountRequested,
// ParallelAttempts, OwnerBackoff, MaxRetryAfter, ConnectTimeout, AnswerSlack, DrainGrace,
// SlowStartInitialRate, SlowStartOverload, the costs but SurplusMachine and Gossip, nor LateWeight and
// StartWeight of a class and Quota of a tenant: a core does, or nobody.
type Settings struct {
	Placers int // placers that share the machines, this one included; at least 1
	Self    int // the number of this placer among them, from 0
	Zone    int // the zone that this placer is in

	MachineTypes []MachineType // at least one
	Classes      []Class       // at least one
	Tenants      []Tenant

	MeanCores  float64 // configured mean of the cores that a task requests
	MeanMemory float64 // and of its memory

	CoresOvercommit  float64 // a machine accepts requests up to this multiple of its cores
	MemoryOvercommit float64 // and of its memory

	BoundWhenRunning      bool // Bound comes when the task runs, not when it is accepted
	ServiceAffinity       bool // the tasks of one service come to one placer
	Preemption            bool // machines preempt lower priorities for higher ones
	NotesReportUsage      bool // notes report what a task uses
	NotesReportPressure   bool // notes report poor service and short memory
	ListReportsAvailable  bool // list entries carry available cores and memory
	ListWatched           bool // changes of the list come without a poll
	ReportsInOutcomes     bool // load reports come with outcomes
	ReportsInProbes       bool // load reports come with probe results
	ReportsCountRequested bool // reported available amounts count what was requested, not what is used

	MaxAttempts      int  // offers for one placement request; at least 1
	ParallelAttempts bool // two offers for one request may be in flight at once
	MayWithdraw      bool // Withdraw is allowed
	MayProbe         bool // Probe is allowed
	MayGossip        bool // Gossip is allowed

	OwnerBackoff    time.Duration // owners wait this long after an attempt that may have run
	MaxRetryAfter   time.Duration // longest Reject.RetryAfter that an owner honors
	ConnectTimeout  time.Duration
	AnswerSlack     time.Duration // an answer this long after the deadline still counts
	DrainGrace      time.Duration // no offer later than this after a drain was announced
	MaxPollInterval time.Duration // without a watch, the list has to be polled this often

	SlowStartDuration    time.Duration // a fresh machine has warmed up after this at the latest
	SlowStartWindow      time.Duration // the window over which offers to a machine in slow start count
	SlowStartMaxOffers   float64       // offers that such a machine can take in a window, from all placers
	SlowStartInitialRate float64       // the share of its full rate that a fresh machine has at least
	SlowStartOverload    float64       // it fails when it is offered more than this multiple of its pace

	OverQuotaWeight float64 // weight of a task beyond its tenant's quota, relative to one within it
	Costs           Costs
}

// Costs are what the deployment charges, as shares of the whole result.
type Costs struct {
	SurplusMachine     float64 // all machines in use beyond need
	Migration          float64 // each task migrated once
	EvictionMigrations float64 // migrations that one eviction counts for
	Rejection          float64 // each task rejected once by a machine
	RemoteZone         float64 // all tasks outside their placer's zone
	WastedWork         float64 // work wasted, as much as was requested
	Probe              float64 // one probe a task
	Gossip             float64 // one full gossip message a task
	ListEntries        float64 // a hundred list entries a task
}

// MachineType is a type of machines of one size.
type MachineType struct {
	Cores  float64
	Memory float64
}

// Effect says what a repeated start of a task does.
type Effect uint8

// The effects of a repeated start.
const (
	Safe   Effect = iota // a repeat is harmless
	Keyed                // repeats are deduplicated within a domain for a while
	Unsafe               // a task must never be started twice
)

// Domain is a level of the topology: the machines that deduplicate a keyed task's repeats, or those over
// which a service is spread.
type Domain uint8

// The domains.
const (
	AnyDomain     Domain = iota // all machines; as a spread: no limit
	MachineDomain               // one machine
	CellDomain                  // one cell (rack)
	ZoneDomain                  // one zone
)

// Class is a class of tasks.
type Class struct {
	Effect              Effect
	DedupDomain         Domain        // Keyed: machines that deduplicate repeats
	DedupWindow         time.Duration // Keyed: for how long, from the first attempt that may have run
	LatencyObjective    time.Duration // a first start within this earns its full weight
	Weight              float64       // priority weight: of a second of full service at mean size
	LateWeight          float64       // share of a start's weight after the latency objective
	StartWeight         float64       // of a first start in time, in seconds of full service
	Priority            int           // higher ones preempt lower ones
	MachineType         int           // the machine type it needs, or -1
	SpreadDomain        Domain        // where the tasks of one service are limited
	MaxPerDomain        int           // to how many
	SaturationThreshold float64       // served in full while cores are busy up to this share
	DegradationRange    float64       // and not at all this much above it
}

// Tenant is a customer with a quota.
type Tenant struct {
	Quota      float64 // share of the cluster that it has paid for
	QuotaCores float64 // cores requested within its quota, at all placers
}
