// Package attempt holds the states of an ask and of its attempts: one ask is one arrival of a
// task at the module, and an attempt is one offer of it to one host. What may be sent, and what
// may be answered, follows from these states alone. The package is pure: no clock, no socket.
package attempt

import (
	"errors"
	"forkhead/internal/scheduler/statetable"
	"time"

	"forkhead"
)

// Phase is the state of an attempt.
type Phase uint8

// The phases.
const (
	Waiting     Phase = iota // chosen and not written: its connection is being made
	InFlight                 // written and unanswered: it may have started
	Unknown                  // given up unanswered, or lost from sight: it may have started, or may yet
	Placed                   // the host holds the task
	Unreachable              // placed, and the connection is down: it may still run
	NeverRan                 // known never to have run
	Finished                 // it may have run, and is known to run no more
	phases
)

var phaseNames = [phases]string{"Waiting", "Out", "Unknown", "Placed", "Silent", "Never", "Over"}

// String names the phase.
func (p Phase) String() string { return phaseNames[p] }

// Input is what can happen to an attempt.
type Input uint8

// The inputs.
const (
	OfferWritten    Input = iota // the offer went to a live connection
	Accepted                     // the host says that it holds the task
	Rejected                     // the host says that it never ran and will not
	Ended                        // the host says that it is over
	ListedByHost                 // the host, reconnected, lists it
	NotListedByHost              // the host, reconnected in the same life, never saw it
	ConnectionLost               // the connection broke, or could not be made
	HostRestarted                // the host's life ended
	Abandoned                    // the placer no longer waits for it
	Expired                      // silent for so long that it counts as lost
	Adopted                      // another ask has taken over what it started
	inputs
)

var inputNames = [inputs]string{
	"Written", "Accepted", "Declined", "Ended", "Held", "Missing", "Broke", "Died", "CalledOff", "Lapsed", "Adopted",
}

// String names the input.
func (i Input) String() string { return inputNames[i] }

// Effect is what follows from an input beside the new phase.
type Effect uint8

// The effects.
const (
	NoEffect            Effect = iota // nothing
	ReportBound                       // the ask is placed: the module is told Bound
	ReportRejected                    // the module is told that the host refused
	ReportConnectFailed               // the module is told that no connection was made
	ReportWithdrawn                   // the module is told that the attempt was withdrawn
	ReportLost                        // the module is told that the reply broke off or the task was lost
	ReportEnded                       // the module is told how the task ended
	ReportSettled                     // an unknown attempt is settled: its owner may act on it
	Orphaned                          // an attempt that was given up holds its task: adopt or stop it
	Reconnected                       // a silent attempt is back: nothing to tell
	ProtocolViolation                 // a host cannot rightly say so: its connection is closed
	effects
)

var effectNames = [effects]string{
	"-", "Bind", "Full", "NoConnect", "Drop", "Lose", "Finish", "Settle", "Stray", "Return", "Absurd",
}

// String names the effect.
func (e Effect) String() string { return effectNames[e] }

type step struct {
	to   Phase
	what Effect
}

