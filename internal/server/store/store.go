// Package store keeps a placer's state on disk, in a bbolt file: a commit is one transaction and one fsync, however many
// notes it holds. A file that cannot be read is set aside under another name and never written to again.
package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"forkhead/internal/scheduler/durable"
)

// Options say where the file is, and stand in for the disk in tests.
type Options struct {
	Path             string
	MaxBytes         int64                      // bytes of the file at which notes are refused; 0: DefaultMost
	QuarantineSuffix func(now time.Time) string // what a broken file's name ends with; nil: by the time
}

// DefaultMaxBytes bounds a file.
const DefaultMaxBytes = 4 << 30

// Store is an open file. One goroutine uses it.
type Store struct {
	db            *bbolt.DB
	opt           Options
	Commits       int    // fsyncs for notes
	QuarantinedAs string // where a file that could not be read was put; "": none was
	lazy          []durable.Change
	counts        map[string]int // keys by bucket
}

// ErrFull says that the file has come to its bound.
var ErrFull = errors.New("the store is full")

// lockWait is how long another process may hold the file.
const lockWait = 2 * time.Second

// Open opens a store and reads what it keeps. A file that is no store, or in which a key's value does not hold, is set
// aside as a whole where nothing of it can be read, and the keys are named in Kept.Bad where only they cannot.
func Open(opt Options) (*Store, *durable.Snapshot, error) {
	if opt.MaxBytes == 0 {
		opt.MaxBytes = DefaultMaxBytes
	}
	s := &Store{opt: opt}
	kept, err := s.open()
	if err == nil {
		return s, kept, nil
	}
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, nil, fmt.Errorf("store %s: another process has it open: %w", opt.Path, err)
	}
	if _, serr := os.Stat(opt.Path); serr != nil {
		return nil, nil, fmt.Errorf("store %s: %w", opt.Path, err)
	}
	end := time.Now().UTC().Format("20060102T150405.000")
	if opt.QuarantineSuffix != nil {
		end = opt.QuarantineSuffix(time.Now())
	}
	s.QuarantinedAs = opt.Path + ".broken-" + end
	if rerr := os.Rename(opt.Path, s.QuarantinedAs); rerr != nil {
		return nil, nil, fmt.Errorf("store %s cannot be read (%w), nor set aside: %w", opt.Path, err, rerr)
	}
	if kept, err = s.open(); err != nil {
		return nil, nil, fmt.Errorf("store %s: %w", opt.Path, err)
	}
	kept.Unreadable = append(kept.Unreadable, "all of it: it is kept as "+s.QuarantinedAs)
	return s, kept, nil
}

// open reads the file through, page by page and value by value, before it is written to; then all of it goes into a fresh
// file that takes its place. So a page that makes no sense is found here and not when it is written over, and the space of
// what is gone is given back at each start.
func (s *Store) open() (*durable.Snapshot, error) {
	var l durable.Loader
	fresh := s.opt.Path + ".new"
	if err := os.Remove(fresh); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err // of a start that was cut short
	}
	db, err := bbolt.Open(fresh, 0o600, &bbolt.Options{Timeout: lockWait, FreelistType: bbolt.FreelistMapType, NoSync: true})
	if err != nil {
		return nil, err
	}
	s.counts = map[string]int{}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range append([]string{meta}, durable.Buckets...) {
			if _, err := tx.CreateBucket([]byte(name)); err != nil {
				return err
			}
		}
		if _, err := os.Stat(s.opt.Path); errors.Is(err, os.ErrNotExist) {
			return s.count(tx)
		}
		if err := ForEach(s.opt.Path, func(bucket, key string, value []byte) error {
			l.Add(bucket, key, value)
			if _, _, err := durable.DecodeValue(value); err != nil {
				return nil // it is named, and goes no further
			}
			s.counts[bucket]++
			return tx.Bucket([]byte(bucket)).Put([]byte(key), value)
		}); err != nil {
			return err
		}
		return s.count(tx)
	})
	if err == nil {
		err = db.Sync()
	}
	if err = errors.Join(err, db.Close()); err != nil {
		_ = os.Remove(fresh)
		return nil, err
	}
	if err := os.Rename(fresh, s.opt.Path); err != nil {
		return nil, err
	}
	if dir, err := os.Open(filepath.Dir(s.opt.Path)); err == nil { // so that the name is durable, too
		err = errors.Join(dir.Sync(), dir.Close())
		if err != nil {
			return nil, err
		}
	}
	s.db, err = bbolt.Open(s.opt.Path, 0o600, &bbolt.Options{Timeout: lockWait, FreelistType: bbolt.FreelistMapType})
	return l.Snapshot(), err
}

// meta is the bucket of how many keys each other has: a page that lost some of its own has no other sign of it.
const meta = "meta"

func (s *Store) count(tx *bbolt.Tx) error {
	text, err := json.Marshal(s.counts)
	if err != nil {
		return err
	}
	return tx.Bucket([]byte(meta)).Put([]byte("counts"), durable.EncodeValue(text))
}

// guarded turns what bbolt does with a page that makes no sense into an error: a panic, or a fault where the page points
// outside the file, which is mapped into memory. Guards against a torn file that would end the process, found by cutting one.
func guarded(err *error) func() {
	before := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(before)
		if r := recover(); r != nil {
			*err = fmt.Errorf("unreadable: %v", r)
		}
	}
}

