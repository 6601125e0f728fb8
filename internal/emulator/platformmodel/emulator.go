package platformmodel

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"forkhead/internal/protocol/platform"
	"forkhead/internal/scheduler/timerqueue"
)

// defaultMaxRecords is the limit of the journal if Config.MaxRecords is 0.
const defaultMaxRecords = 1_000_000

// HostSpec configures a host and its entry in the endpoint list.
type HostSpec struct {
	Config      HostConfig
	Zone        string
	MachineType string
	Cell        int
	Cold        bool // the first incarnation begins with a slow start; all later ones do in any case
	// RestartAfter is the time from a crash by too many offers to the restart; 0: no restart.
	RestartAfter time.Duration
}

// Config configures an Emulator.
type Config struct {
	Hosts     []HostSpec
	Owners    []OwnerConfig // the times of requests count from Begin
	Placers   int
	Faults    []Fault
	ListDelay time.Duration // time from a change of a host to the event in the endpoint list
	// AddressFor returns the address at which a placer reaches the listener at an address. Nil means that all placers
	// use the listener's own address.
	AddressFor func(placer int, address string) string
	Seed       uint64
	MaxRecords int // limit of the number of records in the journal; 0: 1,000,000
}

// Emulator emulates the environment of the placers of a platform: hosts, owners and the endpoint log, with the faults
// of a schedule. It is not safe for concurrent use. Times are those of the caller's clock and must not decrease.
type Emulator struct {
	cfg      Config
	rng      *rand.Rand
	now      time.Duration
	begun    bool
	outputs  []Output
	journal  Journal
	timers   timerqueue.Queue[func()]
	lastConn ConnID

	parties        []*party // the hosts, the endpoint log, then the owners
	log            *EndpointLog
	logParty       *party
	listeners      map[ListenerID]*listener
	links          map[ConnID]*link
	delayed        map[ConnID]*link // connections on which messages or a close are held back
	running        map[int]bool     // whether a placer runs, by its number
	lastHostNumber int
}

// New returns an emulator whose hosts are up; the first Step opens the listeners. It returns an error if the
// configuration is invalid.
func New(cfg Config, now time.Duration) (*Emulator, error) {
	if cfg.MaxRecords == 0 {
		cfg.MaxRecords = defaultMaxRecords
	}
	e := &Emulator{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 3)), now: now, journal: Journal{maxRecords: cfg.MaxRecords},
		listeners: map[ListenerID]*listener{}, links: map[ConnID]*link{}, delayed: map[ConnID]*link{}, running: map[int]bool{},
	}
	if err := e.addParties(); err != nil {
		return nil, err
	}
	if len(cfg.Faults) > maxFaults {
		return nil, fmt.Errorf("got %d faults, want at most %d", len(cfg.Faults), maxFaults)
	}
	for i := range cfg.Faults {
		if err := e.validateFault(&cfg.Faults[i]); err != nil {
			return nil, fmt.Errorf("fault %d: %w", i, err)
		}
	}
	return e, nil
}

func (e *Emulator) addParties() error {
	if e.cfg.Placers < 1 || len(e.cfg.Hosts) == 0 || e.cfg.ListDelay < 0 {
		return fmt.Errorf("got %d placers, %d hosts and ListDelay %v, want at least 1, 1 and 0",
			e.cfg.Placers, len(e.cfg.Hosts), e.cfg.ListDelay)
	}
	for i, spec := range e.cfg.Hosts {
		if err := spec.Config.validate(); err != nil {
			return fmt.Errorf("host %d: %w", i, err)
		}
		e.lastHostNumber++
		p := e.addParty(HostParty, i)
		p.host = &hostState{spec: spec, name: hostName(e.lastHostNumber)}
		p.listener = e.newListener(p)
		e.startHost(p)
	}
	e.logParty = e.addParty(EndpointLogParty, 0)
	e.logParty.listener = e.newListener(e.logParty)
	for i := range e.cfg.Owners {
		if err := e.cfg.Owners[i].validate(e.cfg.Placers); err != nil {
			return fmt.Errorf("owner %d: %w", i, err)
		}
		e.addParty(OwnerParty, i)
	}
	e.log = NewEndpointLog(e.now)
	e.log.AddressFor = e.cfg.AddressFor
	e.logParty.model = e.log
	e.updateListener(e.logParty)
	return nil
}

func (e *Emulator) addParty(kind PartyKind, number int) *party {
	p := &party{id: PartyID{kind, number}, links: map[ConnID]*link{}, next: never}
	e.parties = append(e.parties, p)
	return p
}

// NewConnID returns an unused number for a connection.
func (e *Emulator) NewConnID() ConnID {
	e.lastConn++
	return e.lastConn
}

