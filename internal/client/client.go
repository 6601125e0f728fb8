// Package client submits service specifications to a placer over its HTTP API and follows the outcomes of their tasks.
// Where a reply is lost or the placer is busy, it sends the submission again under the same Idempotency-Key, so that the
// placer takes it once.
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
	minBackoff       = 10 * time.Millisecond
	maxOutcomeLength = 64 << 10 // bytes of one line of the stream
	keyBytes         = 16       // random ones of an Idempotency-Key
)

// Client submits to one placer. Its fields must not change during Submit. Submit calls the functions among them on its
// own goroutine.
type Client struct {
	Address        string        // HOST:PORT of the placer
	HTTPClient     *http.Client  // nil: http.DefaultClient
	IdempotencyKey string        // "": a random one for each Submit
	MaxSends       int           // how often a submission is sent at most; less than 1: once
	Backoff        time.Duration // between two sends, at least; a longer Retry-After takes precedence
	// OnAccepted is called with the submission's ID in each reply, before its outcomes. nil: not called.
	OnAccepted func(submission string)
	// OnOutcome is called with every outcome in every reply, also with those that came before. nil: not called.
	OnOutcome func(core.Outcome)
	// OnBrokenStream is called when a reply ends before it is complete. nil: not called.
	OnBrokenStream func(submission string)
}

// Submit sends a submission and calls deliver with the outcome of each task, once, in the order of their receipt. It
// returns nil when the submission is complete, and else the last error: a RejectionError if the placer answered with a
// problem.
func (c *Client) Submit(ctx context.Context, envelope *placer.Envelope, deliver func(core.Outcome)) error {
	body, err := json.Marshal(envelope)
	if err != nil {
		return fmt.Errorf("encode the submission: %w", err)
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

// newIdempotencyKey returns a random key.
func newIdempotencyKey() string {
	var key [keyBytes]byte
	_, _ = rand.Read(key[:]) // never fails, by its documentation
	return hex.EncodeToString(key[:])
}

// retryable reports whether sending again may help: the reply was lost, or the placer's answer allows a later retry.
func retryable(err error) bool {
	var rejection *RejectionError
	return !errors.As(err, &rejection) || rejection.Retryable()
}

// backoffAfter returns the time from an error to the next send.
func (c *Client) backoffAfter(err error) time.Duration {
	backoff := max(c.Backoff, minBackoff)
	var rejection *RejectionError
	if errors.As(err, &rejection) {
		backoff = max(backoff, rejection.RetryAfter)
	}
	return backoff
}

// send sends a submission once and reads the reply to its end.
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
	lines := bufio.NewReaderSize(stream, maxOutcomeLength)
	for {
		line, err := lines.ReadSlice('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil { // a partial line is dropped: the next reply has all of it
			if c.OnBrokenStream != nil {
				c.OnBrokenStream(submission)
			}
			return fmt.Errorf("the stream of outcomes broke: %w", err)
		}
		var o core.Outcome
		if err := json.Unmarshal(line, &o); err != nil {
			return fmt.Errorf("the placer sent a line that is not an outcome: %w", err)
		}
		if c.OnOutcome != nil {
			c.OnOutcome(o)
		}
		deliver(o)
	}
}
