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

// Cluster is a running service.
type Cluster struct {
	Scenario           *scenario.Scenario
	Settings           *settings.Settings
	Clock              *clock.Clock
	Recorder           *recorder.Recorder
	Catalog            *consulemulator.Server
	Hosts              []*Host
	GossipLossPerMille atomic.Uint64 // of messages between placers, in thousandths
	StoreCommits       atomic.Uint64 // fsyncs of stores that are closed

	log          zerolog.Logger
	engine       *netio.Engine
	placers      []atomic.Pointer[placer.Server]
	vetoes       atomic.Uint64 // of lives that are over
	defects      atomic.Uint64
	offers       atomic.Uint64
	incarnations []int
	mu           sync.Mutex // over tapes
	starting     sync.Mutex // over lives of placers
	recordings   []Recording
	folder       string // of the stores
	stores       []*store.Store
	newModule    ModuleFactory
	recordSteps  bool
}

// ModuleFactory returns the Step function of a module that takes the real one's place, to show that what it does wrong is
// caught.
type ModuleFactory func(set forkhead.Settings) func(now time.Duration, events []forkhead.Event) []forkhead.Action

// Host is one host of the scene.
type Host struct {
	*host.Server
	Group *scenario.HostGroup
	Rack  string
}

// Options says how a cluster is run, beside what its scenario says.
type Options struct {
	Log         zerolog.Logger     // of the placers
	Recorder    *recorder.Recorder // takes the traffic of hosts and placers; nil: none
	NewModule   ModuleFactory      // nil: the real module
	RecordSteps bool               // the steps of the placers' cores are recorded, for Cluster.Recordings
}

