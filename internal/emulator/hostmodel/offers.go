package hostmodel

import (
	"slices"
	"time"

	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/hostsession"
)

// handleOffer queues an offer, or rejects it if the queue is full. It ignores an offer of an attempt that the host
// knows.
func (h *Host) handleOffer(s *session, f hostproto.Offer) {
	if h.state(f.Ref) != hostsession.Absent {
		return
	}
	h.countOfferDuringWarmUp()
	if h.dead {
		return
	}
	t := &task{
		ref: f.Ref, placer: s.placer, spec: f.Spec, offerDeadline: h.now + f.Wait,
		usageBias: h.rng.NormFloat64() * h.cfg.UsageSwing / 2,
	}
	if len(h.queue) >= h.cfg.MaxQueued {
		h.reject(t, hostproto.QueueFull)
		return
	}
	h.tasks[t.ref] = t
	h.queue = append(h.queue, t)
	if len(h.queue) == 1 {
		h.scheduleDecision()
	}
}

// scheduleDecision sets when the first offer of the queue is decided.
func (h *Host) scheduleDecision() {
	h.decisionAt = h.now + time.Duration(float64(h.cfg.DecisionTime)*h.slowdown())
}

// dropQueued removes the matching offers from the queue, so that their tasks never run. It sends nothing: the placer
// learns that the offers are dropped when it queries them.
func (h *Host) dropQueued(matches func(*task) bool) {
	dropsFirst := len(h.queue) > 0 && matches(h.queue[0])
	h.queue = slices.DeleteFunc(h.queue, func(t *task) bool {
		if matches(t) {
			delete(h.tasks, t.ref)
			return true
		}
		return false
	})
	if dropsFirst {
		h.scheduleDecision()
	}
}

// decide accepts or rejects the first offer of the queue.
func (h *Host) decide() {
	if h.crashesAt(DuringDecision) {
		return
	}
	t := h.queue[0]
	h.queue = h.queue[1:]
	if len(h.queue) > 0 {
		h.scheduleDecision()
	}
	if reason := h.admit(t); reason != hostproto.NoReason {
		h.reject(t, reason)
		return
	}
	_, reply := hostsession.Transition(h.state(t.ref), hostsession.Accept)
	t.phase = hostproto.PhaseStarting
	h.starting = append(h.starting, t)
	h.sendReply(t.placer, t.ref, reply, nil)
	h.beginStarts()
}

// admit returns the reason to reject an offer, or NoReason to accept it. It may preempt running tasks of a lower
// priority to make capacity for the offer.
func (h *Host) admit(t *task) hostproto.Reason {
	if h.draining || h.now > t.offerDeadline || h.now < h.rejectUntil[t.spec.Class] || h.hasOtherAttempt(t) {
		return hostproto.Unsuitable
	}
	reason := h.checkCapacity(t)
	if reason != hostproto.NoReason && h.preemptFor(t) {
		return hostproto.NoReason
	}
	return reason
}

// hasOtherAttempt reports whether the host has accepted another attempt of the same task.
func (h *Host) hasOtherAttempt(t *task) bool {
	for _, other := range h.tasks {
		if other != t && other.phase != hostproto.PhaseQueued && other.spec.Key == t.spec.Key {
			return true
		}
	}
	return false
}

// capacity returns the cores and the GiB of memory that the host can still accept, including overcommitment.
func (h *Host) capacity() (cores, memory float64) {
	cores, memory = h.Available()
	return cores + h.cfg.Cores*(h.cfg.CoresOvercommit-1), memory + h.cfg.Memory*(h.cfg.MemoryOvercommit-1)
}

// checkCapacity returns InsufficientCores or InsufficientMemory if the host lacks the capacity for a task, or NoReason.
func (h *Host) checkCapacity(t *task) hostproto.Reason {
	const roundingError = 1e-9 // maximum rounding error of the sums of cores and of the sums of memory
	cores, memory := h.capacity()
	switch {
	case t.cores() > cores+roundingError:
		return hostproto.InsufficientCores
	case t.memory() > memory+roundingError:
		return hostproto.InsufficientMemory
	}
	return hostproto.NoReason
}

