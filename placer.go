// Package forkhead makes the decisions of a placement service: many placers,
// each seeing only its own traffic, put tasks on one shared pool of machines.
//
// The interface (settings, events and actions) is in api.go. This file holds
// every decision and every tuned value. The mechanism is ordered size-interval
// task assignment; docs/design.md says what was kept and what was changed.
package forkhead

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Tuned values, each with its reason.
const (
	// A group of three still leaves a choice when one machine is full and one drains.
	machinesPerGroup = 3
	// Two intervals at least, so that large tasks keep a group of their own; few at most, and two where
	// placers are many: those whose thresholds differ a little still mean the same group.
	minIntervals, maxIntervals = 2, 4
	// Sizes are forgotten by the count of later ones, so that a placer that sees few tasks keeps them.
	manySizes = 1000
	toldSizes = 30 // the told mean weighs as much as so many tasks of mean size
	// Two machines are drawn for a service, so that its program stays present on both.
	handful  = 2
	firstLag = 2 // the place in lags to begin with: a second
	// Ended attempts are remembered this long for a view that is later still.
	viewMemory = 10 * time.Second
	// Machines rest where the others, filled up to this share, hold all that is asked for, and one is spare.
	restFill = 0.85
	// A machine starts few tasks at a time; more than this of our own make each other late.
	startLine = 3
	// Programs that a machine is taken to keep after the last task of a service. Too many costs
	// nothing: where the program is gone after all, a start is as slow as anywhere else.
	keptPrograms = 16
	guessedUse   = 0.8  // what tasks use of what they ask, until notes tell
	memoryCalm   = 0.88 // memory in use above this share slows a machine and then evicts
	// An attempt without an answer for this long gets its machine probed.
	patience  = 700 * time.Millisecond
	probeRest = 3 * patience // where placers are many, one that has answered since is left alone
	// A note that a task gets less than this share of full service takes a step off what its machine
	// is given, up to the most; all of it comes back in easeBack.
	wellServed         = 0.9
	easeStep, easeMost = 0.06, 0.4
	easeBack           = 90 * time.Second
	// A task that gets less than this is moved where one of the first needs finds another machine.
	moveBelow   = 0.5
	moveNeeds   = 3
	movesAtOnce = 8 // by all placers together, in a second
	moveRest    = 2 * time.Second
	// A slow start is one of twenty; until learned it takes so long. One that takes twice as long will
	// not come, and keeps its class off the machine for up to so long: a short trouble's length.
	firstSlow = 1500 * time.Millisecond
	ailRest   = 10 * time.Second
	// A machine that fails a probe or a connection rests this long, doubled each time it fails again.
	suspectFirst = 500 * time.Millisecond
	suspectMost  = 4 * time.Second
	// Slots in a window over which offers to a cold machine count: with more, a slot holds no offer.
	coldSlots    = 3
	roomSlot     = time.Second            // lots for room hold this long: about a view's lag
	refusalHolds = 4 * time.Second        // what a refusal tells of room holds this long at most
	lineRest     = 300 * time.Millisecond // a machine with a full line of offers gets nothing for this long
	// A start in time is worth about as much as the half of a task's run that is left on average.
	timelyWorth = 1.5
	// A placer's part of a tenant's share is this many tasks at least: fewer come by chance.
	fewTasks = 4
	// News of rooms is told while the start and end of a task together cost less than this share
	// of the result: to a handful of placers. Among more, each one's news changes little.
	newsPrice = 0.005
	newsMost  = 500 // pieces of news of a machine: more are a flood
	// Waiting tasks are tried again this often, beside each time that something changes.
	retryEvery     = 50 * time.Millisecond
	deadlineMargin = 5 * time.Millisecond // before its owner gives up, a tick or two, a task is ended
	listTrouble    = 5                    // failed calls for the list in a row that are worth a page
	forgetGone     = time.Minute          // a machine that is gone and holds nothing of ours is forgotten
	// The pause after a failed call, doubled each time, and what each placer adds to the spread of
	// all calls: the list is one service, which takes a few dozen calls a second.
	askFirst = 300 * time.Millisecond
	askTurn  = 20 * time.Millisecond
)

// lags are the candidates for how late the view is.
var lags = [...]time.Duration{
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond,
	2 * time.Second, 3 * time.Second, 4500 * time.Millisecond, 7 * time.Second,
}

// Step takes the events of one moment in order and returns what to do, in order.
func (p *Placer) Step(now time.Duration, events []Event) []Action {
	p.now, p.out = now, nil
	if !p.list.started {
		p.list.started, p.born = true, now
		p.askIn(p.spread() * time.Duration(p.set.Self) / time.Duration(p.set.Placers))
	}
	for _, ev := range ordered(events) {
		p.take(ev)
	}
	if p.changed {
		p.changed = false
		p.placeWaiting()
	}
	for _, data := range packNews(p.news) {
		p.do(Tell{To: Everyone, Data: data})
	}
	p.news = p.news[:0]
	return p.out
}

