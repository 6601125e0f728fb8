// Package platform puts the core of a placer on the users' platform on sockets: connections of owners and to hosts, the
// change log, datagrams between placers and the clock. It carries and decides nothing.
package platform

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"forkhead"
	"forkhead/internal/parse/platformconfig"
	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
	"forkhead/internal/server/clock"
	"forkhead/internal/server/eventloop"
	"forkhead/internal/server/netio"
)

// Bounds of the shell.
const (
	mostJobs      = 128       // of up to 32 KiB each: pollers wait beyond it
	toOwner       = 256 << 10 // bytes that an owner leaves unread before its connection is closed
	toHost        = 1 << 20   // and a host
	spareSockets  = 24        // descriptors for all but owners and hosts
	acceptReserve = 8         // accepted connections that the core has not yet heard of
	mostLingering = 4         // connections that the core has closed and that are written to the end
	lingerFor     = 200 * time.Millisecond
	lastWords     = 2 * time.Second       // what is still unread by an owner so long after the core has ended is lost
	drainQuiet    = 20 * time.Millisecond // without a new connection: the accept queue is empty
	drainMost     = 300 * time.Millisecond
)

// Options are what a placer runs with.
type Options struct {
	Config *platform.Config
	Log    zerolog.Logger
	// Tap is shown each step; it must keep none of it. nil: nobody looks.
	Tap func(now time.Duration, in []platformcore.Input, out []platformcore.Output)
}

// ConfigError means that the configuration cannot be used.
type ConfigError struct{ Err error }

// Error says why.
func (e ConfigError) Error() string { return "configuration: " + e.Err.Error() }

// Unwrap gives the cause.
func (e ConfigError) Unwrap() error { return e.Err }

// Server is a running placer.
type Server struct {
	log    zerolog.Logger
	clock  *clock.Clock
	engine *netio.Engine
	loop   *eventloop.Loop
	core   *platformcore.Core
	tap    func(now time.Duration, in []platformcore.Input, out []platformcore.Output)

	inputs []platformcore.Input
	owners map[uint64]*socket
	links  map[uint64]*socket
	dirty  []*socket
	front  *netio.Listener

	lastOwner atomic.Uint64
	seats     chan struct{} // one for each connection of an owner
	lingering atomic.Int64
	connect   time.Duration
	endBy     time.Duration // the core has ended, and owners have until then to read; 0: it has not

	changes *changes
	tell    net.PacketConn
	self    int
	peers   []netip.AddrPort
	all     netip.AddrPort

	ended    chan struct{} // closed when nothing is owed any more
	killed   chan struct{}
	endOnce  sync.Once
	stopOnce sync.Once
	wait     sync.WaitGroup
}

// socket is one connection with what is to be written to it.
type socket struct {
	s       *Server
	id      uint64
	owner   bool
	conn    *netio.Conn // nil: being made
	buf     []byte
	dirty   bool
	closed  bool        // by the core or by the other end
	left    atomic.Bool // its seat is free
	lingers atomic.Bool // it is written to the end and then closed
}

// Check says what of a configuration a placer cannot go by, as a ConfigError.
func Check(cfg *platform.Config) error {
	if err := platformconfig.Check(cfg.Settings); err != nil {
		return ConfigError{err}
	}
	for i, p := range cfg.Peers {
		if _, err := netip.ParseAddrPort(p); err != nil {
			return ConfigError{fmt.Errorf("peers[%d]: %w", i, err)}
		}
	}
	for name, address := range map[string]string{"changelog": cfg.WatchAddress, "listen": cfg.Listen, "peer_listen": cfg.PeerListen, "peers_all": cfg.PeersBroadcast} {
		if _, _, err := net.SplitHostPort(address); address != "" && err != nil {
			return ConfigError{fmt.Errorf("%s: %w", name, err)}
		}
	}
	return nil
}

