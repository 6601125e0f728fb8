package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"

	"go.etcd.io/bbolt"

	"forkhead/internal/scheduler/durable"
)

// fileMode is the mode of a store's file, which only its owner may read: submissions are private.
const fileMode = 0o600

// compactTransactionBytes bounds the bytes that Compact copies in one transaction.
const compactTransactionBytes = 1 << 20

// rewrite reads all of the file at path and replaces it by a new file with the keys whose values are readable. Thus a
// damaged page is found at the start rather than at a later write, and each start releases unused space. A missing file
// is created.
func rewrite(path string) (*durable.Loader, keyCounts, error) {
	newPath := path + ".new"
	// A start that was interrupted may have left its new file behind.
	if err := os.Remove(newPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, err
	}
	// NoSync: the new file is synced once, when it is complete.
	db, err := bbolt.Open(newPath, fileMode, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType, NoSync: true})
	if err != nil {
		return nil, nil, err
	}
	loader, counts := durable.NewLoader(), keyCounts{}
	err = db.Update(func(tx *bbolt.Tx) error { return copyReadableKeys(tx, counts, loader, path) })
	if err == nil {
		err = db.Sync()
	}
	if err = errors.Join(err, db.Close()); err != nil {
		_ = os.Remove(newPath) // if Remove fails, the next start removes the file
		return nil, nil, err
	}
	if err := os.Rename(newPath, path); err != nil {
		return nil, nil, err
	}
	return loader, counts, syncDirectory(filepath.Dir(path))
}

// read reads all of the file at path and returns its keys and their stored number. Unlike rewrite it leaves unreadable
// keys in the file.
func read(path string) (*durable.Loader, keyCounts, error) {
	loader, counts := durable.NewLoader(), keyCounts{}
	err := ForEach(path, func(bucket durable.Bucket, key string, value []byte) error {
		loader.Add(bucket, key, value)
		counts[bucket]++
		return nil
	})
	return loader, counts, err
}

// checkReadable reads all bytes of the file at path. bbolt reports some failures to read as damage.
func checkReadable(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, file)
	return errors.Join(err, file.Close())
}

// copyReadableKeys copies the keys with readable values from the file at path, and passes all keys to the loader.
// counts becomes the number of copied keys.
func copyReadableKeys(tx *bbolt.Tx, counts keyCounts, loader *durable.Loader, path string) error {
	if err := createBuckets(tx); err != nil {
		return err
	}
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return putCounts(tx, counts)
	}
	err := ForEach(path, func(bucket durable.Bucket, key string, value []byte) error {
		loader.Add(bucket, key, value)
		if _, _, err := durable.DecodeValue(value); err != nil {
			return nil // not copied; the loader has listed the key in Snapshot.Unreadable
		}
		return applyChange(tx, counts, durable.Change{Kind: durable.Put, Bucket: bucket, Key: key, Value: value})
	})
	if err != nil {
		return err
	}
	return putCounts(tx, counts)
}

// syncDirectory makes the entries of a directory durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// ForEach calls visit for every key of the file at path, bucket by bucket and in key order, and checks that no key is
// missing. It does not write to the file. It returns an error if the file is damaged or another process has it open,
// and else the first error of visit.
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
			return fmt.Errorf("store %s: read key counts: %w", path, err)
		}
		for _, bucket := range durable.Buckets() {
			found, err := forEachInBucket(tx, path, bucket, visit)
			if err != nil {
				return err
			}
			if found != want[bucket] {
				return fmt.Errorf("store %s: bucket %s has %d keys, want %d", path, bucket, found, want[bucket])
			}
		}
		return nil
	})
}

// forEachInBucket calls visit for every key of a bucket, checks their order, and returns their number.
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
			return fmt.Errorf("store %s: bucket %s: key %q follows %q, want ascending keys", path, name, key, previous)
		}
		found++
		previous = key
		return visit(name, key, slices.Clone(value))
	})
	return found, err
}

// recoverDamage turns the failures that a damaged page causes in bbolt into an error: a panic, or a memory fault where
// the page refers to an address beyond the file, which is mapped into memory. Without recoverDamage, a truncated file
// would end the process. The goroutine that calls recoverDamage must defer the returned function.
func recoverDamage(err *error) func() {
	before := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(before)
		if r := recover(); r != nil {
			*err = fmt.Errorf("damaged store file: %v", r)
		}
	}
}

// closeReadOnly closes a file that was opened for reading. An error is ignored, since no write can be lost.
func closeReadOnly(db *bbolt.DB) { _ = db.Close() }

// Compact copies the file at from to a new file at to, without unused space, and returns the sizes of both files in
// bytes. No process may have either file open.
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

// fileSize returns the size of a file in bytes.
func fileSize(path string) (int64, error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
