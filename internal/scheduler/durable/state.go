// Package durable says what a placer must not forget over its death, and in what form it is kept. It is pure: a note of what
// happened becomes changes of keys and values, which a store makes durable, and keys and values read back become what a
// new life of the placer starts from. Each value carries the version of its form and a checksum; one that does not hold is
// named and left out whole, never read in part.
package durable

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"
	"time"

	"forkhead/internal/parse/servicespec"
	"forkhead/internal/protocol/consul"
	"forkhead/internal/protocol/hostproto"
)

// FormatVersion is that of the form of a value. A reader takes older ones and refuses newer ones.
const FormatVersion = 1

// Record is something that must not be forgotten.
type Record interface{ record() }

// The notes.
type (
	// SubmissionAccepted says that a description was taken: it is its project's from now on, and an outcome of each of its tasks is owed
	// to the submission.
	SubmissionAccepted struct {
		Submission    Submission
		Specification *servicespec.Description `json:"What"` // by the name of Submission.Project
	}
	// OutcomeReported says that an outcome was told; Word and Text are the front's own.
	OutcomeReported struct {
		SubmissionID string          `json:"Submission"`
		Index        int             `json:"Number"` // of the outcome, from 0
		Outcome      json.RawMessage `json:"Text"`
		Task         Task
	}
	// TaskFinished says that a task has ended for good: it is not to be started again.
	TaskFinished struct{ Task Task }
	// ProjectRemoved says that a project is to end. It is kept that it was: what still runs of it is stopped when it shows.
	ProjectRemoved struct {
		Project string
		At      time.Duration
	}
	// TombstoneExpired says that nothing of a removed project is expected any more.
	TombstoneExpired struct{ Project string }
	// SubmissionExpired says that nobody reads a submission any more.
	SubmissionExpired struct {
		SubmissionID string `json:"Submission"`
	}
	// AttemptOffered is noted before an offer is sent that must not be sent twice.
	AttemptOffered struct{ Attempt Attempt }
	// AttemptResolved says that the fate of such an attempt is known, and that it runs no more.
	AttemptResolved struct{ Ref hostproto.Ref }
	// IncarnationStarted says that a life of the placer has begun: the next has a higher number, whatever the clock says.
	IncarnationStarted struct{ Epoch uint64 }
	// HostListReceived is the list of hosts as the catalogue told it last.
	HostListReceived struct{ List HostList }
)

func (SubmissionAccepted) record() {}
func (OutcomeReported) record()    {}
func (TaskFinished) record()       {}
func (ProjectRemoved) record()     {}
func (TombstoneExpired) record()   {}
func (SubmissionExpired) record()  {}
func (AttemptOffered) record()     {}
func (AttemptResolved) record()    {}
func (IncarnationStarted) record() {}
func (HostListReceived) record()   {}

// Submission is one that was taken.
type Submission struct {
	ID             string
	IdempotencyKey string        `json:"Key"`   // Idempotency-Key, or ""
	BodyHash       uint64        `json:"Body"`  // a hash of what was submitted
	TotalOutcomes  int           `json:"Total"` // outcomes owed
	AcceptedAt     time.Duration `json:"At"`
	Project        string
}

// Task is what became of one task of a project.
type Task struct {
	Project  string
	Service  string
	Replica  int
	Outcome  string `json:"Word"` // of the outcome that was told; "" where none was owed
	Finished bool   `json:"Over"` // it is not to be started again
}

// Attempt is an offer whose effect must not happen twice.
type Attempt struct {
	Ref       hostproto.Ref
	TaskKey   uint64 `json:"Key"` // of the task
	Project   string
	Service   string
	Replica   int
	Class     string
	Host      string
	Address   string
	HostEpoch uint64        `json:"Life"` // of the host
	ChosenAt  time.Duration `json:"At"`
}

// HostList is a list of hosts with when it was told.
type HostList struct {
	ReceivedAt time.Duration `json:"At"` // since the Unix epoch
	Hosts      []consul.Host
}

// Change is one change of what is kept.
type Change struct {
	Bucket string
	Key    string
	Value  []byte // nil: the key is taken out
	All    bool   // all keys that begin with Key are taken out
}