// ordered puts lists and handed-over tasks before the other events of a moment and timers behind:
// no offer then goes by older knowledge than the moment has, and a placer that stood still reads
// the answers that came meanwhile before it takes them for overdue.
func ordered(events []Event) []Event {
	rank := func(ev Event) int {
		switch ev.(type) {
		case Update, HandedOver:
			return 0
		case TimerFired:
			return 2
		}
		return 1
	}
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return rank(a) - rank(b) })
	return events
}

// ---- The list of machines.

// subscribe asks for the list's changes, again if the call stays unanswered.
func (p *Placer) subscribe() {
	p.do(Subscribe{})
	p.askIn(p.jitter(p.set.MustAskWithin / 2))
}

// askIn sets the one timer for the next call; an earlier one no longer counts. It guards against
// calls that multiply while the list fails, and with spread against placers that all call at
// one moment: at a start, when the list comes back or breaks. A lone placer waits for nothing.
func (p *Placer) askIn(pause time.Duration) {
	if p.set.ListPushed {
		return
	}
	p.list.waiting = true
	p.list.timer++
	if pause <= 0 {
		p.subscribe()
	} else {
		p.setTimer(timerList, p.list.timer, pause)
	}
}

// spread is the time over which calls and probes of all placers at one moment are spread.
func (p *Placer) spread() time.Duration {
	return min(askTurn*time.Duration(p.set.Placers-1), p.set.MustAskWithin/2)
}

func (p *Placer) update(u Update) {
	if u.Mode == ListFailed {
		p.askIn(min(p.jitter(askFirst<<min(p.list.failures, 8)+p.spread()), p.set.MustAskWithin))
		if p.list.failures++; p.list.failures == listTrouble {
			p.do(Log{Text: "asking for the machine list keeps failing; going by the last one"})
		}
		return
	}
	if u.Mode != ListSaved {
		p.list.waiting, p.list.failures = false, 0
	}
	listed := map[MachineID]bool{}
	for _, entry := range u.Machines {
		listed[entry.ID] = true
		p.listEntry(entry)
	}
	if u.Mode != ListDelta {
		for id, m := range p.machines {
			if !listed[id] && m.State != Gone {
				m.State, p.regroup = Gone, true
			}
		}
	}
	if p.regroup {
		p.reorder()
	}
	for _, pl := range p.pools {
		p.restSome(pl)
	}
	p.changed = true
}

// restSome lets machines of a pool rest where the others hold all that is asked for with room to spare: they
// get nothing new while that is so, and are free of tasks in time. Machines in use beyond need have a price.
// Those that started last stay in use, as a fleet that is replaced loses its oldest first, then the fullest.
// It acts where few placers share what they know of room. It may hurt where many tasks come at once: one that
// finds no room or only long lines elsewhere wakes them.
func (p *Placer) restSome(pl *pool) {
	if p.set.Prices.Machine == 0 || !p.knowsRooms() {
		return
	}
	var ready []*machine
	cores, memory := 0.0, 0.0
	for _, m := range pl.order {
		if m.rests = false; m.State == Ready {
			freeCores, freeMemory := p.free(m)
			kind := p.set.Kinds[m.Kind]
			cores, memory = cores+kind.Cores-freeCores, memory+kind.Memory-freeMemory
			ready = append(ready, m)
		}
	}
	if len(ready) == 0 {
		return
	}
	slices.SortStableFunc(ready, func(a, b *machine) int {
		older := cmp.Compare(b.warmSince(p), a.warmSince(p))
		return cmp.Or(older, cmp.Compare(a.freeShare(p), b.freeShare(p)))
	})
	kind := p.set.Kinds[ready[0].Kind]
	need := int(math.Ceil(max(cores/kind.Cores, memory/kind.Memory)/restFill)) + 1
	for _, m := range ready[min(need, len(ready)):] {
		m.rests = true
	}
}

// warmSince is when the machine started, if that was late and it is warm: the later, the longer it may stay.
func (m *machine) warmSince(p *Placer) time.Duration {
	if p.isCold(m) {
		return 0
	}
	return m.Started
}

// freeShare is how much of the machine nobody has asked for, of cores and memory the scarcer.
func (m *machine) freeShare(p *Placer) float64 {
	cores, memory := p.free(m)
	return min(cores/p.set.Kinds[m.Kind].Cores, memory/p.set.Kinds[m.Kind].Memory)
}

