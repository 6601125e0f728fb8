package platformsim

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

const (
	handOverDelay = 200 * time.Millisecond // after the start of a placer, and until what was handed over counts
	watchRetry    = 10 * time.Millisecond  // until an event is sent again that came ahead of an earlier one
)

// placer is one placer, with its incarnations one after the other.
type placer struct {
	w           *world
	number      int
	incarnation int // raised at its start and at its end
	core        *platformcore.Core
	wakeAt      time.Duration // when the core is stepped next if nothing comes

	owners     map[platformcore.OwnerID]*ownerConn
	conns      map[platformcore.ConnectionID]*conn
	hostStates map[uint32]hostState // by the number of the host, as the placer was notified

	lastSeq           uint64        // of the events that it received
	lastEventArrival  time.Duration // of those that were sent
	watchDelayedUntil time.Duration
}

// hostState is the state of a host, and since when the placer knows of it.
type hostState struct {
	state platform.EndpointState
	since time.Duration
}

// start starts an incarnation, unless one runs. Owners hand over to it what runs.
func (p *placer) start() {
	if p.core != nil {
		return
	}
	p.incarnation++
	p.owners, p.conns = map[platformcore.OwnerID]*ownerConn{}, map[platformcore.ConnectionID]*conn{}
	p.hostStates = map[uint32]hostState{}
	core, err := platformcore.New(p.coreConfig())
	if err != nil {
		p.w.breach("a core does not start: %v", err)
		return
	}
	p.core = core
	for _, event := range p.w.events {
		p.noteEvent(event)
	}
	p.step()
	incarnation := p.incarnation
	p.w.after(handOverDelay, func() {
		if p.runs(incarnation) {
			p.handOverAll()
		}
	})
}

func (p *placer) coreConfig() platformcore.Config {
	w := p.w
	set := w.Settings
	set.Placers, set.Self = w.Placers, p.number
	maxConns := max(w.MaxConnections, 8)
	return platformcore.Config{
		Settings: set, Names: w.WireNames, IdleTimeout: w.IdleTimeout, Seed: w.Seed + uint64(p.incarnation),
		InitialEvents:       slices.Clone(w.events),
		MaxOwnerConnections: maxConns * 2 / 3, ProtectedOwnerConnections: maxConns / 3,
		MaxHostConnections: maxConns - maxConns/3, MaxConnections: maxConns,
	}
}

// runs reports whether an incarnation still runs.
func (p *placer) runs(incarnation int) bool { return p.incarnation == incarnation && p.core != nil }

// handOverAll lets owners hand over the tasks that run as reported by their hosts.
func (p *placer) handOverAll() {
	for _, r := range p.w.sortedRequests() {
		if r.placer != p || r.answer != platform.TypeBound || r.final != "" {
			continue
		}
		if t := r.boundAttempt(); t != nil {
			p.handOver(r, t)
		}
	}
}

// handOver lets an owner hand over a task, unless its host holds nothing of it any more.
func (p *placer) handOver(r *request, t *attempt) {
	if r.incarnation != p.incarnation && t.ended && !t.host.awaitsAck(t) {
		r.final = finalLost
		p.w.report.Lost++
		return
	}
	r.incarnation, r.owner = p.incarnation, p.ownerConn()
	r.owner.send(r.handOverLine())
	r.countsFrom = time.Duration(math.MaxInt64)
	p.deliver(p.incarnation, &r.owner.lastArrival, func() { r.countsFrom = p.w.now + handOverDelay })
	p.w.report.HandedOver++
}

// kill ends the incarnation. Its owners get no answers any more.
func (p *placer) kill() {
	p.w.report.Kills++
	conns := p.sortedConns()
	p.core = nil
	p.incarnation++
	for _, c := range conns {
		c.close()
	}
	for _, r := range p.w.requests {
		if r.placer == p && r.answer == "" {
			r.canceled = true
		}
	}
}

