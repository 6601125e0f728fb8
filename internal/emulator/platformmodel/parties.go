package platformmodel

import (
	"fmt"
	"time"

	"forkhead/internal/protocol/platform"
)

// party is a model in its place.
type party struct {
	id       PartyID
	model    model // nil: it is down, or has not begun
	next     time.Duration
	links    map[ConnID]*link
	active   [faultTypeCount]int // faults in force
	delay    time.Duration       // of what it sends
	listener *listener           // nil: it does not listen
	host     *hostState          // nil: it is no host
}

// hostState is what outlives the incarnations of a host.
type hostState struct {
	spec        HostSpec
	name        string
	incarnation int
	startedAtMS float64       // of the present incarnation by its own clock; 0: long ago
	clockSkew   time.Duration // of its clock
	machineLost bool          // its machine is gone, and nobody says so
	published   platform.Endpoint
}

// listenerState is what the other end sees of a listener.
type listenerState uint8

const (
	listenerClosed listenerState = iota // connections are refused
	listenerOpen
	listenerStopped // connections are not made and not refused
)

// listener is a listener of a party.
type listener struct {
	id      ListenerID
	party   *party
	address string // empty: any; set once it was open
	state   listenerState
}

func hostName(number int) string { return fmt.Sprintf("s-%08x", number) }

// newListener returns a listener that is closed.
func (e *Emulator) newListener(p *party) *listener {
	l := &listener{id: ListenerID(len(e.listeners) + 1), party: p}
	e.listeners[l.id] = l
	return l
}

// wantedListenerState returns what a party's listener is to be.
func (p *party) wantedListenerState() listenerState {
	switch {
	case p.active[FaultHalfOpen] > 0 || p.active[FaultZonePartition] > 0 || p.host != nil && p.host.machineLost:
		return listenerStopped
	case p.model == nil || p.active[FaultRefused] > 0:
		return listenerClosed
	default:
		return listenerOpen
	}
}

// updateListener makes a party's listener what it is to be.
func (e *Emulator) updateListener(p *party) {
	l := p.listener
	if l == nil {
		return
	}
	before := l.state
	l.state = p.wantedListenerState()
	if l.state == before {
		return
	}
	if before == listenerClosed {
		e.emit(OpenListener{l.id, l.address})
	}
	switch {
	case l.state == listenerClosed:
		e.emit(CloseListener{l.id})
	case l.state == listenerStopped:
		e.emit(StopAccepting{l.id})
	case before == listenerStopped:
		e.emit(ResumeAccepting{l.id})
	}
}

// startHost starts the next incarnation of a host that is down.
func (e *Emulator) startHost(p *party) {
	h := p.host
	if p.model != nil || h.machineLost {
		return
	}
	cold := h.incarnation > 0 || h.spec.Cold
	h.incarnation++
	p.model = NewHost(h.spec.Config, h.name, e.rng.Uint64(), e.now, cold)
	h.startedAtMS = 0
	if cold {
		h.startedAtMS = float64((e.now + h.clockSkew).Milliseconds())
	}
	e.recordParty(RecordHostUp, p)
	e.updateListener(p)
	e.publishLater(p)
}

// killHost ends a host's process: its connections are reset.
func (e *Emulator) killHost(p *party) {
	if p.model == nil {
		return
	}
	e.endIncarnation(p)
	e.resetLinks(p)
}

// loseMachine takes a host's machine away: nobody ends its connections.
func (e *Emulator) loseMachine(p *party) {
	if p.model == nil {
		return
	}
	p.host.machineLost = true
	for _, l := range p.links {
		l.dead = true
	}
	e.endIncarnation(p)
}

// endIncarnation ends an incarnation of a host with its tasks.
func (e *Emulator) endIncarnation(p *party) {
	p.model = nil
	e.recordParty(RecordHostDown, p)
	e.updateListener(p)
	e.publishLater(p)
}

// restoreMachine starts a host whose machine had vanished.
func (e *Emulator) restoreMachine(p *party) {
	p.host.machineLost = false
	e.startHost(p)
}

// endpoint returns a host's entry in the endpoint list.
func (p *party) endpoint() platform.Endpoint {
	spec := &p.host.spec
	e := platform.Endpoint{
		Name: p.host.name, Address: p.listener.address, Zone: spec.Zone, MachineType: spec.MachineType, Cell: spec.Cell,
		State: platform.Terminated, StartedAtMS: p.host.startedAtMS, Available: []float64{spec.Config.Cores, spec.Config.Memory},
	}
	if h, up := p.model.(*Host); up {
		cores, memory := h.Available()
		e.State, e.Available = platform.InService, []float64{cores, memory}
	}
	return e
}

// publishLater publishes the state that a host has after the delay of the endpoint list.
func (e *Emulator) publishLater(p *party) {
	if e.log != nil {
		e.after(e.cfg.ListDelay, func() { e.publish(p) })
	}
}

// publish publishes a host's entry if it has changed, and the end of its former name.
func (e *Emulator) publish(p *party) {
	before, entry := p.host.published, p.endpoint()
	if entry.Address == "" {
		return // its listener is being opened; it is published then
	}
	if before.Name == entry.Name && before.State == entry.State && before.Address == entry.Address && before.StartedAtMS == entry.StartedAtMS {
		return
	}
	entries := []platform.Endpoint{entry}
	if before.Name != entry.Name && before.State == platform.InService {
		before.State = platform.Terminated
		entries = []platform.Endpoint{before, entry}
	}
	p.host.published = entry
	e.execute(e.logParty, e.log.Publish(e.now, entries...))
}
