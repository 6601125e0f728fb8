package platformsim

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

// ask is one set-up of an owner.
type ask struct {
	ref      string
	p        *placer
	life     int
	class    int
	service  uint64
	cores    float64
	at       time.Duration
	wait     time.Duration
	owner    *owner
	leaving  bool                 // its owner has given it up, which may not have come to the placer
	left     bool                 // and has
	answer   platform.MessageType // empty: none came
	final    platform.MessageType // the release
	attempts []*attempt
	counts   time.Duration // handed over: for the placer's spread from then on
}

func (a *ask) line(at string) string {
	w := a.p.w
	tenant := ""
	if n := len(w.WireNames.Tenants); n > 0 {
		tenant = fmt.Sprintf(`"tenant":%q,`, w.WireNames.Tenants[int(a.service)%n])
	}
	return fmt.Sprintf(`{"t":"new","ref":"%s","f":{"class":%q,%s"left":"%d","key":"%s","idem":"i%s","extras":"cores:%g;memory:%g;service:%016x%s"},"d":"x"}`+"\n",
		a.ref, w.WireNames.Classes[a.class], tenant, a.wait.Milliseconds(), a.ref, a.ref, a.cores, a.cores, a.service, at)
}

// attempt is one offer as it was written; what its placer has been told of it is noted as it is delivered.
type attempt struct {
	ask   *ask
	host  *host
	conn  *conn
	at    time.Duration
	never bool          // told that it never ran
	over  bool          // told that it is over, given up, or its connection is gone
	up    bool          // told that it stands
	cutAt time.Duration // its placer has ended it, which counts as heard a second later; 0: it has not
	// At the host.
	stands bool
	done   bool
	cause  platform.Cause
}

// owner is a connection of an owner to a placer.
type owner struct {
	p    *placer
	id   platformcore.OwnerID
	life int
	open bool
	busy time.Duration
}

func (o *owner) send(line string) {
	o.p.in(o.life, &o.busy, func() {
		if o.open {
			o.p.step(platformcore.OwnerData{Owner: o.id, Data: []byte(line)})
		}
	})
}

func (o *owner) close() {
	o.p.in(o.life, &o.busy, func() {
		if o.open {
			o.open = false
			for _, a := range o.p.w.asks {
				if a.owner == o && a.answer == "" && a.life == o.life {
					a.left = true
					o.p.w.report.GaveUp++
				}
			}
			o.p.step(platformcore.OwnerDisconnected{Owner: o.id})
		}
	})
}

// placer is one placer, life after life.
type placer struct {
	w      *world
	n      int
	life   int
	core   *platformcore.Core
	wake   time.Duration
	owners map[platformcore.OwnerID]*owner
	links  map[platformcore.ConnectionID]*conn
	heard  time.Duration
	deaf   time.Duration
	told   map[uint32]told // of hosts
	seq    uint64
}

type told struct {
	state platform.EndpointState
	at    time.Duration
}

func (p *placer) conns() []*conn {
	var all []*conn
	for _, c := range p.links {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *conn) int { return int(a.id) - int(b.id) })
	return all
}

// in delivers something to this life of the placer after the way's delay, in the order of one connection.
func (p *placer) in(life int, busy *time.Duration, do func()) {
	at := max(*busy, p.w.now+p.w.delay())
	*busy = at
	p.w.todo.Add(at, func() {
		if p.life == life && p.core != nil {
			do()
		}
	})
}

