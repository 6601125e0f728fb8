package platformmodel

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
	"forkhead/internal/scheduler/timerqueue"
)

// NetworkConfig configures a Network.
type NetworkConfig struct {
	Emulator Config
	// Core returns the configuration of an incarnation of a placer. The first incarnation is 1.
	Core           func(placer, incarnation int, initial []platform.WatchEvent) platformcore.Config
	Latency        time.Duration // latency of data, connects and closes, in each direction; above 0
	ConnectTimeout time.Duration // time after which a connection attempt of a placer fails; above 0
	Start          time.Duration // initial time of the clock; above 0
}

// Network connects an Emulator to placer cores in memory, under a simulated clock. It is not safe for concurrent use.
type Network struct {
	Emulator *Emulator

	cfg       NetworkConfig
	now       time.Duration
	timers    timerqueue.Queue[func()]
	wakeAt    time.Duration // when the Emulator is stepped next; never: no timer is set
	placers   []*networkPlacer
	listeners map[ListenerID]*networkListener
	conns     map[ConnID]*networkConn
}

// networkListener is a listener of the Emulator.
type networkListener struct {
	id        ListenerID
	address   string
	open      bool
	accepting bool // false: connections are neither accepted nor refused
}

// networkPlacer is a placer. It outlives its incarnations.
type networkPlacer struct {
	network     *Network
	number      int
	incarnation int
	core        *platformcore.Core // nil: the placer is down
	listening   bool
	wakeAt      time.Duration
	hosts       map[platformcore.ConnectionID]*networkConn // connections to hosts that are open or being opened
	owners      map[platformcore.OwnerID]*networkConn
	watch       *networkWatch
}

// placerEndpoint handles the events at the placer's end of a connection.
type placerEndpoint interface {
	received(data []byte)
	disconnected()
}

// networkConn is a connection between the Emulator and a placer.
type networkConn struct {
	id       ConnID // 0: the connection is being opened
	placer   *networkPlacer
	endpoint placerEndpoint
	closed   bool // the placer has closed the connection or has been notified of its end

	readPaused bool     // the Emulator does not read
	unread     [][]byte // data sent by the placer that the Emulator has not read; a nil item is EOF
}

// NewNetwork returns a network with running placers, whose Emulator has received Begin.
func NewNetwork(cfg NetworkConfig) (*Network, error) {
	if cfg.Latency <= 0 || cfg.Start <= 0 || cfg.ConnectTimeout <= 0 {
		return nil, fmt.Errorf("got Latency %v, ConnectTimeout %v and Start %v, want all above 0", cfg.Latency, cfg.ConnectTimeout, cfg.Start)
	}
	emulator, err := New(cfg.Emulator, cfg.Start)
	if err != nil {
		return nil, err
	}
	n := &Network{
		Emulator: emulator, cfg: cfg, now: cfg.Start, wakeAt: never, listeners: map[ListenerID]*networkListener{}, conns: map[ConnID]*networkConn{},
	}
	n.stepEmulator()
	n.advanceTo(n.now)
	for i := range cfg.Emulator.Placers {
		n.placers = append(n.placers, &networkPlacer{network: n, number: i})
		if err := n.StartPlacer(i); err != nil {
			return nil, err
		}
	}
	n.stepEmulator(Begin{})
	return n, nil
}

// Now returns the simulated time.
func (n *Network) Now() time.Duration { return n.now }

// Run advances the time until each request has its final outcome, but at most by limit. It reports whether all requests
// have one.
func (n *Network) Run(limit time.Duration) (done bool) {
	const interval = 100 * time.Millisecond
	for end := n.now + limit; n.now < end; {
		if n.Emulator.Done() {
			return true
		}
		n.advanceTo(min(end, n.now+interval))
	}
	return n.Emulator.Done()
}

// advanceTo executes the timers that are due up to a time and sets the clock to it.
func (n *Network) advanceTo(end time.Duration) {
	for {
		at, ok := n.timers.Next()
		if !ok || at > end {
			break
		}
		n.now = max(n.now, at)
		if do, due := n.timers.PopDue(n.now); due {
			do()
		}
	}
	n.now = end
}

func (n *Network) after(d time.Duration, do func()) { n.timers.Add(n.now+d, do) }

// stepEmulator passes inputs to the Emulator, executes its outputs and sets the timer of the next step.
func (n *Network) stepEmulator(inputs ...Input) {
	for _, o := range n.Emulator.Step(n.now, inputs...) {
		n.execute(o)
	}
	at := n.Emulator.Next()
	if at == n.wakeAt || at == never {
		n.wakeAt = at
		return
	}
	n.wakeAt = at
	n.timers.Add(max(at, n.now), func() {
		if n.wakeAt == at {
			n.wakeAt = never
			n.stepEmulator()
		}
	})
}

// sendToEmulator passes an input to the Emulator after the latency.
func (n *Network) sendToEmulator(in Input) { n.after(n.cfg.Latency, func() { n.stepEmulator(in) }) }

