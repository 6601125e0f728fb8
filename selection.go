package forkhead

import "time"

// Constants of the selection of a machine.
const (
	numberOfChoices = 2           // number of candidates; 2 keeps a service's program cached on two machines
	maxStarting     = 3           // starts at once on a machine by this placer; more would delay each other
	admissionSlot   = time.Second // a new set of placers is admitted at this interval, about the list's lag
)

// selectionPass has the conditions under which a machine is selected in one pass.
type selectionPass struct {
	programCached bool // the machine has the service's program
	standby       bool // the machine may be on standby
	maxStarting   int  // fewer than this many tasks of this placer are starting on the machine
	preempt       bool // the cores and memory of tasks with lower priority count as available
	overcommit    bool // the machine may be loaded until the task gets only half of full service
}

// selectionPasses are tried in order, each over all groups, from the task's own group outward. A start
// without the program costs several times more, and a machine starts few tasks at a time. So machines with
// the program come first, in whichever group they are. Next come machines that start no task of this placer.
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
		if step%2 == 1 { // the group below first, to keep groups above free for large tasks
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
// program. If no machine has both, it chooses among the first numberOfChoices machines with capacity, in the
// order of their rank for the service. All placers have the same order, so they bring a program to the same
// machines. With many placers the list lags too much to show which machine fits best, and the first machine
// in the order is returned.
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
	return inUse && p.isEligible(t, m) && p.hasCapacity(t, m, pass) && p.isAdmittedAtRandom(t, m)
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

// leftover returns how much the task leaves available on the machine, as the sum of two shares: that of the
// machine's cores and that of its memory.
func (p *Placer) leftover(t *task, m *machine) float64 {
	cores, memory := p.available(m)
	machineType := p.settings.MachineTypes[m.Type]
	return (cores-t.Cores)/machineType.Cores + (memory-t.Memory)/machineType.Memory
}

// isAdmittedAtRandom reports whether this placer may offer the task to the machine in the current time slot.
// A hash that all placers share admits, on average, as many placers as tasks of this size fit on the machine,
// so that placers don't all offer to the same machine. Tasks with fewer than two attempts are always
// admitted. The cost: if few of the admitted placers have tasks to place, capacity stays unused during the
// slot.
func (p *Placer) isAdmittedAtRandom(t *task, m *machine) bool {
	if len(t.attempts) < 2 || p.seesPeerChanges() {
		return true
	}
	cores, memory := p.available(m)
	admitted := max(1, min(cores/max(t.Cores, minSize), memory/max(t.Memory, minSize)))
	slot := hash64(m.hash + uint64((p.now+time.Duration(m.hash%uint64(admissionSlot)))/admissionSlot))
	return unitInterval(hash64(slot^uint64(p.settings.Self)))*float64(p.settings.Placers) < admitted
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

// withinSpreadLimits reports whether the spread limits of the task's service and class allow the task on the
// machine.
func (p *Placer) withinSpreadLimits(t *task, m *machine) bool {
	for domain, limit := range t.SpreadLimits {
		if limit > 0 && !p.withinSpread(t, m, Domain(domain), limit) {
			return false
		}
	}
	class := &p.settings.Classes[t.Class]
	return p.withinSpread(t, m, class.SpreadDomain, class.MaxPerDomain)
}

// withinSpread reports whether the task's service has fewer than limit live attempts in the machine's domain.
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
