package forkhead

import (
	"cmp"
	"slices"
	"time"
)

// capacityDirection is the sign of the amounts in a capacityChange.
type capacityDirection float64

const (
	reserved capacityDirection = 1
	released capacityDirection = -1
)

func (p *Placer) emit(action Action) { p.actions = append(p.actions, action) }

// machine returns the machine with the id. It adds one that no list has named yet, in state Removed.
func (p *Placer) machine(id MachineID) *machine {
	m := p.machines[id]
	if m == nil {
		m = &machine{Machine: Machine{ID: id, State: Removed, Cell: -1, Zone: -1}, hash: hash64(uint64(id))}
		p.machines[id] = m
	}
	return m
}

// activeAttempt returns the attempt of a task by its number, or nil if there is no such attempt or it has ended.
func (p *Placer) activeAttempt(id TaskID, number int) *attempt {
	t := p.tasks[id]
	if t == nil || number < 0 || number >= len(t.attempts) || t.attempts[number].ended {
		return nil
	}
	return t.attempts[number]
}

// hasAttemptInFlight reports whether the task's last attempt has not ended. All earlier attempts have ended.
func (p *Placer) hasAttemptInFlight(t *task) bool {
	return len(t.attempts) > 0 && !t.attempts[len(t.attempts)-1].ended
}

// forgetIfDone deletes a task whose final answer is given and whose attempts all count no longer.
func (p *Placer) forgetIfDone(t *task) {
	if !t.pending && !slices.ContainsFunc(t.attempts, (*attempt).counts) {
		delete(p.tasks, t.ID)
	}
}

// counts reports whether the attempt counts toward the limits of its service and its machine.
func (a *attempt) counts() bool { return !a.ended || a.unconfirmed }

// startAttempt creates an attempt and adds it to the counts of its task, machine, service and tenant.
func (p *Placer) startAttempt(t *task, m *machine) *attempt {
	a := &attempt{task: t, machine: m, number: len(t.attempts), sentAt: p.now}
	t.attempts = append(t.attempts, a)
	m.attempts = append(m.attempts, a)
	m.starting++
	m.reservedCores += t.Cores
	m.reservedMemory += t.Memory
	m.availableStale = true
	p.services[t.Service] = append(p.services[t.Service], a)
	p.reservedCores[t.Tenant] += t.Cores
	return a
}

// markRunning records that the attempt's task runs and no longer delays other starts on its machine.
func (p *Placer) markRunning(a *attempt) {
	if !a.running {
		a.running = true
		a.machine.starting--
	}
}

// endAttempt marks an attempt as ended. It counts until releaseAttempt.
func (p *Placer) endAttempt(a *attempt) {
	p.markRunning(a)
	a.ended = true
}

// releaseAttempt removes an ended attempt from the counts of its machine, service and tenant.
func (p *Placer) releaseAttempt(a *attempt) {
	a.endedAt = p.now
	t, m := a.task, a.machine
	p.reservedCores[t.Tenant] -= t.Cores
	m.reservedCores -= t.Cores
	m.reservedMemory -= t.Memory
	m.availableStale = true
	remaining := slices.DeleteFunc(p.services[t.Service], func(other *attempt) bool { return a == other })
	p.services[t.Service] = remaining
	if len(remaining) == 0 {
		delete(p.services, t.Service)
	}
	if a.bound {
		m.cacheProgram(programID(t.Service))
	}
	m.attempts = slices.DeleteFunc(m.attempts, func(old *attempt) bool {
		return !old.counts() && (!old.bound || old.endedAt < p.now-changeHistory)
	})
	if a.bound {
		// The reservation of a rejected offer stays announced: it keeps the other placers from offering to a
		// full machine until the next list update.
		p.announceCapacity(a, released)
	}
}

// erroredOn reports whether an attempt of the task ended in an error on the machine. If so, the task is sent to another
// machine. An error leaves the machine's capacity available, so the machine would otherwise get all attempts of the
// task.
func (t *task) erroredOn(m *machine) bool {
	for _, a := range t.attempts {
		if a.errored && a.machine == m {
			return true
		}
	}
	return false
}

// announceCapacity adds a change to the gossip of this step. The change says that the attempt reserves or releases the
// capacity of its task on its machine.
func (p *Placer) announceCapacity(a *attempt, direction capacityDirection) {
	if p.settings.Placers > 1 && p.seesPeerChanges() {
		p.pendingGossip = append(p.pendingGossip, capacityChange{
			program: programID(a.task.Service), machine: a.machine.ID,
			cores: float64(direction) * a.task.Cores, memory: float64(direction) * a.task.Memory,
		})
	}
}

