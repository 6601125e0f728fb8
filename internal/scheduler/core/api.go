// Package core is a placer without its sockets: it turns what the shell carries in (lists,
// frames, submissions, time) into events for the module, and what the module rules into what
// the shell carries out. It holds no socket, clock, goroutine or global; the same inputs at the
// same times give the same outputs.
package core

import (
	"time"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/protocol/consul"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/durable"
)

// Input is something that the shell carries in.
type Input interface{ input() }

// The inputs.
type (
	// Listing brings the list of hosts, complete, or the news that asking for it failed.
	Listing struct {
		Mode  forkhead.ListMode // ListSaved, ListFull or ListFailed
		Hosts []HostEntry
		Stale bool // of ListSaved: it is old, and a host counts only once it has greeted
	}
	// Dialled says that connection Conn to a host is made.
	Dialled struct {
		Host string
		Conn uint32
	}
	// Broke says that connection Conn to a host failed, broke or was closed.
	Broke struct {
		Host string
		Conn uint32
		Why  string
	}
	// FromHost brings a frame that came on connection Conn.
	FromHost struct {
		Host  string
		Conn  uint32
		Frame hostproto.Frame
	}
	// Submit brings a description.
	Submit struct {
		Request uint64 // names the answer
		Key     string // Idempotency-Key, or ""
		Body    uint64 // a hash of what was submitted
		What    *servicespec.Description
	}
	// Remove ends a project: its tasks are stopped.
	Remove struct {
		Request uint64
		Project string
	}
	// Restore brings what an earlier life has noted, before anything else.
	Restore struct{ Kept *durable.Snapshot }
	// FromPlacer brings a message from another placer.
	FromPlacer struct {
		From int
		Data []byte
	}
)

func (Listing) input()    {}
func (Dialled) input()    {}
func (Broke) input()      {}
func (FromHost) input()   {}
func (Submit) input()     {}
func (Remove) input()     {}
func (Restore) input()    {}
func (FromPlacer) input() {}

// HostEntry is a host as the list names it.
type HostEntry = consul.Host

// Output is something that the shell carries out.
type Output interface{ output() }

// The outputs.
type (
	// Dial asks for a connection; Dialled or Broke with its number answers.
	Dial struct {
		Host, Address string
		Conn          uint32
	}
	// Close ends a connection; no answer is wanted.
	Close struct {
		Host string
		Conn uint32
	}
	// ToHost writes a frame.
	ToHost struct {
		Host  string
		Conn  uint32
		Frame hostproto.Frame
	}
	// Subscribe asks for the list and its changes from now on. Listing answers.
	Subscribe struct{}
	// ToPlacer sends a message to a placer, or to forkhead.Everyone.
	ToPlacer struct {
		To   int
		Data []byte
	}
	// Taken answers Submit and Remove.
	Taken struct {
		Request    uint64
		Submission string
		Again      bool // it had been taken before
	}
	// Rejected answers Submit and Remove.
	Rejected struct {
		Request    uint64
		Status     int // by HTTP
		Title      string
		Detail     string
		RetryAfter time.Duration // 0: not told
	}
	// Grew says that a submission has more outcomes, or is complete.
	Grew struct{ Submission string }
	// Keep notes what must not be forgotten. What follows in the step leaves only when the step's notes are durable, if
	// one of them is to be waited for (state.Waits).
	Keep struct{ Note durable.Record }
	// Logged is a line for whoever is on call.
	Logged struct {
		Defect bool // of this program
		Text   string
	}
)

func (Dial) output()      {}
func (Close) output()     {}
func (ToHost) output()    {}
func (Subscribe) output() {}
func (ToPlacer) output()  {}
func (Taken) output()     {}
func (Rejected) output()  {}
func (Grew) output()      {}
func (Keep) output()      {}
func (Logged) output()    {}

// Outcome is the one outcome of a task of a submission.
type Outcome struct {
	Service  string `json:"service"`
	Replica  int    `json:"replica"` // from 1
	Outcome  string `json:"outcome"` // placed, refused or failed
	Host     string `json:"host"`
	Zone     string `json:"zone"`
	Rack     string `json:"rack"`
	Reason   string `json:"reason"`
	Attempts int    `json:"attempts"` // offers to hosts, over all asks
	TookMS   int64  `json:"took_ms"`
}

// Words of an Outcome.
const (
	WordPlaced  = "placed"
	WordRefused = "refused"
	WordFailed  = "failed"
)

// Status counts what a placer holds and has done.
type Status struct {
	Placer      int               `json:"placer"`
	Epoch       uint64            `json:"epoch"`
	Hosts       int               `json:"hosts"` // in the list
	Up          int               `json:"hosts_up"`
	Ready       int               `json:"hosts_ready"`
	Tasks       int               `json:"tasks"`
	Running     int               `json:"tasks_placed"`
	Waiting     int               `json:"tasks_waiting"`
	Unknown     int               `json:"attempts_unknown"`
	Submissions int               `json:"submissions"`
	Asks        uint64            `json:"asks"`
	Offers      uint64            `json:"offers"`
	Outcomes    map[string]uint64 `json:"outcomes"`
	Lost        uint64            `json:"lost"`
	Moved       uint64            `json:"moved"`
	Vetoes      uint64            `json:"vetoes"`
	ByRule      map[string]uint64 `json:"vetoes_by_rule"`
	Defects     uint64            `json:"defects"`
}
