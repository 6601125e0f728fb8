// Package testcluster puts a whole service on loopback in one process: a stand-in catalogue, stand-in
// hosts and real placers, as a script describes them.
package testcluster

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"forkhead"
	consulemulator "forkhead/internal/emulator/consul"
	"forkhead/internal/emulator/host"
	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/parse/settings"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/server/clock"
	"forkhead/internal/server/netio"
	"forkhead/internal/server/placer"
	"forkhead/internal/server/recorder"
	"forkhead/internal/server/store"
	"forkhead/internal/verify/replay"
	"forkhead/internal/verify/scenario"
)

// Scene is a running service.
type Scene struct {
	Script    *scenario.Script
	Settings  *settings.Settings
	Clock     *clock.Clock
	Log       *recorder.Recorder
	Catalogue *consulemulator.Server
	Hosts     []*Host
	Loss      atomic.Uint64 // of messages between placers, in thousandths
	Commits   atomic.Uint64 // fsyncs of stores that are closed
	Keep      bool          // the tapes of placers' lives are kept

	log      zerolog.Logger
	engine   *netio.Engine
	placers  []atomic.Pointer[placer.Server]
	vetoes   atomic.Uint64 // of lives that are over
	defects  atomic.Uint64
	offers   atomic.Uint64
	lives    []int
	mu       sync.Mutex // over tapes
	starting sync.Mutex // over lives of placers
	tapes    []Life
	folder   string // of the stores
	stores   []*store.Store
	breaker  Breaker
}

// Breaker stands in a placer's module's place, to prove that what it does is caught.
type Breaker func(set forkhead.Settings) func(now time.Duration, events []forkhead.Event) []forkhead.Action

// Host is one host of the scene.
type Host struct {
	*host.Server
	Group *scenario.Group
	Rack  string
}

// Start brings everything up. logs may be nil: nothing is recorded then. keep: the tapes of placers'
// lives are kept.
func Start(s *scenario.Script, logs *recorder.Recorder, log zerolog.Logger, breaker Breaker, keep bool) (*Scene, error) {
	c := &Scene{Script: s, Clock: clock.New(), Log: logs, Keep: keep, log: log, breaker: breaker}
	var err error
	if c.engine, err = netio.New("hosts", 2); err != nil {
		return nil, err
	}
	c.Catalogue, err = consulemulator.Serve("127.0.0.1:0", consulemulator.Policy{CriticalAfter: s.Catalogue.Critical, DeregisterAfter: s.Catalogue.Deregister}, c.Clock, logs)
	if err != nil {
		c.engine.Stop()
		return nil, err
	}
	c.Catalogue.With(func(st *consulemulator.Store, _ time.Duration) { st.SetLag(s.Catalogue.Lag) })
	if err := c.start(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Scene) start() error {
	set := *c.Script.Settings
	set.ServiceDiscovery.Address = c.Catalogue.Address()
	set.Placers = append([]settings.Placer(nil), set.Placers...)
	for i := range set.Placers {
		// All is in this process: any free port will do, and two scenes can stand side by side.
		p := &set.Placers[i]
		var err error
		if p.HTTP, err = free("tcp"); err != nil {
			return err
		}
		if p.Tell, err = free("udp"); err != nil {
			return err
		}
	}
	c.Settings = &set
	c.placers = make([]atomic.Pointer[placer.Server], len(set.Placers))
	c.lives = make([]int, len(set.Placers))
	c.stores = make([]*store.Store, len(set.Placers))
	if c.Script.Durable {
		var err error
		if c.folder, err = os.MkdirTemp("", "forkhead-scene-"); err != nil {
			return err
		}
	}
	for gi := range c.Script.Hosts {
		g := &c.Script.Hosts[gi]
		for i := range g.Count {
			if err := c.addHost(g, fmt.Sprintf("%s%d", g.Prefix, i), fmt.Sprintf("%s-r%d", g.Zone, i%g.Racks)); err != nil {
				return err
			}
		}
	}
	for i := range set.Placers {
		if err := c.StartPlacer(i); err != nil {
			return err
		}
	}
	return nil
}

// free finds a loopback port that is free now, below those that the system gives to outgoing
// connections: a server that is down for a while must find its port free when it comes back.
func free(network string) (string, error) {
	var err error
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", 12_000+rand.IntN(18_000))
		var c io.Closer
		if network == "udp" {
			c, err = net.ListenPacket("udp", address)
		} else {
			c, err = net.Listen("tcp", address)
		}
		if err == nil {
			return address, c.Close()
		}
	}
	return "", fmt.Errorf("no free port: %w", err)
}

