package bruteforce

import (
	"fmt"
	"math/rand/v2"

	"forkhead/internal/planning/solver"
)

// Bounds of a random instance. With them, brute force tries at most 4^6 assignments.
const (
	maxRandomHosts = 4
	maxRandomTasks = 6
)

// randomInstance draws a small instance, often just at capacity, with all kinds of constraints and costs.
func randomInstance(rng *rand.Rand) *solver.Instance {
	in := &solver.Instance{MigrationCost: rng.Int64N(4)}
	for i := range rng.IntN(maxRandomHosts + 1) {
		h := randomHost(rng)
		if i > 0 && rng.IntN(2) == 0 {
			h = in.Hosts[i-1] // two hosts that differ only in their IDs
		}
		h.ID = fmt.Sprint("h", i)
		in.Hosts = append(in.Hosts, h)
	}
	remaining := rng.IntN(maxRandomTasks + 1)
	for remaining > 0 {
		s := randomService(rng, len(in.Services), remaining, len(in.Hosts))
		remaining -= s.Count
		in.Services = append(in.Services, s)
	}
	if rng.IntN(3) == 0 {
		in.HomeZone, in.OutsideHomeCost = "z0", rng.Int64N(3)
	}
	return in
}

// randomHost draws a host in one of two racks and one of two zones. It sets no ID.
func randomHost(rng *rand.Rand) solver.Host {
	h := solver.Host{
		Rack: fmt.Sprint("r", rng.IntN(2)), Cores: 1 + rng.Int64N(8), Memory: 1 + rng.Int64N(8),
		Cost: rng.Int64N(6), Unschedulable: rng.IntN(12) == 0, InUse: rng.IntN(8) == 0,
	}
	h.Zone = fmt.Sprint("z", rng.IntN(2))
	return h
}

// randomService draws the service with the given index, of at most maxTasks tasks, for an instance with the given
// number of hosts. Its affinities are to services with a lower index.
func randomService(rng *rand.Rand, index, maxTasks, hosts int) solver.Service {
	s := solver.Service{
		Name: fmt.Sprint("s", index), Count: 1 + rng.IntN(maxTasks), Cores: rng.Int64N(5), Memory: rng.Int64N(5),
	}
	for _, limit := range []*int{&s.MaxPerHost, &s.MaxPerRack, &s.MaxPerZone} {
		if rng.IntN(3) == 0 {
			*limit = 1 + rng.IntN(3)
		}
	}
	if rng.IntN(3) == 0 {
		for range hosts {
			s.Allowed = append(s.Allowed, rng.IntN(3) > 0)
		}
	}
	if rng.IntN(3) == 0 {
		for range hosts {
			s.Running = append(s.Running, rng.IntN(2))
		}
	}
	if index > 0 && rng.IntN(4) == 0 {
		s.Affinities = []solver.Affinity{{Service: rng.IntN(index), Domain: solver.Domain(rng.IntN(3))}}
	}
	return s
}
