package attempt

import (
	"errors"
	"time"

	"forkhead"
)

// Answer is how a placement request was answered.
type Answer uint8

// The answers.
const (
	Unanswered       Answer = iota
	AnsweredPlaced          // the task is placed
	AnsweredRejected        // rejected: a retry is harmless
	AnsweredFailed          // failed: it is open what ran
)

// HostID is the number by which the module knows a host.
type HostID uint32

// Attempt is one offer of a task to a host.
type Attempt struct {
	Host     HostID
	Phase    Phase
	ChosenAt time.Duration // when the host was chosen, by the placer's clock
}

// SameDomain reports whether two hosts are in one domain of a level of the topology.
type SameDomain func(level forkhead.Domain, x, y HostID) bool

// Request is a placement request for a task, with all attempts to place it. Attempts are numbered from 0 in the
// order in which the module made them.
type Request struct {
	Rules    Rules
	Answer   Answer
	Deadline time.Duration // nothing is offered or written later, by the placer's clock
	Attempts []Attempt
}

// Reasons why an offer or an answer is not legal. A veto prints the text.
var (
	// ErrAnswered means that the request has its answer.
	ErrAnswered = errors.New("the ask is answered")
	// ErrDeadlinePassed means that the request's deadline has passed.
	ErrDeadlinePassed = errors.New("the ask's deadline has passed")
	// ErrAttemptsExhausted means that the request has had all the attempts that it may have.
	ErrAttemptsExhausted = errors.New("all its attempts are used")
	// ErrAttemptInFlight means that an answer to an earlier attempt is awaited.
	ErrAttemptInFlight = errors.New("an attempt is out")
	// ErrMayHaveRun means that an earlier attempt of an unsafe task may have run.
	ErrMayHaveRun = errors.New("an earlier attempt may have run")
	// ErrOutsideDedupDomain means that an earlier attempt of a keyed task may have run where its key is not shared with
	// the host.
	ErrOutsideDedupDomain = errors.New("an earlier attempt may have run outside this host's group")
	// ErrDedupWindowPassed means that hosts have dropped the key of an attempt that may have run.
	ErrDedupWindowPassed = errors.New("an earlier attempt may have run too long ago")
	// ErrRejectionUnsafe means that a rejection would promise a harmless retry, which an attempt that may have run rules
	// out.
	ErrRejectionUnsafe = errors.New("an earlier attempt may have run: a refusal would promise too much")
)

// MayOffer returns nil if the task may be offered to a host now, else the rule that forbids it: ErrAnswered,
// ErrDeadlinePassed, ErrAttemptsExhausted, ErrAttemptInFlight, ErrMayHaveRun, ErrOutsideDedupDomain or
// ErrDedupWindowPassed.
func (r *Request) MayOffer(now time.Duration, to HostID, same SameDomain) error {
	if err := r.isOpen(now); err != nil {
		return err
	}
	if len(r.Attempts) >= r.Rules.MaxAttempts {
		return ErrAttemptsExhausted
	}
	isOldest := true // of those that may have run: hosts keep a key from the oldest on
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

// MayWrite returns nil if an attempt that waited for its connection may still be written, else ErrAnswered,
// ErrDeadlinePassed or ErrDedupWindowPassed. An offer may be legal when its host is chosen and no longer when it can be
// written: the wait may outlast the request, or the time for which hosts keep the task's key.
func (r *Request) MayWrite(now time.Duration, number int) error {
	if err := r.isOpen(now); err != nil {
		return err
	}
	for i := range r.Attempts {
		earlier := &r.Attempts[i]
		if i == number || !earlier.Phase.MayHaveRun() {
			continue
		}
		// Hosts keep a key from the oldest attempt on that may have run.
		if r.Rules.isKeyExpired(now, earlier) {
			return ErrDedupWindowPassed
		}
		return nil
	}
	return nil
}

// isOpen returns nil, ErrAnswered or ErrDeadlinePassed.
func (r *Request) isOpen(now time.Duration) error {
	switch {
	case r.Answer != Unanswered:
		return ErrAnswered
	case now > r.Deadline:
		return ErrDeadlinePassed
	}
	return nil
}

// AddOffer adds an attempt, which is Waiting, and returns its number. The caller has checked MayOffer.
func (r *Request) AddOffer(now time.Duration, to HostID) int {
	return r.add(Attempt{Host: to, ChosenAt: now, Phase: Waiting})
}

// AddUnsent adds an attempt that is never sent and returns its number, so that numbers stay in step with the module's.
func (r *Request) AddUnsent(now time.Duration, to HostID) int {
	return r.add(Attempt{Host: to, ChosenAt: now, Phase: NeverRan})
}

func (r *Request) add(a Attempt) int {
	r.Attempts = append(r.Attempts, a)
	return len(r.Attempts) - 1
}

// Handle applies an input to an attempt and returns the effect. A host's first acceptance answers a request that is open.
func (r *Request) Handle(number int, in Input) Effect {
	a := &r.Attempts[number]
	next, effect := Transition(a.Phase, in)
	a.Phase = next
	if effect == ReportBound && r.Answer == Unanswered {
		r.Answer = AnsweredPlaced
	}
	return effect
}

// MayAnswer returns nil if the request may be answered now with a rejection, or else with a failure; otherwise
// ErrAnswered, ErrAttemptInFlight or ErrRejectionUnsafe.
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

// Finish answers the request with a rejection, or else with a failure. The caller has checked MayAnswer.
func (r *Request) Finish(reject bool) {
	r.Answer = AnsweredFailed
	if reject {
		r.Answer = AnsweredRejected
	}
}

// HasAttemptInFlight reports whether an answer to any attempt is awaited.
func (r *Request) HasAttemptInFlight() bool {
	for i := range r.Attempts {
		if r.Attempts[i].Phase.IsInFlight() {
			return true
		}
	}
	return false
}

// MayHaveRun reports whether any attempt may have started its task, or may yet.
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
