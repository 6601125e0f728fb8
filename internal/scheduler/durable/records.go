// Package durable defines what of a placer's state must survive a restart, and the form in which it is stored.
//
// It is pure and does no I/O. The scheduler emits a Record for each change of state that must survive. A record becomes
// changes of keys and values, which a store makes durable, and a Loader turns the stored keys and values into the Snapshot
// that the placer's next incarnation starts from. Each value carries the version of its format and a checksum; one that
// fails either check is reported and left out as a whole, never read in part.
package durable

import (
	"encoding/json"
	"time"

	"forkhead/internal/parse/servicespec"
	"forkhead/internal/protocol/hostproto"
)

// Record is one change of a placer's state that must survive a restart. Applying its changes twice has the effect of applying
// them once.
//
// The JSON keys of records and of what they hold are part of stored values and of recorded runs; they stay when a field is
// renamed.
type Record interface {
	// Changes returns the changes of stored keys that the record represents, in the order in which they must be applied.
	Changes() []Change
	// MustBeDurableFirst reports whether the outputs of the step that emitted the record must wait until the record is
	// durable. It is false for records whose loss does no harm, since the next incarnation receives the same again.
	MustBeDurableFirst() bool
}

// SubmissionAccepted is emitted before the client is notified that its specification was accepted. From then on the specification
// is its project's, and the submission awaits an outcome of each of the project's tasks.
type SubmissionAccepted struct {
	Submission    Submission
	Specification *servicespec.Description `json:"What"` // stored under Submission.Project
}

// Changes replaces the project's specification and drops its tasks' earlier outcomes: they belong to another submission.
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
	Index        int             `json:"Number"` // of the outcome in its submission, from 0
	Outcome      json.RawMessage `json:"Text"`   // as clients read it
	Task         Task
}

// Changes stores the outcome, and what it says about its task.
func (r OutcomeReported) Changes() []Change {
	return []Change{
		put(OutcomesBucket, outcomeKey(r.SubmissionID, r.Index), r.Outcome),
		put(TasksBucket, taskKey(&r.Task), r.Task),
	}
}

// MustBeDurableFirst returns true: a later incarnation must not report another outcome.
func (OutcomeReported) MustBeDurableFirst() bool { return true }

// TaskFinished is emitted when a task has ended and must not be started again.
type TaskFinished struct{ Task Task }

// Changes stores the task's end.
func (r TaskFinished) Changes() []Change { return []Change{put(TasksBucket, taskKey(&r.Task), r.Task)} }

// MustBeDurableFirst returns true: a later incarnation must not start the task.
func (TaskFinished) MustBeDurableFirst() bool { return true }

// ProjectRemoved is emitted when a project is to end. It leaves a tombstone, by which tasks of the project that are found
// running later are stopped.
type ProjectRemoved struct {
	Project string
	At      time.Duration // since the Unix epoch
}

// Changes replaces the project by a tombstone and drops its tasks.
func (r ProjectRemoved) Changes() []Change {
	return []Change{
		put(ProjectsBucket, r.Project, storedProject{RemovedAt: r.At}),
		{Kind: DeletePrefix, Bucket: TasksBucket, Key: r.Project + "/"},
	}
}

// MustBeDurableFirst returns true: a later incarnation must not run the project.
func (ProjectRemoved) MustBeDurableFirst() bool { return true }

// TombstoneExpired is emitted when no task of a removed project is expected to be reported any more.
type TombstoneExpired struct{ Project string }

// Changes drops the tombstone.
func (r TombstoneExpired) Changes() []Change {
	return []Change{{Kind: Delete, Bucket: ProjectsBucket, Key: r.Project}}
}

// MustBeDurableFirst returns false: a tombstone that is still there expires again.
func (TombstoneExpired) MustBeDurableFirst() bool { return false }

// SubmissionExpired is emitted when a submission's outcomes are not served any more.
type SubmissionExpired struct {
	SubmissionID string `json:"Submission"`
}

// Changes drops the submission and its outcomes.
func (r SubmissionExpired) Changes() []Change {
	return []Change{
		{Kind: Delete, Bucket: SubmissionsBucket, Key: r.SubmissionID},
		{Kind: DeletePrefix, Bucket: OutcomesBucket, Key: r.SubmissionID + "/"},
	}
}

// MustBeDurableFirst returns false: a submission that is still there expires again.
func (SubmissionExpired) MustBeDurableFirst() bool { return false }

// AttemptOffered is emitted before an offer is sent that must not be sent twice.
type AttemptOffered struct{ Attempt Attempt }

// Changes stores the attempt.
func (r AttemptOffered) Changes() []Change {
	return []Change{put(AttemptsBucket, attemptKey(r.Attempt.Ref), r.Attempt)}
}

// MustBeDurableFirst returns true: a later incarnation must not offer the task again before it knows the attempt's outcome.
func (AttemptOffered) MustBeDurableFirst() bool { return true }

// AttemptResolved is emitted when the outcome of an offered attempt is known and the attempt runs no more.
type AttemptResolved struct{ Ref hostproto.Ref }

// Changes drops the attempt.
func (r AttemptResolved) Changes() []Change {
	return []Change{{Kind: Delete, Bucket: AttemptsBucket, Key: attemptKey(r.Ref)}}
}

// MustBeDurableFirst returns false: an attempt that is still there is resolved again by querying its host.
func (AttemptResolved) MustBeDurableFirst() bool { return false }

// IncarnationStarted is emitted at a placer's start. The next incarnation's epoch is higher, whatever its clock says.
type IncarnationStarted struct{ Epoch uint64 }

// Changes stores the epoch.
func (r IncarnationStarted) Changes() []Change {
	return []Change{put(IncarnationsBucket, lastKey, storedIncarnation(r))}
}

// MustBeDurableFirst returns true: no two incarnations may act under one epoch.
func (IncarnationStarted) MustBeDurableFirst() bool { return true }

// HostListReceived is emitted when service discovery has sent a list of hosts.
type HostListReceived struct{ List HostList }

// Changes replaces the stored list.
func (r HostListReceived) Changes() []Change { return []Change{put(HostListsBucket, lastKey, r.List)} }

// MustBeDurableFirst returns false: service discovery sends the endpoint list again.
func (HostListReceived) MustBeDurableFirst() bool { return false }