// preemptFor ends running tasks of lower priority if this makes enough capacity for a task, and reports whether it has
// done so.
func (h *Host) preemptFor(t *task) bool {
	if !h.cfg.Preemption || t.spec.Priority == 0 {
		return false
	}
	var victims []*task
	cores, memory := h.capacity()
	for _, other := range h.sortedTasks() {
		if cores >= t.cores() && memory >= t.memory() {
			break
		}
		if other.phase == hostproto.PhaseRunning && other.spec.Priority < t.spec.Priority {
			victims = append(victims, other)
			cores, memory = cores+other.cores(), memory+other.memory()
		}
	}
	if cores < t.cores() || memory < t.memory() {
		return false
	}
	for _, victim := range victims {
		h.end(victim, hostproto.Preempted)
	}
	return true
}

// reject records that an offer is rejected and tells its placer.
func (h *Host) reject(t *task, reason hostproto.Reason) {
	f := hostproto.Refused{Ref: t.ref, Reason: reason, Report: h.loadReport()}
	_, reply := hostsession.Transition(hostsession.Queued, hostsession.Reject)
	h.recordOutcome(t, f)
	h.sendReply(t.placer, t.ref, reply, f)
}

// handleWithdrawOrStop handles a Withdraw or a Stop. A queued offer is canceled and never runs. A starting task may
// have had effects, so it ends as stopped, not as canceled. A running task is ended by a Stop but not by a Withdraw.
// The frame is ignored if it is for a queued, starting or running attempt of another placer.
func (h *Host) handleWithdrawOrStop(s *session, ref hostproto.Ref, input hostsession.Input) {
	t := h.tasks[ref]
	if t != nil && t.placer != s.placer {
		return
	}
	next, reply := hostsession.Transition(h.state(ref), input)
	switch {
	case t != nil && next == hostsession.Canceled:
		h.dropQueued(func(other *task) bool { return other == t })
		f := hostproto.Ended{Ref: ref, Result: hostproto.Canceled, Report: h.loadReport()}
		h.recordOutcome(t, f)
		h.sendReply(t.placer, ref, reply, f)
	case t != nil && next == hostsession.Ended:
		h.end(t, hostproto.Stopped)
	default:
		h.sendReply(s.placer, ref, reply, nil)
	}
}

// recordOutcome removes a task and records how its attempt ended, for queries by its placer. It forgets the oldest
// outcome if there are more than maxOutcomes.
func (h *Host) recordOutcome(t *task, f hostproto.Frame) {
	delete(h.tasks, t.ref)
	h.outcomes[t.ref] = f
	h.outcomeOrder = append(h.outcomeOrder, t.ref)
	if len(h.outcomeOrder) > maxOutcomes {
		delete(h.outcomes, h.outcomeOrder[0])
		h.outcomeOrder = h.outcomeOrder[1:]
		h.outcomesForgotten = true
	}
}

// countOfferDuringWarmUp counts an offer if the host is warming up. The host crashes if it has received more offers
// within the slow start's window than the limit that Config defines.
func (h *Host) countOfferDuringWarmUp() {
	if !h.warmingUp() {
		return
	}
	h.recentOffers = append(h.recentOffers, h.now)
	h.recentOffers = slices.DeleteFunc(h.recentOffers, func(at time.Duration) bool { return at <= h.now-h.cfg.SlowStartWindow })
	startsPerSecond := float64(h.cfg.MaxStarting) / h.cfg.StartTime.Seconds() * h.startRate()
	limit := max(h.cfg.SlowStartMaxOffers, h.cfg.SlowStartOverload*startsPerSecond*h.cfg.SlowStartWindow.Seconds())
	if float64(len(h.recentOffers)) > limit {
		h.overloaded = true
		h.Crash()
	}
}

func (h *Host) warmingUp() bool { return h.started > 0 && h.now < h.started+h.cfg.SlowStartDuration }

// startRate returns the current rate of starts as a fraction of the usual rate.
func (h *Host) startRate() float64 {
	if !h.warmingUp() {
		return 1
	}
	initial := h.cfg.SlowStartInitialRate
	return initial + (1-initial)*float64(h.now-h.started)/float64(h.cfg.SlowStartDuration)
}