// The buckets.
const (
	ProjectsBucket     = "projects"
	SubmissionsBucket  = "submissions"
	OutcomesBucket     = "outcomes" // SUBMISSION/NUMBER
	TasksBucket        = "tasks"    // PROJECT/SERVICE/REPLICA
	AttemptsBucket     = "attempts" // EPOCH/TASK/ATTEMPT
	HostListsBucket    = "lists"    // "last"
	IncarnationsBucket = "lives"    // "last"
)

// Buckets are all of them.
var Buckets = []string{ProjectsBucket, SubmissionsBucket, OutcomesBucket, TasksBucket, AttemptsBucket, HostListsBucket, IncarnationsBucket}

type project struct {
	Submission string                   `json:",omitempty"`
	What       *servicespec.Description `json:",omitempty"` // nil: it was removed
	RemovedAt  time.Duration            `json:",omitempty"`
}

// Changes says what a note changes. Applying them twice is as applying them once.
func Changes(n Record) []Change {
	switch n := n.(type) {
	case SubmissionAccepted:
		return []Change{
			put(SubmissionsBucket, n.Submission.ID, n.Submission),
			put(ProjectsBucket, n.Submission.Project, project{Submission: n.Submission.ID, What: n.Specification}),
			// What was told of an earlier submission's tasks is not told of this one's.
			{Bucket: TasksBucket, Key: n.Submission.Project + "/", All: true},
		}
	case OutcomeReported:
		return []Change{
			put(OutcomesBucket, fmt.Sprintf("%s/%08d", n.SubmissionID, n.Index), n.Outcome),
			put(TasksBucket, n.Task.key(), n.Task),
		}
	case TaskFinished:
		return []Change{put(TasksBucket, n.Task.key(), n.Task)}
	case ProjectRemoved:
		return []Change{put(ProjectsBucket, n.Project, project{RemovedAt: n.At}), {Bucket: TasksBucket, Key: n.Project + "/", All: true}}
	case TombstoneExpired:
		return []Change{{Bucket: ProjectsBucket, Key: n.Project}}
	case SubmissionExpired:
		return []Change{{Bucket: SubmissionsBucket, Key: n.SubmissionID}, {Bucket: OutcomesBucket, Key: n.SubmissionID + "/", All: true}}
	case AttemptOffered:
		return []Change{put(AttemptsBucket, refKey(n.Attempt.Ref), n.Attempt)}
	case AttemptResolved:
		return []Change{{Bucket: AttemptsBucket, Key: refKey(n.Ref)}}
	case IncarnationStarted:
		return []Change{put(IncarnationsBucket, "last", n)}
	case HostListReceived:
		return []Change{put(HostListsBucket, "last", n.List)}
	}
	return nil
}

// MustBeDurableFirst says whether what follows from a note in the same step must not leave before the note is durable. A settled
// attempt that is not noted is settled again by asking its host; a list is told again; an end is seen again.
func MustBeDurableFirst(n Record) bool {
	switch n.(type) {
	case AttemptResolved, HostListReceived, SubmissionExpired, TombstoneExpired:
		return false
	}
	return true
}

func (t *Task) key() string { return t.Project + "/" + t.Service + "/" + strconv.Itoa(t.Replica) }

func refKey(r hostproto.Ref) string {
	return fmt.Sprintf("%016x/%08x/%02x", r.Epoch, r.Task, r.Attempt)
}

var table = crc32.MakeTable(crc32.Castagnoli)

func put(bucket, key string, v any) Change {
	text, err := json.Marshal(v)
	if err != nil {
		// Notes hold nothing that JSON has no form for but figures that are not finite, which no reader lets through.
		text = []byte("null")
	}
	return Change{Bucket: bucket, Key: key, Value: EncodeValue(text)}
}

// EncodeValue gives a value its version and checksum.
func EncodeValue(text []byte) []byte {
	b := make([]byte, 5, 5+len(text))
	b[0] = FormatVersion
	b = append(b, text...)
	binary.BigEndian.PutUint32(b[1:], sum(b))
	return b
}

// sum is over a sealed value's version and text.
func sum(b []byte) uint32 { return crc32.Update(crc32.Checksum(b[:1], table), table, b[5:]) }

// Why a value is not read.
var (
	ErrChecksum     = errors.New("the checksum does not hold")
	ErrNewerVersion = errors.New("it is of a later version of this program")
)

// DecodeValue returns what a value holds, and its version.
func DecodeValue(b []byte) (text []byte, version int, err error) {
	if len(b) < 5 || binary.BigEndian.Uint32(b[1:]) != sum(b) {
		return nil, 0, ErrChecksum
	}
	if b[0] > FormatVersion {
		return nil, int(b[0]), ErrNewerVersion
	}
	return b[5:], int(b[0]), nil
}

