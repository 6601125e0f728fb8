package simadapter

// Batch is one frame of events.
type Batch struct {
	Clock  float64 // time of all events of the batch, in milliseconds
	Events []Event
}

// Event is an event of a batch. Each event is for one placer, except for EndpointList, which all placers share. The
// simulator assigns the numbers of placers, tasks and machines.
type Event interface{ isEvent() }

// The types of events. Times and durations are in milliseconds, memory is in GiB.
type (
	// Start starts a placer.
	Start struct {
		Placer uint32
		Seed   uint64
		Config []byte // the platform's settings, a JSON object
	}
	// Teardown ends a placer's incarnation.
	Teardown struct{ Placer uint32 }
	// EndpointList defines a list of machines. ListUpdate refers to the list by Number.
	EndpointList struct {
		Number   uint8
		Machines []Machine
	}
	// ListUpdate gives a placer the EndpointList whose number is List.
	ListUpdate struct {
		Placer, Epoch uint32
		Mode, List    uint8
	}
	// PlacementRequest requests the placement of a task.
	PlacementRequest struct {
		Placer, Task      uint32
		Class             uint8
		Tenant            uint16
		Key               uint64
		Timeout           float64
		RemainingLifetime float64 // valid if FlagLifetimeKnown is set
		Service           uint64
		Cores, Memory     float32
		Flags             uint8 // the bits FlagLifetimeKnown and FlagsResubmitted
	}
	// HandOver hands over a running task to a placer. Machine is the machine that runs it.
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
	// Note is a machine's report about an attempt of a task.
	Note struct {
		Placer, Task uint32
		Attempt      uint8
		Machine      uint32
		Kind         uint8
		Amount       float32
	}
	// Outcome ends an attempt and reports its result.
	Outcome struct {
		Placer, Task uint32
		Attempt      uint8
		Machine      uint32
		Result       uint8
		Took         float64
		Final        bool
		Reason       uint8
		Report       []float32 // the machine's load report, in the order of the fields in Start.Config; may be empty
	}
	// RequestCanceled reports that the owner no longer waits for the result of a request.
	RequestCanceled struct{ Placer, Task uint32 }
	// TimerFired reports that a timer that Reply.SetTimer has set has expired.
	TimerFired struct {
		Placer uint32
		Timer  uint64
	}
	// Probed is the result of a probe.
	Probed struct {
		Placer, Machine uint32
		Result          uint8
		Took            float64
		Report          []float32 // the machine's load report, as in Outcome
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
	FlagsResubmitted  = 1<<1 | 1<<4 // each of the two bits means that the task's placement was requested before
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
