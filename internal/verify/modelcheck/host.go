package modelcheck

import (
	"forkhead/internal/scheduler/hostsession"
)

// This file defines how a host uses its state machines.

// replyMessages maps the replies of a host's state machine to messages. Accepted has no message: the model assumes the
// setting BoundWhenRunning, with which a task is bound only when it runs, so Accepted would change nothing at the
// placer.
var replyMessages = [...]messageKind{
	hostsession.SendRejected: rejectedMessage,
	hostsession.SendRunning:  runningMessage,
	hostsession.SendEnded:    endedMessage,
	hostsession.SendCanceled: canceledMessage,
}

// applyHostInput applies an input to an attempt at a host and sends the reply.
func (st *step) applyHostInput(hi, ti, ai int, in hostsession.Input) {
	h := &st.s.hosts[hi]
	var reply hostsession.Reply
	h.attempts[ti][ai], reply = st.stateMachines.hostTransition(h.attempts[ti][ai], in)
	if kind := replyMessages[reply]; kind != 0 {
		st.sendToPlacer(h, newMessage(kind, ti, ai))
	}
}

func (st *step) sendToPlacer(h *host, m message) {
	s := h.stream(h.sessionConn, h.sessionIncarnation)
	if h.sessionOpen && s != nil && !s.sendToPlacer(m) {
		st.queueFull = true
	}
}

// endSession ends the session at a host, which drops its queued offers.
func (st *step) endSession(h *host) {
	h.sessionOpen = false
	if st.stateMachines.keepQueueOnBreak {
		return
	}
	for ti := range st.cfg.Tasks {
		for ai := range maxAttempts {
			h.attempts[ti][ai], _ = st.stateMachines.hostTransition(h.attempts[ti][ai], hostsession.ConnectionLost)
		}
	}
}

// receiveAtHost handles a placer's message that a host reads from a stream.
func (st *step) receiveAtHost(hi int, s *stream, m message) {
	if m.kind == helloMessage {
		st.receiveHello(&st.s.hosts[hi], s)
		return
	}
	ti, ai := m.attempt()
	switch m.kind {
	case offerMessage:
		st.applyHostInput(hi, ti, ai, hostsession.Offer)
	case withdrawMessage:
		st.applyHostInput(hi, ti, ai, hostsession.Withdraw)
	case stopMessage:
		st.applyHostInput(hi, ti, ai, hostsession.Stop)
	case queryMessage:
		st.applyHostInput(hi, ti, ai, hostsession.Query)
	}
}

// receiveHello handles a Hello that a host reads from a stream. If the stream is stale, the host closes it. Otherwise
// the host starts a session on the stream, in place of an earlier session, and sends Welcome.
func (st *step) receiveHello(h *host, s *stream) {
	last := hostsession.Session{
		Epoch: uint64(h.sessionIncarnation), Conn: uint32(h.sessionConn), Connected: h.sessionOpen,
	}
	if st.stateMachines.checkHello(last, uint64(s.incarnation), uint32(s.conn)) == hostsession.HelloStale {
		s.hostOpen = false
		return
	}
	if h.sessionOpen {
		old := h.stream(h.sessionConn, h.sessionIncarnation)
		if old != nil && !st.stateMachines.acceptOldConnection {
			old.hostOpen = false
			old.discardUndeliverable()
		}
		st.endSession(h)
	}
	h.sessionIncarnation, h.sessionConn, h.sessionOpen = s.incarnation, s.conn, true
	welcome := message{kind: welcomeMessage, attemptOrEpoch: h.epoch}
	for ti := range st.cfg.Tasks {
		for ai := range maxAttempts {
			if h.attempts[ti][ai].HoldsCapacity() {
				welcome.list(ti, ai)
			}
		}
	}
	st.sendToPlacer(h, welcome)
}