// Commit makes notes durable. Those that nothing has to wait for are written with the next that something waits for, or by
// Flush. After an error nothing of this call is kept.
func (s *Store) Commit(notes []durable.Record) error {
	wait := false
	var changes []durable.Change
	for _, n := range notes {
		wait = wait || durable.MustBeDurableFirst(n)
		changes = append(changes, durable.Changes(n)...)
	}
	if !wait {
		s.lazy = append(s.lazy, changes...)
		return nil
	}
	return s.write(changes)
}

// HasPending says whether there are changes that Flush would write.
func (s *Store) HasPending() bool { return len(s.lazy) > 0 }

// Flush writes what waits.
func (s *Store) Flush() error {
	if len(s.lazy) == 0 {
		return nil
	}
	return s.write(nil)
}

func (s *Store) write(changes []durable.Change) error {
	var size int64
	counts := maps.Clone(s.counts)
	err := s.db.Update(func(tx *bbolt.Tx) error {
		if size = tx.Size(); size >= s.opt.MaxBytes {
			grows := false
			for _, c := range changes {
				grows = grows || c.Value != nil
			}
			if grows {
				return ErrFull
			}
		}
		// What waited comes first: it was noted first.
		for _, list := range [][]durable.Change{s.lazy, changes} {
			for _, c := range list {
				if err := s.apply(tx, c); err != nil {
					return err
				}
			}
		}
		return s.count(tx)
	})
	if err != nil {
		s.counts = counts
		return fmt.Errorf("store %s: %w", s.opt.Path, err)
	}
	s.Commits++
	s.lazy = s.lazy[:0]
	return nil
}

func (s *Store) apply(tx *bbolt.Tx, c durable.Change) error {
	b := tx.Bucket([]byte(c.Bucket))
	drop := func(key []byte) error {
		if b.Get(key) != nil {
			s.counts[c.Bucket]--
		}
		return b.Delete(key)
	}
	switch {
	case c.All:
		cur := b.Cursor()
		for k, _ := cur.Seek([]byte(c.Key)); strings.HasPrefix(string(k), c.Key); k, _ = cur.Seek([]byte(c.Key)) {
			if err := drop(slices.Clone(k)); err != nil {
				return err
			}
		}
		return nil
	case c.Value == nil:
		return drop([]byte(c.Key))
	}
	if b.Get([]byte(c.Key)) == nil {
		s.counts[c.Bucket]++
	}
	return b.Put([]byte(c.Key), c.Value)
}

// Close writes what waits and closes the file.
func (s *Store) Close() error {
	return errors.Join(s.Flush(), s.db.Close())
}

// CloseWithoutFlush closes the file as the death of the process would: what waits is lost.
func (s *Store) CloseWithoutFlush() error { return s.db.Close() }

// Compact writes what a store keeps into a new file, without the space that is free in the old one.
func Compact(from, to string) (before, after int64, err error) {
	src, err := bbolt.Open(from, 0o600, &bbolt.Options{ReadOnly: true, Timeout: lockWait})
	if err != nil {
		return 0, 0, err
	}
	defer src.Close()
	dst, err := bbolt.Open(to, 0o600, &bbolt.Options{Timeout: lockWait})
	if err != nil {
		return 0, 0, err
	}
	if err := errors.Join(bbolt.Compact(dst, src, 1<<20), dst.Close()); err != nil {
		return 0, 0, err
	}
	for path, size := range map[string]*int64{from: &before, to: &after} {
		info, err := os.Stat(path)
		if err != nil {
			return 0, 0, err
		}
		*size = info.Size()
	}
	return before, after, nil
}

// ForEach calls f for every key of a file that is not in use, in order, and then checks that none is missing.
func ForEach(path string, f func(bucket, key string, value []byte) error) (err error) {
	defer guarded(&err)()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: lockWait})
	if err != nil {
		return fmt.Errorf("store %s: %w", path, err)
	}
	defer db.Close()
	return db.View(func(tx *bbolt.Tx) error {
		want, found := map[string]int{}, 0
		if b := tx.Bucket([]byte(meta)); b != nil {
			text, _, err := durable.DecodeValue(b.Get([]byte("counts")))
			if err != nil {
				return fmt.Errorf("store %s: its counts: %w", path, err)
			}
			if err := json.Unmarshal(text, &want); err != nil {
				return fmt.Errorf("store %s: its counts: %w", path, err)
			}
		}
		for _, name := range durable.Buckets {
			b := tx.Bucket([]byte(name))
			if b == nil {
				return fmt.Errorf("store %s has no bucket %s", path, name)
			}
			found = 0
			last := ""
			if err := b.ForEach(func(k, v []byte) error {
				if found++; found > 1 && string(k) <= last {
					return fmt.Errorf("store %s: the keys of %s are not in order", path, name)
				}
				last = string(k)
				return f(name, last, slices.Clone(v))
			}); err != nil {
				return err
			}
			if found != want[name] {
				return fmt.Errorf("store %s: %s has %d keys of %d", path, name, found, want[name])
			}
		}
		return nil
	})
}
