package forkhead

import "math"

// Constants of size intervals and groups.
const (
	machinesPerGroup = 3 // if one machine is full and one drains, one is left
	// There are at least two intervals, so that large tasks have a group of their own. There are only a few,
	// and just two with many placers, so that placers whose thresholds differ slightly still select the same
	// group.
	minIntervals, maxIntervals = 2, 4
	// Number of tasks over which the load of earlier tasks decays. The load doesn't decay with time, so that
	// a placer that sees few tasks has data too.
	sizeHistory = 1000
	meanWeight  = 30   // the configured mean size counts like this many observed tasks of that size
	minSize     = 1e-9 // in cores or memory units; replaces a size of 0 in divisions
)

// loadPosition returns the position of a task's size in the cumulative load, from 0 to 1 (eta in the paper).
// Of n intervals, interval i has the positions [i/n, (i+1)/n). The service's hash spreads the tasks of one
// size over the load of that size, so that a threshold within that load divides the tasks in the right
// proportion. The configured mean counts as observed load, so that placers that each see few tasks agree.
// Without observed tasks, the configured mean divides the load into two equal halves.
func (h *sizeHistogram) loadPosition(size, mean float64, service uint64) float64 {
	configured, bucket := meanWeight*max(mean, minSize), sizeBucket(size)
	offset := unitInterval(hash64(service ^ saltSizeOffset))
	below := configured*offset/2 + offset*h.load[bucket]
	if size >= mean {
		below += configured / 2
	}
	for _, load := range h.load[:bucket] {
		below += load
	}
	return min(below/(configured+h.total), math.Nextafter(1, 0))
}

// intervalCount returns the number of size intervals of a pool, which is also the number of its groups.
func (p *Placer) intervalCount(pool *pool) int {
	machines, limit := len(pool.order), maxIntervals
	if !p.seesPeerChanges() {
		limit = minIntervals
	}
	rounded := (machines + machinesPerGroup/2) / machinesPerGroup
	return min(machines, max(minIntervals, min(limit, rounded)))
}

// poolFor returns the index of the machine type for a task: the type that its class requires, otherwise one
// selected by the service's hash in proportion to the cores of each type.
func (p *Placer) poolFor(t *Task) int {
	if required := p.settings.Classes[t.Class].MachineType; required >= 0 {
		return required
	}
	total := 0.0
	for i, pool := range p.pools {
		total += float64(len(pool.order)) * p.settings.MachineTypes[i].Cores
	}
	remaining := unitInterval(hash64(t.Service^saltMachineType)) * total
	for i, pool := range p.pools {
		remaining -= float64(len(pool.order)) * p.settings.MachineTypes[i].Cores
		if remaining < 0 {
			return i
		}
	}
	return len(p.pools) - 1
}
