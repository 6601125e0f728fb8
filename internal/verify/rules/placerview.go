package rules

import "forkhead/internal/protocol/capture"

// phaseQueued is the phase of an attempt that a host has queued and neither accepted nor rejected. The value is that of
// package capture: stored captures hold it, and it differs from the name in package hostproto.
const phaseQueued = "in-line"

// placerView is the knowledge of one incarnation of a placer at some time, as the rules define it. It is reconstructed
// from the traffic that was captured at the placer's sockets, without access to the placer's memory.
type placerView struct {
	boundWhenRunning bool

	hosts   map[string]*hostView
	listed  map[string]bool // hosts of the latest endpoint list
	notices *drainNotices

	attempts  map[attemptID]*sentAttempt // latest attempt of each ID
	byKey     map[uint64][]*sentAttempt
	byService map[uint64][]*sentAttempt
}

// hostView is the latest connection to a host.
type hostView struct {
	connection  uint64
	established bool   // true from Welcome to the end of the connection
	epoch       uint64 // epoch of the host's incarnation, as Welcome has it
}

func newPlacerView(boundWhenRunning bool) *placerView {
	return &placerView{
		boundWhenRunning: boundWhenRunning,
		hosts:            map[string]*hostView{},
		listed:           map[string]bool{},
		notices:          newDrainNotices(),
		attempts:         map[attemptID]*sentAttempt{},
		byKey:            map[uint64][]*sentAttempt{},
		byService:        map[uint64][]*sentAttempt{},
	}
}

// hasSent reports whether the placer sent an attempt, or a host reported it to the placer.
func (v *placerView) hasSent(id attemptID) bool { return v.attempts[id.atPlacer()] != nil }

// atPlacer returns the ID of an attempt as a placerView has it, without the host's incarnation, which a placer may not
// know.
func (id attemptID) atPlacer() attemptID {
	id.hostEpoch = 0
	return id
}

// apply handles an event that was captured at the placer's sockets.
func (v *placerView) apply(e *capture.Event) {
	switch e.Type {
	case capture.ListDelivered:
		v.onList(e)
	case capture.Hello:
		v.host(e.Host).connection = e.Conn
	case capture.Welcome:
		v.onWelcome(e)
	case capture.Disconnected:
		v.onDisconnected(e)
	case capture.Offer:
		v.onOffer(e)
	case capture.Withdraw, capture.Stop:
		v.onSent(e)
	case capture.Drain, capture.Holds, capture.Accepted, capture.Running, capture.Refused, capture.Ended:
		// Before Welcome, and on a connection that has ended, the sending incarnation of the host is not known.
		if v.isEstablished(e) {
			v.onReceived(e)
		}
	}
}

func (v *placerView) host(name string) *hostView {
	h := v.hosts[name]
	if h == nil {
		h = &hostView{}
		v.hosts[name] = h
	}
	return h
}

// isEstablished reports whether an event belongs to the established connection to its host.
func (v *placerView) isEstablished(e *capture.Event) bool {
	h := v.host(e.Host)
	return h.established && e.Conn == h.connection
}

// onList handles an endpoint list. A host that has left the list and is unreachable was deregistered: its attempts have
// ended.
func (v *placerView) onList(e *capture.Event) {
	before := v.listed
	v.listed = map[string]bool{}
	for _, hosts := range [][]string{e.Ready, e.Draining} {
		for _, name := range hosts {
			v.listed[name] = true
		}
	}
	v.notices.listDelivered(e)
	for name := range before {
		v.finishIfRemoved(name)
	}
}

// finishIfRemoved finishes the attempts at a host that is unreachable and has left the endpoint list.
func (v *placerView) finishIfRemoved(name string) {
	if v.host(name).established || v.listed[name] || !v.notices.known[name] {
		return
	}
	for _, a := range v.attempts {
		if a.host == name {
			a.onFinished()
		}
	}
}

// onWelcome handles a host's answer to Hello. A new incarnation of the host has no attempts of earlier incarnations.
func (v *placerView) onWelcome(e *capture.Event) {
	h := v.host(e.Host)
	if e.Conn != h.connection || e.Epoch < h.epoch {
		return
	}
	h.established, h.epoch = true, e.Epoch
	v.notices.hostNotified(e)
	for _, a := range v.attempts {
		if a.host == e.Host && a.hostEpoch < e.Epoch {
			a.onFinished()
		}
	}
}

// onDisconnected handles the end of a connection. An unanswered attempt may run from then on; a bound attempt is
// unreachable.
func (v *placerView) onDisconnected(e *capture.Event) {
	h := v.host(e.Host)
	if e.Conn != h.connection {
		return
	}
	h.established = false
	for _, a := range v.attempts {
		if a.host == e.Host {
			a.onDisconnected(e.At)
		}
	}
	v.finishIfRemoved(e.Host)
}

// onOffer handles an offer that the placer sent.
func (v *placerView) onOffer(e *capture.Event) {
	a := v.add(e)
	if !v.isEstablished(e) {
		// The connection ended in the step that wrote the offer, and a capture has the reads of a step before its
		// writes. So no later event would end the wait for the answer to the offer.
		a.onWithdrawn()
	}
}

// onSent handles a Withdraw or Stop that the placer sent.
func (v *placerView) onSent(e *capture.Event) {
	a := v.attempts[attemptIDOf(e).atPlacer()]
	switch {
	case a == nil:
	case e.Type == capture.Withdraw:
		a.onWithdrawn()
	case e.Type == capture.Stop:
		a.onStop(e.At)
	}
}

// onReceived handles a message from a host on the established connection.
func (v *placerView) onReceived(e *capture.Event) {
	switch e.Type {
	case capture.Drain:
		v.notices.hostNotified(e)
		return
	case capture.Holds:
		v.onHolds(e)
		return
	}
	a := v.attempts[attemptIDOf(e).atPlacer()]
	if a == nil {
		return
	}
	switch e.Type {
	case capture.Accepted:
		if !v.boundWhenRunning {
			a.onBound(e.At)
		}
	case capture.Running:
		a.onBound(e.At)
	case capture.Refused, capture.Ended:
		a.onFinished()
	}
}

// onHolds handles an attempt that a host reported in a handshake.
func (v *placerView) onHolds(e *capture.Event) {
	if e.Result == phaseQueued {
		return
	}
	a := v.attempts[attemptIDOf(e).atPlacer()]
	if a == nil { // sent by an earlier incarnation of the placer
		a = v.add(e)
		a.state = mayRun
	}
	a.onBound(e.At)
}

// add adds an attempt in state awaitingAnswer.
func (v *placerView) add(e *capture.Event) *sentAttempt {
	id := attemptIDOf(e).atPlacer()
	a := &sentAttempt{host: e.Host, hostEpoch: v.host(e.Host).epoch, class: e.Class, sentAt: e.At}
	v.attempts[id] = a
	v.byKey[e.Key] = append(v.byKey[e.Key], a)
	v.byService[e.Service] = append(v.byService[e.Service], a)
	return a
}