func (p *placer) start() {
	if p.core != nil {
		return
	}
	p.life++
	p.owners, p.links, p.told = map[platformcore.OwnerID]*owner{}, map[platformcore.ConnectionID]*conn{}, map[uint32]told{}
	set := p.w.Settings
	set.Placers, set.Self = p.w.Placers, p.n
	room := max(p.w.MaxConnections, 8)
	core, err := platformcore.New(platformcore.Config{
		Settings: set, Names: p.w.WireNames, IdleTimeout: p.w.IdleTimeout, Seed: p.w.Seed + uint64(p.life), InitialEvents: slices.Clone(p.w.events),
		MaxOwnerConnections: room * 2 / 3, ProtectedOwnerConnections: room / 3, MaxHostConnections: room - room/3, MaxConnections: room,
	})
	if err != nil {
		p.w.breach("a core does not start: %v", err)
		return
	}
	p.core = core
	for _, ch := range p.w.events {
		p.note(ch)
	}
	p.step()
	// What stands here is handed over by its owners.
	life := p.life
	p.w.at(200*time.Millisecond, func() {
		if p.life != life || p.core == nil {
			return
		}
		for _, ref := range sortedRefs(p.w.asks) {
			a := p.w.asks[ref]
			if a.p == p && a.answer == platform.TypeBound && a.final == "" {
				t := a.standing()
				if t == nil {
					continue
				}
				if a.life != life && t.done && !t.host.owes(t) {
					a.final = "lost" // with its host: owners hand over what a host holds
					p.w.report.Lost++
					continue
				}
				a.life, a.owner = life, p.owner()
				a.owner.send(a.line(fmt.Sprintf(";at:%s", t.host.name())))
				a.counts = time.Duration(math.MaxInt64)
				p.in(life, &a.owner.busy, func() { a.counts = p.w.now + 200*time.Millisecond })
				p.w.report.HandedOver++
			}
		}
	})
}

func sortedRefs(asks map[string]*ask) []string {
	var all []string
	for ref := range asks {
		all = append(all, ref)
	}
	slices.Sort(all)
	return all
}

// standing is the attempt that its placer was told of.
func (a *ask) standing() *attempt {
	for _, t := range a.attempts {
		if t.up {
			return t
		}
	}
	return nil
}

func (p *placer) kill() {
	p.w.report.Kills++
	conns := p.conns()
	p.core, p.life = nil, p.life+1
	for _, c := range conns {
		c.lost()
	}
	for _, a := range p.w.asks {
		if a.p == p && a.answer == "" {
			a.left = true // nobody owes it any more
		}
	}
}

// owner returns one of a few connections, which it opens.
func (p *placer) owner() *owner {
	id := platformcore.OwnerID(1 + p.w.rng.IntN(4))
	if o := p.owners[id]; o != nil && o.open {
		return o
	}
	o := &owner{p: p, id: platformcore.OwnerID(len(p.owners)) + 100*platformcore.OwnerID(p.life) + 1000*id, life: p.life, open: true}
	p.owners[id], p.owners[o.id] = o, o
	p.in(p.life, &o.busy, func() { p.step(platformcore.OwnerConnected{Owner: o.id}) })
	return o
}

func (p *placer) hear(ch platform.WatchEvent) {
	if p.core == nil {
		return // it reads the list when it starts
	}
	p.in(p.life, &p.heard, func() {
		if p.w.now < p.deaf {
			p.w.todo.Add(p.deaf, func() { p.hear(ch) })
			return
		}
		if ch.Seq != p.seq+1 {
			if ch.Seq > p.seq {
				p.w.at(10*time.Millisecond, func() { p.hear(ch) })
			}
			return
		}
		p.note(ch)
		p.step(platformcore.WatchEventReceived{Event: ch})
	})
}

// note is what the placer has been told from now on.
func (p *placer) note(ch platform.WatchEvent) {
	p.seq = ch.Seq
	for _, h := range ch.Endpoints.Hosts {
		n, _ := platform.HostNumber(h.Name)
		if p.told[n].state != h.State {
			p.told[n] = told{h.State, p.w.now}
		}
		for _, a := range p.w.asks { // what stood in an earlier life of the host is over
			for _, t := range a.attempts {
				if a.p == p && t.up && t.host.n == int(n) && float64(t.at.Milliseconds()) < h.StartedAtMS {
					t.over = true
				}
			}
		}
	}
}

func (p *placer) step(in ...platformcore.Input) {
	if p.core == nil {
		return
	}
	p.w.report.Steps++
	out := p.core.Step(p.w.now, in...)
	for _, o := range out {
		if p.w.InjectFault == nil {
			p.carry(o)
			continue
		}
		for _, o := range p.w.InjectFault(o) {
			p.carry(o)
		}
	}
	at, life := max(p.core.Next(), p.w.now+time.Microsecond), p.life
	p.wake = at
	p.w.todo.Add(at, func() {
		if p.life == life && p.wake == at {
			p.step()
		}
	})
}

