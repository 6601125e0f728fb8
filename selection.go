package forkhead

import "time"

// Tuned values of the choice of a machine.
const (
	numberOfChoices = 2           // a service's program then stays present on two machines
	maxStarting     = 3           // more of our own tasks that start on a machine delay each other
	lotterySlot     = time.Second // a draw for a machine's capacity is valid this long: about the list's lag
)

// selectionPass is what a machine must offer to be selected.
type selectionPass struct {
	programCached bool // it holds the service's program
	standby       bool // it may be on standby
	maxStarting   int  // fewer than so many of our tasks are starting there
	preempt       bool // capacity counts what tasks of lower priority hold, which the machine preempts
	overcommit    bool // capacity up to half service, not only as far as the machine serves well
}

// selectionPasses are tried in turn, each over all groups from the task's own outwards. Starts cost
// several times more where the program is absent, and a machine starts few tasks at a time: so a machine
// with the program comes first, wherever it is, then one with an empty queue.
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

// selectMachine tries each pass in the pool of the task and then in the others, if its class allows them.
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

// selectInPool looks in the group that owns the task's size first and then in ever farther ones.
func (p *Placer) selectInPool(t *task, machineType int, pass *selectionPass) *machine {
	pool := p.pools[machineType]
	groups := p.intervalCount(pool)
	if groups == 0 {
		return nil
	}
	own := int(pool.sizes.loadPosition(t.Cores, p.settings.MeanCores, t.Service) * float64(groups))
	for step := range 2 * groups {
		i := own + step/2
		if step%2 == 1 { // downward first: upward lies the capacity that large tasks need
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

// selectInGroup takes the tightest fit of a few machines of the group that have capacity, or of all that
// hold the service's program if any do. The few go by the service's hash, so that all placers bring one
// program to the same machines. Where placers are many and the list lags too far behind to show the fit,
// the first by the hash is taken.
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

// admits says whether the machine can take the task in this pass.
func (p *Placer) admits(t *task, m *machine, pass *selectionPass) bool {
	inUse := !m.standby || pass.standby
	return inUse && p.isEligible(t, m) && p.hasCapacity(t, m, pass) && p.winsLottery(t, m)
}

// tightestFit returns the candidate on which the task would leave least, the first of equals.
func (p *Placer) tightestFit(t *task, candidates []*machine) *machine {
	var best *machine
	for _, m := range candidates {
		if best == nil || p.leftover(t, m) < p.leftover(t, best) {
			best = m
		}
	}
	return best
}

// leftover is what the task would leave available, the sum of cores and memory, each as a share of the
// machine.
func (p *Placer) leftover(t *task, m *machine) float64 {
	cores, memory := p.available(m)
	machineType := p.settings.MachineTypes[m.Type]
	return (cores-t.Cores)/machineType.Cores + (memory-t.Memory)/machineType.Memory
}

// winsLottery draws, by a hash that all placers share, who may offer into a machine's capacity: as many
// placers in a slot of time as tasks like this would fit. It acts on tasks that were rejected twice. It
// guards against all placers offering into one gap, and may hurt where few of them have anything to place.
func (p *Placer) winsLottery(t *task, m *machine) bool {
	if len(t.attempts) < 2 || p.seesPeerChanges() {
		return true
	}
	cores, memory := p.available(m)
	winners := max(1, min(cores/max(t.Cores, minSize), memory/max(t.Memory, minSize)))
	slot := hash64(m.hash + uint64((p.now+time.Duration(m.hash%uint64(lotterySlot)))/lotterySlot))
	return unitInterval(hash64(slot^uint64(p.settings.Self)))*float64(p.settings.Placers) < winners
}

// isEligible applies the filters that no shortage of capacity lifts: state, health, the slow-start budget,
// the group of a keyed task, the labels that the task needs and the spread of its service.
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

// withinSpreadLimits says whether the task keeps the spread of its service and that of its class.
func (p *Placer) withinSpreadLimits(t *task, m *machine) bool {
	for domain, limit := range t.SpreadLimits {
		if limit > 0 && !p.withinSpread(t, m, Domain(domain), limit) {
			return false
		}
	}
	class := &p.settings.Classes[t.Class]
	return p.withinSpread(t, m, class.SpreadDomain, class.MaxPerDomain)
}

// withinSpread says whether the service has fewer live attempts than the limit in the machine's domain.
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
