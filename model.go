package forkhead

import "time"

// TaskID identifies one placement request of a task.
type TaskID uint32

// MachineID identifies a machine; it is the same at every placer.
type MachineID uint32

// Task is what a placement request says of a task.
type Task struct {
	ID                TaskID
	Key               uint64 // of the task, the same in each request for it
	Service           uint64
	Class             int
	Tenant            int
	Timeout           time.Duration // until its owner gives this request up
	RemainingLifetime time.Duration // how long it will still run, an estimate; 0 if not known
	Cores             float64
	Memory            float64
	Resubmitted       bool         // this is not the first request for it
	RequiredLabels    uint64       // labels that its machine must carry, one a bit; 0: none
	SpreadLimits      SpreadLimits // of its service, beside that of its class
}

// SpreadLimits are the maximum numbers of tasks of one service in a domain of each level; 0: no limit.
type SpreadLimits [ZoneDomain + 1]int

// MachineState is what the list says of a machine.
type MachineState uint8

// The states of a machine.
const (
	Draining MachineState = iota // no new tasks
	Ready
	Removed
)

// Machine is one entry of the list.
type Machine struct {
	ID              MachineID
	State           MachineState
	Type            int
	Zone            int
	Cell            int
	StartedAt       time.Duration // latest start; 0 if long past
	AvailableCores  float64       // not requested, as of a while ago
	AvailableMemory float64
	Labels          uint64 // what it carries of the labels that tasks may require
}

// LoadReport is a machine's load report. Fields that are not reported are NaN.
type LoadReport struct {
	AvailableCores  float64
	AvailableMemory float64
	Queue           float64 // offers and starts waiting
	Utilization     float64 // share of its cores busy
}

// Result says how an attempt or a probe ended.
type Result uint8

// The results.
const (
	OK            Result = iota // the task has ended, the probe was answered
	Errored                     // the machine returned an error
	Rejected                    // the machine rejected the offer
	TimedOut                    // no answer in time
	ConnectFailed               // no connection
	Reset                       // lost before or after its bind
	Withdrawn                   // withdrawn by the placer
	NotSent                     // never sent
)

// RejectReason says why a machine rejected or ended a task.
type RejectReason uint8

// The reasons.
const (
	NoReason RejectReason = iota
	InsufficientCores
	InsufficientMemory
	QueueFull
	Unsuitable // the machine may not run the task
	Evicted    // its memory ran short
	Preempted  // by a higher priority
	Dismissed  // the machine drains
)

// NoteKind says what a Note reports.
type NoteKind uint8

// The kinds of notes.
const (
	NoteRunning        NoteKind = 1 // the task runs
	NoteCoresUsed      NoteKind = 2 // cores it uses
	NoteMemoryUsed     NoteKind = 3 // memory it uses
	NoteServiceLevel   NoteKind = 4 // the share of full service it gets
	NoteMemoryPressure NoteKind = 5 // the share of its machine's memory in use
)
