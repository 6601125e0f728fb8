package solver

import (
	"errors"
	"fmt"
)

// Bounds of an instance. They keep sums and weighted sums of amounts far from overflow.
const (
	maxAmount int64 = 1 << 40 // cores, memory and costs
	maxTasks  int   = 1 << 20 // of one service
)

// Host is a host of an instance.
type Host struct {
	ID            string
	Zone          string
	Rack          string
	Cores         int64 // thousandths of a core
	Memory        int64 // MiB
	Cost          int64 // of using it at all
	Unschedulable bool  // it accepts no tasks: it drains, or is removed
	InUse         bool  // it runs something that is not part of the instance, so using it costs nothing
}

// Service is a number of identical tasks.
type Service struct {
	Name       string
	Count      int    // of tasks
	Cores      int64  // of each task, thousandths of a core
	Memory     int64  // of each task, MiB
	Allowed    []bool // hosts that it may use, by host; nil: all
	MaxPerHost int    // tasks; 0: no limit
	MaxPerRack int
	MaxPerZone int
	Affinities []Affinity
	Running    []int // tasks that run already, by host; nil: none, and migrations cost nothing
}

// Affinity keeps a service's tasks to domains where another service has a task.
type Affinity struct {
	Service int // index into Instance.Services
	Domain  Domain
}

// Domain is a level of the topology.
type Domain uint8

// The domains.
const (
	HostDomain Domain = iota
	RackDomain
	ZoneDomain
)

// Instance is a fleet and the services to be placed on it.
type Instance struct {
	Hosts           []Host
	Services        []Service
	MigrationCost   int64  // of each task beyond those of its service that run on its host
	HomeZone        string // "": none
	OutsideHomeCost int64  // of each task outside HomeZone
}

// sameDomain reports whether two hosts are in one domain of a level.
func (in *Instance) sameDomain(level Domain, a, b int) bool {
	switch level {
	case RackDomain:
		return in.Hosts[a].Rack == in.Hosts[b].Rack
	case ZoneDomain:
		return in.Hosts[a].Zone == in.Hosts[b].Zone
	default:
		return a == b
	}
}

// Validate returns an error for an instance that is malformed. One that no placement satisfies is not malformed.
func (in *Instance) Validate() error {
	for i := range in.Hosts {
		if err := in.validateHost(i); err != nil {
			return err
		}
	}
	for i := range in.Services {
		if err := in.validateService(i); err != nil {
			return err
		}
		if err := in.validateAffinities(i); err != nil {
			return err
		}
	}
	if !validAmount(in.OutsideHomeCost) || !validAmount(in.MigrationCost) {
		return errors.New("moves and crossings cost 0 to 2^40")
	}
	if in.affinityDepths() == nil {
		return errors.New("services are near each other in a circle")
	}
	return nil
}

func validAmount(amount int64) bool { return amount >= 0 && amount <= maxAmount }

func (in *Instance) validateHost(index int) error {
	h := &in.Hosts[index]
	if !validAmount(h.Cores) || !validAmount(h.Memory) || !validAmount(h.Cost) {
		return fmt.Errorf("host %d, %s: amounts are 0 to 2^40", index, h.ID)
	}
	return nil
}

func (in *Instance) validateService(index int) error {
	s := &in.Services[index]
	if s.Count < 0 || s.Cores < 0 || s.Memory < 0 || s.MaxPerHost < 0 || s.MaxPerRack < 0 || s.MaxPerZone < 0 {
		return fmt.Errorf("service %d, %s: amounts are not below 0", index, s.Name)
	}
	if s.Cores > maxAmount || s.Memory > maxAmount || s.Count > maxTasks {
		return fmt.Errorf("service %d, %s: amounts are too large", index, s.Name)
	}
	if s.Allowed != nil && len(s.Allowed) != len(in.Hosts) || s.Running != nil && len(s.Running) != len(in.Hosts) {
		return fmt.Errorf("service %d, %s: lists by host have another length than the hosts", index, s.Name)
	}
	return nil
}

func (in *Instance) validateAffinities(index int) error {
	s := &in.Services[index]
	for _, a := range s.Affinities {
		if a.Service < 0 || a.Service >= len(in.Services) || a.Domain > ZoneDomain {
			return fmt.Errorf("service %d, %s: it is near service %d, which is not here", index, s.Name, a.Service)
		}
	}
	return nil
}

// affinityDepths returns, for each service, the length of the longest chain of affinities that begins with it; nil if
// there is a cycle.
func (in *Instance) affinityDepths() []int {
	depths := make([]int, len(in.Services))
	for round := 0; ; round++ {
		changed := false
		for i := range in.Services {
			for _, a := range in.Services[i].Affinities {
				if depth := depths[a.Service] + 1; depth > depths[i] {
					depths[i], changed = depth, true
				}
			}
		}
		if !changed {
			return depths
		}
		if round > len(in.Services) {
			return nil
		}
	}
}
