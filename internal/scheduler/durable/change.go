package durable

import (
	"encoding/json"
	"fmt"

	"forkhead/internal/protocol/hostproto"
)

// ChangeKind is what a Change does.
type ChangeKind uint8

// The kinds of change.
const (
	Put          ChangeKind = iota // Key gets Value
	Delete                         // Key is deleted, if it exists
	DeletePrefix                   // all keys that begin with Key are deleted
)

// Change is one change of stored keys.
type Change struct {
	Kind   ChangeKind
	Bucket Bucket
	Key    string
	Value  []byte // of a Put, as EncodeValue returns it; nil otherwise
}

// Bucket is the name of a set of keys in a store.
type Bucket string

// The buckets, with the form of their keys.
const (
	ProjectsBucket     Bucket = "projects"    // PROJECT
	SubmissionsBucket  Bucket = "submissions" // SUBMISSION
	OutcomesBucket     Bucket = "outcomes"    // SUBMISSION/INDEX
	TasksBucket        Bucket = "tasks"       // PROJECT/SERVICE/REPLICA
	AttemptsBucket     Bucket = "attempts"    // EPOCH/TASK/ATTEMPT
	HostListsBucket    Bucket = "lists"       // lastKey
	IncarnationsBucket Bucket = "lives"       // lastKey
)

// Buckets returns all buckets, in the order in which a store is read.
func Buckets() []Bucket {
	return []Bucket{
		ProjectsBucket, SubmissionsBucket, OutcomesBucket, TasksBucket, AttemptsBucket, HostListsBucket, IncarnationsBucket,
	}
}

// lastKey is the only key of a bucket that holds one value.
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

func put(bucket Bucket, key string, v any) Change {
	text, err := json.Marshal(v)
	if err != nil {
		// JSON has no form for numbers that are not finite, and no reader lets one through; records hold nothing else that
		// fails here.
		text = []byte("null")
	}
	return Change{Kind: Put, Bucket: bucket, Key: key, Value: EncodeValue(text)}
}
