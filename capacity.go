package forkhead

import (
	"math"
	"time"
)

// Constants of the capacity estimate.
const (
	changeHistory     = 10 * time.Second // longest time until the list shows a change of capacity
	initialListLag    = 2                // index of the lag 1 s in listLags
	listLagErrorDecay = 0.98             // each observation multiplies the errors of earlier ones by this
	rejectionLifetime = 4 * time.Second  // a rejection lowers the estimate for at most this time
	// After a rejection, this share of the rejected task's size counts as available, so that a task of the
	// same size does not fit.
	rejectedSizeMargin = 0.99
	queueFullBackoff   = 300 * time.Millisecond // a machine whose queue was full gets no offers for this time
	// A machine slows down from this share of memory in use on, and evicts tasks at a higher share.
	memorySaturation = 0.88
	// Tasks are assumed to use the share initialUsage of the requested amount until notes report their usage.
	// The assumption has the weight of initialUsageWeight requested cores or memory units. Each note reduces
	// the weight of earlier notes by the factor usageDecay.
	initialUsage, initialUsageWeight, usageDecay = 0.8, 20, 0.998
	// A note of a service level below fullServiceLevel derates its machine by deratingStep, up to
	// maxDerating. The derating falls at a rate of 1 per deratingRecovery.
	fullServiceLevel          = 0.9
	deratingStep, maxDerating = 0.06, 0.4
	deratingRecovery          = 90 * time.Second
	// Number of programs that a machine is assumed to keep cached after the last tasks of their services have
	// ended. Too high a number costs nothing: if the program isn't cached, the start is as slow as on any
	// other machine.
	maxCachedPrograms = 16
	// Changes of capacity are gossiped if the messages for the start and the end of a task cost at most this
	// share of the deployment's result, which is so if there are few placers. If there are many placers, the
	// changes of a single one matter little.
	maxGossipCost  = 0.005
	maxPeerChanges = 500 // changes stored per machine; limits memory if messages flood in
)

// listLags are the candidates for the lag of the list.
var listLags = [...]time.Duration{
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond,
	2 * time.Second, 3 * time.Second, 4500 * time.Millisecond, 7 * time.Second,
}

// available estimates the cores and memory of the machine that are not requested. It starts with the amounts
// in the list. It subtracts the amounts requested since then by this placer and, as far as gossip tells, by
// other placers. It also subtracts what a rejection has shown to be unavailable. The result is at most the
// size of the machine less the requests of this placer's own tasks. It is cached for queueRetryInterval.
func (p *Placer) available(m *machine) (cores, memory float64) {
	if !m.availableStale && p.now < m.availableAt+queueRetryInterval {
		return m.availableCores, m.availableMemory
	}
	observedAt := m.listedAt - listLags[p.listLag.best]
	newCores, newMemory := m.changesSince(observedAt)
	cores, memory = m.AvailableCores-newCores, m.AvailableMemory-newMemory
	if m.rejectedAt > observedAt && p.now < m.rejectedAt+rejectionLifetime {
		cores, memory = cores-m.unlistedCores, memory-m.unlistedMemory
	}
	machineType := p.settings.MachineTypes[m.Type]
	m.availableCores = min(cores, machineType.Cores-m.reservedCores)
	m.availableMemory = min(memory, machineType.Memory-m.reservedMemory)
	m.availableAt, m.availableStale = p.now, false
	return m.availableCores, m.availableMemory
}

// updateListLag compares a change of the listed cores with the change that each candidate lag predicts from
// the known tasks, and selects the lag with the least error. The lag of the list is unknown and changes.
func (p *Placer) updateListLag(m *machine, change float64) {
	if p.now-m.listedAt > changeHistory/2 {
		return
	}
	lag := &p.listLag
	for i, candidate := range listLags {
		before, _ := m.changesSince(m.listedAt - candidate)
		after, _ := m.changesSince(p.now - candidate)
		lag.errors[i] = lag.errors[i]*listLagErrorDecay + math.Abs(change+before-after)
		if lag.errors[i] < lag.errors[lag.best] {
			lag.best = i
		}
	}
}

// recordRejection lowers the estimate of what is available on the machine to less than the task requested. If
// the machine rejected the task for a reason other than cores or memory, such as a full queue, the estimate
// stays, and the machine gets no offers for queueFullBackoff.
func (p *Placer) recordRejection(a *attempt, reason RejectReason) {
	m := a.machine
	machineType := p.settings.MachineTypes[m.Type]
	cores, memory := p.available(m)
	if m.rejectedAt <= m.listedAt-listLags[p.listLag.best] || p.now >= m.rejectedAt+rejectionLifetime {
		m.unlistedCores, m.unlistedMemory = 0, 0
	}
	switch reason {
	case InsufficientCores:
		wouldAccept := cores + machineType.Cores*(p.settings.CoresOvercommit-1)
		m.unlistedCores += max(0, wouldAccept-a.task.Cores*rejectedSizeMargin)
	case InsufficientMemory:
		wouldAccept := memory + machineType.Memory*(p.settings.MemoryOvercommit-1)
		m.unlistedMemory += max(0, wouldAccept-a.task.Memory*rejectedSizeMargin)
	default:
		m.backoffUntil = p.now + queueFullBackoff
		return
	}
	m.rejectedAt, m.availableStale = p.now, true
}

