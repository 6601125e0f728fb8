package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"forkhead/internal/scheduler/durable"
	"forkhead/internal/server/store"
)

// storeContent says what a store's file should hold, for the error of one that cannot be read.
const storeContent = "what serve --store keeps"

// storedValue is the line of a value in store dump.
type storedValue struct {
	Bucket  durable.Bucket `json:"bucket"`
	Key     string         `json:"key"`
	Value   string         `json:"value"`
	Version int            `json:"version"`
}

// storeCounts is the line of store verify.
type storeCounts struct {
	Bad  int                    `json:"bad"` // values that cannot be decoded
	Keys map[durable.Bucket]int `json:"keys"`
}

// compactedSizes is the line of store compact, in bytes.
type compactedSizes struct {
	After  int64 `json:"after"`
	Before int64 `json:"before"`
}

func (a *app) storeCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "store", Short: "verify, dump or compact a placer's store while the placer is down",
		Long: "store reads the file of serve --store. The placer that writes it must be down. verify reads every page and every\n" +
			"value; dump writes each key with its value; compact writes a copy without the free space.",
	}
	c.AddCommand(
		&cobra.Command{
			Use: "verify FILE", Short: "check every page and every value", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error { return a.verifyStore(args[0]) },
		},
		&cobra.Command{
			Use: "dump FILE", Short: "write each key with its value", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error { return a.dumpStore(args[0]) },
		},
		&cobra.Command{
			Use: "compact FILE COPY", Short: "write a copy without the free space", Args: cobra.ExactArgs(2),
			RunE: func(_ *cobra.Command, args []string) error { return a.compactStore(args[0], args[1]) },
		},
	)
	return c
}

// verifyStore reads a whole store and writes how many values it holds. It returns errNo if anything cannot be read.
func (a *app) verifyStore(path string) error {
	counts, err := a.readStore(path, func(storedValue) error { return nil })
	if err != nil {
		return err
	}
	if a.wantsJSON() {
		err = a.writeJSON(counts)
	} else {
		_, err = fmt.Fprintf(a.out, "%v, %d that do not hold\n", counts.Keys, counts.Bad)
	}
	if err != nil {
		return err
	}
	return counts.answer()
}

// dumpStore writes all values of a store. It returns errNo if anything cannot be read.
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
	return counts.answer()
}

// readStore visits each value of a store that can be decoded, reports the others on standard error, and counts both. It
// returns errNo if the file cannot be read to its end.
func (a *app) readStore(path string, visit func(storedValue) error) (storeCounts, error) {
	counts := storeCounts{Keys: map[durable.Bucket]int{}}
	if _, err := os.Stat(path); err != nil {
		return counts, unreadable(err, storeContent)
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
		return counts, errNo
	}
	return counts, nil
}

// answer is errNo if a value cannot be decoded.
func (c storeCounts) answer() error {
	if c.Bad > 0 {
		return errNo
	}
	return nil
}

// compactStore copies a store into a new file and writes the sizes of both.
func (a *app) compactStore(path, copied string) error {
	if _, err := os.Stat(path); err != nil {
		return unreadable(err, storeContent)
	}
	if _, err := os.Stat(copied); err == nil {
		return badInput(fmt.Errorf("%s exists; want a name that is free", copied))
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
