package testcluster

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync/atomic"
	"time"

	"forkhead"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/server/placer"
	"forkhead/internal/server/store"
)

const (
	maxPlacerStarts    = 100 // attempts to start one placer
	placerStartBackoff = 10 * time.Millisecond
)

// ModuleFactory returns the Step function of a module that replaces the real one. Tests use a module with faults, to
// show that the faults are detected.
type ModuleFactory func(set forkhead.Settings) func(now time.Duration, events []forkhead.Event) []forkhead.Action

// placerSlot holds the current incarnation of one placer. A restart replaces it by the next incarnation.
type placerSlot struct {
	server       atomic.Pointer[placer.Server] // nil: the placer is down
	incarnations int                           // number of incarnations so far
	store        *store.Store                  // nil: the placer is down, or the scenario is not durable
}

// Placer returns a placer, or nil while it is down.
func (c *Cluster) Placer(i int) *placer.Server { return c.placers[i].server.Load() }

// PlacerCount returns the number of placers, up or down.
func (c *Cluster) PlacerCount() int { return len(c.placers) }

// StartPlacer starts the next incarnation of a placer. It does nothing if the placer is up: if two faults that kill the
// same placer overlap, only the first one kills it, but both call StartPlacer.
func (c *Cluster) StartPlacer(i int) error {
	c.startStop.Lock()
	defer c.startStop.Unlock()
	slot := &c.placers[i]
	if slot.server.Load() != nil {
		return nil
	}
	slot.incarnations++
	cfg, err := c.placerConfig(i)
	if err != nil {
		return err
	}
	p, err := startPlacer(cfg)
	if err != nil {
		return fmt.Errorf("placer %d: %w", i, err)
	}
	c.opt.Recorder.Add(capture.Event{At: c.Clock.Now(), Type: capture.PlacerUp, Placer: i, PlacerEpoch: p.Epoch()})
	slot.server.Store(p)
	return nil
}

// placerConfig returns the configuration of a placer's next incarnation and opens its store.
func (c *Cluster) placerConfig(i int) (placer.Config, error) {
	slot := &c.placers[i]
	set := c.Settings.ForPlacer(i)
	cfg := placer.Config{
		Settings:   set,
		Clock:      c.Clock,
		Log:        c.opt.Log,
		Seed:       uint64(c.Scenario.Seed)<<8 + uint64(i) + uint64(slot.incarnations)<<32,
		Epoch:      uint64(c.Clock.Now().Microseconds()),
		DropGossip: func(int) bool { return rand.Uint64N(1000) < c.GossipLossPerMille.Load() },
	}
	if c.Scenario.Durable {
		st, snapshot, err := store.Open(store.Options{Path: filepath.Join(c.folder, fmt.Sprintf("placer-%d.db", i))})
		if err != nil {
			return cfg, err
		}
		slot.store = st
		cfg.Store, cfg.Snapshot = st, snapshot
		cfg.Epoch = max(cfg.Epoch, snapshot.Epoch+1)
	}
	if c.opt.Recorder != nil {
		cfg.OnStep = c.observeSteps(i, cfg.Seed, cfg.Epoch)
	}
	if c.opt.NewModule != nil {
		cfg.Decide = c.opt.NewModule(set.Module)
	}
	return cfg, nil
}

// startPlacer starts a placer. It tries again after a failure, because connections that are closing may still use the
// placer's ports for a moment.
func startPlacer(cfg placer.Config) (p *placer.Server, err error) {
	for range maxPlacerStarts {
		if p, err = placer.Start(cfg); err == nil {
			return p, nil
		}
		time.Sleep(placerStartBackoff)
	}
	return nil, err
}

// KillPlacer ends a placer as kill -9 would: data that its store has not written is lost. It does nothing if the placer
// is down.
func (c *Cluster) KillPlacer(i int) {
	c.startStop.Lock()
	defer c.startStop.Unlock()
	slot := &c.placers[i]
	p := slot.server.Swap(nil)
	if p == nil {
		return
	}
	st := p.Status()
	c.vetoes.Add(st.Vetoes)
	c.defects.Add(st.Defects)
	p.Close()
	c.closeStore(slot, (*store.Store).CloseWithoutFlush)
	c.opt.Recorder.Add(capture.Event{At: c.Clock.Now(), Type: capture.PlacerDown, Placer: i, PlacerEpoch: p.Epoch()})
}

// stopPlacer stops a placer, unless it is down, and closes its store.
func (c *Cluster) stopPlacer(slot *placerSlot) {
	if p := slot.server.Swap(nil); p != nil {
		p.Close()
	}
	c.closeStore(slot, (*store.Store).Close)
}

// closeStore closes a placer's store, if it is open, with the given method.
func (c *Cluster) closeStore(slot *placerSlot, closeStore func(*store.Store) error) {
	st := slot.store
	if st == nil {
		return
	}
	slot.store = nil
	if err := closeStore(st); err != nil {
		c.opt.Log.Error().Err(err).Msg("cannot close the store of a placer")
	}
	c.StoreCommits.Add(uint64(st.Commits))
}

// Totals returns the sums of the vetoes and of the defects of all incarnations of all placers.
func (c *Cluster) Totals() (vetoes, defects uint64) {
	vetoes, defects = c.vetoes.Load(), c.defects.Load()
	for i := range c.placers {
		if p := c.Placer(i); p != nil {
			st := p.Status()
			vetoes += st.Vetoes
			defects += st.Defects
		}
	}
	return vetoes, defects
}