// listEntry takes one entry of the list.
func (p *Placer) listEntry(entry Machine) {
	if entry.Kind < 0 || entry.Kind >= len(p.pools) {
		return
	}
	m := p.machine(entry.ID)
	if entry.Started > m.Started || m.State == Gone {
		// It is up anew: what its last life did says nothing. Guards against shutting out a machine
		// that was found dead, left the list and came back; a wrong list costs one failed offer.
		m.kept, m.probing, m.failures, m.suspectUntil = nil, false, 0, 0
	}
	if m.viewAt > 0 && entry.Started == m.Started {
		p.learnLag(m, entry.FreeCores-m.FreeCores)
	}
	p.regroup = p.regroup || m.Kind != entry.Kind || (m.State == Gone) != (entry.State == Gone)
	m.Machine = entry
	m.viewAt, m.stale = p.now, true
	if !p.set.ListsFree {
		k := p.set.Kinds[m.Kind]
		m.FreeCores, m.FreeMemory, m.viewAt = k.Cores, k.Memory, -viewMemory
	}
}

// ---- Sizes, intervals and groups.

func (h *histogram) add(size float64) {
	for i := range h.load {
		h.load[i] *= 1 - 1./manySizes
	}
	h.load[bucket(size)] += size
	h.total = h.total*(1-1./manySizes) + size
}

// position is where a task stands in the cumulative load eta, from 0 to 1: interval i of n
// is [i/n, (i+1)/n). The service's hash spreads a size over the load that this size has, so
// a threshold inside it splits it in the shares asked. The told mean, which splits in half without
// data, counts as some load seen: placers that each see few tasks then still agree.
func (h *histogram) position(size, mean float64, service uint64) float64 {
	told, b := toldSizes*max(mean, 1e-9), bucket(size)
	u := share(mix(service ^ 0x51ce))
	below := told*u/2 + u*h.load[b]
	if size >= mean {
		below += told / 2
	}
	for _, load := range h.load[:b] {
		below += load
	}
	return min(below/(told+h.total), math.Nextafter(1, 0))
}

func (p *Placer) intervals(pl *pool) int {
	n, most := len(pl.order), maxIntervals
	if !p.knowsRooms() {
		most = minIntervals
	}
	return min(n, max(minIntervals, min(most, (n+machinesPerGroup/2)/machinesPerGroup)))
}

// poolOf picks the kind: the one its class needs, else by the service's hash in proportion to cores.
func (p *Placer) poolOf(t *Task) int {
	if k := p.set.Classes[t.Class].Kind; k >= 0 {
		return k
	}
	total := 0.0
	for k, pl := range p.pools {
		total += float64(len(pl.order)) * p.set.Kinds[k].Cores
	}
	u := share(mix(t.Service^0x2b1d)) * total
	for k, pl := range p.pools {
		if u -= float64(len(pl.order)) * p.set.Kinds[k].Cores; u < 0 {
			return k
		}
	}
	return len(p.pools) - 1
}

// ---- Arrivals.

func (p *Placer) arrive(in Task) {
	t := &task{Task: in, deadline: p.now + in.Wait, open: true}
	p.tasks[in.ID] = t
	if !p.known(&in) || !p.usable(&in) {
		p.end(t)
		return
	}
	p.ailCredit += newsPrice
	p.setTimer(timerDeadline, uint32(in.ID), max(in.Wait-deadlineMargin, 0))
	t.pool = p.poolOf(&in)
	if !in.Again {
		p.pools[t.pool].sizes.add(in.Cores)
	}
	if len(p.waiting) > 0 {
		p.wait(t)
		p.changed = true
	} else if !p.place(t) {
		p.wait(t)
	}
}

func (p *Placer) wait(t *task) {
	p.waiting = append(p.waiting, t)
	if !p.retry {
		p.retry = true
		p.setTimer(timerRetry, 0, retryEvery)
	}
}

func (p *Placer) placeWaiting() {
	line := p.waiting
	p.waiting = nil
	slices.SortStableFunc(line, func(a, b *task) int { return cmp.Compare(p.value(b), p.value(a)) })
	for _, t := range line {
		if !t.open || p.isOut(t) {
			continue
		}
		if p.now < t.restUntil || !p.place(t) {
			p.wait(t)
		}
	}
}

// value ranks waiting tasks: by the worth of their class, less where their tenant is beyond its
// share of what we place, more while a start is still in time. It guards tenants within their
// share, and may hurt where this placer sees an uneven part of a tenant's traffic.
func (p *Placer) value(t *task) float64 {
	c := &p.set.Classes[t.Class]
	v := c.Worth
	if p.now < t.deadline-t.Wait+c.Aim {
		v *= timelyWorth
	}
	if t.Tenant >= 0 && t.Tenant < len(p.set.Tenants) {
		share := p.set.Tenants[t.Tenant].Cores
		part := max(share/float64(p.set.Placers), fewTasks*p.set.MeanCores)
		if share > 0 && p.held[t.Tenant]+t.Cores > part {
			v *= p.set.OverShareWorth
		}
	}
	return v
}

