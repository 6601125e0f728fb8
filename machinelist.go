package forkhead

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Tuned values of the machine list and of standby.
const (
	minPollBackoff          = 300 * time.Millisecond // after a failed poll, doubled at each further one
	maxPollBackoffDoublings = 8
	pollFailuresToLog       = 5 // so many failed polls in a row are logged for whoever is on call
	// The list service takes a few dozen polls a second from all placers: each adds this to their spread.
	pollSpreadPerPlacer = 20 * time.Millisecond
	removedRetention    = time.Minute // then a removed machine is forgotten, at the next change of members
	// Machines go on standby where all that is requested fits on the others, filled up to this share.
	standbyUtilization = 0.85
	standbySpares      = 1 // so many more than those stay in use
)

// poll asks for the list's changes, again if the poll stays unanswered.
func (p *Placer) poll() {
	p.emit(Subscribe{})
	p.schedulePoll(p.jitter(p.settings.MaxPollInterval / 2))
}

// schedulePoll sets the one timer for the next poll; an earlier one no longer counts. It guards against
// polls that multiply while the list fails and, with pollSpread, against placers that all poll at one
// moment: at a start, or when the list comes back or breaks. A lone placer does not wait.
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

// pollSpread is the time over which polls and probes that all placers would send at one moment are spread.
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

// applyListEntry replaces what the list says of a machine. An entry of an unknown type is ignored.
func (p *Placer) applyListEntry(entry Machine) {
	if entry.Type < 0 || entry.Type >= len(p.pools) {
		return
	}
	m := p.machine(entry.ID)
	if entry.StartedAt > m.StartedAt || m.State == Removed {
		// It has restarted: its programs are gone and its failed checks are void. Guards against excluding a
		// machine that was unreachable, left the list and came back; a wrong list costs one failed offer.
		m.cachedPrograms, m.probing, m.failures, m.suspectUntil = nil, false, 0, 0
	}
	if m.listedAt > 0 && entry.StartedAt == m.StartedAt {
		p.learnViewLag(m, entry.AvailableCores-m.AvailableCores)
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

// updateStandby puts machines of a pool on standby where the others have capacity for all that is requested
// and more: they get nothing new while that is so, and are free of tasks in time. Machines in use beyond
// need have a cost. Those that started last stay in use, since a replacement of all machines takes the
// oldest first, then the fullest. It acts where placers are few and gossip about what they reserve. It may
// hurt where many tasks come at once: one that finds no capacity or long queues elsewhere still goes there.
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
		newestFirst := cmp.Compare(p.lateStart(b), p.lateStart(a))
		return cmp.Or(newestFirst, cmp.Compare(p.availableShare(a), p.availableShare(b)))
	})
	machineType := p.settings.MachineTypes[ready[0].Type]
	utilization := max(cores/machineType.Cores, memory/machineType.Memory) / standbyUtilization
	needed := int(math.Ceil(utilization)) + standbySpares
	for _, m := range ready[min(needed, len(ready)):] {
		m.standby = true
	}
}

// lateStart is when the machine started, if it is warmed up and started after the placers; else 0.
func (p *Placer) lateStart(m *machine) time.Duration {
	if p.inSlowStart(m) {
		return 0
	}
	return m.StartedAt
}

// availableShare is how much of the machine is not requested, of cores and memory the scarcer.
func (p *Placer) availableShare(m *machine) float64 {
	cores, memory := p.available(m)
	return min(cores/p.settings.MachineTypes[m.Type].Cores, memory/p.settings.MachineTypes[m.Type].Memory)
}
