package platform

// MaxLineSize is the maximum size of a message in bytes, without its line feed.
const MaxLineSize = 16 << 10

// MaxDatagramSize is the maximum size of a gossip message between placers, in bytes.
const MaxDatagramSize = 256

// MessageType is the type of a message: the JSON member t.
type MessageType string

// Message types.
const (
	TypeRequest     MessageType = "new"   // a placement request from an owner, or an offer to a host
	TypeProgress    MessageType = "wait"  // a keep-alive without content
	TypeBound       MessageType = "up"    // the host runs the task
	TypeRelease     MessageType = "down"  // rejects or withdraws a request, or ends a task; cause and time tell which
	TypeAck         MessageType = "ack"   // acknowledges a TypeRelease
	TypeProbe       MessageType = "hb"    // checks the health of the receiver
	TypeProbeResult MessageType = "hb_ok" // answers a TypeProbe with CauseHealthy or CauseUnhealthy
	TypeNote        MessageType = "tell"  // a host's Note on a task that it runs
	TypeMigrate     MessageType = "shift" // notifies the owner that the task will end and has to be requested again
)

// Cause is a message's numeric code: the JSON member c.
type Cause int

// Causes of a TypeRelease.
const (
	CauseOK       Cause = 16  // the task has ended; if its request has no answer yet, the request is withdrawn
	CauseMigrated Cause = 31  // the task was migrated, or ended by its owner
	CauseRejected Cause = 34  // rejected: the task never ran
	CauseReset    Cause = 41  // the task or its connection failed
	CauseBusy     Cause = 42  // rejected: too many open requests
	CauseFailed   Cause = 47  // an error after which the task may have run
	CauseNotSent  Cause = 102 // the attempt was never sent
)

// Causes of a TypeProbeResult.
const (
	CauseUnhealthy Cause = 0
	CauseHealthy   Cause = 1
)

// NoCause is the Cause of a message that has no member c.
const NoCause Cause = -1

// FieldName is the name of a field of a message: a key of the JSON member f.
type FieldName string

// Message fields.
const (
	FieldClass          FieldName = "class"  // name of the request's class in the settings
	FieldTimeout        FieldName = "left"   // milliseconds until the owner stops waiting
	FieldTenant         FieldName = "tenant" // name of the tenant in the settings
	FieldTaskKey        FieldName = "key"    // identity of the task, in hex
	FieldIdempotencyKey FieldName = "idem"   // key by which hosts deduplicate starts
	FieldExtras         FieldName = "extras" // Extra names with their values, as NAME:VALUE;NAME:VALUE
	FieldLifetime       FieldName = "hint"   // expected run time of the task in milliseconds
	FieldRetryAfter     FieldName = "wait"   // milliseconds after which a rejected request may be sent again
	FieldNote           FieldName = "note"   // the Note of a TypeNote, or the RejectReason of a TypeRelease
	FieldValue          FieldName = "value"  // the value of a Note
	FieldLoad           FieldName = "load"   // LoadField names with their values, as NAME:VALUE;NAME:VALUE
)

// Extra is the name of an item in FieldExtras.
type Extra string

// Items of FieldExtras, which describe the task.
const (
	ExtraCores       Extra = "cores"
	ExtraMemory      Extra = "memory"
	ExtraService     Extra = "service" // identity of the service, in hex
	ExtraResubmitted Extra = "again"   // any value but 0 means that an earlier request for the task failed
	ExtraHost        Extra = "at"      // name of the host that already runs the task, for a hand-over
)

// Note is the kind of measurement that a TypeNote reports of a running task.
type Note string

// Notes on a running task.
const (
	NoteRunning        Note = "running"
	NoteCoresUsed      Note = "use_cpu"
	NoteMemoryUsed     Note = "use_ram"
	NoteServiceLevel   Note = "health"
	NoteMemoryPressure Note = "ram_high"
)

// RejectReason is the reason for which a host rejected or ended a task.
type RejectReason string

// Reasons that hosts report.
const (
	ReasonInsufficientCores  RejectReason = "lack_cpu"
	ReasonInsufficientMemory RejectReason = "lack_ram"
	ReasonQueueFull          RejectReason = "backlog"
	ReasonUnsuitable         RejectReason = "unfit"
	ReasonEvicted            RejectReason = "killed"
	ReasonPreempted          RejectReason = "displaced"
	ReasonDismissed          RejectReason = "dismissed"
)

// LoadField is the name of an item in FieldLoad.
type LoadField string

// Items of FieldLoad, which describe the load of the host.
const (
	LoadAvailableCores  LoadField = "x0"
	LoadAvailableMemory LoadField = "x1"
	LoadQueue           LoadField = "queue" // number of offers in the host's queue
	LoadUtilization     LoadField = "util"
)

// EndpointState is the state of an Endpoint in the endpoint list.
type EndpointState string

// Endpoint states.
const (
	InService   EndpointState = "in_service"  // the host takes tasks
	Terminating EndpointState = "terminating" // the host drains
	Terminated  EndpointState = "terminated"  // the host is removed
)
