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

// Version is that of the form of a value. A reader takes older ones and refuses newer ones.
const Version = 1

// Note is something that must not be forgotten.
type Note interface{ note() }

// The notes.
type (
	// Taken says that a description was taken: it is its project's from now on, and an outcome of each of its tasks is owed
	// to the submission.
	Taken struct {
		Submission Submission
		What       *servicespec.Description // by the name of Submission.Project
	}
	// Told says that an outcome was told; Word and Text are the front's own.
	Told struct {
		Submission string
		Number     int // of the outcome, from 0
		Text       json.RawMessage
		Task       Task
	}
	// Done says that a task has ended for good: it is not to be started again.
	Done struct{ Task Task }
	// Removed says that a project is to end. It is kept that it was: what still runs of it is stopped when it shows.
	Removed struct {
		Project string
		At      time.Duration
	}
	// Erased says that nothing of a removed project is expected any more.
	Erased struct{ Project string }
	// Forgotten says that nobody reads a submission any more.
	Forgotten struct{ Submission string }
	// Offered is noted before an offer is sent that must not be sent twice.
	Offered struct{ Attempt Attempt }
	// Settled says that the fate of such an attempt is known, and that it runs no more.
	Settled struct{ Ref hostproto.Ref }
	// Began says that a life of the placer has begun: the next has a higher number, whatever the clock says.
	Began struct{ Epoch uint64 }
	// Listed is the list of hosts as the catalogue told it last.
	Listed struct{ List List }
)

func (Taken) note()     {}
func (Told) note()      {}
func (Done) note()      {}
func (Removed) note()   {}
func (Erased) note()    {}
func (Forgotten) note() {}
func (Offered) note()   {}
func (Settled) note()   {}
func (Began) note()     {}
func (Listed) note()    {}

// Submission is one that was taken.
type Submission struct {
	ID      string
	Key     string // Idempotency-Key, or ""
	Body    uint64 // a hash of what was submitted
	Total   int    // outcomes owed
	At      time.Duration
	Project string
}

// Task is what became of one task of a project.
type Task struct {
	Project string
	Service string
	Replica int
	Word    string // of the outcome that was told; "" where none was owed
	Over    bool   // it is not to be started again
}

// Attempt is an offer whose effect must not happen twice.
type Attempt struct {
	Ref     hostproto.Ref
	Key     uint64 // of the task
	Project string
	Service string
	Replica int
	Class   string
	Host    string
	Address string
	Life    uint64 // of the host
	At      time.Duration
}

// List is a list of hosts with when it was told.
type List struct {
	At    time.Duration // since the Unix epoch
	Hosts []consul.Host
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
	Projects    = "projects"
	Submissions = "submissions"
	Outcomes    = "outcomes" // SUBMISSION/NUMBER
	Tasks       = "tasks"    // PROJECT/SERVICE/REPLICA
	Attempts    = "attempts" // EPOCH/TASK/ATTEMPT
	Lists       = "lists"    // "last"
	Lives       = "lives"    // "last"
)

// Buckets are all of them.
var Buckets = []string{Projects, Submissions, Outcomes, Tasks, Attempts, Lists, Lives}

type project struct {
	Submission string                   `json:",omitempty"`
	What       *servicespec.Description `json:",omitempty"` // nil: it was removed
	RemovedAt  time.Duration            `json:",omitempty"`
}

// Changes says what a note changes. Applying them twice is as applying them once.
func Changes(n Note) []Change {
	switch n := n.(type) {
	case Taken:
		return []Change{
			put(Submissions, n.Submission.ID, n.Submission),
			put(Projects, n.Submission.Project, project{Submission: n.Submission.ID, What: n.What}),
			// What was told of an earlier submission's tasks is not told of this one's.
			{Bucket: Tasks, Key: n.Submission.Project + "/", All: true},
		}
	case Told:
		return []Change{
			put(Outcomes, fmt.Sprintf("%s/%08d", n.Submission, n.Number), n.Text),
			put(Tasks, n.Task.key(), n.Task),
		}
	case Done:
		return []Change{put(Tasks, n.Task.key(), n.Task)}
	case Removed:
		return []Change{put(Projects, n.Project, project{RemovedAt: n.At}), {Bucket: Tasks, Key: n.Project + "/", All: true}}
	case Erased:
		return []Change{{Bucket: Projects, Key: n.Project}}
	case Forgotten:
		return []Change{{Bucket: Submissions, Key: n.Submission}, {Bucket: Outcomes, Key: n.Submission + "/", All: true}}
	case Offered:
		return []Change{put(Attempts, refKey(n.Attempt.Ref), n.Attempt)}
	case Settled:
		return []Change{{Bucket: Attempts, Key: refKey(n.Ref)}}
	case Began:
		return []Change{put(Lives, "last", n)}
	case Listed:
		return []Change{put(Lists, "last", n.List)}
	}
	return nil
}