// HostConfig is what a host of a group is.
func HostConfig(s *scenario.Script, g *scenario.Group, name, rack string) hostmodel.Config {
	kind := s.Settings.Module.MachineTypes[settings.Index(s.Settings.Kinds, g.Kind)]
	m := &s.Settings.Module
	cfg := hostmodel.DefaultConfig(name, g.Kind, g.Zone, rack, kind.Cores, kind.Memory)
	cfg.Labels = g.Labels
	cfg.CoresOvercommit, cfg.MemoryOvercommit, cfg.Preemption = m.CoresOvercommit, m.MemoryOvercommit, m.Preemption
	h := &s.Host
	cfg.DecisionTime, cfg.MaxQueued, cfg.MaxStarting, cfg.StartTime, cfg.UncachedStartFactor, cfg.MaxCachedPrograms = h.Look, h.Line, h.Starts, h.Start, h.Absent, h.Keep
	cfg.MeanUsage, cfg.UsageSwing, cfg.NoteInterval = h.Use, h.Swing, h.Notes
	cfg.SlowStartDuration, cfg.SlowStartInitialRate, cfg.SlowStartWindow, cfg.SlowStartMaxOffers, cfg.SlowStartOverload = m.SlowStartDuration, m.SlowStartInitialRate, m.SlowStartWindow, m.SlowStartMaxOffers, m.SlowStartOverload
	return cfg
}

func (c *Scene) addHost(g *scenario.Group, name, rack string) error {
	address, err := free("tcp")
	if err != nil {
		return err
	}
	h, err := host.Start(host.Config{
		Host: HostConfig(c.Script, g, name, rack), Listen: address, Catalogue: c.Settings.ServiceDiscovery.Address,
		Service: c.Settings.ServiceDiscovery.Service, Refresh: c.Script.Host.Refresh, Seed: uint64(c.Script.Seed)<<16 + uint64(len(c.Hosts)),
		Cold: g.Cold, Clock: c.Clock, Engine: c.engine, Log: c.Log,
	})
	if err != nil {
		return err
	}
	c.Hosts = append(c.Hosts, &Host{Server: h, Group: g, Rack: rack})
	return nil
}

// StartPlacer begins a life of a placer.
func (c *Scene) StartPlacer(i int) error {
	c.starting.Lock()
	defer c.starting.Unlock()
	if c.placers[i].Load() != nil {
		return nil // it lives: of two troubles that overlapped only one had killed it
	}
	set := c.Settings.For(i)
	c.lives[i]++
	cfg := placer.Config{
		Settings: set, Clock: c.Clock, Log: c.log, Seed: uint64(c.Script.Seed)<<8 + uint64(i) + uint64(c.lives[i])<<32,
		Epoch:      uint64(c.Clock.Now().Microseconds()),
		DropGossip: func(int) bool { return rand.Uint64N(1000) < c.Loss.Load() },
	}
	if c.Script.Durable {
		st, kept, err := store.Open(store.Options{Path: filepath.Join(c.folder, fmt.Sprintf("placer-%d.db", i))})
		if err != nil {
			return err
		}
		cfg.Store, cfg.Snapshot = st, kept
		cfg.Epoch = max(cfg.Epoch, kept.Epoch+1)
		c.stores[i] = st
	}
	if c.Log != nil {
		cfg.OnStep = c.tap(i, cfg.Seed, cfg.Epoch)
	}
	if c.breaker != nil {
		cfg.Decide = c.breaker(set.Module)
	}
	var p *placer.Server
	var err error
	for try := 0; try < 100; try++ { // the port may still be held by what is closing
		if p, err = placer.Start(cfg); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return fmt.Errorf("placer %d: %w", i, err)
	}
	c.Log.Add(capture.Event{At: c.Clock.Now(), Type: capture.PlacerUp, Placer: i, PlacerEpoch: p.Epoch()})
	c.placers[i].Store(p)
	return nil
}

// MostTape bounds the tape of one life of a placer, in bytes as it is kept.
const MostTape = 64 << 20

