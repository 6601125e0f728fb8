package durable

import (
	"encoding/json"
	"fmt"

	"forkhead/internal/protocol/hostproto"
)

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// The kinds of change.
const (
	Put          ChangeKind = iota // sets Key to Value
	Delete                         // deletes Key, if it exists
	DeletePrefix                   // deletes all keys that begin with Key
)

// Change is one change of stored keys.
type Change struct {
	Kind   ChangeKind
	Bucket Bucket
	Key    string
	Value  []byte // the new value of a Put, as EncodeValue returns it; nil for other kinds
}

// Bucket is the name of a set of keys in a store.
type Bucket string

// The buckets, each with the form of its keys.
const (
	ProjectsBucket     Bucket = "projects"    // PROJECT
	SubmissionsBucket  Bucket = "submissions" // SUBMISSION
	OutcomesBucket     Bucket = "outcomes"    // SUBMISSION/INDEX
	TasksBucket        Bucket = "tasks"       // PROJECT/SERVICE/REPLICA
	AttemptsBucket     Bucket = "attempts"    // EPOCH/TASK/ATTEMPT
	HostListsBucket    Bucket = "lists"       // lastKey
	IncarnationsBucket Bucket = "lives"       // lastKey
)

// Buckets returns all buckets, in the order in which a store reads them.
func Buckets() []Bucket {
	return []Bucket{
		ProjectsBucket, SubmissionsBucket, OutcomesBucket, TasksBucket, AttemptsBucket, HostListsBucket, IncarnationsBucket,
	}
}

// lastKey is the only key of a bucket that holds a single value.
const lastKey = "last"

func outcomeKey(submissionID string, index int) string {
	return fmt.Sprintf("%s/%08d", submissionID, index)
}

func taskKey(t *Task) string {
	return fmt.Sprintf("%s/%s/%d", t.Project, t.Service, t.Replica)
}

func attemptKey(r hostproto.Ref) string {
	return fmt.Sprintf("%016x/%08x/%02x", r.Epoch, r.Task, r.Attempt)
}

// putTask returns the change that stores the state of a task.
func putTask(t *Task) Change {
	return put(TasksBucket, taskKey(t), storedTask{Task: *t, StoredSubmission: t.Submission})
}

// put returns the change that stores v as JSON.
func put(bucket Bucket, key string, v any) Change {
	text, err := json.Marshal(v)
	if err != nil {
		// Marshal fails only on numbers that are not finite, since records contain nothing else that it cannot encode,
		// and the parsers reject such numbers.
		text = []byte("null")
	}
	return Change{Kind: Put, Bucket: bucket, Key: key, Value: EncodeValue(text)}
}
