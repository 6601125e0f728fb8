// Package retrypolicy decides what the owner of a task does when an ask has ended without its being
// placed, or a placed task is gone: whether and when it asks again. It is pure.
package retrypolicy

import "time"

// Policy bounds asks and waits.
type Policy struct {
	First         time.Duration // mean wait after the first refusal or failure
	Most          time.Duration // waits double up to this
	Soon          time.Duration // mean wait after a move or loss
	AfterMayRun   time.Duration // least wait where an attempt may have run and a repeat could do harm
	MaxRetryAfter time.Duration // longest advice that is honoured
	Asks          int           // asks for one outcome
}

// Cause says why a task is to be asked for again.
type Cause uint8

// The causes.
const (
	Refused Cause = iota // the ask was refused
	Failed               // the ask failed
	Evicted              // the host evicted it or pushed it out
	Moved                // the placer stopped it to place it elsewhere
	Lost                 // its host was lost, or sent it away
	Ended                // it ended by itself and its restart policy wants it back
)

// Owner is the patience of one task's owner.
type Owner struct {
	Asks     int // since the task was last placed, or at all
	Failures int // refusals and failures since it was last placed
	Until    time.Duration
}

// Begin starts a wait for an outcome that ends at until.
func (o *Owner) Begin(until time.Duration) { o.Asks, o.Failures, o.Until = 0, 0, until }

// Placed notes that the task is placed.
func (o *Owner) Placed() { o.Asks, o.Failures = 0, 0 }

// Again returns when to ask again. harm says that an attempt may have run and that a repeat
// could do harm; advice is the RetryAfter of a refusal. random in [0, 1) is jitter. ok is false
// when the owner gives up: its time or its asks are used up.
func (o *Owner) Again(now time.Duration, cause Cause, harm bool, advice, least time.Duration, p Policy, random float64) (at time.Duration, ok bool) {
	if o.Asks >= p.Asks {
		return 0, false
	}
	var mean time.Duration
	switch cause {
	case Refused, Failed, Evicted:
		mean = min(p.First<<min(o.Failures, 20), p.Most)
		o.Failures++
	case Moved, Lost, Ended:
		mean = p.Soon
	}
	// Jitter over half to one and a half: owners that were refused together come back apart.
	wait := time.Duration(float64(mean) * (0.5 + random))
	wait = max(wait, min(advice, p.MaxRetryAfter), least)
	if harm {
		wait = max(wait, p.AfterMayRun)
	}
	if now+wait >= o.Until {
		return 0, false
	}
	return now + wait, true
}