func (n *Network) execute(o Output) {
	switch o := o.(type) {
	case OpenListener:
		n.openListener(o)
	case CloseListener:
		n.listeners[o.Listener].open = false
	case StopAccepting:
		n.listeners[o.Listener].accepting = false
	case ResumeAccepting:
		n.listeners[o.Listener].accepting = true
	case Dial:
		n.dialPlacer(o)
	case Write:
		n.deliverToPlacer(o.Conn, func(c *networkConn) { c.endpoint.received(o.Bytes) })
	case CloseConnection:
		n.endConn(o.Conn)
	case ResetConnection:
		n.endConn(o.Conn)
	case StopReading:
		if c := n.conns[o.Conn]; c != nil {
			c.readPaused = true
		}
	case ResumeReading:
		n.resumeReading(o.Conn)
	}
}

func (n *Network) openListener(o OpenListener) {
	l := n.listeners[o.Listener]
	if l == nil {
		l = &networkListener{id: o.Listener, address: o.Address}
		n.listeners[o.Listener] = l
	}
	if l.address == "" {
		l.address = fmt.Sprintf("10.0.%d.%d:1", o.Listener>>8, o.Listener&0xff)
	}
	l.open, l.accepting = true, true
	n.after(0, func() { n.stepEmulator(ListenerOpened{l.id, l.address}) })
}

// listenerAt returns the open listener at an address, or nil.
func (n *Network) listenerAt(address string) *networkListener {
	for _, l := range n.listeners {
		if l.address == address && l.open {
			return l
		}
	}
	return nil
}

// deliverToPlacer calls deliver with the placer's end of a connection after the latency, unless the connection is closed
// or the placer is down by then.
func (n *Network) deliverToPlacer(id ConnID, deliver func(*networkConn)) {
	c := n.conns[id]
	if c == nil {
		return
	}
	n.after(n.cfg.Latency, func() {
		if !c.closed && c.placer.core != nil {
			deliver(c)
		}
	})
}

// endConn closes a connection from the Emulator's end.
func (n *Network) endConn(id ConnID) {
	n.deliverToPlacer(id, func(c *networkConn) {
		c.closed = true
		c.endpoint.disconnected()
	})
	delete(n.conns, id)
}

// dialPlacer connects an owner to a placer.
func (n *Network) dialPlacer(o Dial) {
	p := n.placers[o.Placer]
	n.after(n.cfg.Latency, func() {
		if p.core == nil || !p.listening {
			n.sendToEmulator(Disconnected{o.Conn})
			return
		}
		owner := platformcore.OwnerID(o.Conn)
		c := &networkConn{id: o.Conn, placer: p, endpoint: ownerEndpoint{p, owner}}
		n.conns[o.Conn], p.owners[owner] = c, c
		n.sendToEmulator(Connected{o.Conn})
		p.step(platformcore.OwnerConnected{Owner: owner})
	})
}

// dial connects a placer to the listener at an address. It calls opened with nil, errRefused or errNoAnswer, unless the
// placer has closed the connection in the meantime.
func (n *Network) dial(c *networkConn, address string, opened func(error)) {
	finish := func(err error) {
		if !c.closed {
			opened(err)
		}
	}
	if l := n.listenerAt(address); l != nil && !l.accepting {
		n.after(n.cfg.ConnectTimeout, func() { finish(errNoAnswer) })
		return
	}
	n.after(n.cfg.Latency, func() {
		l := n.listenerAt(address)
		switch {
		case c.closed:
			return
		case l == nil:
			finish(errRefused)
			return
		case !l.accepting:
			n.after(n.cfg.ConnectTimeout, func() { finish(errNoAnswer) })
			return
		}
		c.id = n.Emulator.NewConnID()
		n.conns[c.id] = c
		// This is scheduled before the Emulator's step, so that finish is called before data from the listener arrives.
		n.after(n.cfg.Latency, func() { finish(nil) })
		n.stepEmulator(Accepted{Listener: l.id, Conn: c.id, Placer: c.placer.number})
	})
}

var (
	errRefused  = errors.New("connection refused")
	errNoAnswer = errors.New("connection attempt timed out")
)

// send passes bytes from a placer to the Emulator after the latency. Nil data is EOF.
func (n *Network) send(c *networkConn, data []byte) {
	n.after(n.cfg.Latency, func() {
		if c.readPaused {
			c.unread = append(c.unread, data)
			return
		}
		n.deliver(c, data)
	})
}

// deliver passes bytes from a placer to the Emulator now. Nil data is EOF.
func (n *Network) deliver(c *networkConn, data []byte) {
	switch {
	case c.id == 0:
	case data == nil:
		n.stepEmulator(Disconnected{c.id})
	default:
		n.stepEmulator(Data{c.id, data})
	}
}

func (n *Network) resumeReading(id ConnID) {
	c := n.conns[id]
	if c == nil {
		return
	}
	c.readPaused = false
	unread := c.unread
	c.unread = nil
	n.after(0, func() {
		for _, data := range unread {
			n.deliver(c, data)
		}
	})
}