// end gives the task its final answer: a refusal where that is harmless, else a failure.
func (p *Placer) end(t *task) {
	if !t.open {
		return
	}
	t.open = false
	ran := t.mayRun != nil || p.isOut(t)
	if p.isOut(t) && p.set.MayWithdraw {
		p.do(Withdraw{Task: t.ID, Attempt: len(t.attempts) - 1})
	}
	c := Class{}
	if p.known(&t.Task) {
		c = p.set.Classes[t.Class]
	}
	if !ran || c.Effect == Safe || c.Effect == Keyed && c.Group == Anywhere {
		p.do(Refuse{Task: t.ID})
	} else {
		p.do(Fail{Task: t.ID})
	}
	p.forget(t)
}

// ---- Choosing a machine.

// place offers the task to a machine, ends it where nothing more may be sent, or returns
// false where it has to wait for room.
func (p *Placer) place(t *task) bool {
	if len(t.attempts) >= p.set.MaxAttempts || !p.maySend(t) {
		p.end(t)
		return true
	}
	m := p.choose(t, needs)
	if m == nil {
		return false
	}
	p.offer(t, m)
	return true
}

// maySend says whether any further attempt is legal.
func (p *Placer) maySend(t *task) bool {
	c := &p.set.Classes[t.Class]
	if t.mayRun == nil || c.Effect == Safe {
		return true
	}
	return c.Effect == Keyed && p.now < t.mayRun.sentAt+c.Window-deadlineMargin
}

// need is what a machine must offer to be drawn.
type need struct {
	warm bool // it holds the service's program
	wake bool // it may be one that rests
	line int  // fewer than so many of our starts are pending there
	push bool // room counts what tasks of lower priority hold, which the machine pushes out
	full bool // room as far as it accepts, not only as far as it serves well
}

// needs are tried in turn, each over all groups from the task's own outwards. Starts cost
// several times more where the program is absent, and a machine starts few tasks at a time:
// so a machine with the program comes first, wherever it is, then one with an empty line.
var needs = []need{
	{warm: true, line: 2 * startLine},
	{warm: true, line: 2 * startLine, wake: true},
	{line: 1},
	{line: startLine},
	{line: 1, wake: true},
	{line: startLine, wake: true},
	{line: 2 * startLine, full: true, wake: true},
	{line: 2 * startLine, full: true, push: true, wake: true},
}

// choose looks for each need in the task's own group first and then in ever farther ones.
func (p *Placer) choose(t *task, needs []need) *machine {
	for _, want := range needs {
		if want.push && (!p.set.Preempts || p.set.Classes[t.Class].Priority == 0) {
			continue
		}
		if m := p.chooseIn(t, t.pool, want); m != nil {
			return m
		}
		for k := range p.pools {
			if k != t.pool && p.set.Classes[t.Class].Kind < 0 {
				if m := p.chooseIn(t, k, want); m != nil {
					return m
				}
			}
		}
	}
	return nil
}

func (p *Placer) chooseIn(t *task, kind int, want need) *machine {
	pl := p.pools[kind]
	n := p.intervals(pl)
	if n == 0 {
		return nil
	}
	own := int(pl.sizes.position(t.Cores, p.set.MeanCores, t.Service) * float64(n))
	for d := range 2 * n {
		i := own + d/2
		if d%2 == 1 { // downward first: upward lies the room that large tasks need
			i = own - (d+1)/2
		}
		if i < 0 || i >= n {
			continue
		}
		if m := p.pick(t, pl.group(i, n), want); m != nil {
			return m
		}
	}
	return nil
}

// pick draws a handful of the group's machines with room, or all that hold the service's program if
// any do, and takes the tightest fit. The handful goes by the service's hash, so that all placers
// bring one program to the same machines. Where placers are many and a late view tells little of
// the fit, the first by the hash is all that is drawn.
func (p *Placer) pick(t *task, group []*machine, want need) *machine {
	p.drawn = p.drawn[:0]
	warm, many := want.warm, !p.knowsRooms()
	for _, m := range group {
		if m.rests && !want.wake || !p.allowed(t, m) || !p.fits(t, m, want) || !p.hasTurn(t, m) {
			continue
		}
		if holds := p.holds(m, t.Service); holds && !warm {
			warm, p.drawn = true, p.drawn[:0]
		} else if warm && !holds {
			continue
		}
		at := len(p.drawn)
		for at > 0 && m.rank(t.Service) < p.drawn[at-1].rank(t.Service) {
			at--
		}
		p.drawn = slices.Insert(p.drawn, at, m)
		if many {
			p.drawn = p.drawn[:1]
		} else if !warm {
			p.drawn = p.drawn[:min(len(p.drawn), handful)]
		}
	}
	var best *machine
	for _, m := range p.drawn {
		if best == nil || p.left(t, m) < p.left(t, best) {
			best = m
		}
	}
	return best
}

