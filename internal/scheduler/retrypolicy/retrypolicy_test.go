package retrypolicy

import (
	"testing"
	"time"
)

const s = time.Second

var policy = Policy{MinBackoff: s, MaxBackoff: 4 * s, MigrationBackoff: 100 * time.Millisecond, UnsafeBackoff: 3 * s, MaxRetryAfter: 2 * s, MaxRequests: 5}

func TestWaits(t *testing.T) {
	for name, c := range map[string]struct {
		failures int
		cause    Cause
		harm     bool
		advice   time.Duration
		least    time.Duration
		want     time.Duration
	}{
		"first refusal":        {0, Rejected, false, 0, 0, s},
		"third failure":        {2, Failed, false, 0, 0, 4 * s},
		"bounded":              {10, Failed, false, 0, 0, 4 * s},
		"moved":                {3, Migrated, false, 0, 0, 100 * time.Millisecond},
		"lost, may have run":   {0, Lost, true, 0, 0, 3 * s},
		"advice":               {0, Lost, false, 1500 * time.Millisecond, 0, 1500 * time.Millisecond},
		"too long an advice":   {0, Lost, false, time.Hour, 0, 2 * s},
		"restart policy":       {0, Ended, false, 0, 5 * s, 5 * s},
		"advice below the own": {0, Rejected, false, time.Millisecond, 0, s},
	} {
		o := Retrier{Failures: c.failures, Deadline: 100 * s}
		at, ok := o.NextRetry(10*s, c.cause, c.harm, c.advice, c.least, policy, 0.5)
		if !ok || at != 10*s+c.want {
			t.Errorf("%s: again after %v, %v; want %v", name, at-10*s, ok, c.want)
		}
	}
}

func TestGivesUp(t *testing.T) {
	o := Retrier{}
	o.Begin(20 * s)
	if _, ok := o.NextRetry(19500*time.Millisecond, Rejected, false, 0, 0, policy, 0.5); ok {
		t.Error("asks again past its time")
	}
	o.Begin(1000 * s)
	o.Requests = 5
	if _, ok := o.NextRetry(10*s, Rejected, false, 0, 0, policy, 0.5); ok {
		t.Error("asks more often than its asks")
	}
	o.Placed()
	if _, ok := o.NextRetry(10*s, Rejected, false, 0, 0, policy, 0.5); !ok {
		t.Error("a task that was placed begins anew")
	}
}
