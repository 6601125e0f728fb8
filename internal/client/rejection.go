package client

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"forkhead/internal/server/placer"
)

const (
	maxProblemBytes = 1 << 20        // a longer body of a response is not read to its end
	maxRetryAfter   = 24 * time.Hour // a Retry-After of this length or more is ignored
)

// RejectionError is the error of a submission to which the placer responded with a problem instead of outcomes.
type RejectionError struct {
	placer.Problem
	RetryAfter time.Duration // 0: the response has no Retry-After, or one that is ignored
}

// Error returns the status, title and detail, or only the detail if the problem lists the errors of a specification.
func (r *RejectionError) Error() string {
	if len(r.Errors) > 0 {
		return r.Detail
	}
	return fmt.Sprintf("%d %s: %s", r.Status, r.Title, r.Detail)
}

// Retryable reports whether the status of the response allows a later retry.
func (r *RejectionError) Retryable() bool {
	return r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable
}

// readRejection returns the RejectionError of a response. If the body is not a problem, as in a response from a proxy,
// the error has the response's status.
func readRejection(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	if err != nil {
		return fmt.Errorf("read response with status %s: %w", resp.Status, err)
	}
	r := &RejectionError{}
	if err := json.Unmarshal(body, &r.Problem); err != nil || r.Status == 0 {
		r.Problem = placer.Problem{Status: resp.StatusCode, Title: resp.Status}
	}
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err == nil && seconds >= 0 && seconds < int(maxRetryAfter/time.Second) {
		r.RetryAfter = time.Duration(seconds) * time.Second
	}
	return r
}