// Journal returns the records so far. The result is valid until the next Step.
func (e *Emulator) Journal() *Journal { return &e.journal }

// InitialEvents returns the retained events of the endpoint list, with which a placer is started.
func (e *Emulator) InitialEvents(placer int) []platform.WatchEvent { return e.log.Events(placer) }

// WatchAddress returns the address of the endpoint log, or "" until its listener has been opened.
func (e *Emulator) WatchAddress() string { return e.logParty.listener.address }

// Requests returns the reports on the requests of each owner, in the order of the configuration.
func (e *Emulator) Requests() [][]RequestReport {
	var all [][]RequestReport
	for _, p := range e.parties {
		if o, ok := p.model.(*Owner); ok {
			all = append(all, o.Reports())
		}
	}
	return all
}

// Done reports whether the run has begun and each request has its final outcome.
func (e *Emulator) Done() bool {
	return e.begun && !slices.ContainsFunc(e.Requests(), func(reports []RequestReport) bool {
		return slices.ContainsFunc(reports, func(r RequestReport) bool { return !r.Outcome.IsFinal() })
	})
}

// Step handles the inputs, then the timers that are due, and returns the outputs to perform.
func (e *Emulator) Step(now time.Duration, inputs ...Input) []Output {
	e.now = now
	for _, in := range inputs {
		e.handle(in)
	}
	for due := range e.timers.Due(now) {
		due()
	}
	for _, l := range slices.SortedFunc(maps.Values(e.delayed), func(a, b *link) int { return cmp.Compare(a.id, b.id) }) {
		e.flush(l)
	}
	for _, p := range e.parties {
		if p.model != nil && p.next <= now {
			e.execute(p, p.model.Step(now))
		}
	}
	out := e.outputs
	e.outputs = nil
	return out
}

// Next returns the time by which Step must be called.
func (e *Emulator) Next() time.Duration {
	next := never
	if at, ok := e.timers.Next(); ok {
		next = at
	}
	for _, p := range e.parties {
		if p.model != nil {
			next = min(next, p.next)
		}
	}
	for _, l := range e.delayed {
		next = min(next, l.next())
	}
	return next
}

func (e *Emulator) handle(in Input) {
	switch in := in.(type) {
	case ListenerOpened:
		e.handleListenerOpened(in)
	case Begin:
		e.begin()
	case Accepted:
		e.handleAccepted(in)
	case Connected:
		if l := e.links[in.Conn]; l != nil {
			e.openLink(l)
		}
	case Disconnected:
		e.handleDisconnected(in.Conn)
	case Data:
		if l := e.links[in.Conn]; l != nil {
			e.record(RecordRead, l, in.Bytes)
			l.toModel.push(e.now, in.Bytes)
			e.flush(l)
		}
	case PlacerStarted:
		e.setRunning(in.Placer, true)
	case PlacerStopped:
		e.setRunning(in.Placer, false)
	}
}

// handleListenerOpened stores the address of a listener. A host is published in the endpoint list once its listener has
// an address.
func (e *Emulator) handleListenerOpened(in ListenerOpened) {
	l := e.listeners[in.Listener]
	if l == nil {
		return
	}
	isNew := l.address == ""
	l.address = in.Address
	if isNew && l.party.host != nil && l.party.listener == l {
		e.publish(l.party)
	}
}

// begin starts the owners and schedules the faults.
func (e *Emulator) begin() {
	if e.begun {
		return
	}
	e.begun = true
	for i := range e.cfg.Faults {
		f := &e.cfg.Faults[i]
		e.after(f.At, func() { e.beginFault(f) })
	}
	for _, p := range e.parties {
		if p.id.Kind == OwnerParty {
			cfg := e.cfg.Owners[p.id.Number]
			cfg.Requests = slices.Clone(cfg.Requests)
			for i := range cfg.Requests {
				cfg.Requests[i].At += e.now
			}
			o := NewOwner(cfg, e.now, e.NewConnID)
			p.model, p.next = o, o.Next()
		}
	}
	for _, placer := range slices.Sorted(maps.Keys(e.running)) {
		e.notifyOwners(placer)
	}
}

func (e *Emulator) setRunning(placer int, running bool) {
	event := RecordPlacerStopped
	if running {
		event = RecordPlacerStarted
	}
	e.journal.add(Record{At: e.now, Event: event, Placer: placer})
	e.running[placer] = running
	if e.begun {
		e.notifyOwners(placer)
	}
}

// notifyOwners notifies all owners whether a placer runs.
func (e *Emulator) notifyOwners(placer int) {
	for _, p := range e.parties {
		o, ok := p.model.(*Owner)
		switch {
		case !ok:
		case e.running[placer]:
			e.execute(p, o.PlacerStarted(e.now, placer))
		default:
			e.execute(p, o.PlacerStopped(e.now, placer))
		}
	}
}

