package forkhead

import "time"

// TaskID identifies one placement request of a task.
type TaskID uint32

// MachineID identifies a machine; it is the same at every placer.
type MachineID uint32

// Task is the description of a task in a placement request.
type Task struct {
	ID                TaskID
	Key               uint64 // identifies the task in all requests for it
	Service           uint64
	Class             int
	Tenant            int
	Timeout           time.Duration // time until the owner gives up the request
	RemainingLifetime time.Duration // estimate of the remaining run time; 0 if not known
	Cores             float64
	Memory            float64
	Resubmitted       bool         // there were earlier requests for the task
	RequiredLabels    uint64       // labels that the task's machine must have, one per bit; 0: none
	SpreadLimits      SpreadLimits // limits of the task's service, in addition to the limit of the task's class
}

// SpreadLimits has, by domain level, the maximum number of tasks of one service in one domain; 0: no limit.
type SpreadLimits [ZoneDomain + 1]int

// MachineState is the state of a machine in the list.
type MachineState uint8

// The states of a machine.
const (
	Draining MachineState = iota // accepts no new tasks
	Ready
	Removed
)

// Machine is one entry of the machine list.
type Machine struct {
	ID              MachineID
	State           MachineState
	Type            int
	Zone            int
	Cell            int
	StartedAt       time.Duration // latest start; 0 if long ago
	AvailableCores  float64       // cores that no task had requested when the entry was made
	AvailableMemory float64
	Labels          uint64 // one bit per label that tasks may require
}

// LoadReport is a machine's load report. Fields that are not reported are NaN.
type LoadReport struct {
	AvailableCores  float64
	AvailableMemory float64
	Queue           float64 // number of waiting offers and starts
	Utilization     float64 // busy share of the machine's cores
}

// Result is the way in which an attempt or a probe ended.
type Result uint8

// The results.
const (
	OK            Result = iota // the task has ended, or the probe was answered
	Errored                     // the machine returned an error
	Rejected                    // the machine rejected the offer
	TimedOut                    // no answer in time
	ConnectFailed               // no connection could be made
	Reset                       // the attempt was lost, before or after its bind
	Withdrawn                   // withdrawn by the placer
	NotSent                     // the offer was never sent
)

// RejectReason is the reason why a machine rejected an offer or ended a task.
type RejectReason uint8

// The reasons for a rejection or an end.
const (
	NoReason RejectReason = iota
	InsufficientCores
	InsufficientMemory
	QueueFull
	Unsuitable // the machine is not allowed to run the task
	Evicted    // the machine's memory ran short
	Preempted  // the machine ended the task in favor of one of higher priority
	Dismissed  // the machine drains
)

// NoteKind is the kind of information in a Note.
type NoteKind uint8

// The kinds of notes. Each comment says what the note's Amount is, if it has one.
const (
	NoteRunning        NoteKind = 1 // the task runs
	NoteCoresUsed      NoteKind = 2 // cores that the task uses
	NoteMemoryUsed     NoteKind = 3 // memory that the task uses
	NoteServiceLevel   NoteKind = 4 // share of full service that the task gets
	NoteMemoryPressure NoteKind = 5 // share of the machine's memory in use
)