// hasTurn draws lots for a machine's room, which all placers see: as many of them may offer in a slot
// of time as tasks like this would fit. It acts on tasks that were turned away. It guards against
// all placers offering into one hole, and may hurt where few of them have anything to place.
func (p *Placer) hasTurn(t *task, m *machine) bool {
	if len(t.attempts) < 2 || p.knowsRooms() {
		return true
	}
	cores, memory := p.free(m)
	holes := max(1, min(cores/max(t.Cores, 1e-9), memory/max(t.Memory, 1e-9)))
	slot := mix(m.hash + uint64((p.now+time.Duration(m.hash%uint64(roomSlot)))/roomSlot))
	return share(mix(slot^uint64(p.set.Self)))*float64(p.set.Placers) < holes
}

// allowed applies the filters that no shortage of room lifts: state, health, the cold
// budget, the labels that the task needs, the spread of the service and the group of a keyed task.
func (p *Placer) allowed(t *task, m *machine) bool {
	c := &p.set.Classes[t.Class]
	if m.State != Ready || m.suspectUntil > p.now || m.failures > 0 || p.avoids(m, t.Class) ||
		!p.coldBudget(m) {
		return false
	}
	if t.mayRun != nil && c.Effect == Keyed && !same(c.Group, m, t.mayRun.machine) {
		return false
	}
	if c.Group == Anywhere && t.erredAt(m) {
		return false
	}
	for place, most := range t.Most {
		if most > 0 && !p.spreads(t, m, Place(place), most) {
			return false
		}
	}
	return t.Needs&^m.Labels == 0 && p.spreads(t, m, c.Spread, c.Most)
}

// spreads says whether the service has fewer than so many live attempts in the machine's place.
func (p *Placer) spreads(t *task, m *machine, place Place, most int) bool {
	if place == Anywhere {
		return true
	}
	n := 0
	for _, a := range p.services[t.Service] {
		if same(place, m, a.machine) {
			n++
		}
	}
	return n < most
}

func (p *Placer) isCold(m *machine) bool { return m.Started > 0 && p.now < m.Started+p.set.ColdFor }

// coldBudget keeps the offers of all placers to a cold machine within what it always bears. Each
// has its share where that is an offer or more, else its turns. What an earlier life of this placer
// sent is not known, so the first window of a life sends nothing.
func (p *Placer) coldBudget(m *machine) bool {
	if !p.isCold(m) {
		return true
	}
	if p.now < p.born+p.set.ColdWindow {
		return false
	}
	share := p.set.ColdOffers / float64(p.set.Placers)
	if share < 1 {
		return p.coldTurn(m)
	}
	for len(m.cold) > 0 && m.cold[0] <= p.now-p.set.ColdWindow {
		m.cold = m.cold[1:]
	}
	return float64(len(m.cold)+1) <= share
}

// coldTurn cuts time into slots and gives a few placers one offer each in a slot, others in the
// next: all can tell by number, machine and time, without a word. A window touches one slot more
// than it holds, and one slot's offers are left for placers that have not heard of the start.
// It may hurt where clocks differ by more than a slot.
func (p *Placer) coldTurn(m *machine) bool {
	slot, takers := p.set.ColdWindow/coldSlots, uint64(p.set.ColdOffers/(coldSlots+2))
	if takers == 0 { // too few to cut up: every other window is a slot
		slot, takers = 2*p.set.ColdWindow, uint64(p.set.ColdOffers)
		if slot == 0 || p.now%slot >= p.set.ColdWindow {
			return false
		}
	}
	begun := p.now - p.now%slot
	if begun < p.born || len(m.cold) > 0 && m.cold[len(m.cold)-1] >= begun {
		return false
	}
	n := uint64(p.set.Placers)
	turn := uint64(p.set.Self) + mix(uint64(m.ID))%n + uint64(p.now/slot)%n*takers
	return turn%n < takers
}

// free is what the view shows as not asked for, with our own binds and ends since then and
// with what a refusal has shown. It is never more than our own tasks alone leave.
func (p *Placer) free(m *machine) (cores, memory float64) {
	if !m.stale && p.now < m.freeAt+retryEvery {
		return m.freeCores, m.freeMemory
	}
	cut := m.viewAt - lags[p.lag.best]
	newCores, newMemory := m.since(cut)
	cores, memory = m.FreeCores-newCores, m.FreeMemory-newMemory
	if m.hiddenAt > cut && p.now < m.hiddenAt+refusalHolds {
		cores, memory = cores-m.hiddenCores, memory-m.hiddenMemory
	}
	kind := p.set.Kinds[m.Kind]
	m.freeCores, m.freeMemory = min(cores, kind.Cores-m.ownCores), min(memory, kind.Memory-m.ownMemory)
	m.freeAt, m.stale = p.now, false
	return m.freeCores, m.freeMemory
}

