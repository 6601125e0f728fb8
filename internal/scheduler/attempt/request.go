package attempt

import (
	"errors"
	"time"

	"forkhead"
)

// Answer is how a placement request was answered.
type Answer uint8

// The answers to a placement request.
const (
	Unanswered       Answer = iota
	AnsweredPlaced          // the task is placed
	AnsweredRejected        // the request was rejected: a retry is harmless
	AnsweredFailed          // the request failed: which attempts ran is not known
)

// HostID is the number that identifies a host in the module.
type HostID uint32

// Attempt is one offer of a task to a host.
type Attempt struct {
	Host     HostID
	Phase    Phase
	ChosenAt time.Duration // when the host was chosen, by the placer's clock
}

// SameDomain reports whether two hosts are in the same domain of a level of the topology.
type SameDomain func(level forkhead.Domain, x, y HostID) bool

// Request is a placement request for a task, with all attempts to place it. Attempts are numbered from 0 in the
// order in which the module made them.
type Request struct {
	Rules    Rules
	Answer   Answer
	Deadline time.Duration // last time to offer or write anything, by the placer's clock
	Attempts []Attempt
}

// Errors for an offer or an answer that is not allowed. Vetoes log their texts, in which "ask" means a placement
// request.
var (
	// ErrAnswered means that the request is already answered.
	ErrAnswered = errors.New("the ask is answered")
	// ErrDeadlinePassed means that the request's deadline has passed.
	ErrDeadlinePassed = errors.New("the ask's deadline has passed")
	// ErrAttemptsExhausted means that the request has used the attempts that its rules allow.
	ErrAttemptsExhausted = errors.New("all its attempts are used")
	// ErrAttemptInFlight means that an attempt of the request is in flight.
	ErrAttemptInFlight = errors.New("an attempt is out")
	// ErrMayHaveRun means that an earlier attempt of an unsafe task may have run.
	ErrMayHaveRun = errors.New("an earlier attempt may have run")
	// ErrOutsideDedupDomain means that an earlier attempt of a keyed task may have run on a host that does not share
	// the task's key with the host of the offer.
	ErrOutsideDedupDomain = errors.New("an earlier attempt may have run outside this host's group")
	// ErrDedupWindowPassed means that hosts have dropped the key of an earlier attempt that may have run.
	ErrDedupWindowPassed = errors.New("an earlier attempt may have run too long ago")
	// ErrRejectionUnsafe means that the request cannot be rejected: a rejection promises that a retry is harmless, but
	// a retry may do harm, since an attempt may have run.
	ErrRejectionUnsafe = errors.New("an earlier attempt may have run: a refusal would promise too much")
)

// MayOffer returns nil if the task may be offered to a host now. Otherwise it returns the error of the rule that
// forbids it: ErrAnswered, ErrDeadlinePassed, ErrAttemptsExhausted, ErrAttemptInFlight, ErrMayHaveRun,
// ErrOutsideDedupDomain or ErrDedupWindowPassed.
func (r *Request) MayOffer(now time.Duration, to HostID, same SameDomain) error {
	if err := r.checkOpen(now); err != nil {
		return err
	}
	if len(r.Attempts) >= r.Rules.MaxAttempts {
		return ErrAttemptsExhausted
	}
	// Hosts keep a task's key for DedupWindow, counted from the oldest attempt that may have run. isOldest is true
	// until that attempt has been checked.
	isOldest := true
	for i := range r.Attempts {
		earlier := &r.Attempts[i]
		if earlier.Phase.IsInFlight() && !r.Rules.Parallel {
			return ErrAttemptInFlight
		}
		if !earlier.Phase.MayHaveRun() {
			continue
		}
		if err := r.Rules.mayRepeat(earlier, to, same); err != nil {
			return err
		}
		if isOldest && r.Rules.isKeyExpired(now, earlier) {
			return ErrDedupWindowPassed
		}
		isOldest = false
	}
	return nil
}

