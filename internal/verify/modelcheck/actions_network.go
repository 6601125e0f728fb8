package modelcheck

import "forkhead/internal/scheduler/hostconn"

// addNetworkActions adds the actions on a host's connections: messages are delivered, the placer and the host notice
// that a connection has ended, and connections break.
func (l *actionList) addNetworkActions(hi int) {
	for i := range l.state.hosts[hi].streams {
		if l.state.hosts[hi].streams[i].conn != 0 {
			l.addDeliveries(hi, i)
			l.addCloses(hi, i)
			l.addBreak(hi, i)
		}
	}
}

func (l *actionList) addDeliveries(hi, i int) {
	h := &l.state.hosts[hi]
	s := &h.streams[i]
	if s.toHostCount > 0 && s.hostOpen && !s.broken && h.up {
		l.add(true, func(st *step) { st.deliverToHost(hi, i) }, "host %d reads %s", hi, messageNames[s.toHost[0].kind])
	}
	if s.toPlacerCount > 0 && s.placerOpen && !s.broken {
		l.add(true, func(st *step) { st.deliverToPlacer(hi, i) }, "placer reads %s of host %d", messageNames[s.toPlacer[0].kind], hi)
	}
}

// addCloses adds the actions by which an end that is still open notices that the connection has ended.
func (l *actionList) addCloses(hi, i int) {
	s := &l.state.hosts[hi].streams[i]
	if s.placerOpen && (!s.hostOpen && s.toPlacerCount == 0 || s.broken) {
		l.add(true, func(st *step) { st.closeSeenByPlacer(hi, i) }, "placer sees the connection to host %d end", hi)
	}
	if s.hostOpen && (!s.placerOpen || s.broken) {
		l.add(true, func(st *step) { st.closeSeenByHost(hi, i) }, "host %d sees its connection end", hi)
	}
}

func (l *actionList) addBreak(hi, i int) {
	s := &l.state.hosts[hi].streams[i]
	if !s.broken && s.placerOpen && s.hostOpen && l.faultAllowed() {
		l.add(false, func(st *step) { st.breakStream(hi, i) }, "the connection to host %d is cut", hi)
	}
}

func (st *step) deliverToHost(hi, i int) {
	s := &st.s.hosts[hi].streams[i]
	m := pop(&s.toHost, &s.toHostCount)
	st.receiveAtHost(hi, s, m)
	s.discardUndeliverable()
}

// deliverToPlacer delivers the first message on a connection to the placer. The placer drops the message unless the
// connection is the current one.
func (st *step) deliverToPlacer(hi, i int) {
	s := &st.s.hosts[hi].streams[i]
	conn := s.conn
	m := pop(&s.toPlacer, &s.toPlacerCount)
	if conn == st.s.hosts[hi].conn || st.stateMachines.acceptOldConnection {
		st.receiveFromHost(hi, m)
	}
}

func (st *step) closeSeenByPlacer(hi, i int) {
	s := &st.s.hosts[hi].streams[i]
	conn := s.conn
	s.placerOpen = false
	s.discardUndeliverable()
	st.applyConnectionInput(hi, hostconn.Input{Kind: hostconn.Disconnected, Conn: uint32(conn)})
}

func (st *step) closeSeenByHost(hi, i int) {
	h := &st.s.hosts[hi]
	s := &h.streams[i]
	if h.sessionOpen && h.sessionConn == s.conn && h.sessionIncarnation == s.incarnation {
		st.endSession(h)
	}
	s.hostOpen = false
	s.discardUndeliverable()
}

// breakStream breaks a connection. All messages in transit are lost, and each end notices the break at a later step.
func (st *step) breakStream(hi, i int) {
	s := &st.s.hosts[hi].streams[i]
	s.broken = true
	s.toHost, s.toHostCount = [maxQueue]message{}, 0
	s.toPlacer, s.toPlacerCount = [maxQueue]message{}, 0
	st.s.faults++
}
