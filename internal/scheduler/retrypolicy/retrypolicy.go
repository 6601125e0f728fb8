// Package retrypolicy decides what the owner of a task does when a placement request has ended without placing it, or a
// placed task has ended: whether and when it requests the task again. It is pure: no clock, no source of randomness.
package retrypolicy

import "time"

// Policy bounds the number of requests and the waits between them.
type Policy struct {
	MinBackoff       time.Duration // mean wait after the first rejection, failure or eviction
	MaxBackoff       time.Duration // mean waits double up to this
	MigrationBackoff time.Duration // mean wait after a migration, a loss or an end
	UnsafeBackoff    time.Duration // least wait where an attempt may have run and a repeat could do harm
	MaxRetryAfter    time.Duration // longest advice that is honored
	MaxRequests      int           // requests for one outcome
}

// maxDoublings bounds the doublings of MinBackoff: more would overflow, and MaxBackoff is reached well before.
const maxDoublings = 20

// Cause is why a task is to be requested again.
type Cause uint8

// The causes.
const (
	Rejected Cause = iota // the request was rejected
	Failed                // the request failed
	Evicted               // the host evicted or preempted the task
	Migrated              // the placer stopped the task to place it elsewhere
	Lost                  // the task's host was lost, or dismissed it
	Ended                 // the task ended by itself and its restart policy wants it back
)

// Event is what makes an owner request its task again, and what bounds the wait.
type Event struct {
	Cause         Cause
	RepeatMayHarm bool          // an attempt may have run, and a second run of the task could do harm
	RetryAfter    time.Duration // advice of a rejection, honored up to Policy.MaxRetryAfter; 0: none
	MinWait       time.Duration // least wait, such as the delay of the task's restart policy
}

// Retrier decides for the owner of one task whether and when to request it again. Times are those of the caller's clock.
// The zero value has no time left: call Begin first.
type Retrier struct {
	Requests int           // made since the task was last placed, or at all; counted by the caller
	Failures int           // rejections, failures and evictions since it was last placed
	Deadline time.Duration // end of the wait for an outcome
}

// Begin starts a wait for an outcome that ends at a deadline.
func (r *Retrier) Begin(deadline time.Duration) { r.Requests, r.Failures, r.Deadline = 0, 0, deadline }

// Placed resets the counts of requests and failures, since the task is placed.
func (r *Retrier) Placed() { r.Requests, r.Failures = 0, 0 }

// NextRetry returns the time of the next request. random in [0, 1) is jitter. ok is false when the owner retries no more: its
// requests are used up, or the next one would be made at its deadline or after.
func (r *Retrier) NextRetry(now time.Duration, event Event, policy Policy, random float64) (at time.Duration, ok bool) {
	if r.Requests >= policy.MaxRequests {
		return 0, false
	}
	wait := jittered(r.meanBackoff(event.Cause, policy), random)
	wait = max(wait, min(event.RetryAfter, policy.MaxRetryAfter), event.MinWait)
	if event.RepeatMayHarm {
		wait = max(wait, policy.UnsafeBackoff)
	}
	at = now + wait
	if at >= r.Deadline {
		return 0, false
	}
	return at, true
}

// meanBackoff returns the mean wait for a cause. It counts the failure where the cause is one, so that the next wait is
// twice as long.
func (r *Retrier) meanBackoff(cause Cause, policy Policy) time.Duration {
	switch cause {
	case Rejected, Failed, Evicted:
		doublings := min(r.Failures, maxDoublings)
		r.Failures++
		return min(policy.MinBackoff<<doublings, policy.MaxBackoff)
	case Migrated, Lost, Ended:
		return policy.MigrationBackoff
	}
	return 0
}

// jittered spreads a wait over half to one and a half of its mean, so that owners rejected together come back apart.
func jittered(mean time.Duration, random float64) time.Duration {
	return time.Duration(float64(mean) * (0.5 + random))
}
