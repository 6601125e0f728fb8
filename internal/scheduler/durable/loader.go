package durable

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"forkhead/internal/parse/servicespec"
)

// Snapshot is the stored state of a placer, from which its next incarnation starts.
type Snapshot struct {
	Projects    []Project                // sorted by name
	Tombstones  map[string]time.Duration // when each removed project was removed, since the Unix epoch
	Submissions []SubmissionProgress     // sorted by time of acceptance, then by ID
	Attempts    []Attempt                // sorted by reference
	HostList    HostList                 // the last list received
	Epoch       uint64                   // of the last incarnation; 0 if there was none
	Unreadable  []string                 // messages that say what could not be read, and why
}

// Project is a project that was submitted and not removed since.
type Project struct {
	SubmissionID  string
	Specification *servicespec.Description
	Tasks         []Task // tasks whose outcome was reported or that have ended, in no particular order
}

// SubmissionProgress is a submission with the outcomes that were reported for it, in order.
type SubmissionProgress struct {
	Submission
	Outcomes []json.RawMessage
}

// Loader builds a Snapshot from stored keys and values, which may be added in any order. It is not safe for concurrent
// use.
type Loader struct {
	projects    map[string]storedProject
	tombstones  map[string]time.Duration
	submissions map[string]Submission
	outcomes    map[string]map[int]json.RawMessage // by submission and index
	tasks       map[string][]Task                  // by project
	attempts    []Attempt
	hostList    HostList
	epoch       uint64
	unreadable  []string
}

// NewLoader returns an empty loader.
func NewLoader() *Loader {
	return &Loader{
		projects:    map[string]storedProject{},
		tombstones:  map[string]time.Duration{},
		submissions: map[string]Submission{},
		outcomes:    map[string]map[int]json.RawMessage{},
		tasks:       map[string][]Task{},
	}
}

// Add adds a key with its stored value, which it does not retain. A value that cannot be read is listed in
// Snapshot.Unreadable.
func (l *Loader) Add(bucket Bucket, key string, value []byte) {
	text, _, err := DecodeValue(value)
	if err == nil {
		err = l.add(bucket, key, text)
	}
	if err != nil {
		l.unreadable = append(l.unreadable, fmt.Sprintf("%s %q: %v", bucket, key, err))
	}
}

func (l *Loader) add(bucket Bucket, key string, text []byte) error {
	switch bucket {
	case ProjectsBucket:
		return l.addProject(key, text)
	case SubmissionsBucket:
		return l.addSubmission(key, text)
	case OutcomesBucket:
		return l.addOutcome(key, text)
	case TasksBucket:
		return l.addTask(text)
	case AttemptsBucket:
		return l.addAttempt(text)
	case HostListsBucket:
		return l.addHostList(text)
	case IncarnationsBucket:
		return l.addIncarnation(text)
	}
	return errors.New("no such bucket")
}

func (l *Loader) addProject(name string, text []byte) error {
	var p storedProject
	if err := json.Unmarshal(text, &p); err != nil {
		return err
	}
	if p.Specification == nil {
		l.tombstones[name] = p.RemovedAt
		return nil
	}
	l.projects[name] = p
	return nil
}

func (l *Loader) addSubmission(id string, text []byte) error {
	var s Submission
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	l.submissions[id] = s
	return nil
}

func (l *Loader) addOutcome(key string, text []byte) error {
	submissionID, number, _ := strings.Cut(key, "/")
	index, err := strconv.Atoi(number)
	if err != nil {
		return err
	}
	if l.outcomes[submissionID] == nil {
		l.outcomes[submissionID] = map[int]json.RawMessage{}
	}
	l.outcomes[submissionID][index] = slices.Clone(text)
	return nil
}

func (l *Loader) addTask(text []byte) error {
	var stored storedTask
	if err := json.Unmarshal(text, &stored); err != nil {
		return err
	}
	t := stored.Task
	t.Submission = stored.StoredSubmission
	l.tasks[t.Project] = append(l.tasks[t.Project], t)
	return nil
}

func (l *Loader) addAttempt(text []byte) error {
	var stored storedAttempt
	if err := json.Unmarshal(text, &stored); err != nil {
		return err
	}
	a := stored.Attempt
	a.Fingerprint = stored.StoredFingerprint
	l.attempts = append(l.attempts, a)
	return nil
}

func (l *Loader) addHostList(text []byte) error {
	var list HostList
	if err := json.Unmarshal(text, &list); err != nil {
		return err
	}
	l.hostList = list
	return nil
}

func (l *Loader) addIncarnation(text []byte) error {
	var i storedIncarnation
	if err := json.Unmarshal(text, &i); err != nil {
		return err
	}
	l.epoch = i.Epoch
	return nil
}

// Snapshot returns the state that was added. Its order does not depend on the order of the additions, except for
// Project.Tasks.
func (l *Loader) Snapshot() *Snapshot {
	slices.SortFunc(l.attempts, func(a, b Attempt) int { return cmp.Compare(attemptKey(a.Ref), attemptKey(b.Ref)) })
	slices.Sort(l.unreadable)
	return &Snapshot{
		Projects:    l.sortedProjects(),
		Tombstones:  l.tombstones,
		Submissions: l.sortedSubmissions(),
		Attempts:    l.attempts,
		HostList:    l.hostList,
		Epoch:       l.epoch,
		Unreadable:  l.unreadable,
	}
}

func (l *Loader) sortedProjects() []Project {
	var projects []Project
	for name, p := range l.projects {
		p.Specification.Name = name
		projects = append(projects, Project{SubmissionID: p.Submission, Specification: p.Specification, Tasks: l.tasks[name]})
	}
	slices.SortFunc(projects, func(a, b Project) int { return cmp.Compare(a.Specification.Name, b.Specification.Name) })
	return projects
}

func (l *Loader) sortedSubmissions() []SubmissionProgress {
	var submissions []SubmissionProgress
	for id, s := range l.submissions {
		submissions = append(submissions, SubmissionProgress{Submission: s, Outcomes: l.consecutiveOutcomes(id)})
	}
	slices.SortFunc(submissions, func(a, b SubmissionProgress) int {
		return cmp.Or(cmp.Compare(a.AcceptedAt, b.AcceptedAt), cmp.Compare(a.ID, b.ID))
	})
	return submissions
}

// consecutiveOutcomes returns a submission's outcomes up to the first that is missing. Later ones are reported again,
// since a client reads outcomes by their index.
func (l *Loader) consecutiveOutcomes(submissionID string) []json.RawMessage {
	byIndex := l.outcomes[submissionID]
	var outcomes []json.RawMessage
	for index := 0; ; index++ {
		outcome, ok := byIndex[index]
		if !ok {
			return outcomes
		}
		outcomes = append(outcomes, outcome)
	}
}
