package solver

import (
	"errors"
	"fmt"
)

// Upper bounds of the amounts of an instance. They keep sums and weighted sums of amounts far from overflow.
const (
	maxAmount int64 = 1 << 40 // maximum of each amount of millicores or MiB and of each cost
	maxTasks  int   = 1 << 20 // maximum number of tasks of one service
)

// Host is a host of an instance.
type Host struct {
	ID            string
	Zone          string
	Rack          string
	Cores         int64 // millicores
	Memory        int64 // MiB
	Cost          int64 // cost of using the host, regardless of its number of tasks
	Unschedulable bool  // the host accepts no tasks: it is draining or removed
	InUse         bool  // the host has tasks that are not part of the instance, so its Cost does not count
}

// Service is a number of identical tasks.
type Service struct {
	Name       string
	Count      int    // number of tasks
	Cores      int64  // of each task, in millicores
	Memory     int64  // of each task, in MiB
	Allowed    []bool // indexed by host, whether tasks may be placed there; nil: all hosts are allowed
	MaxPerHost int    // limit of tasks on each host; 0: no limit
	MaxPerRack int    // limit of tasks in each rack; 0: no limit
	MaxPerZone int    // limit of tasks in each zone; 0: no limit
	Affinities []Affinity
	Running    []int // number of running tasks, indexed by host; nil: unknown, and migrations cost nothing
}

// Affinity restricts a service's tasks to domains in which another service has a task.
type Affinity struct {
	Service int // index into Instance.Services
	Domain  Domain
}

// Domain is a level of the topology of hosts, racks and zones.
type Domain uint8

// The levels of the topology.
const (
	HostDomain Domain = iota
	RackDomain
	ZoneDomain
)

// Instance is a fleet and the services to be placed on it.
type Instance struct {
	Hosts           []Host
	Services        []Service
	MigrationCost   int64  // cost of each task placed on a host beyond the number of Running tasks of its service there
	HomeZone        string // zone in which tasks have no OutsideHomeCost; "": no task has an OutsideHomeCost
	OutsideHomeCost int64  // cost of each task outside HomeZone
}

// sameDomain reports whether two hosts are in the same domain of a level.
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

// Validate returns an error if the instance is malformed. An infeasible instance is not malformed.
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
		return fmt.Errorf("a migration costs %d and a task outside the home zone %d, want costs from 0 to 2^40", in.MigrationCost, in.OutsideHomeCost)
	}
	if in.affinityDepths() == nil {
		return errors.New("the affinities of services form a cycle")
	}
	return nil
}

func validAmount(amount int64) bool { return amount >= 0 && amount <= maxAmount }

func (in *Instance) validateHost(index int) error {
	h := &in.Hosts[index]
	if !validAmount(h.Cores) || !validAmount(h.Memory) || !validAmount(h.Cost) {
		return fmt.Errorf("host %d (%s) has %d millicores, %d MiB and cost %d, want amounts from 0 to 2^40", index, h.ID, h.Cores, h.Memory, h.Cost)
	}
	return nil
}

func (in *Instance) validateService(index int) error {
	s := &in.Services[index]
	if s.Count < 0 || s.Cores < 0 || s.Memory < 0 || s.MaxPerHost < 0 || s.MaxPerRack < 0 || s.MaxPerZone < 0 {
		return fmt.Errorf("service %d (%s) has %d tasks of %d millicores and %d MiB, at most %d per host, %d per rack and %d per zone, want no negative number",
			index, s.Name, s.Count, s.Cores, s.Memory, s.MaxPerHost, s.MaxPerRack, s.MaxPerZone)
	}
	if s.Cores > maxAmount || s.Memory > maxAmount || s.Count > maxTasks {
		return fmt.Errorf("service %d (%s) has %d tasks of %d millicores and %d MiB, want at most 2^20 tasks of at most 2^40 each",
			index, s.Name, s.Count, s.Cores, s.Memory)
	}
	if s.Allowed != nil && len(s.Allowed) != len(in.Hosts) || s.Running != nil && len(s.Running) != len(in.Hosts) {
		return fmt.Errorf("service %d (%s) has %d entries in Allowed and %d in Running, want nil or one for each of %d hosts",
			index, s.Name, len(s.Allowed), len(s.Running), len(in.Hosts))
	}
	return nil
}

func (in *Instance) validateAffinities(index int) error {
	s := &in.Services[index]
	for _, a := range s.Affinities {
		if a.Service < 0 || a.Service >= len(in.Services) || a.Domain > ZoneDomain {
			return fmt.Errorf("service %d (%s) has an affinity to service %d in domain %d, want a service below %d and a domain of at most %d",
				index, s.Name, a.Service, a.Domain, len(in.Services), ZoneDomain)
		}
	}
	return nil
}

// affinityDepths returns, for each service, the length of the longest chain of affinities that starts at it, or nil if
// the affinities form a cycle.
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
