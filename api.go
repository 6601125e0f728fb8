package forkhead

import "time"

// Settings are what a placer is told when it starts. All times are durations;
// all amounts are in cores and in the memory units of the machine kinds.
type Settings struct {
	Placers int // placers that share the machines, this one included
	Self    int // this placer's place among them, from 0
	Zone    int // the zone this placer is in

	Kinds   []Kind
	Classes []Class
	Tenants []Tenant

	MeanCores  float64 // told mean of the cores a task asks for
	MeanMemory float64 // and of its memory

	AcceptCores  float64 // a machine accepts asks up to this multiple of its cores
	AcceptMemory float64 // and of its memory

	BoundWhenRunning bool // Bound comes when the task runs, not when it is accepted
	ServicesStick    bool // the tasks of one service come to one placer
	Preempts         bool // machines push out lower priorities to make room
	TellsUse         bool // notes tell what a task uses
	TellsPressure    bool // notes tell poor service and short memory
	ListsFree        bool // list entries carry free cores and memory
	ListPushed       bool // the list's changes come unasked
	ReportsInAnswers bool // load reports ride on outcomes
	ReportsInProbes  bool // load reports ride on probe results
	ReportsAsked     bool // reported free amounts count what was asked, not what is used

	MaxAttempts      int  // offers for one arrival
	ParallelAttempts bool // two offers for one arrival may be out at once
	MayWithdraw      bool // Withdraw is allowed
	MayProbe         bool // Probe is allowed
	MayTell          bool // Tell is allowed

	OwnerWait      time.Duration // owners wait this long after an attempt that may have run
	MaxRetryAfter  time.Duration // longest wait an owner honours
	ConnectTimeout time.Duration
	AnswerSlack    time.Duration // an answer this long after the deadline still counts
	DrainGrace     time.Duration // no offer later than this after a drain was told
	MustAskWithin  time.Duration // without a subscription, ask the list this often
	ColdFor        time.Duration // a fresh machine is warm after this at the latest
	ColdWindow     time.Duration // the window over which offers to a cold machine count
	ColdOffers     float64       // offers a cold machine bears in a window, from all placers
	ColdFrom       float64       // the share of its pace a fresh machine has at least
	ColdMultiple   float64       // offered more than this multiple of its pace it falls over

	OverShareWorth float64 // what a task beyond its tenant's share is worth
	Prices         Prices
}

// Prices are what the deployment charges, as shares of the whole result.
type Prices struct {
	Machine float64 // all machines in use beyond need
	Move    float64 // each task moved once
	Evict   float64 // moves that one eviction counts for
	Refusal float64 // each task refused once by a machine
	Zone    float64 // all tasks outside their placer's zone
	Waste   float64 // work wasted, as much as was asked
	Probe   float64 // one probe a task
	Tell    float64 // one full message a task
	List    float64 // a hundred list lines a task
}

// Kind is a kind of machine.
type Kind struct {
	Cores  float64
	Memory float64
}

// Effect says what a repeat of a task does.
type Effect uint8

// The effects of a repeat.
const (
	Safe   Effect = iota // a repeat is harmless
	Keyed                // repeats are dropped inside a group of machines for a while
	Unsafe               // a task must never be started twice
)

// Place is a set of machines: those that drop a keyed task's repeats, or those
// over which a service is spread.
type Place uint8

// The places.
const (
	Anywhere  Place = iota // all machines; as a spread: no limit
	OnMachine              // one machine
	InCell                 // one cell (rack)
	InZone                 // one zone (room)
)

// Class is a class of tasks.
type Class struct {
	Effect     Effect
	Group      Place         // Keyed: machines that drop repeats
	Window     time.Duration // Keyed: for how long, from the first attempt that may have run
	Aim        time.Duration // a first start within this earns its full worth
	Worth      float64       // worth of a second of full service at mean size
	LateWorth  float64       // share of a start's worth after the aim
	StartWorth float64       // seconds of service that a timely first start is worth
	Priority   int
	Kind       int     // the machine kind it needs, or -1
	Spread     Place   // where the tasks of one service are limited
	Most       int     // to how many
	Calm       float64 // served in full while cores are busy up to this share
	Fade       float64 // and not at all this much above it
}

// Tenant is a customer with a share.
type Tenant struct {
	Share float64
	Cores float64 // cores asked within its share, at all placers
}

// TaskID names one arrival of a task.
type TaskID uint32

// MachineID names a machine; it is the same at every placer.
type MachineID uint32

// Task is what an arrival says of a task.
type Task struct {
	ID      TaskID
	Key     uint64 // the task, the same each time it comes
	Service uint64
	Class   int
	Tenant  int
	Wait    time.Duration // until its owner gives this arrival up
	Life    time.Duration // how long it will still run, roughly; 0 if not told
	Cores   float64
	Memory  float64
	Again   bool   // it came before
	Needs   uint64 // labels that its machine must carry, one a bit; 0: none
	Most    Limits // limits of its service's own, beside its class's
}

// Limits are the most tasks of one service in one place of each sort; 0: no limit.
type Limits [InZone + 1]int

// State is what the list says of a machine.
type State uint8

// The states of a machine.
const (
	Draining State = iota
	Ready
	Gone
)

