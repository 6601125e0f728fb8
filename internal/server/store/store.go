// Package store keeps a placer's durable records on disk, in a bbolt file. A commit is one transaction and one fsync, however
// many records it has. A file that cannot be read is quarantined: it is renamed, and never written to again.
package store

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"forkhead/internal/scheduler/durable"
)

// Options configure a store.
type Options struct {
	Path     string
	MaxBytes int64 // size of the file from which on records that add to it are refused; 0: DefaultMaxBytes
	// QuarantineSuffix returns what the name of a quarantined file ends with; nil: the time. For tests.
	QuarantineSuffix func(now time.Time) string
}

// DefaultMaxBytes is the bound of a store's file unless Options have another.
const DefaultMaxBytes = 4 << 30

// lockTimeout is how long a store waits for another process to close the file.
const lockTimeout = 2 * time.Second

// ErrFull is returned by Commit when the file has reached its bound.
var ErrFull = errors.New("the store is full")

// Store is an open file. It is not safe for concurrent use.
type Store struct {
	Commits       int    // transactions, each with one fsync, since Open
	QuarantinedAs string // where Open put a file that it could not read; "": there was none

	db      *bbolt.DB
	opt     Options
	pending []durable.Change // of records that need not be durable first; written with the next commit
	counts  keyCounts
}

// Open opens the store at opt.Path, or creates it, and returns what it holds. Keys whose values cannot be read are listed in
// Snapshot.Unreadable and dropped. A file that cannot be read at all is quarantined, and the store starts empty. It fails if
// another process has the file open for longer than two seconds.
func Open(opt Options) (*Store, *durable.Snapshot, error) {
	if opt.MaxBytes == 0 {
		opt.MaxBytes = DefaultMaxBytes
	}
	s := &Store{opt: opt}
	snapshot, err := s.open()
	if err == nil {
		return s, snapshot, nil
	}
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, nil, fmt.Errorf("store %s: another process has it open: %w", opt.Path, err)
	}
	if _, statErr := os.Stat(opt.Path); statErr != nil {
		return nil, nil, fmt.Errorf("store %s: %w", opt.Path, err)
	}
	if renameErr := s.quarantine(); renameErr != nil {
		return nil, nil, fmt.Errorf("store %s cannot be read (%w), nor set aside: %w", opt.Path, err, renameErr)
	}
	if snapshot, err = s.open(); err != nil {
		return nil, nil, fmt.Errorf("store %s: %w", opt.Path, err)
	}
	snapshot.Unreadable = append(snapshot.Unreadable, "all of it: it is kept as "+s.QuarantinedAs)
	return s, snapshot, nil
}

// quarantine renames the file.
func (s *Store) quarantine() error {
	suffix := time.Now().UTC().Format("20060102T150405.000")
	if s.opt.QuarantineSuffix != nil {
		suffix = s.opt.QuarantineSuffix(time.Now())
	}
	s.QuarantinedAs = s.opt.Path + ".broken-" + suffix
	return os.Rename(s.opt.Path, s.QuarantinedAs)
}

// open rewrites the file and opens it.
func (s *Store) open() (*durable.Snapshot, error) {
	loader, counts, err := rewrite(s.opt.Path)
	if err != nil {
		return nil, err
	}
	s.counts = counts
	s.db, err = bbolt.Open(s.opt.Path, fileMode, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
	return loader.Snapshot(), err
}

// Commit makes records durable, in one transaction. If none of them must be durable first, they stay in memory until the next
// commit or Flush. After an error, which may wrap ErrFull, none of the records is stored.
func (s *Store) Commit(records []durable.Record) error {
	mustBeDurable := false
	var changes []durable.Change
	for _, r := range records {
		mustBeDurable = mustBeDurable || r.MustBeDurableFirst()
		changes = append(changes, r.Changes()...)
	}
	if !mustBeDurable {
		s.pending = append(s.pending, changes...)
		return nil
	}
	return s.write(changes)
}

// HasPending reports whether there are changes that Flush would write.
func (s *Store) HasPending() bool { return len(s.pending) > 0 }

// Flush makes the pending changes durable.
func (s *Store) Flush() error {
	if !s.HasPending() {
		return nil
	}
	return s.write(nil)
}

// write applies the pending changes, which were recorded first, and then the given ones.
func (s *Store) write(changes []durable.Change) error {
	counts := maps.Clone(s.counts)
	err := s.db.Update(func(tx *bbolt.Tx) error {
		if tx.Size() >= s.opt.MaxBytes && slices.ContainsFunc(changes, addsToFile) {
			return ErrFull
		}
		for _, c := range slices.Concat(s.pending, changes) {
			if err := apply(tx, counts, c); err != nil {
				return err
			}
		}
		return putCounts(tx, counts)
	})
	if err != nil {
		return fmt.Errorf("store %s: %w", s.opt.Path, err)
	}
	s.counts = counts
	s.Commits++
	s.pending = s.pending[:0]
	return nil
}

func addsToFile(c durable.Change) bool { return c.Kind == durable.Put }

// Close makes the pending changes durable and closes the file.
func (s *Store) Close() error {
	return errors.Join(s.Flush(), s.db.Close())
}

// CloseWithoutFlush closes the file and loses the pending changes, as a crash of the process would. For tests.
func (s *Store) CloseWithoutFlush() error { return s.db.Close() }
