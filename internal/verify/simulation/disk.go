package simulation

import (
	"maps"
	"strings"

	"forkhead/internal/scheduler/durable"
)

// Disk simulates the placer's store. It holds the committed records and those that a crash would still lose.
type Disk struct {
	Values  map[durable.Bucket]map[string][]byte // committed values by bucket and key
	Commits int                                  // number of commits so far
	pending []durable.Change                     // changes that are not yet committed
}

// NewDisk returns an empty disk.
func NewDisk() *Disk {
	d := &Disk{Values: map[durable.Bucket]map[string][]byte{}}
	for _, b := range durable.Buckets() {
		d.Values[b] = map[string][]byte{}
	}
	return d
}

// Persist adds the records of a step to the pending changes. Like package store, it commits all pending changes if one
// of the records must be durable before the step's outputs are executed; otherwise they stay pending.
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

// apply applies a change to the committed values.
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

// Snapshot returns the committed state, from which the next incarnation restores. It discards the pending changes, as a
// crash does.
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
