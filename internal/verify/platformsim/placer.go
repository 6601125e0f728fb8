package platformsim

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
)

const (
	// handOverDelay is the time from a placer's start until owners hand over their tasks, and the time from the arrival
	// of a hand-over until the task counts for spread limits.
	handOverDelay = 200 * time.Millisecond
	watchRetry    = 10 * time.Millisecond // time until an event that overtook an earlier one is sent again
)

// placer is a placer, whose incarnations run one after the other.
type placer struct {
	w           *world
	number      int
	incarnation int           // incremented at each start and each end
	startedAt   time.Duration // start of the incarnation
	core        *platformcore.Core
	nextStepAt  time.Duration // time of the core's next step if the core gets no input before

	owners     map[int]*ownerConn // connections of owners by the owner's number; the latest of each owner
	lastOwner  platformcore.OwnerID
	conns      map[platformcore.ConnectionID]*conn
	hostStates map[uint32]hostState // host states that the placer was notified of, by host number

	lastSeq           uint64        // sequence number of the last event that was received
	lastEventArrival  time.Duration // arrival time of the last event that was sent
	watchDelayedUntil time.Duration // watch events that arrive before this time are delayed until then
}

// hostState is the state of a host and the time since which the placer knows it.
type hostState struct {
	state platform.EndpointState
	since time.Duration
}

// start starts an incarnation unless one is running. Owners hand over to it their running tasks after handOverDelay.
func (p *placer) start() {
	if p.core != nil {
		return
	}
	p.incarnation++
	p.startedAt = p.w.now
	p.owners, p.conns = map[int]*ownerConn{}, map[platformcore.ConnectionID]*conn{}
	p.hostStates = map[uint32]hostState{}
	core, err := platformcore.New(p.coreConfig())
	if err != nil {
		p.w.breach("placer %d does not start: %v", p.number, err)
		return
	}
	p.core = core
	for _, event := range p.w.events {
		p.recordEvent(event)
	}
	p.step()
	incarnation := p.incarnation
	p.w.after(handOverDelay, func() {
		if p.isRunning(incarnation) {
			p.handOverAll()
		}
	})
}

// coreConfig returns the configuration of the core of the current incarnation.
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

// isRunning reports whether the given incarnation is running.
func (p *placer) isRunning(incarnation int) bool {
	return p.incarnation == incarnation && p.core != nil
}

// handOverAll makes owners hand over the tasks that the placer had answered as bound and that have not been released.
func (p *placer) handOverAll() {
	for _, r := range p.w.sortedRequests() {
		if r.placer != p || r.answer != platform.TypeBound || r.finalMessage != "" {
			continue
		}
		if t := r.boundAttempt(); t != nil {
			p.handOver(r, t)
		}
	}
}

// handOver makes an owner hand over a task. If the task has ended and its host has no release to deliver, the task is
// counted as lost instead.
func (p *placer) handOver(r *request, t *attempt) {
	if r.incarnation != p.incarnation && t.ended && !t.host.awaitsAck(t) {
		r.finalMessage = finalLost
		p.w.report.Lost++
		return
	}
	r.incarnation, r.owner, r.releasedOn = p.incarnation, p.ownerConn(), nil
	r.owner.send(r.handOverLine())
	r.spreadCountsFrom = time.Duration(math.MaxInt64)
	p.deliver(p.incarnation, &r.owner.lastArrival, func() { r.spreadCountsFrom = p.w.now + handOverDelay })
	p.w.report.HandedOver++
}

// kill ends the incarnation. Its unanswered requests count as canceled, since no answer will come.
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

// step passes inputs to the core, executes its outputs and sets the timer of the next step.
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
	p.nextStepAt = at
	p.w.timers.Add(at, func() {
		if p.incarnation == incarnation && p.nextStepAt == at {
			p.step()
		}
	})
}

// deliver calls a function after the delay of a message, but not before earlier messages of the same connection arrive,
// and only if the incarnation is still running then. The parameter lastArrival is the arrival time of the connection's
// last message; deliver updates it.
func (p *placer) deliver(incarnation int, lastArrival *time.Duration, do func()) {
	*lastArrival = max(*lastArrival, p.w.now+p.w.delay())
	p.w.timers.Add(*lastArrival, func() {
		if p.isRunning(incarnation) {
			do()
		}
	})
}

// numOwners is the number of owners. Each has at most one connection to a placer. Owners 0 and 1 connect from one address,
// and owners 2 and 3 from another.
const numOwners = 4

// ownerAddress returns the address from which an owner connects.
func ownerAddress(number int) string { return fmt.Sprintf("10.9.0.%d", number/2) }

// ownerConn returns the connection of an owner that is drawn at random, and opens it if it is not open.
func (p *placer) ownerConn() *ownerConn {
	number := p.w.rng.IntN(numOwners)
	if o := p.owners[number]; o != nil && o.open {
		return o
	}
	p.lastOwner++
	o := &ownerConn{placer: p, owner: number, id: p.lastOwner, incarnation: p.incarnation, open: true}
	p.owners[number] = o
	p.deliver(p.incarnation, &o.lastArrival, func() {
		o.openedAt = p.w.now
		p.step(platformcore.OwnerConnected{Owner: o.id, Address: ownerAddress(number)})
	})
	return o
}

// ownerByID returns the open connection with an id, or nil.
func (p *placer) ownerByID(id platformcore.OwnerID) *ownerConn {
	for _, o := range p.owners {
		if o.id == id {
			return o
		}
	}
	return nil
}

// sortedConns returns the connections to hosts, sorted by ID.
func (p *placer) sortedConns() []*conn {
	all := slices.Collect(maps.Values(p.conns))
	slices.SortFunc(all, func(a, b *conn) int { return cmp.Compare(a.id, b.id) })
	return all
}

// sendEvent sends a watch event to the placer. A placer that is down needs no event, since it reads the endpoint list
// when it starts.
func (p *placer) sendEvent(event platform.WatchEvent) {
	if p.core == nil {
		return
	}
	p.deliver(p.incarnation, &p.lastEventArrival, func() { p.receiveEvent(event) })
}

// receiveEvent passes an event to the core if it is the next one in sequence. Events that overtook others, or arrive
// while the watch is delayed, are sent again later; duplicates are dropped.
func (p *placer) receiveEvent(event platform.WatchEvent) {
	switch {
	case p.w.now < p.watchDelayedUntil:
		p.w.timers.Add(p.watchDelayedUntil, func() { p.sendEvent(event) })
	case event.Seq > p.lastSeq+1:
		p.w.after(watchRetry, func() { p.sendEvent(event) })
	case event.Seq == p.lastSeq+1:
		p.recordEvent(event)
		p.step(platformcore.WatchEventReceived{Event: event})
	}
}

// recordEvent records what the placer learns from an event: the states of hosts, and which hosts have restarted, so
// that their earlier attempts are over.
func (p *placer) recordEvent(event platform.WatchEvent) {
	p.lastSeq = event.Seq
	for _, endpoint := range event.Endpoints.Hosts {
		n, _ := platform.HostNumber(endpoint.Name)
		if p.hostStates[n].state != endpoint.State {
			p.hostStates[n] = hostState{endpoint.State, p.w.now}
		}
		p.recordHostStart(int(n), endpoint.StartedAtMS)
	}
}

// recordHostStart records that the attempts that a host bound before its start are over.
func (p *placer) recordHostStart(number int, startedAtMS float64) {
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
