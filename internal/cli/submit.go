package cli

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"forkhead/internal/client"
)

func (a *app) submitCommand() *cobra.Command {
	var pf projectFlags
	var to, key string
	var tries int
	c := &cobra.Command{
		Use: "submit FILE...", Short: "submit a description to a placer and follow its tasks", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, names []string) error {
			e, err := pf.envelope(names)
			if err != nil {
				return err
			}
			// Classes and tenants are the placer's to know: only the name is looked for here.
			if e.Project == "" && !strings.Contains(e.Files[0].Text, "name:") {
				s, err := readSettings("")
				if err != nil {
					return err
				}
				if d, err := parse(e, s); err == nil {
					named(e, d, names[0])
				}
			}
			out := a.outcomes()
			client := client.Client{Address: to, IdempotencyKey: key, MaxSends: tries, Backoff: 500 * time.Millisecond}
			if err := client.Submit(cmd.Context(), e, out.add); err != nil {
				return a.refusal(err)
			}
			return out.end()
		},
	}
	pf.add(c.Flags())
	c.Flags().StringVar(&to, "to", "127.0.0.1:7070", "the placer's front")
	c.Flags().StringVar(&key, "key", "", "Idempotency-Key (default: a random one)")
	c.Flags().IntVar(&tries, "tries", 5, "how often the submission is sent where the reply is lost or the placer is busy")
	return c
}

// refusal tells a placer's answer as what it is: bad input, a no, or trouble.
func (a *app) refusal(err error) error {
	var r *client.RejectionError
	if !errors.As(err, &r) {
		return err
	}
	switch {
	case len(r.Conflict) > 0:
		fmt.Fprintf(a.errs, "no placement exists. These cannot be met together, and could without any one of them:\n  %s\n", strings.Join(r.Conflict, "\n  "))
		return errNo
	case len(r.Errors) > 0 || r.Status == 400 || r.Status == 415 || r.Status == 422:
		return badInput(err)
	case r.Retryable() || r.Status == 413:
		fmt.Fprintln(a.errs, err)
		return errNo
	}
	return err
}
