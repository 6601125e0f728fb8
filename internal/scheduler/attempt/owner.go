package attempt

import (
	"time"

	"forkhead"
)

// What follows is the rest of what decides about attempts: how a host's word is read, and what
// the owner of a task may do while attempts of earlier asks are unknown. The placer's core and
// the explorer both go by it.

// RejectionInput is the input of a host's Refused: the answer to an offer, or to a Query about an
// attempt that the placer has as placed.
func RejectionInput(p Phase) Input {
	if p == Placed || p == Unreachable {
		return NotListedByHost
	}
	return Rejected
}

// RetryIsHarmless says whether a second copy does no harm wherever it starts.
func (r *Rules) RetryIsHarmless() bool {
	return r.Effect == forkhead.Safe || r.Effect == forkhead.Keyed && r.DedupDomain == forkhead.AnyDomain
}

// ShouldAdopt says whether an attempt that was given up, and now shows that it holds its task, is
// taken as the task's placement; else it is stopped. wanted: the owner still waits for the task.
// out: an attempt of the present ask is out.
func ShouldAdopt(wanted, out bool) bool { return wanted && !out }

// MinRequestTime is the least time that an ask is worth making for.
const MinRequestTime = 50 * time.Millisecond

// MayRequest says whether a task may be asked for while attempts of earlier asks are unknown, the
// first of which was made at a time, and for how long at most (0: no limit). A host that started
// one of them remembers its key for the window only, so an ask for a keyed task ends before.
func (r *Rules) MayRequest(now time.Duration, unknown int, first time.Duration) (most time.Duration, ok bool) {
	switch {
	case unknown == 0 || r.Effect == forkhead.Safe:
		return 0, true
	case !r.RetryIsHarmless():
		return 0, false
	}
	left := first + r.DedupWindow - now - MinRequestTime
	return left, left >= MinRequestTime
}

// MustWaitForHosts says whether the first ask of a new life of a placer has to wait until all hosts have
// said what they run, for as long as the owner's wait lasts.
func (r *Rules) MustWaitForHosts(heardAll, waited bool) bool {
	return r.Effect != forkhead.Safe && !heardAll && !waited
}

// RejectionIsHarmless says whether a task that is given up may be told refused: trying again is harmless.
// refused is how its last ask ended; offered says whether any attempt was made.
func (r *Rules) RejectionIsHarmless(refused, offered bool, unknown int) bool {
	return (refused || !offered) && (unknown == 0 || r.RetryIsHarmless())
}

// ExpiresWhenUnreachable says whether a task that is placed on a host out of reach counts as lost after a time.
// All others wait until their fate is known.
func (r *Rules) ExpiresWhenUnreachable() bool { return r.Effect == forkhead.Safe }