// MayWrite returns nil if the offer of an attempt that waited for its connection may still be written. Otherwise it
// returns ErrAnswered, ErrDeadlinePassed or ErrDedupWindowPassed. An offer that was allowed when its host was chosen
// may be forbidden when it can be written: the wait may outlast the request, or the time for which hosts keep the
// task's key.
func (r *Request) MayWrite(now time.Duration, number int) error {
	if err := r.checkOpen(now); err != nil {
		return err
	}
	for i := range r.Attempts {
		earlier := &r.Attempts[i]
		if i == number || !earlier.Phase.MayHaveRun() {
			continue
		}
		// This is the oldest attempt that may have run. Hosts keep the task's key for DedupWindow, counted from it.
		if r.Rules.isKeyExpired(now, earlier) {
			return ErrDedupWindowPassed
		}
		return nil
	}
	return nil
}

// checkOpen returns nil if the request is open, or ErrAnswered or ErrDeadlinePassed.
func (r *Request) checkOpen(now time.Duration) error {
	switch {
	case r.Answer != Unanswered:
		return ErrAnswered
	case now > r.Deadline:
		return ErrDeadlinePassed
	}
	return nil
}

// AddOffer adds an attempt in phase Waiting and returns its number. The caller must have checked MayOffer.
func (r *Request) AddOffer(now time.Duration, to HostID) int {
	return r.add(Attempt{Host: to, ChosenAt: now, Phase: Waiting})
}

// AddUnsent adds an attempt that is never sent and returns its number. It keeps the numbers of attempts equal to the
// module's.
func (r *Request) AddUnsent(now time.Duration, to HostID) int {
	return r.add(Attempt{Host: to, ChosenAt: now, Phase: NeverRan})
}

func (r *Request) add(a Attempt) int {
	r.Attempts = append(r.Attempts, a)
	return len(r.Attempts) - 1
}

// Handle applies an input to an attempt and returns the effect. The first acceptance by a host answers an open request.
func (r *Request) Handle(number int, in Input) Effect {
	a := &r.Attempts[number]
	next, effect := Transition(a.Phase, in)
	a.Phase = next
	if effect == ReportBound && r.Answer == Unanswered {
		r.Answer = AnsweredPlaced
	}
	return effect
}

// MayAnswer returns nil if the request may be answered now, with a rejection if reject is true and with a failure
// otherwise. If it may not, MayAnswer returns ErrAnswered, ErrAttemptInFlight or ErrRejectionUnsafe.
func (r *Request) MayAnswer(reject bool) error {
	switch {
	case r.Answer != Unanswered:
		return ErrAnswered
	case r.HasAttemptInFlight():
		return ErrAttemptInFlight
	case reject && r.MayHaveRun() && !r.Rules.RetryIsHarmless():
		return ErrRejectionUnsafe
	}
	return nil
}

// Finish answers the request, with a rejection if reject is true and with a failure otherwise. The caller must have
// checked MayAnswer.
func (r *Request) Finish(reject bool) {
	r.Answer = AnsweredFailed
	if reject {
		r.Answer = AnsweredRejected
	}
}

// HasAttemptInFlight reports whether any attempt awaits an answer.
func (r *Request) HasAttemptInFlight() bool {
	for i := range r.Attempts {
		if r.Attempts[i].Phase.IsInFlight() {
			return true
		}
	}
	return false
}

// MayHaveRun reports whether any attempt may have started its task, or may still start it.
func (r *Request) MayHaveRun() bool {
	for i := range r.Attempts {
		if r.Attempts[i].Phase.MayHaveRun() {
			return true
		}
	}
	return false
}

// IsDone reports whether the request is answered and all its attempts are settled, so that it can be removed.
func (r *Request) IsDone() bool {
	if r.Answer == Unanswered {
		return false
	}
	for i := range r.Attempts {
		if !r.Attempts[i].Phase.IsSettled() {
			return false
		}
	}
	return true
}
