package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"forkhead/internal/scheduler/durable"
	"forkhead/internal/server/store"
)

func (a *app) storeCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "store", Short: "look at what a placer keeps, while the placer is down",
		Long: "store reads the file of serve --store. The placer that keeps it must be down. verify reads every page and every\n" +
			"value; dump writes each key with its value; compact writes a copy without the space that is free.",
	}
	c.AddCommand(
		&cobra.Command{Use: "verify FILE", Short: "check every page and every value", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error { return a.readStore(args[0], false) }},
		&cobra.Command{Use: "dump FILE", Short: "write each key with its value", Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, args []string) error { return a.readStore(args[0], true) }},
		&cobra.Command{Use: "compact FILE COPY", Short: "write a copy without the space that is free", Args: cobra.ExactArgs(2),
			RunE: func(_ *cobra.Command, args []string) error {
				if _, err := os.Stat(args[0]); err != nil {
					return unreadable(err, "what serve --store keeps")
				}
				if _, err := os.Stat(args[1]); err == nil {
					return badInput(fmt.Errorf("%s exists; want a name that is free", args[1]))
				}
				before, after, err := store.Compact(args[0], args[1])
				if err != nil {
					return err
				}
				if a.output == "json" {
					return a.json(map[string]int64{"before": before, "after": after})
				}
				_, err = fmt.Fprintf(a.out, "%d bytes before, %d in the copy\n", before, after)
				return err
			}},
	)
	return c
}

// readStore goes through a file. Exit 3: something in it does not hold.
func (a *app) readStore(path string, dump bool) error {
	if _, err := os.Stat(path); err != nil {
		return unreadable(err, "what serve --store keeps")
	}
	counts, bad := map[durable.Bucket]int{}, 0
	err := store.ForEach(path, func(bucket durable.Bucket, key string, value []byte) error {
		counts[bucket]++
		text, version, err := durable.DecodeValue(value)
		if err != nil {
			bad++
			fmt.Fprintf(a.errs, "%s: %s %q: %v\n", path, bucket, key, err)
			return nil
		}
		switch {
		case !dump:
			return nil
		case a.output == "json":
			return a.json(map[string]any{"bucket": bucket, "key": key, "version": version, "value": string(text)})
		}
		_, err = fmt.Fprintf(a.out, "%s\t%s\t%s\n", bucket, key, text)
		return err
	})
	if err != nil {
		fmt.Fprintln(a.errs, err)
		return errNo
	}
	if !dump {
		if a.output == "json" {
			err = a.json(map[string]any{"keys": counts, "bad": bad})
		} else {
			_, err = fmt.Fprintf(a.out, "%v, %d that do not hold\n", counts, bad)
		}
	}
	if err == nil && bad > 0 {
		return errNo
	}
	return err
}
