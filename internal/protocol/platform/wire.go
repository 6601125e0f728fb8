package platform

// MaxLineSize is the most bytes that a message may hold, without its line feed.
const MaxLineSize = 16 << 10

// MaxDatagramSize is the most bytes of a message between placers.
const MaxDatagramSize = 256

// MessageType is what a message is for: the JSON member t.
type MessageType string

// The types of messages.
const (
	TypeRequest     MessageType = "new"   // a placement request from an owner, an offer to a host
	TypeProgress    MessageType = "wait"  // a keep-alive without content
	TypeBound       MessageType = "up"    // the host runs the task
	TypeRelease     MessageType = "down"  // a rejection, a withdrawal or the end of a task, by its cause and the moment
	TypeAck         MessageType = "ack"   // confirms a TypeRelease
	TypeProbe       MessageType = "hb"    // a health check
	TypeProbeResult MessageType = "hb_ok" // answers a TypeProbe with CauseHealthy or CauseUnhealthy
	TypeNote        MessageType = "tell"  // a host's note on a task that it runs
	TypeMigrate     MessageType = "shift" // notifies the owner that the task ends and is to be requested again
)

// Cause is a message's numeric code: the JSON member c.
type Cause int

// The causes of a TypeRelease.
const (
	CauseOK       Cause = 16  // the task has ended; before the answer: the request is withdrawn
	CauseMigrated Cause = 31  // migrated, or ended by its owner
	CauseRejected Cause = 34  // rejected: it never ran
	CauseReset    Cause = 41  // the task or its connection broke
	CauseBusy     Cause = 42  // rejected: too many open requests
	CauseFailed   Cause = 47  // an error that leaves open what ran
	CauseNotSent  Cause = 102 // the attempt never left its sender
)

// The causes of a TypeProbeResult.
const (
	CauseUnhealthy Cause = 0
	CauseHealthy   Cause = 1
)

// NoCause is the cause of a message without one.
const NoCause Cause = -1

// FieldName is the name of one of a message's fields: a key of the JSON member f.
type FieldName string

// The fields of messages.
const (
	FieldClass          FieldName = "class"  // class of the request, by its name in the settings
	FieldTimeout        FieldName = "left"   // milliseconds until the owner stops waiting
	FieldTenant         FieldName = "tenant" // tenant, by its name in the settings
	FieldTaskKey        FieldName = "key"    // identity of the task, hex
	FieldIdempotencyKey FieldName = "idem"   // what hosts deduplicate starts by
	FieldExtras         FieldName = "extras" // list of Extra and its value, NAME:VALUE;NAME:VALUE
	FieldLifetime       FieldName = "hint"   // milliseconds that the task is expected to run
	FieldRetryAfter     FieldName = "wait"   // milliseconds after which a rejected request may come again
	FieldNote           FieldName = "note"   // a Note of a TypeNote, a RejectReason of a TypeRelease
	FieldValue          FieldName = "value"  // the amount of a Note
	FieldLoad           FieldName = "load"   // list of LoadField and its value, NAME:VALUE;NAME:VALUE
)

// Extra is a name within FieldExtras.
type Extra string

// What FieldExtras holds of a task.
const (
	ExtraCores       Extra = "cores"
	ExtraMemory      Extra = "memory"
	ExtraService     Extra = "service" // identity of the service, hex
	ExtraResubmitted Extra = "again"   // other than 0: an earlier request for the task failed
	ExtraHost        Extra = "at"      // name of the host that runs the task already: a hand-over
)

// Note is what a TypeNote reports of a running task.
type Note string

// The notes.
const (
	NoteRunning        Note = "running"
	NoteCoresUsed      Note = "use_cpu"
	NoteMemoryUsed     Note = "use_ram"
	NoteServiceLevel   Note = "health"
	NoteMemoryPressure Note = "ram_high"
)

// RejectReason is why a host rejected or ended a task.
type RejectReason string

// The reasons of hosts.
const (
	ReasonInsufficientCores  RejectReason = "lack_cpu"
	ReasonInsufficientMemory RejectReason = "lack_ram"
	ReasonQueueFull          RejectReason = "backlog"
	ReasonUnsuitable         RejectReason = "unfit"
	ReasonEvicted            RejectReason = "killed"
	ReasonPreempted          RejectReason = "displaced"
	ReasonDismissed          RejectReason = "dismissed"
)

// LoadField is a name within FieldLoad.
type LoadField string

// What FieldLoad holds of a host.
const (
	LoadAvailableCores  LoadField = "x0"
	LoadAvailableMemory LoadField = "x1"
	LoadQueue           LoadField = "queue" // offers that wait there
	LoadUtilization     LoadField = "util"
)

// EndpointState is the state of an Endpoint in the endpoint list.
type EndpointState string

// The states of an endpoint.
const (
	InService   EndpointState = "in_service"  // it takes tasks
	Terminating EndpointState = "terminating" // it drains
	Terminated  EndpointState = "terminated"  // it is removed
)
