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
	IdempotencyKey string        `json:"Key"`   // from the client's request; "" if it had none
	BodyHash       uint64        `json:"Body"`  // hash of the specification as it was submitted
	TotalOutcomes  int           `json:"Total"` // number of outcomes that the submission gets
	AcceptedAt     time.Duration `json:"At"`    // since the Unix epoch
	Project        string        `json:"Project"`
}

// Task is the stored state of one task of a project. The outcome that was reported for it and its own state are apart:
// if an update is refused, the earlier version of the task runs on.
type Task struct {
	Project  string               `json:"Project"`
	Service  string               `json:"Service"`
	Replica  int                  `json:"Replica"`           // from 1
	Outcome  string               `json:"Word"`              // the outcome that was reported; "" if none was pending
	Finished bool                 `json:"Over"`              // the task must not be started again
	Version  *servicespec.Service `json:"Version,omitempty"` // what the task runs by, if not by the project's specification

	// Submission is the submission that the state belongs to: the last one of the project when the state was stored. It
	// is "" in values of programs that did not store it. For these, Finished may also mean that an update of the task
	// was refused while its earlier version ran on. Recorded runs do not contain it.
	Submission string `json:"-"`
}

// storedTask is the value of a task's key.
type storedTask struct {
	Task
	StoredSubmission string `json:"Submission,omitempty"` // Task.Submission
}

// Attempt is an offer of a keyed or unsafe task, which a later incarnation must not repeat unknowingly.
type Attempt struct {
	Ref       hostproto.Ref `json:"Ref"`
	TaskKey   uint64        `json:"Key"` // identity of the task, by which hosts deduplicate
	Project   string        `json:"Project"`
	Service   string        `json:"Service"`
	Replica   int           `json:"Replica"` // from 1
	Class     string        `json:"Class"`
	Host      string        `json:"Host"`
	Address   string        `json:"Address"` // of the host, as HOST:PORT
	HostEpoch uint64        `json:"Life"`    // incarnation of the host to which the task was offered
	ChosenAt  time.Duration `json:"At"`      // when the host was chosen, since the Unix epoch

	// Fingerprint is that of the specification that was offered, or 0 in values of programs that did not store it.
	// Recorded runs do not contain it.
	Fingerprint uint64 `json:"-"`
}

// storedAttempt is the value of an attempt's key.
type storedAttempt struct {
	Attempt
	StoredFingerprint uint64 `json:"Fingerprint,omitempty"` // Attempt.Fingerprint
}

// HostList is a list of hosts as received from service discovery.
type HostList struct {
	ReceivedAt time.Duration `json:"At"` // since the Unix epoch
	Hosts      []consul.Host `json:"Hosts"`
}

// storedProject is the value of a project's key: a specification, or the tombstone of a removed project.
type storedProject struct {
	Submission    string                   `json:"Submission,omitempty"`
	Specification *servicespec.Description `json:"What,omitempty"`      // nil for a tombstone
	RemovedAt     time.Duration            `json:"RemovedAt,omitempty"` // time of the removal, since the Unix epoch
}

// storedIncarnation is the value that holds the epoch of the placer's last incarnation.
type storedIncarnation struct {
	Epoch uint64 `json:"Epoch"`
}
