package forkhead

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Constants of the machine list and of standby machines.
const (
	minPollBackoff          = 300 * time.Millisecond // wait after a failed poll, doubled at each further one
	maxPollBackoffDoublings = 8
	pollFailuresToLog       = 5 // consecutive failed polls until a message is logged
	// The list service handles a few dozen polls per second from all placers together, so the time over which
	// the placers spread their polls grows by this amount with each placer.
	pollSpreadPerPlacer = 20 * time.Millisecond
	removedRetention    = time.Minute // after this, a removed machine is deleted when members change
	// Machines go on standby if everything requested fits on the others without filling them beyond this
	// share.
	standbyUtilization = 0.85
	standbySpares      = 1 // machines that stay in use although they are not needed
)

// poll requests the changes of the list and schedules a repeat in case there is no reply.
func (p *Placer) poll() {
	p.emit(Subscribe{})
	p.schedulePoll(p.jitter(p.settings.MaxPollInterval / 2))
}

// schedulePoll sets the timer for the next poll. Only the latest timer counts, so that polls don't multiply
// while the list fails. The first delay and the backoff include pollSpread, so that placers don't all poll
// at the same moment when they start or when the list fails or recovers. A single placer polls at once.
func (p *Placer) schedulePoll(backoff time.Duration) {
	if p.settings.ListWatched {
		return
	}
	p.listPolling.awaitingReply = true
	p.listPolling.currentTimer++
	if backoff <= 0 {
		p.poll()
	} else {
		p.setTimer(timerPoll, p.listPolling.currentTimer, backoff)
	}
}

// pollSpread is the time over which the placers spread polls and probes that they would otherwise all send at
// once.
func (p *Placer) pollSpread() time.Duration {
	return min(pollSpreadPerPlacer*time.Duration(p.settings.Placers-1), p.settings.MaxPollInterval/2)
}

func (p *Placer) handleListUpdate(update ListUpdate) {
	if update.Mode == ListFailed {
		p.handlePollFailure()
		return
	}
	if update.Mode != ListCached {
		p.listPolling.awaitingReply, p.listPolling.failures = false, 0
	}
	listed := map[MachineID]bool{}
	for _, entry := range update.Machines {
		listed[entry.ID] = true
		p.applyListEntry(entry)
	}
	if update.Mode != ListDelta {
		p.removeUnlisted(listed)
	}
	if p.membershipChanged {
		p.rebuildPools()
	}
	for _, pool := range p.pools {
		p.updateStandby(pool)
	}
	p.capacityChanged = true
}

func (p *Placer) handlePollFailure() {
	backoff := minPollBackoff << min(p.listPolling.failures, maxPollBackoffDoublings)
	p.schedulePoll(min(p.jitter(backoff+p.pollSpread()), p.settings.MaxPollInterval))
	p.listPolling.failures++
	if p.listPolling.failures == pollFailuresToLog {
		p.emit(Log{Message: "polling the machine list keeps failing; the last one stays in use"})
	}
}

// applyListEntry replaces the list entry of a machine. It ignores an entry with an unknown machine type.
func (p *Placer) applyListEntry(entry Machine) {
	if entry.Type < 0 || entry.Type >= len(p.pools) {
		return
	}
	m := p.machine(entry.ID)
	if entry.StartedAt > m.StartedAt || m.State == Removed {
		// The machine has restarted or is back in the list: its programs are gone and its failed checks no
		// longer apply. If they still applied, a machine that was unreachable, left the list and came back
		// would get no offers for good. If the list is wrong, forgetting them costs one failed offer.
		m.cachedPrograms, m.probing, m.failures, m.suspectUntil = nil, false, 0, 0
	}
	if m.listedAt > 0 && entry.StartedAt == m.StartedAt {
		p.updateListLag(m, entry.AvailableCores-m.AvailableCores)
	}
	poolChanged := m.Type != entry.Type || (m.State == Removed) != (entry.State == Removed)
	p.membershipChanged = p.membershipChanged || poolChanged
	m.Machine = entry
	m.listedAt, m.availableStale = p.now, true
	if !p.settings.ListReportsAvailable {
		machineType := p.settings.MachineTypes[m.Type]
		m.AvailableCores, m.AvailableMemory = machineType.Cores, machineType.Memory
		m.listedAt = neverListed
	}
}

// updateStandby puts machines of a pool on standby if the others have capacity for everything requested and a
// reserve. Machines on standby get no new tasks while others have capacity, and so become empty over time.
// Standby exists because surplus machines in use have a cost. The machines that started last stay in use,
// since the oldest are the first to go when all machines are replaced. Of machines that started at the same
// time, the fullest stay in use. Standby is used only if there is one placer, or a few that gossip about
// reservations. The cost: when many tasks arrive at once, a task still starts on a machine on standby if the
// machines in use have no capacity, or have long queues.
func (p *Placer) updateStandby(pool *pool) {
	if p.settings.Costs.SurplusMachine == 0 || !p.seesPeerChanges() {
		return
	}
	var ready []*machine
	cores, memory := 0.0, 0.0
	for _, m := range pool.order {
		m.standby = false
		if m.State == Ready {
			availableCores, availableMemory := p.available(m)
			machineType := p.settings.MachineTypes[m.Type]
			cores, memory = cores+machineType.Cores-availableCores, memory+machineType.Memory-availableMemory
			ready = append(ready, m)
		}
	}
	if len(ready) == 0 {
		return
	}
	slices.SortStableFunc(ready, func(a, b *machine) int {
		newestFirst := cmp.Compare(p.warmStartTime(b), p.warmStartTime(a))
		return cmp.Or(newestFirst, cmp.Compare(p.availableShare(a), p.availableShare(b)))
	})
	machineType := p.settings.MachineTypes[ready[0].Type]
	utilization := max(cores/machineType.Cores, memory/machineType.Memory) / standbyUtilization
	needed := int(math.Ceil(utilization)) + standbySpares
	for _, m := range ready[min(needed, len(ready)):] {
		m.standby = true
	}
}

// warmStartTime returns the time of the machine's latest start, or 0 if it is in slow start or started before
// the placers.
func (p *Placer) warmStartTime(m *machine) time.Duration {
	if p.inSlowStart(m) {
		return 0
	}
	return m.StartedAt
}

// availableShare returns the available share of the machine's cores or memory, whichever is smaller.
func (p *Placer) availableShare(m *machine) float64 {
	cores, memory := p.available(m)
	return min(cores/p.settings.MachineTypes[m.Type].Cores, memory/p.settings.MachineTypes[m.Type].Memory)
}
