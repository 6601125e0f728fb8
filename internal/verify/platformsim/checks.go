package platformsim

import (
	"math"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

const (
	slack             = 50 * time.Millisecond          // tolerance that is added to the time limits of the rules
	answerGrace       = 500*time.Millisecond + 2*slack // time from a request's timeout until the request must be answered
	releaseSettleTime = time.Second                    // time from the release of a bound task until the task counts as ended
)

// ---- Checks of messages to hosts.

// checkOffer checks an offer when it is written to a host, and records it as an attempt.
func (p *placer) checkOffer(c *conn, ref string) {
	w := p.w
	w.report.Offers++
	r := w.requests[ref]
	if r == nil {
		w.breach("offer of %s, which no owner requested", ref)
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

// checkStillWanted checks that the owner of a request still waits for an answer and that the request has attempts left.
func (w *world) checkStillWanted(r *request) {
	switch {
	case r.canceled:
		w.breach("offer of %s, which is canceled", r.ref)
	case r.answer != "":
		w.breach("offer of %s, which is already answered", r.ref)
	case len(r.attempts) >= w.Settings.MaxAttempts:
		w.breach("offer is attempt %d of %s, at most %d are allowed", len(r.attempts)+1, r.ref, w.Settings.MaxAttempts)
	}
}

// checkNoRepeat checks that a request may have another attempt on a host, given the earlier attempts and the effect of
// the request's class.
func (w *world) checkNoRepeat(r *request, h *host) {
	class := &w.Settings.Classes[r.class]
	// first is true while no earlier attempt may have run. The deduplication window begins with the first attempt that
	// may have run.
	first := true
	for _, t := range r.attempts {
		if t.mayRun() {
			w.breach("no repeat: two attempts of %s may run at once", r.ref)
		}
		if t.knownNotRun {
			continue
		}
		switch {
		case class.Effect == forkhead.Unsafe:
			w.breach("no repeat: offer of unsafe task %s, which may have run", r.ref)
		case class.Effect == forkhead.Keyed && !w.sameDomain(class.DedupDomain, t.host, h):
			w.breach("no repeat: offer of keyed task %s, which may have run in another group", r.ref)
		case class.Effect == forkhead.Keyed && first && w.now > t.sentAt+class.DedupWindow+slack:
			w.breach("no repeat: offer of keyed task %s, which may have run %v ago, with a deduplication window of %v", r.ref, w.now-t.sentAt, class.DedupWindow)
		}
		first = false
	}
}

// checkDrain checks, when an offer is written, that no more than the drain grace period has passed since the placer was
// notified that the host drains or is down.
func (p *placer) checkDrain(h *host) {
	known, listed := p.hostStates[uint32(h.number)]
	if !listed { // the offer is to an earlier host, whose address this one took before the list says so
		return
	}
	if known.state != platform.InService && p.w.now > known.since+p.w.Settings.DrainGrace+slack {
		p.w.breach("drain: offer to %s, which the placer has known as %s for %v", h.name(), known.state, p.w.now-known.since)
	}
}

// checkSpread checks that the spread limit of a request's class allows one more task of its service in the domain of a
// host.
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
			released := t.releasedAt > 0 && p.w.now >= t.releasedAt+releaseSettleTime
			if t.mayRun() && p.w.sameDomain(class.SpreadDomain, t.host, h) && !released {
				n++
			}
		}
	}
	if n > class.MaxPerDomain {
		p.w.breach("spread: offer of task number %d of service %d in one domain, at most %d are allowed", n, r.service, class.MaxPerDomain)
	}
}

// countsWith reports whether the task of one request counts, as far as the placer knows, for the spread limit of
// another request.
func (p *placer) countsWith(other, r *request) bool {
	return other.placer == p && other.incarnation == r.incarnation && other.service == r.service && other.class == r.class &&
		other.finalMessage == "" && !other.canceled && p.w.now >= other.spreadCountsFrom
}

// ---- Checks of messages to owners.

// checkOwnerMessage checks a message about a request that is sent on a connection: the owner gets one answer and, if the
// answer says that the task is bound, one release later.
func (w *world) checkOwnerMessage(r *request, m *platform.Message, on *ownerConn) {
	switch m.Type {
	case platform.TypeAck, platform.TypeProbeResult:
	case platform.TypeBound:
		w.checkBound(r)
	case platform.TypeMigrate:
		if r.answer != platform.TypeBound {
			w.breach("migrate message for %s, which is not bound", r.ref)
		}
	default:
		w.checkRelease(r, m, on)
	}
}

// checkBound checks an answer that says that the task of a request is bound.
func (w *world) checkBound(r *request) {
	if r.answer != "" {
		w.breach("one answer: %s is answered a second time", r.ref)
		return
	}
	r.answer = platform.TypeBound
	w.report.Placed++
	if r.boundAttempt() == nil {
		w.breach("one answer: %s is answered as bound, but no host has reported that", r.ref)
	}
}