// Start begins to serve. What is wrong with the configuration comes back as a ConfigError.
func Start(o Options) (*Server, error) {
	cfg := o.Config
	if err := Check(cfg); err != nil {
		return nil, err
	}
	info, err := platformconfig.Parse(cfg.Settings)
	if err != nil {
		return nil, ConfigError{err}
	}
	set, err := platformconfig.Settings(info)
	if err != nil {
		return nil, ConfigError{err}
	}
	sockets := cfg.Limits.Sockets
	if sockets == 0 {
		sockets = 1024
	}
	room := max(sockets-spareSockets, 16)
	c := platformcore.Config{
		Settings: set, IdleTimeout: platformconfig.Duration(info.Caps.ConnIdle), Seed: cfg.SeedNumber(), InitialEvents: cfg.Initial.Events,
		// Usual owners hold a third of the limit at most; what they and others leave is for hosts, and the other way.
		MaxOwnerConnections: room * 2 / 3, ProtectedOwnerConnections: min(sockets/3, room/2), MaxHostConnections: room - acceptReserve - min(sockets/3, room/2), MaxConnections: room - acceptReserve,
		Names: platformcore.WireNames{Zones: info.Zones, MachineTypes: info.Kinds},
	}
	for i := range info.Classes {
		c.Names.Classes = append(c.Names.Classes, info.Classes[i].Name)
	}
	for i := range info.Tenants {
		c.Names.Tenants = append(c.Names.Tenants, info.Tenants[i].Name)
	}
	core, err := platformcore.New(c)
	if err != nil {
		return nil, ConfigError{err}
	}
	engine, err := netio.New("node", 1)
	if err != nil {
		return nil, err
	}
	s := &Server{
		log: o.Log, clock: clock.New(), engine: engine, core: core, tap: o.Tap, owners: map[uint64]*socket{}, links: map[uint64]*socket{},
		seats: make(chan struct{}, c.MaxOwnerConnections+acceptReserve), self: info.Me, ended: make(chan struct{}), killed: make(chan struct{}),
		connect: set.ConnectTimeout,
	}
	s.loop = eventloop.New(s.clock, mostJobs, s.step)
	if err := s.listenPeers(cfg); err != nil {
		engine.Stop()
		return nil, err
	}
	if s.front, err = engine.Listen(cfg.Listen, toOwner, s.accept); err != nil {
		engine.Stop()
		s.closeTell()
		return nil, fmt.Errorf("owners: %w", err)
	}
	s.loop.Start()
	last := cfg.Initial.Seq
	for _, ch := range cfg.Initial.Events {
		last = max(last, ch.Seq)
	}
	s.changes = follow(cfg.WatchAddress, last, s.connect, s.log, func(ch platform.WatchEvent, anew bool) {
		s.loop.PostBlocking(func() { s.put(platformcore.WatchEventReceived{Event: ch, SequenceRestarted: anew}) })
	})
	return s, nil
}

func (s *Server) listenPeers(cfg *platform.Config) error {
	if cfg.PeerListen == "" {
		return nil
	}
	for _, p := range cfg.Peers {
		at, err := netip.ParseAddrPort(p)
		if err != nil {
			return ConfigError{fmt.Errorf("peers: %w", err)}
		}
		s.peers = append(s.peers, at)
	}
	var err error
	if cfg.PeersBroadcast != "" {
		if s.all, err = netip.ParseAddrPort(cfg.PeersBroadcast); err != nil {
			return ConfigError{fmt.Errorf("peers_all: %w", err)}
		}
	}
	if s.tell, err = net.ListenPacket("udp", cfg.PeerListen); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	s.wait.Add(1)
	go s.hear()
	return nil
}

func (s *Server) closeTell() {
	if s.tell != nil {
		_ = s.tell.Close()
	}
}

// Reload follows the change log at the address that a new configuration names; all else stays as it was.
func (s *Server) Reload(cfg *platform.Config) { s.changes.move(cfg.WatchAddress) }

// Stop asks the core to end; Ended tells when nothing is owed any more.
func (s *Server) Stop() { s.loop.Post(func() { s.put(platformcore.ShutdownRequested{}) }) }

// Ended is closed when the core has ended after Stop.
func (s *Server) Ended() <-chan struct{} { return s.ended }

