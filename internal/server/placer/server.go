// Package placer runs a placer's core: it owns the connections to the hosts, the HTTP server, the watch of the machine
// list, the gossip socket and the use of the store. It decides nothing.
//
// The core belongs to one goroutine, the loop. Everything that arrives is handed to the loop as an input, and the loop
// executes the outputs of each step. What else belongs to the loop is noted at each field.
package placer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"forkhead"
	"forkhead/internal/parse/settings"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/scheduler/durable"
	"forkhead/internal/server/clock"
	"forkhead/internal/server/eventloop"
	"forkhead/internal/server/listwatch"
	"forkhead/internal/server/netio"
	"forkhead/internal/server/store"
)

const (
	pollers       = 2      // goroutines that read the sockets
	maxQueuedJobs = 20_000 // of the loop; beyond it those that read sockets wait
)

// Config is what a placer runs with.
type Config struct {
	Settings *settings.Settings // by ForPlacer: Module.Self is this placer
	Clock    *clock.Clock       // nil: one of its own
	Log      zerolog.Logger
	Seed     uint64 // of the random choices
	Epoch    uint64 // of this incarnation; 0: by the clock
	// Store holds what must survive a restart, and Snapshot is what store.Open has read from it. nil: nothing is
	// stored. The caller closes the store once the placer has been closed.
	Store    *store.Store
	Snapshot *durable.Snapshot
	// OnStep is called on the loop's goroutine with each step of the core: its time, the time that the core had requested
	// (0: it had not), its inputs in the order of their receipt and its outputs in the order of their execution. It must
	// keep neither slice. nil: not called.
	OnStep func(now, due time.Duration, in []core.Input, out []core.Output)
	// DropGossip reports whether a datagram of another placer is to be lost, for tests. It is called on the goroutine
	// that receives gossip. nil: none is lost.
	DropGossip func(from int) bool
	// Decide replaces the module in tests of the invariants and of the rules' checker. nil: the module decides.
	Decide func(now time.Duration, events []forkhead.Event) []forkhead.Action
}

// Server is a running placer. Its exported methods may be called from any goroutine but the loop's.
type Server struct {
	settings *settings.Settings
	log      zerolog.Logger
	epoch    uint64
	onStep   func(now, due time.Duration, in []core.Input, out []core.Output)

	engine *netio.Engine
	loop   *eventloop.Loop
	http   *httpServer
	gossip *gossipSocket

	// Done once the placer takes nothing new: it is shutting down, or its store has failed.
	accepting     context.Context
	stopAccepting context.CancelFunc
	storeError    chan error // receives one error at most

	// The rest up to mu belongs to the loop. Close uses watch after the loop has ended.
	core        *core.Core
	inputs      []core.Input  // of the next step
	stepDue     time.Duration // when the core requested to be stepped; 0: it did not
	hosts       map[string]*hostConn
	unflushed   []*hostConn // with frames in their buffers
	watch       *listwatch.Watch
	persister   persister
	storeFailed bool

	mu         sync.Mutex // guards closed, and goroutines against growing while Close waits
	closed     bool
	goroutines sync.WaitGroup
	closeOnce  sync.Once
}

// Start starts a placer. The HTTP server and the gossip socket accept traffic when it returns.
func Start(cfg Config) (*Server, error) {
	if cfg.Clock == nil {
		cfg.Clock = clock.New()
	}
	s := &Server{
		settings: cfg.Settings, epoch: firstEpoch(&cfg), onStep: cfg.OnStep,
		log:        cfg.Log.With().Int("placer", cfg.Settings.Module.Self).Logger(),
		storeError: make(chan error, 1), hosts: map[string]*hostConn{}, persister: persister{store: cfg.Store},
	}
	s.accepting, s.stopAccepting = context.WithCancel(context.Background())
	s.http = newHTTPServer(s)
	var err error
	s.core, err = core.New(core.Config{
		Settings: cfg.Settings, Seed: cfg.Seed, Epoch: s.epoch, Decide: cfg.Decide, Durable: cfg.Store != nil,
	})
	if err != nil {
		return nil, err
	}
	if cfg.Snapshot != nil {
		s.addInput(core.Restore{Snapshot: cfg.Snapshot})
	}
	s.loop = eventloop.New(cfg.Clock, maxQueuedJobs, s.step)
	if err := s.open(&cfg); err != nil {
		return nil, err
	}
	return s, nil
}

// firstEpoch returns the epoch of the incarnation that cfg starts.
func firstEpoch(cfg *Config) uint64 {
	epoch := cfg.Epoch
	if epoch == 0 {
		epoch = uint64(cfg.Clock.Now().Microseconds())
	}
	if cfg.Snapshot != nil {
		// The clock may have been set back, and hosts reject an earlier epoch.
		epoch = max(epoch, cfg.Snapshot.Epoch+1)
	}
	return epoch
}

// open opens the sockets and starts the goroutines. After an error all of them are closed again.
func (s *Server) open(cfg *Config) error {
	self := s.settings.Module.Self
	var err error
	if s.engine, err = netio.New(fmt.Sprintf("placer-%d", self), pollers); err != nil {
		return err
	}
	if s.gossip, err = listenGossip(s.settings, cfg.DropGossip); err != nil {
		s.engine.Stop()
		return fmt.Errorf("gossip: %w", err)
	}
	s.loop.Start()
	s.spawn(func() {
		s.gossip.receive(func(from int, data []byte) {
			s.loop.PostBlocking(func() { s.addInput(core.GossipReceived{From: from, Data: data}) })
		})
	})
	if err := s.http.listen(s.settings.Placers[self].HTTPAddress); err != nil {
		s.Close()
		return fmt.Errorf("HTTP server: %w", err)
	}
	return nil
}

// Epoch returns the epoch of this incarnation.
func (s *Server) Epoch() uint64 { return s.epoch }

// Address returns the HOST:PORT at which the HTTP server listens.
func (s *Server) Address() string { return s.http.listener.Addr().String() }

// Status returns the core's counts, or zeros once the placer is closed.
func (s *Server) Status() core.Status {
	var status core.Status
	s.loop.Call(func() { status = s.core.Status() })
	return status
}

// Failed returns a channel that receives the store's error if the store fails. Nothing leaves the placer after that: the
// caller is expected to close it.
func (s *Server) Failed() <-chan error { return s.storeError }

// InjectStall blocks the loop for a while, as a long garbage collection or a stopped process would. It is for tests.
func (s *Server) InjectStall(d time.Duration) { s.loop.Post(func() { time.Sleep(d) }) }

// Shutdown takes no new submission, waits until the open requests are answered or ctx is done, and then closes the
// placer. Placed tasks keep running.
func (s *Server) Shutdown(ctx context.Context) {
	s.stopAccepting()
	_ = s.http.listener.Close()
	s.http.waitUntilIdle(ctx)
	s.Close()
}

// Close closes the placer at once, as if its process were killed: requests are cut off and the core's state is lost but
// for what the store holds. It returns when all goroutines have ended.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		s.stopAccepting()
		s.loop.Stop()
		if s.watch != nil {
			s.watch.Stop()
		}
		s.gossip.close()
		s.engine.Stop()
		s.mu.Lock()
		s.closed = true
		s.mu.Unlock()
		s.goroutines.Wait()
	})
}

// spawn runs f on a goroutine for which Close waits. Once Close waits already, f is not run.
func (s *Server) spawn(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.goroutines.Go(f)
	}
}
