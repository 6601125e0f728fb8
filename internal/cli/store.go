package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"forkhead/internal/scheduler/durable"
	"forkhead/internal/server/store"
)

// storeContent says what the file of a store should contain. It appears in the error if the file cannot be read.
const storeContent = "a store that serve --store has written"

// storedValue is the JSON output of store dump for one value.
type storedValue struct {
	Bucket  durable.Bucket `json:"bucket"`
	Key     string         `json:"key"`
	Value   string         `json:"value"`
	Version int            `json:"version"`
}

// storeCounts is the JSON output of store verify.
type storeCounts struct {
	Bad  int                    `json:"bad"`  // number of values that cannot be decoded
	Keys map[durable.Bucket]int `json:"keys"` // number of keys in each bucket
}

// compactedSizes is the JSON output of store compact: the sizes of both files in bytes.
type compactedSizes struct {
	After  int64 `json:"after"`
	Before int64 `json:"before"`
}

func (a *app) storeCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "store", Short: "verify, dump or compact a placer's store while the placer is down",
		Long: "store reads the file that serve --store writes, while its placer is down. verify reads every page and every value;\n" +
			"dump prints each key with its value; compact writes a copy without the free space.",
	}
	c.AddCommand(
		&cobra.Command{
			Use: "verify FILE", Short: "check every page and every value", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error { return a.verifyStore(args[0]) },
		},
		&cobra.Command{
			Use: "dump FILE", Short: "print each key with its value", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error { return a.dumpStore(args[0]) },
		},
		&cobra.Command{
			Use: "compact FILE COPY", Short: "write a copy without the free space", Args: cobra.ExactArgs(2),
			RunE: func(_ *cobra.Command, args []string) error { return a.compactStore(args[0], args[1]) },
		},
	)
	return c
}

// verifyStore reads a whole store and prints the number of values in each bucket. It returns errNegativeResult if any part of
// the store cannot be read or decoded.
func (a *app) verifyStore(path string) error {
	counts, err := a.readStore(path, func(storedValue) error { return nil })
	if err != nil {
		return err
	}
	if a.wantsJSON() {
		err = a.writeJSON(counts)
	} else {
		_, err = fmt.Fprintf(a.out, "%v, %d that cannot be decoded\n", counts.Keys, counts.Bad)
	}
	if err != nil {
		return err
	}
	return counts.err()
}

// dumpStore prints all values of a store. It returns errNegativeResult if any part of the store cannot be read or decoded.
func (a *app) dumpStore(path string) error {
	counts, err := a.readStore(path, func(v storedValue) error {
		if a.wantsJSON() {
			return a.writeJSON(v)
		}
		_, err := fmt.Fprintf(a.out, "%s\t%s\t%s\n", v.Bucket, v.Key, v.Value)
		return err
	})
	if err != nil {
		return err
	}
	return counts.err()
}

// readStore calls visit for each value of a store that can be decoded, and writes an error to standard error for each
// other value. It returns the number of keys in each bucket and the number of values that cannot be decoded. If the
// file cannot be read to its end, it returns errNegativeResult.
func (a *app) readStore(path string, visit func(storedValue) error) (storeCounts, error) {
	counts := storeCounts{Keys: map[durable.Bucket]int{}}
	if _, err := os.Stat(path); err != nil {
		return counts, unreadableFileError(err, storeContent)
	}
	err := store.ForEach(path, func(bucket durable.Bucket, key string, value []byte) error {
		counts.Keys[bucket]++
		text, version, err := durable.DecodeValue(value)
		if err != nil {
			counts.Bad++
			a.warnf("%s: %s %q: %v\n", path, bucket, key, err)
			return nil
		}
		return visit(storedValue{Bucket: bucket, Key: key, Value: string(text), Version: version})
	})
	if err != nil {
		a.warnln(err)
		return counts, errNegativeResult
	}
	return counts, nil
}

// err returns errNegativeResult if any value could not be decoded.
func (c storeCounts) err() error {
	if c.Bad > 0 {
		return errNegativeResult
	}
	return nil
}

// compactStore copies a store into a new file without the free space, and prints the sizes of both files.
func (a *app) compactStore(path, copied string) error {
	if _, err := os.Stat(path); err != nil {
		return unreadableFileError(err, storeContent)
	}
	if _, err := os.Stat(copied); err == nil {
		return asInputError(fmt.Errorf("%s already exists; want the name of a new file", copied))
	}
	before, after, err := store.Compact(path, copied)
	if err != nil {
		return err
	}
	if a.wantsJSON() {
		return a.writeJSON(compactedSizes{After: after, Before: before})
	}
	_, err = fmt.Fprintf(a.out, "%d bytes before, %d in the copy\n", before, after)
	return err
}
