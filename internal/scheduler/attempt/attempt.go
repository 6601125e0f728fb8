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
	Waiting Phase = iota // chosen and not written: its connection is being made
	Out                  // written and unanswered: it may have started
	Unknown              // given up unanswered, or lost from sight: it may have started, or may yet
	Placed               // the host holds the task
	Silent               // placed, and the connection is down: it may still run
	Never                // known never to have run
	Over                 // it may have run, and is known to run no more
	phases
)

var phaseNames = [phases]string{"Waiting", "Out", "Unknown", "Placed", "Silent", "Never", "Over"}

// String names the phase.
func (p Phase) String() string { return phaseNames[p] }

// Input is what can happen to an attempt.
type Input uint8

// The inputs.
const (
	Written   Input = iota // the offer went to a live connection
	Accepted               // the host says that it holds the task
	Declined               // the host says that it never ran and will not
	Ended                  // the host says that it is over
	Held                   // the host, reconnected, lists it
	Missing                // the host, reconnected in the same life, never saw it
	Broke                  // the connection broke, or could not be made
	Died                   // the host's life ended
	CalledOff              // the placer no longer waits for it
	Lapsed                 // silent for so long that it counts as lost
	Adopted                // another ask has taken over what it started
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
	None      Effect = iota // nothing
	Bind                    // the ask is placed: the module is told Bound
	Full                    // the module is told that the host refused
	NoConnect               // the module is told that no connection was made
	Drop                    // the module is told that the attempt was withdrawn
	Lose                    // the module is told that the reply broke off or the task was lost
	Finish                  // the module is told how the task ended
	Settle                  // an unknown attempt is settled: its owner may act on it
	Stray                   // an attempt that was given up holds its task: adopt or stop it
	Return                  // a silent attempt is back: nothing to tell
	Absurd                  // a host cannot rightly say so: its connection is closed
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
		Written: {Out, None}, Accepted: {Waiting, Absurd}, Declined: {Waiting, Absurd}, Ended: {Waiting, Absurd},
		Held: {Waiting, Absurd}, Missing: {Waiting, None}, Broke: {Never, NoConnect}, Died: {Waiting, None},
		CalledOff: {Never, Drop}, Lapsed: {Waiting, None}, Adopted: {Waiting, None},
	},
	Out: {
		Written: {Out, None}, Accepted: {Placed, Bind}, Declined: {Never, Full}, Ended: {Over, Finish},
		Held: {Placed, Bind}, Missing: {Out, None}, Broke: {Unknown, Lose}, Died: {Over, Lose},
		CalledOff: {Unknown, Drop}, Lapsed: {Out, None}, Adopted: {Out, None},
	},
	Unknown: {
		Written: {Unknown, None}, Accepted: {Unknown, Stray}, Declined: {Never, Settle}, Ended: {Over, Settle},
		Held: {Unknown, Stray}, Missing: {Never, Settle}, Broke: {Unknown, None}, Died: {Over, Settle},
		CalledOff: {Unknown, None}, Lapsed: {Unknown, None}, Adopted: {Over, Settle},
	},
	Placed: {
		Written: {Placed, None}, Accepted: {Placed, None}, Declined: {Placed, Absurd}, Ended: {Over, Finish},
		Held: {Placed, None}, Missing: {Over, Lose}, Broke: {Silent, None}, Died: {Over, Lose},
		CalledOff: {Placed, None}, Lapsed: {Placed, None}, Adopted: {Placed, None},
	},
	Silent: {
		Written: {Silent, None}, Accepted: {Placed, Return}, Declined: {Silent, Absurd}, Ended: {Over, Finish},
		Held: {Placed, Return}, Missing: {Over, Lose}, Broke: {Silent, None}, Died: {Over, Lose},
		CalledOff: {Silent, None}, Lapsed: {Unknown, Lose}, Adopted: {Silent, None},
	},
	Never: {
		Written: {Never, None}, Accepted: {Never, Absurd}, Declined: {Never, None}, Ended: {Never, None},
		Held: {Never, Absurd}, Missing: {Never, None}, Broke: {Never, None}, Died: {Never, None},
		CalledOff: {Never, None}, Lapsed: {Never, None}, Adopted: {Never, None},
	},
	Over: {
		Written: {Over, None}, Accepted: {Over, None}, Declined: {Over, None}, Ended: {Over, None},
		Held: {Over, None}, Missing: {Over, None}, Broke: {Over, None}, Died: {Over, None},
		CalledOff: {Over, None}, Lapsed: {Over, None}, Adopted: {Over, None},
	},
}

// Next is the transition function: the phase that follows and what comes of it.
func Next(p Phase, in Input) (Phase, Effect) {
	s := table[p][in]
	return s.to, s.what
}

// Out says whether an answer to the attempt is awaited.
func (p Phase) Out() bool { return p == Waiting || p == Out }

// Live says whether the attempt has a task on its host as far as its placer goes: it counts
// against the spread.
func (p Phase) Live() bool { return p.Out() || p == Placed || p == Silent }

// MayRun says whether the attempt may have started its task, or may yet.
func (p Phase) MayRun() bool { return p != Waiting && p != Never }

// Settled says whether nothing more can come of the attempt.
func (p Phase) Settled() bool { return p == Never || p == Over }

// Answer is what an ask was answered.
type Answer uint8

// The answers.
const (
	Open   Answer = iota
	Bound         // placed
	Denied        // refused: trying again is harmless
	Gave          // failed: no promise
)

// Host is a host as an ask knows it.
type Host uint32

