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
	maxUnwrittenBytes           = 4 << 20 // limit of the bytes that wait to be written on a connection
	maxQueuedJobs               = 10_000  // limit of jobs on the event loop; if it is reached, readers of connections block
	maxListenRetries            = 50
	listenBackoff               = 10 * time.Millisecond
	defaultRegistrationInterval = 500 * time.Millisecond
)

// Config is the configuration of a Server.
type Config struct {
	Host                 hostmodel.Config
	Listen               string        // ADDRESS:PORT; port 0: the kernel chooses one
	CatalogAddress       string        // HOST:PORT of Consul's API; "": the host is not registered
	Service              string        // name of the service in the catalog
	RegistrationInterval time.Duration // mean interval between registrations; 0: defaultRegistrationInterval
	Seed                 uint64
	WarmingUp            bool // whether the first incarnation warms up; for later ones see Restart
	Clock                *clock.Clock
	Engine               *netio.Engine
	Recorder             *recorder.Recorder // records the captured traffic; nil: no capture
}

// Server is an emulated host with sockets. It outlives the incarnations of the host. Its methods are safe for
// concurrent use. They are executed on its event loop and return when it has executed them.
type Server struct {
	cfg       Config
	loop      *eventloop.Loop
	stopOnce  sync.Once
	registrar *registrar

	// The fields below are used only on the event loop.

	model        *hostmodel.Host // the current incarnation; nil: the host is down
	incarnations uint64          // number of incarnations started
	listener     net.Listener
	address      string // listening address, the same in all incarnations
	connections  map[hostmodel.ConnID]*connection
	lastConnID   hostmodel.ConnID

	rng              *rand.Rand // draws the intervals between registrations
	nextRegistration time.Duration

	// Faults of all connections. See CrashSilently, DelayFrames and TruncateNextFrame.
	unresponsive      bool
	frameDelay        time.Duration
	truncateNextWrite bool
}

// Start starts a host with its first incarnation. It returns an error if it cannot listen on the address.
func Start(cfg Config) (*Server, error) {
	if cfg.RegistrationInterval <= 0 {
		cfg.RegistrationInterval = defaultRegistrationInterval
	}
	s := &Server{
		cfg: cfg, address: cfg.Listen, connections: map[hostmodel.ConnID]*connection{},
		rng: rand.New(rand.NewPCG(cfg.Seed, 1)), registrar: newRegistrar(cfg.CatalogAddress, cfg.Service),
	}
	s.loop = eventloop.New(cfg.Clock, eventloop.Limits{Jobs: maxQueuedJobs}, s.step)
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

// Address returns the address that the host listens on.
func (s *Server) Address() (address string) {
	s.loop.Call(func() { address = s.address })
	return address
}

// Name returns the host's name.
func (s *Server) Name() string { return s.cfg.Host.Name }

// Stop stops the host and closes its sockets. A stopped host cannot be restarted.
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

// With calls f with the current incarnation and the current time on the event loop, and executes the outputs that f
// returns. It doesn't call f while the host is down.
func (s *Server) With(f func(h *hostmodel.Host, now time.Duration) []hostmodel.Output) {
	s.loop.Call(func() {
		now := s.cfg.Clock.Now()
		if s.model != nil {
			s.execute(f(s.model, now))
		}
	})
}

// startIncarnation opens the listener and starts the next incarnation. It retries listening for a while, because
// closing connections of the last incarnation may still use the port.
func (s *Server) startIncarnation(warmingUp bool) error {
	s.incarnations++
	now := s.cfg.Clock.Now()
	listener, err := s.cfg.Engine.Listen(s.address, maxUnwrittenBytes, s.accept)
	for retry := 0; err != nil && retry < maxListenRetries; retry++ {
		time.Sleep(listenBackoff)
		listener, err = s.cfg.Engine.Listen(s.address, maxUnwrittenBytes, s.accept)
	}
	if err != nil {
		return fmt.Errorf("host %s: %w", s.cfg.Host.Name, err)
	}
	s.listener, s.address = listener, listener.Addr().String()
	// The epoch contains the time, so that it also increases when this process is restarted.
	epoch := uint64(now.Microseconds()) + s.incarnations
	s.model = hostmodel.New(s.cfg.Host, epoch, s.cfg.Seed+s.incarnations, now, warmingUp)
	s.unresponsive, s.nextRegistration = false, now
	s.capture(capture.Event{Type: capture.HostUp, WarmingUp: warmingUp, Zone: s.cfg.Host.Zone, Rack: s.cfg.Host.Rack})
	return nil
}

// endIncarnation ends the current incarnation, if there is one, and leaves its sockets open.
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

// crash ends the current incarnation, if there is one, closes the listener and resets all connections.
func (s *Server) crash() {
	s.endIncarnation()
	s.closeSockets((*netio.Conn).Reset)
}

// closeSockets closes the listener, and closes each connection with closeConn.
func (s *Server) closeSockets(closeConn func(*netio.Conn)) {
	if s.listener != nil {
		_ = s.listener.Close() // there is no way to handle an error
		s.listener = nil
	}
	for _, c := range s.connections {
		closeConn(c.conn)
	}
}

// step executes the due actions of the model and queues a registration if one is due. It returns the time of the next
// call; scheduled is false if the host is down.
func (s *Server) step(now time.Duration) (next time.Duration, scheduled bool) {
	if s.model == nil {
		return 0, false
	}
	s.execute(s.model.Step(now))
	if s.model == nil { // the model crashed
		return 0, false
	}
	if now >= s.nextRegistration {
		jitter := 0.8 + 0.4*s.rng.Float64()
		s.nextRegistration = now + time.Duration(float64(s.cfg.RegistrationInterval)*jitter)
		s.registrar.register(s.registrationEntry())
	}
	next = s.nextRegistration
	if at, ok := s.model.Next(); ok {
		next = min(next, at)
	}
	return next, true
}

// capture records an event with the current time and the host's name and epoch.
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
