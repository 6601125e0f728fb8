// Package retrypolicy decides whether and when the owner of a task requests it again, after a placement request has
// ended without placing the task or a placed task has ended. The package is pure: it uses no clock and no source of
// randomness.
package retrypolicy

import "time"

// Policy bounds the number of requests and the waits between them.
type Policy struct {
	MinBackoff       time.Duration // mean wait after the first rejection, failure or eviction
	MaxBackoff       time.Duration // upper bound of these mean waits, which double each time
	MigrationBackoff time.Duration // mean wait after a migration, a loss or the end of a task
	UnsafeBackoff    time.Duration // minimum wait if an attempt may have run and a repeat could do harm
	MaxRetryAfter    time.Duration // upper bound of Event.RetryAfter
	MaxRequests      int           // maximum number of requests for one outcome
}

// maxDoublings bounds the doublings of MinBackoff, since more would overflow. MaxBackoff is reached well before.
const maxDoublings = 20

// Cause is the reason why a task has to be requested again.
type Cause uint8

// The causes of a retry.
const (
	Rejected Cause = iota // the request was rejected
	Failed                // the request failed
	Evicted               // the host evicted or preempted the task
	Migrated              // the placer stopped the task to place it elsewhere
	Lost                  // the task's host was lost or dismissed the task
	Ended                 // the task ended by itself and its restart policy requires a restart
)

// Event is an event after which an owner may request its task again, with the bounds of the wait.
type Event struct {
	Cause         Cause
	RepeatMayHarm bool          // an attempt may have run, and a second run of the task could do harm
	RetryAfter    time.Duration // minimum wait that a rejection asks for, honored up to Policy.MaxRetryAfter; 0: none
	MinWait       time.Duration // minimum wait, such as the delay of the task's restart policy
}

// Retrier decides whether and when the owner of one task requests it again. Times are of the caller's clock. The zero
// value has no time left, so Begin must be called first.
type Retrier struct {
	Requests int           // requests since the last Begin or Placed; counted by the caller
	Failures int           // rejections, failures and evictions since the last Begin or Placed
	Deadline time.Duration // end of the owner's wait for an outcome
}

// Begin starts a wait for an outcome. The wait ends at the deadline.
func (r *Retrier) Begin(deadline time.Duration) { r.Requests, r.Failures, r.Deadline = 0, 0, deadline }

// Placed resets the counts of requests and failures. The caller calls it when the task is placed.
func (r *Retrier) Placed() { r.Requests, r.Failures = 0, 0 }

// NextRetry returns the time of the next request. The parameter random, in [0, 1), determines the jitter of the wait.
// ok is false if the owner must not retry: it has used up its requests, or the next one would be made at its deadline
// or later.
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

// meanBackoff returns the mean wait for a cause. It counts a rejection, failure or eviction, so that the next wait is
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

// jittered returns a wait of 0.5 to 1.5 times the mean, so that owners that were rejected at the same time do not retry
// at the same time.
func jittered(mean time.Duration, random float64) time.Duration {
	return time.Duration(float64(mean) * (0.5 + random))
}
