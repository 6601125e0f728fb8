package platform

import (
	"fmt"
	"slices"
	"time"

	"forkhead"
)

// probe is a probe of a host that the module requested. It may be sent on a second connection, as the first may be
// broken.
type probe struct {
	startedAt   time.Duration
	retryAt     time.Duration // time at which the probe is sent on another connection; 0: not sent again
	refs        []requestRef
	connections []*hostConnection // connections on which the probe was sent
}

// executeProbe executes the module's Probe, unless a probe of the host is in progress.
func (c *Core) executeProbe(machine forkhead.MachineID) {
	h := c.hosts[machine]
	if h == nil || h.probe != nil {
		return
	}
	h.probe = &probe{startedAt: c.now, retryAt: c.now + probeRetryAfter}
	c.sendProbeOnNextConnection(h)
}

// reconcileProbe ends the probe of a host if it has timed out, or sends it again if that is due.
func (c *Core) reconcileProbe(h *host) {
	p := h.probe
	switch {
	case p == nil:
	case c.now >= p.startedAt+probeTimeout:
		c.finishProbe(h, forkhead.TimedOut, nil)
	case p.retryAt > 0 && c.now >= p.retryAt:
		p.retryAt = 0
		c.sendProbeOnNextConnection(h)
	}
}

// sendProbeOnNextConnection sends a probe on a connection that it was not sent on before: on the least busy open one,
// or else on one that is being dialed, or else on a new one.
func (c *Core) sendProbeOnNextConnection(h *host) {
	if conn := h.leastBusyWithoutProbe(); conn != nil {
		c.sendProbe(conn)
		return
	}
	for _, conn := range h.connections {
		if conn.state == connectionDialing {
			conn.probeQueued = true
			return
		}
	}
	if h.address == "" {
		return
	}
	if conn := c.dial(h, purposeMessages); conn != nil {
		conn.probeQueued = true
	}
}

// leastBusyWithoutProbe returns the open connection with the fewest offers in flight on which the current probe was not
// sent, or nil if there is none.
func (h *host) leastBusyWithoutProbe() *hostConnection {
	var best *hostConnection
	for _, conn := range h.connections {
		if conn.state == connectionOpen && !slices.Contains(h.probe.connections, conn) && (best == nil || conn.inFlight < best.inFlight) {
			best = conn
		}
	}
	return best
}

// sendProbe sends the probe of a host on a connection, unless the probe has ended meanwhile.
func (c *Core) sendProbe(conn *hostConnection) {
	p := conn.host.probe
	if p == nil {
		return
	}
	p.refs = append(p.refs, c.sendProbeMessage(conn))
	p.connections = append(p.connections, conn)
}

// probeRefPrefix makes the refs of probes recognizable in a trace.
const probeRefPrefix = 0x7e57 << 48

// sendProbeMessage sends a probe message under a new ref. The message counts as use of the connection, even if no
// result is awaited.
func (c *Core) sendProbeMessage(conn *hostConnection) requestRef {
	c.lastProbe++
	ref := requestRef(fmt.Sprintf("%016x", probeRefPrefix|c.lastProbe))
	conn.lastSentAt = c.now
	c.emit(SendToHost{Connection: conn.id, Line: probeMessage(ref)})
	return ref
}

// finishProbe ends the probe of a host and notifies the module of its result.
func (c *Core) finishProbe(h *host, result forkhead.Result, report *forkhead.LoadReport) {
	took := c.now - h.probe.startedAt
	h.probe = nil
	for _, conn := range h.connections {
		conn.probeQueued = false
	}
	c.notifyModule(forkhead.Probed{Machine: h.id, Result: result, Took: took, Report: report})
}