// Address is where owners connect.
func (s *Server) Address() string { return s.front.Addr().String() }

// Kill ends the placer at once.
func (s *Server) Kill() {
	s.stopOnce.Do(func() {
		close(s.killed)
		s.changes.stop()
		s.loop.Stop()
		s.closeTell()
		s.engine.Stop()
		s.wait.Wait()
	})
}

func (s *Server) put(in platformcore.Input) { s.inputs = append(s.inputs, in) }

func (s *Server) step(now time.Duration) (time.Duration, bool) {
	in := s.inputs
	s.inputs = nil
	out := s.core.Step(now, in...)
	if s.tap != nil {
		s.tap(now, in, out)
	}
	for _, o := range out {
		s.carry(o)
	}
	for _, w := range s.dirty {
		w.flush()
	}
	s.dirty = s.dirty[:0]
	if s.endBy > 0 && (now >= s.endBy || s.allWritten()) {
		s.endOnce.Do(func() { close(s.ended) })
	}
	return s.core.Next(), true
}

// allWritten says whether owners have all that was written for them.
func (s *Server) allWritten() bool {
	for _, w := range s.owners {
		if !w.conn.IsClosed() && w.conn.PendingBytes() > 0 {
			return false
		}
	}
	return s.lingering.Load() == 0
}

func (s *Server) carry(o platformcore.Output) {
	switch o := o.(type) {
	case platformcore.SendToOwner:
		s.write(s.owners[o.Owner], o.Line)
	case platformcore.SendToHost:
		w := s.links[o.Connection]
		s.write(w, o.Line)
		if o.Abandons && w != nil && w.conn != nil && w.conn.HasUnsent() {
			// The offer may not have left yet, and would begin whenever the host reads on: guards against attempts that
			// begin long after their owner has left. Closing a connection gives up what is open on it.
			w.conn.Reset()
		}
	case platformcore.CloseOwnerConnection:
		s.close(s.owners, o.Owner)
	case platformcore.CloseHostConnection:
		s.close(s.links, o.Connection)
	case platformcore.HalfCloseHostConnection:
		if w := s.links[o.Connection]; w != nil && w.conn != nil {
			w.flush()
			w.conn.CloseWrite()
		}
	case platformcore.DialHost:
		s.dial(o)
	case platformcore.SendGossip:
		s.send(o)
	case platformcore.CloseListener:
		s.front.Drain(drainQuiet, drainMost)
	case platformcore.ShutdownComplete:
		if s.endBy == 0 {
			s.endBy = s.clock.Now() + lastWords
		}
	case platformcore.Log:
		s.writeLog(o)
	}
}

func (s *Server) write(w *socket, line []byte) {
	if w == nil || w.conn == nil {
		return
	}
	w.buf = append(w.buf, line...)
	if !w.dirty {
		w.dirty = true
		s.dirty = append(s.dirty, w)
	}
}

// flush writes what a step has for a connection; a write that fails closes it, which is heard of by Closed.
func (w *socket) flush() {
	w.dirty = false
	if len(w.buf) > 0 {
		_ = w.conn.Write(w.buf)
		w.buf = nil
	}
}

func (s *Server) close(of map[uint64]*socket, id uint64) {
	w := of[id]
	if w == nil {
		return
	}
	delete(of, id)
	w.closed = true
	if w.conn == nil {
		return
	}
	w.flush()
	if w.conn.PendingBytes() == 0 || !s.linger(w) {
		w.conn.Close()
	}
}

// linger closes a connection once all that was written to it has gone out: what is queued when a connection is closed is
// lost. It returns false where too many linger already.
func (s *Server) linger(w *socket) bool {
	if s.lingering.Add(1) > mostLingering {
		s.lingering.Add(-1)
		return false
	}
	w.lingers.Store(true)
	w.leave() // the core has room for another already
	w.conn.CloseAfterFlush(lingerFor)
	if w.conn.IsClosed() { // perhaps before it lingered
		w.lingered()
	}
	return true
}

// lingered counts a connection that lingered as closed, once.
func (w *socket) lingered() {
	if w.lingers.Swap(false) {
		w.s.lingering.Add(-1)
	}
}

