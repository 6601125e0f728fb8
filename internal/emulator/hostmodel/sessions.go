package hostmodel

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/hostsession"
)

func (h *Host) send(s *session, f hostproto.Frame) {
	h.out = append(h.out, Output{Conn: s.id, Frame: f})
}

// sendToPlacer sends a frame about a task to its placer if the placer is connected. Otherwise the frame is dropped, as a
// placer queries its tasks when it connects again.
func (h *Host) sendToPlacer(placer uint16, f hostproto.Frame) {
	if s := h.sessions[placer]; s != nil {
		h.send(s, f)
	}
}

// sendReply sends a reply of the state machine of attempts to a placer. If the attempt ends now, endFrame is its
// Refused or Ended. Otherwise endFrame is nil, and the reply about an ended attempt is its recorded outcome.
func (h *Host) sendReply(placer uint16, ref hostproto.Ref, reply hostsession.Reply, endFrame hostproto.Frame) {
	switch reply {
	case hostsession.SendAccepted:
		h.sendToPlacer(placer, hostproto.Accepted{Ref: ref})
	case hostsession.SendRunning:
		h.sendToPlacer(placer, hostproto.Running{Ref: ref})
	case hostsession.SendRejected, hostsession.SendEnded, hostsession.SendCanceled:
		if endFrame == nil {
			endFrame = h.outcomes[ref]
		}
		if endFrame == nil {
			endFrame = hostproto.Refused{Ref: ref, Reason: hostproto.Unsuitable}
		}
		h.sendToPlacer(placer, endFrame)
	}
}

// closeConnection closes a connection and ends its session.
func (h *Host) closeConnection(id ConnID) {
	h.out = append(h.out, Output{Conn: id})
	h.endSession(id)
}

// sendBye sends a Bye with the reason and closes the connection. Placers log the reason.
func (h *Host) sendBye(s *session, reason string) {
	h.send(s, hostproto.Bye{Text: reason})
	h.closeConnection(s.id)
}

// endSession removes a closed connection. If the placer's session is on this connection, it also drops the placer's
// queued offers.
func (h *Host) endSession(id ConnID) {
	s := h.conns[id]
	delete(h.conns, id)
	if s == nil || h.sessions[s.placer] != s {
		return
	}
	delete(h.sessions, s.placer)
	h.dropQueued(func(t *task) bool { return t.placer == s.placer })
}

func (h *Host) handleFrame(s *session, f hostproto.Frame) {
	if hello, ok := f.(hostproto.Hello); ok {
		h.handleHello(s, hello)
		return
	}
	if !s.established {
		h.sendBye(s, "a frame before Hello")
		return
	}
	switch f := f.(type) {
	case hostproto.Offer:
		h.handleOffer(s, f)
	case hostproto.Withdraw:
		h.handleWithdrawOrStop(s, f.Ref, hostsession.Withdraw)
	case hostproto.Stop:
		h.handleWithdrawOrStop(s, f.Ref, hostsession.Stop)
	case hostproto.Probe:
		h.send(s, hostproto.Probed{ID: f.ID, Report: h.loadReport()})
	case hostproto.Query:
		h.handleQuery(s, f.Refs)
	case hostproto.Bye:
		h.closeConnection(s.id)
	default:
		h.sendBye(s, "a frame that only hosts send")
	}
}

// handleHello establishes a session and closes the placer's older connection. It rejects a Hello of another version of
// the protocol, a second Hello on a connection, and one for which CheckHello returns HelloStale.
func (h *Host) handleHello(s *session, f hostproto.Hello) {
	switch {
	case f.Version != hostproto.Version:
		h.sendBye(s, "this host speaks version 1")
		return
	case s.established:
		h.sendBye(s, "a second Hello")
		return
	}
	older := h.sessions[f.Placer]
	last := hostsession.Session{Epoch: h.placerEpochs[f.Placer]}
	if older != nil {
		last.Conn, last.Connected = older.conn, true
	}
	if hostsession.CheckHello(last, f.Epoch, f.Conn) == hostsession.HelloStale {
		h.sendBye(s, "a later life or connection of this placer is known")
		return
	}
	if older != nil {
		h.closeConnection(older.id) // frames of the older connection that are still in buffers must have no effect
	}
	s.established, s.placer, s.conn = true, f.Placer, f.Conn
	h.sessions[f.Placer], h.placerEpochs[f.Placer] = s, f.Epoch
	h.sendWelcome(s)
}