// Life is the tape of one life of a placer.
type Life struct {
	Placer, Life int // Life counts from 1
	*replay.Writer
}

// tap notes what crosses a placer's own sockets, and keeps its tape where Keep says so.
func (c *Scene) tap(placer int, seed, epoch uint64) func(now, due time.Duration, in []core.Input, out []core.Output) {
	base := capture.Event{AtPlacer: true, Placer: placer, PlacerEpoch: epoch}
	var w *replay.Writer
	if c.Keep {
		w = replay.NewWriter(replay.Head{Durable: c.Script.Durable, File: c.Script.File, Script: c.Script.Text, Placer: placer, Seed: seed, Epoch: epoch}, MostTape)
		c.mu.Lock()
		c.tapes = append(c.tapes, Life{Placer: placer, Life: c.lives[placer], Writer: w})
		c.mu.Unlock()
	}
	return func(now, due time.Duration, in []core.Input, out []core.Output) {
		for _, e := range replay.Events(base, now, due, in, out) {
			c.Log.Add(e)
		}
		if w != nil {
			// A tape that is cut short says so when it is ended.
			_ = w.Add(&replay.Step{Now: now, Due: due, In: in, Out: replay.Lines(out)})
		}
	}
}

// Tapes returns the tapes that were kept. The placers must have stopped.
func (c *Scene) Tapes() []Life { return c.tapes }

// Placer returns a placer, or nil while it is down.
func (c *Scene) Placer(i int) *placer.Server { return c.placers[i].Load() }

// Placers is how many there are.
func (c *Scene) Placers() int { return len(c.placers) }

// KillPlacer ends a placer's life as kill -9 would.
func (c *Scene) KillPlacer(i int) {
	c.starting.Lock()
	defer c.starting.Unlock()
	p := c.placers[i].Swap(nil)
	if p == nil {
		return
	}
	c.keep(p)
	p.Close()
	if st := c.stores[i]; st != nil {
		// What waits is lost, as with the process.
		if err := st.CloseWithoutFlush(); err != nil {
			c.log.Error().Err(err).Msg("a store does not close")
		}
		c.Commits.Add(uint64(st.Commits))
		c.stores[i] = nil
	}
	c.Log.Add(capture.Event{At: c.Clock.Now(), Type: capture.PlacerDown, Placer: i, PlacerEpoch: p.Epoch()})
}

// keep adds a life's counts to those of lives that are over.
func (c *Scene) keep(p *placer.Server) {
	st := p.Status()
	c.vetoes.Add(st.Vetoes)
	c.defects.Add(st.Defects)
	c.offers.Add(st.Offers)
}

// Totals counts vetoes, defects and offers over all lives of all placers.
func (c *Scene) Totals() (vetoes, defects, offers uint64) {
	vetoes, defects, offers = c.vetoes.Load(), c.defects.Load(), c.offers.Load()
	for i := range c.placers {
		if p := c.placers[i].Load(); p != nil {
			st := p.Status()
			vetoes, defects, offers = vetoes+st.Vetoes, defects+st.Defects, offers+st.Offers
		}
	}
	return vetoes, defects, offers
}

// Ready waits until every placer has a connection to every host that is up.
func (c *Scene) Ready(most time.Duration) error {
	for end := time.Now().Add(most); ; time.Sleep(5 * time.Millisecond) {
		good := true
		for i := range c.placers {
			if p := c.placers[i].Load(); p != nil {
				st := p.Status()
				good = good && st.HostsUp >= len(c.Hosts) && st.HostsReady >= len(c.Hosts)
			}
		}
		if good {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("the placers do not have all %d hosts after %v", len(c.Hosts), most)
		}
	}
}

// Stop takes everything down.
func (c *Scene) Stop() {
	for i := range c.placers {
		if p := c.placers[i].Swap(nil); p != nil {
			p.Close()
		}
		if st := c.stores[i]; st != nil {
			c.stores[i] = nil
			if err := st.Close(); err != nil {
				c.log.Error().Err(err).Msg("a store does not close")
			}
			c.Commits.Add(uint64(st.Commits))
		}
	}
	if c.folder != "" {
		_ = os.RemoveAll(c.folder) // a folder for temporary files
	}
	for _, h := range c.Hosts {
		h.Stop()
	}
	c.Catalogue.Stop()
	c.engine.Stop()
}