// since is what the tasks we know of ask for on the machine now, less what they did at a time.
func (m *machine) since(at time.Duration) (cores, memory float64) {
	for _, a := range m.attempts {
		if a.sentAt > at && (a.bound || !a.over) {
			cores, memory = cores+a.task.Cores, memory+a.task.Memory
		}
		if a.over && a.bound && a.endedAt > at {
			cores, memory = cores-a.task.Cores, memory-a.task.Memory
		}
	}
	for _, o := range m.others {
		if o.at > at {
			cores, memory = cores+o.cores, memory+o.memory
		}
	}
	return cores, memory
}

// learnLag compares a change of the view with that of our own tasks under each lag. It guards
// against a view that is late by an unknown and changing time, whatever makes it late.
func (p *Placer) learnLag(m *machine, change float64) {
	if p.now-m.viewAt > viewMemory/2 {
		return
	}
	for i, lag := range lags {
		before, _ := m.since(m.viewAt - lag)
		after, _ := m.since(p.now - lag)
		p.lag.miss[i] = p.lag.miss[i]*0.98 + math.Abs(change+before-after)
		if p.lag.miss[i] < p.lag.miss[p.lag.best] {
			p.lag.best = i
		}
	}
}

// refused takes a refusal as a view of its own: less than what was asked is free.
func (p *Placer) refused(a *attempt, why Reason) {
	m := a.machine
	kind := p.set.Kinds[m.Kind]
	cores, memory := p.free(m)
	if !(m.hiddenAt > m.viewAt-lags[p.lag.best] && p.now < m.hiddenAt+refusalHolds) {
		m.hiddenCores, m.hiddenMemory = 0, 0
	}
	switch why {
	case NoCores:
		m.hiddenCores += max(0, cores+kind.Cores*(p.set.AcceptCores-1)-a.task.Cores*0.99)
	case NoMemory:
		m.hiddenMemory += max(0, memory+kind.Memory*(p.set.AcceptMemory-1)-a.task.Memory*0.99)
	default:
		m.restUntil = p.now + lineRest
		return
	}
	m.hiddenAt, m.stale = p.now, true
}

// fits says whether the machine has room: as much as it accepts where full is wanted,
// else as much as leaves its tasks well served.
func (p *Placer) fits(t *task, m *machine, want need) bool {
	if p.now < m.restUntil || m.starting >= want.line || want.warm && !p.holds(m, t.Service) {
		return false
	}
	kind := p.set.Kinds[m.Kind]
	c := &p.set.Classes[t.Class]
	topCores, topMemory := min(p.set.AcceptCores, (c.Calm+c.Fade/2)/p.cores.ratio()), p.set.AcceptMemory
	if !want.full {
		if p.isCold(m) && m.starting > 0 {
			return false
		}
		topCores = min(topCores, p.calm/p.cores.ratio()) * m.easy(p.now)
	}
	topMemory = min(topMemory, memoryCalm/p.memory.ratio())
	cores, memory := p.free(m)
	if want.push {
		topCores, topMemory = p.set.AcceptCores, p.set.AcceptMemory
		if t.Cores <= cores+kind.Cores*(topCores-1) && t.Memory <= memory+kind.Memory*(topMemory-1) {
			return false // it would accept, push out nothing and be crowded
		}
		for _, a := range m.attempts {
			if !a.over && p.set.Classes[a.task.Class].Priority < c.Priority {
				cores, memory = cores+a.task.Cores, memory+a.task.Memory
			}
		}
	}
	return t.Cores <= cores+kind.Cores*(topCores-1) && t.Memory <= memory+kind.Memory*(topMemory-1)
}

// easy is the share of its usual tasks that a machine is given: less once its tasks were served
// poorly, whatever the cause, and all again in easeBack. It may hurt where service swings.
func (m *machine) easy(now time.Duration) float64 {
	return 1 - max(0, m.eased-float64(now-m.easedAt)/float64(easeBack))
}

// left is what the task would leave free, cores and memory each as a share of the machine.
func (p *Placer) left(t *task, m *machine) float64 {
	cores, memory := p.free(m)
	kind := p.set.Kinds[m.Kind]
	return (cores-t.Cores)/kind.Cores + (memory-t.Memory)/kind.Memory
}

