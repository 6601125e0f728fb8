package hostproto

import "time"

// Frame is one message between a placer and a host.
type Frame interface {
	// code is the frame's code on the wire.
	code() uint8
	// appendFields appends the frame's fields as on the wire.
	appendFields(dst []byte) []byte
}

// Codes of the frames that a placer sends.
const (
	codeHello    = 1
	codeOffer    = 2
	codeWithdraw = 3
	codeStop     = 4
	codeProbe    = 5
	codeQuery    = 6
)

// Codes of the frames that a host sends, and of Bye, which both send.
const (
	codeWelcome  = 32
	codeHolds    = 33
	codeRefused  = 34
	codeAccepted = 35
	codeRunning  = 36
	codeNote     = 37
	codeEnded    = 38
	codeProbed   = 39
	codeDrain    = 40
	codeBye      = 41
)

// Frames that a placer sends.
type (
	// Hello opens a session. Of two connections of one incarnation of a placer the one with the higher Conn counts, and
	// a later incarnation ends an earlier one.
	Hello struct {
		Version uint8
		Placer  uint16 // number of the placer
		Epoch   uint64 // incarnation of the placer
		Conn    uint32 // number of the connection within the incarnation
	}
	// Offer offers a task to the host.
	Offer struct {
		Ref     Ref
		Wait    time.Duration // an answer later than this is of no use; whole milliseconds
		Spec    Spec
		Payload []byte // JSON that only the host reads
	}
	// Withdraw withdraws an offer. The host answers with Ended and the result Canceled, or goes on if it has accepted.
	Withdraw struct{ Ref Ref }
	// Stop ends a task.
	Stop struct {
		Ref   Ref
		Grace time.Duration // time that the task has to end by itself, in whole milliseconds; 0: what the host grants
	}
	// Probe requests a Probed with the same ID. The ID 0 only keeps the connection from being idle.
	Probe struct{ ID uint32 }
	// Query requests what became of attempts that Holds did not list. Each is answered by Refused (it never came), by Ended,
	// or by Accepted or Running.
	Query struct{ Refs []Ref }
)

// Frames that a host sends.
type (
	// Welcome answers Hello. Frames of Holds with Count attempts in all follow.
	Welcome struct {
		Version  uint8
		Host     string // name of the host
		Epoch    uint64 // incarnation of the host; a later one has a higher number
		Started  time.Duration
		Draining bool
		Count    uint32
	}
	// Holds lists attempts that the host has from this placer, of any incarnation of it.
	Holds struct{ Held []Held }
	// Refused reports that an offer was rejected: the task never ran.
	Refused struct {
		Ref    Ref
		Reason Reason
		Report *Report // nil: none
	}
	// Accepted reports that the host has bound the task.
	Accepted struct{ Ref Ref }
	// Running reports that the task runs.
	Running struct{ Ref Ref }
	// Note reports a measurement of a running task: its usage of cores or memory, the share of full service that it gets, or the
	// memory pressure of its host.
	Note struct {
		Ref    Ref
		Kind   uint8   // forkhead.NoteKind
		Amount float32 // as forkhead.NoteKind says
	}
	// Ended reports that an attempt is over.
	Ended struct {
		Ref    Ref
		Result Result
		Report *Report // nil: none
	}
	// Probed answers Probe.
	Probed struct {
		ID     uint32
		Report *Report // nil: none
	}
	// Drain reports that the host drains from now on, or no longer.
	Drain struct{ On bool }
	// Bye gives the reason for which its sender, a placer or a host, is about to close the connection.
	Bye struct{ Text string }
)

func (Hello) code() uint8    { return codeHello }
func (Offer) code() uint8    { return codeOffer }
func (Withdraw) code() uint8 { return codeWithdraw }
func (Stop) code() uint8     { return codeStop }
func (Probe) code() uint8    { return codeProbe }
func (Query) code() uint8    { return codeQuery }
func (Welcome) code() uint8  { return codeWelcome }
func (Holds) code() uint8    { return codeHolds }
func (Refused) code() uint8  { return codeRefused }
func (Accepted) code() uint8 { return codeAccepted }
func (Running) code() uint8  { return codeRunning }
func (Note) code() uint8     { return codeNote }
func (Ended) code() uint8    { return codeEnded }
func (Probed) code() uint8   { return codeProbed }
func (Drain) code() uint8    { return codeDrain }
func (Bye) code() uint8      { return codeBye }

// Ref identifies an attempt.
type Ref struct {
	Epoch   uint64 // incarnation of the placer that made the attempt
	Task    uint32 // placement request within the incarnation
	Attempt uint8  // number of the attempt within the request
}

// Spec is what an offer describes of a task.
type Spec struct {
	Key         uint64 // the task: the same in every attempt and request
	Service     uint64
	Fingerprint uint64 // changes with the task's specification
	Name        string // PROJECT/SERVICE/REPLICA
	Class       string
	Tenant      string
	Effect      uint8 // forkhead.Effect
	Priority    uint8
	Cores       uint32        // thousandths of a core
	Memory      uint32        // MiB
	Life        time.Duration // how long it runs, roughly, in whole milliseconds; 0: unknown
}

// Held is an attempt that a host has.
type Held struct {
	Ref   Ref
	Phase Phase
	Left  time.Duration // until the task ends, in whole milliseconds; 0: unknown
	Spec  Spec
}

// HeldSize returns an upper bound of the bytes that a Held with this Spec takes in a Holds frame.
func HeldSize(s *Spec) int { return maxHeldBase + len(s.Name) + len(s.Class) + len(s.Tenant) }

// Phase is how far a host is with an attempt.
type Phase uint8

// The phases.
const (
	PhaseQueued   Phase = iota // not decided
	PhaseStarting              // accepted
	PhaseRunning
)

// Result is how an attempt ended.
type Result uint8

// The results.
const (
	Done      Result = iota // without an error
	Failed                  // with an error
	Evicted                 // the host's memory ran short
	Preempted               // by a task of a higher priority
	Dismissed               // the host drains
	Stopped                 // by the placer
	Canceled                // withdrawn before it was accepted: it never ran
	Forgotten               // the host has dropped its record of how the attempt ended: the task may have run
)

// Reason is why an offer was rejected. The values are those of forkhead.RejectReason.
type Reason uint8

// The reasons.
const (
	NoReason Reason = iota
	InsufficientCores
	InsufficientMemory
	QueueFull
	Unsuitable // the host may not run the task
)

// Report is the load of a host. A value that is not reported is NaN.
type Report struct {
	Cores, Memory float32 // available, Memory in GiB
	Queue         float32 // offers and starts that wait
	Util          float32 // fraction of the cores in use
}
