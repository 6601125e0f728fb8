package core

import (
	"time"

	"forkhead"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostconn"
)

// handleConnection passes an input to a host's connection and executes the resulting output.
func (c *Core) handleConnection(h *host, in hostconn.Input) {
	out := h.connection.Handle(in, c.connPolicy, c.rng.Float64())
	if out.CloseConn {
		c.emit(CloseHostConnection{Host: h.name, Conn: out.ConnToClose})
	}
	if out.StaleIncarnation {
		c.log("host %s answered with an earlier life; the connection is closed", h.name)
	}
	if out.AttemptsDisconnected {
		c.handleDisconnect(h)
	}
	if out.HostRestarted {
		c.handleHostRestart(h)
	}
	if out.Dial {
		c.emit(DialHost{Host: h.name, Address: h.connection.Address, Conn: h.connection.Conn})
	}
	if out.SendHello {
		c.sendFrame(h, hostproto.Hello{
			Version: hostproto.Version, Placer: uint16(c.settings.Module.Self), Epoch: c.epoch, Conn: h.connection.Conn,
		})
	}
	if out.RetryAfter > 0 {
		c.addTimer(&timer{at: c.now + out.RetryAfter, kind: timerReconnect, host: h})
	}
	if out.ConnectTimeoutAfter > 0 {
		c.addHostTimer(h, timerHostConnectTimeout, out.ConnectTimeoutAfter, uint64(h.connection.Conn))
	}
}

func (c *Core) addHostTimer(h *host, kind timerKind, after time.Duration, number uint64) {
	c.addTimer(&timer{at: c.now + after, kind: kind, host: h, number: number})
}

func (c *Core) sendFrame(h *host, f hostproto.Frame) {
	c.emit(SendToHost{Host: h.name, Conn: h.connection.Conn, Frame: f})
}

// handleDisconnect handles the end of a host's connection for its attempts and probes, and sets the timer after which
// an unreachable host counts as lost.
func (c *Core) handleDisconnect(h *host) {
	h.synced, h.reportedRefs = false, nil
	for _, a := range h.sortedAttempts() {
		c.handleAttempt(a, attempt.ConnectionLost, attemptDetail{})
	}
	c.failProbes(h)
	h.lostTimerSeq++
	c.addHostTimer(h, timerHostLost, c.settings.HostConnections.LostAfter, h.lostTimerSeq)
	c.settleIfUnreachable(h)
}

// handleHostRestart settles the attempts that were sent to earlier incarnations of a host.
func (c *Core) handleHostRestart(h *host) {
	for _, a := range h.sortedAttempts() {
		if a.hostEpoch < h.connection.Epoch && a.phase() != attempt.Waiting {
			c.handleAttempt(a, attempt.HostRestarted, attemptDetail{})
		}
	}
}

// expireUnreachable counts the safe tasks that were placed on a host as lost once the host has been unreachable for
// LostAfter, since a second start of a safe task is harmless. All other tasks wait until their outcome is known.
func (c *Core) expireUnreachable(h *host, timerNumber uint64) {
	if timerNumber != h.lostTimerSeq || h.isConnectedAndSynced() {
		return
	}
	for _, a := range h.sortedAttempts() {
		if a.phase() == attempt.Unreachable && a.request.Rules.ExpiresWhenUnreachable() {
			c.handleAttempt(a, attempt.Expired, attemptDetail{})
		}
	}
}

// closeForViolation logs a host's violation of the protocol and closes its connection.
func (c *Core) closeForViolation(h *host, violation string) {
	c.log("host %s: %s; the connection is closed", h.name, violation)
	c.closeConnection(h)
}

func (c *Core) closeConnection(h *host) {
	conn := h.connection.Conn
	c.emit(CloseHostConnection{Host: h.name, Conn: conn})
	c.handleConnection(h, hostconn.Input{Kind: hostconn.Disconnected, Conn: conn})
}

// handleWelcome handles a host's answer to Hello. The tasks that the host holds for this placer follow in Holds frames.
func (c *Core) handleWelcome(h *host, welcome hostproto.Welcome) {
	if welcome.Version != hostproto.Version || welcome.Host != h.name {
		// The address of a host may have been reassigned to another one.
		c.closeForViolation(h, "it is "+welcome.Host+", or speaks another version")
		return
	}
	if h.connection.State != hostconn.Handshaking {
		c.closeForViolation(h, "a second Welcome")
		return
	}
	c.handleConnection(h, hostconn.Input{Kind: hostconn.Welcomed, Conn: h.connection.Conn, Epoch: welcome.Epoch})
	if h.connection.State != hostconn.Up {
		return
	}
	h.lostTimerSeq++
	h.unreportedTasks, h.reportedRefs = int(welcome.Count), map[hostproto.Ref]bool{}
	c.addHostTimer(h, timerLiveness, c.settings.HostConnections.LostAfter/2, uint64(h.connection.Conn))
	c.handleDrain(h, welcome.Draining)
	if h.unreportedTasks == 0 {
		c.completeSync(h)
	}
}

