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
	Cold                  // all placers together do not push a cold host over
	Spread                // no more of a service in one place than its class states
	Fit                   // a host that the task cannot run on: no rule, yet never right
	Rules
)

var names = [Rules]string{"one_answer", "no_repeat", "drain", "cold", "spread", "fit"}

// String names the rule.
func (r Rule) String() string { return names[r] }

// Veto is an action that was not let through.
type Veto struct {
	Rule Rule
	Why  string
}

// Error says which rule and why.
func (v *Veto) Error() string { return v.Rule.String() + ": " + v.Why }

// Host is what an offer's host looks like to this placer.
type Host struct {
	ID      attempt.Host
	State   forkhead.MachineState
	Since   time.Duration // told that it drains or is gone
	Kind    int
	Zone    int
	Cell    int
	Labels  uint64
	Started time.Duration
}

// Same says whether two hosts are in one place.
func Same(p forkhead.Domain, x, y *Host) bool {
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

// Drained says whether nothing new may be sent to a host: it drains or is gone, and the grace since
// that was told is over.
func Drained(now time.Duration, s forkhead.MachineState, since, grace time.Duration) bool {
	return s != forkhead.Ready && now > since+grace
}

// Offer is an offer to be checked.
type Offer struct {
	Ask    *attempt.Ask
	Task   *forkhead.Task
	Class  *forkhead.Class
	To     *Host
	Grace  time.Duration
	Hosts  func(id attempt.Host) *Host // any host that the ask has been offered to
	Others func(yield func(*Host) bool)
}

// MayOffer returns nil or the Veto. Others runs over the hosts of all live attempts of the
// service at this placer.
func MayOffer(now time.Duration, o *Offer) *Veto {
	same := func(p forkhead.Domain, x, y attempt.Host) bool {
		hx, hy := o.Hosts(x), o.Hosts(y)
		return hx != nil && hy != nil && Same(p, hx, hy)
	}
	if err := o.Ask.MayOffer(now, o.To.ID, same); err != nil {
		rule := NoRepeat
		if err == attempt.ErrAnswered || err == attempt.ErrLate || err == attempt.ErrMany {
			rule = OneAnswer
		}
		return &Veto{rule, err.Error()}
	}
	if Drained(now, o.To.State, o.To.Since, o.Grace) {
		return &Veto{Drain, fmt.Sprintf("told %v ago that the host drains or is gone", now-o.To.Since)}
	}
	if o.Class.MachineType >= 0 && o.Class.MachineType != o.To.Kind {
		return &Veto{Fit, "the host is of another kind than the class needs"}
	}
	if missing := o.Task.RequiredLabels &^ o.To.Labels; missing != 0 {
		return &Veto{Fit, "the host does not meet the task's constraints"}
	}
	return Crowded(o)
}

// Crowded returns nil or the Veto for what the offer would add to its service's tasks in one place.
// It is judged when the offer is chosen, and again when one that waited for its connection can be
// written: tasks of an earlier life may have turned up meanwhile.
func Crowded(o *Offer) *Veto {
	limits := o.Task.SpreadLimits
	if o.Class.SpreadDomain != forkhead.AnyDomain && (limits[o.Class.SpreadDomain] == 0 || o.Class.MaxPerDomain < limits[o.Class.SpreadDomain]) {
		limits[o.Class.SpreadDomain] = o.Class.MaxPerDomain
	}
	for place, most := range limits {
		if most == 0 || place == int(forkhead.AnyDomain) {
			continue
		}
		n := 1
		o.Others(func(h *Host) bool {
			if Same(forkhead.Domain(place), h, o.To) {
				n++
			}
			return true
		})
		if n > most {
			return &Veto{Spread, fmt.Sprintf("it would be number %d of its service in one place that takes %d", n, most)}
		}
	}
	return nil
}

// MayAnswer returns nil or the Veto for ending an ask with a refusal or a failure.
func MayAnswer(a *attempt.Ask, refuse bool) *Veto {
	switch err := a.MayAnswer(refuse); err {
	case nil:
		return nil
	case attempt.ErrPromise:
		return &Veto{NoRepeat, err.Error()}
	default:
		return &Veto{OneAnswer, err.Error()}
	}
}