// addPeerChange stores a change by another placer. The change is kept for changeHistory, the longest time until the
// list shows it.
func (m *machine) addPeerChange(change capacityChange) {
	m.cacheProgram(change.program)
	m.peerChanges = slices.DeleteFunc(m.peerChanges, func(old capacityChange) bool {
		return old.at < change.at-changeHistory
	})
	m.peerChanges = append(m.peerChanges, change)
	if len(m.peerChanges) > maxPeerChanges {
		m.peerChanges = m.peerChanges[1:]
	}
	m.availableStale = true
}

// changesSince returns by how much the cores and memory requested on the machine have grown since the given time, as
// far as this placer knows.
func (m *machine) changesSince(at time.Duration) (cores, memory float64) {
	for _, a := range m.attempts {
		if a.sentAt > at && (a.bound || a.counts()) {
			cores, memory = cores+a.task.Cores, memory+a.task.Memory
		}
		if !a.counts() && a.bound && a.endedAt > at {
			cores, memory = cores-a.task.Cores, memory-a.task.Memory
		}
	}
	for _, change := range m.peerChanges {
		if change.at > at {
			cores, memory = cores+change.cores, memory+change.memory
		}
	}
	return cores, memory
}

// cacheProgram records the program as cached on the machine. If there are more than maxCachedPrograms, the one
// recorded first is dropped.
func (m *machine) cacheProgram(program uint32) {
	m.cachedPrograms = slices.DeleteFunc(m.cachedPrograms, func(other uint32) bool { return other == program })
	m.cachedPrograms = append(m.cachedPrograms, program)
	if len(m.cachedPrograms) > maxCachedPrograms {
		m.cachedPrograms = m.cachedPrograms[1:]
	}
}

// hasProgram reports whether the machine has the service's program, as far as this placer knows from its own
// tasks and from gossip.
func (p *Placer) hasProgram(m *machine, service uint64) bool {
	for _, a := range p.services[service] {
		if a.machine == m {
			return true
		}
	}
	return slices.Contains(m.cachedPrograms, programID(service))
}

// clearOutlier resets the outlier state of a class at a machine that has started a task of the class.
func (p *Placer) clearOutlier(m *machine, class int) {
	if m.outliers != nil {
		m.outliers[class] = outlierState{}
	}
}

// insertCandidate adds a machine to the candidates, which are sorted by their rank for the service.
func (p *Placer) insertCandidate(m *machine, service uint64) {
	at := len(p.candidates)
	for at > 0 && m.rank(service) < p.candidates[at-1].rank(service) {
		at--
	}
	p.candidates = slices.Insert(p.candidates, at, m)
}

// removeUnlisted marks the machines that are missing from a complete list as Removed.
func (p *Placer) removeUnlisted(listed map[MachineID]bool) {
	for id, m := range p.machines {
		if !listed[id] && m.State != Removed {
			m.State, p.membershipChanged = Removed, true
		}
	}
}

// rebuildPools sorts the machines of each type by the hash of their ids. A draining machine keeps its
// position, so that the groups don't change until it is removed. Machines that were removed more than
// removedRetention ago and have no live attempt are deleted.
func (p *Placer) rebuildPools() {
	p.membershipChanged = false
	for _, pool := range p.pools {
		pool.order = pool.order[:0]
	}
	for id, m := range p.machines {
		switch {
		case m.State != Removed:
			m.removedAt = 0
			p.pools[m.Type].order = append(p.pools[m.Type].order, m)
		case m.removedAt == 0:
			m.removedAt = p.now
		case p.now > m.removedAt+removedRetention && !m.hasLiveAttempt():
			delete(p.machines, id) // otherwise memory would grow with each replaced machine
		}
	}
	for _, pool := range p.pools {
		slices.SortFunc(pool.order, func(a, b *machine) int { return cmp.Compare(a.hash, b.hash) })
	}
}

func (m *machine) hasLiveAttempt() bool {
	return slices.ContainsFunc(m.attempts, (*attempt).counts)
}

// sameDomain reports whether two machines are in the same domain of a level.
func sameDomain(level Domain, a, b *machine) bool {
	switch level {
	case MachineDomain:
		return a == b
	case CellDomain:
		return a.Cell == b.Cell
	case ZoneDomain:
		return a.Zone == b.Zone
	}
	return true
}

// add decays the load of earlier tasks and adds a task. size is the cores that the task requests.
func (h *sizeHistogram) add(size float64) {
	for i := range h.load {
		h.load[i] *= 1 - 1./sizeHistory
	}
	h.load[sizeBucket(size)] += size
	h.total = h.total*(1-1./sizeHistory) + size
}

// observe adds the amount that a task uses and the amount that it requested, and decays earlier amounts.
func (u *usageRatio) observe(used, requested float64) {
	u.used, u.requested = u.used*usageDecay+used, u.requested*usageDecay+requested
}
