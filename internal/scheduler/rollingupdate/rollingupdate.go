// Package rollingupdate decides how a changed service replaces its tasks: how many at a time, when the next ones are
// replaced, and what happens if replacements fail. The package is pure, and only counts tasks.
package rollingupdate

import (
	"time"

	"forkhead/internal/parse/servicespec"
)

// Status is the state of an update.
type Status uint8

// The statuses of an update. All but InProgress are final.
const (
	InProgress  Status = iota // some tasks are being replaced or have yet to be replaced
	Paused                    // the update has stopped for good: tasks that were not replaced stay as they are
	RollingBack               // the caller has to restore the tasks that were replaced
	Complete                  // every replacement has ended
)

// Update is one update of one service. Times are of the caller's clock.
type Update struct {
	policy  servicespec.Update
	total   int           // number of tasks to replace
	started int           // replacements begun
	running int           // replacements begun and not yet ended
	done    int           // replacements that succeeded
	failed  int           // replacements that failed
	nextAt  time.Duration // earliest time of the next replacement
	status  Status
}

// New returns an update by the policy of the service's specification. The parameter total is the number of tasks to
// replace.
func New(policy servicespec.Update, total int) *Update {
	u := &Update{policy: policy, total: total}
	u.updateStatus()
	return u
}

// Status returns the state of the update.
func (u *Update) Status() Status { return u.status }

// Failed returns the number of tasks whose replacement failed.
func (u *Update) Failed() int { return u.failed }

// Next returns the number of replacements that may begin now. If that is 0 because of the delay between batches, the
// result at is the end of the delay; otherwise at is 0.
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

// Done counts the replacement of one task as ended. The delay after a batch starts when its last replacement ends.
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

// updateStatus sets the status from the counts, unless the status is final. If too many replacements have failed and
// the policy is to continue, the update runs to its end.
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
