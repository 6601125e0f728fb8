package core_test

import (
	"testing"
	"time"

	"forkhead/internal/verify/simulation"
)

func TestCoreAcceptsIdempotencyKeyOnce(t *testing.T) {
	s := simulation.New(t, simulation.Settings(t, ""), 2)
	text := "name: p\nservices: {web: {deploy: {replicas: 2}}}"
	a, b := s.Submit("k", text), s.Submit("k", text)
	if a != b {
		t.Fatalf("submissions %s and %s", a, b)
	}
	if s.Submit("k", text+"\n") != "" || s.Rejected[0].Status != 422 {
		t.Fatalf("another body under the key: %+v", s.Rejected)
	}
	s.Await(a, 5*time.Second)
	if n := s.Core.Status().Offers; n != 2 {
		t.Fatalf("%d offers for two tasks", n)
	}
}

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
				t.Errorf("%s: no Retry-After", c.text)
			}
		}
		if got != c.status {
			t.Errorf("%s: status %d, want %d", c.text, got, c.status)
		}
	}
}