// checkRelease checks the release of a request. If the request has no answer yet, the release is the answer. If its
// connection has ended, the placer cannot tell which connection is its owner's, and the release may come on several, once
// on each.
func (w *world) checkRelease(r *request, m *platform.Message, on *ownerConn) {
	mayBeCopied := on != nil && !r.owner.open && !r.releasedOn[on.id]
	switch {
	case r.answer == platform.TypeRelease, (r.finalMessage != "" || r.releasedOn != nil) && !mayBeCopied:
		w.breach("one answer: %s is released a second time", r.ref)
	case r.answer != "":
		w.recordEndNotice(r, m, on)
	default:
		r.answer, r.finalMessage = m.Type, m.Type
		if m.Cause == platform.CauseRejected || m.Cause == platform.CauseBusy || m.Cause == platform.CauseNotSent {
			w.report.Rejected++
			w.checkNeverRan(r)
		} else {
			w.report.Failed++
		}
	}
}

// recordEndNotice records a release of a bound task. It counts for the owner if it is sent on a connection of that owner.
func (w *world) recordEndNotice(r *request, m *platform.Message, on *ownerConn) {
	if on == nil {
		w.breach("release of %s on a connection that is not open", r.ref)
		return
	}
	if on != r.owner && r.owner.open {
		w.breach("release of %s on another connection than that of its request, which is open", r.ref)
	}
	if r.releasedOn == nil {
		r.releasedOn = map[platformcore.OwnerID]bool{}
	}
	r.releasedOn[on.id] = true
	if on.owner == r.owner.owner && r.finalMessage == "" {
		r.finalMessage = m.Type
		w.report.Ended++
		w.checkNotifiedInTime(r)
	}
}

// checkNeverRan checks a rejection, after which the owner may request the task again: no attempt may have run, unless
// the class allows a repeat on any host.
func (w *world) checkNeverRan(r *request) {
	class := &w.Settings.Classes[r.class]
	if class.Effect != forkhead.Unsafe && (class.Effect != forkhead.Keyed || class.DedupDomain == forkhead.AnyDomain) {
		return
	}
	for _, t := range r.attempts {
		if !t.knownNotRun {
			w.breach("no repeat: %s is rejected, but an attempt may have run", r.ref)
		}
	}
}

// checkAnswered checks that a request is answered if its owner still waits. It is called answerGrace after the timeout.
func (w *world) checkAnswered(r *request) {
	waits := !r.canceled && !r.cancelSent && r.owner.open && r.placer.isRunning(r.incarnation)
	if r.answer == "" && waits {
		w.breach("one answer: %s has none %v after its timeout", r.ref, w.now-r.createdAt-r.timeout)
	}
}

// checkOwnerClosed checks that no request waits for an answer on an owner's connection that the placer closes.
func (p *placer) checkOwnerClosed(o *ownerConn) {
	for _, r := range p.w.requests {
		if r.owner == o && r.answer == "" && r.incarnation == p.incarnation && !r.cancelSent && p.w.now > r.createdAt+slack {
			p.w.breach("one answer: the placer closed the owner's connection before it answered %s", r.ref)
		}
	}
}

// ---- Checks at the end of a run.

// checkEnd checks the state at the end of a run: owners know of each task that has ended, and no host received too many
// offers during a slow start.
func (w *world) checkEnd() {
	for _, r := range w.sortedRequests() {
		if len(w.report.Breaches) == 0 {
			w.checkEndReported(r)
		}
	}
	for _, h := range w.hosts {
		h.checkSlowStart()
	}
}

// checkEndReported checks that the owner of a task that has ended knows of the end. It does not check owners that have
// canceled the task or have been disconnected since its end, nor ends that the placer itself requested.
func (w *world) checkEndReported(r *request) {
	if r.answer != platform.TypeBound || r.finalMessage != "" || r.cancelSent || !r.placer.isRunning(r.incarnation) {
		return
	}
	t := r.boundAttempt()
	if t == nil || !t.ended || t.cause == platform.CauseMigrated {
		return
	}
	again := r.placer.owners[r.owner.owner]
	switch {
	case r.owner.open:
		w.breach("one answer: %s has ended at its host, but its owner still takes it as bound", r.ref)
	case again.open && again.openedAt > 0 && again.openedAt < t.endedAt:
		w.breach("one answer: %s has ended at its host, but its owner, which connected again before, still takes it as bound", r.ref)
	}
}

// checkSlowStart checks the offers that the host received during its last slow start. Several placers share the limit
// without a common counter, so their offers may exceed SlowStartMaxOffers by chance, and the check tolerates some
// excess.
func (h *host) checkSlowStart() {
	w := h.w
	w.report.SlowStartOffers += len(h.slowStartOffers)
	limit := w.Settings.SlowStartMaxOffers + 2*math.Sqrt(w.Settings.SlowStartMaxOffers) + 2
	for i, at := range h.slowStartOffers {
		first, _ := slices.BinarySearch(h.slowStartOffers, at-w.Settings.SlowStartWindow+1)
		if n := float64(i - first + 1); n > limit {
			w.breach("slow start: got %v offers to %s within %v, want at most %.1f (%v plus tolerance)", n, h.name(), w.Settings.SlowStartWindow, limit, w.Settings.SlowStartMaxOffers)
			return
		}
	}
}
