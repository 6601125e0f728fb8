package placer

import (
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/server/netio"
)

// maxHostWriteBuffer bounds the unwritten bytes of a connection to a host. Beyond it, the connection is closed.
const maxHostWriteBuffer = 8 << 20

// hostConn is one connection to a host, from the start of its dial. It is the handler of its netio.Conn. It is the
// current connection of its host while it is in Server.hostConns; events of any other connection are ignored.
type hostConn struct {
	server     *Server
	host       string
	connNumber uint32 // number of the connection among those to this host; the core assigns it

	decoder hostproto.Decoder // used by the poller's goroutine

	// The remaining fields belong to the loop.
	conn      *netio.Conn // nil while the host is being dialed
	buffer    []byte      // frames of the current step
	unflushed bool        // whether this hostConn is in Server.unflushed
}

// dialHost starts to connect to a host. The result reaches the core as HostConnected or HostDisconnected.
func (s *Server) dialHost(o core.DialHost) {
	h := &hostConn{server: s, host: o.Host, connNumber: o.Conn}
	s.hostConns[o.Host] = h
	s.engine.Dial(o.Address, s.settings.HostConnections.ConnectTimeout, maxHostWriteBuffer, h, func(c *netio.Conn, err error) {
		s.loop.Post(func() { h.dialed(c, err) })
	})
}

// dialed handles the result of a dial. It runs on the loop.
func (h *hostConn) dialed(c *netio.Conn, err error) {
	s := h.server
	switch {
	case !h.isCurrent():
		if c != nil {
			c.Close()
		}
	case err != nil || c.IsClosed():
		delete(s.hostConns, h.host)
		s.addInput(core.HostDisconnected{Host: h.host, Conn: h.connNumber})
	default:
		h.conn = c
		s.addInput(core.HostConnected{Host: h.host, Conn: h.connNumber})
	}
}

// isCurrent reports whether this is the connection that the core has with the host. It runs on the loop.
func (h *hostConn) isCurrent() bool { return h.server.hostConns[h.host] == h }

// findHostConn returns the connection to a host with the given number, or nil if the host's current connection has
// another number or the host has none.
func (s *Server) findHostConn(host string, number uint32) *hostConn {
	h := s.hostConns[host]
	if h == nil || h.connNumber != number {
		return nil
	}
	return h
}

// closeHostConn closes a connection that the core gives up. The core gets no HostDisconnected for it.
func (s *Server) closeHostConn(o core.CloseHostConnection) {
	h := s.findHostConn(o.Host, o.Conn)
	if h == nil {
		return
	}
	delete(s.hostConns, o.Host)
	if h.conn != nil {
		h.conn.Close()
	}
}

// sendToHost buffers a frame, which flushHostConns writes at the end of the step.
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

// flushHostConns writes the buffered frames of a step, with one write per connection.
func (s *Server) flushHostConns() {
	for _, h := range s.unflushed {
		if h.conn != nil && len(h.buffer) > 0 {
			_ = h.conn.Write(h.buffer) // a failed write closes the connection, and netio calls Closed
		}
		h.buffer, h.unflushed = h.buffer[:0], false
	}
	s.unflushed = s.unflushed[:0]
}

// Data implements netio.Handler: it decodes frames and passes them to the core. An invalid frame closes the connection,
// after the frames before it have been passed on.
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
			h.server.addInput(core.FrameReceived{Host: h.host, Conn: h.connNumber, Frame: f})
		}
		if err != nil {
			h.server.log.Warn().Str("host", h.host).Uint32("connection", h.connNumber).Str("address", c.RemoteAddress()).Err(err).
				Msg("invalid frame, connection closed")
			_ = c.Write(hostproto.Append(nil, hostproto.Bye{Text: err.Error()}))
			c.CloseWith(err)
		}
	})
}

// Closed implements netio.Handler: it notifies the core of the end of a connection that the core has not closed.
func (h *hostConn) Closed(_ *netio.Conn, err error) {
	h.server.loop.Post(func() {
		if !h.isCurrent() {
			return
		}
		delete(h.server.hostConns, h.host)
		reason := "closed"
		if err != nil {
			reason = err.Error()
		}
		h.server.addInput(core.HostDisconnected{Host: h.host, Conn: h.connNumber, Reason: reason})
	})
}
