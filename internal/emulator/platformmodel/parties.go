package platformmodel

import (
	"fmt"
	"time"

	"forkhead/internal/protocol/platform"
)

// party is a host, an owner or the endpoint log with its connections, its listener and the faults in force on it.
type party struct {
	id       PartyID
	model    model         // nil: the host is down, or the owner has not started
	next     time.Duration // when the model is to be stepped
	links    map[ConnID]*link
	active   [faultTypeCount]int // number of faults in force, by type
	delay    time.Duration       // delay of the messages that the party sends
	listener *listener           // nil: the party accepts no connections
	host     *hostState          // nil: the party is not a host
}

// hostState is the state of a host that outlives its incarnations.
type hostState struct {
	spec        HostSpec
	name        string
	incarnation int                 // number of the current or latest incarnation, from 1
	startedAtMS float64             // start of the incarnation by the host's clock; 0: long ago
	clockSkew   time.Duration       // offset of the host's clock
	machineLost bool                // the machine has been removed without closing its connections
	hung        bool                // the process accepts connections and does nothing else
	published   platform.Endpoint   // latest entry in the endpoint list
	former      []platform.Endpoint // entries of killed hosts whose address this one has taken, while these are listed
	unnoticed   []*link             // dead connections whose close by the placer the host has not noticed
}

// listenerState is the behavior of a listener towards new connections.
type listenerState uint8

const (
	listenerClosed  listenerState = iota // connections are refused
	listenerOpen                         // connections are accepted
	listenerStopped                      // connections are neither accepted nor refused
)

// listener is a listener of a party. A party keeps its listener, except that FaultHostReaddressed gives it another one.
type listener struct {
	id      ListenerID
	party   *party
	address string // empty until the listener has been opened: any free address
	state   listenerState
}

func hostName(number int) string { return fmt.Sprintf("s-%08x", number) }

// newListener adds a closed listener for a party.
func (e *Emulator) newListener(p *party) *listener {
	l := &listener{id: ListenerID(len(e.listeners) + 1), party: p}
	e.listeners[l.id] = l
	return l
}

// wantedListenerState returns the state that the party's listener should have, from its model and the faults in force.
func (p *party) wantedListenerState() listenerState {
	switch {
	case p.active[FaultHalfOpen] > 0 || p.active[FaultZonePartition] > 0 || p.host != nil && p.host.machineLost:
		return listenerStopped
	case p.host != nil && p.host.hung:
		return listenerOpen
	case p.model == nil || p.active[FaultRefused] > 0:
		return listenerClosed
	default:
		return listenerOpen
	}
}

// updateListener changes a party's listener to its wanted state.
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

// startHost starts the next incarnation of a host. It does nothing if the host is up or its machine is lost.
func (e *Emulator) startHost(p *party) {
	h := p.host
	if p.model != nil || h.machineLost || h.hung {
		return
	}
	cold := h.incarnation > 0 || h.spec.Cold
	h.incarnation++
	p.model = NewHost(h.spec.Config, h.name, e.rng.Uint64(), e.now, cold)
	h.startedAtMS = 0
	if cold {
		h.startedAtMS = float64((e.now + h.clockSkew).Milliseconds())
	}
	e.journal.add(Record{At: e.now, Event: RecordHostUp, Party: p.id, Data: []byte(h.name)})
	e.updateListener(p)
	e.publishLater(p)
}

// killHost ends the process of a host and resets its connections, if the host is up.
func (e *Emulator) killHost(p *party) {
	if p.model == nil {
		return
	}
	e.endIncarnation(p)
	e.resetLinks(p)
}

// loseMachine removes the machine of a host, if the host is up. Nothing passes on its connections any more, not even a
// close.
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

// endIncarnation ends an incarnation of a host and its tasks, and publishes the end.
func (e *Emulator) endIncarnation(p *party) {
	p.model = nil
	e.recordParty(RecordHostDown, p)
	e.updateListener(p)
	e.publishLater(p)
}

// restoreMachine starts a host whose machine was lost.
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
	h, up := p.model.(*Host)
	switch {
	case p.active[FaultListedRemoved] > 0:
	case up:
		cores, memory := h.Available()
		e.State, e.Available = platform.InService, []float64{cores, memory}
	case p.host.hung:
		e.State = platform.InService
	}
	return e
}

// publishLater schedules a call of publish for a host after Config.ListDelay. The published entry shows the host's
// state at the time of that call.
func (e *Emulator) publishLater(p *party) {
	if e.log != nil {
		e.after(e.cfg.ListDelay, func() { e.publish(p) })
	}
}

// publish publishes a host's entry in the endpoint list if the entry has changed. If the host's name has changed and the
// entry with the former name was in service, that entry is published as terminated.
func (e *Emulator) publish(p *party) {
	before, entry := p.host.published, p.endpoint()
	if entry.Address == "" {
		return // handleListenerOpened publishes the host once it has an address
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