// Attempt is one offer.
type Attempt struct {
	Host  Host
	Phase Phase
	At    time.Duration // chosen
}

// Rules are what an ask's class and the settings allow.
type Rules struct {
	Effect   forkhead.Effect
	Group    forkhead.Domain
	Window   time.Duration
	Most     int // attempts
	Parallel bool
}

// Ask is one arrival of a task at the module.
type Ask struct {
	Rules    Rules
	Answer   Answer
	Deadline time.Duration
	Attempts []Attempt
}

// Why an offer or an answer is not legal.
var (
	ErrAnswered = errors.New("the ask is answered")
	ErrLate     = errors.New("the ask's deadline has passed")
	ErrMany     = errors.New("all its attempts are used")
	ErrTwoOut   = errors.New("an attempt is out")
	ErrMayRun   = errors.New("an earlier attempt may have run")
	ErrGroup    = errors.New("an earlier attempt may have run outside this host's group")
	ErrWindow   = errors.New("an earlier attempt may have run too long ago")
	ErrPromise  = errors.New("an earlier attempt may have run: a refusal would promise too much")
)

// MayOffer says whether the ask may be offered to a host now. same says whether two hosts are
// in one place.
func (a *Ask) MayOffer(now time.Duration, to Host, same func(p forkhead.Domain, x, y Host) bool) error {
	switch {
	case a.Answer != Open:
		return ErrAnswered
	case now > a.Deadline:
		return ErrLate
	case len(a.Attempts) >= a.Rules.Most:
		return ErrMany
	}
	first := true
	for i := range a.Attempts {
		at := &a.Attempts[i]
		if at.Phase.Out() && !a.Rules.Parallel {
			return ErrTwoOut
		}
		if !at.Phase.MayRun() {
			continue
		}
		switch a.Rules.Effect {
		case forkhead.Unsafe:
			return ErrMayRun
		case forkhead.Keyed:
			if a.Rules.Group != forkhead.AnyDomain && !same(a.Rules.Group, at.Host, to) {
				return ErrGroup
			}
			if first && now >= at.At+a.Rules.Window {
				return ErrWindow
			}
		}
		first = false
	}
	return nil
}

// MayWrite says whether an attempt that waited for its connection may still be written. Guards
// against a wait that outlasts the ask, or the time for which hosts remember its key: found by the
// explorer, where an offer was legal when it was chosen and not any more when it could be sent.
func (a *Ask) MayWrite(now time.Duration, number int) error {
	if a.Answer != Open {
		return ErrAnswered
	}
	if now > a.Deadline {
		return ErrLate
	}
	for i := range a.Attempts {
		if at := &a.Attempts[i]; i != number && at.Phase.MayRun() {
			if a.Rules.Effect == forkhead.Keyed && now >= at.At+a.Rules.Window {
				return ErrWindow
			}
			break // the first that may have run is what hosts remember
		}
	}
	return nil
}

// Offer notes a new attempt, which is Waiting, and returns its number. Check MayOffer first.
func (a *Ask) Offer(now time.Duration, to Host) int {
	a.Attempts = append(a.Attempts, Attempt{Host: to, At: now})
	return len(a.Attempts) - 1
}

// On takes an input for an attempt. A Bind answers an ask that is open.
func (a *Ask) On(number int, in Input) Effect {
	at := &a.Attempts[number]
	next, effect := Next(at.Phase, in)
	at.Phase = next
	if effect == Bind && a.Answer == Open {
		a.Answer = Bound
	}
	return effect
}

// MayAnswer says whether the ask may be ended with a refusal, or else a failure, now.
func (a *Ask) MayAnswer(refuse bool) error {
	if a.Answer != Open {
		return ErrAnswered
	}
	if a.IsOut() {
		return ErrTwoOut
	}
	if refuse && a.MayRun() && !(a.Rules.Effect == forkhead.Safe ||
		a.Rules.Effect == forkhead.Keyed && a.Rules.Group == forkhead.AnyDomain) {
		return ErrPromise
	}
	return nil
}

// End answers the ask. Check MayAnswer first.
func (a *Ask) End(refuse bool) {
	a.Answer = Gave
	if refuse {
		a.Answer = Denied
	}
}

// IsOut says whether an answer to any attempt is awaited.
func (a *Ask) IsOut() bool {
	for i := range a.Attempts {
		if a.Attempts[i].Phase.Out() {
			return true
		}
	}
	return false
}

// MayRun says whether any attempt may have started its task.
func (a *Ask) MayRun() bool {
	for i := range a.Attempts {
		if a.Attempts[i].Phase.MayRun() {
			return true
		}
	}
	return false
}

// Done says whether the ask is answered and all its attempts are settled: it can be forgotten.
func (a *Ask) Done() bool {
	if a.Answer == Open {
		return false
	}
	for i := range a.Attempts {
		if !a.Attempts[i].Phase.Settled() {
			return false
		}
	}
	return true
}

// Table writes the transition function as rows of a page.
func Table() string {
	return statetable.Write(phaseNames[:], inputNames[:], func(in, p int) string {
		s := table[p][in]
		switch {
		case s.to == Phase(p) && s.what == None:
			return ""
		case s.what == None:
			return s.to.String()
		case s.to == Phase(p):
			return "(" + s.what.String() + ")"
		}
		return s.to.String() + " (" + s.what.String() + ")"
	})
}

// Skip notes an attempt that was never sent, so that numbers stay in step with the module's.
func (a *Ask) Skip(now time.Duration, to Host) int {
	a.Attempts = append(a.Attempts, Attempt{Host: to, At: now, Phase: Never})
	return len(a.Attempts) - 1
}
