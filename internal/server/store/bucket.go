package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"go.etcd.io/bbolt"

	"forkhead/internal/scheduler/durable"
)

// keyCounts is the number of keys in each bucket. It is stored, since a page of the file that lost some of its keys shows no
// other sign of it.
type keyCounts map[durable.Bucket]int

// The key counts are stored under countsKey in a bucket of their own.
const (
	metaBucket = "meta"
	countsKey  = "counts"
)

func putCounts(tx *bbolt.Tx, counts keyCounts) error {
	text, err := json.Marshal(counts)
	if err != nil {
		return fmt.Errorf("encode key counts: %w", err)
	}
	return tx.Bucket([]byte(metaBucket)).Put([]byte(countsKey), durable.EncodeValue(text))
}

// getCounts returns the stored key counts; none where the file has no bucket for them.
func getCounts(tx *bbolt.Tx) (keyCounts, error) {
	counts := keyCounts{}
	meta := tx.Bucket([]byte(metaBucket))
	if meta == nil {
		return counts, nil
	}
	text, _, err := durable.DecodeValue(meta.Get([]byte(countsKey)))
	if err != nil {
		return nil, err
	}
	return counts, json.Unmarshal(text, &counts)
}

// createBuckets creates the buckets of an empty file.
func createBuckets(tx *bbolt.Tx) error {
	if _, err := tx.CreateBucket([]byte(metaBucket)); err != nil {
		return fmt.Errorf("create bucket %s: %w", metaBucket, err)
	}
	for _, bucket := range durable.Buckets() {
		if _, err := tx.CreateBucket([]byte(bucket)); err != nil {
			return fmt.Errorf("create bucket %s: %w", bucket, err)
		}
	}
	return nil
}

// apply applies a change and updates counts.
func apply(tx *bbolt.Tx, counts keyCounts, c durable.Change) error {
	bucket := tx.Bucket([]byte(c.Bucket))
	key := []byte(c.Key)
	switch c.Kind {
	case durable.Put:
		if bucket.Get(key) == nil {
			counts[c.Bucket]++
		}
		return bucket.Put(key, c.Value)
	case durable.Delete:
		if bucket.Get(key) != nil {
			counts[c.Bucket]--
		}
		return bucket.Delete(key)
	case durable.DeletePrefix:
		deleted, err := deletePrefix(bucket, key)
		counts[c.Bucket] -= deleted
		return err
	}
	return fmt.Errorf("change of unknown kind %d", c.Kind)
}

// deletePrefix deletes the keys that begin with prefix and returns how many there were.
func deletePrefix(bucket *bbolt.Bucket, prefix []byte) (deleted int, err error) {
	cursor := bucket.Cursor()
	for {
		key, _ := cursor.Seek(prefix) // again for each key: a cursor does not survive a deletion
		if key == nil || !bytes.HasPrefix(key, prefix) {
			return deleted, nil
		}
		if err := bucket.Delete(slices.Clone(key)); err != nil {
			return deleted, err
		}
		deleted++
	}
}
