package platformsim

import (
	"math"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

const (
	slack         = 50 * time.Millisecond          // that placers have beyond what the rules give them
	answerGrace   = 500*time.Millisecond + 2*slack // after a request's timeout, until it must be answered
	releaseCounts = time.Second                    // after a placer ended a task, which then counts as ended
)

// ---- What placers write to hosts.

// checkOffer checks an offer as it is written to a host, and notes it as an attempt.
func (p *placer) checkOffer(c *conn, ref string) {
	w := p.w
	w.report.Offers++
	r := w.requests[ref]
	if r == nil {
		w.breach("an offer of %s, which nobody asked for", ref)
		return
	}
	w.checkStillWanted(r)
	w.checkNoRepeat(r, c.host)
	p.checkDrain(c.host)
	p.checkSpread(r, c.host)
	t := &attempt{request: r, host: c.host, conn: c, sentAt: w.now}
	r.attempts = append(r.attempts, t)
	c.attempts = append(c.attempts, t)
}

// checkStillWanted checks that the owner waits for an answer, and that attempts are left.
func (w *world) checkStillWanted(r *request) {
	switch {
	case r.canceled:
		w.breach("an offer of %s for an owner that has left", r.ref)
	case r.answer != "":
		w.breach("an offer of %s, which is answered", r.ref)
	case len(r.attempts) >= w.Settings.MaxAttempts:
		w.breach("attempt %d of %s", len(r.attempts)+1, r.ref)
	}
}

// checkNoRepeat checks that no earlier attempt forbids one on a host, by the effect of the class.
func (w *world) checkNoRepeat(r *request, h *host) {
	class := &w.Settings.Classes[r.class]
	first := true // of those that may have run, which begins the deduplication window
	for _, t := range r.attempts {
		if t.mayRun() {
			w.breach("no repeat: two attempts of %s are out", r.ref)
		}
		if t.knownNotRun {
			continue
		}
		switch {
		case class.Effect == forkhead.Unsafe:
			w.breach("no repeat: %s may have run", r.ref)
		case class.Effect == forkhead.Keyed && !w.sameDomain(class.DedupDomain, t.host, h):
			w.breach("no repeat: %s may have run in another group", r.ref)
		case class.Effect == forkhead.Keyed && first && w.now > t.sentAt+class.DedupWindow+slack:
			w.breach("no repeat: %s may have run %v ago", r.ref, w.now-t.sentAt)
		}
		first = false
	}
}

// checkDrain checks that the placer doesn't know for long that a host drains or is down.
func (p *placer) checkDrain(h *host) {
	known := p.hostStates[uint32(h.number)]
	if known.state != platform.InService && p.w.now > known.since+p.w.Settings.DrainGrace+slack {
		p.w.breach("drain: an offer to %s, told %s %v ago", h.name(), known.state, p.w.now-known.since)
	}
}

// checkSpread checks that one more task of a service may run in a host's domain.
func (p *placer) checkSpread(r *request, h *host) {
	class := &p.w.Settings.Classes[r.class]
	if class.SpreadDomain == forkhead.AnyDomain {
		return
	}
	n := 1
	for _, other := range p.w.requests {
		if !p.countsWith(other, r) {
			continue
		}
		for _, t := range other.attempts {
			released := t.releasedAt > 0 && p.w.now >= t.releasedAt+releaseCounts
			if t.mayRun() && p.w.sameDomain(class.SpreadDomain, t.host, h) && !released {
				n++
			}
		}
	}
	if n > class.MaxPerDomain {
		p.w.breach("spread: number %d of service %d of at most %d", n, r.service, class.MaxPerDomain)
	}
}

// countsWith reports whether a request counts for the spread limit of another, as far as the placer knows.
func (p *placer) countsWith(other, r *request) bool {
	return other.placer == p && other.incarnation == r.incarnation && other.service == r.service && other.class == r.class &&
		other.final == "" && !other.canceled && p.w.now >= other.countsFrom
}

// ---- What placers write to owners.

// checkOwnerMessage checks what the owner of a request is sent: one answer, and one release after it.
func (w *world) checkOwnerMessage(r *request, m *platform.Message) {
	switch m.Type {
	case platform.TypeAck, platform.TypeProbeResult:
	case platform.TypeBound:
		w.checkBound(r)
	case platform.TypeMigrate:
		if r.answer != platform.TypeBound {
			w.breach("%s is moved and does not stand", r.ref)
		}
	default:
		w.checkRelease(r, m)
	}
}

// checkBound checks the answer that a task is bound.
func (w *world) checkBound(r *request) {
	if r.answer != "" {
		w.breach("one answer: %s is answered a second time", r.ref)
		return
	}
	r.answer = platform.TypeBound
	w.report.Placed++
	if r.boundAttempt() == nil {
		w.breach("one answer: %s is said to stand by no host's word", r.ref)
	}
}

// checkRelease checks the release of a request, which is its answer if the task was never bound.
func (w *world) checkRelease(r *request, m *platform.Message) {
	switch {
	case r.final != "" || r.answer == platform.TypeRelease:
		w.breach("one answer: %s is released a second time", r.ref)
	case r.answer != "":
		r.final = m.Type
		w.report.Ended++
	default:
		r.answer, r.final = m.Type, m.Type
		if m.Cause == platform.CauseRejected || m.Cause == platform.CauseBusy || m.Cause == platform.CauseNotSent {
			w.report.Rejected++
			w.checkNeverRan(r)
		} else {
			w.report.Failed++
		}
	}
}

// checkNeverRan checks a refusal, after which the owner may request the task again: no attempt may have run, unless a repeat
// is harmless wherever it runs.
func (w *world) checkNeverRan(r *request) {
	class := &w.Settings.Classes[r.class]
	if class.Effect != forkhead.Unsafe && (class.Effect != forkhead.Keyed || class.DedupDomain == forkhead.AnyDomain) {
		return
	}
	for _, t := range r.attempts {
		if !t.knownNotRun {
			w.breach("no repeat: %s is refused and may have run", r.ref)
		}
	}
}

// checkAnswered checks that a request whose time is over has an answer, if its owner still waits for it.
func (w *world) checkAnswered(r *request) {
	waits := !r.canceled && !r.cancelSent && r.owner.open && r.placer.runs(r.incarnation)
	if r.answer == "" && waits {
		w.breach("one answer: %s has none %v after its time", r.ref, w.now-r.createdAt-r.timeout)
	}
}

// checkOwnerClosed checks that nobody waited for an answer on a connection that the placer closes.
func (p *placer) checkOwnerClosed(o *ownerConn) {
	for _, r := range p.w.requests {
		if r.owner == o && r.answer == "" && r.incarnation == p.incarnation && !r.cancelSent && p.w.now > r.createdAt+slack {
			p.w.breach("one answer: the connection of %s is closed", r.ref)
		}
	}
}

// ---- What is left at the end.

// checkEnd checks what is left when a run is over: no owner takes a task for bound that has ended, and no host had too many
// offers during a slow start.
func (w *world) checkEnd() {
	for _, r := range w.sortedRequests() {
		if len(w.report.Breaches) == 0 {
			w.checkEndKnown(r)
		}
	}
	for _, h := range w.hosts {
		h.checkSlowStart()
	}
}

// checkEndKnown checks that an owner who still follows its task knows that it has ended.
func (w *world) checkEndKnown(r *request) {
	if r.answer != platform.TypeBound || r.final != "" || r.cancelSent || !r.owner.open {
		return
	}
	t := r.boundAttempt()
	if t != nil && t.ended && t.cause != platform.CauseMigrated && r.placer.core != nil {
		w.breach("one answer: %s is over at its host and its owner takes it for standing", r.ref)
	}
}

// checkSlowStart checks the offers that came to the host during its last slow start. Several placers share the bound without
// a common count, so that by chance a few more may come.
func (h *host) checkSlowStart() {
	w := h.w
	w.report.SlowStartOffers += len(h.slowStartOffers)
	bound := w.Settings.SlowStartMaxOffers + 2*math.Sqrt(w.Settings.SlowStartMaxOffers) + 2
	for i, at := range h.slowStartOffers {
		first, _ := slices.BinarySearch(h.slowStartOffers, at-w.Settings.SlowStartWindow+1)
		if n := float64(i - first + 1); n > bound {
			w.breach("cold: %v offers to %s in a window that bears %v", n, h.name(), w.Settings.SlowStartMaxOffers)
			return
		}
	}
}
