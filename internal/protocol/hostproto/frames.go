package hostproto

import "time"

// Frame is one message between a placer and a host.
type Frame interface {
	// code is the frame's code on the wire.
	code() uint8
	// appendFields appends the frame's fields in their wire encoding.
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

// Codes of the frames that a host sends, and of Bye, which both ends send.
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
	// Hello opens a session. Of two connections from the same incarnation of a placer, the one with the higher Conn is
	// valid. The session of a later incarnation replaces that of an earlier one.
	Hello struct {
		Version uint8
		Placer  uint16 // number of the placer
		Epoch   uint64 // incarnation of the placer
		Conn    uint32 // number of the connection within the incarnation
	}
	// Offer offers a task to the host.
	Offer struct {
		Ref     Ref
		Wait    time.Duration // how long the placer waits for an answer, in whole milliseconds
		Spec    Spec
		Payload []byte // JSON that only the host interprets
	}
	// Withdraw withdraws an offer. The host answers with Ended and the result Canceled. If the host has already
	// accepted the offer, the attempt continues.
	Withdraw struct{ Ref Ref }
	// Stop ends a task.
	Stop struct {
		Ref   Ref
		Grace time.Duration // time that the task has to end by itself, in whole milliseconds; 0: the host's default
	}
	// Probe requests a Probed with the same ID. A Probe with ID 0 only keeps the connection from becoming idle.
	Probe struct{ ID uint32 }
	// Query requests the state of attempts that Holds did not list. The host answers for each with Refused (the offer
	// never arrived), Ended, Accepted or Running.
	Query struct{ Refs []Ref }
)

// Frames that a host sends.
type (
	// Welcome answers Hello. It is followed by Holds frames that list Count attempts in total.
	Welcome struct {
		Version  uint8
		Host     string        // name of the host
		Epoch    uint64        // incarnation of the host; a later one has a higher number
		Started  time.Duration // start time of the host; 0: long ago
		Draining bool
		Count    uint32
	}
	// Holds lists attempts that the host has from any incarnation of this placer.
	Holds struct{ Held []Held }
	// Refused reports that the host rejected an offer: the task never ran.
	Refused struct {
		Ref    Ref
		Reason Reason
		Report *Report // nil if the frame has none
	}
	// Accepted reports that the host has bound the task.
	Accepted struct{ Ref Ref }
	// Running reports that the task runs.
	Running struct{ Ref Ref }
	// Note reports a measurement of a running task: its usage of cores or memory, the share of full service that it
	// gets, or the memory pressure of its host.
	Note struct {
		Ref    Ref
		Kind   uint8   // a forkhead.NoteKind
		Amount float32 // in the unit of the forkhead.NoteKind
	}
	// Ended reports that an attempt has ended.
	Ended struct {
		Ref    Ref
		Result Result
		Report *Report // nil if the frame has none
	}
	// Probed answers a Probe and has its ID.
	Probed struct {
		ID     uint32
		Report *Report // nil if the frame has none
	}
	// Drain reports that the host has started to drain, or has stopped draining.
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
	Task    uint32 // number of the placement request within the incarnation
	Attempt uint8  // number of the attempt within the request
}

// Spec is the description of a task in an offer.
type Spec struct {
	Key         uint64 // identity of the task, the same in every attempt and request
	Service     uint64
	Fingerprint uint64 // hash that changes with the task's specification
	Name        string // PROJECT/SERVICE/REPLICA
	Class       string
	Tenant      string
	Effect      uint8 // a forkhead.Effect
	Priority    uint8
	Cores       uint32        // thousandths of a core
	Memory      uint32        // MiB
	Life        time.Duration // expected run time of the task in whole milliseconds; 0: unknown
}

// Held is an attempt that a host has.
type Held struct {
	Ref   Ref
	Phase Phase
	Left  time.Duration // remaining run time of the task in whole milliseconds; 0: unknown
	Spec  Spec
}

// HeldSize returns an upper bound on the size, in bytes, of a Held with this Spec in a Holds frame.
func HeldSize(s *Spec) int { return maxHeldBase + len(s.Name) + len(s.Class) + len(s.Tenant) }

// Phase is the state of an attempt at its host.
type Phase uint8

// Phases of an attempt.
const (
	PhaseQueued   Phase = iota // the host has not answered the offer yet
	PhaseStarting              // the host has accepted the offer
	PhaseRunning
)

// Result is the way in which an attempt ended.
type Result uint8

// Results of an attempt.
const (
	Done      Result = iota // the task ended without an error
	Failed                  // the task ended with an error
	Evicted                 // the host ended the task because its memory ran short
	Preempted               // the host ended the task for one of a higher priority
	Dismissed               // the host ended the task because it drains
	Stopped                 // the placer stopped the task
	Canceled                // the offer was withdrawn before it was accepted: the task never ran
	Forgotten               // the host has dropped its record of how the attempt ended: the task may have run
)

// Reason is the reason for which an offer was rejected. The values are those of forkhead.RejectReason.
type Reason uint8

// Reasons of a rejection.
const (
	NoReason Reason = iota
	InsufficientCores
	InsufficientMemory
	QueueFull
	Unsuitable // the host may not run the task
)

// Report describes the load of a host. A value that is not reported is NaN.
type Report struct {
	Cores, Memory float32 // available cores, and available memory in GiB
	Queue         float32 // number of queued offers and starts
	Util          float32 // fraction of the cores in use
}