// keep takes the program to be on the machine from now on, until newer ones displace it.
func (m *machine) keep(program uint32) {
	m.kept = slices.DeleteFunc(m.kept, func(other uint32) bool { return other == program })
	if m.kept = append(m.kept, program); len(m.kept) > keptPrograms {
		m.kept = m.kept[1:]
	}
}

// knowsRooms says whether the view and what placers tell leave little that others took unseen. News
// of rooms is told where its price is small, whatever the number of placers: both it and the
// reading of it grow with them.
func (p *Placer) knowsRooms() bool {
	price := 2 * newsShare * p.set.Prices.Tell * float64(p.set.Placers-1)
	return p.set.Placers == 1 || p.set.MayTell && price <= newsPrice
}

// told takes a message: until the view knows, it counts like our own changes. It guards
// against placers that all see the same room and fill it at once. A lost message costs a
// refusal, or hides some room until the view is newer.
func (p *Placer) told(data []byte) {
	if id, class, ok := unpackAil(data); ok {
		if m := p.machines[id]; m != nil && class < len(p.set.Classes) {
			p.strike(m, class)
		}
		return
	}
	for _, item := range unpackNews(data) {
		m := p.machines[item.machine]
		if m == nil || !p.knowsRooms() {
			continue
		}
		m.keep(item.program)
		item.at = p.now
		m.others = slices.DeleteFunc(m.others, func(o news) bool { return o.at < p.now-viewMemory })
		if m.others = append(m.others, item); len(m.others) > newsMost {
			m.others = m.others[1:]
		}
		m.stale = true
	}
}

func (u *usage) ratio() float64 { return (u.used + guessedUse*20) / (u.asked + 20) }

func (u *usage) learn(used, asked float64) {
	u.used, u.asked = u.used*0.998+used, u.asked*0.998+asked
}

// ---- Attempts.

func (p *Placer) offer(t *task, m *machine) {
	p.changedRoom(p.attempt(t, m), 1)
	if p.isCold(m) {
		m.cold = append(m.cold, p.now) // coldBudget drops those that no longer count
	}
	p.do(Offer{Task: t.ID, Machine: m.ID})
	p.setTimer(timerPatience, uint32(t.ID), patience)
}

func (p *Placer) bound(ev Bound) {
	a := p.live(ev.Task, ev.Attempt)
	if a == nil {
		return
	}
	a.bound, a.machine.stale = true, true
	a.task.open = false
	if ev.Took > p.slowStart {
		p.slowStart += p.slowStart / 5
	} else {
		p.slowStart -= p.slowStart / 100
	}
	if a.machine.ails != nil {
		a.machine.ails[a.task.Class] = ailing{}
	}
	p.wellSeen(a.machine)
	p.blame(a.task)
	if p.set.BoundWhenRunning {
		p.runs(a)
	}
}

// served takes in the share of full service that a task gets.
func (p *Placer) served(a *attempt, share float64) {
	if m := a.machine; share < wellServed {
		m.eased, m.easedAt = min(1-m.easy(p.now)+easeStep, easeMost), p.now
		p.moveAway(a, share)
	}
}

// moveAway stops a task that gets little where another machine would serve it well: one a note,
// and notes come about once a second. It guards against tasks stuck on a machine that is slow,
// crowded or misjudged; it may hurt where service was about to come back. Each placer moves by its
// part of what the machine holds: else all that have a task there would move one each.
func (p *Placer) moveAway(a *attempt, served float64) {
	if served >= moveBelow || a.task.open {
		return
	}
	cores, _ := p.free(a.machine)
	part := a.machine.ownCores / (p.set.Kinds[a.machine.Kind].Cores - cores)
	if part*movesAtOnce < 1 && p.rng.Float64() > part*movesAtOnce {
		return
	}
	a.machine.restUntil = p.now + moveRest
	if p.choose(a.task, needs[:moveNeeds]) != nil {
		p.do(Stop{Task: a.task.ID})
	}
}

func (p *Placer) outcome(ev Outcome) {
	a := p.live(ev.Task, ev.Attempt)
	if a == nil {
		return
	}
	p.close(a)
	if a.bound {
		// An offer that was turned away stays told: that keeps the others off a full machine
		// until the view is newer.
		p.changedRoom(a, -1)
	}
	p.report(a.machine, ev.Report)
	p.health(a.machine, ev.Result)
	t := a.task
	a.erred = ev.Result == Errored && !a.bound
	if ev.Final || a.bound {
		t.open = false
	}
	if ev.Result == Full {
		p.refused(a, ev.Reason)
	}
	never := ev.Result == Full || ev.Result == ConnectFailed || ev.Result == Moot
	if !never && t.mayRun == nil {
		t.mayRun = a
	}
	p.changed = true
	if t.open && p.now >= t.deadline-deadlineMargin {
		p.end(t)
	} else if t.open && (p.pauses(t, ev.Result) || !p.place(t)) {
		p.wait(t)
	}
	p.forget(t)
}

