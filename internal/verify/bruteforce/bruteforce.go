// Package bruteforce compares the solver with a brute-force search that shares no code with it: the search tries every
// assignment of the tasks of a small instance to hosts.
package bruteforce

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"forkhead/internal/planning/solver"
)

// Compare draws n instances, with consecutive seeds that begin with the given one, and solves each instance with the
// solver and by brute force. It returns the number of feasible instances. It stops at the first instance for which the
// two results differ, the solver does not finish, or solver.Check rejects the placement; the error names this instance.
func Compare(seed uint64, n int, opt solver.Options) (feasible int, err error) {
	for i := range n {
		number := seed + uint64(i)
		in := randomInstance(rand.New(rand.NewPCG(number, 12)))
		isFeasible, err := compareOne(in, opt)
		if isFeasible {
			feasible++
		}
		if err != nil {
			return feasible, fmt.Errorf("instance %d: %w", number, err)
		}
	}
	return feasible, nil
}

// compareOne reports whether the solver and brute force both found a placement. It returns an error if their results
// differ.
func compareOne(in *solver.Instance, opt solver.Options) (feasible bool, err error) {
	result, err := solver.Solve(in, opt)
	if err != nil {
		return false, err
	}
	want := minCost(in)
	switch {
	case !result.Optimal:
		return false, errors.New("the solver did not prove its result optimal")
	case result.Feasible != (want >= 0):
		return false, fmt.Errorf("the solver says feasible %v, brute force finds the cost %d (-1: infeasible): %+v", result.Feasible, want, in)
	case !result.Feasible:
		return false, nil
	case result.Cost != want:
		return false, fmt.Errorf("the solver finds the cost %d, brute force finds %d: %+v", result.Cost, want, in)
	}
	return true, solver.Check(in, result.Counts, result.Cost)
}

// minCost returns the minimum cost of a placement, or -1 if there is no placement. Its time is exponential: the number
// of hosts to the power of the number of tasks.
func minCost(in *solver.Instance) int64 {
	var tasks []int // the service of each task
	p := placement{in: in}
	for service := range in.Services {
		for range in.Services[service].Count {
			tasks = append(tasks, service)
		}
		p.counts = append(p.counts, make([]int, len(in.Hosts)))
	}
	best := int64(-1)
	var placeFrom func(task int)
	placeFrom = func(task int) {
		if task == len(tasks) {
			if cost := p.cost(); (best < 0 || cost < best) && p.isValid() {
				best = cost
			}
			return
		}
		row := p.counts[tasks[task]]
		for host := range row {
			row[host]++
			placeFrom(task + 1)
			row[host]--
		}
	}
	placeFrom(0)
	return best
}

// placement is a complete assignment of tasks to hosts.
type placement struct {
	in     *solver.Instance
	counts [][]int // number of tasks by service and host
}

// isValid reports whether a placement satisfies its instance.
func (p *placement) isValid() bool {
	for host := range p.in.Hosts {
		if !p.fits(host) {
			return false
		}
		for service := range p.in.Services {
			if p.counts[service][host] == 0 {
				continue
			}
			if !p.isAllowed(service, host) || !p.isSpread(service, host) || !p.isNearOthers(service, host) {
				return false
			}
		}
	}
	return true
}

// fits reports whether a host has enough cores and memory for its tasks.
func (p *placement) fits(host int) bool {
	h := &p.in.Hosts[host]
	cores, memory := h.Cores, h.Memory
	for service := range p.in.Services {
		n := int64(p.counts[service][host])
		cores -= n * p.in.Services[service].Cores
		memory -= n * p.in.Services[service].Memory
	}
	return cores >= 0 && memory >= 0
}

// isAllowed reports whether tasks of a service may be placed on a host.
func (p *placement) isAllowed(service, host int) bool {
	allowed := p.in.Services[service].Allowed
	return !p.in.Hosts[host].Unschedulable && (allowed == nil || allowed[host])
}

// isSpread reports whether the number of a service's tasks on a host, in its rack and in its zone is within the limits.
func (p *placement) isSpread(service, host int) bool {
	s := &p.in.Services[service]
	return withinLimit(p.tasksInDomain(service, solver.HostDomain, host), s.MaxPerHost) &&
		withinLimit(p.tasksInDomain(service, solver.RackDomain, host), s.MaxPerRack) &&
		withinLimit(p.tasksInDomain(service, solver.ZoneDomain, host), s.MaxPerZone)
}

func withinLimit(n, limit int) bool { return limit == 0 || n <= limit }

// isNearOthers reports whether a host satisfies the affinities of a service.
func (p *placement) isNearOthers(service, host int) bool {
	for _, affinity := range p.in.Services[service].Affinities {
		if p.tasksInDomain(affinity.Service, affinity.Domain, host) == 0 {
			return false
		}
	}
	return true
}

// tasksInDomain returns the number of tasks of a service in the domain that a host is in.
func (p *placement) tasksInDomain(service int, domain solver.Domain, host int) int {
	n := 0
	h := &p.in.Hosts[host]
	for other, count := range p.counts[service] {
		o := &p.in.Hosts[other]
		if other == host || domain == solver.RackDomain && o.Rack == h.Rack || domain == solver.ZoneDomain && o.Zone == h.Zone {
			n += count
		}
	}
	return n
}

// cost returns the cost of a placement. The placement need not be valid.
func (p *placement) cost() int64 {
	total := int64(0)
	for host := range p.in.Hosts {
		h := &p.in.Hosts[host]
		tasks := 0
		for service := range p.in.Services {
			n := p.counts[service][host]
			tasks += n
			if running := p.in.Services[service].Running; running != nil {
				total += p.in.MigrationCost * int64(max(n-running[host], 0))
			}
		}
		if p.in.HomeZone != "" && h.Zone != p.in.HomeZone {
			total += p.in.OutsideHomeCost * int64(tasks)
		}
		if tasks > 0 && !h.InUse {
			total += h.Cost
		}
	}
	return total
}
