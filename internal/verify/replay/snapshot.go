package replay

import (
	"encoding/json"
	"time"

	"forkhead/internal/protocol/consul"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/scheduler/durable"
)

// The types below are the stored form of a core.Restore. gob matches fields by name, so the fields have the names that
// are in the first recordings, and keep them when package durable renames its fields.
type (
	recordedRestore struct{ Kept *recordedSnapshot }

	recordedSnapshot struct {
		Projects    []recordedProject
		Removed     map[string]time.Duration
		Submissions []recordedProgress
		Attempts    []recordedAttempt
		List        recordedHostList
		Epoch       uint64
		Bad         []string
	}

	recordedProject struct {
		Submission string
		What       *recordedSpecification
		Tasks      []recordedTask
	}

	recordedTask struct {
		Project string
		Service string
		Replica int
		Word    string
		Over    bool
		Version *recordedService
		// Submission is not in the first recordings.
		Submission string
	}

	recordedProgress struct {
		Submission recordedSubmission
		Outcomes   []json.RawMessage
	}

	recordedSubmission struct {
		ID      string
		Key     string
		Body    uint64
		Total   int
		At      time.Duration
		Project string
	}

	recordedAttempt struct {
		Ref     hostproto.Ref
		Key     uint64
		Project string
		Service string
		Replica int
		Class   string
		Host    string
		Address string
		Life    uint64
		At      time.Duration
		// Fingerprint is not in the first recordings.
		Fingerprint uint64
	}

	recordedHostList struct {
		At    time.Duration
		Hosts []consul.Host
	}
)

// convertAll returns the converted elements of in. It returns nil for an empty slice, as gob does when it decodes one.
func convertAll[From, To any](in []From, convert func(From) To) []To {
	var out []To
	for _, v := range in {
		out = append(out, convert(v))
	}
	return out
}

// recordRestore returns the stored form of a core.Restore.
func recordRestore(in core.Restore) recordedRestore {
	s := in.Snapshot
	if s == nil {
		return recordedRestore{}
	}
	return recordedRestore{Kept: &recordedSnapshot{
		Projects:    convertAll(s.Projects, recordProject),
		Removed:     s.Tombstones,
		Submissions: convertAll(s.Submissions, recordProgress),
		Attempts:    convertAll(s.Attempts, recordAttempt),
		List:        recordedHostList{At: s.HostList.ReceivedAt, Hosts: s.HostList.Hosts},
		Epoch:       s.Epoch,
		Bad:         s.Unreadable,
	}}
}

// restore returns the input that was recorded.
func (r recordedRestore) restore() core.Restore {
	s := r.Kept
	if s == nil {
		return core.Restore{}
	}
	return core.Restore{Snapshot: &durable.Snapshot{
		Projects:    convertAll(s.Projects, recordedProject.project),
		Tombstones:  s.Removed,
		Submissions: convertAll(s.Submissions, recordedProgress.progress),
		Attempts:    convertAll(s.Attempts, recordedAttempt.attempt),
		HostList:    durable.HostList{ReceivedAt: s.List.At, Hosts: s.List.Hosts},
		Epoch:       s.Epoch,
		Unreadable:  s.Bad,
	}}
}

func recordProject(p durable.Project) recordedProject {
	return recordedProject{Submission: p.SubmissionID, What: recordSpecification(p.Specification), Tasks: convertAll(p.Tasks, recordTask)}
}

func (p recordedProject) project() durable.Project {
	return durable.Project{SubmissionID: p.Submission, Specification: p.What.specification(), Tasks: convertAll(p.Tasks, recordedTask.task)}
}

func recordTask(t durable.Task) recordedTask {
	recorded := recordedTask{
		Project: t.Project, Service: t.Service, Replica: t.Replica, Word: t.Outcome, Over: t.Finished, Submission: t.Submission,
	}
	if t.Version != nil {
		version := recordService(*t.Version)
		recorded.Version = &version
	}
	return recorded
}

func (t recordedTask) task() durable.Task {
	task := durable.Task{
		Project: t.Project, Service: t.Service, Replica: t.Replica, Outcome: t.Word, Finished: t.Over, Submission: t.Submission,
	}
	if t.Version != nil {
		version := t.Version.service()
		task.Version = &version
	}
	return task
}

func recordProgress(p durable.SubmissionProgress) recordedProgress {
	return recordedProgress{
		Submission: recordedSubmission{
			ID: p.ID, Key: p.IdempotencyKey, Body: p.BodyHash, Total: p.TotalOutcomes, At: p.AcceptedAt, Project: p.Project,
		},
		Outcomes: p.Outcomes,
	}
}

func (p recordedProgress) progress() durable.SubmissionProgress {
	s := &p.Submission
	return durable.SubmissionProgress{
		Submission: durable.Submission{
			ID: s.ID, IdempotencyKey: s.Key, BodyHash: s.Body, TotalOutcomes: s.Total, AcceptedAt: s.At, Project: s.Project,
		},
		Outcomes: p.Outcomes,
	}
}

func recordAttempt(a durable.Attempt) recordedAttempt {
	return recordedAttempt{
		Ref: a.Ref, Key: a.TaskKey, Project: a.Project, Service: a.Service, Replica: a.Replica, Class: a.Class,
		Host: a.Host, Address: a.Address, Life: a.HostEpoch, At: a.ChosenAt, Fingerprint: a.Fingerprint,
	}
}

func (a recordedAttempt) attempt() durable.Attempt {
	return durable.Attempt{
		Ref: a.Ref, TaskKey: a.Key, Project: a.Project, Service: a.Service, Replica: a.Replica, Class: a.Class,
		Host: a.Host, Address: a.Address, HostEpoch: a.Life, ChosenAt: a.At, Fingerprint: a.Fingerprint,
	}
}
