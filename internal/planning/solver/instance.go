package solver

import (
	"fmt"
)

// Host is a host of an instance. Amounts are in thousandths of a core and in MiB.
type Host struct {
	ID            string
	Zone          string
	Rack          string
	Cores         int64
	Memory        int64
	Cost          int64 // of using it at all
	Unschedulable bool  // takes nothing new: it drains, or is gone
	InUse         bool  // it is in use by what is not part of the instance
}

// Service is some tasks that are alike.
type Service struct {
	Name       string
	Count      int
	Cores      int64 // of each task
	Memory     int64
	Allowed    []bool     // by host; nil: any
	MaxPerHost int        // most on one host; 0: no limit
	MaxPerRack int        // most in one rack
	MaxPerZone int        // most in one zone
	Affinities []Affinity // services that it has to be beside
	Running    []int      // tasks of it that run on each host now; nil: none
	Why        string     // what May comes from, for a conflict
	Where      string     // FILE:LINE:COL
}

// Affinity keeps a service's tasks to places where another service has one.
type Affinity struct {
	Service int
	Domain  Domain
}

// Domain is a sort of place.
type Domain uint8

// The places.
const (
	HostDomain Domain = iota
	RackDomain
	ZoneDomain
)

// Instance is a question.
type Instance struct {
	Hosts           []Host
	Services        []Service
	MigrationCost   int64  // cost of each task that is not where one of its service runs
	HomeZone        string // a zone; "": none
	OutsideHomeCost int64  // cost of each task outside it
}

// sameDomain says whether two hosts are in one place.
func (in *Instance) sameDomain(p Domain, a, b int) bool {
	switch p {
	case RackDomain:
		return in.Hosts[a].Rack == in.Hosts[b].Rack
	case ZoneDomain:
		return in.Hosts[a].Zone == in.Hosts[b].Zone
	}
	return a == b
}

// Result is what was found.
type Result struct {
	Feasible   bool
	Optimal    bool // proven: Cost is Bound; or proven that there is none
	Cost       int64
	LowerBound int64
	Counts     [][]int // by service, by host
	Nodes      int
}

// Validate refuses an instance that cannot be read.
func (in *Instance) Validate() error {
	for i, h := range in.Hosts {
		if h.Cores < 0 || h.Memory < 0 || h.Cost < 0 || h.Cores > 1<<40 || h.Memory > 1<<40 || h.Cost > 1<<40 {
			return fmt.Errorf("host %d, %s: amounts are 0 to 2^40", i, h.ID)
		}
	}
	for i, s := range in.Services {
		switch {
		case s.Count < 0 || s.Cores < 0 || s.Memory < 0 || s.MaxPerHost < 0 || s.MaxPerRack < 0 || s.MaxPerZone < 0:
			return fmt.Errorf("service %d, %s: amounts are not below 0", i, s.Name)
		case s.Cores > 1<<40 || s.Memory > 1<<40 || s.Count > 1<<20:
			return fmt.Errorf("service %d, %s: amounts are too large", i, s.Name)
		case s.Allowed != nil && len(s.Allowed) != len(in.Hosts), s.Running != nil && len(s.Running) != len(in.Hosts):
			return fmt.Errorf("service %d, %s: lists by host have another length than the hosts", i, s.Name)
		}
		for _, n := range s.Affinities {
			if n.Service < 0 || n.Service >= len(in.Services) || n.Domain > ZoneDomain {
				return fmt.Errorf("service %d, %s: it is near service %d, which is not here", i, s.Name, n.Service)
			}
		}
	}
	if in.OutsideHomeCost < 0 || in.MigrationCost < 0 || in.OutsideHomeCost > 1<<40 || in.MigrationCost > 1<<40 {
		return fmt.Errorf("moves and crossings cost 0 to 2^40")
	}
	if in.depth() == nil {
		return fmt.Errorf("services are near each other in a circle")
	}
	return nil
}

// depth is how far each service is from one that is near nothing; nil if they go round.
func (in *Instance) depth() []int {
	out := make([]int, len(in.Services))
	for round := 0; ; round++ {
		changed := false
		for i, s := range in.Services {
			for _, n := range s.Affinities {
				if d := out[n.Service] + 1; d > out[i] {
					out[i], changed = d, true
				}
			}
		}
		if !changed {
			return out
		}
		if round > len(in.Services) {
			return nil
		}
	}
}

// Check holds an answer against its instance: a certificate of a few lines, with none of the
// solver's code.
func Check(in *Instance, counts [][]int, cost int64) error {
	total := int64(0)
	used := make([]bool, len(in.Hosts))
	cores, memory := make([]int64, len(in.Hosts)), make([]int64, len(in.Hosts))
	if len(counts) != len(in.Services) {
		return fmt.Errorf("%d rows for %d services", len(counts), len(in.Services))
	}
	for si, s := range in.Services {
		n := 0
		racks, zones := map[string]int{}, map[string]int{}
		for hi, k := range counts[si] {
			h := in.Hosts[hi]
			switch {
			case k < 0:
				return fmt.Errorf("%s: %d tasks on %s", s.Name, k, h.ID)
			case k == 0:
				continue
			case h.Unschedulable:
				return fmt.Errorf("%s on %s, which takes nothing new", s.Name, h.ID)
			case s.Allowed != nil && !s.Allowed[hi]:
				return fmt.Errorf("%s on %s, which it may not use", s.Name, h.ID)
			case s.MaxPerHost > 0 && k > s.MaxPerHost:
				return fmt.Errorf("%s: %d on %s, at most %d", s.Name, k, h.ID, s.MaxPerHost)
			}
			for _, near := range s.Affinities {
				found := false
				for o, c := range counts[near.Service] {
					found = found || c > 0 && in.sameDomain(near.Domain, o, hi)
				}
				if !found {
					return fmt.Errorf("%s on %s, and no %s beside it", s.Name, h.ID, in.Services[near.Service].Name)
				}
			}
			if in.HomeZone != "" && h.Zone != in.HomeZone {
				total += in.OutsideHomeCost * int64(k)
			}
			n += k
			racks[h.Rack] += k
			zones[h.Zone] += k
			cores[hi] += int64(k) * s.Cores
			memory[hi] += int64(k) * s.Memory
			used[hi] = true
			if s.Running != nil {
				total += in.MigrationCost * int64(max(k-s.Running[hi], 0))
			}
		}
		if n != s.Count {
			return fmt.Errorf("%s: %d of %d tasks", s.Name, n, s.Count)
		}
		for rack, k := range racks {
			if s.MaxPerRack > 0 && k > s.MaxPerRack {
				return fmt.Errorf("%s: %d in rack %s, at most %d", s.Name, k, rack, s.MaxPerRack)
			}
		}
		for zone, k := range zones {
			if s.MaxPerZone > 0 && k > s.MaxPerZone {
				return fmt.Errorf("%s: %d in zone %s, at most %d", s.Name, k, zone, s.MaxPerZone)
			}
		}
	}
	for hi, h := range in.Hosts {
		if cores[hi] > h.Cores || memory[hi] > h.Memory {
			return fmt.Errorf("%s holds %d of %d thousandths of a core and %d of %d MiB", h.ID, cores[hi], h.Cores, memory[hi], h.Memory)
		}
		if used[hi] && !h.InUse {
			total += h.Cost
		}
	}
	if total != cost {
		return fmt.Errorf("the cost is %d, not %d", total, cost)
	}
	return nil
}
