package attempt

import (
	"time"

	"forkhead"
)

// MinRequestTime is the shortest time for which a placement request is made.
const MinRequestTime = 50 * time.Millisecond

// Rules are what a task's class and the settings allow its requests.
type Rules struct {
	Effect      forkhead.Effect
	DedupDomain forkhead.Domain // hosts of one such domain share the keys of keyed tasks
	DedupWindow time.Duration   // hosts keep a key for so long
	MaxAttempts int             // of one request
	Parallel    bool            // attempts of one request may be in flight together
}

// RetryIsHarmless reports whether a second copy of the task does no harm wherever it starts.
func (r *Rules) RetryIsHarmless() bool {
	return r.Effect == forkhead.Safe || r.Effect == forkhead.Keyed && r.DedupDomain == forkhead.AnyDomain
}

// mayRepeat returns nil if the task may be offered to a host although an earlier attempt may have run, else
// ErrMayHaveRun or ErrOutsideDedupDomain.
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

// isKeyExpired reports whether the hosts that may have started an attempt of a keyed task have dropped its key.
func (r *Rules) isKeyExpired(now time.Duration, earlier *Attempt) bool {
	return r.Effect == forkhead.Keyed && now >= earlier.ChosenAt+r.DedupWindow
}

// MayRequest reports whether the owner may request a task while attempts of its earlier requests are unknown, and for
// how long at most (0: no limit). unknown is their number, and the first was made at firstAt. A host that started one of
// them keeps its key for the window only, so a request for a keyed task ends before.
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
// reported what they run. allReported is whether they have, timedOut whether the owner's wait for them is over.
func (r *Rules) MustWaitForHosts(allReported, timedOut bool) bool {
	return r.Effect != forkhead.Safe && !allReported && !timedOut
}

// RejectionIsHarmless reports whether an abandoned task may be answered with a rejection, which means that a
// retry is harmless. rejected is whether its last request was rejected, offered whether any attempt was made, and unknown is
// the number of attempts whose outcome is not known.
func (r *Rules) RejectionIsHarmless(rejected, offered bool, unknown int) bool {
	return (rejected || !offered) && (unknown == 0 || r.RetryIsHarmless())
}

// ExpiresWhenUnreachable reports whether a task on an unreachable host counts as lost after a time. All others wait
// until their outcome is known.
func (r *Rules) ExpiresWhenUnreachable() bool { return r.Effect == forkhead.Safe }

// ShouldAdopt reports whether an abandoned attempt that turns out to have its task becomes the task's
// placement; else it is stopped. wanted is whether the owner still waits for the task, inFlight whether an attempt of the
// present request is in flight.
func ShouldAdopt(wanted, inFlight bool) bool { return wanted && !inFlight }