// sendWelcome sends Welcome and the attempts of the session's placer, in as many Holds frames as needed.
func (h *Host) sendWelcome(s *session) {
	attempts := h.attemptsOf(s.placer)
	h.send(s, hostproto.Welcome{
		Version: hostproto.Version, Host: h.cfg.Name, Epoch: h.epoch, Started: h.started, Draining: h.draining, Count: uint32(len(attempts)),
	})
	for len(attempts) > 0 {
		n := countFittingInHolds(attempts)
		h.send(s, hostproto.Holds{Held: attempts[:n]})
		attempts = attempts[n:]
	}
}

// attemptsOf returns the queued, starting and running attempts of a placer, in the order of sortedTasks.
func (h *Host) attemptsOf(placer uint16) []hostproto.Held {
	var attempts []hostproto.Held
	for _, t := range h.sortedTasks() {
		if t.placer != placer {
			continue
		}
		remaining := time.Duration(0)
		if t.endsAt > 0 {
			remaining = max(t.endsAt-h.now, time.Millisecond)
		}
		attempts = append(attempts, hostproto.Held{Ref: t.ref, Phase: t.phase, Left: remaining, Spec: t.spec})
	}
	return attempts
}

// countFittingInHolds returns how many attempts, from the first on, fit into one Holds frame. It is at least 1.
func countFittingInHolds(attempts []hostproto.Held) int {
	const (
		headerSize = 16
		sizeLimit  = hostproto.MaxHoldsSize - 1024 // below the maximum size of a Holds frame, by a margin
	)
	n, size := 0, headerSize
	for n < len(attempts) && (n == 0 || size+hostproto.HeldSize(&attempts[n].Spec) < sizeLimit) {
		size += hostproto.HeldSize(&attempts[n].Spec)
		n++
	}
	return n
}

// handleQuery answers a query with the state of each attempt. If outcomes have been forgotten, the answer for an unknown
// attempt is Forgotten, because its outcome may have been among them.
func (h *Host) handleQuery(s *session, refs []hostproto.Ref) {
	for _, ref := range refs {
		if h.outcomesForgotten && h.tasks[ref] == nil && h.outcomes[ref] == nil {
			h.send(s, hostproto.Ended{Ref: ref, Result: hostproto.Forgotten})
			continue
		}
		_, reply := hostsession.Transition(h.state(ref), hostsession.Query)
		h.sendReply(s.placer, ref, reply, nil)
	}
}

// stateOfPhase maps the phases of tasks to the states of their attempts.
var stateOfPhase = [...]hostsession.State{
	hostproto.PhaseQueued: hostsession.Queued, hostproto.PhaseStarting: hostsession.Starting, hostproto.PhaseRunning: hostsession.Running,
}

// state returns the state of an attempt, or Absent if the host does not know it.
func (h *Host) state(ref hostproto.Ref) hostsession.State {
	if t := h.tasks[ref]; t != nil {
		return stateOfPhase[t.phase]
	}
	switch f := h.outcomes[ref].(type) {
	case hostproto.Refused:
		return hostsession.Rejected
	case hostproto.Ended:
		if f.Result == hostproto.Canceled {
			return hostsession.Canceled
		}
		return hostsession.Ended
	}
	return hostsession.Absent
}

// sortedSessions returns the established sessions, sorted by the number of the placer.
func (h *Host) sortedSessions() []*session {
	sessions := slices.Collect(maps.Values(h.sessions))
	slices.SortFunc(sessions, func(a, b *session) int { return cmp.Compare(a.placer, b.placer) })
	return sessions
}
