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
	maxProblemSize = 1 << 20        // bytes of a response's body; the rest is not read
	maxRetryAfter  = 24 * time.Hour // a Retry-After of so long or longer is taken for none
)

// RejectionError is a problem with which the placer answered a submission in place of outcomes.
type RejectionError struct {
	placer.Problem
	RetryAfter time.Duration // 0: not given
}

// Error returns the status, title and detail, or the errors of an invalid specification.
func (r *RejectionError) Error() string {
	if len(r.Errors) > 0 {
		return r.Detail
	}
	return fmt.Sprintf("%d %s: %s", r.Status, r.Title, r.Detail)
}

// Retryable reports whether the placer's answer allows a later retry.
func (r *RejectionError) Retryable() bool {
	return r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable
}

// readRejection returns the RejectionError of a response. It is one also where the body is not a problem: something
// between may have answered.
func readRejection(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemSize))
	if err != nil {
		return fmt.Errorf("read the placer's answer %s: %w", resp.Status, err)
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
