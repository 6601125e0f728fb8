package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"go.etcd.io/bbolt"

	"forkhead/internal/scheduler/durable"
)

// keyCounts holds the number of keys in each bucket. It is stored in the file, because nothing else reveals a damaged
// page that has lost some of its keys.
type keyCounts map[durable.Bucket]int

// The key counts are stored under countsKey in a bucket of their own.
const (
	metaBucket = "meta"
	countsKey  = "counts"
)

// putCounts stores the key counts.
func putCounts(tx *bbolt.Tx, counts keyCounts) error {
	text, err := json.Marshal(counts)
	if err != nil {
		return fmt.Errorf("encode key counts: %w", err)
	}
	return tx.Bucket([]byte(metaBucket)).Put([]byte(countsKey), durable.EncodeValue(text))
}

// getCounts returns the stored key counts. The result is empty if the file has no bucket for the counts.
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

// createBuckets creates the buckets in an empty file.
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

// applyChange applies a change to the file and to counts.
func applyChange(tx *bbolt.Tx, counts keyCounts, c durable.Change) error {
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
	return fmt.Errorf("change bucket %s: unknown kind of change %d", c.Bucket, c.Kind)
}

// deletePrefix deletes the keys that begin with prefix and returns their number.
func deletePrefix(bucket *bbolt.Bucket, prefix []byte) (deleted int, err error) {
	cursor := bucket.Cursor()
	for {
		key, _ := cursor.Seek(prefix) // seeks again for each key, since a deletion invalidates the cursor's position
		if key == nil || !bytes.HasPrefix(key, prefix) {
			return deleted, nil
		}
		if err := bucket.Delete(slices.Clone(key)); err != nil {
			return deleted, err
		}
		deleted++
	}
}
