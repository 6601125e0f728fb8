package forkhead

import "math"

// Tuned values of size intervals and groups.
const (
	machinesPerGroup = 3 // still leaves a choice when one machine is full and one drains
	// Two intervals at least, so that large tasks have a group of their own; few at most, and two where
	// placers are many: those whose thresholds differ a little still mean the same group.
	minIntervals, maxIntervals = 2, 4
	// Sizes are forgotten by the count of later ones, so that a placer that sees few tasks has data too.
	sizeHistory = 1000
	meanWeight  = 30   // the configured mean weighs as much as so many observed tasks of mean size
	minSize     = 1e-9 // a size of 0 counts as this where it divides, in cores or memory units
)

// loadPosition is where a task stands in the cumulative load, from 0 to 1 (eta in the paper): interval
// i of n is [i/n, (i+1)/n). The service's hash spreads a size over the load that this size has, so that
// a threshold inside it splits it in the right shares. The configured mean, which splits in half without
// data, counts as observed load: placers that each see few tasks then still agree.
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

// intervalCount is the number of size intervals of a pool, and so of its groups.
func (p *Placer) intervalCount(pool *pool) int {
	machines, limit := len(pool.order), maxIntervals
	if !p.seesPeerChanges() {
		limit = minIntervals
	}
	rounded := (machines + machinesPerGroup/2) / machinesPerGroup
	return min(machines, max(minIntervals, min(limit, rounded)))
}

// poolFor picks the machine type: the one that the task's class needs, else by the service's hash in
// proportion to the cores of each type.
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
