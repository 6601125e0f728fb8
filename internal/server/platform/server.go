// Package platform performs the I/O of a placer that runs on the platform. It passes inputs and outputs between the
// core of scheduler/platform, which makes all decisions, and the connections of owners and to hosts, the watch of the
// endpoint list, the gossip between placers and the clock.
//
// One goroutine, that of the event loop, steps the core and executes its outputs. It owns the state of the connections.
// Other goroutines post their events to it as jobs.
package platform

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"forkhead/internal/protocol/platform"
	platformcore "forkhead/internal/scheduler/platform"
	"forkhead/internal/server/clock"
	"forkhead/internal/server/eventloop"
	"forkhead/internal/server/netio"
)

// maxQueuedJobs and maxQueuedBytes bound the event loop's queue of jobs and the bytes of owners in it. Pollers wait while
// the queue is full. All that is queued is handled in one step, and whatever arrives meanwhile waits for the next one: an
// owner that sends at full speed may not make a step long.
const (
	maxQueuedJobs  = 128
	maxQueuedBytes = 32 << 10
)

// Tap observes the inputs and outputs of the core. It must not keep the slices that it is called with.
type Tap interface {
	// Start is called once, before the first step, with the time and the core's configuration.
	Start(now time.Duration, config *platformcore.Config)
	// Step is called after each step of the core, on the event loop's goroutine, before the outputs are executed. A
	// step in which the core panics has no outputs.
	Step(now time.Duration, in []platformcore.Input, out []platformcore.Output)
}

// Options are the arguments of Start.
type Options struct {
	Config *platform.Config
	Log    zerolog.Logger
	Tap    Tap // may be nil
}

// Server is a running placer. Its methods are safe for concurrent use.
type Server struct {
	log   zerolog.Logger
	clock *clock.Clock
	tap   Tap

	// The fields from engine to watch run goroutines, for which Close waits.
	engine *netio.Engine
	loop   *eventloop.Loop
	gossip *gossipSocket // nil if the configuration names no gossip address
	watch  *watcher

	// The fields from core to shutdown are used by the event loop's goroutine only, except where the comments of their
	// types say otherwise.
	core     *platformcore.Core
	inputs   *inputQueue
	writes   *writeQueue
	owners   *ownerConnections
	hosts    *hostConnections
	lingerer *lingerer
	shutdown *shutdown
	stalls   stallDetector

	logLimiter logLimiter

	cancel    context.CancelFunc // ends the watch, and accept's wait for a slot
	closeOnce sync.Once
}

