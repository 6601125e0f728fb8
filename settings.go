package forkhead

import "time"

// Settings is the configuration of a placer, which doesn't change after New. Amounts of cores are in cores,
// amounts of memory in the units of the machine types.
//
// This package doesn't use the following fields. Other packages may use them.
//
//   - MeanMemory and ServiceAffinity
//   - all flags whose name begins with Notes or Reports, except ReportsCountRequested
//   - ParallelAttempts, OwnerBackoff, MaxRetryAfter, ConnectTimeout, AnswerSlack and DrainGrace
//   - SlowStartInitialRate and SlowStartOverload
//   - all Costs, except SurplusMachine and Gossip
//   - LateWeight and StartWeight of a class
//   - Quota of a tenant
type Settings struct {
	Placers int // number of placers that share the machines, including this one; at least 1
	Self    int // index of this placer among these placers, from 0
	Zone    int // zone of this placer

	MachineTypes []MachineType // at least one
	Classes      []Class       // at least one
	Tenants      []Tenant

	MeanCores  float64 // expected mean of the cores that a task requests
	MeanMemory float64 // expected mean of the memory that a task requests

	CoresOvercommit  float64 // a machine accepts requests up to this multiple of its cores
	MemoryOvercommit float64 // a machine accepts requests up to this multiple of its memory

	BoundWhenRunning      bool // Bound is sent when the task runs, not when it is accepted
	ServiceAffinity       bool // all tasks of a service are requested from one placer
	Preemption            bool // machines preempt tasks in favor of higher priorities
	NotesReportUsage      bool // notes report the cores and memory that a task uses
	NotesReportPressure   bool // notes report low service levels and memory pressure
	ListReportsAvailable  bool // list entries carry available cores and memory
	ListWatched           bool // changes of the list are pushed, without polls
	ReportsInOutcomes     bool // outcomes have load reports
	ReportsInProbes       bool // probe results have load reports
	ReportsCountRequested bool // the available amounts in reports are those not requested, rather than those not used

	MaxAttempts      int  // maximum number of offers for one placement request; at least 1
	ParallelAttempts bool // two offers for one request may be in flight at once
	MayWithdraw      bool // Withdraw is allowed
	MayProbe         bool // Probe is allowed
	MayGossip        bool // Gossip is allowed

	OwnerBackoff    time.Duration // time that owners wait after an attempt that may have run
	MaxRetryAfter   time.Duration // maximum Reject.RetryAfter that an owner honors
	ConnectTimeout  time.Duration
	AnswerSlack     time.Duration // time after the deadline in which an answer still counts
	DrainGrace      time.Duration // time after the announcement of a drain in which offers are still allowed
	MaxPollInterval time.Duration // maximum time between polls of a list that isn't watched

	SlowStartDuration    time.Duration // maximum time that a machine takes to warm up after its start
	SlowStartWindow      time.Duration // window in which offers to a machine in slow start are counted
	SlowStartMaxOffers   float64       // offers that a machine in slow start can take in a window, from all placers
	SlowStartInitialRate float64       // share of its full start rate that a machine has when its slow start begins
	SlowStartOverload    float64       // a machine in slow start fails at more offers than this multiple of its start rate

	OverQuotaWeight float64 // weight of a task beyond its tenant's quota, relative to a task within the quota
	Costs           Costs
}

// Costs are deductions from the result of a deployment, each as a share of the whole result. The comment of a field
// names the amount that the deduction is for.
type Costs struct {
	SurplusMachine     float64 // all machines in use beyond those needed
	Migration          float64 // one migration of each task
	EvictionMigrations float64 // number of migrations that one eviction counts as
	Rejection          float64 // one rejection of each task by a machine
	RemoteZone         float64 // placement of all tasks outside their placer's zone
	WastedWork         float64 // as much wasted work as was requested
	Probe              float64 // one probe per task
	Gossip             float64 // one full gossip message per task
	ListEntries        float64 // a hundred list entries per task
}

// MachineType is the size of the machines of one type.
type MachineType struct {
	Cores  float64
	Memory float64
}

// Effect is the effect of a repeated start of a task.
type Effect uint8

// The effects of a repeated start.
const (
	Safe   Effect = iota // a repeat is harmless
	Keyed                // repeats are deduplicated within DedupDomain for DedupWindow
	Unsafe               // a task must never be started twice
)

// Domain is a level of the topology. The machines of one domain deduplicate the repeats of a keyed task
// together; spread limits apply to the tasks of a service in one domain.
type Domain uint8

// The levels of domains.
const (
	AnyDomain     Domain = iota // all machines; as SpreadDomain: no limit
	MachineDomain               // one machine
	CellDomain                  // one cell (rack)
	ZoneDomain                  // one zone
)

// Class is a class of tasks.
type Class struct {
	Effect              Effect
	DedupDomain         Domain        // effect Keyed: the machines of one such domain deduplicate repeats together
	DedupWindow         time.Duration // effect Keyed: time of deduplication, from the first attempt that may have run
	LatencyObjective    time.Duration // a first start within this time has its full weight
	Weight              float64       // weight of a second of full service of a task of mean size
	LateWeight          float64       // share of its weight that a start after the latency objective has
	StartWeight         float64       // weight of a first start in time, in seconds of full service
	Priority            int           // a higher priority preempts a lower one
	MachineType         int           // index of the required machine type, or -1
	SpreadDomain        Domain        // level at which the tasks of one service are limited
	MaxPerDomain        int           // maximum number of tasks of one service in a domain of that level
	SaturationThreshold float64       // share of busy cores up to which tasks are served in full
	DegradationRange    float64       // tasks get no service if the busy share is this far above SaturationThreshold
}

// Tenant is a customer with a quota.
type Tenant struct {
	Quota      float64 // share of the cluster that the tenant pays for
	QuotaCores float64 // cores that the tenant may request within its quota, at all placers together
}
