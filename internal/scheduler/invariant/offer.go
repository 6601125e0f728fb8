package invariant

import (
	"errors"
	"fmt"
	"iter"
	"time"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
)

// SpreadCheck holds the values of an offer of a task to a host that CheckSpread needs.
type SpreadCheck struct {
	Task         *forkhead.Task
	Class        *forkhead.Class
	To           *Host
	ServiceHosts iter.Seq[*Host] // the hosts of the other live attempts of the service at this placer
}

// Offer holds the values of an offer of a task to a host that CheckOffer needs.
type Offer struct {
	SpreadCheck
	Request    *attempt.Request
	DrainGrace time.Duration                 // time after the notice of a drain in which offers may still be sent
	HostByID   func(id attempt.HostID) *Host // returns a host that the request was offered to; nil if unknown
}

// CheckOffer returns the first violation that sending an offer now would cause, or nil.
func CheckOffer(now time.Duration, o *Offer) *Violation {
	if v := o.checkRequest(now); v != nil {
		return v
	}
	if DrainGraceExpired(now, o.To.State, o.To.DrainingSince, o.DrainGrace) {
		reason := fmt.Sprintf("told %v ago that the host drains or is gone", now-o.To.DrainingSince)
		return &Violation{Rule: Drain, Reason: reason}
	}
	if v := o.checkFit(); v != nil {
		return v
	}
	return CheckSpread(&o.SpreadCheck)
}

// checkRequest checks the rules that depend on the request and its earlier attempts.
func (o *Offer) checkRequest(now time.Duration) *Violation {
	err := o.Request.MayOffer(now, o.To.ID, o.sameDomain)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, attempt.ErrAnswered),
		errors.Is(err, attempt.ErrDeadlinePassed),
		errors.Is(err, attempt.ErrAttemptsExhausted):
		return &Violation{Rule: OneAnswer, Reason: err.Error()}
	}
	return &Violation{Rule: NoRepeat, Reason: err.Error()}
}

// sameDomain is SameDomain for host IDs. A host that is not known shares no domain with any host.
func (o *Offer) sameDomain(level forkhead.Domain, x, y attempt.HostID) bool {
	hostX, hostY := o.HostByID(x), o.HostByID(y)
	return hostX != nil && hostY != nil && SameDomain(level, hostX, hostY)
}

// checkFit checks whether the host's machine type and labels suit the task, whatever the host's load.
func (o *Offer) checkFit() *Violation {
	if o.Class.MachineType >= 0 && o.Class.MachineType != o.To.MachineType {
		return &Violation{Rule: Fit, Reason: "the host is of another kind than the class needs"}
	}
	if missing := o.Task.RequiredLabels &^ o.To.Labels; missing != 0 {
		return &Violation{Rule: Fit, Reason: "the host does not meet the task's constraints"}
	}
	return nil
}

// CheckSpread returns the violation of the spread limits that the offer would cause, or nil. It is called when the host
// is chosen, and again when an offer that waited for its connection can be written, since tasks that an earlier
// incarnation of the placer left running may have been reported in the meantime.
func CheckSpread(s *SpreadCheck) *Violation {
	for level, limit := range s.spreadLimits() {
		if limit == 0 || forkhead.Domain(level) == forkhead.AnyDomain {
			continue
		}
		if n := s.countInDomain(forkhead.Domain(level)) + 1; n > limit {
			reason := fmt.Sprintf("it would be number %d of its service in one place that takes %d", n, limit)
			return &Violation{Rule: Spread, Reason: reason}
		}
	}
	return nil
}

// spreadLimits returns the stricter of the task's and its class's limits for each level of the topology; 0 means no
// limit. A MaxPerDomain of 0 in a class means no limit here, although the module treats it as "never". The parsers of
// both programs reject such a class.
func (s *SpreadCheck) spreadLimits() forkhead.SpreadLimits {
	limits := s.Task.SpreadLimits
	level := s.Class.SpreadDomain
	if level == forkhead.AnyDomain {
		return limits
	}
	if limits[level] == 0 || s.Class.MaxPerDomain < limits[level] {
		limits[level] = s.Class.MaxPerDomain
	}
	return limits
}

// countInDomain returns the number of live attempts of the service in the domain of the offer's host.
func (s *SpreadCheck) countInDomain(level forkhead.Domain) int {
	n := 0
	for host := range s.ServiceHosts {
		if SameDomain(level, host, s.To) {
			n++
		}
	}
	return n
}
