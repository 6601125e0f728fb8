package host

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/server/clock"
	"forkhead/internal/server/eventloop"
	"forkhead/internal/server/netio"
	"forkhead/internal/server/recorder"
)

const (
	maxUnwritten                = 4 << 20 // bytes on a connection
	maxQueuedJobs               = 10_000  // on the event loop, before readers wait
	maxListenRetries            = 50
	listenBackoff               = 10 * time.Millisecond
	defaultRegistrationInterval = 500 * time.Millisecond
)

// Config is what a host is and where it runs.
type Config struct {
	Host                 hostmodel.Config
	Listen               string        // ADDRESS:PORT; port 0: any
	CatalogAddress       string        // HOST:PORT of Consul's API; "": the host registers nowhere
	Service              string        // that it registers as
	RegistrationInterval time.Duration // on average; 0: 500 ms
	Seed                 uint64
	WarmingUp            bool // the first incarnation has just started, too
	Clock                *clock.Clock
	Engine               *netio.Engine
	Recorder             *recorder.Recorder // takes the captured traffic; nil: none
}

// Server is a host on sockets, through all of its incarnations. Its methods are safe for concurrent use; they wait for its
// event loop, on which all else happens.
type Server struct {
	cfg       Config
	loop      *eventloop.Loop
	stopOnce  sync.Once
	registrar *registrar

	model        *hostmodel.Host // the current incarnation; nil: down
	incarnations uint64          // so far
	listener     net.Listener
	address      string // stays the same over incarnations
	connections  map[hostmodel.ConnID]*connection
	lastConnID   hostmodel.ConnID

	rng              *rand.Rand // of the times between registrations
	nextRegistration time.Duration

	// Faults of all connections.
	unresponsive  bool          // connections stay open, and nothing is read or written
	frameDelay    time.Duration // until frames are written
	truncateFrame bool          // the next write ends in the middle
}

// Start starts a host with its first incarnation. It returns an error if the address cannot be listened at.
func Start(cfg Config) (*Server, error) {
	if cfg.RegistrationInterval <= 0 {
		cfg.RegistrationInterval = defaultRegistrationInterval
	}
	s := &Server{
		cfg: cfg, address: cfg.Listen, connections: map[hostmodel.ConnID]*connection{},
		rng: rand.New(rand.NewPCG(cfg.Seed, 1)), registrar: newRegistrar(cfg.CatalogAddress, cfg.Service),
	}
	s.loop = eventloop.New(cfg.Clock, maxQueuedJobs, s.step)
	s.loop.Start()
	var err error
	s.loop.Call(func() { err = s.startIncarnation(cfg.WarmingUp) })
	if err != nil {
		s.loop.Stop()
		return nil, err
	}
	s.registrar.start()
	return s, nil
}

// Address returns the address that the host listens at.
func (s *Server) Address() (address string) {
	s.loop.Call(func() { address = s.address })
	return address
}

// Name returns the host's name.
func (s *Server) Name() string { return s.cfg.Host.Name }

// Stop stops the host for good.
func (s *Server) Stop() {
	s.stopOnce.Do(func() {
		s.loop.Call(func() {
			s.endIncarnation()
			s.closeSockets((*netio.Conn).Close)
		})
		s.loop.Stop()
		s.registrar.stop()
	})
}

// With runs f with the current incarnation on the event loop, and executes the outputs that f returns. f is not called
// while the host is down.
func (s *Server) With(f func(h *hostmodel.Host, now time.Duration) []hostmodel.Output) {
	s.loop.Call(func() {
		now := s.cfg.Clock.Now()
		if s.model != nil {
			s.execute(f(s.model, now))
		}
	})
}

// startIncarnation listens and starts the next incarnation. Closing connections may still use the port for a moment.
func (s *Server) startIncarnation(warmingUp bool) error {
	s.incarnations++
	now := s.cfg.Clock.Now()
	listener, err := s.cfg.Engine.Listen(s.address, maxUnwritten, s.accept)
	for retry := 0; err != nil && retry < maxListenRetries; retry++ {
		time.Sleep(listenBackoff)
		listener, err = s.cfg.Engine.Listen(s.address, maxUnwritten, s.accept)
	}
	if err != nil {
		return fmt.Errorf("host %s: %w", s.cfg.Host.Name, err)
	}
	s.listener, s.address = listener, listener.Addr().String()
	// Epochs grow over restarts of this process too: they hold the time.
	epoch := uint64(now.Microseconds()) + s.incarnations
	s.model = hostmodel.New(s.cfg.Host, epoch, s.cfg.Seed+s.incarnations, now, warmingUp)
	s.unresponsive, s.nextRegistration = false, now
	s.capture(capture.Event{Type: capture.HostUp, WarmingUp: warmingUp, Zone: s.cfg.Host.Zone, Rack: s.cfg.Host.Rack})
	return nil
}

// endIncarnation ends the current incarnation, if there is one. Its sockets stay open.
func (s *Server) endIncarnation() {
	if s.model == nil {
		return
	}
	if s.model.Overloaded() {
		s.capture(capture.Event{Type: capture.Overloaded})
	}
	s.capture(capture.Event{Type: capture.HostDown})
	s.model = nil
}

// crash ends the current incarnation and resets its connections.
func (s *Server) crash() {
	s.endIncarnation()
	s.closeSockets((*netio.Conn).Reset)
}

// closeSockets closes the listener, and each connection by the given method.
func (s *Server) closeSockets(closeConn func(*netio.Conn)) {
	if s.listener != nil {
		_ = s.listener.Close() // nothing can be done about it
		s.listener = nil
	}
	for _, c := range s.connections {
		closeConn(c.conn)
	}
}

// step lets the model act and registers the host when it is time. It returns when it wants to be called next.
func (s *Server) step(now time.Duration) (next time.Duration, scheduled bool) {
	if s.model == nil {
		return 0, false
	}
	s.execute(s.model.Step(now))
	if s.model == nil { // it crashed
		return 0, false
	}
	if now >= s.nextRegistration {
		jitter := 0.8 + 0.4*s.rng.Float64()
		s.nextRegistration = now + time.Duration(float64(s.cfg.RegistrationInterval)*jitter)
		s.registrar.register(s.entry())
	}
	next = s.nextRegistration
	if at, ok := s.model.Next(); ok {
		next = min(next, at)
	}
	return next, true
}

// capture records an event of this host.
func (s *Server) capture(e capture.Event) {
	if s.cfg.Recorder == nil {
		return
	}
	e.At, e.Host = s.cfg.Clock.Now(), s.cfg.Host.Name
	if s.model != nil {
		e.Epoch = s.model.Epoch()
	}
	s.cfg.Recorder.Add(e)
}
