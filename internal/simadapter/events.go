package simadapter

// Batch is one frame of events.
type Batch struct {
	Clock  float64 // time of all its events, in milliseconds
	Events []Event
}

// Event is an event of a batch. All but EndpointList belong to one placer. Placers, tasks and machines are named by numbers
// of the simulator.
type Event interface{ isEvent() }

// The events. Times and durations are in milliseconds, memory in GiB.
type (
	// Start starts a placer.
	Start struct {
		Placer uint32
		Seed   uint64
		Config []byte // the platform's settings object, JSON
	}
	// Teardown ends a placer's incarnation.
	Teardown struct{ Placer uint32 }
	// EndpointList has machines under a number that a ListUpdate refers to.
	EndpointList struct {
		Number   uint8
		Machines []Machine
	}
	// ListUpdate hands a placer the EndpointList of a number.
	ListUpdate struct {
		Placer, Epoch uint32
		Mode, List    uint8
	}
	// PlacementRequest requests a task's placement.
	PlacementRequest struct {
		Placer, Task      uint32
		Class             uint8
		Tenant            uint16
		Key               uint64
		Timeout           float64
		RemainingLifetime float64 // valid with FlagLifetimeKnown
		Service           uint64
		Cores, Memory     float32
		Flags             uint8 // bits Flag...
	}
	// HandOver hands a placer a task that runs.
	HandOver struct {
		PlacementRequest
		Machine uint32
	}
	// Bound reports that a machine runs a task.
	Bound struct {
		Placer, Task uint32
		Took         float64
		Machine      uint32
		Attempt      uint8
	}
	// Note is what a machine reports of a task.
	Note struct {
		Placer, Task uint32
		Attempt      uint8
		Machine      uint32
		Kind         uint8
		Amount       float32
	}
	// Outcome ends an attempt.
	Outcome struct {
		Placer, Task uint32
		Attempt      uint8
		Machine      uint32
		Result       uint8
		Took         float64
		Final        bool
		Reason       uint8
		Report       []float32 // the machine's load, in the order that Start.Config says; may be empty
	}
	// RequestCanceled reports that nobody waits for a request any more.
	RequestCanceled struct{ Placer, Task uint32 }
	// TimerFired is a timer that Reply.SetTimer set.
	TimerFired struct {
		Placer uint32
		Timer  uint64
	}
	// Probed is the result of a probe.
	Probed struct {
		Placer, Machine uint32
		Result          uint8
		Took            float64
		Report          []float32 // as in Outcome
	}
	// Received is a message from another placer.
	Received struct {
		Placer, From uint32
		Data         []byte
	}
)

// Bits of PlacementRequest.Flags.
const (
	FlagLifetimeKnown = 1 << 0
	FlagsResubmitted  = 1<<1 | 1<<4 // any of them: the task was requested before
)

// Machine is one entry of an EndpointList.
type Machine struct {
	StartedAt                       float64
	ID                              uint32
	AvailableCores, AvailableMemory float32
	State, Type                     uint8
	Weight                          float32
	Zone, Cell                      uint16
}

func (Start) isEvent()            {}
func (Teardown) isEvent()         {}
func (EndpointList) isEvent()     {}
func (ListUpdate) isEvent()       {}
func (PlacementRequest) isEvent() {}
func (Bound) isEvent()            {}
func (Note) isEvent()             {}
func (Outcome) isEvent()          {}
func (RequestCanceled) isEvent()  {}
func (TimerFired) isEvent()       {}
func (Probed) isEvent()           {}
func (Received) isEvent()         {}