// Start starts a placer. It returns a ConfigError if the configuration cannot be used.
func Start(options Options) (*Server, error) {
	cfg := options.Config
	if err := CheckConfig(cfg); err != nil {
		return nil, err
	}
	info, settings, err := readSettings(cfg)
	if err != nil {
		return nil, err
	}
	coreConfig := newCoreConfig(cfg, info, settings)
	core, err := platformcore.New(coreConfig)
	if err != nil {
		return nil, ConfigError{err}
	}
	engine, err := netio.New("node", 1)
	if err != nil {
		return nil, fmt.Errorf("start the connection engine: %w", err)
	}
	s := newServer(options, core, engine, coreConfig.MaxOwnerConnections, settings.ConnectTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	if s.gossip, err = openGossip(cfg, info.Self, s.inputs); err != nil {
		cancel()
		engine.Stop()
		return nil, err
	}
	if err := s.owners.listen(ctx, engine, cfg.Listen); err != nil {
		cancel()
		engine.Stop()
		s.gossip.close()
		return nil, err
	}
	if s.tap != nil {
		s.tap.Start(s.clock.Now(), &coreConfig)
	}
	s.stalls.began(s.clock.Now())
	s.loop.Start()
	s.gossip.start()
	s.watch = startWatch(ctx, watchConfig{
		address: cfg.WatchAddress, last: lastSequence(cfg), initial: cfg.Initial.Events, connectTimeout: settings.ConnectTimeout, log: s.log,
		deliver: func(event platform.WatchEvent, restarted bool) {
			s.inputs.postBlocking(platformcore.WatchEventReceived{Event: event, SequenceRestarted: restarted})
		},
	})
	return s, nil
}

// newServer returns a server whose event loop, listener, gossip and watch are not started.
func newServer(options Options, core *platformcore.Core, engine *netio.Engine, maxOwners int, connectTimeout time.Duration) *Server {
	s := &Server{
		log: options.Log, clock: clock.New(), tap: options.Tap, engine: engine, core: core,
		writes: &writeQueue{}, lingerer: &lingerer{}, shutdown: newShutdown(),
	}
	s.loop = eventloop.New(s.clock, eventloop.Limits{Jobs: maxQueuedJobs, Bytes: maxQueuedBytes}, s.step)
	s.inputs = &inputQueue{loop: s.loop}
	s.owners = &ownerConnections{
		inputs: s.inputs, writes: s.writes, lingerer: s.lingerer, slots: newAcceptSlots(maxOwners + acceptReserve),
		open: map[platformcore.OwnerID]*ownerConnection{},
	}
	s.hosts = &hostConnections{
		inputs: s.inputs, writes: s.writes, lingerer: s.lingerer, engine: engine, connectTimeout: connectTimeout,
		open: map[platformcore.ConnectionID]*hostConnection{},
	}
	return s
}

// lastSequence returns the sequence number of the last event in the configuration.
func lastSequence(cfg *platform.Config) uint64 {
	last := cfg.Initial.Seq
	for _, event := range cfg.Initial.Events {
		last = max(last, event.Seq)
	}
	return last
}

// Address returns the address of the listener for owners.
func (s *Server) Address() string { return s.owners.listener.Addr().String() }

// Reload applies the watch address of a new configuration. All other settings are ignored.
func (s *Server) Reload(cfg *platform.Config) { s.watch.setAddress(cfg.WatchAddress) }

// BeginShutdown requests the core to shut down and returns at once. ShutdownComplete tells when the shutdown is
// complete.
func (s *Server) BeginShutdown() { s.inputs.post(platformcore.ShutdownRequested{}) }

// ShutdownComplete returns a channel that is closed, after BeginShutdown, when the core has shut down and either no
// pending bytes for owners are left or flushTimeout has passed.
func (s *Server) ShutdownComplete() <-chan struct{} { return s.shutdown.complete }

// Close stops the placer immediately and waits for its goroutines. Further calls do nothing.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		s.cancel()
		s.watch.awaitEnd()
		s.loop.Stop()
		s.gossip.close()
		s.engine.Stop()
	})
}

// step steps the core with the queued inputs and executes its outputs. It is the event loop's Step.
func (s *Server) step(now time.Duration) (next time.Duration, ok bool) {
	inputs := s.inputs.take()
	s.stalls.observe(now)
	s.stalls.setAges(now, inputs)
	out := s.stepCore(now, inputs)
	for _, output := range out {
		s.execute(output)
	}
	s.writes.flush()
	s.shutdown.update(now, s.isFlushed)
	next = s.core.Next()
	s.stalls.stepped(now, next)
	return next, true
}

// stepCore steps the core and passes the step to the tap, even if the core panics.
func (s *Server) stepCore(now time.Duration, in []platformcore.Input) (out []platformcore.Output) {
	if s.tap != nil {
		defer func() { s.tap.Step(now, in, out) }()
	}
	return s.core.Step(now, in...)
}

// isFlushed reports whether no pending bytes for owners are left. Each lingering connection counts as one of an owner,
// even if it is a connection to a host.
func (s *Server) isFlushed() bool { return s.owners.isFlushed() && s.lingerer.isEmpty() }

// execute executes an output of the core.
func (s *Server) execute(output platformcore.Output) {
	switch o := output.(type) {
	case platformcore.SendToOwner:
		s.owners.send(o.Owner, o.Line)
	case platformcore.CloseOwnerConnection:
		s.owners.close(o.Owner)
	case platformcore.CloseListener:
		s.owners.closeListener()
	case platformcore.DialHost:
		s.hosts.dial(o)
	case platformcore.SendToHost:
		s.hosts.send(o)
	case platformcore.HalfCloseHostConnection:
		s.hosts.halfClose(o.Connection)
	case platformcore.CloseHostConnection:
		s.hosts.close(o.Connection)
	case platformcore.SendGossip:
		s.gossip.send(o)
	case platformcore.ShutdownComplete:
		s.shutdown.coreComplete(s.clock.Now())
	case platformcore.Log:
		s.writeLog(s.clock.Now(), o)
	}
}
