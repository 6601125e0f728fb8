package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"

	"go.etcd.io/bbolt"

	"forkhead/internal/scheduler/durable"
)

// fileMode is that of a store's file: what clients submit is private.
const fileMode = 0o600

// compactTransactionBytes is the most that Compact copies in one transaction.
const compactTransactionBytes = 1 << 20

// rewrite reads the file at path from end to end and replaces it by a fresh one with all that could be read. So a damaged page
// is found at the start and not when it is written to, and each start releases unused space. A file that does not exist is
// created.
func rewrite(path string) (*durable.Loader, keyCounts, error) {
	fresh := path + ".new"
	// A start that was interrupted may have left one.
	if err := os.Remove(fresh); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, err
	}
	// The file is synced once, when it is complete.
	db, err := bbolt.Open(fresh, fileMode, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType, NoSync: true})
	if err != nil {
		return nil, nil, err
	}
	loader, counts := durable.NewLoader(), keyCounts{}
	err = db.Update(func(tx *bbolt.Tx) error { return copyReadable(tx, counts, loader, path) })
	if err == nil {
		err = db.Sync()
	}
	if err = errors.Join(err, db.Close()); err != nil {
		_ = os.Remove(fresh) // the next start removes it otherwise
		return nil, nil, err
	}
	if err := os.Rename(fresh, path); err != nil {
		return nil, nil, err
	}
	return loader, counts, syncFolder(filepath.Dir(path))
}

// copyReadable copies the keys of the file at path whose values can be read, and gives all of them to the loader.
func copyReadable(tx *bbolt.Tx, counts keyCounts, loader *durable.Loader, path string) error {
	if err := createBuckets(tx); err != nil {
		return err
	}
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return putCounts(tx, counts)
	}
	err := ForEach(path, func(bucket durable.Bucket, key string, value []byte) error {
		loader.Add(bucket, key, value)
		if _, _, err := durable.DecodeValue(value); err != nil {
			return nil // the loader reports it
		}
		return apply(tx, counts, durable.Change{Kind: durable.Put, Bucket: bucket, Key: key, Value: value})
	})
	if err != nil {
		return err
	}
	return putCounts(tx, counts)
}

// syncFolder makes the names in a folder durable. A folder that cannot be opened is ignored.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return nil
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// ForEach calls visit for every key of the file at path, bucket by bucket in order of keys, and checks that no key is missing.
// It does not write to the file. It fails if the file is damaged, if a process has it open, or with the first error of visit.
func ForEach(path string, visit func(bucket durable.Bucket, key string, value []byte) error) (err error) {
	defer recoverDamage(&err)()
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{ReadOnly: true, Timeout: lockTimeout})
	if err != nil {
		return fmt.Errorf("store %s: %w", path, err)
	}
	defer closeReadOnly(db)
	return db.View(func(tx *bbolt.Tx) error {
		want, err := getCounts(tx)
		if err != nil {
			return fmt.Errorf("store %s: its counts: %w", path, err)
		}
		for _, bucket := range durable.Buckets() {
			found, err := forEachInBucket(tx, path, bucket, visit)
			if err != nil {
				return err
			}
			if found != want[bucket] {
				return fmt.Errorf("store %s: %s has %d keys of %d", path, bucket, found, want[bucket])
			}
		}
		return nil
	})
}

// forEachInBucket calls visit for every key of a bucket, checks their order, and returns how many there were.
func forEachInBucket(
	tx *bbolt.Tx, path string, name durable.Bucket, visit func(durable.Bucket, string, []byte) error,
) (found int, err error) {
	bucket := tx.Bucket([]byte(name))
	if bucket == nil {
		return 0, fmt.Errorf("store %s has no bucket %s", path, name)
	}
	previous := ""
	err = bucket.ForEach(func(k, value []byte) error {
		key := string(k)
		if found > 0 && key <= previous {
			return fmt.Errorf("store %s: the keys of %s are not in order", path, name)
		}
		found++
		previous = key
		return visit(name, key, slices.Clone(value))
	})
	return found, err
}

// recoverDamage turns what bbolt does with a damaged page into an error: it panics, or faults where the page points outside
// of the file, which is mapped into memory. Without it, a truncated file ends the process. The returned function
// is deferred by the goroutine that called recoverDamage.
func recoverDamage(err *error) func() {
	before := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(before)
		if r := recover(); r != nil {
			*err = fmt.Errorf("unreadable: %v", r)
		}
	}
}

// closeReadOnly closes a file that was only read, so that nothing is lost where that fails.
func closeReadOnly(db *bbolt.DB) { _ = db.Close() }

// Compact copies the file at from to a new file at to, without unused space, and returns the size of each in bytes. No process
// may have either file open.
func Compact(from, to string) (before, after int64, err error) {
	src, err := bbolt.Open(from, fileMode, &bbolt.Options{ReadOnly: true, Timeout: lockTimeout})
	if err != nil {
		return 0, 0, err
	}
	defer closeReadOnly(src)
	dst, err := bbolt.Open(to, fileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return 0, 0, err
	}
	if err := errors.Join(bbolt.Compact(dst, src, compactTransactionBytes), dst.Close()); err != nil {
		return 0, 0, err
	}
	if before, err = fileSize(from); err != nil {
		return 0, 0, err
	}
	if after, err = fileSize(to); err != nil {
		return 0, 0, err
	}
	return before, after, nil
}

func fileSize(path string) (int64, error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
