package platformsim

import (
	"time"

	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

// conn is a connection from an incarnation of a placer to an incarnation of a host.
type conn struct {
	placer            *placer
	id                platformcore.ConnectionID
	placerIncarnation int
	host              *host // nil if no host has the dialed address
	hostIncarnation   int
	established       bool
	closed            bool       // closed on the placer's side
	isForgotten       bool       // nothing passes, and the host does not know that
	blackholed        bool       // the host's machine is gone and the connection is not reset
	attempts          []*attempt // attempts that were sent on the connection

	lastToHost, lastToPlacer time.Duration // arrival time of the last message in each direction
}

// dial opens a connection to the host with the dialed address. The dial is refused if the host does not serve. It times
// out if no host has the address, if the host is isolated, or by an injected fault.
func (p *placer) dial(o platformcore.DialHost) {
	w := p.w
	c := &conn{placer: p, id: o.Connection, placerIncarnation: p.incarnation, host: w.hostAt(o.Address)}
	p.conns[c.id] = c
	if w.manual {
		return
	}
	h := c.host
	switch {
	case h != nil && h.isHung && !h.isolated:
		c.acceptForHungHost()
	case h == nil || h.isolated || h.up && w.faultOneIn(30):
		w.after(w.Settings.ConnectTimeout, func() { c.failDial(false) })
	case !h.up || !h.ready:
		c.failDial(true)
	default:
		extraDelay := time.Duration(0)
		if w.faultOneIn(15) {
			extraDelay = time.Duration(w.rng.Int64N(int64(w.Settings.ConnectTimeout)))
		}
		w.after(extraDelay, func() { c.deliver(c.establish) })
	}
}

// hostAt returns the host that currently has the address, or nil.
func (w *world) hostAt(address string) *host {
	for _, h := range w.hosts {
		if !h.isRemoved && h.address() == address {
			return h
		}
	}
	return nil
}

// deliver calls a function on the placer's side after the delay of a message, unless the placer has closed the
// connection by then. Functions are called in the order of the calls of deliver.
func (c *conn) deliver(do func()) {
	c.placer.deliver(c.placerIncarnation, &c.lastToPlacer, func() {
		if c.placer.conns[c.id] == c {
			do()
		}
	})
}

// failDial reports to the placer that the dial failed. Unless the host refused the dial, the reported cause is drawn at
// random: either nothing answered, or the cause is local to the placer.
func (c *conn) failDial(refused bool) {
	c.deliver(func() {
		delete(c.placer.conns, c.id)
		local := !refused && c.placer.w.faultOneIn(4)
		c.placer.step(platformcore.DialFailed{Connection: c.id, Refused: refused, Local: local})
	})
}

// establish completes the dial. The dial fails if the host has gone down since the dial began.
func (c *conn) establish() {
	if !c.host.up {
		delete(c.placer.conns, c.id)
		c.placer.step(platformcore.DialFailed{Connection: c.id})
		return
	}
	c.established, c.hostIncarnation = true, c.host.incarnation
	c.placer.stepConnected(c)
	c.host.sendUndelivered(c)
}

// stepConnected reports to the placer that a connection was made.
func (p *placer) stepConnected(c *conn) { p.step(platformcore.HostConnected{Connection: c.id}) }

// close closes the connection on the placer's side. The attempts that were sent on the connection are over, except
// those that the placer knows as bound.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.placer.conns, c.id)
	for _, t := range c.attempts {
		if t.knownBound {
			continue
		}
		t.knownOver = true
		if t.bound { // the host's answer is in flight and will not be read
			t.host.end(t, platform.CauseMigrated, false)
		}
	}
}

// reset ends an established connection from the host's side or in the network. The placer notices after the delay of a
// message.
func (c *conn) reset() { c.end(true) }

// closeByHost ends an established connection in order.
func (c *conn) closeByHost() { c.end(false) }

func (c *conn) end(isReset bool) {
	if c.closed || !c.established {
		return
	}
	c.deliver(func() {
		if !c.closed {
			c.disconnect(isReset)
		}
	})
}

// disconnect reports the end of the connection to the placer. The attempts that were sent on the connection are over,
// except those that the placer knows as bound.
func (c *conn) disconnect(isReset bool) {
	c.closed = true
	delete(c.placer.conns, c.id)
	for _, t := range c.attempts {
		t.knownOver = t.knownOver || !t.knownBound
	}
	c.placer.step(platformcore.HostDisconnected{Connection: c.id, Reset: isReset})
}

// sendToHost sends a message to the host. An offer is not delivered if the placer has closed the connection by then.
func (c *conn) sendToHost(m platform.Message) {
	w := c.placer.w
	if w.manual {
		return
	}
	c.lastToHost = max(c.lastToHost, w.now+w.delay())
	w.timers.Add(c.lastToHost, func() {
		abandonedOffer := c.closed && m.Type == platform.TypeRequest
		if c.host != nil && c.established && c.reachesHost() && c.host.incarnation == c.hostIncarnation && !abandonedOffer {
			c.host.receive(c, m)
		}
	})
}

// reachesHost reports whether a message reaches the host.
func (c *conn) reachesHost() bool { return !c.blackholed && !c.host.isolated && c.host.up }

// sendToPlacer sends a line to the placer. onArrival, if not nil, is called when the line arrives, before the placer
// handles it.
func (c *conn) sendToPlacer(line string, onArrival func()) {
	if c.closed || c.blackholed || c.host.isolated {
		return
	}
	c.deliver(func() {
		if c.closed {
			return
		}
		if onArrival != nil {
			onArrival()
		}
		c.placer.step(platformcore.HostData{Connection: c.id, Data: []byte(line)})
	})
}

// lastAttempt returns the last attempt on the connection of the request with a ref, or nil.
func (c *conn) lastAttempt(ref string) *attempt {
	var last *attempt
	for _, t := range c.attempts {
		if t.request.ref == ref {
			last = t
		}
	}
	return last
}
