package host

import (
	"slices"
	"time"

	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/server/netio"
)

// connection is a placer's connection to the host. All but the decoder belongs to the event loop.
type connection struct {
	server      *Server
	conn        *netio.Conn
	decoder     hostproto.Decoder // on the goroutine that reads
	id          hostmodel.ConnID
	model       *hostmodel.Host // the incarnation in which it was opened
	unsent      []byte          // frames of the current step
	muted       bool
	placer      int // -1: no Hello yet
	placerEpoch uint64
}

// accept takes a new connection.
func (s *Server) accept(conn *netio.Conn) netio.Handler {
	c := &connection{server: s, conn: conn, placer: -1}
	if !s.loop.Post(func() { s.open(c) }) {
		return nil // the host is stopped
	}
	return c
}

func (s *Server) open(c *connection) {
	s.lastConnID++
	c.id = s.lastConnID
	c.model = s.model
	s.connections[c.id] = c
	if s.model != nil && !s.unresponsive {
		s.execute(s.model.ConnectionOpened(s.cfg.Clock.Now(), c.id))
	}
}

// Data decodes bytes from a placer and gives their frames to the event loop, which it waits for when that is behind.
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

// Closed takes the end of a connection.
func (c *connection) Closed(*netio.Conn, error) {
	c.server.loop.Post(func() { c.server.forget(c) })
}

func (s *Server) forget(c *connection) {
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

// receive gives a frame, which was read at a time, to the incarnation that its connection was opened in. A frame that was
// read before the host crashed may come to its turn in the next incarnation: neither that one nor the capture may take it.
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

// execute sends the frames and closes the connections that the model wants, with one write for each connection. A model
// that crashed ends the host's incarnation.
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

// flush writes a connection's unsent frames, as the current faults require. A failed write closes the connection, which
// Closed takes.
func (s *Server) flush(c *connection) {
	if len(c.unsent) == 0 {
		return
	}
	switch {
	case s.truncateFrame:
		s.truncateFrame = false
		_ = c.conn.Write(c.unsent[:len(c.unsent)/2])
		c.conn.Close()
	case s.frameDelay > 0:
		late := slices.Clone(c.unsent)
		time.AfterFunc(s.frameDelay, func() { _ = c.conn.Write(late) })
	default:
		_ = c.conn.Write(c.unsent)
	}
	c.unsent = c.unsent[:0]
}

// captureFrame records a frame that was received or sent at a time.
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
