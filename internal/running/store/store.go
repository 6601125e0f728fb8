// Package store keeps a placer's state on disk, in a bbolt file: a commit is one transaction and one fsync, however many
// notes it holds. A file that cannot be read is set aside under another name and never written to again.
package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"go.etcd.io/bbolt"

	"forkhead/internal/placing/state"
)

// Options say where the file is, and stand in for the disk in tests.
type Options struct {
	Path     string
	Most     int64                                            // bytes of the file at which notes are refused; 0: DefaultMost
	OpenFile func(string, int, fs.FileMode) (*os.File, error) // nil: os.OpenFile
	Aside    func(now time.Time) string                       // what a broken file's name ends with; nil: by the time
}

// DefaultMost bounds a file.
const DefaultMost = 4 << 30

// Store is an open file. One goroutine uses it.
type Store struct {
	db      *bbolt.DB
	opt     Options
	Commits int // fsyncs for notes
	Notes   int
	Aside   string // where a file that could not be read was put; "": none was
	lazy    []state.Change
}

// ErrFull says that the file has come to its bound.
var ErrFull = errors.New("the store is full")

// lockWait is how long another process may hold the file.
const lockWait = 2 * time.Second

// Open opens a store and reads what it keeps. A file that is no store, or in which a key's value does not hold, is set
// aside as a whole where nothing of it can be read, and the keys are named in Kept.Bad where only they cannot.
func Open(opt Options) (*Store, *state.Kept, error) {
	if opt.Most == 0 {
		opt.Most = DefaultMost
	}
	s := &Store{opt: opt}
	kept, err := s.open()
	if err == nil {
		return s, kept, nil
	}
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, nil, fmt.Errorf("store %s: another process has it open: %w", opt.Path, err)
	}
	if _, serr := os.Stat(opt.Path); serr != nil {
		return nil, nil, fmt.Errorf("store %s: %w", opt.Path, err)
	}
	end := time.Now().UTC().Format("20060102T150405.000")
	if opt.Aside != nil {
		end = opt.Aside(time.Now())
	}
	s.Aside = opt.Path + ".broken-" + end
	if rerr := os.Rename(opt.Path, s.Aside); rerr != nil {
		return nil, nil, fmt.Errorf("store %s cannot be read (%w), nor set aside: %w", opt.Path, err, rerr)
	}
	if kept, err = s.open(); err != nil {
		return nil, nil, fmt.Errorf("store %s: %w", opt.Path, err)
	}
	kept.Bad = append(kept.Bad, "all of it: it is kept as "+s.Aside)
	return s, kept, nil
}

func (s *Store) open() (kept *state.Kept, err error) {
	// bbolt takes a page that makes no sense for a fault of the program.
	defer func() {
		if r := recover(); r != nil {
			if s.db != nil {
				_ = s.db.Close()
				s.db = nil
			}
			err = fmt.Errorf("unreadable: %v", r)
		}
	}()
	db, err := bbolt.Open(s.opt.Path, 0o600, &bbolt.Options{Timeout: lockWait, FreelistType: bbolt.FreelistMapType, OpenFile: s.opt.OpenFile})
	if err != nil {
		return nil, err
	}
	s.db = db
	var l state.Loader
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range state.Buckets {
			b, err := tx.CreateBucketIfNotExists([]byte(name))
			if err != nil {
				return err
			}
			if err := b.ForEach(func(k, v []byte) error {
				l.Add(name, string(k), v)
				return nil
			}); err != nil {
				return err
			}
		}
		// Pages that nothing points to rightly would be found only when they are written over.
		for err := range tx.Check() {
			return err
		}
		return nil
	})
	if err != nil {
		_ = db.Close()
		s.db = nil
		return nil, err
	}
	return l.Kept(), nil
}

// Keep makes notes durable. Those that nothing has to wait for are written with the next that something waits for, or by
// Flush. After an error nothing of this call is kept.
func (s *Store) Keep(notes []state.Note) error {
	wait := false
	var changes []state.Change
	for _, n := range notes {
		wait = wait || state.Waits(n)
		changes = append(changes, state.Changes(n)...)
	}
	s.Notes += len(notes)
	if !wait {
		s.lazy = append(s.lazy, changes...)
		return nil
	}
	return s.write(changes)
}

// Pending says whether there are changes that Flush would write.
func (s *Store) Pending() bool { return len(s.lazy) > 0 }

// Flush writes what waits.
func (s *Store) Flush() error {
	if len(s.lazy) == 0 {
		return nil
	}
	return s.write(nil)
}

func (s *Store) write(changes []state.Change) error {
	var size int64
	err := s.db.Update(func(tx *bbolt.Tx) error {
		if size = tx.Size(); size >= s.opt.Most {
			grows := false
			for _, c := range changes {
				grows = grows || c.Value != nil
			}
			if grows {
				return ErrFull
			}
		}
		// What waited comes first: it was noted first.
		for _, list := range [][]state.Change{s.lazy, changes} {
			for _, c := range list {
				if err := apply(tx, c); err != nil {
					return err
				}
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("store %s: %w", s.opt.Path, err)
	}
	s.Commits++
	s.lazy = s.lazy[:0]
	return nil
}

func apply(tx *bbolt.Tx, c state.Change) error {
	b := tx.Bucket([]byte(c.Bucket))
	switch {
	case c.All:
		cur := b.Cursor()
		for k, _ := cur.Seek([]byte(c.Key)); k != nil && len(k) >= len(c.Key) && string(k[:len(c.Key)]) == c.Key; k, _ = cur.Seek([]byte(c.Key)) {
			if err := b.Delete(k); err != nil {
				return err
			}
		}
		return nil
	case c.Value == nil:
		return b.Delete([]byte(c.Key))
	}
	return b.Put([]byte(c.Key), c.Value)
}

// Close writes what waits and closes the file.
func (s *Store) Close() error {
	return errors.Join(s.Flush(), s.db.Close())
}

// Kill closes the file as the death of the process would: what waits is lost.
func (s *Store) Kill() error { return s.db.Close() }

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

// Each calls f for every key of a file that is not in use, in order.
func Each(path string, f func(bucket, key string, value []byte) error) error {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: lockWait})
	if err != nil {
		return fmt.Errorf("store %s: %w", path, err)
	}
	defer db.Close()
	return db.View(func(tx *bbolt.Tx) error {
		for _, name := range state.Buckets {
			b := tx.Bucket([]byte(name))
			if b == nil {
				return fmt.Errorf("store %s has no bucket %s", path, name)
			}
			if err := b.ForEach(func(k, v []byte) error { return f(name, string(k), v) }); err != nil {
				return err
			}
		}
		for err := range tx.Check() {
			return fmt.Errorf("store %s: %w", path, err)
		}
		return nil
	})
}
