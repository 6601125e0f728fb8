// Package rollingupdate decides how a changed service replaces its tasks: how many at a time, when the
// next ones go, and what follows when some fail. It is pure and knows tasks by their count only.
package rollingupdate

import (
	"time"

	"forkhead/internal/parse/servicespec"
)

// Status is what an update comes to.
type Status uint8

// The verdicts.
const (
	InProgress Status = iota // more is to be done, or under way
	Paused                    // stopped for good: the rest keeps what it has
	RollingBack                  // what was replaced is to be put back
	Complete
)

// Update is one update of one service.
type Update struct {
	by      servicespec.Update
	total   int
	begun   int
	busy    int
	good    int
	failed  int
	nextAt  time.Duration
	verdict Status
}

// New returns an update of so many tasks.
func New(by servicespec.Update, total int) *Update {
	u := &Update{by: by, total: total}
	u.judge()
	return u
}

// Status returns what the update has come to.
func (u *Update) Status() Status { return u.verdict }

// Failed is the number of tasks whose replacement failed.
func (u *Update) Failed() int { return u.failed }

// Next says how many tasks may be replaced now, and if none, when to ask again (0: when a task
// is done).
func (u *Update) Next(now time.Duration) (n int, at time.Duration) {
	if u.verdict != InProgress {
		return 0, 0
	}
	if now < u.nextAt {
		return 0, u.nextAt
	}
	n = u.total - u.begun
	if u.by.Parallel > 0 {
		n = min(n, u.by.Parallel-u.busy)
	}
	return max(n, 0), 0
}

// Begin notes that the replacement of one task has begun.
func (u *Update) Begin() {
	u.begun++
	u.busy++
}

// Done notes how the replacement of one task ended. A batch's delay runs from its last end.
func (u *Update) Done(now time.Duration, well bool) {
	u.busy--
	if well {
		u.good++
	} else {
		u.failed++
	}
	if u.by.Delay > 0 {
		u.nextAt = now + u.by.Delay
	}
	u.judge()
}

func (u *Update) judge() {
	if u.verdict != InProgress {
		return
	}
	// By the specification the ratio is of the tasks of the update; more than it ends the update.
	if u.failed > 0 && float64(u.failed) > u.by.MaxFailed*float64(u.total) {
		switch u.by.OnTrouble {
		case servicespec.Pause:
			u.verdict = Paused
			return
		case servicespec.Rollback:
			u.verdict = RollingBack
			return
		}
	}
	if u.good+u.failed == u.total {
		u.verdict = Complete
	}
}