// pauses says whether a task waits before its next attempt: from the second refusal on, so that
// the attempts left spread over the time left. It guards against placers that all offer into the
// same full machines and use up their attempts before anything can change; it may hurt where room
// comes up within the pause.
func (p *Placer) pauses(t *task, r Result) bool {
	if r != Full || len(t.attempts) < 2 || p.knowsRooms() {
		return false
	}
	left := time.Duration(max(p.set.MaxAttempts-len(t.attempts), 0))
	t.restUntil = p.now + p.jitter((t.deadline-p.now)/(left+1))
	return true
}

// overdue looks after an attempt that has had no answer for a while.
func (p *Placer) overdue(t *task) {
	if !t.open || !p.isOut(t) {
		return
	}
	a := t.attempts[len(t.attempts)-1]
	if p.now < a.sentAt+patience {
		return
	}
	m := a.machine
	silent := m.answeredAt > a.sentAt && p.now >= a.sentAt+max(2*patience, 2*p.slowStart)
	if silent && !a.silent {
		a.silent = true
		p.ails(m, t.Class)
	}
	if (silent && p.avoids(m, t.Class) || m.failures > 0) && p.mayLeave(t) {
		p.do(Withdraw{Task: t.ID, Attempt: a.number})
		return
	}
	if p.knowsRooms() || m.answeredAt <= a.sentAt || p.now > m.answeredAt+probeRest {
		p.probe(m)
	}
	p.setTimer(timerPatience, uint32(t.ID), patience)
}

// ails counts a silent attempt of the class against a machine that answers otherwise, and tells the
// others, who see too few tasks to find out alone. It guards against machines that fail at one
// class for whatever reason, and may hurt where starts are slow for a while.
func (p *Placer) ails(m *machine, class int) {
	p.strike(m, class)
	price := float64(p.set.Placers-1) * ailShare * p.set.Prices.Tell
	if p.set.MayTell && p.set.Placers > 1 && price <= p.ailCredit {
		p.ailCredit -= price
		p.do(Tell{To: Everyone, Data: packAil(m.ID, class)})
	}
}

// erredAt says whether an attempt of the task ended in an error on the machine: another one is tried first.
// It guards against a machine that returns errors and, since they leave its room free, draws one attempt
// after the other.
func (t *task) erredAt(m *machine) bool {
	for _, a := range t.attempts {
		if a.erred && a.machine == m {
			return true
		}
	}
	return false
}

// blame counts against a machine that it returned an error for a task that another machine has taken. A task
// that errs wherever it comes says nothing of machines, and whoever sends such tasks shuts none of them out.
func (p *Placer) blame(t *task) {
	for _, a := range t.attempts {
		if a.erred {
			p.ails(a.machine, t.Class)
		}
	}
}

// strike keeps the class off the machine for a while at the second silent attempt with no start
// between, ours or others'; jitter lets few placers try it first.
func (p *Placer) strike(m *machine, class int) {
	if m.ails == nil {
		m.ails = make([]ailing, len(p.set.Classes))
	}
	if ail := &m.ails[class]; ail.struckAt > 0 && p.now < ail.struckAt+ailRest {
		ail.until = p.now + p.jitter(ailRest)
	}
	m.ails[class].struckAt = p.now
}

func (p *Placer) avoids(m *machine, class int) bool {
	return m.ails != nil && p.now < m.ails[class].until
}

// mayLeave says whether an attempt that may have run can be called off for another.
func (p *Placer) mayLeave(t *task) bool {
	c := &p.set.Classes[t.Class]
	return p.set.MayWithdraw && len(t.attempts) < p.set.MaxAttempts &&
		(c.Effect == Safe || c.Effect == Keyed && c.Group == Anywhere)
}

// ---- Health: a machine that does not answer gets nothing new until it does.

func (p *Placer) probe(m *machine) {
	if p.set.MayProbe && !m.probing && m.State != Gone {
		m.probing = true
		p.do(Probe{Machine: m.ID})
	}
}

func (p *Placer) health(m *machine, r Result) {
	switch r {
	case OK, Full:
		p.wellSeen(m)
	case ConnectFailed, TimedOut:
		rest := min(suspectFirst<<min(m.failures, 8), suspectMost)
		m.suspectUntil = p.now + rest
		if p.set.MayProbe {
			m.failures++
			p.setTimer(timerSuspect, uint32(m.ID), p.jitter(rest+p.spread()))
		}
	}
}

func (p *Placer) wellSeen(m *machine) { m.failures, m.suspectUntil, m.answeredAt = 0, 0, p.now }
