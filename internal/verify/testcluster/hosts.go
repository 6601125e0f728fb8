package testcluster

import (
	"slices"

	"forkhead/internal/emulator/host"
	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/verify/scenario"
)

// Host is one host of a cluster.
type Host struct {
	*host.Server
	Group *scenario.HostGroup
	Rack  string
}

// HostConfig returns the configuration of host i of a group, counted from 0. The scenario's settings must have the
// machine type of the group.
func HostConfig(s *scenario.Scenario, g *scenario.HostGroup, i int) hostmodel.Config {
	module := &s.Settings.Module
	machineType := module.MachineTypes[slices.Index(s.Settings.MachineTypeNames, g.MachineType)]
	cfg := hostmodel.DefaultConfig(
		g.HostName(i), g.MachineType, g.Zone, g.HostRack(i), machineType.Cores, machineType.Memory,
	)
	cfg.Labels = g.Labels

	cfg.CoresOvercommit = module.CoresOvercommit
	cfg.MemoryOvercommit = module.MemoryOvercommit
	cfg.Preemption = module.Preemption
	cfg.SlowStartDuration = module.SlowStartDuration
	cfg.SlowStartInitialRate = module.SlowStartInitialRate
	cfg.SlowStartWindow = module.SlowStartWindow
	cfg.SlowStartMaxOffers = module.SlowStartMaxOffers
	cfg.SlowStartOverload = module.SlowStartOverload

	cfg.DecisionTime = s.Host.DecisionTime
	cfg.MaxQueued = s.Host.MaxQueued
	cfg.MaxStarting = s.Host.MaxStarting
	cfg.StartTime = s.Host.StartTime
	cfg.UncachedStartFactor = s.Host.UncachedStartFactor
	cfg.MaxCachedPrograms = s.Host.MaxCachedPrograms
	cfg.MeanUsage = s.Host.MeanUsage
	cfg.UsageSwing = s.Host.UsageSwing
	cfg.NoteInterval = s.Host.NoteInterval
	return cfg
}

func (c *Cluster) startHosts(g *scenario.HostGroup) error {
	for i := range g.Count {
		if err := c.startHost(g, i); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startHost(g *scenario.HostGroup, i int) error {
	address, err := freeAddress("tcp")
	if err != nil {
		return err
	}
	h, err := host.Start(host.Config{
		Host:                 HostConfig(c.Scenario, g, i),
		Listen:               address,
		CatalogAddress:       c.Settings.ServiceDiscovery.Address,
		Service:              c.Settings.ServiceDiscovery.Service,
		RegistrationInterval: c.Scenario.Host.RegistrationInterval,
		Seed:                 uint64(c.Scenario.Seed)<<16 + uint64(len(c.Hosts)),
		WarmingUp:            g.WarmingUp,
		Clock:                c.Clock,
		Engine:               c.engine,
		Recorder:             c.opt.Recorder,
	})
	if err != nil {
		return err
	}
	c.Hosts = append(c.Hosts, &Host{Server: h, Group: g, Rack: g.HostRack(i)})
	return nil
}