// handleHolds handles a frame that lists some of the tasks that a host holds for this placer.
func (c *Core) handleHolds(h *host, f hostproto.Holds) {
	if h.synced || len(f.Held) > h.unreportedTasks {
		c.closeForViolation(h, "more held tasks than it announced")
		return
	}
	h.unreportedTasks -= len(f.Held)
	conn := h.connection.Conn
	for i := range f.Held {
		c.handleReportedTask(h, &f.Held[i])
		if h.connection.Conn != conn || h.connection.State != hostconn.Up { // the entry violated the protocol
			return
		}
	}
	if h.unreportedTasks == 0 {
		c.completeSync(h)
	}
}

func (c *Core) handleReportedTask(h *host, reported *hostproto.Held) {
	h.reportedRefs[reported.Ref] = true
	switch a := h.attempts[reported.Ref]; {
	case a != nil && reported.Phase == hostproto.PhaseQueued:
		// The attempt was abandoned when the connection broke, so its offer must not stay queued.
		c.sendFrame(h, hostproto.Withdraw{Ref: reported.Ref})
	case a != nil && reported.Phase == hostproto.PhaseStarting:
		c.handleAttempt(a, attempt.ListedByHost, attemptDetail{})
	case a != nil:
		c.handleRunning(a, attempt.ListedByHost)
	case reported.Ref.Epoch < c.epoch:
		c.handleInherited(h, reported)
	case reported.Ref.Epoch == c.epoch:
		c.sendFrame(h, hostproto.Stop{Ref: reported.Ref}) // the attempt is settled: no request wants the task
	}
}

// completeSync runs after the last of a host's Holds frames. It sends the offers and the probe that waited for the
// connection, and queries the attempts that the host did not list.
func (c *Core) completeSync(h *host) {
	h.synced, h.everSynced = true, true
	if h.stale {
		h.stale, h.drainingSince = false, 0
		c.notifyHostChanged(h)
	}
	var missing []hostproto.Ref
	for _, a := range h.sortedAttempts() {
		switch phase := a.phase(); {
		case phase == attempt.Waiting:
			c.sendOffer(a)
		case phase == attempt.Placed && a.request.replica.stopRequested:
			// The stop was requested while the host was still listing its tasks, and was not sent then.
			c.sendStop(a)
		case !phase.IsSettled() && !h.reportedRefs[a.ref] && a.hostEpoch == h.connection.Epoch && a.conn != h.connection.Conn:
			missing = append(missing, a.ref)
		}
	}
	h.reportedRefs = nil
	c.sendQueries(h, missing)
	if h.probeWanted {
		h.probeWanted = false
		c.sendProbe(h)
	}
}

func (c *Core) sendQueries(h *host, refs []hostproto.Ref) {
	for len(refs) > 0 {
		n := min(len(refs), hostproto.MaxQueryRefs)
		c.sendFrame(h, hostproto.Query{Refs: refs[:n]})
		refs = refs[n:]
	}
}

// checkLiveness detects a host that vanished without a reset of its connection. It probes a host that has sent nothing
// for half of LostAfter, and closes the connection of one that has sent nothing for all of it.
func (c *Core) checkLiveness(h *host, conn uint32) {
	if conn != h.connection.Conn || h.connection.State != hostconn.Up {
		return
	}
	idle, lostAfter := c.now-h.lastFrameAt, c.settings.HostConnections.LostAfter
	if idle >= lostAfter {
		c.log("host %s has said nothing for %v; the connection is closed", h.name, idle.Round(time.Millisecond))
		c.closeConnection(h)
		return
	}
	if idle >= lostAfter/2 {
		c.sendFrame(h, hostproto.Probe{ID: 0})
	}
	c.addHostTimer(h, timerLiveness, max(lostAfter/4, time.Millisecond), uint64(conn))
}

// probeHost probes a host for the module. The parameter h is nil if the host is not known.
func (c *Core) probeHost(h *host, id forkhead.MachineID) {
	switch {
	case h == nil || h.connection.State == hostconn.Down:
		c.notifyModule(forkhead.Probed{Machine: id, Result: forkhead.ConnectFailed})
	case !h.isConnectedAndSynced():
		h.probeWanted = true // completeSync sends the probe, or failProbes ends it
	default:
		c.sendProbe(h)
	}
}

func (c *Core) sendProbe(h *host) {
	h.lastProbeID = max(h.lastProbeID+1, 1) // 0 is the ID of the probes of checkLiveness
	h.probesSentAt[h.lastProbeID] = c.now
	c.sendFrame(h, hostproto.Probe{ID: h.lastProbeID})
	c.addHostTimer(h, timerProbeTimeout, c.settings.HostConnections.ProbeTimeout, uint64(h.lastProbeID))
}

func (c *Core) handleProbeTimeout(h *host, id uint32) {
	if sentAt, ok := h.probesSentAt[id]; ok {
		delete(h.probesSentAt, id)
		c.notifyModule(forkhead.Probed{Machine: h.id, Result: forkhead.TimedOut, Took: c.now - sentAt})
	}
}

// failProbes reports to the module that all its outstanding probes of a host failed, since the connection has ended.
func (c *Core) failProbes(h *host) {
	unanswered := len(h.probesSentAt)
	if h.probeWanted {
		unanswered++
	}
	clear(h.probesSentAt)
	h.probeWanted = false
	for range unanswered {
		c.notifyModule(forkhead.Probed{Machine: h.id, Result: forkhead.ConnectFailed})
	}
}