// Snapshot is what a new life starts from.
type Snapshot struct {
	Projects    []Project
	Tombstones  map[string]time.Duration // projects, since when
	Submissions []SubmissionProgress
	Attempts    []Attempt
	HostList    HostList
	Epoch       uint64   // of the last life
	Unreadable  []string // keys whose values could not be read, with why
}

// Project is a project that is to run, with what became of its tasks.
type Project struct {
	SubmissionID  string
	Specification *servicespec.Description
	Tasks         []Task
}

// SubmissionProgress is a submission with the outcomes that were told of it, in order.
type SubmissionProgress struct {
	Submission
	Outcomes []json.RawMessage
}

// Loader puts what was kept together again, a key at a time, in any order.
type Loader struct {
	projects map[string]*project
	subs     map[string]*SubmissionProgress
	outcomes map[string]map[int]json.RawMessage
	tasks    []Task
	kept     Snapshot
}

// Add takes a key and its value.
func (l *Loader) Add(bucket, key string, value []byte) {
	if l.projects == nil {
		l.kept.Tombstones = map[string]time.Duration{}
		l.projects, l.subs, l.outcomes = map[string]*project{}, map[string]*SubmissionProgress{}, map[string]map[int]json.RawMessage{}
	}
	bad := func(err error) {
		l.kept.Unreadable = append(l.kept.Unreadable, fmt.Sprintf("%s %q: %v", bucket, key, err))
	}
	text, _, err := DecodeValue(value)
	if err != nil {
		bad(err)
		return
	}
	read := func(v any) bool {
		if err := json.Unmarshal(text, v); err != nil {
			bad(err)
			return false
		}
		return true
	}
	switch bucket {
	case ProjectsBucket:
		var p project
		switch {
		case !read(&p):
		case p.What != nil:
			l.projects[key] = &p
		default:
			l.kept.Tombstones[key] = p.RemovedAt
		}
	case SubmissionsBucket:
		var s SubmissionProgress
		if read(&s.Submission) {
			l.subs[key] = &s
		}
	case OutcomesBucket:
		id, number, _ := strings.Cut(key, "/")
		n, err := strconv.Atoi(number)
		if err != nil {
			bad(err)
			return
		}
		if l.outcomes[id] == nil {
			l.outcomes[id] = map[int]json.RawMessage{}
		}
		l.outcomes[id][n] = slices.Clone(text)
	case TasksBucket:
		var t Task
		if read(&t) {
			l.tasks = append(l.tasks, t)
		}
	case AttemptsBucket:
		var a Attempt
		if read(&a) {
			l.kept.Attempts = append(l.kept.Attempts, a)
		}
	case HostListsBucket:
		read(&l.kept.HostList)
	case IncarnationsBucket:
		var b IncarnationStarted
		if read(&b) {
			l.kept.Epoch = b.Epoch
		}
	default:
		bad(errors.New("no such bucket"))
	}
}

// Snapshot returns what was kept, in a fixed order.
func (l *Loader) Snapshot() *Snapshot {
	k := &l.kept
	for name, p := range l.projects {
		out := Project{SubmissionID: p.Submission, Specification: p.What}
		out.Specification.Name = name
		for _, t := range l.tasks {
			if t.Project == name {
				out.Tasks = append(out.Tasks, t)
			}
		}
		k.Projects = append(k.Projects, out)
	}
	slices.SortFunc(k.Projects, func(a, b Project) int { return cmp.Compare(a.Specification.Name, b.Specification.Name) })
	for id, s := range l.subs {
		for n := 0; ; n++ {
			text, ok := l.outcomes[id][n]
			if !ok {
				break // one that is missing in the middle hides those behind it: they are told again
			}
			s.Outcomes = append(s.Outcomes, text)
		}
		k.Submissions = append(k.Submissions, *s)
	}
	slices.SortFunc(k.Submissions, func(a, b SubmissionProgress) int {
		return cmp.Or(cmp.Compare(a.AcceptedAt, b.AcceptedAt), cmp.Compare(a.ID, b.ID))
	})
	slices.SortFunc(k.Attempts, func(a, b Attempt) int { return cmp.Compare(refKey(a.Ref), refKey(b.Ref)) })
	slices.Sort(k.Unreadable)
	return k
}