func (p *placer) carry(o platformcore.Output) {
	w := p.w
	switch o := o.(type) {
	case platformcore.DialHost:
		p.dial(o)
	case platformcore.SendToHost:
		if c := p.links[o.Connection]; c != nil {
			m, err := platform.Decode(bytes.TrimSuffix(o.Line, []byte("\n")))
			if err != nil {
				w.breach("a host is sent what cannot be read: %s", o.Line)
				return
			}
			if m.Type == platform.TypeRequest {
				p.offered(c, &m)
			} else if m.Type == platform.TypeRelease {
				p.cancelled(c.host, m.Ref)
			}
			c.toHost(m)
		}
	case platformcore.CloseHostConnection:
		if c := p.links[o.Connection]; c != nil {
			c.lost()
		}
	case platformcore.HalfCloseHostConnection:
		if c := p.links[o.Connection]; c != nil && c.made {
			w.at(w.delay(), c.reset) // its host closes too, behind what it has said
		}
	case platformcore.SendToOwner:
		p.answered(o)
	case platformcore.CloseOwnerConnection:
		for _, x := range p.owners {
			if x.id == o.Owner {
				x.open = false
				for _, a := range w.asks {
					if a.owner == x && a.answer == "" && a.life == p.life && !a.leaving && w.now > a.at+slack {
						w.breach("one answer: the connection of %s is closed", a.ref)
					}
				}
			}
		}
	case platformcore.SendGossip:
		for _, other := range w.placers {
			if other != p && (o.To == forkhead.AllPlacers || o.To == other.n) && !w.odds(5) {
				w.at(w.delay(), func() { other.step(platformcore.GossipReceived{From: p.n, Data: bytes.Clone(o.Data)}) })
			}
		}
	case platformcore.Log:
		if o.InvariantViolation {
			w.breach("invariant violation: %s", o)
		}
	}
}

// ---- The rules, as things are written.

// offered judges a set-up as it is written to a host.
func (p *placer) offered(c *conn, m *platform.Message) {
	w := p.w
	w.report.Offers++
	a := w.asks[m.Ref]
	if a == nil {
		w.breach("an offer of %s, which nobody asked for", m.Ref)
		return
	}
	class := &w.Settings.Classes[a.class]
	switch {
	case a.left:
		w.breach("an offer of %s for an owner that has left", a.ref)
	case a.answer != "":
		w.breach("an offer of %s, which is answered", a.ref)
	case len(a.attempts) >= w.Settings.MaxAttempts:
		w.breach("attempt %d of %s", len(a.attempts)+1, a.ref)
	}
	first := true
	for _, t := range a.attempts {
		if !t.over && !t.never {
			w.breach("no repeat: two attempts of %s are out", a.ref)
		}
		if t.never {
			continue
		}
		switch {
		case class.Effect == forkhead.Unsafe:
			w.breach("no repeat: %s may have run", a.ref)
		case class.Effect == forkhead.Keyed && !w.same(class.DedupDomain, t.host, c.host):
			w.breach("no repeat: %s may have run in another group", a.ref)
		case class.Effect == forkhead.Keyed && first && w.now > t.at+class.DedupWindow+slack:
			w.breach("no repeat: %s may have run %v ago", a.ref, w.now-t.at)
		}
		first = false
	}
	if told := p.told[uint32(c.host.n)]; told.state != platform.InService && w.now > told.at+w.Settings.DrainGrace+slack {
		w.breach("drain: an offer to %s, told %s %v ago", c.host.name(), told.state, w.now-told.at)
	}
	if class.SpreadDomain != forkhead.AnyDomain {
		n := 1
		for _, other := range w.asks {
			if other.p != p || other.life != a.life || other.service != a.service || other.class != a.class || other.final != "" || other.left || w.now < other.counts {
				continue
			}
			for _, t := range other.attempts {
				if !t.over && !t.never && w.same(class.SpreadDomain, t.host, c.host) && !(t.cutAt > 0 && w.now >= t.cutAt+time.Second) {
					n++
				}
			}
		}
		if n > class.MaxPerDomain {
			w.breach("spread: number %d of service %d of at most %d", n, a.service, class.MaxPerDomain)
		}
	}
	t := &attempt{ask: a, host: c.host, conn: c, at: w.now}
	a.attempts = append(a.attempts, t)
	c.open = append(c.open, t)
}