// step hands inputs to the core and executes its outputs. Then it sets the timer of the next step.
func (p *placer) step(in ...platformcore.Input) {
	if p.core == nil {
		return
	}
	p.w.report.Steps++
	for _, o := range p.core.Step(p.w.now, in...) {
		if p.w.InjectFault == nil {
			p.execute(o)
			continue
		}
		for _, o := range p.w.InjectFault(o) {
			p.execute(o)
		}
	}
	at, incarnation := max(p.core.Next(), p.w.now+time.Microsecond), p.incarnation
	p.wakeAt = at
	p.w.timers.Add(at, func() {
		if p.incarnation == incarnation && p.wakeAt == at {
			p.step()
		}
	})
}

// deliver calls do after the delay of a message, and not before what was sent earlier on the same connection, if the
// incarnation still runs. lastArrival is when the last message of the connection arrives.
func (p *placer) deliver(incarnation int, lastArrival *time.Duration, do func()) {
	*lastArrival = max(*lastArrival, p.w.now+p.w.delay())
	p.w.timers.Add(*lastArrival, func() {
		if p.runs(incarnation) {
			do()
		}
	})
}

// ownerConn returns one of a few connections of owners, and opens it if it isn't open.
func (p *placer) ownerConn() *ownerConn {
	slot := platformcore.OwnerID(1 + p.w.rng.IntN(4))
	if o := p.owners[slot]; o != nil && o.open {
		return o
	}
	id := platformcore.OwnerID(len(p.owners)) + 100*platformcore.OwnerID(p.incarnation) + 1000*slot
	o := &ownerConn{placer: p, id: id, incarnation: p.incarnation, open: true}
	p.owners[slot], p.owners[o.id] = o, o
	p.deliver(p.incarnation, &o.lastArrival, func() { p.step(platformcore.OwnerConnected{Owner: o.id}) })
	return o
}

// sortedConns returns the connections to hosts by ID.
func (p *placer) sortedConns() []*conn {
	all := slices.Collect(maps.Values(p.conns))
	slices.SortFunc(all, func(a, b *conn) int { return cmp.Compare(a.id, b.id) })
	return all
}

// sendEvent sends a watch event to the placer. One that is down reads the endpoint list when it starts.
func (p *placer) sendEvent(event platform.WatchEvent) {
	if p.core == nil {
		return
	}
	p.deliver(p.incarnation, &p.lastEventArrival, func() { p.receiveEvent(event) })
}

// receiveEvent hands the next event to the core. One that comes too early is sent again; one that came before is dropped.
func (p *placer) receiveEvent(event platform.WatchEvent) {
	switch {
	case p.w.now < p.watchDelayedUntil:
		p.w.timers.Add(p.watchDelayedUntil, func() { p.sendEvent(event) })
	case event.Seq > p.lastSeq+1:
		p.w.after(watchRetry, func() { p.sendEvent(event) })
	case event.Seq == p.lastSeq+1:
		p.noteEvent(event)
		p.step(platformcore.WatchEventReceived{Event: event})
	}
}

// noteEvent notes what the placer knows from an event on: the states of hosts, and that what ran on an earlier incarnation
// of a host is over.
func (p *placer) noteEvent(event platform.WatchEvent) {
	p.lastSeq = event.Seq
	for _, endpoint := range event.Endpoints.Hosts {
		n, _ := platform.HostNumber(endpoint.Name)
		if p.hostStates[n].state != endpoint.State {
			p.hostStates[n] = hostState{endpoint.State, p.w.now}
		}
		p.noteHostStart(int(n), endpoint.StartedAtMS)
	}
}

// noteHostStart notes that what a host bound before it started is over.
func (p *placer) noteHostStart(number int, startedAtMS float64) {
	for _, r := range p.w.requests {
		if r.placer != p {
			continue
		}
		for _, t := range r.attempts {
			if t.knownBound && t.host.number == number && float64(t.sentAt.Milliseconds()) < startedAtMS {
				t.knownOver = true
			}
		}
	}
}
