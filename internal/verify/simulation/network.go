package simulation

import (
	"maps"
	"slices"

	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/core"
)

// connID returns the ID by which hosts know a connection of the current placer incarnation. It contains the placer's
// epoch, since every incarnation numbers its connections from 1.
func (s *Sim) connID(conn uint32) hostmodel.ConnID {
	return hostmodel.ConnID(s.Epoch<<32 | uint64(conn))
}

// splitConnID returns the placer's epoch and the placer's connection number of a connection ID.
func splitConnID(id hostmodel.ConnID) (epoch uint64, conn uint32) {
	return uint64(id) >> 32, uint32(id)
}

// afterDelay calls a function after the network delay, unless the placer's current incarnation has ended by then.
func (s *Sim) afterDelay(do func()) {
	c := s.Core
	s.After(s.Delay, func() {
		if s.Core == c {
			do()
		}
	})
}

// dial opens a connection if the host is reachable when the dial arrives; otherwise the core receives HostDisconnected.
func (s *Sim) dial(o core.DialHost) {
	h := s.Hosts[o.Host]
	generation := h.connGeneration
	s.afterDelay(func() {
		if h.Model.Dead() || h.Blackholed || generation != h.connGeneration {
			s.Step(core.HostDisconnected{Host: o.Host, Conn: o.Conn})
			return
		}
		h.conns[o.Conn] = true
		s.ExecuteHostOutputs(o.Host, h.Model.ConnectionOpened(s.Now, s.connID(o.Conn)))
		s.Step(core.HostConnected{Host: o.Host, Conn: o.Conn})
	})
}

// closeConnection closes a connection on the placer's side. The host is notified after the network delay.
func (s *Sim) closeConnection(o core.CloseHostConnection) {
	h := s.Hosts[o.Host]
	if !h.conns[o.Conn] {
		return
	}
	delete(h.conns, o.Conn)
	id := s.connID(o.Conn)
	s.After(s.Delay, func() { s.ExecuteHostOutputs(o.Host, h.Model.ConnectionClosed(s.Now, id)) })
}

// sendToHost delivers a frame to its host after the network delay, unless the frame is lost.
func (s *Sim) sendToHost(o core.SendToHost) {
	h := s.Hosts[o.Host]
	if f, ok := o.Frame.(hostproto.Offer); ok {
		s.Offers = append(s.Offers, Offer{s.Now, o.Host, f})
	}
	f := roundTripFrame(s.t, o.Frame)
	id, generation := s.connID(o.Conn), h.connGeneration
	s.After(s.Delay, func() {
		if !h.carries(o.Conn, generation) || s.ToHost != nil && !s.ToHost(o.Host, f) {
			return
		}
		s.ExecuteHostOutputs(o.Host, h.Model.ReceiveFrame(s.Now, id, f))
	})
}

// ExecuteHostOutputs executes the outputs of a host: it sends the host's frames to the placer and closes the
// connections that the host closes. The connections of a host that is down are reset instead.
func (s *Sim) ExecuteHostOutputs(name string, out []hostmodel.Output) {
	h := s.Hosts[name]
	if h.Model.Dead() {
		s.dropConnections(name)
		return
	}
	for _, o := range out {
		epoch, conn := splitConnID(o.Conn)
		switch {
		case epoch != s.Epoch: // ignore a connection of an earlier placer incarnation
		case o.Frame == nil:
			delete(h.conns, conn)
			s.notifyDisconnected(name, conn)
		default:
			s.sendToPlacer(name, conn, o.Frame)
		}
	}
}

// sendToPlacer delivers a frame of a host to the placer after the network delay, unless the frame is lost.
func (s *Sim) sendToPlacer(name string, conn uint32, frame hostproto.Frame) {
	h := s.Hosts[name]
	generation := h.connGeneration
	f := roundTripFrame(s.t, frame)
	s.afterDelay(func() {
		if !h.carries(conn, generation) || s.FromHost != nil && !s.FromHost(name, f) {
			return
		}
		s.Step(core.FrameReceived{Host: name, Conn: conn, Frame: f})
	})
}

// notifyDisconnected notifies the placer, after the network delay, that a connection has ended.
func (s *Sim) notifyDisconnected(name string, conn uint32) {
	s.afterDelay(func() { s.Step(core.HostDisconnected{Host: name, Conn: conn}) })
}

// ResetConnections resets a host's connections. Frames in flight are lost.
func (s *Sim) ResetConnections(name string) {
	h := s.Hosts[name]
	for _, conn := range slices.Sorted(maps.Keys(h.conns)) {
		s.ExecuteHostOutputs(name, h.Model.ConnectionClosed(s.Now, s.connID(conn)))
	}
	s.dropConnections(name)
}

// dropConnections ends all connections of a host on the placer's side and notifies the placer.
func (s *Sim) dropConnections(name string) {
	h := s.Hosts[name]
	if len(h.conns) == 0 {
		return
	}
	conns := h.conns
	h.conns = map[uint32]bool{}
	h.connGeneration++
	for _, conn := range slices.Sorted(maps.Keys(conns)) {
		s.notifyDisconnected(name, conn)
	}
}

// roundTripFrame encodes and decodes a frame, so that the receiver gets the frame as a socket would transfer it. It fails
// the test if the encoding cannot be decoded.
func roundTripFrame(t TB, f hostproto.Frame) hostproto.Frame {
	const lengthPrefix = 4 // bytes
	out, err := hostproto.Decode(hostproto.Append(nil, f)[lengthPrefix:])
	if err != nil {
		t.Fatalf("hostproto.Decode of encoded frame %+v: %v", f, err)
	}
	return out
}
