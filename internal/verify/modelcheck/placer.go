package modelcheck

import (
	"time"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostconn"
)

// This file defines how the placer's core uses its state machines.

// applyInput applies an input to an attempt and executes the effect as the core does.
func (st *step) applyInput(ti, ai int, in attempt.Input) {
	t := &st.s.tasks[ti]
	a := &t.attempts[ai]
	if !a.isKnown(st.s.incarnation) {
		return
	}
	before := a.phase
	var effect attempt.Effect
	a.phase, effect = st.stateMachines.transition(before, in)
	switch effect {
	case attempt.ReportBound:
		t.owner = ownerPlaced
		st.notifyOwner(t, outcomePlaced)
	case attempt.ReportWithdrawn:
		st.sendWithdraw(ti, ai, before)
	case attempt.ReportLost:
		t.endPlacement(before, ownerWaiting)
	case attempt.ReportEnded:
		t.endPlacement(before, ownerDone)
	case attempt.Orphaned:
		st.handleOrphan(ti, ai)
	case attempt.Reconnected:
		if t.owner != ownerPlaced {
			st.sendToHost(&st.s.hosts[a.host], newMessage(stopMessage, ti, ai))
		}
	case attempt.ProtocolViolation:
		st.violate("absurd", "input %v of an attempt in phase %v is a protocol violation", in, before)
	}
}

// sendWithdraw withdraws an offer that was written on the host's current connection.
func (st *step) sendWithdraw(ti, ai int, before attempt.Phase) {
	a := &st.s.tasks[ti].attempts[ai]
	h := &st.s.hosts[a.host]
	if before == attempt.InFlight && h.isReady() && a.conn == h.conn {
		st.sendToHost(h, newMessage(withdrawMessage, ti, ai))
	}
}

// endPlacement changes the state of a task's owner to next if the task was placed by an attempt that has now ended. The
// parameter before is the phase that this attempt was in.
func (t *task) endPlacement(before attempt.Phase, next ownerState) {
	wasPlaced := before == attempt.Placed || before == attempt.Unreachable
	if wasPlaced && t.owner == ownerPlaced {
		t.owner = next
	}
}

// handleOrphan adopts or stops the task of an abandoned attempt when a host reports that it still holds the attempt.
func (st *step) handleOrphan(ti, ai int) {
	if st.stateMachines.ignoreOrphans {
		return
	}
	t := &st.s.tasks[ti]
	if !st.shouldAdopt(t) {
		st.sendToHost(&st.s.hosts[t.attempts[ai].host], newMessage(stopMessage, ti, ai))
		return
	}
	if !st.stateMachines.skipWithdrawal {
		st.abandonInFlight(ti, func(other int) bool { return other != ai })
	}
	t.attempts[ai].phase = attempt.Placed
	t.owner = ownerPlaced
	st.notifyOwner(t, outcomePlaced)
}

// handleInherited adopts or stops the task of an attempt that an earlier incarnation of the placer made.
func (st *step) handleInherited(ti, ai int) {
	t := &st.s.tasks[ti]
	a := &t.attempts[ai]
	h := &st.s.hosts[a.host]
	if !st.shouldAdopt(t) {
		st.sendToHost(h, newMessage(stopMessage, ti, ai))
		return
	}
	a.phase, a.incarnation, a.hostEpoch, a.conn = attempt.Placed, st.s.incarnation, h.knownEpoch, h.conn
	t.owner = ownerPlaced
	st.notifyOwner(t, outcomePlaced)
}

func (st *step) shouldAdopt(t *task) bool {
	var buf [maxAttempts]attempt.Attempt
	r := st.request(t, &buf)
	return st.stateMachines.shouldAdopt(t.isWanted(), t.owner == ownerRequested && r.HasAttemptInFlight())
}

// abandonInFlight abandons a task's attempts that are in flight and for which selected returns true.
func (st *step) abandonInFlight(ti int, selected func(ai int) bool) {
	t := &st.s.tasks[ti]
	for ai := range t.attemptsMade() {
		if a := &t.attempts[ai]; a.isKnown(st.s.incarnation) && a.phase.IsInFlight() && selected(ai) {
			st.applyInput(ti, ai, attempt.Abandoned)
		}
	}
}