// Machine is one entry of the list.
type Machine struct {
	ID         MachineID
	State      State
	Kind       int
	Zone       int
	Cell       int
	Started    time.Duration // latest start; 0 if long past
	FreeCores  float64       // not asked for, late
	FreeMemory float64
	Labels     uint64 // what it carries of the labels that tasks may need
}

// Report is a machine's load report. Fields that are not reported are NaN.
type Report struct {
	Cores  float64 // free cores
	Memory float64 // free memory
	Queue  float64 // offers and starts waiting
	Util   float64 // share of its cores busy
}

// Result says how an attempt or a probe ended.
type Result uint8

// The results.
const (
	OK            Result = iota // the task has ended, the probe was answered
	Errored                     // the machine returned an error
	Full                        // the machine refused
	TimedOut                    // no answer in time
	ConnectFailed               // no connection
	Reset                       // lost before or after its bind
	Withdrawn                   // called off
	Moot                        // never sent
)

// Reason says why a machine refused or sent away a task.
type Reason uint8

// The reasons.
const (
	NoReason Reason = iota
	NoCores
	NoMemory
	LineFull
	NotHere
	Evicted
	PushedOut
	SentAway
)

// ListMode says how an Update is to be read.
type ListMode uint8

// The modes of a list.
const (
	ListSaved  ListMode = iota // complete, as this placer last held it
	ListFull                   // complete
	ListDelta                  // changed entries only
	ListFailed                 // asking failed or the subscription broke
)

// NoteKind says what a Note tells.
type NoteKind uint8

// The kinds of notes.
const (
	NoteRuns     NoteKind = 1 // the task runs
	NoteCores    NoteKind = 2 // cores it uses
	NoteMemory   NoteKind = 3 // memory it uses
	NoteServed   NoteKind = 4 // the share of full service it gets
	NotePressure NoteKind = 5 // the share of its machine's memory in use
)

// Event is something a placer sees.
type Event interface{ event() }

// The events.
type (
	// Update brings news of the list.
	Update struct {
		Mode     ListMode
		Machines []Machine
	}
	// Arrival brings a task to place.
	Arrival struct{ Task Task }
	// HandedOver brings a task that already runs; its attempt 0 is its bind.
	HandedOver struct {
		Task    Task
		Machine MachineID
	}
	// Bound says that an attempt holds its task.
	Bound struct {
		Task    TaskID
		Attempt int
		Machine MachineID
		Took    time.Duration
	}
	// Note tells something of an attempt's task.
	Note struct {
		Task    TaskID
		Attempt int
		Machine MachineID
		Kind    NoteKind
		Amount  float64
	}
	// Outcome says that an attempt is over.
	Outcome struct {
		Task    TaskID
		Attempt int
		Machine MachineID
		Result  Result
		Reason  Reason
		Took    time.Duration
		Final   bool // nothing more is owed
		Report  *Report
	}
	// OwnerLeft says that nobody waits for an arrival any more.
	OwnerLeft struct{ Task TaskID }
	// TimerFired answers SetTimer.
	TimerFired struct{ Timer uint64 }
	// Probed answers Probe.
	Probed struct {
		Machine MachineID
		Result  Result
		Took    time.Duration
		Report  *Report
	}
	// Told is a message from another placer.
	Told struct {
		From int
		Data []byte
	}
)

func (Update) event()     {}
func (Arrival) event()    {}
func (HandedOver) event() {}
func (Bound) event()      {}
func (Note) event()       {}
func (Outcome) event()    {}
func (OwnerLeft) event()  {}
func (TimerFired) event() {}
func (Probed) event()     {}
func (Told) event()       {}

// Action is something a placer does.
type Action interface{ action() }

// Everyone as the receiver of Tell means all other placers.
const Everyone = -1

// The actions.
type (
	// Offer starts an attempt; attempts of one arrival count from 0.
	Offer struct {
		Task    TaskID
		Machine MachineID
		Timeout time.Duration // 0: until the owner gives up
	}
	// Refuse ends an arrival and says that trying again is harmless.
	Refuse struct {
		Task       TaskID
		RetryAfter time.Duration
	}
	// Fail ends an arrival and promises nothing.
	Fail struct{ Task TaskID }
	// Withdraw stops waiting for an attempt; the machine may still accept it.
	Withdraw struct {
		Task    TaskID
		Attempt int
	}
	// Stop stops a placed task; its owner asks again.
	Stop struct{ Task TaskID }
	// SetTimer asks for TimerFired at a time.
	SetTimer struct {
		Timer uint64
		At    time.Duration
	}
	// Probe checks a machine.
	Probe struct{ Machine MachineID }
	// Tell sends at most 256 bytes to a placer or to Everyone.
	Tell struct {
		To   int
		Data []byte
	}
	// Subscribe asks for the list's changes from now on.
	Subscribe struct{}
	// Log is a line for whoever is on call.
	Log struct{ Text string }
)

func (Offer) action()     {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Withdraw) action()  {}
func (Stop) action()      {}
func (SetTimer) action()  {}
func (Probe) action()     {}
func (Tell) action()      {}
func (Subscribe) action() {}
func (Log) action()       {}