// accept takes a connection of an owner. Where all seats are taken it waits for one: the core gives up a connection for
// each that it hears of beyond its bound. It guards against more connections than descriptors, and against usual owners
// that are closed unheard because others came at the same moment: they wait in the accept queue instead.
func (s *Server) accept(c *netio.Conn) netio.Handler {
	select {
	case s.seats <- struct{}{}:
	case <-s.killed:
		return nil
	}
	w := &socket{s: s, id: s.lastOwner.Add(1), owner: true, conn: c}
	if !s.loop.PostBlocking(func() {
		if !c.IsClosed() {
			s.owners[w.id] = w
			s.put(platformcore.OwnerConnected{Owner: w.id})
		}
	}) {
		w.leave()
		return nil
	}
	return w
}

// leave frees the seat of an owner's connection, once.
func (w *socket) leave() {
	if w.owner && !w.left.Swap(true) {
		<-w.s.seats
	}
}

func (s *Server) dial(o platformcore.DialHost) {
	w := &socket{s: s, id: o.Connection}
	s.links[o.Connection] = w
	s.engine.Dial(o.Address, s.connect, toHost, w, func(c *netio.Conn, err error) {
		s.loop.Post(func() {
			switch {
			case w.closed:
				if c != nil {
					c.Close()
				}
			case err != nil || c.IsClosed():
				delete(s.links, o.Connection)
				s.put(platformcore.DialFailed{Connection: o.Connection, Refused: errors.Is(err, syscall.ECONNREFUSED), Local: ours(err)})
			default:
				w.conn = c
				s.put(platformcore.HostConnected{Connection: o.Connection})
			}
		})
	})
}

// ours says whether a connection was not made for want of something here.
func ours(err error) bool {
	for _, lack := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, net.ErrClosed} {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}

// Data takes bytes of a connection. The core sees what an owner sent last together with its leaving: it guards against
// attempts for an owner that left while its bytes waited to be read.
func (w *socket) Data(c *netio.Conn, p []byte) {
	data := append([]byte(nil), p...)
	w.s.loop.PostBlocking(func() {
		switch {
		case w.closed:
		case w.owner:
			w.s.put(platformcore.OwnerData{Owner: w.id, Data: data})
			if len(data) < netio.ReadSize && c.PeerClosed() {
				w.s.gone(w)
			}
		default:
			w.s.put(platformcore.HostData{Connection: w.id, Data: data})
		}
	})
}

// Closed takes the end of a connection.
func (w *socket) Closed(*netio.Conn, error) {
	w.lingered()
	w.leave()
	w.s.loop.Post(func() { w.s.gone(w) })
}

// gone tells the core, once, that the other end of a connection has left.
func (s *Server) gone(w *socket) {
	if w.closed {
		return
	}
	w.closed = true
	if w.owner {
		delete(s.owners, w.id)
		s.put(platformcore.OwnerDisconnected{Owner: w.id})
	} else {
		delete(s.links, w.id)
		s.put(platformcore.HostDisconnected{Connection: w.id})
	}
}

// ---- Other placers.

func (s *Server) send(o platformcore.SendGossip) {
	udp, ok := s.tell.(*net.UDPConn)
	if !ok {
		return
	}
	to := s.all
	if o.To != forkhead.AllPlacers {
		if o.To < 0 || o.To >= len(s.peers) {
			return
		}
		to = s.peers[o.To]
	}
	if to.IsValid() {
		_, _ = udp.WriteToUDPAddrPort(o.Data, to) // a message may be lost
	}
}

func (s *Server) hear() {
	defer s.wait.Done()
	udp := s.tell.(*net.UDPConn)
	buf := make([]byte, platform.MaxDatagramSize+1)
	for {
		n, from, err := udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n > platform.MaxDatagramSize {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		for i, p := range s.peers {
			if i != s.self && p == from {
				data := append([]byte(nil), buf[:n]...)
				s.loop.PostBlocking(func() { s.put(platformcore.GossipReceived{From: i, Data: data}) })
				break
			}
		}
	}
}