// table is the whole transition function; it has an entry for each phase and input.
var table = [phases][inputs]step{
	Waiting: {
		OfferWritten: {InFlight, NoEffect}, Accepted: {Waiting, ProtocolViolation}, Rejected: {Waiting, ProtocolViolation}, Ended: {Waiting, ProtocolViolation},
		ListedByHost: {Waiting, ProtocolViolation}, NotListedByHost: {Waiting, NoEffect}, ConnectionLost: {NeverRan, ReportConnectFailed}, HostRestarted: {Waiting, NoEffect},
		Abandoned: {NeverRan, ReportWithdrawn}, Expired: {Waiting, NoEffect}, Adopted: {Waiting, NoEffect},
	},
	InFlight: {
		OfferWritten: {InFlight, NoEffect}, Accepted: {Placed, ReportBound}, Rejected: {NeverRan, ReportRejected}, Ended: {Finished, ReportEnded},
		ListedByHost: {Placed, ReportBound}, NotListedByHost: {InFlight, NoEffect}, ConnectionLost: {Unknown, ReportLost}, HostRestarted: {Finished, ReportLost},
		Abandoned: {Unknown, ReportWithdrawn}, Expired: {InFlight, NoEffect}, Adopted: {InFlight, NoEffect},
	},
	Unknown: {
		OfferWritten: {Unknown, NoEffect}, Accepted: {Unknown, Orphaned}, Rejected: {NeverRan, ReportSettled}, Ended: {Finished, ReportSettled},
		ListedByHost: {Unknown, Orphaned}, NotListedByHost: {NeverRan, ReportSettled}, ConnectionLost: {Unknown, NoEffect}, HostRestarted: {Finished, ReportSettled},
		Abandoned: {Unknown, NoEffect}, Expired: {Unknown, NoEffect}, Adopted: {Finished, ReportSettled},
	},
	Placed: {
		OfferWritten: {Placed, NoEffect}, Accepted: {Placed, NoEffect}, Rejected: {Placed, ProtocolViolation}, Ended: {Finished, ReportEnded},
		ListedByHost: {Placed, NoEffect}, NotListedByHost: {Finished, ReportLost}, ConnectionLost: {Unreachable, NoEffect}, HostRestarted: {Finished, ReportLost},
		Abandoned: {Placed, NoEffect}, Expired: {Placed, NoEffect}, Adopted: {Placed, NoEffect},
	},
	Unreachable: {
		OfferWritten: {Unreachable, NoEffect}, Accepted: {Placed, Reconnected}, Rejected: {Unreachable, ProtocolViolation}, Ended: {Finished, ReportEnded},
		ListedByHost: {Placed, Reconnected}, NotListedByHost: {Finished, ReportLost}, ConnectionLost: {Unreachable, NoEffect}, HostRestarted: {Finished, ReportLost},
		Abandoned: {Unreachable, NoEffect}, Expired: {Unknown, ReportLost}, Adopted: {Unreachable, NoEffect},
	},
	NeverRan: {
		OfferWritten: {NeverRan, NoEffect}, Accepted: {NeverRan, ProtocolViolation}, Rejected: {NeverRan, NoEffect}, Ended: {NeverRan, NoEffect},
		ListedByHost: {NeverRan, ProtocolViolation}, NotListedByHost: {NeverRan, NoEffect}, ConnectionLost: {NeverRan, NoEffect}, HostRestarted: {NeverRan, NoEffect},
		Abandoned: {NeverRan, NoEffect}, Expired: {NeverRan, NoEffect}, Adopted: {NeverRan, NoEffect},
	},
	Finished: {
		OfferWritten: {Finished, NoEffect}, Accepted: {Finished, NoEffect}, Rejected: {Finished, NoEffect}, Ended: {Finished, NoEffect},
		ListedByHost: {Finished, NoEffect}, NotListedByHost: {Finished, NoEffect}, ConnectionLost: {Finished, NoEffect}, HostRestarted: {Finished, NoEffect},
		Abandoned: {Finished, NoEffect}, Expired: {Finished, NoEffect}, Adopted: {Finished, NoEffect},
	},
}

// Transition is the transition function: the phase that follows and what comes of it.
func Transition(p Phase, in Input) (Phase, Effect) {
	s := table[p][in]
	return s.to, s.what
}

// IsInFlight says whether an answer to the attempt is awaited.
func (p Phase) IsInFlight() bool { return p == Waiting || p == InFlight }

// IsLive says whether the attempt has a task on its host as far as its placer goes: it counts
// against the spread.
func (p Phase) IsLive() bool { return p.IsInFlight() || p == Placed || p == Unreachable }

// MayHaveRun says whether the attempt may have started its task, or may yet.
func (p Phase) MayHaveRun() bool { return p != Waiting && p != NeverRan }

// IsSettled says whether nothing more can come of the attempt.
func (p Phase) IsSettled() bool { return p == NeverRan || p == Finished }

// Answer is what an ask was answered.
type Answer uint8

// The answers.
const (
	Unanswered       Answer = iota
	AnsweredPlaced          // placed
	AnsweredRejected        // refused: trying again is harmless
	AnsweredFailed          // failed: no promise
)

// HostID is a host as an ask knows it.
type HostID uint32

// Attempt is one offer.
type Attempt struct {
	Host     HostID
	Phase    Phase
	ChosenAt time.Duration // chosen
}

// Rules are what an ask's class and the settings allow.
type Rules struct {
	Effect      forkhead.Effect
	DedupDomain forkhead.Domain
	DedupWindow time.Duration
	MaxAttempts int // attempts
	Parallel    bool
}

// Request is one arrival of a task at the module.
type Request struct {
	Rules    Rules
	Answer   Answer
	Deadline time.Duration
	Attempts []Attempt
}

// Why an offer or an answer is not legal.
var (
	ErrAnswered           = errors.New("the ask is answered")
	ErrDeadlinePassed     = errors.New("the ask's deadline has passed")
	ErrAttemptsExhausted  = errors.New("all its attempts are used")
	ErrAttemptInFlight    = errors.New("an attempt is out")
	ErrMayHaveRun         = errors.New("an earlier attempt may have run")
	ErrOutsideDedupDomain = errors.New("an earlier attempt may have run outside this host's group")
	ErrDedupWindowPassed  = errors.New("an earlier attempt may have run too long ago")
	ErrRejectionUnsafe    = errors.New("an earlier attempt may have run: a refusal would promise too much")
)

