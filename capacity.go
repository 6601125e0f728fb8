package forkhead

import (
	"math"
	"time"
)

// Tuned values of the capacity estimate.
const (
	changeHistory      = 10 * time.Second       // ended attempts count this long, for a list that lags
	initialLag         = 2                      // the place in viewLags to begin with: a second
	lagErrorDecay      = 0.98                   // the errors of the lags fade by this at each observation
	rejectionLifetime  = 4 * time.Second        // what a rejection shows is used this long at most
	rejectedSizeMargin = 0.99                   // of the rejected size: the same size does not fit again
	queueFullBackoff   = 300 * time.Millisecond // a machine with a full queue gets nothing for this long
	memorySaturation   = 0.88                   // memory in use above this share slows a machine, then evicts
	// What tasks use of what they request, until notes show it; it weighs as much as so many cores or
	// memory units, and earlier notes fade by the decay at each one.
	initialUsage, initialUsageWeight, usageDecay = 0.8, 20, 0.998
	// A note of less than the full service level derates its machine by a step, up to the maximum; it is
	// recovered from at a rate of 1 in this time.
	fullServiceLevel          = 0.9
	deratingStep, maxDerating = 0.06, 0.4
	deratingRecovery          = 90 * time.Second
	// Programs that a machine is taken to cache after the last task of a service. Too many cost nothing:
	// where the program is not cached after all, a start is as slow as anywhere else.
	maxCachedPrograms = 16
	// Gossip about capacity is sent while the start and end of a task together cost less than this share
	// of the result: among few placers. Among more, what each one sends changes little.
	maxGossipCost  = 0.005
	maxPeerChanges = 500 // remembered for a machine; more are a flood
)

// viewLags are the candidates for how far the list lags behind.
var viewLags = [...]time.Duration{
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond,
	2 * time.Second, 3 * time.Second, 4500 * time.Millisecond, 7 * time.Second,
}

// available is what the list shows as not requested, with our own and gossiped changes since then and
// with what a rejection has shown. It is never more than our own tasks alone leave.
func (p *Placer) available(m *machine) (cores, memory float64) {
	if !m.availableStale && p.now < m.availableAt+queueRetryInterval {
		return m.availableCores, m.availableMemory
	}
	observedAt := m.listedAt - viewLags[p.viewLag.best]
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

// learnViewLag compares a change of the listed cores with that of the tasks we know of under each lag. It
// guards against a list that lags by an unknown and changing time, whatever the cause.
func (p *Placer) learnViewLag(m *machine, change float64) {
	if p.now-m.listedAt > changeHistory/2 {
		return
	}
	lag := &p.viewLag
	for i, candidate := range viewLags {
		before, _ := m.changesSince(m.listedAt - candidate)
		after, _ := m.changesSince(p.now - candidate)
		lag.errors[i] = lag.errors[i]*lagErrorDecay + math.Abs(change+before-after)
		if lag.errors[i] < lag.errors[lag.best] {
			lag.best = i
		}
	}
}

// recordRejection takes a rejection as an observation: less than what was requested is available.
func (p *Placer) recordRejection(a *attempt, reason RejectReason) {
	m := a.machine
	machineType := p.settings.MachineTypes[m.Type]
	cores, memory := p.available(m)
	if m.rejectedAt <= m.listedAt-viewLags[p.viewLag.best] || p.now >= m.rejectedAt+rejectionLifetime {
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

// hasCapacity says whether the machine has capacity for the task: where the pass overcommits, as much as it
// accepts and half serves the task's class, else as much as leaves its tasks well served.
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
			return false // it would accept, preempt nothing and be crowded
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

// fits says whether the task fits into what is available, where the machine may be filled up to these
// multiples of its cores and memory.
func (p *Placer) fits(t *task, m *machine, cores, memory, maxCores, maxMemory float64) bool {
	machineType := p.settings.MachineTypes[m.Type]
	return t.Cores <= cores+machineType.Cores*(maxCores-1) &&
		t.Memory <= memory+machineType.Memory*(maxMemory-1)
}

// availableByPreemption is what is available and what our tasks of lower priority request on the machine.
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

// recordServiceLevel takes in the share of full service that a task gets.
func (p *Placer) recordServiceLevel(a *attempt, level float64) {
	if level < fullServiceLevel {
		m := a.machine
		m.derating, m.deratedAt = min(1-m.deratingFactor(p.now)+deratingStep, maxDerating), p.now
		p.migrateIfPoorlyServed(a, level)
	}
}

// deratingFactor is the share of its usual tasks that a machine is given: less once its tasks were served
// poorly, whatever the cause, and all again in time. It may hurt where service swings.
func (m *machine) deratingFactor(now time.Duration) float64 {
	return 1 - max(0, m.derating-float64(now-m.deratedAt)/float64(deratingRecovery))
}

// ratio is the share of what tasks request that they use.
func (u *usageRatio) ratio() float64 {
	return (u.used + initialUsage*initialUsageWeight) / (u.requested + initialUsageWeight)
}

// seesPeerChanges says whether the list and gossip leave little that other placers reserved unseen. Gossip
// is sent where its cost is small, whatever the number of placers: both it and the reading of it grow with
// them.
func (p *Placer) seesPeerChanges() bool {
	cost := 2 * capacityChangeFraction * p.settings.Costs.Gossip * float64(p.settings.Placers-1)
	return p.settings.Placers == 1 || p.settings.MayGossip && cost <= maxGossipCost
}

// handleGossip takes in a message: until the list shows them, changes count like our own. It guards against
// placers that all see the same capacity and fill it at once. A lost message costs a rejection, or hides
// some capacity until the list is newer.
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
