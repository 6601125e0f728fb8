// Package rollingupdate decides how a changed service replaces its tasks: how many at a time, when the next ones are
// replaced, and what follows when replacements fail. It is pure and knows tasks by their number only.
package rollingupdate

import (
	"time"

	"forkhead/internal/parse/servicespec"
)

// Status is the state of an update.
type Status uint8

// The statuses. All but InProgress are final.
const (
	InProgress  Status = iota // tasks are still to be replaced, or being replaced
	Paused                    // stopped for good: tasks that were not replaced stay as they are
	RollingBack               // the caller restores the tasks that were replaced
	Complete                  // every replacement has ended
)

// Update is one update of one service. Times are those of the caller's clock.
type Update struct {
	policy  servicespec.Update
	total   int // tasks of the update
	started int // replacements begun
	running int // replacements begun and not ended
	done    int // replacements that succeeded
	failed  int // replacements that failed
	nextAt  time.Duration
	status  Status
}

// New returns an update of a number of tasks by the policy of their service's specification.
func New(policy servicespec.Update, total int) *Update {
	u := &Update{policy: policy, total: total}
	u.updateStatus()
	return u
}

// Status returns the state of the update.
func (u *Update) Status() Status { return u.status }

// Failed returns the number of tasks whose replacement failed.
func (u *Update) Failed() int { return u.failed }

// Next returns how many replacements may begin now. If none may since the delay between batches runs, at is its end; else
// at is 0.
func (u *Update) Next(now time.Duration) (n int, at time.Duration) {
	if u.status != InProgress {
		return 0, 0
	}
	if now < u.nextAt {
		return 0, u.nextAt
	}
	n = u.total - u.started
	if u.policy.Parallel > 0 {
		n = min(n, u.policy.Parallel-u.running)
	}
	return max(n, 0), 0
}

// Begin counts the replacement of one task as begun.
func (u *Update) Begin() {
	u.started++
	u.running++
}

// Done counts the replacement of one task as ended. The delay of a batch runs from its last end.
func (u *Update) Done(now time.Duration, succeeded bool) {
	u.running--
	if succeeded {
		u.done++
	} else {
		u.failed++
	}
	if u.policy.Delay > 0 {
		u.nextAt = now + u.policy.Delay
	}
	u.updateStatus()
}

// updateStatus sets the status by the counts, unless it is final. Where too many replacements have failed, a policy that
// continues lets the update run to its end.
func (u *Update) updateStatus() {
	if u.status != InProgress {
		return
	}
	if u.hasFailedTooOften() {
		switch u.policy.FailureAction {
		case servicespec.Pause:
			u.status = Paused
			return
		case servicespec.Rollback:
			u.status = RollingBack
			return
		}
	}
	if u.done+u.failed == u.total {
		u.status = Complete
	}
}

// hasFailedTooOften reports whether more than the permitted fraction of all tasks of the update have failed.
func (u *Update) hasFailedTooOften() bool {
	return u.failed > 0 && float64(u.failed) > u.policy.MaxFailureRatio*float64(u.total)
}
