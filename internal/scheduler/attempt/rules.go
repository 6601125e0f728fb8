package attempt

import (
	"time"

	"forkhead"
)

// MinRequestTime is the shortest time for which a placement request is made.
const MinRequestTime = 50 * time.Millisecond

// Rules hold what a task's class and the settings allow for the task's placement requests.
type Rules struct {
	Effect      forkhead.Effect
	DedupDomain forkhead.Domain // level of the domains whose hosts share the keys of keyed tasks
	DedupWindow time.Duration   // how long hosts keep a key
	MaxAttempts int             // limit for one request
	Parallel    bool            // several attempts of one request may be in flight at once
}

// RetryIsHarmless reports whether a second copy of the task does no harm wherever it starts.
func (r *Rules) RetryIsHarmless() bool {
	return r.Effect == forkhead.Safe || r.Effect == forkhead.Keyed && r.DedupDomain == forkhead.AnyDomain
}

// mayRepeat returns nil if the task may be offered to a host although an earlier attempt may have run. Otherwise it
// returns ErrMayHaveRun or ErrOutsideDedupDomain.
func (r *Rules) mayRepeat(earlier *Attempt, to HostID, same SameDomain) error {
	switch r.Effect {
	case forkhead.Unsafe:
		return ErrMayHaveRun
	case forkhead.Keyed:
		if r.DedupDomain != forkhead.AnyDomain && !same(r.DedupDomain, earlier.Host, to) {
			return ErrOutsideDedupDomain
		}
	}
	return nil
}

// isKeyExpired reports whether the task is keyed and the hosts that may have started an earlier attempt of it have
// dropped its key.
func (r *Rules) isKeyExpired(now time.Duration, earlier *Attempt) bool {
	return r.Effect == forkhead.Keyed && now >= earlier.ChosenAt+r.DedupWindow
}

// MayRequest reports whether the owner may request a task while attempts of its earlier requests are unknown, and how
// long the request may take (0: no limit). The parameter unknown is the number of these attempts, and firstAt the time
// at which the first of them was made. A host that started one of them keeps its key only for the dedup window, so a
// request for a keyed task ends MinRequestTime before the window does.
func (r *Rules) MayRequest(now time.Duration, unknown int, firstAt time.Duration) (limit time.Duration, ok bool) {
	switch {
	case unknown == 0 || r.Effect == forkhead.Safe:
		return 0, true
	case !r.RetryIsHarmless():
		return 0, false
	}
	left := firstAt + r.DedupWindow - now - MinRequestTime
	return left, left >= MinRequestTime
}

// MustWaitForHosts reports whether the first request of a placer's new incarnation has to wait until all hosts have
// reported the tasks that they run. The parameter allReported tells whether they have, timedOut whether the owner's
// wait for the reports is over.
func (r *Rules) MustWaitForHosts(allReported, timedOut bool) bool {
	return r.Effect != forkhead.Safe && !allReported && !timedOut
}

// RejectionIsHarmless reports whether a task may be answered with a rejection, which promises that a retry is harmless.
// The parameter mayHaveRun is the number of attempts that may have run, over all requests for the task, whether their
// end is known or not.
func (r *Rules) RejectionIsHarmless(mayHaveRun int) bool {
	return mayHaveRun == 0 || r.RetryIsHarmless()
}

// AbandonedIsRejected reports whether a task whose owner stops waiting is answered with a rejection rather than a
// failure. The parameter rejected tells whether the last request for the task was rejected, offered whether any attempt
// was made, and mayHaveRun is as in RejectionIsHarmless.
func (r *Rules) AbandonedIsRejected(rejected, offered bool, mayHaveRun int) bool {
	return (rejected || !offered) && r.RejectionIsHarmless(mayHaveRun)
}

// ExpiresWhenUnreachable reports whether a task counts as lost once its host has been unreachable for the time that the
// caller sets. Other tasks wait until their outcome is known.
func (r *Rules) ExpiresWhenUnreachable() bool { return r.Effect == forkhead.Safe }

// ShouldAdopt reports whether an abandoned attempt whose host turns out to hold the task becomes the task's placement;
// otherwise the task is stopped there. The parameter wanted tells whether the owner still waits for the task, inFlight
// whether an attempt of the current request is in flight.
func ShouldAdopt(wanted, inFlight bool) bool { return wanted && !inFlight }
