// Package durable defines which part of a placer's state must survive a restart, and the form in which it is stored.
//
// The package is pure: it does no I/O. The scheduler emits a Record for each change of state that must survive. A
// record is turned into changes of keys and values, which a store makes durable. A Loader turns the stored keys and
// values into the Snapshot from which the placer's next incarnation starts. Each value carries the version of its
// format and a checksum; a value that fails either check is reported and left out as a whole, never read in part.
package durable

import (
	"encoding/json"
	"time"

	"forkhead/internal/parse/servicespec"
	"forkhead/internal/protocol/hostproto"
)

// Record is one change of a placer's state that must survive a restart. Applying its changes twice has the same effect
// as applying them once.
//
// The JSON keys of records and of the types in their fields are part of stored values and of recorded runs, so a key
// stays the same when its field is renamed.
type Record interface {
	// Changes returns the changes of stored keys that make up the record, in the order in which they must be applied.
	Changes() []Change
	// MustBeDurableFirst reports whether the outputs of the step that emitted the record must wait until the record is
	// durable. It is false for records whose loss does no harm, since a host, service discovery or a timer gives the
	// next incarnation the same information again.
	MustBeDurableFirst() bool
}

// SubmissionAccepted is emitted before the client is notified that its specification was accepted. From then on the
// project has this specification, and the submission awaits an outcome of each of the project's tasks.
type SubmissionAccepted struct {
	Submission    Submission
	Specification *servicespec.Description `json:"What"` // stored under Submission.Project
}

// Changes replaces the project's specification and deletes the earlier outcomes of its tasks, which belong to another
// submission.
func (r SubmissionAccepted) Changes() []Change {
	s := &r.Submission
	return []Change{
		put(SubmissionsBucket, s.ID, s),
		put(ProjectsBucket, s.Project, storedProject{Submission: s.ID, Specification: r.Specification}),
		{Kind: DeletePrefix, Bucket: TasksBucket, Key: s.Project + "/"},
	}
}

// MustBeDurableFirst returns true: an accepted submission must not be lost.
func (SubmissionAccepted) MustBeDurableFirst() bool { return true }

// OutcomeReported is emitted before a client can read the outcome of a task.
type OutcomeReported struct {
	SubmissionID string          `json:"Submission"`
	Index        int             `json:"Number"` // index of the outcome in its submission, from 0
	Outcome      json.RawMessage `json:"Text"`   // the outcome as clients read it
	Task         *Task           // state of the task; nil if a later submission of the project determines it
}

// Changes stores the outcome and, if the record has it, the state of its task.
func (r OutcomeReported) Changes() []Change {
	changes := []Change{put(OutcomesBucket, outcomeKey(r.SubmissionID, r.Index), r.Outcome)}
	if r.Task != nil {
		changes = append(changes, putTask(r.Task))
	}
	return changes
}

// MustBeDurableFirst returns true: a later incarnation must not report a different outcome.
func (OutcomeReported) MustBeDurableFirst() bool { return true }

// TaskFinished is emitted when a task has ended and must not be started again.
type TaskFinished struct{ Task Task }

// Changes stores the finished task.
func (r TaskFinished) Changes() []Change { return []Change{putTask(&r.Task)} }

// MustBeDurableFirst returns true: a later incarnation must not start the task.
func (TaskFinished) MustBeDurableFirst() bool { return true }

// TaskRolledBack is emitted when a task goes back to the version that it had before a failed update.
type TaskRolledBack struct{ Task Task }

// Changes stores the task with its version.
func (r TaskRolledBack) Changes() []Change { return []Change{putTask(&r.Task)} }

// MustBeDurableFirst returns true: a later incarnation must not go back to the update that failed.
func (TaskRolledBack) MustBeDurableFirst() bool { return true }

// ProjectRemoved is emitted when a project is to be removed. It leaves a tombstone, so that tasks of the project that
// are found running later are stopped.
type ProjectRemoved struct {
	Project string
	At      time.Duration // time of the removal, since the Unix epoch
}

// Changes replaces the project by a tombstone and deletes its tasks.
func (r ProjectRemoved) Changes() []Change {
	return []Change{
		put(ProjectsBucket, r.Project, storedProject{RemovedAt: r.At}),
		{Kind: DeletePrefix, Bucket: TasksBucket, Key: r.Project + "/"},
	}
}

// MustBeDurableFirst returns true: a later incarnation must not run the project.
func (ProjectRemoved) MustBeDurableFirst() bool { return true }

// TombstoneExpired is emitted when no host is expected to report a task of a removed project any more.
type TombstoneExpired struct{ Project string }

// Changes deletes the tombstone.
func (r TombstoneExpired) Changes() []Change {
	return []Change{{Kind: Delete, Bucket: ProjectsBucket, Key: r.Project}}
}

// MustBeDurableFirst returns false: a tombstone that is still stored expires again.
func (TombstoneExpired) MustBeDurableFirst() bool { return false }

// SubmissionExpired is emitted when a submission's outcomes are no longer served.
type SubmissionExpired struct {
	SubmissionID string `json:"Submission"`
}

// Changes deletes the submission and its outcomes.
func (r SubmissionExpired) Changes() []Change {
	return []Change{
		{Kind: Delete, Bucket: SubmissionsBucket, Key: r.SubmissionID},
		{Kind: DeletePrefix, Bucket: OutcomesBucket, Key: r.SubmissionID + "/"},
	}
}

// MustBeDurableFirst returns false: a submission that is still stored expires again.
func (SubmissionExpired) MustBeDurableFirst() bool { return false }

// AttemptOffered is emitted before the placer sends an offer that must not be sent twice.
type AttemptOffered struct{ Attempt Attempt }

// Changes stores the attempt.
func (r AttemptOffered) Changes() []Change {
	stored := storedAttempt{Attempt: r.Attempt, StoredFingerprint: r.Attempt.Fingerprint}
	return []Change{put(AttemptsBucket, attemptKey(r.Attempt.Ref), stored)}
}

// MustBeDurableFirst returns true: a later incarnation must not offer the task again before it knows the attempt's
// outcome.
func (AttemptOffered) MustBeDurableFirst() bool { return true }

// AttemptResolved is emitted when the outcome of an offered attempt is known and the attempt no longer runs.
type AttemptResolved struct{ Ref hostproto.Ref }

// Changes deletes the attempt.
func (r AttemptResolved) Changes() []Change {
	return []Change{{Kind: Delete, Bucket: AttemptsBucket, Key: attemptKey(r.Ref)}}
}

// MustBeDurableFirst returns false: an attempt that is still stored is resolved again by a query to its host.
func (AttemptResolved) MustBeDurableFirst() bool { return false }

// IncarnationStarted is emitted when a placer starts. The next incarnation's epoch is higher, whatever its clock shows.
type IncarnationStarted struct{ Epoch uint64 }

// Changes stores the epoch.
func (r IncarnationStarted) Changes() []Change {
	return []Change{put(IncarnationsBucket, lastKey, storedIncarnation(r))}
}

// MustBeDurableFirst returns true: no two incarnations may act under one epoch.
func (IncarnationStarted) MustBeDurableFirst() bool { return true }

// HostListReceived is emitted when the placer has received a list of hosts from service discovery.
type HostListReceived struct{ List HostList }

// Changes replaces the stored list.
func (r HostListReceived) Changes() []Change { return []Change{put(HostListsBucket, lastKey, r.List)} }

// MustBeDurableFirst returns false: service discovery sends the list again.
func (HostListReceived) MustBeDurableFirst() bool { return false }
