// Package testcluster runs a whole service on loopback sockets in one process, as a scenario describes it: an emulated
// Consul catalog, emulated hosts, and real placers.
package testcluster

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	consulemulator "forkhead/internal/emulator/consul"
	"forkhead/internal/parse/settings"
	"forkhead/internal/server/clock"
	"forkhead/internal/server/netio"
	"forkhead/internal/server/recorder"
	"forkhead/internal/verify/scenario"
)

const (
	hostPollers       = 2 // goroutines that read the sockets of all hosts
	readyPollInterval = 5 * time.Millisecond
)

// Cluster is a running service. Its methods are safe for concurrent use, but for Stop and Recordings.
type Cluster struct {
	Scenario           *scenario.Scenario
	Settings           *settings.Settings // the scenario's, with the addresses of this cluster
	Clock              *clock.Clock
	Catalog            *consulemulator.Server
	Hosts              []*Host
	GossipLossPerMille atomic.Uint64 // of the messages between placers
	StoreCommits       atomic.Uint64 // fsyncs of the stores that are closed

	opt     Options
	engine  *netio.Engine // of the hosts
	placers []placerSlot
	folder  string // of the placers' stores; "": none

	startStop  sync.Mutex    // held while a placer starts or is killed
	recordings []Recording   // with startStop held
	vetoes     atomic.Uint64 // of placers that were killed
	defects    atomic.Uint64 // of placers that were killed
}

// Options are how a cluster is run, beside its scenario.
type Options struct {
	Log         zerolog.Logger     // of the placers
	Recorder    *recorder.Recorder // takes the traffic of hosts and placers; nil: none
	NewModule   ModuleFactory      // nil: the real module
	RecordSteps bool               // the steps of the placers' cores are recorded, for Cluster.Recordings
}

// Start starts a scenario's catalog, hosts and placers. All are in this process and listen at any unused ports, so that
// clusters can run side by side.
func Start(s *scenario.Scenario, opt Options) (*Cluster, error) {
	c := &Cluster{Scenario: s, Clock: clock.New(), opt: opt}
	var err error
	if c.engine, err = netio.New("hosts", hostPollers); err != nil {
		return nil, err
	}
	policy := consulemulator.Policy{CriticalAfter: s.Catalog.CriticalAfter, DeregisterAfter: s.Catalog.DeregisterAfter}
	c.Catalog, err = consulemulator.Serve("127.0.0.1:0", policy, c.Clock, opt.Recorder)
	if err != nil {
		c.engine.Stop()
		return nil, err
	}
	c.Catalog.With(func(st *consulemulator.Store, _ time.Duration) { st.SetLag(s.Catalog.Lag) })
	if err := c.startMembers(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// startMembers starts the hosts and the placers.
func (c *Cluster) startMembers() error {
	set, err := withFreeAddresses(c.Scenario.Settings)
	if err != nil {
		return err
	}
	set.ServiceDiscovery.Address = c.Catalog.Address()
	c.Settings = set
	c.placers = make([]placerSlot, len(set.Placers))
	if c.Scenario.Durable {
		if c.folder, err = os.MkdirTemp("", "forkhead-testcluster-"); err != nil {
			return err
		}
	}
	for i := range c.Scenario.HostGroups {
		if err := c.startHosts(&c.Scenario.HostGroups[i]); err != nil {
			return err
		}
	}
	for i := range c.placers {
		if err := c.StartPlacer(i); err != nil {
			return err
		}
	}
	return nil
}

// withFreeAddresses returns a copy of settings in which each placer has unused addresses.
func withFreeAddresses(s *settings.Settings) (*settings.Settings, error) {
	set := *s
	set.Placers = slices.Clone(s.Placers)
	for i := range set.Placers {
		p := &set.Placers[i]
		var err error
		if p.HTTPAddress, err = freeAddress("tcp"); err != nil {
			return nil, err
		}
		if p.GossipAddress, err = freeAddress("udp"); err != nil {
			return nil, err
		}
	}
	return &set, nil
}

// WaitReady waits until every placer that is up has a connection to every host and the host's entry of the endpoint list.
// It returns an error after the timeout.
func (c *Cluster) WaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); !c.ready(); time.Sleep(readyPollInterval) {
		if time.Now().After(end) {
			return fmt.Errorf("the placers do not have all %d hosts after %v", len(c.Hosts), timeout)
		}
	}
	return nil
}

func (c *Cluster) ready() bool {
	for i := range c.placers {
		p := c.Placer(i)
		if p == nil {
			continue
		}
		if st := p.Status(); st.HostsUp < len(c.Hosts) || st.HostsReady < len(c.Hosts) {
			return false
		}
	}
	return true
}

// Stop stops the placers, which close their stores, and then all else.
func (c *Cluster) Stop() {
	for i := range c.placers {
		c.stopPlacer(&c.placers[i])
	}
	if c.folder != "" {
		_ = os.RemoveAll(c.folder) // it is among the temporary files
	}
	for _, h := range c.Hosts {
		h.Stop()
	}
	c.Catalog.Stop()
	c.engine.Stop()
}
