// Package client is a client of the front: it sends a submission, reads its outcomes as they
// come, and sends it again under the same key where the reply was lost.
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
	"strconv"
	"strings"
	"time"

	"forkhead/internal/scheduler/core"
	"forkhead/internal/server/placer"
)

// Client submits to one placer.
type Client struct {
	Address string // HOST:PORT
	HTTP    *http.Client
	Key     string        // Idempotency-Key; "": a random one
	Tries   int           // at most, where the reply is lost or the placer is busy; 0: one
	Pause   time.Duration // between tries, unless Retry-After says more
	// Taken is called with each reply's submission, before its outcomes.
	Taken func(submission string)
	// Line is called with every outcome that is read, also one that was told before.
	Line func(core.Outcome)
	// Broken is called when a stream ends before it is complete.
	Broken func(submission string)
}

// Refusal is an answer that the placer gave instead of outcomes.
type Refusal struct {
	placer.Problem
	RetryAfter time.Duration
}

// Error gives the problem's title and detail, and the places of a bad description.
func (r *Refusal) Error() string {
	if len(r.Errors) > 0 {
		return r.Detail
	}
	return fmt.Sprintf("%d %s: %s", r.Status, r.Title, r.Detail)
}

// Busy says whether trying again later is what the placer asks for.
func (r *Refusal) Busy() bool { return r.Status == 429 || r.Status == 503 }

// NewKey returns a random Idempotency-Key.
func NewKey() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails, by its documentation
	return hex.EncodeToString(b[:])
}

// mostLine bounds a line of the stream.
const mostLine = 64 << 10

// Submit sends a submission and calls each with every outcome, once, in the order in which they
// come. It returns when the submission is complete.
func (c *Client) Submit(ctx context.Context, e *placer.Envelope, each func(core.Outcome)) error {
	body, err := json.Marshal(e)
	if err != nil {
		return err
	}
	key := c.Key
	if key == "" {
		key = NewKey()
	}
	told := map[string]bool{}
	var last error
	for try := range max(c.Tries, 1) {
		if try > 0 {
			pause := max(c.Pause, 10*time.Millisecond)
			var r *Refusal
			if errors.As(last, &r) {
				pause = max(pause, r.RetryAfter)
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(pause):
			}
		}
		last = c.once(ctx, key, body, func(o core.Outcome) {
			if name := o.Service + "/" + strconv.Itoa(o.Replica); !told[name] {
				told[name] = true
				each(o)
			}
		})
		var r *Refusal
		if last == nil || ctx.Err() != nil || errors.As(last, &r) && !r.Busy() {
			return last
		}
	}
	return last
}

func (c *Client) once(ctx context.Context, key string, body []byte, each func(core.Outcome)) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+"/v1/submissions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", placer.EnvelopeMediaType)
	req.Header.Set("Idempotency-Key", key)
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	id := strings.TrimPrefix(resp.Header.Get("Location"), "/v1/submissions/")
	if c.Taken != nil {
		c.Taken(id)
	}
	lines := bufio.NewReaderSize(resp.Body, mostLine)
	for {
		line, err := lines.ReadSlice('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil {
			// What stands before the break is a part of a line: it is read whole the next time.
			if c.Broken != nil {
				c.Broken(id)
			}
			return fmt.Errorf("the stream of outcomes broke: %w", err)
		}
		var o core.Outcome
		if err := json.Unmarshal(line, &o); err != nil {
			return fmt.Errorf("the placer sent a line that is not an outcome: %w", err)
		}
		if c.Line != nil {
			c.Line(o)
		}
		each(o)
	}
}

func refusal(resp *http.Response) error {
	r := &Refusal{}
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, &r.Problem); err != nil || r.Status == 0 {
		r.Problem = placer.Problem{Status: resp.StatusCode, Title: resp.Status}
	}
	if n, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && n >= 0 && n < 86400 {
		r.RetryAfter = time.Duration(n) * time.Second
	}
	return r
}
