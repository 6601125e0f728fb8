package host

import (
	"slices"
	"time"

	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/server/netio"
)

// connection is a connection of a placer to the host. All fields but decoder are used only on the event loop.
type connection struct {
	server      *Server
	conn        *netio.Conn
	decoder     hostproto.Decoder // used only on the goroutine that calls Data
	id          hostmodel.ConnID
	model       *hostmodel.Host // the incarnation in which the connection was opened
	unsent      []byte          // encoded frames of the outputs that are being executed
	muted       bool            // frames are neither received nor sent; see MuteConnections
	placer      int             // number of the placer; -1: no Hello was received
	placerEpoch uint64
}

// accept returns the handler of a new connection, or nil to reject the connection because the host is stopped.
func (s *Server) accept(conn *netio.Conn) netio.Handler {
	c := &connection{server: s, conn: conn, placer: -1}
	if !s.loop.Post(func() { s.openConnection(c) }) {
		return nil
	}
	return c
}

// openConnection adds a new connection and notifies the model of it.
func (s *Server) openConnection(c *connection) {
	s.lastConnID++
	c.id = s.lastConnID
	c.model = s.model
	s.connections[c.id] = c
	if s.model != nil && !s.unresponsive {
		s.execute(s.model.ConnectionOpened(s.cfg.Clock.Now(), c.id))
	}
}

// Data decodes bytes from a placer and queues the frames on the event loop. It blocks while the event loop's queue is
// full.
func (c *connection) Data(_ *netio.Conn, p []byte) {
	s := c.server
	var frames []hostproto.Frame
	err := c.decoder.Feed(p, func(f hostproto.Frame) error {
		frames = append(frames, f)
		return nil
	})
	at := s.cfg.Clock.Now()
	s.loop.PostBlocking(func() {
		for _, f := range frames {
			s.receive(c, f, at)
		}
		if err != nil && s.model != nil {
			s.execute(s.model.ReceiveMalformed(s.cfg.Clock.Now(), c.id, err.Error()))
		}
	})
}

// Closed removes the connection after it was closed.
func (c *connection) Closed(*netio.Conn, error) {
	c.server.loop.Post(func() { c.server.removeConnection(c) })
}

// removeConnection removes a closed connection and notifies the model.
func (s *Server) removeConnection(c *connection) {
	if s.connections[c.id] != c {
		return
	}
	delete(s.connections, c.id)
	if c.placer >= 0 {
		s.capture(capture.Event{Type: capture.Disconnected, Placer: c.placer, PlacerEpoch: c.placerEpoch, Conn: uint64(c.id)})
	}
	if s.model != nil {
		s.execute(s.model.ConnectionClosed(s.cfg.Clock.Now(), c.id))
	}
}

// receive passes a frame that was read at the given time to the model. It drops a frame of a connection that an earlier
// incarnation opened: the frame was read before the host crashed and was still queued on the event loop when the next
// incarnation started. Neither the model nor the capture may get such a frame.
func (s *Server) receive(c *connection, f hostproto.Frame, at time.Duration) {
	if s.model == nil || s.unresponsive || c.muted || s.connections[c.id] != c || c.model != s.model {
		return
	}
	if hello, ok := f.(hostproto.Hello); ok {
		c.placer, c.placerEpoch = int(hello.Placer), hello.Epoch
	}
	s.captureFrame(c, f, at)
	s.execute(s.model.ReceiveFrame(s.cfg.Clock.Now(), c.id, f))
}

// execute executes outputs of the model: it sends frames, with one write for each connection, and closes connections.
// If the model has crashed, it then ends the incarnation.
func (s *Server) execute(out []hostmodel.Output) {
	var unsent []*connection
	for _, o := range out {
		c := s.connections[o.Conn]
		if c == nil || s.unresponsive || c.muted {
			continue
		}
		if o.Frame == nil {
			s.flush(c)
			c.conn.Close()
			continue
		}
		s.captureFrame(c, o.Frame, s.cfg.Clock.Now())
		if len(c.unsent) == 0 {
			unsent = append(unsent, c)
		}
		c.unsent = hostproto.Append(c.unsent, o.Frame)
	}
	for _, c := range unsent {
		s.flush(c)
	}
	if s.model != nil && s.model.Dead() {
		s.crash()
	}
}

// flush writes the unsent frames of a connection and applies truncateNextWrite and frameDelay. It ignores write errors:
// a failed write closes the connection, so Closed is called.
func (s *Server) flush(c *connection) {
	if len(c.unsent) == 0 {
		return
	}
	switch {
	case s.truncateNextWrite:
		s.truncateNextWrite = false
		_ = c.conn.Write(c.unsent[:len(c.unsent)/2])
		c.conn.Close()
	case s.frameDelay > 0:
		delayed := slices.Clone(c.unsent)
		time.AfterFunc(s.frameDelay, func() { _ = c.conn.Write(delayed) })
	default:
		_ = c.conn.Write(c.unsent)
	}
	c.unsent = c.unsent[:0]
}

// captureFrame records a frame that was received or sent at the given time.
func (s *Server) captureFrame(c *connection, f hostproto.Frame, at time.Duration) {
	if s.cfg.Recorder == nil {
		return
	}
	base := capture.Event{At: at, Host: s.cfg.Host.Name, Placer: c.placer, PlacerEpoch: c.placerEpoch, Conn: uint64(c.id)}
	if s.model != nil {
		base.Epoch = s.model.Epoch()
	}
	for _, e := range capture.FrameEvents(base, f) {
		s.cfg.Recorder.Add(e)
	}
}
