package solver

import (
	"fmt"
)

// Host is a host of an instance. Amounts are in thousandths of a core and in MiB.
type Host struct {
	ID     string
	Zone   string
	Rack   string
	Cores  int64
	Memory int64
	Cost   int64 // of using it at all
	Closed bool  // takes nothing new: it drains, or is gone
	Used   bool  // it is in use by what is not part of the instance
}

// Service is some tasks that are alike.
type Service struct {
	Name    string
	Count   int
	Cores   int64 // of each task
	Memory  int64
	May     []bool // by host; nil: any
	Machine int    // most on one host; 0: no limit
	Rack    int    // most in one rack
	Zone    int    // most in one zone
	Near    []Near // services that it has to be beside
	Runs    []int  // tasks of it that run on each host now; nil: none
	Why     string // what May comes from, for a conflict
	Where   string // FILE:LINE:COL
}

// Near keeps a service's tasks to places where another service has one.
type Near struct {
	Service int
	Place   Place
}

// Place is a sort of place.
type Place uint8

// The places.
const (
	OnHost Place = iota
	InRack
	InZone
)

// Instance is a question.
type Instance struct {
	Hosts    []Host
	Services []Service
	Move     int64  // cost of each task that is not where one of its service runs
	Home     string // a zone; "": none
	Cross    int64  // cost of each task outside it
}

// beside says whether two hosts are in one place.
func (in *Instance) beside(p Place, a, b int) bool {
	switch p {
	case InRack:
		return in.Hosts[a].Rack == in.Hosts[b].Rack
	case InZone:
		return in.Hosts[a].Zone == in.Hosts[b].Zone
	}
	return a == b
}

// Answer is what was found.
type Answer struct {
	Feasible bool
	Optimal  bool // proven: Cost is Bound; or proven that there is none
	Cost     int64
	Bound    int64
	Counts   [][]int // by service, by host
	Nodes    int
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
		case s.Count < 0 || s.Cores < 0 || s.Memory < 0 || s.Machine < 0 || s.Rack < 0 || s.Zone < 0:
			return fmt.Errorf("service %d, %s: amounts are not below 0", i, s.Name)
		case s.Cores > 1<<40 || s.Memory > 1<<40 || s.Count > 1<<20:
			return fmt.Errorf("service %d, %s: amounts are too large", i, s.Name)
		case s.May != nil && len(s.May) != len(in.Hosts), s.Runs != nil && len(s.Runs) != len(in.Hosts):
			return fmt.Errorf("service %d, %s: lists by host have another length than the hosts", i, s.Name)
		}
		for _, n := range s.Near {
			if n.Service < 0 || n.Service >= len(in.Services) || n.Place > InZone {
				return fmt.Errorf("service %d, %s: it is near service %d, which is not here", i, s.Name, n.Service)
			}
		}
	}
	if in.Cross < 0 || in.Move < 0 || in.Cross > 1<<40 || in.Move > 1<<40 {
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
			for _, n := range s.Near {
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
			case h.Closed:
				return fmt.Errorf("%s on %s, which takes nothing new", s.Name, h.ID)
			case s.May != nil && !s.May[hi]:
				return fmt.Errorf("%s on %s, which it may not use", s.Name, h.ID)
			case s.Machine > 0 && k > s.Machine:
				return fmt.Errorf("%s: %d on %s, at most %d", s.Name, k, h.ID, s.Machine)
			}
			for _, near := range s.Near {
				found := false
				for o, c := range counts[near.Service] {
					found = found || c > 0 && in.beside(near.Place, o, hi)
				}
				if !found {
					return fmt.Errorf("%s on %s, and no %s beside it", s.Name, h.ID, in.Services[near.Service].Name)
				}
			}
			if in.Home != "" && h.Zone != in.Home {
				total += in.Cross * int64(k)
			}
			n += k
			racks[h.Rack] += k
			zones[h.Zone] += k
			cores[hi] += int64(k) * s.Cores
			memory[hi] += int64(k) * s.Memory
			used[hi] = true
			if s.Runs != nil {
				total += in.Move * int64(max(k-s.Runs[hi], 0))
			}
		}
		if n != s.Count {
			return fmt.Errorf("%s: %d of %d tasks", s.Name, n, s.Count)
		}
		for rack, k := range racks {
			if s.Rack > 0 && k > s.Rack {
				return fmt.Errorf("%s: %d in rack %s, at most %d", s.Name, k, rack, s.Rack)
			}
		}
		for zone, k := range zones {
			if s.Zone > 0 && k > s.Zone {
				return fmt.Errorf("%s: %d in zone %s, at most %d", s.Name, k, zone, s.Zone)
			}
		}
	}
	for hi, h := range in.Hosts {
		if cores[hi] > h.Cores || memory[hi] > h.Memory {
			return fmt.Errorf("%s holds %d of %d thousandths of a core and %d of %d MiB", h.ID, cores[hi], h.Cores, memory[hi], h.Memory)
		}
		if used[hi] && !h.Used {
			total += h.Cost
		}
	}
	if total != cost {
		return fmt.Errorf("the cost is %d, not %d", total, cost)
	}
	return nil
}
