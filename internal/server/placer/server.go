// Package placer runs a placer's core. It owns the connections to the hosts, the HTTP server, the watch of the machine
// list and the gossip socket, and writes to the store. It makes no placement decisions.
//
// The core belongs to one goroutine, the loop. All events are passed to the loop as inputs of the core, and the loop
// executes the outputs of each step. Fields that may be used only on the loop are marked as belonging to it.
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
	pollers       = 2      // number of goroutines that read the TCP sockets
	maxQueuedJobs = 20_000 // while the loop's queue holds this many jobs, PostBlocking makes the readers of sockets wait
)

// Config configures a placer.
type Config struct {
	Settings *settings.Settings // as returned by Settings.ForPlacer: Module.Self is this placer
	Clock    *clock.Clock       // nil: a new clock
	Log      zerolog.Logger
	Seed     uint64 // seed of the core's random choices
	Epoch    uint64 // epoch of this incarnation; 0: taken from the clock
	// Store holds the state that must survive a restart, and Snapshot is its content as returned by store.Open. nil:
	// nothing is stored. The caller closes the store after the placer.
	Store    *store.Store
	Snapshot *durable.Snapshot
	// OnStep is called on the loop's goroutine for each step of the core: with its time, the time for which the core
	// had requested a step (0: it had requested none), its inputs in the order of their receipt and its outputs in the
	// order of their execution. It must not keep the slices. nil: not called.
	OnStep func(now, due time.Duration, in []core.Input, out []core.Output)
	// DropGossip reports whether to drop a datagram from another placer, for tests. It is called on the goroutine that
	// receives gossip. nil: none is dropped.
	DropGossip func(from int) bool
	// Decide replaces the module, in tests of the invariants and of the rules checker. nil: the module decides.
	Decide func(now time.Duration, events []forkhead.Event) []forkhead.Action
}

// Server is a running placer. Its exported methods may be called from any goroutine except the loop's.
type Server struct {
	settings *settings.Settings
	log      zerolog.Logger
	epoch    uint64
	onStep   func(now, due time.Duration, in []core.Input, out []core.Output)

	engine *netio.Engine
	loop   *eventloop.Loop
	http   *httpServer
	gossip *gossipSocket

	// The context accepting is canceled once the placer accepts no new submissions, because it is shutting down or its
	// store has failed.
	accepting     context.Context
	stopAccepting context.CancelFunc
	storeError    chan error // receives at most one error, that of the store

	// The fields up to mu belong to the loop. Close uses watch after the loop has ended.
	core        *core.Core
	inputs      []core.Input         // inputs of the core's next step
	stepDue     time.Duration        // time for which the core requested a step; 0: it requested none
	hostConns   map[string]*hostConn // current connections, by host
	unflushed   []*hostConn          // connections with buffered frames
	watch       *listwatch.Watch     // watch of the machine list; nil: no watch is running
	persister   persister
	storeFailed bool

	mu         sync.Mutex // guards closed, and keeps spawn from adding to goroutines once Close waits for them
	closed     bool
	goroutines sync.WaitGroup
	closeOnce  sync.Once
}

// Start starts a placer. Once it has returned, the HTTP server and the gossip socket accept traffic.
func Start(cfg Config) (*Server, error) {
	if cfg.Clock == nil {
		cfg.Clock = clock.New()
	}
	s := &Server{
		settings: cfg.Settings, epoch: chooseEpoch(&cfg), onStep: cfg.OnStep,
		log:        cfg.Log.With().Int("placer", cfg.Settings.Module.Self).Logger(),
		storeError: make(chan error, 1), hostConns: map[string]*hostConn{}, persister: persister{store: cfg.Store},
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
	s.loop = eventloop.New(cfg.Clock, eventloop.Limits{Jobs: maxQueuedJobs}, s.step)
	if err := s.open(&cfg); err != nil {
		return nil, err
	}
	return s, nil
}

// chooseEpoch returns the epoch of the incarnation that cfg starts.
func chooseEpoch(cfg *Config) uint64 {
	epoch := cfg.Epoch
	if epoch == 0 {
		epoch = uint64(cfg.Clock.Now().Microseconds())
	}
	if cfg.Snapshot != nil {
		// The clock may have been set back since the last incarnation, and hosts reject an epoch that is earlier than
		// that of the last incarnation.
		epoch = max(epoch, cfg.Snapshot.Epoch+1)
	}
	return epoch
}

// open opens the sockets and starts the goroutines. If open fails, it closes those sockets and ends those goroutines
// again.
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

// Status returns the core's status, or the zero Status once the placer is closed.
func (s *Server) Status() core.Status {
	var status core.Status
	s.loop.Call(func() { status = s.core.Status() })
	return status
}

// Failed returns a channel that receives the store's error if the store fails. After that the placer executes no
// outputs, and the caller should close the placer.
func (s *Server) Failed() <-chan error { return s.storeError }

// InjectStall blocks the loop for the duration d, as a long garbage collection or a stopped process would. Only tests
// call it.
func (s *Server) InjectStall(d time.Duration) { s.loop.Post(func() { time.Sleep(d) }) }

// Shutdown stops accepting submissions, waits until the open requests have been answered or ctx is done, and then
// closes the placer. Placed tasks keep running.
func (s *Server) Shutdown(ctx context.Context) {
	s.stopAccepting()
	_ = s.http.listener.Close()
	s.http.waitUntilIdle(ctx)
	s.Close()
}

// Close closes the placer immediately, as if its process were killed: it cuts off requests and loses the core's state
// except for what is in the store. It returns when all goroutines have ended.
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

// spawn runs f on a new goroutine for which Close waits. It does not run f if Close is already waiting.
func (s *Server) spawn(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.goroutines.Go(f)
	}
}
