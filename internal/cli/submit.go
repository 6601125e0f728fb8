package cli

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"forkhead/internal/client"
	"forkhead/internal/server/placer"
)

// sendBackoff is the minimum time before a submission is sent again.
const sendBackoff = 500 * time.Millisecond

// submitFlags are the flags of submit.
type submitFlags struct {
	specification specificationFlags
	address       string
	key           string // idempotency key of the submission; "" for a random key
	maxSends      int
}

func (a *app) submitCommand() *cobra.Command {
	var f submitFlags
	c := &cobra.Command{
		Use: "submit FILE...", Short: "submit a service specification to a placer and follow its tasks", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, names []string) error { return a.submit(cmd.Context(), &f, names) },
	}
	f.specification.add(c.Flags())
	flags := c.Flags()
	flags.StringVar(&f.address, "to", "127.0.0.1:7070", "address of the placer's HTTP API")
	flags.StringVar(&f.key, "key", "", "Idempotency-Key (default: a random one)")
	flags.IntVar(&f.maxSends, "tries", 5, "maximum number of times to send the submission if the reply is lost or the placer is busy")
	return c
}

// submit submits files to a placer and writes the outcomes of the tasks.
func (a *app) submit(ctx context.Context, f *submitFlags, names []string) error {
	envelope, err := f.specification.envelope(names)
	if err != nil {
		return err
	}
	// Only the placer knows which classes and tenants its settings have. The files are parsed here only to name the
	// project, so errors are ignored: the placer reports them.
	if envelope.Project == "" && !strings.Contains(envelope.Files[0].Text, "name:") {
		s, err := readSettings("")
		if err != nil {
			return err
		}
		if description, err := parseSpecification(envelope, s); err == nil {
			nameProject(envelope, description, names[0])
		}
	}
	return a.submitAndFollow(ctx, &client.Client{Address: f.address, IdempotencyKey: f.key, MaxSends: f.maxSends, Backoff: sendBackoff}, envelope)
}

// submitAndFollow submits an envelope and writes the outcomes of its tasks as they arrive. It returns errNegativeResult if any
// task was not placed.
func (a *app) submitAndFollow(ctx context.Context, c *client.Client, envelope *placer.Envelope) error {
	outcomes := a.newOutcomeWriter()
	if err := c.Submit(ctx, envelope, outcomes.add); err != nil {
		return a.submissionError(err)
	}
	return outcomes.finish()
}

// submissionError classifies the error of a submission. If the input is invalid, it returns an input error. If the
// tasks cannot be placed, or if the placer rejects the submission because it is too large or because it cannot be taken
// at the moment, it prints the reason and returns errNegativeResult. Otherwise it returns err.
func (a *app) submissionError(err error) error {
	var r *client.RejectionError
	if !errors.As(err, &r) {
		return err
	}
	switch {
	case len(r.Conflict) > 0:
		a.warnf(noPlacementFormat, strings.Join(r.Conflict, "\n  "))
		return errNegativeResult
	case len(r.Errors) > 0, r.Status == http.StatusBadRequest, r.Status == http.StatusUnsupportedMediaType, r.Status == http.StatusUnprocessableEntity:
		return asInputError(err)
	case r.Retryable(), r.Status == http.StatusRequestEntityTooLarge:
		a.warnln(err)
		return errNegativeResult
	}
	return err
}
