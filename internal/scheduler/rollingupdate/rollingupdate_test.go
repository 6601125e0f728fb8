package rollingupdate

import (
	"testing"
	"time"

	"forkhead/internal/parse/servicespec"
)

func TestUpdateStatusFollowsFailureAction(t *testing.T) {
	for name, c := range map[string]struct {
		failureAction servicespec.FailureAction
		maxFailed     float64 // MaxFailureRatio of the update policy
		total         int
		succeeded     []bool // for each replacement that has ended: whether it succeeded
		want          Status
	}{
		"no tasks":                   {servicespec.Pause, 0, 0, nil, Complete},
		"not begun":                  {servicespec.Pause, 0, 2, nil, InProgress},
		"one of two":                 {servicespec.Pause, 0, 2, []bool{true}, InProgress},
		"all":                        {servicespec.Pause, 0, 2, []bool{true, true}, Complete},
		"pause":                      {servicespec.Pause, 0, 2, []bool{false}, Paused},
		"pause is final":             {servicespec.Pause, 0, 2, []bool{false, true}, Paused},
		"roll back":                  {servicespec.Rollback, 0, 2, []bool{true, false}, RollingBack},
		"continue":                   {servicespec.Continue, 0, 2, []bool{false}, InProgress},
		"continue to the end":        {servicespec.Continue, 0, 2, []bool{false, false}, Complete},
		"at MaxFailureRatio":         {servicespec.Pause, 0.5, 4, []bool{false, false}, InProgress},
		"above MaxFailureRatio":      {servicespec.Pause, 0.5, 4, []bool{false, false, false}, Paused},
		"at MaxFailureRatio, at end": {servicespec.Rollback, 0.5, 2, []bool{true, false}, Complete},
	} {
		u := New(servicespec.Update{FailureAction: c.failureAction, MaxFailureRatio: c.maxFailed}, c.total)
		failed := 0
		for _, succeeded := range c.succeeded {
			u.Begin()
			u.Done(0, succeeded)
			if !succeeded {
				failed++
			}
		}
		if u.Status() != c.want || u.Failed() != failed {
			t.Errorf("%s: after replacements %v of %d: got status %v, %d failed; want %v, %d",
				name, c.succeeded, c.total, u.Status(), u.Failed(), c.want, failed)
		}
	}
}

func TestUpdateNextReturnsAtMostParallel(t *testing.T) {
	u := New(servicespec.Update{Parallel: 2}, 3)
	checkNext(t, u, 0, 2, 0)
	u.Begin()
	checkNext(t, u, 0, 1, 0)
	u.Begin()
	checkNext(t, u, 0, 0, 0)
	u.Done(0, true)
	checkNext(t, u, 0, 1, 0)
	u.Begin()
	u.Done(0, true)
	checkNext(t, u, 0, 0, 0) // the only task left is being replaced
}

func TestUpdateNextReturnsAllTasksWithoutParallel(t *testing.T) {
	checkNext(t, New(servicespec.Update{}, 3), 0, 3, 0)
}

func TestUpdateNextWaitsForDelay(t *testing.T) {
	const delay = 10 * time.Second
	u := New(servicespec.Update{Parallel: 1, Delay: delay}, 2)
	u.Begin()
	u.Done(time.Second, true)
	checkNext(t, u, 2*time.Second, 0, time.Second+delay)
	checkNext(t, u, time.Second+delay, 1, 0)
}

func TestUpdateNextReturnsZeroWhenPaused(t *testing.T) {
	u := New(servicespec.Update{FailureAction: servicespec.Pause, Delay: time.Second}, 3)
	u.Begin()
	u.Done(0, false)
	checkNext(t, u, 0, 0, 0)
}

// checkNext fails the test unless Next returns the wanted number of replacements and the wanted end of the delay.
func checkNext(t *testing.T, u *Update, now time.Duration, want int, wantAt time.Duration) {
	t.Helper()
	if n, at := u.Next(now); n != want || at != wantAt {
		t.Errorf("Next(%v) = %d, %v; want %d, %v", now, n, at, want, wantAt)
	}
}
