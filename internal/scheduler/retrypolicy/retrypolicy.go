// Package retrypolicy decides what the owner of a task does when an ask has ended without its being
// placed, or a placed task is gone: whether and when it asks again. It is pure.
package retrypolicy

import "time"

// Policy bounds asks and waits.
type Policy struct {
	MinBackoff       time.Duration // mean wait after the first refusal or failure
	MaxBackoff       time.Duration // waits double up to this
	MigrationBackoff time.Duration // mean wait after a move or loss
	UnsafeBackoff    time.Duration // least wait where an attempt may have run and a repeat could do harm
	MaxRetryAfter    time.Duration // longest advice that is honoured
	MaxRequests      int           // asks for one outcome
}

// Cause says why a task is to be asked for again.
type Cause uint8

// The causes.
const (
	Rejected Cause = iota // the ask was refused
	Failed                // the ask failed
	Evicted               // the host evicted it or pushed it out
	Migrated              // the placer stopped it to place it elsewhere
	Lost                  // its host was lost, or sent it away
	Ended                 // it ended by itself and its restart policy wants it back
)

// Retrier is the patience of one task's owner.
type Retrier struct {
	Requests int // since the task was last placed, or at all
	Failures int // refusals and failures since it was last placed
	Deadline time.Duration
}

// Begin starts a wait for an outcome that ends at until.
func (o *Retrier) Begin(until time.Duration) { o.Requests, o.Failures, o.Deadline = 0, 0, until }

// Placed notes that the task is placed.
func (o *Retrier) Placed() { o.Requests, o.Failures = 0, 0 }

// NextRetry returns when to ask again. harm says that an attempt may have run and that a repeat
// could do harm; advice is the RetryAfter of a refusal. random in [0, 1) is jitter. ok is false
// when the owner gives up: its time or its asks are used up.
func (o *Retrier) NextRetry(now time.Duration, cause Cause, harm bool, advice, least time.Duration, p Policy, random float64) (at time.Duration, ok bool) {
	if o.Requests >= p.MaxRequests {
		return 0, false
	}
	var mean time.Duration
	switch cause {
	case Rejected, Failed, Evicted:
		mean = min(p.MinBackoff<<min(o.Failures, 20), p.MaxBackoff)
		o.Failures++
	case Migrated, Lost, Ended:
		mean = p.MigrationBackoff
	}
	// Jitter over half to one and a half: owners that were refused together come back apart.
	wait := time.Duration(float64(mean) * (0.5 + random))
	wait = max(wait, min(advice, p.MaxRetryAfter), least)
	if harm {
		wait = max(wait, p.UnsafeBackoff)
	}
	if now+wait >= o.Deadline {
		return 0, false
	}
	return now + wait, true
}
