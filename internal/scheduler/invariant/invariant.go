// Package invariant stands between the module's actions and the sockets: it says whether an offer
// or an answer would break one of the five rules. The module keeps them by itself, so a veto is
// a defect; it is counted, logged and never sent.
package invariant

import (
	"fmt"
	"time"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
)

// Rule is the rule that an action would break.
type Rule uint8

// The rules.
const (
	OneAnswer Rule = iota // exactly one of placed, refused, failed, in time
	NoRepeat              // what may have started is sent again only as its class allows
	Drain                 // nothing to a host that drains or is gone, after the grace
	SlowStart             // all placers together do not push a cold host over
	Spread                // no more of a service in one place than its class states
	Fit                   // a host that the task cannot run on: no rule, yet never right
	RuleCount
)

var names = [RuleCount]string{"one_answer", "no_repeat", "drain", "cold", "spread", "fit"}

// String names the rule.
func (r Rule) String() string { return names[r] }

// Violation is an action that was not let through.
type Violation struct {
	Rule   Rule
	Reason string
}

// Error says which rule and why.
func (v *Violation) Error() string { return v.Rule.String() + ": " + v.Reason }

// Host is what an offer's host looks like to this placer.
type Host struct {
	ID            attempt.HostID
	State         forkhead.MachineState
	DrainingSince time.Duration // told that it drains or is gone
	MachineType   int
	Zone          int
	Cell          int
	Labels        uint64
	StartedAt     time.Duration
}

// SameDomain says whether two hosts are in one place.
func SameDomain(p forkhead.Domain, x, y *Host) bool {
	switch p {
	case forkhead.MachineDomain:
		return x.ID == y.ID
	case forkhead.CellDomain:
		return x.Cell == y.Cell
	case forkhead.ZoneDomain:
		return x.Zone == y.Zone
	}
	return true
}

// DrainGraceExpired says whether nothing new may be sent to a host: it drains or is gone, and the grace since
// that was told is over.
func DrainGraceExpired(now time.Duration, s forkhead.MachineState, since, grace time.Duration) bool {
	return s != forkhead.Ready && now > since+grace
}

// Offer is an offer to be checked.
type Offer struct {
	Request *attempt.Request
	Task    *forkhead.Task
	Class   *forkhead.Class
	To      *Host
	DrainGrace   time.Duration
	HostByID   func(id attempt.HostID) *Host // any host that the ask has been offered to
	ServiceHosts  func(yield func(*Host) bool)
}

// CheckOffer returns nil or the Veto. Others runs over the hosts of all live attempts of the
// service at this placer.
func CheckOffer(now time.Duration, o *Offer) *Violation {
	same := func(p forkhead.Domain, x, y attempt.HostID) bool {
		hx, hy := o.HostByID(x), o.HostByID(y)
		return hx != nil && hy != nil && SameDomain(p, hx, hy)
	}
	if err := o.Request.MayOffer(now, o.To.ID, same); err != nil {
		rule := NoRepeat
		if err == attempt.ErrAnswered || err == attempt.ErrDeadlinePassed || err == attempt.ErrAttemptsExhausted {
			rule = OneAnswer
		}
		return &Violation{rule, err.Error()}
	}
	if DrainGraceExpired(now, o.To.State, o.To.DrainingSince, o.DrainGrace) {
		return &Violation{Drain, fmt.Sprintf("told %v ago that the host drains or is gone", now-o.To.DrainingSince)}
	}
	if o.Class.MachineType >= 0 && o.Class.MachineType != o.To.MachineType {
		return &Violation{Fit, "the host is of another kind than the class needs"}
	}
	if missing := o.Task.RequiredLabels &^ o.To.Labels; missing != 0 {
		return &Violation{Fit, "the host does not meet the task's constraints"}
	}
	return CheckSpread(o)
}

// CheckSpread returns nil or the Veto for what the offer would add to its service's tasks in one place.
// It is judged when the offer is chosen, and again when one that waited for its connection can be
// written: tasks of an earlier life may have turned up meanwhile.
func CheckSpread(o *Offer) *Violation {
	limits := o.Task.SpreadLimits
	if o.Class.SpreadDomain != forkhead.AnyDomain && (limits[o.Class.SpreadDomain] == 0 || o.Class.MaxPerDomain < limits[o.Class.SpreadDomain]) {
		limits[o.Class.SpreadDomain] = o.Class.MaxPerDomain
	}
	for place, most := range limits {
		if most == 0 || place == int(forkhead.AnyDomain) {
			continue
		}
		n := 1
		o.ServiceHosts(func(h *Host) bool {
			if SameDomain(forkhead.Domain(place), h, o.To) {
				n++
			}
			return true
		})
		if n > most {
			return &Violation{Spread, fmt.Sprintf("it would be number %d of its service in one place that takes %d", n, most)}
		}
	}
	return nil
}

// CheckAnswer returns nil or the Veto for ending an ask with a refusal or a failure.
func CheckAnswer(a *attempt.Request, refuse bool) *Violation {
	switch err := a.MayAnswer(refuse); err {
	case nil:
		return nil
	case attempt.ErrRejectionUnsafe:
		return &Violation{NoRepeat, err.Error()}
	default:
		return &Violation{OneAnswer, err.Error()}
	}
}
