package platformsim

import (
	"time"

	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

// conn is a connection of an incarnation of a placer to an incarnation of a host.
type conn struct {
	placer            *placer
	id                platformcore.ConnectionID
	placerIncarnation int
	host              *host // nil: nothing has the address
	hostIncarnation   int
	established       bool
	closed            bool // on the placer's side
	blackholed        bool // the host has vanished, and nobody resets the connection
	attempts          []*attempt

	lastToHost, lastToPlacer time.Duration // when the last message of each direction arrives
}

// dial opens a connection to the host that has an address, or lets the dial fail.
func (p *placer) dial(o platformcore.DialHost) {
	w := p.w
	c := &conn{placer: p, id: o.Connection, placerIncarnation: p.incarnation, host: w.hostAt(o.Address)}
	p.conns[c.id] = c
	if w.manual {
		return
	}
	h := c.host
	switch {
	case h == nil || h.isolated || h.up && w.fails(30):
		w.after(w.Settings.ConnectTimeout, func() { c.failDial(false) })
	case !h.up || !h.ready:
		c.failDial(true)
	default:
		late := time.Duration(0)
		if w.fails(15) {
			late = time.Duration(w.rng.Int64N(int64(w.Settings.ConnectTimeout)))
		}
		w.after(late, func() { c.deliver(c.establish) })
	}
}

// hostAt returns the host that has an address, or nil.
func (w *world) hostAt(address string) *host {
	for _, h := range w.hosts {
		if h.address() == address {
			return h
		}
	}
	return nil
}

// deliver calls do on the placer's side, in order, if the connection isn't closed there by then.
func (c *conn) deliver(do func()) {
	c.placer.deliver(c.placerIncarnation, &c.lastToPlacer, func() {
		if c.placer.conns[c.id] == c {
			do()
		}
	})
}

// failDial lets the dial fail: it is refused, or nothing answers.
func (c *conn) failDial(refused bool) {
	c.deliver(func() {
		delete(c.placer.conns, c.id)
		local := !refused && c.placer.w.fails(4)
		c.placer.step(platformcore.DialFailed{Connection: c.id, Refused: refused, Local: local})
	})
}

// establish ends the dial: the connection is established, if the host is still up.
func (c *conn) establish() {
	if !c.host.up {
		delete(c.placer.conns, c.id)
		c.placer.step(platformcore.DialFailed{Connection: c.id})
		return
	}
	c.established, c.hostIncarnation = true, c.host.incarnation
	c.placer.step(platformcore.HostConnected{Connection: c.id})
	c.host.sendUndelivered(c)
}

// close closes the connection on the placer's side; its attempts are abandoned.
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
		if t.bound { // the answer is on its way, and nobody reads it
			t.host.end(t, platform.CauseMigrated, false)
		}
	}
}

// reset ends the connection from the host's side, or between.
func (c *conn) reset() {
	if c.closed || !c.established {
		return
	}
	c.deliver(func() {
		if !c.closed {
			c.disconnect()
		}
	})
}

// disconnect lets the placer notice the end of the connection.
func (c *conn) disconnect() {
	c.closed = true
	delete(c.placer.conns, c.id)
	for _, t := range c.attempts {
		t.knownOver = t.knownOver || !t.knownBound
	}
	c.placer.step(platformcore.HostDisconnected{Connection: c.id})
}

// sendToHost sends a message to the host.
func (c *conn) sendToHost(m platform.Message) {
	w := c.placer.w
	if w.manual {
		return
	}
	c.lastToHost = max(c.lastToHost, w.now+w.delay())
	w.timers.Add(c.lastToHost, func() {
		requestOfClosed := c.closed && m.Type == platform.TypeRequest
		if c.host != nil && c.established && c.reachesHost() && c.host.incarnation == c.hostIncarnation && !requestOfClosed {
			c.host.receive(c, m)
		}
	})
}

// reachesHost reports whether a message to the host gets through.
func (c *conn) reachesHost() bool { return !c.blackholed && !c.host.isolated && c.host.up }

// sendToPlacer sends a line to the placer. onArrival, if not nil, is called when it arrives.
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

// lastAttempt returns the last attempt of a request that was sent on the connection, or nil.
func (c *conn) lastAttempt(ref string) *attempt {
	var last *attempt
	for _, t := range c.attempts {
		if t.request.ref == ref {
			last = t
		}
	}
	return last
}
