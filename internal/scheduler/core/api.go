package core

import (
	"time"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/protocol/consul"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/durable"
)

// Input is an event from outside the core. The shell passes inputs to Core.Step in the order in which they happened.
type Input interface{ input() }

// The inputs.
type (
	// HostListReceived is a snapshot of the endpoint list, or reports that the list could not be read.
	HostListReceived struct {
		Mode  forkhead.ListMode // ListCached, ListSnapshot or ListFailed
		Hosts []HostEntry
		Stale bool // only with ListCached: the list is old, so a host counts as ready only after its handshake
	}
	// HostConnected reports that connection Conn to a host is established.
	HostConnected struct {
		Host string
		Conn uint32
	}
	// HostDisconnected reports that connection Conn to a host could not be made, broke, or was closed by the host.
	HostDisconnected struct {
		Host   string
		Conn   uint32
		Reason string // cause for the log; "" if there is none
	}
	// FrameReceived is a frame that a host sent on connection Conn.
	FrameReceived struct {
		Host  string
		Conn  uint32
		Frame hostproto.Frame
	}
	// Submit changes a project to a specification. Accepted or Rejected answers it.
	Submit struct {
		Request        uint64 // number of the client's request, repeated in the answer
		IdempotencyKey string // "" if the client sent none
		BodyHash       uint64 // hash of the request body
		Description    *servicespec.Description
	}
	// RemoveProject stops all tasks of a project. Accepted or Rejected answers it.
	RemoveProject struct {
		Request uint64 // number of the client's request, repeated in the answer
		Project string
	}
	// Restore passes the durable state of an earlier incarnation of this placer. It comes before any other input.
	Restore struct{ Snapshot *durable.Snapshot }
	// GossipReceived is a gossip message from another placer.
	GossipReceived struct {
		From int // number of the placer that sent the message
		Data []byte
	}
)

func (HostListReceived) input() {}
func (HostConnected) input()    {}
func (HostDisconnected) input() {}
func (FrameReceived) input()    {}
func (Submit) input()           {}
func (RemoveProject) input()    {}
func (Restore) input()          {}
func (GossipReceived) input()   {}

// HostEntry is one host in the endpoint list.
type HostEntry = consul.Host

// Output is an action for the shell to execute.
type Output interface{ output() }

// The outputs. The shell executes them in order.
type (
	// DialHost establishes connection Conn to a host. HostConnected or HostDisconnected with the same Conn answers it.
	DialHost struct {
		Host, Address string
		Conn          uint32
	}
	// CloseHostConnection closes a connection, or stops establishing it. No input answers it.
	CloseHostConnection struct {
		Host string
		Conn uint32
	}
	// SendToHost writes a frame to a connection.
	SendToHost struct {
		Host  string
		Conn  uint32
		Frame hostproto.Frame
	}
	// Subscribe starts a watch of the endpoint list. HostListReceived answers it and follows each later change.
	Subscribe struct{}
	// SendGossip sends a gossip message to a placer, or to forkhead.AllPlacers.
	SendGossip struct {
		To   int
		Data []byte
	}
	// Accepted answers Submit and RemoveProject.
	Accepted struct {
		Request    uint64
		Submission string // ID of the submission; "" for RemoveProject
		Duplicate  bool   // the same submission was accepted before
	}
	// Rejected answers Submit and RemoveProject.
	Rejected struct {
		Request    uint64
		Status     int // HTTP status code
		Title      string
		Detail     string
		RetryAfter time.Duration // wait that the client is advised; 0: none
	}
	// OutcomesAdded reports that a submission has more outcomes, or is complete. Core.Outcomes returns them.
	OutcomesAdded struct{ Submission string }
	// Persist stores a record. If MustBeDurableFirst returns true for any record of the step, the shell executes the
	// outputs that follow the Persist only once all records of the step are durable.
	Persist struct{ Record durable.Record }
	// Log is a log line for the operator.
	Log struct {
		Defect bool // the line reports a bug in this program
		Text   string
	}
)

func (DialHost) output()            {}
func (CloseHostConnection) output() {}
func (SendToHost) output()          {}
func (Subscribe) output()           {}
func (SendGossip) output()          {}
func (Accepted) output()            {}
func (Rejected) output()            {}
func (OutcomesAdded) output()       {}
func (Persist) output()             {}
func (Log) output()                 {}

// Outcome is the single outcome that a submission gets for a task. Clients read its JSON form, which is also persisted.
type Outcome struct {
	Service  string      `json:"service"`
	Replica  int         `json:"replica"` // from 1
	Outcome  OutcomeKind `json:"outcome"`
	Host     string      `json:"host"` // Host, Zone and Rack are "" unless the task was placed
	Zone     string      `json:"zone"`
	Rack     string      `json:"rack"`
	Reason   string      `json:"reason"`
	Attempts int         `json:"attempts"` // number of offers to hosts, over all placement requests
	TookMS   int64       `json:"took_ms"`  // milliseconds since the submission was accepted
}

// OutcomeKind is the result for a task. Clients read its text, which is also persisted.
type OutcomeKind string

// The kinds of outcome.
const (
	OutcomePlaced   OutcomeKind = "placed"
	OutcomeRejected OutcomeKind = "refused" // the task never ran, so submitting it again is harmless
	OutcomeFailed   OutcomeKind = "failed"  // the task may have run
)

// Status reports what a placer holds now and its counters since it started.
type Status struct {
	Placer            int                    `json:"placer"`
	Epoch             uint64                 `json:"epoch"`
	Hosts             int                    `json:"hosts"`       // hosts in the endpoint list
	HostsUp           int                    `json:"hosts_up"`    // connected hosts that have listed their tasks
	HostsReady        int                    `json:"hosts_ready"` // hosts that neither drain nor are removed
	Tasks             int                    `json:"tasks"`
	TasksPlaced       int                    `json:"tasks_placed"`
	TasksWaiting      int                    `json:"tasks_waiting"`
	AttemptsUnknown   int                    `json:"attempts_unknown"` // attempts that may have run, result unknown
	Submissions       int                    `json:"submissions"`
	PlacementRequests uint64                 `json:"asks"`
	Offers            uint64                 `json:"offers"`
	Outcomes          map[OutcomeKind]uint64 `json:"outcomes"`
	Lost              uint64                 `json:"lost"`   // placed tasks whose hosts were lost
	Migrated          uint64                 `json:"moved"`  // placed tasks that the module stopped
	Vetoes            uint64                 `json:"vetoes"` // vetoed actions of the module: an invariant forbids them
	VetoesByRule      map[string]uint64      `json:"vetoes_by_rule"`
	Defects           uint64                 `json:"defects"` // bugs in this program that it detected itself
}
