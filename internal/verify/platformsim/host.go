package platformsim

import (
	"fmt"
	"slices"
	"time"

	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

// host is one machine, life after life.
type host struct {
	w      *world
	n      int
	life   int
	kind   int
	born   time.Duration
	up     bool
	ready  bool // by the list
	cut    bool // off from all placers
	held   map[string]*attempt
	owed   []owed // releases that were not heard yet
	cold   []time.Duration
	serial int
}

type owed struct {
	p    *placer
	line string
	t    *attempt
}

func (h *host) name() string { return fmt.Sprintf("s-%08x", h.n) }

func (h *host) zone() string { return h.w.WireNames.Zones[h.n%len(h.w.WireNames.Zones)] }

func (h *host) info(state platform.EndpointState) platform.Endpoint {
	free := h.w.Settings.MachineTypes[h.kind]
	return platform.Endpoint{
		Name: h.name(), Address: fmt.Sprintf("10.0.%d.%d:1", h.n, h.serial), Zone: h.zone(), MachineType: h.w.WireNames.MachineTypes[h.kind], Cell: h.n / 3,
		State: state, StartedAtMS: float64(h.born.Milliseconds()), Available: []float64{free.Cores, free.Memory},
	}
}

// die ends the process, or takes the machine away.
func (h *host) die(vanish bool) {
	if !h.up {
		return
	}
	h.up = false
	for _, t := range h.held {
		t.done, t.cause = true, platform.CauseReset
	}
	h.held, h.owed = map[string]*attempt{}, nil
	for _, p := range h.w.placers {
		for _, c := range p.conns() {
			if c.host == h {
				if vanish {
					c.silent = true
				} else {
					c.reset()
				}
			}
		}
	}
	h.ready = false
	h.w.at(time.Duration(h.w.rng.IntN(2000))*time.Millisecond, func() {
		if !h.up {
			h.w.tell(false, h.info(platform.Terminated))
		}
	})
}

// come starts a machine that is down; it is cold.
func (h *host) come() {
	if h.up {
		return
	}
	h.life++
	h.serial++
	h.up, h.ready, h.born = true, true, h.w.now
	h.cold = nil
	h.w.tell(false, h.info(platform.InService))
}

// word is a message as a line; an answer has a description.
func word(kind platform.MessageType, ref string, cause platform.Cause, fields ...platform.Field) string {
	var desc []byte
	if kind == platform.TypeBound {
		desc = []byte(`"y"`)
	}
	return string(platform.Append(nil, kind, ref, cause, desc, fields...))
}

// conn is a connection of a placer to a host.
type conn struct {
	p         *placer
	id        platformcore.ConnectionID
	life      int // of the placer
	host      *host
	at        int // life of the host
	made      bool
	gone      bool
	silent    bool
	out, back time.Duration // when the last of each direction comes
	open      []*attempt
}

func (p *placer) dial(o platformcore.DialHost) {
	w := p.w
	var h *host
	for _, x := range w.hosts {
		if fmt.Sprintf("10.0.%d.%d:1", x.n, x.serial) == o.Address {
			h = x
		}
	}
	c := &conn{p: p, id: o.Connection, life: p.life, host: h}
	p.links[o.Connection] = c
	if w.manual {
		return
	}
	fail := func(refused bool) {
		p.in(c.life, &c.back, func() {
			if p.links[c.id] == c {
				delete(p.links, c.id)
				p.step(platformcore.DialFailed{Connection: c.id, Refused: refused, Local: !refused && w.odds(4)})
			}
		})
	}
	switch {
	case h == nil || h.cut || h.up && w.odds(30):
		w.at(w.Settings.ConnectTimeout, func() { fail(false) })
	case !h.up || !h.ready:
		fail(true)
	default:
		late := time.Duration(0)
		if w.odds(15) {
			late = time.Duration(w.rng.Int64N(int64(w.Settings.ConnectTimeout)))
		}
		w.at(late, func() {
			p.in(c.life, &c.back, func() {
				if p.links[c.id] != c {
					return
				}
				if !h.up {
					delete(p.links, c.id)
					p.step(platformcore.DialFailed{Connection: c.id})
					return
				}
				c.made, c.at = true, h.life
				p.step(platformcore.HostConnected{Connection: c.id})
				h.opened(c)
			})
		})
	}
}

// lost is the end of a connection that its placer has closed, or died with: what is open on it is given up.
func (c *conn) lost() {
	if c.gone {
		return
	}
	c.gone = true
	delete(c.p.links, c.id)
	for _, t := range c.open {
		if !t.up {
			t.over = true
			if t.stands { // the answer is on its way, and nobody reads it
				t.host.end(t, platform.CauseMigrated, false)
			}
		}
	}
}

// reset is the end of a connection that its host, or what lies between, has made.
func (c *conn) reset() {
	if c.gone || !c.made {
		return
	}
	c.p.in(c.life, &c.back, func() {
		if !c.gone && c.p.links[c.id] == c {
			c.ended()
		}
	})
}

// ended brings the end of a connection to its placer.
func (c *conn) ended() {
	c.gone = true
	delete(c.p.links, c.id)
	for _, t := range c.open {
		t.over = t.over || !t.up
	}
	c.p.step(platformcore.HostDisconnected{Connection: c.id})
}

// toHost carries a message to the host.
func (c *conn) toHost(m platform.Message) {
	w := c.p.w
	if w.manual {
		return
	}
	at := max(c.out, w.now+w.delay())
	c.out = at
	w.todo.Add(at, func() {
		if c.host != nil && c.made && !c.silent && !c.host.cut && c.host.up && c.host.life == c.at && !(c.gone && m.Type == platform.TypeRequest) {
			c.host.receive(c, m)
		}
	})
}

// toPlacer carries a line to the placer; read is called as it comes.
func (c *conn) toPlacer(line string, read func()) {
	if c.gone || c.silent || c.host.cut {
		return
	}
	c.p.in(c.life, &c.back, func() {
		if c.gone || c.p.links[c.id] != c {
			return
		}
		if read != nil {
			read()
		}
		c.p.step(platformcore.HostData{Connection: c.id, Data: []byte(line)})
	})
}

// opened tells on a new connection what was not heard yet.
func (h *host) opened(c *conn) {
	for _, o := range h.owed {
		if o.p == c.p {
			c.toPlacer(o.line, func() { o.t.over = true })
		}
	}
}

func (h *host) owes(t *attempt) bool {
	return slices.ContainsFunc(h.owed, func(o owed) bool { return o.t == t })
}

func (h *host) receive(c *conn, m platform.Message) {
	w := h.w
	switch m.Type {
	case platform.TypeProbe:
		c.toPlacer(word(platform.TypeProbeResult, m.Ref, platform.CauseHealthy, platform.TextField(platform.FieldLoad, "x0:4;x1:4")), nil)
	case platform.TypeAck:
		h.owed = slices.DeleteFunc(h.owed, func(o owed) bool { return o.p == c.p && o.t.ask.ref == m.Ref })
	case platform.TypeRelease:
		t := h.held[m.Ref]
		if t == nil {
			for _, open := range c.open {
				if open.ask.ref == m.Ref {
					open.done = true // given up before it was looked at
				}
			}
			return
		}
		h.end(t, platform.CauseMigrated, true)
	case platform.TypeRequest:
		if w.now < h.born+w.Settings.SlowStartDuration && h.born > 0 {
			h.cold = append(h.cold, w.now)
		}
		var t *attempt
		for _, open := range c.open {
			if open.ask.ref == m.Ref {
				t = open
			}
		}
		if t == nil {
			return
		}
		w.at(time.Duration(1+w.rng.IntN(40))*time.Millisecond, func() { h.look(c, t) })
	}
}

// look is the host's turn at an offer.
func (h *host) look(c *conn, t *attempt) {
	w := h.w
	if t.done || !h.up || h.life != c.at || c.gone {
		return
	}
	ref := t.ask.ref
	switch {
	case !h.ready || w.rng.IntN(12) == 0:
		c.toPlacer(word(platform.TypeRelease, ref, []platform.Cause{platform.CauseRejected, platform.CauseNotSent}[w.rng.IntN(2)]), func() { t.never, t.over = true, true })
	case w.odds(15):
		c.toPlacer(word(platform.TypeRelease, ref, []platform.Cause{platform.CauseFailed, platform.CauseReset}[w.rng.IntN(2)]), func() { t.over = true })
	case w.odds(15):
		c.reset()
	case w.odds(20):
		c.toPlacer("\x00 not a message\n", nil)
	case w.odds(20): // it never answers
	default:
		t.stands = true
		h.held[ref] = t
		c.toPlacer(word(platform.TypeBound, ref, platform.NoCause), func() {
			if !t.over {
				t.up = true
			}
		})
		if w.odds(8) {
			c.toPlacer(word(platform.TypeBound, ref, platform.NoCause), nil)
		}
		life := h.life
		w.at(time.Duration(300+w.rng.IntN(6000))*time.Millisecond, func() {
			if h.life == life && h.held[ref] == t {
				h.end(t, []platform.Cause{platform.CauseOK, platform.CauseOK, platform.CauseReset}[w.rng.IntN(3)], true)
			}
		})
	}
}

// end ends a task that the host holds, and tells its placer where that is owed.
func (h *host) end(t *attempt, cause platform.Cause, tell bool) {
	if t.done {
		return
	}
	t.done, t.cause = true, cause
	if h.held[t.ask.ref] == t {
		delete(h.held, t.ask.ref)
	}
	if !tell {
		return
	}
	text := word(platform.TypeRelease, t.ask.ref, cause)
	p := t.ask.p
	heard := func() { t.over = true }
	h.owed = append(h.owed, owed{p, text, t})
	if t.conn.p == p && !t.conn.gone && t.conn.made && !t.conn.silent && !h.cut && p.links[t.conn.id] == t.conn {
		t.conn.toPlacer(text, heard)
		return
	}
	for _, c := range p.conns() {
		if c.host == h && c.made && !c.silent && !h.cut {
			c.toPlacer(text, heard)
			return
		}
	}
}
