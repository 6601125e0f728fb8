package retrypolicy

import (
	"testing"
	"time"
)

// policy is the policy of all tests. With a random value of 0.5 each wait equals its mean.
var policy = Policy{
	MinBackoff: time.Second, MaxBackoff: 4 * time.Second, MigrationBackoff: 100 * time.Millisecond,
	UnsafeBackoff: 3 * time.Second, MaxRetryAfter: 2 * time.Second, MaxRequests: 5,
}

func TestRetrierNextRetryWaits(t *testing.T) {
	const now = 10 * time.Second
	for name, c := range map[string]struct {
		failures int
		event    Event
		want     time.Duration
	}{
		"first rejection":            {0, Event{Cause: Rejected}, time.Second},
		"third failure":              {2, Event{Cause: Failed}, 4 * time.Second},
		"bounded by MaxBackoff":      {10, Event{Cause: Failed}, 4 * time.Second},
		"migrated":                   {3, Event{Cause: Migrated}, 100 * time.Millisecond},
		"lost, may have run":         {0, Event{Cause: Lost, RepeatMayHarm: true}, 3 * time.Second},
		"advice":                     {0, Event{Cause: Lost, RetryAfter: 1500 * time.Millisecond}, 1500 * time.Millisecond},
		"advice above MaxRetryAfter": {0, Event{Cause: Lost, RetryAfter: time.Hour}, 2 * time.Second},
		"restart policy":             {0, Event{Cause: Ended, MinWait: 5 * time.Second}, 5 * time.Second},
		"advice below own wait":      {0, Event{Cause: Rejected, RetryAfter: time.Millisecond}, time.Second},
	} {
		retrier := Retrier{Failures: c.failures, Deadline: 100 * time.Second}
		at, ok := retrier.NextRetry(now, c.event, policy, 0.5)
		if !ok || at != now+c.want {
			t.Errorf("%s: NextRetry(%v, %+v) after %d failures = now + %v, %v; want now + %v, true",
				name, now, c.event, c.failures, at-now, ok, c.want)
		}
	}
}

func TestRetrierNextRetryStopsAtDeadlineOrMaxRequests(t *testing.T) {
	rejected := Event{Cause: Rejected}
	var retrier Retrier
	retrier.Begin(20 * time.Second)
	if _, ok := retrier.NextRetry(19500*time.Millisecond, rejected, policy, 0.5); ok {
		t.Error("NextRetry with a wait that ends after the deadline: got ok = true, want false")
	}
	retrier.Begin(1000 * time.Second)
	retrier.Requests = policy.MaxRequests
	if _, ok := retrier.NextRetry(10*time.Second, rejected, policy, 0.5); ok {
		t.Error("NextRetry after Policy.MaxRequests requests: got ok = true, want false")
	}
	retrier.Placed()
	if _, ok := retrier.NextRetry(10*time.Second, rejected, policy, 0.5); !ok {
		t.Error("NextRetry after Placed has reset the counts: got ok = false, want true")
	}
}
