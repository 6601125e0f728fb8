package forkhead

import "time"

// Constants of the selection of a machine.
const (
	numberOfChoices = 2           // candidates; a service's program then stays cached on two machines
	maxStarting     = 3           // starts by this placer on a machine; more delay each other
	lotterySlot     = time.Second // validity of a draw for a machine's capacity, about the lag of the list
)

// selectionPass has the conditions under which a machine is selected in one pass.
type selectionPass struct {
	programCached bool // the machine has the service's program
	standby       bool // the machine may be on standby
	maxStarting   int  // fewer than this many tasks of this placer are starting on the machine
	preempt       bool // tasks of lower priority, which the machine preempts, count as capacity
	overcommit    bool // capacity counts down to half of full service, not only to full service
}

// selectionPasses are tried in order, each over all groups outward from the task's own. A start without the
// program costs several times more, and a machine starts few tasks at a time: so a machine with the program
// comes first, in whichever group it is, then one with an empty queue.
var selectionPasses = []selectionPass{
	{programCached: true, maxStarting: 2 * maxStarting},
	{programCached: true, maxStarting: 2 * maxStarting, standby: true},
	{maxStarting: 1},
	{maxStarting: maxStarting},
	{maxStarting: 1, standby: true},
	{maxStarting: maxStarting, standby: true},
	{maxStarting: 2 * maxStarting, overcommit: true, standby: true},
	{maxStarting: 2 * maxStarting, overcommit: true, preempt: true, standby: true},
}

// selectMachine returns a machine for the task, or nil. It tries each pass in the task's pool and then,
// unless its class requires a machine type, in the other pools.
func (p *Placer) selectMachine(t *task, passes []selectionPass) *machine {
	class := &p.settings.Classes[t.Class]
	for i := range passes {
		pass := &passes[i]
		if pass.preempt && (!p.settings.Preemption || class.Priority == 0) {
			continue
		}
		if m := p.selectInPool(t, t.pool, pass); m != nil {
			return m
		}
		for machineType := range p.pools {
			if machineType == t.pool || class.MachineType >= 0 {
				continue
			}
			if m := p.selectInPool(t, machineType, pass); m != nil {
				return m
			}
		}
	}
	return nil
}

// selectInPool tries the group that serves the task's size first, then groups at increasing distance.
func (p *Placer) selectInPool(t *task, machineType int, pass *selectionPass) *machine {
	pool := p.pools[machineType]
	groups := p.intervalCount(pool)
	if groups == 0 {
		return nil
	}
	own := int(pool.sizes.loadPosition(t.Cores, p.settings.MeanCores, t.Service) * float64(groups))
	for step := range 2 * groups {
		i := own + step/2
		if step%2 == 1 { // downward first, to keep the groups above free for large tasks
			i = own - (step+1)/2
		}
		if i < 0 || i >= groups {
			continue
		}
		if m := p.selectInGroup(t, pool.group(i, groups), pass); m != nil {
			return m
		}
	}
	return nil
}

// selectInGroup returns the tightest fit among the machines of the group that have capacity and the service's
// program or, if there are none, among the first numberOfChoices machines with capacity in the order of their
// rank for the service. All placers have the same order, so they bring a program to the same machines. With
// many placers the list lags too much to show the fit, and the first machine in the order is returned.
func (p *Placer) selectInGroup(t *task, group []*machine, pass *selectionPass) *machine {
	p.candidates = p.candidates[:0]
	requireProgram, choices := pass.programCached, numberOfChoices
	if !p.seesPeerChanges() {
		choices = 1
	}
	for _, m := range group {
		if !p.admits(t, m, pass) {
			continue
		}
		hasProgram := p.hasProgram(m, t.Service)
		if hasProgram && !requireProgram {
			requireProgram, p.candidates = true, p.candidates[:0]
		}
		if requireProgram && !hasProgram {
			continue
		}
		p.insertCandidate(m, t.Service)
		if !requireProgram || choices == 1 {
			p.candidates = p.candidates[:min(len(p.candidates), choices)]
		}
	}
	return p.tightestFit(t, p.candidates)
}

// admits reports whether the machine can be selected for the task in this pass.
func (p *Placer) admits(t *task, m *machine, pass *selectionPass) bool {
	inUse := !m.standby || pass.standby
	return inUse && p.isEligible(t, m) && p.hasCapacity(t, m, pass) && p.winsLottery(t, m)
}

// tightestFit returns the candidate on which the task leaves the least available, the first among equals.
func (p *Placer) tightestFit(t *task, candidates []*machine) *machine {
	var best *machine
	for _, m := range candidates {
		if best == nil || p.leftover(t, m) < p.leftover(t, best) {
			best = m
		}
	}
	return best
}

// leftover returns what the task leaves available on the machine: the sum of cores and memory, each as a
// share of the machine's.
func (p *Placer) leftover(t *task, m *machine) float64 {
	cores, memory := p.available(m)
	machineType := p.settings.MachineTypes[m.Type]
	return (cores-t.Cores)/machineType.Cores + (memory-t.Memory)/machineType.Memory
}

// winsLottery reports whether this placer may offer the task to the machine in the current time slot. A hash
// that all placers share draws, on average, as many placers as tasks of this size fit, so that they don't all
// offer to the same machine. Only tasks after two attempts take part. The cost: if few of the placers drawn
// have tasks to place, capacity stays unused during the slot.
func (p *Placer) winsLottery(t *task, m *machine) bool {
	if len(t.attempts) < 2 || p.seesPeerChanges() {
		return true
	}
	cores, memory := p.available(m)
	winners := max(1, min(cores/max(t.Cores, minSize), memory/max(t.Memory, minSize)))
	slot := hash64(m.hash + uint64((p.now+time.Duration(m.hash%uint64(lotterySlot)))/lotterySlot))
	return unitInterval(hash64(slot^uint64(p.settings.Self)))*float64(p.settings.Placers) < winners
}

// isEligible applies the conditions that hold in all passes, however scarce capacity is: the state and health
// of the machine, its slow-start budget, the deduplication domain of a keyed task, errors of the task on the
// machine, the labels that the task requires and the spread limits.
func (p *Placer) isEligible(t *task, m *machine) bool {
	if m.State != Ready || !p.isHealthy(m, t.Class) || !p.withinSlowStartBudget(m) {
		return false
	}
	class := &p.settings.Classes[t.Class]
	mayRepeat := t.firstMayRun != nil && class.Effect == Keyed
	if mayRepeat && !sameDomain(class.DedupDomain, m, t.firstMayRun.machine) {
		return false
	}
	if class.DedupDomain == AnyDomain && t.erroredOn(m) {
		return false
	}
	return t.RequiredLabels&^m.Labels == 0 && p.withinSpreadLimits(t, m)
}

// withinSpreadLimits reports whether the task on the machine keeps the spread limits of its service and
// class.
func (p *Placer) withinSpreadLimits(t *task, m *machine) bool {
	for domain, limit := range t.SpreadLimits {
		if limit > 0 && !p.withinSpread(t, m, Domain(domain), limit) {
			return false
		}
	}
	class := &p.settings.Classes[t.Class]
	return p.withinSpread(t, m, class.SpreadDomain, class.MaxPerDomain)
}

// withinSpread reports whether the task's service has fewer live attempts than the limit in the machine's
// domain.
func (p *Placer) withinSpread(t *task, m *machine, domain Domain, limit int) bool {
	if domain == AnyDomain {
		return true
	}
	count := 0
	for _, a := range p.services[t.Service] {
		if sameDomain(domain, m, a.machine) {
			count++
		}
	}
	return count < limit
}
