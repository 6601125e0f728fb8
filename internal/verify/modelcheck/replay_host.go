package modelcheck

import (
	"fmt"
	"strings"

	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/hostsession"
)

type replayHost struct {
	name        string
	up          bool
	epoch       uint64
	draining    bool
	dialing     uint32 // number of the connection that the core is dialing; 0: none
	streams     []*replayStream
	session     *replayStream // stream of the current session; nil: no session
	lastSession hostsession.Session
	attempts    map[hostproto.Ref]*replayAttempt
}

// replayStream is a connection with the frames that are in transit on it.
type replayStream struct {
	conn        uint32
	incarnation uint64 // the placer's incarnation
	placerOpen  bool
	hostOpen    bool
	broken      bool
	toHost      []hostproto.Frame
	toPlacer    []hostproto.Frame
}

// replayAttempt is an attempt at a host.
type replayAttempt struct {
	state hostsession.State
	task  int
	spec  hostproto.Spec
}

func newReplayHost(i int) *replayHost {
	return &replayHost{name: fmt.Sprintf("h%d", i), up: true, epoch: 1, attempts: map[hostproto.Ref]*replayAttempt{}}
}

func (h *replayHost) stream(conn uint32, incarnation uint64) *replayStream {
	for _, s := range h.streams {
		if s.conn == conn && s.incarnation == incarnation {
			return s
		}
	}
	return nil
}

// dequeueMessage removes the first frame to the placer and returns it. It returns a Welcome together with the Holds
// that follow it, because traces have one message for both.
func (s *replayStream) dequeueMessage() []hostproto.Frame {
	n := 1
	if _, ok := s.toPlacer[0].(hostproto.Welcome); ok {
		for n < len(s.toPlacer) && frameName(s.toPlacer[n]) == "Holds" {
			n++
		}
	}
	frames := s.toPlacer[:n]
	s.toPlacer = s.toPlacer[n:]
	return frames
}

// frameName returns the name that a frame has in traces.
func frameName(f hostproto.Frame) string {
	if e, ok := f.(hostproto.Ended); ok && e.Result == hostproto.Canceled {
		return "Ended(called)"
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", f), "hostproto.")
}

func (h *replayHost) endSession() {
	h.session, h.lastSession.Connected = nil, false
	for _, a := range h.attempts {
		a.state, _ = hostsession.Transition(a.state, hostsession.ConnectionLost)
	}
}

// applyHostInput applies an input to a host's attempt of a task. It returns an error if the host has no attempt of the
// task in the given state.
func (r *replayer) applyHostInput(args actionArgs, in hostsession.State, input hostsession.Input) error {
	for ref, a := range args.host.attempts {
		if a.task == args.task && a.state == in {
			r.transitionAtHost(args.host, ref, input)
			return nil
		}
	}
	return fmt.Errorf("%s has no attempt of task %d in state %v", args.host.name, args.task, in)
}

// transitionAtHost applies an input to an attempt and sends the reply. An attempt that the host does not know is in the
// state Absent.
func (r *replayer) transitionAtHost(h *replayHost, ref hostproto.Ref, in hostsession.Input) {
	a := h.attempts[ref]
	if a == nil {
		a = &replayAttempt{}
		if in == hostsession.Offer {
			h.attempts[ref] = a
		}
	}
	var reply hostsession.Reply
	a.state, reply = hostsession.Transition(a.state, in)
	switch reply {
	case hostsession.SendRejected:
		r.sendToPlacer(h, hostproto.Refused{Ref: ref, Reason: hostproto.Unsuitable})
	case hostsession.SendRunning:
		r.sendToPlacer(h, hostproto.Running{Ref: ref})
	case hostsession.SendEnded:
		r.sendToPlacer(h, hostproto.Ended{Ref: ref, Result: hostproto.Stopped})
	case hostsession.SendCanceled:
		r.sendToPlacer(h, hostproto.Ended{Ref: ref, Result: hostproto.Canceled})
	}
}

func (r *replayer) sendToPlacer(h *replayHost, f hostproto.Frame) {
	if s := h.session; s != nil && !s.broken && s.placerOpen {
		s.toPlacer = append(s.toPlacer, f)
		r.effects = append(r.effects, h.name+" sends "+frameName(f))
	}
}

// receiveAtHost handles a frame that a host reads from a stream.
func (r *replayer) receiveAtHost(h *replayHost, s *replayStream, f hostproto.Frame) {
	switch f := f.(type) {
	case hostproto.Hello:
		r.receiveHello(h, s, f)
	case hostproto.Offer:
		r.transitionAtHost(h, f.Ref, hostsession.Offer)
		a := h.attempts[f.Ref]
		a.spec = f.Spec
		if task, ok := r.taskOfService(f.Spec.Service); ok {
			a.task = task
		}
	case hostproto.Withdraw:
		r.transitionAtHost(h, f.Ref, hostsession.Withdraw)
	case hostproto.Stop:
		r.transitionAtHost(h, f.Ref, hostsession.Stop)
	case hostproto.Query:
		for _, ref := range f.Refs {
			r.transitionAtHost(h, ref, hostsession.Query)
		}
	}
}

// receiveHello handles a Hello that a host reads from a stream. If the stream is stale, the host closes it. Otherwise
// the host starts a session on the stream, in place of an earlier session, and sends Welcome with the attempts that
// hold capacity.
func (r *replayer) receiveHello(h *replayHost, s *replayStream, f hostproto.Hello) {
	if hostsession.CheckHello(h.lastSession, f.Epoch, f.Conn) == hostsession.HelloStale {
		s.hostOpen = false
		return
	}
	if h.session != nil {
		h.session.hostOpen = false
		h.endSession()
	}
	h.session, h.lastSession = s, hostsession.Session{Epoch: f.Epoch, Conn: f.Conn, Connected: true}
	holding := h.holding()
	r.sendToPlacer(h, hostproto.Welcome{
		Version: hostproto.Version, Host: h.name, Epoch: h.epoch, Draining: h.draining, Count: uint32(len(holding)),
	})
	if len(holding) > 0 {
		r.sendToPlacer(h, hostproto.Holds{Held: holding})
	}
}

// holding returns the attempts that hold capacity at the host.
func (h *replayHost) holding() []hostproto.Held {
	var holding []hostproto.Held
	for ref, a := range h.attempts {
		if !a.state.HoldsCapacity() {
			continue
		}
		phase := hostproto.PhaseStarting
		if a.state == hostsession.Running {
			phase = hostproto.PhaseRunning
		}
		holding = append(holding, hostproto.Held{Ref: ref, Phase: phase, Spec: a.spec})
	}
	return holding
}