// withdrawRequest abandons the attempts of a task's current request that are in flight.
func (st *step) withdrawRequest(ti int) {
	t := &st.s.tasks[ti]
	st.abandonInFlight(ti, func(ai int) bool { return t.attempts[ai].request == t.requests })
}

// offer makes an attempt at a host. The offer is written at once if the host is ready, and otherwise when the host
// becomes ready.
func (st *step) offer(ti, hi int) {
	t := &st.s.tasks[ti]
	ai := int(t.attemptCount)
	t.attempts[ai] = taskAttempt{
		phase: attempt.Waiting, host: uint8(hi), request: t.requests, incarnation: st.s.incarnation,
	}
	t.attemptCount++
	if st.s.hosts[hi].isReady() {
		st.writeOffer(ti, ai)
	}
}

// writeOffer writes an offer. If the offer may not be sent any more, the attempt ends as if the connection had been
// lost.
func (st *step) writeOffer(ti, ai int) {
	a := &st.s.tasks[ti].attempts[ai]
	h := &st.s.hosts[a.host]
	if !st.mayWrite(ti, ai) {
		st.applyInput(ti, ai, attempt.ConnectionLost)
		return
	}
	a.hostEpoch, a.conn = h.knownEpoch, h.conn
	st.applyInput(ti, ai, attempt.OfferWritten)
	st.checkOffer(ti, ai)
	st.sendToHost(h, newMessage(offerMessage, ti, ai))
}

// mayWrite reports whether an offer may still be written: the host's drain, the request and the tasks on the host may
// have changed since the module made the offer.
func (st *step) mayWrite(ti, ai int) bool {
	t := &st.s.tasks[ti]
	hi := int(t.attempts[ai].host)
	if !st.stateMachines.skipDrainRecheck && st.drainGraceExpired(&st.s.hosts[hi]) {
		return false
	}
	var buf [maxAttempts]attempt.Attempt
	r := st.request(t, &buf)
	number := len(r.Attempts) - 1 // the waiting offer is that of the request's last attempt
	if st.stateMachines.mayWrite(&r, t.now(), number) != nil {
		return false
	}
	return st.stateMachines.skipSpreadRecheck || !st.atSpreadLimit(hi, ti, ai)
}

// noAttempt as an index means that no attempt is excluded.
const noAttempt = -1

// atSpreadLimit reports whether a host has as many live attempts of the service as the spread limit allows. One attempt
// can be excluded from the count.
func (st *step) atSpreadLimit(hi, exceptTask, exceptAttempt int) bool {
	if st.cfg.SpreadLimit == 0 {
		return false
	}
	n := 0
	st.forEachUnsettled(hi, func(ti, ai int) {
		if (ti != exceptTask || ai != exceptAttempt) && st.s.tasks[ti].attempts[ai].phase.IsLive() {
			n++
		}
	})
	return n >= st.cfg.SpreadLimit
}

// drainGraceExpired reports whether the placer may not write offers to a host any more because of its drain.
func (st *step) drainGraceExpired(h *host) bool {
	machineState, now := forkhead.Ready, time.Duration(0)
	if h.drainView != drainUnknown {
		machineState = forkhead.Draining
	}
	if h.drainView == drainGraceOver {
		now = afterDrainGrace
	}
	return st.stateMachines.drainGraceExpired(now, machineState, 0, drainGrace)
}

// isReady reports whether the placer may write offers to a host.
func (h *host) isReady() bool { return h.connState == hostconn.Up && h.holdsReceived }

func (st *step) sendToHost(h *host, m message) {
	s := h.stream(h.conn, st.s.incarnation)
	if s != nil && s.placerOpen && !s.sendToHost(m) {
		st.queueFull = true
	}
}

// hostAddress is the address of every host. Addresses do not change in the model.
const hostAddress = "a"

