// Package testcluster runs the cluster of a scenario on loopback sockets in one process: an emulated Consul catalog,
// emulated hosts and real placers.
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

// Cluster is a running cluster. Its methods, except Stop and Recordings, are safe for concurrent use.
type Cluster struct {
	Scenario           *scenario.Scenario
	Settings           *settings.Settings // the scenario's settings with the addresses of this cluster
	Clock              *clock.Clock
	Catalog            *consulemulator.Server
	Hosts              []*Host
	GossipLossPerMille atomic.Uint64 // share of the messages between placers that is dropped
	StoreCommits       atomic.Uint64 // fsyncs of the stores that have been closed

	opt     Options
	engine  *netio.Engine // serves the sockets of the hosts
	placers []placerSlot
	folder  string // folder with the placers' stores; "": the placers have no stores

	startStop  sync.Mutex    // held while a placer is started or killed
	recordings []Recording   // guarded by startStop
	vetoes     atomic.Uint64 // actions that placers had vetoed when they were killed
	defects    atomic.Uint64 // defects that placers had counted when they were killed
}

// Options are the options of Start.
type Options struct {
	Log         zerolog.Logger     // receives the messages of the placers
	Recorder    *recorder.Recorder // captures the traffic of hosts and placers; nil: no traffic is captured
	NewModule   ModuleFactory      // nil: the placers have the real module
	RecordSteps bool               // whether Cluster.Recordings has the steps of the placers' cores
}

// Start starts the catalog, the hosts and the placers of a scenario. All run in this process and listen on unused
// ports, so that several clusters can run at the same time.
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

// WaitReady waits until every placer that is up is connected to every host and has read the entry of every host in the
// endpoint list. It returns an error after the timeout.
func (c *Cluster) WaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); !c.ready(); time.Sleep(readyPollInterval) {
		if time.Now().After(end) {
			return fmt.Errorf("not every placer is connected to all %d hosts and has their list entries after %v", len(c.Hosts), timeout)
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

// Stop stops the placers and closes their stores, then stops the hosts and the catalog.
func (c *Cluster) Stop() {
	for i := range c.placers {
		c.stopPlacer(&c.placers[i])
	}
	if c.folder != "" {
		_ = os.RemoveAll(c.folder) // an error only leaves a temporary folder behind
	}
	for _, h := range c.Hosts {
		h.Stop()
	}
	c.Catalog.Stop()
	c.engine.Stop()
}