// StartPlacer starts the next incarnation of a placer, unless the placer is running.
func (n *Network) StartPlacer(number int) error {
	p := n.placers[number]
	if p.core != nil {
		return nil
	}
	p.incarnation++
	initial := n.Emulator.InitialEvents(number)
	core, err := platformcore.New(n.cfg.Core(number, p.incarnation, initial))
	if err != nil {
		return fmt.Errorf("placer %d: %w", number, err)
	}
	p.core, p.listening, p.wakeAt = core, true, 0
	p.hosts, p.owners = map[platformcore.ConnectionID]*networkConn{}, map[platformcore.OwnerID]*networkConn{}
	p.watch = newNetworkWatch(p, initial)
	n.stepEmulator(PlacerStarted{number})
	p.step()
	return nil
}

// KillPlacer ends a running placer and closes its connections.
func (n *Network) KillPlacer(number int) {
	p := n.placers[number]
	if p.core == nil {
		return
	}
	p.core = nil
	n.stepEmulator(PlacerStopped{number})
	for _, id := range slices.Sorted(maps.Keys(n.conns)) {
		if c := n.conns[id]; c.placer == p {
			p.close(c)
		}
	}
	for _, c := range p.hosts { // connections that are being opened may not be in n.conns yet
		c.closed = true
	}
	p.watch.stop()
}

// ShutDown asks a placer to shut down as for a planned restart.
func (n *Network) ShutDown(number int) { n.placers[number].step(platformcore.ShutdownRequested{}) }

// close closes a connection from the placer's end.
func (p *networkPlacer) close(c *networkConn) {
	if !c.closed {
		c.closed = true
		p.network.send(c, nil)
	}
}

// step passes inputs to the core, executes its outputs and sets the timer of the next step. It does nothing while the
// placer is down.
func (p *networkPlacer) step(inputs ...platformcore.Input) {
	n, core := p.network, p.core
	if core == nil {
		return
	}
	for _, o := range core.Step(n.now, inputs...) {
		if p.core == core {
			p.execute(o)
		}
	}
	at := max(core.Next(), n.now+time.Microsecond)
	if at == p.wakeAt {
		return
	}
	p.wakeAt = at
	n.timers.Add(at, func() {
		if p.core == core && p.wakeAt == at {
			p.wakeAt = 0
			p.step()
		}
	})
}

func (p *networkPlacer) execute(o platformcore.Output) {
	n := p.network
	switch o := o.(type) {
	case platformcore.DialHost:
		p.dialHost(o)
	case platformcore.SendToHost:
		if c := p.hosts[o.Connection]; c != nil {
			n.send(c, o.Line)
		}
	case platformcore.SendToOwner:
		if c := p.owners[o.Owner]; c != nil {
			n.send(c, o.Line)
		}
	case platformcore.CloseHostConnection:
		if c := p.hosts[o.Connection]; c != nil {
			delete(p.hosts, o.Connection)
			p.close(c)
		}
	case platformcore.HalfCloseHostConnection:
		if c := p.hosts[o.Connection]; c != nil {
			n.send(c, nil) // the host closes the connection in turn, after its pending messages
		}
	case platformcore.CloseOwnerConnection:
		if c := p.owners[o.Owner]; c != nil {
			delete(p.owners, o.Owner)
			p.close(c)
		}
	case platformcore.SendGossip:
		p.sendGossip(o)
	case platformcore.CloseListener:
		p.listening = false
	case platformcore.ShutdownComplete:
		n.KillPlacer(p.number)
	}
}

func (p *networkPlacer) dialHost(o platformcore.DialHost) {
	c := &networkConn{placer: p, endpoint: hostEndpoint{p, o.Connection}}
	p.hosts[o.Connection] = c
	p.network.dial(c, o.Address, func(err error) {
		if err == nil {
			p.step(platformcore.HostConnected{Connection: o.Connection})
			return
		}
		delete(p.hosts, o.Connection)
		p.step(platformcore.DialFailed{Connection: o.Connection, Refused: errors.Is(err, errRefused)})
	})
}

// sendGossip sends a message to one or all other placers.
func (p *networkPlacer) sendGossip(o platformcore.SendGossip) {
	for _, other := range p.network.placers {
		if other != p && (o.To == forkhead.AllPlacers || o.To == other.number) {
			p.network.after(p.network.cfg.Latency, func() { other.step(platformcore.GossipReceived{From: p.number, Data: o.Data}) })
		}
	}
}

// ownerEndpoint is the placer's end of a connection from an owner.
type ownerEndpoint struct {
	placer *networkPlacer
	id     platformcore.OwnerID
}

func (e ownerEndpoint) received(data []byte) {
	e.placer.step(platformcore.OwnerData{Owner: e.id, Data: data})
}

func (e ownerEndpoint) disconnected() {
	delete(e.placer.owners, e.id)
	e.placer.step(platformcore.OwnerDisconnected{Owner: e.id})
}

// hostEndpoint is the placer's end of a connection to a host.
type hostEndpoint struct {
	placer *networkPlacer
	id     platformcore.ConnectionID
}

func (e hostEndpoint) received(data []byte) {
	e.placer.step(platformcore.HostData{Connection: e.id, Data: data})
}

func (e hostEndpoint) disconnected() {
	delete(e.placer.hosts, e.id)
	e.placer.step(platformcore.HostDisconnected{Connection: e.id})
}