// applyConnectionInput applies an input to the connection to a host and executes its output.
func (st *step) applyConnectionInput(hi int, in hostconn.Input) {
	h := &st.s.hosts[hi]
	c := hostconn.Connection{
		State: h.connState, Listed: true, Address: hostAddress, Conn: uint32(h.conn), Epoch: uint64(h.knownEpoch),
	}
	in.Address = hostAddress
	out := st.stateMachines.handleConnection(&c, in)
	h.connState, h.conn, h.knownEpoch = c.State, uint8(c.Conn), uint8(c.Epoch)
	if out.CloseConn {
		st.closeAtPlacer(h, uint8(out.ConnToClose))
	}
	if out.AttemptsDisconnected {
		h.holdsReceived = false
		st.forEachUnsettled(hi, func(ti, ai int) { st.applyInput(ti, ai, attempt.ConnectionLost) })
	}
	if out.HostRestarted {
		st.endEarlierEpochs(hi)
	}
	if out.Dial {
		if h.streams[1].conn != 0 {
			st.queueFull = true // the connection before the last one is not closed yet
			return
		}
		h.streams[1], h.streams[0] = h.streams[0], stream{}
	}
	if out.SendHello {
		h.streams[0] = stream{conn: h.conn, incarnation: st.s.incarnation, placerOpen: true, hostOpen: true}
		st.sendToHost(h, message{kind: helloMessage})
	}
}

// endEarlierEpochs ends the attempts whose offers were written to an earlier epoch of a host.
func (st *step) endEarlierEpochs(hi int) {
	st.forEachUnsettled(hi, func(ti, ai int) {
		a := &st.s.tasks[ti].attempts[ai]
		if a.phase != attempt.Waiting && a.hostEpoch < st.s.hosts[hi].knownEpoch {
			st.applyInput(ti, ai, attempt.HostRestarted)
		}
	})
}

// connect dials a host and writes Hello, in one step. A failed dial is the same as a connection that breaks before
// anything is read from it.
func (st *step) connect(hi int) {
	st.applyConnectionInput(hi, hostconn.Input{Kind: hostconn.RetryDue})
	st.applyConnectionInput(hi, hostconn.Input{Kind: hostconn.Dialed, Conn: uint32(st.s.hosts[hi].conn)})
}

func (st *step) closeAtPlacer(h *host, conn uint8) {
	if s := h.stream(conn, st.s.incarnation); s != nil {
		s.placerOpen = false
		s.discardUndeliverable()
	}
}

// receiveFromHost handles a host's message that the placer reads.
func (st *step) receiveFromHost(hi int, m message) {
	if m.kind == welcomeMessage {
		st.receiveWelcome(hi, m)
		return
	}
	ti, ai := m.attempt()
	a := &st.s.tasks[ti].attempts[ai]
	if !a.isKnown(st.s.incarnation) || a.phase.IsSettled() {
		return
	}
	switch m.kind {
	case rejectedMessage:
		st.applyInput(ti, ai, st.stateMachines.rejectionInput(a.phase))
	case canceledMessage:
		st.applyInput(ti, ai, attempt.Rejected)
	case runningMessage:
		st.applyInput(ti, ai, attempt.Accepted)
	case endedMessage:
		st.applyInput(ti, ai, attempt.Ended)
	}
}

// receiveWelcome handles a Welcome and the attempts that it lists. It then writes the offers that waited for the
// connection, and queries the attempts of the host's current epoch that the Welcome does not list.
func (st *step) receiveWelcome(hi int, m message) {
	h := &st.s.hosts[hi]
	st.applyConnectionInput(hi, hostconn.Input{Kind: hostconn.Welcomed, Conn: uint32(h.conn), Epoch: uint64(m.attemptOrEpoch)})
	if h.connState != hostconn.Up {
		return
	}
	for ti := range st.cfg.Tasks {
		for ai := range maxAttempts {
			if m.lists(ti, ai) {
				st.receiveListed(h, ti, ai)
			}
		}
	}
	h.holdsReceived = true
	st.forEachUnsettled(hi, func(ti, ai int) {
		a := &st.s.tasks[ti].attempts[ai]
		switch {
		case a.phase == attempt.Waiting:
			st.writeOffer(ti, ai)
		case !m.lists(ti, ai) && a.hostEpoch == h.knownEpoch && a.conn != h.conn && !st.stateMachines.skipQuery:
			st.sendToHost(h, newMessage(queryMessage, ti, ai))
		}
	})
}

// receiveListed handles an attempt that a Welcome lists.
func (st *step) receiveListed(h *host, ti, ai int) {
	switch a := &st.s.tasks[ti].attempts[ai]; {
	case !a.isKnown(st.s.incarnation):
		st.handleInherited(ti, ai)
	case a.phase.IsSettled():
		st.sendToHost(h, newMessage(stopMessage, ti, ai))
	default:
		st.applyInput(ti, ai, attempt.ListedByHost)
	}
}
