// Package store keeps a placer's durable records on disk in a bbolt file. A commit takes one transaction and one fsync
// for any number of records. A file that cannot be read is quarantined: it is renamed and never written to again.
package store

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"forkhead/internal/scheduler/durable"
)

// Options configures a store.
type Options struct {
	Path     string
	MaxBytes int64 // file size from which on Commit refuses records that add to the file; 0: DefaultMaxBytes
	// QuarantineSuffix returns the end of a quarantined file's name, for tests. nil: the name ends with the time in
	// UTC.
	QuarantineSuffix func(now time.Time) string
}

// DefaultMaxBytes is the default of Options.MaxBytes.
const DefaultMaxBytes = 4 << 30

// lockTimeout bounds the wait for another process to close the file.
const lockTimeout = 2 * time.Second

// ErrFull is returned by Commit when the file has reached Options.MaxBytes.
var ErrFull = errors.New("the store is full")

// Store is an open file. It is not safe for concurrent use.
type Store struct {
	Commits       int    // number of transactions since Open, each with one fsync
	QuarantinedAs string // path to which Open renamed an unreadable file; "": the file was readable

	db      *bbolt.DB
	options Options
	pending []durable.Change // changes that outputs need not wait for; written by the next transaction or Flush
	counts  keyCounts        // number of keys in each bucket, as stored in the file
}

// Open opens the store at options.Path, or creates it, and returns its content. Keys whose values cannot be read are
// listed in Snapshot.Unreadable and dropped. A file whose content is damaged is quarantined, and the store starts empty.
// An intact file that cannot be rewritten, as the disk is full or fails, is opened as it is. Open fails if another
// process has the file open for longer than lockTimeout, 2 seconds, or if the file system fails otherwise; the file then
// stays where it is.
func Open(options Options) (*Store, *durable.Snapshot, error) {
	if options.MaxBytes == 0 {
		options.MaxBytes = DefaultMaxBytes
	}
	s := &Store{options: options}
	snapshot, err := s.open()
	if err == nil {
		return s, snapshot, nil
	}
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, nil, fmt.Errorf("store %s: another process has it open: %w", options.Path, err)
	}
	if isSystemError(err) {
		return nil, nil, fmt.Errorf("store %s: %w", options.Path, err)
	}
	if readErr := checkReadable(options.Path); readErr != nil {
		return nil, nil, fmt.Errorf("store %s: %w", options.Path, errors.Join(err, readErr))
	}
	if renameErr := s.quarantine(); renameErr != nil {
		return nil, nil, fmt.Errorf("store %s cannot be read (%w) or renamed: %w", options.Path, err, renameErr)
	}
	if snapshot, err = s.open(); err != nil {
		return nil, nil, fmt.Errorf("store %s: %w", options.Path, err)
	}
	snapshot.Unreadable = append(snapshot.Unreadable, "all of it: it is kept as "+s.QuarantinedAs)
	return s, snapshot, nil
}

// isSystemError reports whether an error comes from the operating system, such as ENOSPC or EIO, and says nothing about
// the content of a file.
func isSystemError(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number)
}

// quarantine renames the file, so that it is kept and not written to.
func (s *Store) quarantine() error {
	suffix := time.Now().UTC().Format("20060102T150405.000")
	if s.options.QuarantineSuffix != nil {
		suffix = s.options.QuarantineSuffix(time.Now())
	}
	s.QuarantinedAs = s.options.Path + ".broken-" + suffix
	return os.Rename(s.options.Path, s.QuarantinedAs)
}

// open rewrites the file, which checks all of it, and opens the result. If the file system prevents that, it reads the
// file and opens it as it is.
func (s *Store) open() (*durable.Snapshot, error) {
	loader, counts, err := rewrite(s.options.Path)
	if isSystemError(err) {
		loader, counts, err = read(s.options.Path)
	}
	if err != nil {
		return nil, err
	}
	s.counts = counts
	s.db, err = bbolt.Open(s.options.Path, fileMode, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
	return loader.Snapshot(), err
}

// Commit makes records durable in one transaction. If no record has to be durable before the outputs of its step are
// executed, the records stay in memory until the next transaction or Flush, and the file size is not checked. After an
// error, which may wrap ErrFull, no record is stored.
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

// Flush makes the pending changes durable in one transaction.
func (s *Store) Flush() error {
	if !s.HasPending() {
		return nil
	}
	return s.write(nil)
}

// write commits the pending changes and then the given ones, in the order in which they were recorded.
func (s *Store) write(changes []durable.Change) error {
	counts := maps.Clone(s.counts)
	err := s.db.Update(func(tx *bbolt.Tx) error {
		if tx.Size() >= s.options.MaxBytes && slices.ContainsFunc(changes, addsToFile) {
			return ErrFull
		}
		for _, c := range slices.Concat(s.pending, changes) {
			if err := applyChange(tx, counts, c); err != nil {
				return err
			}
		}
		return putCounts(tx, counts)
	})
	if err != nil {
		return fmt.Errorf("store %s: %w", s.options.Path, err)
	}
	s.counts = counts
	s.Commits++
	s.pending = s.pending[:0]
	return nil
}

// addsToFile reports whether a change adds to the file. A full store accepts only changes that do not.
func addsToFile(c durable.Change) bool { return c.Kind == durable.Put }

// Close makes the pending changes durable and closes the file.
func (s *Store) Close() error {
	return errors.Join(s.Flush(), s.db.Close())
}

// CloseWithoutFlush closes the file and loses the pending changes, as a crash of the process would. It is for tests.
func (s *Store) CloseWithoutFlush() error { return s.db.Close() }
