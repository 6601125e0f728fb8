package simulation

import (
	"maps"
	"strings"

	"forkhead/internal/scheduler/durable"
)

// Disk is what a placer has stored, and what it would lose in a crash.
type Disk struct {
	Values  map[durable.Bucket]map[string][]byte // by bucket and key
	Commits int                                  // so far
	pending []durable.Change                     // not committed yet
}

// NewDisk returns an empty disk.
func NewDisk() *Disk {
	d := &Disk{Values: map[durable.Bucket]map[string][]byte{}}
	for _, b := range durable.Buckets() {
		d.Values[b] = map[string][]byte{}
	}
	return d
}

// Persist takes the records of a step. Like package store, it commits them, with all that is pending, if one of them must be
// durable before the step's outputs are executed; else they stay pending.
func (d *Disk) Persist(records []durable.Record) {
	commit := false
	for _, r := range records {
		commit = commit || r.MustBeDurableFirst()
		d.pending = append(d.pending, r.Changes()...)
	}
	if !commit {
		return
	}
	d.Commits++
	for _, c := range d.pending {
		d.apply(c)
	}
	d.pending = nil
}

func (d *Disk) apply(c durable.Change) {
	switch c.Kind {
	case durable.DeletePrefix:
		maps.DeleteFunc(d.Values[c.Bucket], func(k string, _ []byte) bool { return strings.HasPrefix(k, c.Key) })
	case durable.Delete:
		delete(d.Values[c.Bucket], c.Key)
	case durable.Put:
		d.Values[c.Bucket][c.Key] = c.Value
	}
}

// Snapshot returns what was committed, as the next incarnation restores it. What is pending is lost.
func (d *Disk) Snapshot() *durable.Snapshot {
	d.pending = nil
	l := durable.NewLoader()
	for bucket, values := range d.Values {
		for key, v := range values {
			l.Add(bucket, key, v)
		}
	}
	return l.Snapshot()
}
