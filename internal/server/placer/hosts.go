package placer

import (
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/server/netio"
)

// maxHostWriteBuffer bounds the unwritten bytes of a connection to a host. Beyond it the connection is closed.
const maxHostWriteBuffer = 8 << 20

// hostConn is one connection to a host, from its dial on. It is the handler of its netio.Conn, and the current one of its
// host as long as Server.hosts holds it; events of any other are ignored.
type hostConn struct {
	server *Server
	host   string
	number uint32 // as the core counts the connections of the host

	decoder hostproto.Decoder // of the poller's goroutine

	// The rest belongs to the loop.
	conn      *netio.Conn // nil: being dialed
	buffer    []byte      // frames of the step
	unflushed bool        // in Server.unflushed
}

// dialHost starts to connect to a host. The core gets HostConnected or HostDisconnected.
func (s *Server) dialHost(o core.DialHost) {
	h := &hostConn{server: s, host: o.Host, number: o.Conn}
	s.hosts[o.Host] = h
	s.engine.Dial(o.Address, s.settings.HostConnections.ConnectTimeout, maxHostWriteBuffer, h, func(c *netio.Conn, err error) {
		s.loop.Post(func() { h.dialed(c, err) })
	})
}

// dialed takes the result of a dial. It runs on the loop.
func (h *hostConn) dialed(c *netio.Conn, err error) {
	s := h.server
	switch {
	case !h.isCurrent():
		if c != nil {
			c.Close()
		}
	case err != nil || c.IsClosed():
		delete(s.hosts, h.host)
		s.addInput(core.HostDisconnected{Host: h.host, Conn: h.number})
	default:
		h.conn = c
		s.addInput(core.HostConnected{Host: h.host, Conn: h.number})
	}
}

// isCurrent reports whether this is the connection of its host that the core knows. It runs on the loop.
func (h *hostConn) isCurrent() bool { return h.server.hosts[h.host] == h }

// findHostConn returns a connection by its number, or nil if the host has another one by now or none.
func (s *Server) findHostConn(host string, number uint32) *hostConn {
	h := s.hosts[host]
	if h == nil || h.number != number {
		return nil
	}
	return h
}

// closeHost closes a connection for the core, which expects no answer.
func (s *Server) closeHost(o core.CloseHostConnection) {
	h := s.findHostConn(o.Host, o.Conn)
	if h == nil {
		return
	}
	delete(s.hosts, o.Host)
	if h.conn != nil {
		h.conn.Close()
	}
}

// sendToHost buffers a frame until the end of the step.
func (s *Server) sendToHost(o core.SendToHost) {
	h := s.findHostConn(o.Host, o.Conn)
	if h == nil || h.conn == nil {
		return
	}
	if !h.unflushed {
		h.unflushed = true
		s.unflushed = append(s.unflushed, h)
	}
	h.buffer = hostproto.Append(h.buffer, o.Frame)
}

// flushHosts writes the frames of a step, with one write for each connection.
func (s *Server) flushHosts() {
	for _, h := range s.unflushed {
		if h.conn != nil && len(h.buffer) > 0 {
			_ = h.conn.Write(h.buffer) // a failed write closes the connection, which Closed reports
		}
		h.buffer, h.unflushed = h.buffer[:0], false
	}
	s.unflushed = s.unflushed[:0]
}

// Data implements netio.Handler: it decodes frames and hands them to the core. A connection with an invalid frame is
// closed, after the frames before it.
func (h *hostConn) Data(c *netio.Conn, p []byte) {
	var frames []hostproto.Frame
	err := h.decoder.Feed(p, func(f hostproto.Frame) error {
		frames = append(frames, f)
		return nil
	})
	h.server.loop.PostBlocking(func() {
		if !h.isCurrent() {
			return
		}
		for _, f := range frames {
			h.server.addInput(core.FrameReceived{Host: h.host, Conn: h.number, Frame: f})
		}
		if err != nil {
			h.server.log.Warn().Str("host", h.host).Uint32("connection", h.number).Str("address", c.RemoteAddress()).Err(err).
				Msg("invalid frame, connection closed")
			_ = c.Write(hostproto.Append(nil, hostproto.Bye{Text: err.Error()}))
			c.CloseWith(err)
		}
	})
}

// Closed implements netio.Handler: it notifies the core of a connection that it did not close itself.
func (h *hostConn) Closed(_ *netio.Conn, err error) {
	h.server.loop.Post(func() {
		if !h.isCurrent() {
			return
		}
		delete(h.server.hosts, h.host)
		reason := "closed"
		if err != nil {
			reason = err.Error()
		}
		h.server.addInput(core.HostDisconnected{Host: h.host, Conn: h.number, Reason: reason})
	})
}
