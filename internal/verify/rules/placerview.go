package rules

import (
	"time"

	"forkhead"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

// What follows judges a placer's life by its own sockets: what it had read, and what it had sent,
// before each offer. That is exact: nothing here has a slack, and what a stalled machine delays
// between two ends cannot pass for a breach, or hide one. It is a reading of the traffic by the
// terms of the rules, and knows nothing of the placer's own tables.

type standing uint8

const (
	isOut    standing = iota // sent and unanswered
	mayRun                   // given up: called off, cut off, or counted as lost
	isBound                  // the host said that the task is placed
	isSilent                 // and its connection has ended since
	neverRan
	isOver
)

// seat is an attempt as its placer's sockets show it.
type seat struct {
	ref      ref // without the host's life
	key      uint64
	service  uint64
	class    string
	sent     time.Duration
	hostLife uint64
	stand    standing
	lost     time.Duration // its connection ended, while bound
	back     int           // the step's event at which it turned up again; a Stop may follow
}

type nearHost struct {
	conn   uint64
	up     bool
	life   uint64
	listed bool
	known  bool          // it was listed once
	away   time.Duration // not ready by the list, since; -1: ready
	drains time.Duration // by its own word, since; -1: it does not
}

type lifeOf struct {
	placer int
	epoch  uint64
}

type reading struct {
	c     *checker
	hosts map[string]*nearHost
	seats map[ref]*seat
	byKey map[uint64][]*seat
	bySvc map[uint64][]*seat
	step  int // number of the step in hand
	at    time.Duration
}

// near goes through what placers noted at their own ends.
func (c *checker) near() {
	lives := map[lifeOf]*reading{}
	for i := range c.ours {
		e := &c.ours[i]
		id := lifeOf{e.Placer, e.PlacerEpoch}
		n := lives[id]
		if n == nil {
			n = &reading{c: c, hosts: map[string]*nearHost{}, seats: map[ref]*seat{}, byKey: map[uint64][]*seat{}, bySvc: map[uint64][]*seat{}}
			lives[id] = n
		}
		n.take(e)
	}
	// Each offer that a host saw of such a life is one that its placer noted: the totals add up, and
	// no offer escapes the reading above.
	for _, t := range c.order {
		if n := lives[lifeOf{t.placer, t.placerEpoch}]; n != nil {
			if n.seats[nearRef(t.ref)] == nil {
				c.breach(invariant.OneAnswer, t.at, "%s came to %s, and placer %d did not note that it sent it", t.name, t.host, t.placer)
			}
			t.near = true
		}
	}
}

func nearRef(r ref) ref { r.life = 0; return r }

func (n *reading) host(name string) *nearHost {
	h := n.hosts[name]
	if h == nil {
		h = &nearHost{away: -1, drains: -1}
		n.hosts[name] = h
	}
	return h
}

// drain takes the host's own word, by Drain or Welcome, on whether it drains.
func (h *nearHost) drain(e *capture.Event) {
	if !e.HostDraining {
		h.drains = -1
	} else if h.drains < 0 {
		h.drains = e.At
	}
}

func (n *reading) take(e *capture.Event) {
	if e.At != n.at {
		n.step++
		n.at = e.At
	}
	r := nearRef(refOf(e))
	s := n.seats[r]
	switch e.Type {
	case capture.Holds, capture.Accepted, capture.Running, capture.Refused, capture.Ended, capture.Drain:
		if h := n.host(e.Host); !h.up || e.Conn != h.conn {
			return // before Welcome, or of a connection that is over: a host that is not known says it
		}
	case capture.Welcome:
		if h := n.host(e.Host); e.Conn != h.conn || e.Epoch < h.life {
			return
		}
	}
	switch e.Type {
	case capture.ListDelivered:
		n.told(e)
	case capture.Hello:
		n.host(e.Host).conn = e.Conn
	case capture.Welcome:
		h := n.host(e.Host)
		h.up, h.life = true, e.Epoch
		h.drain(e)
		for _, s := range n.seats {
			if s.ref.host == e.Host && s.hostLife < e.Epoch && s.stand != neverRan {
				s.stand = isOver // its host's life has ended
			}
		}
	case capture.Disconnected:
		n.gone(e)
	case capture.Drain:
		n.host(e.Host).drain(e)
	case capture.Holds:
		if e.Result == "in-line" {
			return
		}
		if s == nil {
			s = n.add(e, r)
			s.stand = mayRun
		}
		s.hostLife = n.host(e.Host).life
		n.bound(s)
	case capture.Accepted, capture.Running:
		if s != nil && (e.Type == capture.Running || !n.c.f.BoundWhenRunning) {
			n.bound(s)
		}
	case capture.Refused:
		if s != nil && (s.stand == isBound || s.stand == isSilent) {
			s.stand = isOver
		} else if s != nil && s.stand != isOver {
			s.stand = neverRan
		}
	case capture.Ended:
		if s != nil && e.Result == "called" && (s.stand == isOut || s.stand == mayRun) {
			s.stand = neverRan
		} else if s != nil && s.stand != neverRan {
			s.stand = isOver
		}
	case capture.Withdraw:
		if s != nil && s.stand == isOut {
			s.stand = mayRun
		}
	case capture.Stop:
		// One that turned up again and is not wanted. All others count until their host says that
		// they are over.
		if s != nil && s.stand == isBound && s.back == n.step {
			s.stand = mayRun
		}
	case capture.Offer:
		s = n.add(e, r)
		n.offered(e, s)
		if h := n.host(e.Host); !h.up || e.Conn != h.conn {
			// Its connection has ended in the same step, and is noted among what had come: it went out
			// before. Guards against an offer that nothing would ever end.
			s.stand = mayRun
		}
	}
}

func (n *reading) add(e *capture.Event, r ref) *seat {
	s := &seat{ref: r, key: e.Key, service: e.Service, class: e.Class, sent: e.At, hostLife: n.host(e.Host).life}
	n.seats[r] = s
	n.byKey[s.key] = append(n.byKey[s.key], s)
	n.bySvc[s.service] = append(n.bySvc[s.service], s)
	return s
}

func (n *reading) bound(s *seat) {
	switch s.stand {
	case mayRun:
		s.back = n.step
		s.stand = isBound
	case isOut, isSilent:
		s.stand = isBound
	}
}

// gone takes the end of a connection: what was out on it is unknown, what was placed is silent.
func (n *reading) gone(e *capture.Event) {
	h := n.host(e.Host)
	if e.Conn != h.conn {
		return
	}
	h.up = false
	for _, s := range n.seats {
		if s.ref.host != e.Host {
			continue
		}
		switch s.stand {
		case isOut:
			s.stand = mayRun
		case isBound:
			s.stand, s.lost = isSilent, e.At
		case isSilent:
			s.lost = e.At
		}
	}
	n.departed(e.Host, h)
}

// departed ends what a host had that is out of reach and off the list: the operator's word that it
// is gone.
func (n *reading) departed(name string, h *nearHost) {
	if h.up || h.listed || !h.known {
		return
	}
	for _, s := range n.seats {
		if s.ref.host == name && s.stand != neverRan {
			s.stand = isOver
		}
	}
}

func (n *reading) told(e *capture.Event) {
	ready := map[string]bool{}
	listed := map[string]bool{}
	for _, name := range e.Ready {
		ready[name], listed[name] = true, true
		h := n.host(name)
		h.listed, h.known, h.away = true, true, -1
	}
	for _, name := range e.Draining {
		listed[name] = true
		h := n.host(name)
		h.listed, h.known = true, true
	}
	for name, h := range n.hosts {
		if !h.known || ready[name] {
			continue
		}
		if h.away < 0 {
			h.away = e.At
		}
		if h.listed && !listed[name] {
			h.listed = false
			n.departed(name, h)
		}
	}
}

// offered judges an offer by what its placer knew when it sent it.
func (n *reading) offered(e *capture.Event, s *seat) {
	c := n.c
	class, ok := c.f.Classes[s.class]
	if !ok {
		return // said of the host's end
	}
	h := n.host(e.Host)
	for _, since := range []time.Duration{h.away, h.drains} {
		if since >= 0 && e.At > since+c.f.DrainGrace {
			c.breach(invariant.Drain, e.At, "placer %d sent %s to %s %v after it had read that the host drains or is gone",
				e.Placer, e.Name, e.Host, (e.At - since).Round(time.Millisecond))
		}
	}
	first := time.Duration(-1)
	for _, o := range n.byKey[s.key] {
		if o == s || o.stand == neverRan || o.stand == isOver {
			continue
		}
		if o.stand == isOut && !c.f.ParallelAttempts {
			c.breach(invariant.NoRepeat, e.At, "placer %d sent %s to %s while its attempt at %s was out", e.Placer, e.Name, e.Host, o.ref.host)
			continue
		}
		if first < 0 || o.sent < first {
			first = o.sent
		}
		switch {
		case class.Effect == forkhead.Unsafe:
			c.breach(invariant.NoRepeat, e.At, "placer %d sent %s, unsafe, to %s while its attempt at %s may have run", e.Placer, e.Name, e.Host, o.ref.host)
		case class.Effect == forkhead.Keyed && !c.same(class.DedupDomain, o.ref.host, e.Host):
			c.breach(invariant.NoRepeat, e.At, "placer %d sent %s, keyed, to %s, outside the group of %s where it may have run", e.Placer, e.Name, e.Host, o.ref.host)
		}
	}
	if class.Effect == forkhead.Keyed && first >= 0 && e.At > first+class.DedupWindow {
		c.breach(invariant.NoRepeat, e.At, "placer %d sent %s, keyed, to %s %v after it may have run", e.Placer, e.Name, e.Host, e.At-first)
	}
	if class.SpreadDomain == forkhead.AnyDomain {
		return
	}
	count := 0
	for _, o := range n.bySvc[s.service] {
		if c.same(class.SpreadDomain, o.ref.host, e.Host) && n.counts(o, e.At) {
			count++
		}
	}
	if count > class.MaxPerDomain {
		c.breach(invariant.Spread, e.At, "placer %d sent %s to %s as number %d of its service in one %v, of at most %d",
			e.Placer, e.Name, e.Host, count, placeNames[class.SpreadDomain], class.MaxPerDomain)
	}
}

// counts says whether the placer has placed the attempt, or is placing it.
func (n *reading) counts(s *seat, now time.Duration) bool {
	switch s.stand {
	case isOut, isBound:
		return true
	case isSilent:
		// Only what may be started again without harm is given up by time alone.
		return n.c.f.Classes[s.class].Effect != forkhead.Safe || now < s.lost+n.c.f.LostAfter
	}
	return false
}
