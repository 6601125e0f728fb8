package platform

import (
	"log/slog"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/invariant"
)

// taskAttempt is an attempt to place a task on a host. It lasts from the module's Offer to its Outcome.
type taskAttempt struct {
	request      *request
	number       int // index among the attempts of its request
	host         *host
	connection   *hostConnection // connection on which its offer is queued or in flight; nil: none
	sentAt       time.Duration   // time at which the offer was sent, or created if it is still queued
	offeredOn    ConnectionID    // connection on which the offer was sent; 0: it was not sent
	carriage     *carriage       // of the connection on which the offer was sent; nil: it was not sent here
	hasNotes     bool            // the host has sent notes on the task, so it runs the task even if it has not answered the offer
	stop         stopMessageSent // the latest stop of the task
	mayNotStop   bool            // withdrawing is not allowed, and no answer shows that the host runs the task
	stopDeadline time.Duration   // time at which the owner's or module's stop is over even if the host has not answered
	endedAt      time.Duration   // time of an unconfirmed end

	countsAsEnding bool // the attempt is counted in host.ending
}

// attemptKey identifies an attempt on the wire. Attempts of one request on one host share a key.
type attemptKey struct {
	host forkhead.MachineID
	ref  requestRef
}

func (a *taskAttempt) key() attemptKey      { return attemptKey{a.host.id, a.request.ref} }
func (a *taskAttempt) phase() attempt.Phase { return a.request.lifecycle.Attempts[a.number].Phase }
func (a *taskAttempt) isPlaced() bool       { return a.phase() == attempt.Placed }
func (a *taskAttempt) isInFlight() bool     { return a.phase() == attempt.InFlight }

// executeOffer executes the module's Offer if the invariants allow it. If they do not, the attempt ends with the result
// NotSent.
func (c *Core) executeOffer(action forkhead.Offer) {
	r := c.requests[action.Task]
	if r == nil {
		c.logViolation(messageUnknownTask, taskAttr(action.Task))
		return
	}
	h := c.hosts[action.Machine]
	if r.phase != requestOpen || h == nil || h.address == "" {
		c.skipOffer(r, action.Machine)
		return
	}
	if violation := c.checkOffer(r, h); violation != nil {
		c.logViolation(messageOfferVetoed, taskAttr(r.id), hostAttr(h.name), errorAttr(violation))
		c.skipOffer(r, action.Machine)
		return
	}
	a := c.startAttempt(r, h)
	if action.Timeout > 0 && action.Timeout < r.untilDeadline(c.now) {
		c.addDeadline(c.now+action.Timeout, r.id)
	}
	c.assignConnection(a)
}

// checkOffer returns the violation of an invariant that offering a request to a host would cause, or nil.
func (c *Core) checkOffer(r *request, h *host) *invariant.Violation {
	return invariant.CheckOffer(c.now, &invariant.Offer{
		SpreadCheck: c.spreadCheck(r, h, nil),
		Request:     &r.lifecycle,
		DrainGrace:  c.settings.DrainGrace,
		HostByID:    c.hostForInvariants,
	})
}

// spreadCheck returns the input for checking an offer of a request to a host against the spread limits. The attempt
// given as the parameter sending, which may be nil, does not count against the limits.
func (c *Core) spreadCheck(r *request, h *host, sending *taskAttempt) invariant.SpreadCheck {
	return invariant.SpreadCheck{
		Task:         &r.task,
		Class:        r.class,
		To:           h.forInvariants(),
		ServiceHosts: c.attemptsByService.Hosts(r.task.Service, sending),
	}
}

func (c *Core) hostForInvariants(id attempt.HostID) *invariant.Host {
	if h := c.hosts[forkhead.MachineID(id)]; h != nil {
		return h.forInvariants()
	}
	return nil
}

// exceedsSpread reports whether sending the offer of an attempt now would violate a spread limit.
func (c *Core) exceedsSpread(a *taskAttempt) bool {
	check := c.spreadCheck(a.request, a.host, a)
	return invariant.CheckSpread(&check) != nil
}

// InvariantHost returns the attempt's host in the form that the invariants check.
func (a *taskAttempt) InvariantHost() *invariant.Host { return a.host.forInvariants() }

// skipOffer records an attempt that was never started, so that attempt numbers agree with those of the module.
func (c *Core) skipOffer(r *request, machine forkhead.MachineID) {
	r.lifecycle.AddUnsent(c.now, attempt.HostID(machine))
	r.attempts = append(r.attempts, nil)
	c.notifyModule(forkhead.Outcome{
		Task: r.id, Attempt: len(r.attempts) - 1, Machine: machine, Result: forkhead.NotSent, Final: r.phase != requestOpen,
	})
}

func (c *Core) startAttempt(r *request, h *host) *taskAttempt {
	a := &taskAttempt{request: r, number: r.lifecycle.AddOffer(c.now, attempt.HostID(h.id)), host: h, sentAt: c.now}
	c.addAttempt(a)
	return a
}

// addAttempt registers a live attempt with its request, its host and its service.
func (c *Core) addAttempt(a *taskAttempt) {
	r := a.request
	r.attempts = append(r.attempts, a)
	if earlier := a.host.unconfirmed[r.ref]; earlier != nil {
		c.confirmEnd(earlier, reasonOfferedAgain) // the host runs at most one task under a ref, which the new attempt counts
	}
	a.host.addAttempt(a)
	c.attemptsByService.Add(r.task.Service, a)
}

