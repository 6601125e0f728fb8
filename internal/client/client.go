// Package client submits service specifications to a placer over its HTTP API and reads the outcomes of their tasks.
// After a lost response or a rejection that allows a retry, it sends the submission again under the same
// Idempotency-Key, so that the placer accepts it only once.
package client

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"forkhead/internal/scheduler/core"
	"forkhead/internal/server/clock"
	"forkhead/internal/server/placer"
)

const (
	minBackoff          = 10 * time.Millisecond
	maxOutcomeLineBytes = 64 << 10 // limit of one line of the outcome stream
	idempotencyKeyBytes = 16       // size of a random Idempotency-Key
)

// Client submits to one placer. Its fields must not change during Submit. Submit calls those fields that are functions
// on its caller's goroutine.
type Client struct {
	Address        string        // HOST:PORT of the placer
	HTTPClient     *http.Client  // nil: http.DefaultClient
	IdempotencyKey string        // "": a random one for each call of Submit
	MaxSends       int           // maximum number of times that a submission is sent; less than 1: once
	Backoff        time.Duration // minimum time before a submission is sent again; a longer Retry-After takes precedence
	// OnAccepted is called with the submission's ID for each successful response, before its outcomes. nil: not called.
	OnAccepted func(submission string)
	// OnOutcome is called with each outcome of each response, including those that an earlier response had. nil: not
	// called.
	OnOutcome func(core.Outcome)
	// OnBrokenStream is called with the submission's ID when a response ends before it is complete. nil: not called.
	OnBrokenStream func(submission string)
}

// Submit sends a submission and calls deliver once with the outcome of each task, in the order of their receipt. It
// returns nil when all outcomes have been read, and else the last error, which is a RejectionError if the placer
// responded with a problem.
func (c *Client) Submit(ctx context.Context, envelope *placer.Envelope, deliver func(core.Outcome)) error {
	body, err := json.Marshal(envelope)
	if err != nil {
		return fmt.Errorf("encode submission: %w", err)
	}
	key := c.IdempotencyKey
	if key == "" {
		key = newIdempotencyKey()
	}
	type task struct {
		service string
		replica int
	}
	delivered := map[task]bool{}
	deliverOnce := func(o core.Outcome) {
		t := task{service: o.Service, replica: o.Replica}
		if !delivered[t] {
			delivered[t] = true
			deliver(o)
		}
	}
	for sends := 1; ; sends++ {
		err := c.send(ctx, key, body, deliverOnce)
		if err == nil || ctx.Err() != nil || !retryable(err) || sends >= c.MaxSends {
			return err
		}
		if err := clock.Sleep(ctx, c.backoffAfter(err)); err != nil {
			return err
		}
	}
}

// newIdempotencyKey returns a random Idempotency-Key.
func newIdempotencyKey() string {
	var key [idempotencyKeyBytes]byte
	_, _ = rand.Read(key[:]) // rand.Read never fails, according to its documentation
	return hex.EncodeToString(key[:])
}

// retryable reports whether a submission that failed with err may be sent again: the response was lost or incomplete,
// or its status allows a retry.
func retryable(err error) bool {
	var rejection *RejectionError
	return !errors.As(err, &rejection) || rejection.Retryable()
}

// backoffAfter returns the time from an error until the submission is sent again.
func (c *Client) backoffAfter(err error) time.Duration {
	backoff := max(c.Backoff, minBackoff)
	var rejection *RejectionError
	if errors.As(err, &rejection) {
		backoff = max(backoff, rejection.RetryAfter)
	}
	return backoff
}

// send sends a submission once and reads the response to its end.
func (c *Client) send(ctx context.Context, key string, body []byte, deliver func(core.Outcome)) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+"/v1/submissions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", placer.EnvelopeMediaType)
	req.Header.Set("Idempotency-Key", key)
	httpClient := c.HTTPClient
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return readRejection(resp)
	}
	submission := strings.TrimPrefix(resp.Header.Get("Location"), "/v1/submissions/")
	if c.OnAccepted != nil {
		c.OnAccepted(submission)
	}
	return c.readOutcomes(resp.Body, submission, deliver)
}

// readOutcomes reads a stream of outcomes to its end.
func (c *Client) readOutcomes(stream io.Reader, submission string, deliver func(core.Outcome)) error {
	lines := bufio.NewReaderSize(stream, maxOutcomeLineBytes)
	for {
		line, err := lines.ReadSlice('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil { // a partial line is dropped: the next response has the whole line
			if c.OnBrokenStream != nil {
				c.OnBrokenStream(submission)
			}
			return fmt.Errorf("read outcome stream of submission %q: %w", submission, err)
		}
		var o core.Outcome
		if err := json.Unmarshal(line, &o); err != nil {
			return fmt.Errorf("decode outcome of submission %q: %w", submission, err)
		}
		if c.OnOutcome != nil {
			c.OnOutcome(o)
		}
		deliver(o)
	}
}