// Start starts a scenario's catalog, hosts and placers.
func Start(s *scenario.Scenario, opt Options) (*Cluster, error) {
	c := &Cluster{
		Scenario: s, Clock: clock.New(), Recorder: opt.Recorder,
		recordSteps: opt.RecordSteps, log: opt.Log, newModule: opt.NewModule,
	}
	var err error
	if c.engine, err = netio.New("hosts", 2); err != nil {
		return nil, err
	}
	c.Catalog, err = consulemulator.Serve("127.0.0.1:0", consulemulator.Policy{CriticalAfter: s.Catalog.CriticalAfter, DeregisterAfter: s.Catalog.DeregisterAfter}, c.Clock, opt.Recorder)
	if err != nil {
		c.engine.Stop()
		return nil, err
	}
	c.Catalog.With(func(st *consulemulator.Store, _ time.Duration) { st.SetLag(s.Catalog.Lag) })
	if err := c.start(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	set := *c.Scenario.Settings
	set.ServiceDiscovery.Address = c.Catalog.Address()
	set.Placers = append([]settings.Placer(nil), set.Placers...)
	for i := range set.Placers {
		// All is in this process: any free port will do, and two scenes can stand side by side.
		p := &set.Placers[i]
		var err error
		if p.HTTPAddress, err = free("tcp"); err != nil {
			return err
		}
		if p.GossipAddress, err = free("udp"); err != nil {
			return err
		}
	}
	c.Settings = &set
	c.placers = make([]atomic.Pointer[placer.Server], len(set.Placers))
	c.incarnations = make([]int, len(set.Placers))
	c.stores = make([]*store.Store, len(set.Placers))
	if c.Scenario.Durable {
		var err error
		if c.folder, err = os.MkdirTemp("", "forkhead-scene-"); err != nil {
			return err
		}
	}
	for gi := range c.Scenario.HostGroups {
		g := &c.Scenario.HostGroups[gi]
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
func HostConfig(s *scenario.Scenario, g *scenario.HostGroup, name, rack string) hostmodel.Config {
	kind := s.Settings.Module.MachineTypes[settings.Index(s.Settings.MachineTypeNames, g.MachineType)]
	m := &s.Settings.Module
	cfg := hostmodel.DefaultConfig(name, g.MachineType, g.Zone, rack, kind.Cores, kind.Memory)
	cfg.Labels = g.Labels
	cfg.CoresOvercommit, cfg.MemoryOvercommit, cfg.Preemption = m.CoresOvercommit, m.MemoryOvercommit, m.Preemption
	h := &s.Host
	cfg.DecisionTime, cfg.MaxQueued, cfg.MaxStarting, cfg.StartTime, cfg.UncachedStartFactor, cfg.MaxCachedPrograms = h.DecisionTime, h.MaxQueued, h.MaxStarting, h.StartTime, h.UncachedStartFactor, h.MaxCachedPrograms
	cfg.MeanUsage, cfg.UsageSwing, cfg.NoteInterval = h.MeanUsage, h.UsageSwing, h.NoteInterval
	cfg.SlowStartDuration, cfg.SlowStartInitialRate, cfg.SlowStartWindow, cfg.SlowStartMaxOffers, cfg.SlowStartOverload = m.SlowStartDuration, m.SlowStartInitialRate, m.SlowStartWindow, m.SlowStartMaxOffers, m.SlowStartOverload
	return cfg
}

func (c *Cluster) addHost(g *scenario.HostGroup, name, rack string) error {
	address, err := free("tcp")
	if err != nil {
		return err
	}
	h, err := host.Start(host.Config{
		Host: HostConfig(c.Scenario, g, name, rack), Listen: address, CatalogAddress: c.Settings.ServiceDiscovery.Address,
		Service: c.Settings.ServiceDiscovery.Service, RegistrationInterval: c.Scenario.Host.RegistrationInterval, Seed: uint64(c.Scenario.Seed)<<16 + uint64(len(c.Hosts)),
		WarmingUp: g.WarmingUp, Clock: c.Clock, Engine: c.engine, Recorder: c.Recorder,
	})
	if err != nil {
		return err
	}
	c.Hosts = append(c.Hosts, &Host{Server: h, Group: g, Rack: rack})
	return nil
}

// StartPlacer begins a life of a placer.
func (c *Cluster) StartPlacer(i int) error {
	c.starting.Lock()
	defer c.starting.Unlock()
	if c.placers[i].Load() != nil {
		return nil // it lives: of two troubles that overlapped only one had killed it
	}
	set := c.Settings.For(i)
	c.incarnations[i]++
	cfg := placer.Config{
		Settings: set, Clock: c.Clock, Log: c.log, Seed: uint64(c.Scenario.Seed)<<8 + uint64(i) + uint64(c.incarnations[i])<<32,
		Epoch:      uint64(c.Clock.Now().Microseconds()),
		DropGossip: func(int) bool { return rand.Uint64N(1000) < c.GossipLossPerMille.Load() },
	}
	if c.Scenario.Durable {
		st, kept, err := store.Open(store.Options{Path: filepath.Join(c.folder, fmt.Sprintf("placer-%d.db", i))})
		if err != nil {
			return err
		}
		cfg.Store, cfg.Snapshot = st, kept
		cfg.Epoch = max(cfg.Epoch, kept.Epoch+1)
		c.stores[i] = st
	}
	if c.Recorder != nil {
		cfg.OnStep = c.tap(i, cfg.Seed, cfg.Epoch)
	}
	if c.newModule != nil {
		cfg.Decide = c.newModule(set.Module)
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
	c.Recorder.Add(capture.Event{At: c.Clock.Now(), Type: capture.PlacerUp, Placer: i, PlacerEpoch: p.Epoch()})
	c.placers[i].Store(p)
	return nil
}

// maxRecordingBytes bounds the recorded steps of one incarnation of a placer, compressed.
const maxRecordingBytes = 64 << 20

// Recording holds the recorded steps of one incarnation of a placer.
type Recording struct {
	Placer, Incarnation int // Incarnation counts from 1
	*replay.Writer
}

// tap notes what crosses a placer's own sockets, and keeps its tape where Keep says so.
func (c *Cluster) tap(placer int, seed, epoch uint64) func(now, due time.Duration, in []core.Input, out []core.Output) {
	base := capture.Event{AtPlacer: true, Placer: placer, PlacerEpoch: epoch}
	var w *replay.Writer
	if c.recordSteps {
		w = replay.NewWriter(replay.Head{Durable: c.Scenario.Durable, File: c.Scenario.File, Script: c.Scenario.Text, Placer: placer, Seed: seed, Epoch: epoch}, maxRecordingBytes)
		c.mu.Lock()
		c.recordings = append(c.recordings, Recording{Placer: placer, Incarnation: c.incarnations[placer], Writer: w})
		c.mu.Unlock()
	}
	return func(now, due time.Duration, in []core.Input, out []core.Output) {
		for _, e := range replay.Events(base, now, due, in, out) {
			c.Recorder.Add(e)
		}
		if w != nil {
			// A tape that is cut short says so when it is ended.
			_ = w.Add(&replay.Step{Now: now, Due: due, In: in, Out: replay.Lines(out)})
		}
	}
}

// Recordings returns the recorded steps of the placers. All placers must have stopped.
func (c *Cluster) Recordings() []Recording { return c.recordings }

// Placer returns a placer, or nil while it is down.
func (c *Cluster) Placer(i int) *placer.Server { return c.placers[i].Load() }

// PlacerCount is how many there are.
func (c *Cluster) PlacerCount() int { return len(c.placers) }

// KillPlacer ends a placer's life as kill -9 would.
func (c *Cluster) KillPlacer(i int) {
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
		c.StoreCommits.Add(uint64(st.Commits))
		c.stores[i] = nil
	}
	c.Recorder.Add(capture.Event{At: c.Clock.Now(), Type: capture.PlacerDown, Placer: i, PlacerEpoch: p.Epoch()})
}

// keep adds a life's counts to those of lives that are over.
func (c *Cluster) keep(p *placer.Server) {
	st := p.Status()
	c.vetoes.Add(st.Vetoes)
	c.defects.Add(st.Defects)
	c.offers.Add(st.Offers)
}

// Totals counts vetoes, defects and offers over all lives of all placers.
func (c *Cluster) Totals() (vetoes, defects, offers uint64) {
	vetoes, defects, offers = c.vetoes.Load(), c.defects.Load(), c.offers.Load()
	for i := range c.placers {
		if p := c.placers[i].Load(); p != nil {
			st := p.Status()
			vetoes, defects, offers = vetoes+st.Vetoes, defects+st.Defects, offers+st.Offers
		}
	}
	return vetoes, defects, offers
}

// WaitReady waits until every placer has a connection to every host that is up.
func (c *Cluster) WaitReady(most time.Duration) error {
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
func (c *Cluster) Stop() {
	for i := range c.placers {
		if p := c.placers[i].Swap(nil); p != nil {
			p.Close()
		}
		if st := c.stores[i]; st != nil {
			c.stores[i] = nil
			if err := st.Close(); err != nil {
				c.log.Error().Err(err).Msg("a store does not close")
			}
			c.StoreCommits.Add(uint64(st.Commits))
		}
	}
	if c.folder != "" {
		_ = os.RemoveAll(c.folder) // a folder for temporary files
	}
	for _, h := range c.Hosts {
		h.Stop()
	}
	c.Catalog.Stop()
	c.engine.Stop()
}
