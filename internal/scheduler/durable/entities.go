package durable

import (
	"time"

	"forkhead/internal/parse/servicespec"
	"forkhead/internal/protocol/consul"
	"forkhead/internal/protocol/hostproto"
)

// Submission is an accepted submission of a specification.
type Submission struct {
	ID             string        `json:"ID"`
	IdempotencyKey string        `json:"Key"`   // of the client's request; "" where it had none
	BodyHash       uint64        `json:"Body"`  // of the specification as it was submitted
	TotalOutcomes  int           `json:"Total"` // how many outcomes the submission gets
	AcceptedAt     time.Duration `json:"At"`    // since the Unix epoch
	Project        string        `json:"Project"`
}

// Task is what is known of one task of a project.
type Task struct {
	Project  string `json:"Project"`
	Service  string `json:"Service"`
	Replica  int    `json:"Replica"` // from 1
	Outcome  string `json:"Word"`    // the outcome that was reported; "" where none was pending
	Finished bool   `json:"Over"`    // it must not be started again
}

// Attempt is an offer of a task whose effect must not happen twice.
type Attempt struct {
	Ref       hostproto.Ref `json:"Ref"`
	TaskKey   uint64        `json:"Key"` // identity of the task, by which hosts deduplicate
	Project   string        `json:"Project"`
	Service   string        `json:"Service"`
	Replica   int           `json:"Replica"` // from 1
	Class     string        `json:"Class"`
	Host      string        `json:"Host"`
	Address   string        `json:"Address"` // of the host, HOST:PORT
	HostEpoch uint64        `json:"Life"`    // the host's incarnation that the task was offered to
	ChosenAt  time.Duration `json:"At"`      // when the host was chosen, since the Unix epoch
}

// HostList is a list of hosts as service discovery sent it.
type HostList struct {
	ReceivedAt time.Duration `json:"At"` // since the Unix epoch
	Hosts      []consul.Host `json:"Hosts"`
}

// storedProject is the value of a project's key: a specification, or the tombstone of a removed project.
type storedProject struct {
	Submission    string                   `json:"Submission,omitempty"`
	Specification *servicespec.Description `json:"What,omitempty"`      // nil: this is a tombstone
	RemovedAt     time.Duration            `json:"RemovedAt,omitempty"` // since the Unix epoch
}

// storedIncarnation is the value that holds the epoch of the last incarnation.
type storedIncarnation struct {
	Epoch uint64 `json:"Epoch"`
}