// removeAttempt removes a live attempt from the indexes of its host and its service.
func (c *Core) removeAttempt(a *taskAttempt) {
	a.host.removeAttempt(a)
	c.attemptsByService.Remove(a.request.task.Service, a)
}

// sendOffer sends the offer of an attempt on its connection, which is open. An offer that has become invalid while it
// was queued is not sent.
func (c *Core) sendOffer(a *taskAttempt) {
	r := a.request
	if !c.mayStillSend(a) {
		c.endAttempt(a, attemptEnd{input: attempt.Abandoned, result: forkhead.NotSent, final: r.phase != requestOpen})
		return
	}
	a.sentAt, a.offeredOn, a.carriage = c.now, a.connection.id, a.connection.carriage
	a.connection.inFlight++
	a.connection.lastSentAt = c.now
	r.lifecycle.Handle(a.number, attempt.OfferWritten)
	c.emit(SendToHost{Connection: a.connection.id, Line: offerMessage(r, r.untilDeadline(c.now))})
}

// mayStillSend reports whether a queued offer may still be sent. While it was queued, its owner may have disconnected,
// its host may have begun to drain, and tasks of its service may have been handed over.
func (c *Core) mayStillSend(a *taskAttempt) bool {
	r := a.request
	return r.phase == requestOpen && r.lifecycle.MayWrite(c.now, a.number) == nil && !c.exceedsSpread(a) &&
		!invariant.DrainGraceExpired(c.now, a.host.entry.State, a.host.drainingSince, c.settings.DrainGrace)
}

// attemptEnd describes how an attempt ends.
type attemptEnd struct {
	input  attempt.Input // input to the attempt's state machine
	result forkhead.Result
	reason forkhead.RejectReason
	final  bool                 // the request has been answered, so the module has nothing more to decide on it
	report *forkhead.LoadReport // load report of the host; nil: the host sent none
	// inferredFrom is what the end is inferred from, if nothing proves that the host does not run the task; "": the host
	// has reported the end, or was never sent the offer. An attempt whose end is inferred counts until confirmEnd.
	inferredFrom logReason
}

// endAttempt ends a live attempt and notifies the module of its outcome.
func (c *Core) endAttempt(a *taskAttempt, end attemptEnd) {
	if !a.phase().IsLive() {
		return
	}
	r := a.request
	a.detach()
	if a.isPlaced() {
		a.removePlaced()
	}
	r.lifecycle.Handle(a.number, end.input)
	c.notifyModule(forkhead.Outcome{
		Task: r.id, Attempt: a.number, Machine: a.host.id, Result: end.result, Reason: end.reason,
		Took: c.now - a.sentAt, Final: end.final, Unconfirmed: end.inferredFrom != "", Report: end.report,
	})
	if end.inferredFrom != "" {
		c.awaitConfirmation(a, end.inferredFrom)
	} else {
		c.removeAttempt(a)
	}
	if r.phase != requestOpen {
		c.finished = append(c.finished, r)
	}
	if r.phase != requestOpen || end.final {
		return
	}
	c.logInfo(messageAttemptEnded, hostAttr(a.host.name), refAttr(r.ref), slog.String(keyResult, resultNames[end.result]))
}

// detach removes an attempt from its connection, where it was in flight or queued.
func (a *taskAttempt) detach() {
	conn := a.connection
	if conn == nil {
		return
	}
	a.connection = nil
	if a.isInFlight() {
		conn.inFlight--
		return
	}
	conn.queued = slices.DeleteFunc(conn.queued, func(other *taskAttempt) bool { return other == a })
}

// executeWithdraw executes the module's Withdraw.
func (c *Core) executeWithdraw(action forkhead.Withdraw) {
	r := c.requests[action.Task]
	if r == nil || action.Attempt < 0 || action.Attempt >= len(r.attempts) {
		return
	}
	c.withdraw(r.attempts[action.Attempt], forkhead.Withdrawn, r.phase != requestOpen)
}

// withdraw stops waiting for the outcome of an attempt that has none yet. If the host answers later that it runs the
// task, the task is stopped; any other later answer does not affect the request. The parameter a may be nil.
func (c *Core) withdraw(a *taskAttempt, result forkhead.Result, final bool) {
	if a == nil || !a.phase().IsInFlight() {
		return
	}
	end := attemptEnd{input: attempt.Abandoned, result: result, final: final}
	if a.isInFlight() {
		if a.connection != nil && c.settings.MayWithdraw {
			c.emit(SendToHost{Connection: a.connection.id, Line: stopMessage(a.request.ref), Abandons: true})
			a.stop = stopMessageSent{a.connection, c.now, c.nextStopNumber()}
		}
		c.abandoned.add(a.key())
		end.inferredFrom, a.mayNotStop = reasonWithdrawn, !c.settings.MayWithdraw
	}
	c.endAttempt(a, end)
}

// withdrawAll withdraws all attempts of a request that have no outcome yet.
func (c *Core) withdrawAll(r *request, result forkhead.Result, final bool) {
	for _, a := range r.attempts {
		c.withdraw(a, result, final)
	}
}