// hasCapacity reports whether the machine has capacity for the task. The limit is the load up to which all
// tasks on the machine get full service. In a pass that overcommits, the limit is the load up to which the
// machine accepts tasks and the task's class gets at least half of full service.
func (p *Placer) hasCapacity(t *task, m *machine, pass *selectionPass) bool {
	if p.now < m.backoffUntil || m.starting >= pass.maxStarting {
		return false
	}
	if pass.programCached && !p.hasProgram(m, t.Service) {
		return false
	}
	if !pass.overcommit && p.inSlowStart(m) && m.starting > 0 {
		return false
	}
	cores, memory := p.available(m)
	if pass.preempt {
		if p.fits(t, m, cores, memory, p.settings.CoresOvercommit, p.settings.MemoryOvercommit) {
			return false // without preemption, the machine would accept the task and be overloaded
		}
		cores, memory = p.availableByPreemption(t, m)
		return p.fits(t, m, cores, memory, p.settings.CoresOvercommit, p.settings.MemoryOvercommit)
	}
	class := &p.settings.Classes[t.Class]
	maxCores := min(p.settings.CoresOvercommit,
		(class.SaturationThreshold+class.DegradationRange/2)/p.coreUsage.ratio())
	if !pass.overcommit {
		maxCores = min(maxCores, p.saturationThreshold/p.coreUsage.ratio()) * m.deratingFactor(p.now)
	}
	maxMemory := min(p.settings.MemoryOvercommit, memorySaturation/p.memoryUsage.ratio())
	return p.fits(t, m, cores, memory, maxCores, maxMemory)
}

// fits reports whether the task fits into the available amounts. The machine may be filled up to maxCores
// times its cores and maxMemory times its memory.
func (p *Placer) fits(t *task, m *machine, cores, memory, maxCores, maxMemory float64) bool {
	machineType := p.settings.MachineTypes[m.Type]
	return t.Cores <= cores+machineType.Cores*(maxCores-1) &&
		t.Memory <= memory+machineType.Memory*(maxMemory-1)
}

// availableByPreemption returns the available amounts of the machine, plus the amounts requested there by
// this placer's tasks of lower priority than t.
func (p *Placer) availableByPreemption(t *task, m *machine) (cores, memory float64) {
	cores, memory = p.available(m)
	priority := p.settings.Classes[t.Class].Priority
	for _, a := range m.attempts {
		if !a.ended && p.settings.Classes[a.task.Class].Priority < priority {
			cores, memory = cores+a.task.Cores, memory+a.task.Memory
		}
	}
	return cores, memory
}

// recordServiceLevel derates the machine of a task that gets less than fullServiceLevel of full service, and
// may migrate the task.
func (p *Placer) recordServiceLevel(a *attempt, level float64) {
	if level < fullServiceLevel {
		m := a.machine
		m.derating, m.deratedAt = min(1-m.deratingFactor(p.now)+deratingStep, maxDerating), p.now
		p.migrateIfPoorlyServed(a, level)
	}
}

// deratingFactor returns the factor by which the maximum load of the machine is multiplied. It is below 1
// after tasks on the machine were served poorly, whatever the cause, and rises back to 1 over time. The cost:
// if service levels oscillate, capacity stays unused.
func (m *machine) deratingFactor(now time.Duration) float64 {
	return 1 - max(0, m.derating-float64(now-m.deratedAt)/float64(deratingRecovery))
}

// ratio returns the estimated share of the requested amount that tasks use.
func (u *usageRatio) ratio() float64 {
	return (u.used + initialUsage*initialUsageWeight) / (u.requested + initialUsageWeight)
}

// seesPeerChanges reports whether this placer learns of nearly all reservations by other placers. It does if
// there are no other placers, or if changes of capacity are gossiped. They are gossiped only if that costs at
// most maxGossipCost, as the cost of both sending and reading grows with the number of placers.
func (p *Placer) seesPeerChanges() bool {
	cost := 2 * capacityChangeFraction * p.settings.Costs.Gossip * float64(p.settings.Placers-1)
	return p.settings.Placers == 1 || p.settings.MayGossip && cost <= maxGossipCost
}

// handleGossip applies a message from another placer. A change of capacity is counted like this placer's own
// changes until the list shows it, so that placers that see the same capacity don't all fill it at once. If a
// message is lost, an offer may be rejected, or some capacity stays hidden until the next list update.
func (p *Placer) handleGossip(message []byte) {
	if id, class, ok := decodeOutlier(message); ok {
		if m := p.machines[id]; m != nil && class < len(p.settings.Classes) {
			p.recordOutlierFailure(m, class)
		}
		return
	}
	for _, change := range decodeCapacityChanges(message) {
		if m := p.machines[change.machine]; m != nil && p.seesPeerChanges() {
			change.at = p.now
			m.addPeerChange(change)
		}
	}
}
