package host

import "time"

// Kill ends the incarnation with resets, as when its process is killed.
func (s *Server) Kill() { s.loop.Call(s.crash) }

// CrashSilently ends the incarnation without a message: connections stay open, and nothing answers.
func (s *Server) CrashSilently() {
	s.loop.Call(func() {
		if s.model == nil {
			return
		}
		s.endIncarnation()
		s.unresponsive = true
	})
}

// Restart starts the next incarnation, unless the host is up. It returns an error if its address cannot be listened at.
func (s *Server) Restart(warmingUp bool) error {
	var err error
	s.loop.Call(func() {
		if s.model != nil {
			return
		}
		s.crash() // resets the connections that CrashSilently left open
		err = s.startIncarnation(warmingUp)
	})
	return err
}

// ResetConnections resets the connections of a placer, or of all placers for -1.
func (s *Server) ResetConnections(placer int) {
	s.eachConnection(placer, func(c *connection) { c.conn.Reset() })
}

// MuteConnections leaves the connections of a placer, or of all placers for -1, open: frames on them are neither read nor
// written any more.
func (s *Server) MuteConnections(placer int) {
	s.eachConnection(placer, func(c *connection) { c.muted = true })
}

// eachConnection calls do on the event loop for each connection of a placer, or of all placers for -1.
func (s *Server) eachConnection(placer int, do func(c *connection)) {
	s.loop.Call(func() {
		for _, c := range s.connections {
			if placer < 0 || c.placer == placer {
				do(c)
			}
		}
	})
}

// DelayFrames delays all frames that the host sends from now on; 0 ends it.
func (s *Server) DelayFrames(d time.Duration) { s.loop.Call(func() { s.frameDelay = d }) }

// TruncateNextFrame ends the host's next write in the middle and closes its connection.
func (s *Server) TruncateNextFrame() { s.loop.Call(func() { s.truncateFrame = true }) }