func (e *Emulator) beginFault(f *Fault) {
	targets := e.targets(f)
	for _, p := range targets {
		e.journal.add(Record{At: e.now, Event: RecordFaultBegan, Party: p.id, Fault: f.Type})
		injectorOf(f.Type).begin(e, f, p)
	}
	e.after(f.Duration, func() {
		for _, p := range targets {
			e.journal.add(Record{At: e.now, Event: RecordFaultEnded, Party: p.id, Fault: f.Type})
			if end := injectorOf(f.Type).end; end != nil {
				end(e, f, p)
			}
		}
	})
}

// targets returns the parties that a fault affects.
func (e *Emulator) targets(f *Fault) []*party {
	var all []*party
	for _, p := range e.parties {
		if f.Target.includes(p) {
			all = append(all, p)
		}
	}
	return all
}

// handleAccepted opens a link for an accepted connection. If the party is down or uses another listener by now, it
// resets the connection.
func (e *Emulator) handleAccepted(in Accepted) {
	listener := e.listeners[in.Listener]
	if listener != nil && listener.party.host != nil && listener.party.host.hung {
		l := e.addLink(in.Conn, listener.party, in.Placer)
		l.dead = true
		e.record(RecordOpened, l, nil)
		return
	}
	if listener == nil || listener.party.model == nil || listener != listener.party.listener {
		e.emit(ResetConnection{in.Conn})
		return
	}
	e.openLink(e.addLink(in.Conn, listener.party, in.Placer))
}

func (e *Emulator) addLink(id ConnID, p *party, placer int) *link {
	l := &link{id: id, party: p, placer: placer}
	e.links[id], p.links[id] = l, l
	return l
}

// openLink notifies a model that a connection is open.
func (e *Emulator) openLink(l *link) {
	e.record(RecordOpened, l, nil)
	if l.party.active[FaultNotReading] > 0 {
		e.emit(StopReading{l.id})
	}
	e.execute(l.party, l.party.model.ConnectionOpened(e.now, l.id, l.placer))
}

// handleDisconnected handles a connection that its placer has closed. The model is notified once it has received
// all data.
func (e *Emulator) handleDisconnected(conn ConnID) {
	l := e.links[conn]
	if l == nil {
		return
	}
	e.record(RecordClosedByPlacer, l, nil)
	if l.dead {
		if l.party.active[FaultConnectionsDead] > 0 { // nothing passes, not even an answer to the close
			l.party.host.unnoticed = append(l.party.host.unnoticed, l)
			e.forgetLink(l)
			return
		}
		e.endLink(l, ResetConnection{l.id})
		return
	}
	l.closedByPlacer = true
	e.flush(l)
}

// execute executes the actions of a model and updates the time of its next step. It ends the incarnation of a host that
// has crashed.
func (e *Emulator) execute(p *party, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			if l := e.links[a.Conn]; l != nil {
				e.send(l, a)
			} else { // an earlier action has ended the connection; the party has acted all the same
				e.journal.add(Record{At: e.now, Event: RecordSent, Party: p.id, Conn: a.Conn, Data: a.Data})
			}
		case Close:
			if l := e.links[a.Conn]; l != nil {
				e.sendClose(l)
			}
		case Connect:
			e.dial(p, a)
		}
	}
	if h, ok := p.model.(*Host); ok && h.Crashed() {
		e.killHost(p)
		if after := p.host.spec.RestartAfter; after > 0 {
			e.after(after, func() { e.startHost(p) })
		}
		return
	}
	if p.model != nil {
		p.next = p.model.Next()
	}
}

// dial connects a party to a placer. While FaultHalfOpen is in force the connection is not dialed.
func (e *Emulator) dial(p *party, a Connect) {
	l := e.addLink(a.Conn, p, a.Placer)
	l.dead = p.active[FaultHalfOpen] > 0
	if !l.dead {
		e.emit(Dial(a))
	}
}

func (e *Emulator) emit(o Output) { e.outputs = append(e.outputs, o) }

// after schedules a call of do after a time.
func (e *Emulator) after(d time.Duration, do func()) { e.timers.Add(e.now+d, do) }

func (e *Emulator) record(event RecordEvent, l *link, data []byte) {
	e.journal.add(Record{At: e.now, Event: event, Party: l.party.id, Conn: l.id, Placer: l.placer, Data: data})
}

func (e *Emulator) recordParty(event RecordEvent, p *party) {
	e.journal.add(Record{At: e.now, Event: event, Party: p.id})
}
