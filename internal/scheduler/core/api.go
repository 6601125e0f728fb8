package core

import (
	"time"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/protocol/consul"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/durable"
)

// Input is something that happened outside of the core. The shell passes inputs to Core.Step in the order in which they
// happened.
type Input interface{ input() }

// The inputs.
type (
	// HostListReceived is a snapshot of the endpoint list, or reports that it could not be read.
	HostListReceived struct {
		Mode  forkhead.ListMode // ListCached, ListSnapshot or ListFailed
		Hosts []HostEntry
		Stale bool // of ListCached: the list is old, and a host counts only after its handshake
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
		Reason string // for the log; may be ""
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
		IdempotencyKey string // or ""
		BodyHash       uint64 // of what the client sent
		Description    *servicespec.Description
	}
	// RemoveProject stops all tasks of a project. Accepted or Rejected answers it.
	RemoveProject struct {
		Request uint64 // number of the client's request, repeated in the answer
		Project string
	}
	// Restore is what an earlier incarnation of this placer persisted. It comes before any other input.
	Restore struct{ Snapshot *durable.Snapshot }
	// GossipReceived is a message of another placer.
	GossipReceived struct {
		From int // number of that placer
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

// HostEntry is one host of the endpoint list.
type HostEntry = consul.Host

// Output is something for the shell to do.
type Output interface{ output() }

// The outputs. The shell executes them in order.
type (
	// DialHost establishes a connection. HostConnected or HostDisconnected with its number answers.
	DialHost struct {
		Host, Address string
		Conn          uint32
	}
	// CloseHostConnection closes a connection, or stops establishing it. Nothing answers.
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
	// Subscribe begins to watch the endpoint list. HostListReceived answers, and again after each change.
	Subscribe struct{}
	// SendGossip sends a message to a placer, or to forkhead.AllPlacers.
	SendGossip struct {
		To   int
		Data []byte
	}
	// Accepted answers Submit and RemoveProject.
	Accepted struct {
		Request    uint64
		Submission string // its ID; "" for RemoveProject
		Duplicate  bool   // the same submission had been accepted before
	}
	// Rejected answers Submit and RemoveProject.
	Rejected struct {
		Request    uint64
		Status     int // HTTP status code
		Title      string
		Detail     string
		RetryAfter time.Duration // 0: not stated
	}
	// OutcomesAdded reports that a submission has more outcomes, or is complete. Core.Outcomes returns them.
	OutcomesAdded struct{ Submission string }
	// Persist stores a record. The outputs that follow it in the same step leave only once the step's records are durable,
	// if durable.MustBeDurableFirst holds for one of them.
	Persist struct{ Record durable.Record }
	// Log is a line for whoever is on call.
	Log struct {
		Defect bool // the line reports a fault of this program
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

// Outcome is the one outcome that a submission gets for a task. Its JSON form is what clients read and what is persisted.
type Outcome struct {
	Service  string      `json:"service"`
	Replica  int         `json:"replica"` // from 1
	Outcome  OutcomeKind `json:"outcome"`
	Host     string      `json:"host"` // "" unless the task was placed; likewise Zone and Rack
	Zone     string      `json:"zone"`
	Rack     string      `json:"rack"`
	Reason   string      `json:"reason"`
	Attempts int         `json:"attempts"` // offers to hosts, over all placement requests
	TookMS   int64       `json:"took_ms"`  // milliseconds since the submission was accepted
}

// OutcomeKind is what became of a task. Its text is what clients read and what is persisted.
type OutcomeKind string

// The kinds of outcome.
const (
	OutcomePlaced   OutcomeKind = "placed"
	OutcomeRejected OutcomeKind = "refused" // the task never ran: submitting it again is harmless
	OutcomeFailed   OutcomeKind = "failed"  // the task may have run
)

// Status is what a placer holds now, and what it has counted since it started.
type Status struct {
	Placer            int                    `json:"placer"`
	Epoch             uint64                 `json:"epoch"`
	Hosts             int                    `json:"hosts"`       // in the endpoint list
	HostsUp           int                    `json:"hosts_up"`    // connected, after the handshake
	HostsReady        int                    `json:"hosts_ready"` // neither draining nor removed
	Tasks             int                    `json:"tasks"`
	TasksPlaced       int                    `json:"tasks_placed"`
	TasksWaiting      int                    `json:"tasks_waiting"`
	AttemptsUnknown   int                    `json:"attempts_unknown"` // they may have run, and their hosts have not reported it
	Submissions       int                    `json:"submissions"`
	PlacementRequests uint64                 `json:"asks"`
	Offers            uint64                 `json:"offers"`
	Outcomes          map[OutcomeKind]uint64 `json:"outcomes"`
	Lost              uint64                 `json:"lost"`   // placed tasks whose hosts were lost
	Migrated          uint64                 `json:"moved"`  // placed tasks that the module stopped
	Vetoes            uint64                 `json:"vetoes"` // actions of the module that would have broken an invariant
	VetoesByRule      map[string]uint64      `json:"vetoes_by_rule"`
	Defects           uint64                 `json:"defects"` // faults of this program that it found by itself
}