func (w *world) same(place forkhead.Domain, a, b *host) bool {
	switch place {
	case forkhead.MachineDomain:
		return a == b
	case forkhead.CellDomain:
		return a.n/3 == b.n/3
	case forkhead.ZoneDomain:
		return a.zone() == b.zone()
	}
	return true
}

// cancelled notes that a placer has written that it gives up an attempt, or ends a task.
func (p *placer) cancelled(h *host, ref string) {
	if a := p.w.asks[ref]; a != nil {
		for _, t := range a.attempts {
			if t.host == h && !t.up {
				t.over = true
			} else if t.host == h && t.cutAt == 0 {
				t.cutAt = p.w.now
			}
		}
	}
}

// answered judges what an owner is told.
func (p *placer) answered(o platformcore.SendToOwner) {
	w := p.w
	m, err := platform.Decode(bytes.TrimSuffix(o.Line, []byte("\n")))
	if err != nil {
		w.breach("an owner is sent what cannot be read: %s", o.Line)
		return
	}
	a := w.asks[m.Ref]
	if a == nil || m.Type == platform.TypeAck || m.Type == platform.TypeProbeResult {
		return
	}
	switch {
	case m.Type == platform.TypeBound && a.answer != "":
		w.breach("one answer: %s is answered a second time", a.ref)
	case m.Type == platform.TypeBound:
		a.answer = m.Type
		w.report.Placed++
		if a.standing() == nil {
			w.breach("one answer: %s is said to stand by no host's word", a.ref)
		}
	case m.Type == platform.TypeMigrate && a.answer != platform.TypeBound:
		w.breach("%s is moved and does not stand", a.ref)
	case m.Type == platform.TypeMigrate:
	case a.final != "" || a.answer == platform.TypeRelease:
		w.breach("one answer: %s is released a second time", a.ref)
	case a.answer == "":
		a.answer, a.final = m.Type, m.Type
		if m.Cause == platform.CauseRejected || m.Cause == platform.CauseBusy || m.Cause == platform.CauseNotSent {
			w.report.Refused++
			class := &w.Settings.Classes[a.class]
			for _, t := range a.attempts {
				if !t.never && (class.Effect == forkhead.Unsafe || class.Effect == forkhead.Keyed && class.DedupDomain != forkhead.AnyDomain) {
					w.breach("no repeat: %s is refused and may have run", a.ref)
				}
			}
		} else {
			w.report.Failed++
		}
	default:
		a.final = m.Type
		w.report.Ended++
	}
}

// judgeEnd judges what is left when all has come to rest.
func (w *world) judgeEnd() {
	for _, ref := range sortedRefs(w.asks) {
		a := w.asks[ref]
		if a.answer != platform.TypeBound || a.final != "" || a.leaving || !a.owner.open || len(w.report.Breaches) > 0 {
			// Its owner has ended it, or has closed the connection that it would be told on.
			continue
		}
		t := a.standing()
		if t != nil && t.done && t.cause != platform.CauseMigrated && a.p.core != nil {
			w.breach("one answer: %s is over at its host and its owner takes it for standing", a.ref)
		}
	}
	for _, h := range w.hosts {
		h.judgeCold()
	}
}

// judgeCold judges the offers that came to the host while it was cold.
func (h *host) judgeCold() {
	w := h.w
	w.report.ColdOffers += len(h.cold)
	bound := w.Settings.SlowStartMaxOffers + 2*math.Sqrt(w.Settings.SlowStartMaxOffers) + 2
	for i, at := range h.cold {
		first, _ := slices.BinarySearch(h.cold, at-w.Settings.SlowStartWindow+1)
		if n := float64(i - first + 1); n > bound {
			w.breach("cold: %v offers to %s in a window that bears %v", n, h.name(), w.Settings.SlowStartMaxOffers)
			return
		}
	}
}