// Waits says whether what follows from a note in the same step must not leave before the note is durable. A settled
// attempt that is not noted is settled again by asking its host; a list is told again; an end is seen again.
func Waits(n Note) bool {
	switch n.(type) {
	case Settled, Listed, Forgotten, Erased:
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
	return Change{Bucket: bucket, Key: key, Value: Seal(text)}
}

// Seal gives a value its version and checksum.
func Seal(text []byte) []byte {
	b := make([]byte, 5, 5+len(text))
	b[0] = Version
	b = append(b, text...)
	binary.BigEndian.PutUint32(b[1:], sum(b))
	return b
}

// sum is over a sealed value's version and text.
func sum(b []byte) uint32 { return crc32.Update(crc32.Checksum(b[:1], table), table, b[5:]) }

// Why a value is not read.
var (
	ErrSum   = errors.New("the checksum does not hold")
	ErrNewer = errors.New("it is of a later version of this program")
)

// Open returns what a value holds, and its version.
func Open(b []byte) (text []byte, version int, err error) {
	if len(b) < 5 || binary.BigEndian.Uint32(b[1:]) != sum(b) {
		return nil, 0, ErrSum
	}
	if b[0] > Version {
		return nil, int(b[0]), ErrNewer
	}
	return b[5:], int(b[0]), nil
}

// Kept is what a new life starts from.
type Kept struct {
	Projects    []Project
	Removed     map[string]time.Duration // projects, since when
	Submissions []Followed
	Attempts    []Attempt
	List        List
	Epoch       uint64   // of the last life
	Bad         []string // keys whose values could not be read, with why
}

// Project is a project that is to run, with what became of its tasks.
type Project struct {
	Submission string
	What       *servicespec.Description
	Tasks      []Task
}

// Followed is a submission with the outcomes that were told of it, in order.
type Followed struct {
	Submission
	Outcomes []json.RawMessage
}

// Loader puts what was kept together again, a key at a time, in any order.
type Loader struct {
	projects map[string]*project
	subs     map[string]*Followed
	outcomes map[string]map[int]json.RawMessage
	tasks    []Task
	kept     Kept
}

// Add takes a key and its value.
func (l *Loader) Add(bucket, key string, value []byte) {
	if l.projects == nil {
		l.kept.Removed = map[string]time.Duration{}
		l.projects, l.subs, l.outcomes = map[string]*project{}, map[string]*Followed{}, map[string]map[int]json.RawMessage{}
	}
	bad := func(err error) { l.kept.Bad = append(l.kept.Bad, fmt.Sprintf("%s %q: %v", bucket, key, err)) }
	text, _, err := Open(value)
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
	case Projects:
		var p project
		switch {
		case !read(&p):
		case p.What != nil:
			l.projects[key] = &p
		default:
			l.kept.Removed[key] = p.RemovedAt
		}
	case Submissions:
		var s Followed
		if read(&s.Submission) {
			l.subs[key] = &s
		}
	case Outcomes:
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
	case Tasks:
		var t Task
		if read(&t) {
			l.tasks = append(l.tasks, t)
		}
	case Attempts:
		var a Attempt
		if read(&a) {
			l.kept.Attempts = append(l.kept.Attempts, a)
		}
	case Lists:
		read(&l.kept.List)
	case Lives:
		var b Began
		if read(&b) {
			l.kept.Epoch = b.Epoch
		}
	default:
		bad(errors.New("no such bucket"))
	}
}

// Kept returns what was kept, in a fixed order.
func (l *Loader) Kept() *Kept {
	k := &l.kept
	for name, p := range l.projects {
		out := Project{Submission: p.Submission, What: p.What}
		out.What.Name = name
		for _, t := range l.tasks {
			if t.Project == name {
				out.Tasks = append(out.Tasks, t)
			}
		}
		k.Projects = append(k.Projects, out)
	}
	slices.SortFunc(k.Projects, func(a, b Project) int { return cmp.Compare(a.What.Name, b.What.Name) })
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
	slices.SortFunc(k.Submissions, func(a, b Followed) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID))
	})
	slices.SortFunc(k.Attempts, func(a, b Attempt) int { return cmp.Compare(refKey(a.Ref), refKey(b.Ref)) })
	slices.Sort(k.Bad)
	return k
}
