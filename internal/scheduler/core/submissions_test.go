package core_test

import (
	"testing"
	"time"

	"forkhead/internal/verify/simulation"
)

// A submission that is repeated under its Idempotency-Key is answered like the first one and starts nothing. A
// submission with another body under that key is rejected with status 422.
func TestCoreAcceptsIdempotencyKeyOnce(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 2)
	text := "name: p\nservices: {web: {deploy: {replicas: 2}}}"
	a, b := s.Submit("k", text), s.Submit("k", text)
	if a != b {
		t.Fatalf("two equal submissions under one key have the IDs %s and %s, want one ID", a, b)
	}
	if s.Submit("k", text+"\n") != "" || s.Rejected[0].Status != 422 {
		t.Fatalf("after another body under the key, rejections = %+v, want one with status 422", s.Rejected)
	}
	s.Await(a, 5*time.Second)
	if n := s.Core.Status().Offers; n != 2 {
		t.Fatalf("for two tasks submitted twice, %d offers were sent, want 2", n)
	}
}

// Submissions beyond a limit of tasks, constraints or submissions are rejected with the status of that limit, and with
// a Retry-After if the limit is temporary.
func TestCoreRejectsSubmissionsBeyondLimits(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, "(limits (tasks 10) (per-submit 8) (submissions 2) (labels 2))"), 2)
	for _, c := range []struct {
		text   string
		status int
	}{
		{"services: {w: {deploy: {replicas: 9}}}", 413},
		{"services: {w: {deploy: {replicas: 8}}}", 0},
		{"services: {w: {deploy: {replicas: 3}}}", 503},
		{"services: {w: {deploy: {placement: {constraints: ['node.id==a', 'node.id==b', 'node.id==c']}}}}", 503},
		{"services: {w: {}}", 0},
		{"services: {w: {}}", 429},
	} {
		n := len(s.Rejected)
		s.Submit("", c.text)
		got := 0
		if len(s.Rejected) > n {
			got = s.Rejected[n].Status
			if (got == 429 || got == 503) && s.Rejected[n].RetryAfter <= 0 {
				t.Errorf("Submit(%q) was rejected with status %d and RetryAfter %v, want more than 0", c.text, got, s.Rejected[n].RetryAfter)
			}
		}
		if got != c.status {
			t.Errorf("Submit(%q): status = %d, want %d (0: accepted)", c.text, got, c.status)
		}
	}
}
