package host

import "time"

// Kill ends the incarnation and resets its connections, as the kernel does for a process that is killed.
func (s *Server) Kill() { s.loop.Call(s.crash) }

// CrashSilently ends the incarnation without closing its sockets. Until Restart, the host still accepts connections,
// drops all frames that it receives and sends none.
func (s *Server) CrashSilently() {
	s.loop.Call(func() {
		if s.model == nil {
			return
		}
		s.endIncarnation()
		s.unresponsive = true
	})
}

// Restart starts the next incarnation. It does nothing if the host is up. It returns an error if it cannot listen on
// the host's address.
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

// ResetConnections resets the connections of a placer; -1 selects all placers.
func (s *Server) ResetConnections(placer int) {
	s.forEachConnection(placer, func(c *connection) { c.conn.Reset() })
}

// MuteConnections makes the host drop all frames that it receives or would send on the present connections of a placer.
// The connections stay open. -1 selects all placers.
func (s *Server) MuteConnections(placer int) {
	s.forEachConnection(placer, func(c *connection) { c.muted = true })
}

// forEachConnection calls do on the event loop for each connection of a placer; -1 selects all placers.
func (s *Server) forEachConnection(placer int, do func(c *connection)) {
	s.loop.Call(func() {
		for _, c := range s.connections {
			if placer < 0 || c.placer == placer {
				do(c)
			}
		}
	})
}

// DelayFrames delays the writing of all frames that the host sends from now on by d. 0 ends the delay.
func (s *Server) DelayFrames(d time.Duration) { s.loop.Call(func() { s.frameDelay = d }) }

// TruncateNextFrame makes the host write only half of the bytes of its next write and then close the connection.
func (s *Server) TruncateNextFrame() { s.loop.Call(func() { s.truncateNextWrite = true }) }