// MayOffer says whether the ask may be offered to a host now. same says whether two hosts are
// in one place.
func (a *Request) MayOffer(now time.Duration, to HostID, same func(p forkhead.Domain, x, y HostID) bool) error {
	switch {
	case a.Answer != Unanswered:
		return ErrAnswered
	case now > a.Deadline:
		return ErrDeadlinePassed
	case len(a.Attempts) >= a.Rules.MaxAttempts:
		return ErrAttemptsExhausted
	}
	first := true
	for i := range a.Attempts {
		at := &a.Attempts[i]
		if at.Phase.IsInFlight() && !a.Rules.Parallel {
			return ErrAttemptInFlight
		}
		if !at.Phase.MayHaveRun() {
			continue
		}
		switch a.Rules.Effect {
		case forkhead.Unsafe:
			return ErrMayHaveRun
		case forkhead.Keyed:
			if a.Rules.DedupDomain != forkhead.AnyDomain && !same(a.Rules.DedupDomain, at.Host, to) {
				return ErrOutsideDedupDomain
			}
			if first && now >= at.ChosenAt+a.Rules.DedupWindow {
				return ErrDedupWindowPassed
			}
		}
		first = false
	}
	return nil
}

// MayWrite says whether an attempt that waited for its connection may still be written. Guards
// against a wait that outlasts the ask, or the time for which hosts remember its key: found by the
// explorer, where an offer was legal when it was chosen and not any more when it could be sent.
func (a *Request) MayWrite(now time.Duration, number int) error {
	if a.Answer != Unanswered {
		return ErrAnswered
	}
	if now > a.Deadline {
		return ErrDeadlinePassed
	}
	for i := range a.Attempts {
		if at := &a.Attempts[i]; i != number && at.Phase.MayHaveRun() {
			if a.Rules.Effect == forkhead.Keyed && now >= at.ChosenAt+a.Rules.DedupWindow {
				return ErrDedupWindowPassed
			}
			break // the first that may have run is what hosts remember
		}
	}
	return nil
}

// AddOffer notes a new attempt, which is Waiting, and returns its number. Check MayOffer first.
func (a *Request) AddOffer(now time.Duration, to HostID) int {
	a.Attempts = append(a.Attempts, Attempt{Host: to, ChosenAt: now})
	return len(a.Attempts) - 1
}

// Handle takes an input for an attempt. A Bind answers an ask that is open.
func (a *Request) Handle(number int, in Input) Effect {
	at := &a.Attempts[number]
	next, effect := Transition(at.Phase, in)
	at.Phase = next
	if effect == ReportBound && a.Answer == Unanswered {
		a.Answer = AnsweredPlaced
	}
	return effect
}

// MayAnswer says whether the ask may be ended with a refusal, or else a failure, now.
func (a *Request) MayAnswer(refuse bool) error {
	if a.Answer != Unanswered {
		return ErrAnswered
	}
	if a.HasAttemptInFlight() {
		return ErrAttemptInFlight
	}
	if refuse && a.MayHaveRun() && !(a.Rules.Effect == forkhead.Safe ||
		a.Rules.Effect == forkhead.Keyed && a.Rules.DedupDomain == forkhead.AnyDomain) {
		return ErrRejectionUnsafe
	}
	return nil
}

// Finish answers the ask. Check MayAnswer first.
func (a *Request) Finish(refuse bool) {
	a.Answer = AnsweredFailed
	if refuse {
		a.Answer = AnsweredRejected
	}
}

// HasAttemptInFlight says whether an answer to any attempt is awaited.
func (a *Request) HasAttemptInFlight() bool {
	for i := range a.Attempts {
		if a.Attempts[i].Phase.IsInFlight() {
			return true
		}
	}
	return false
}

// MayHaveRun says whether any attempt may have started its task.
func (a *Request) MayHaveRun() bool {
	for i := range a.Attempts {
		if a.Attempts[i].Phase.MayHaveRun() {
			return true
		}
	}
	return false
}

// IsDone says whether the ask is answered and all its attempts are settled: it can be forgotten.
func (a *Request) IsDone() bool {
	if a.Answer == Unanswered {
		return false
	}
	for i := range a.Attempts {
		if !a.Attempts[i].Phase.IsSettled() {
			return false
		}
	}
	return true
}

// Table writes the transition function as rows of a page.
func Table() string {
	return statetable.Render(phaseNames[:], inputNames[:], func(in, p int) string {
		s := table[p][in]
		switch {
		case s.to == Phase(p) && s.what == NoEffect:
			return ""
		case s.what == NoEffect:
			return s.to.String()
		case s.to == Phase(p):
			return "(" + s.what.String() + ")"
		}
		return s.to.String() + " (" + s.what.String() + ")"
	})
}

// AddUnsent notes an attempt that was never sent, so that numbers stay in step with the module's.
func (a *Request) AddUnsent(now time.Duration, to HostID) int {
	a.Attempts = append(a.Attempts, Attempt{Host: to, ChosenAt: now, Phase: NeverRan})
	return len(a.Attempts) - 1
}
