package forkhead

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Placer decides for one placer. It is not safe for concurrent use.
type Placer struct {
	set       Settings
	rng       *rand.Rand
	now       time.Duration
	born      time.Duration // the first Step of this life
	out       []Action
	machines  map[MachineID]*machine
	pools     []*pool // by kind
	tasks     map[TaskID]*task
	services  map[uint64][]*attempt // live attempts of each service
	held      map[int]float64       // cores asked for by our live attempts of each tenant
	waiting   []*task               // no machine yet
	drawn     []*machine            // used again by each pick
	retry     bool                  // a retry timer is out
	regroup   bool                  // machines came or went
	changed   bool                  // room may have come up
	calm      float64               // cores busy up to this share serve every class in full
	cores     usage
	memory    usage
	list      listState
	lag       lagFinder
	slowStart time.Duration // from offer to bind, of the slowest twentieth
	ailCredit float64       // what news of ailing machines may cost yet, in tasks
	news      []news        // of this step, to tell the others
}

// lagFinder learns which lag makes changes of the view match our own binds and ends best.
type lagFinder struct {
	miss [len(lags)]float64
	best int
}

// pool is the machines of one kind and the sizes of the tasks that came for them.
type pool struct {
	order []*machine // by the fixed hash of their ids
	sizes histogram
}

// histogram holds the load of each size: the asked cores of the tasks that had it, decayed.
type histogram struct {
	load  [256]float64
	total float64
}

// bucket gives sizes 16 buckets a doubling, from 2^-6 up.
func bucket(size float64) int {
	return min(max(int(math.Round(16*math.Log2(size)))+96, 0), 255)
}

// group returns the machines of interval i of n: equal runs of the order.
func (pl *pool) group(i, n int) []*machine {
	return pl.order[i*len(pl.order)/n : (i+1)*len(pl.order)/n]
}

// usage learns how much of what is asked is used.
type usage struct{ used, asked float64 }

// listState follows the list where it must be asked.
type listState struct {
	started, waiting bool
	failures         int
	timer            uint32 // the timer that counts
}

type machine struct {
	Machine
	eased        float64 // taken off what it is given
	easedAt      time.Duration
	hash         uint64 // of its id
	viewAt       time.Duration
	ownCores     float64 // asked for by our live attempts here
	ownMemory    float64
	attempts     []*attempt // live, and ended within viewMemory
	starting     int        // our attempts here whose task does not run yet
	others       []news     // what the other placers told
	kept         []uint32   // programs taken to be here beside our tasks, the latest last
	cold         []time.Duration
	failures     int
	suspectUntil time.Duration
	probing      bool
	answeredAt   time.Duration
	ails         []ailing      // by class
	hiddenAt     time.Duration // when a refusal showed that less is free than the view says
	hiddenCores  float64       // by how much
	hiddenMemory float64
	freeCores    float64 // what free last returned, until stale
	freeMemory   float64
	freeAt       time.Duration
	stale        bool
	restUntil    time.Duration // its line of offers was full
	rests        bool          // nothing new while others have room
	goneAt       time.Duration // found gone from the list
}

type task struct {
	Task
	deadline  time.Duration
	pool      int
	attempts  []*attempt
	open      bool          // an answer is owed
	restUntil time.Duration // turned away, not to be offered before
	mayRun    *attempt      // the first attempt that may have run
}

type attempt struct {
	task    *task
	machine *machine
	number  int
	sentAt  time.Duration
	endedAt time.Duration
	bound   bool
	runs    bool
	over    bool
	silent  bool // counted as one that its machine leaves unanswered
	erred   bool // its machine returned an error
}

// ailing is what is known of a class that a machine leaves unanswered or returns errors for.
type ailing struct{ struckAt, until time.Duration }

// news is room that a task takes on a machine, or leaves where the amounts are negative.
type news struct {
	at            time.Duration
	program       uint32
	machine       MachineID
	cores, memory float64
}

// take hands an event to the decision it asks for.
func (p *Placer) take(ev Event) {
	switch ev := ev.(type) {
	case Update:
		p.update(ev)
	case Arrival:
		p.arrive(ev.Task)
	case HandedOver:
		p.handOver(ev)
	case Bound:
		p.bound(ev)
	case Note:
		p.note(ev)
	case Outcome:
		p.outcome(ev)
	case OwnerLeft:
		if t := p.tasks[ev.Task]; t != nil {
			t.open = false
			p.forget(t)
		}
	case TimerFired:
		p.timer(int(ev.Timer>>32), uint32(ev.Timer))
	case Probed:
		p.probed(ev)
	case Told:
		p.told(ev.Data)
	}
}

func (p *Placer) timer(purpose int, id uint32) {
	switch purpose {
	case timerDeadline:
		if t := p.tasks[TaskID(id)]; t != nil {
			p.end(t)
		}
	case timerPatience:
		if t := p.tasks[TaskID(id)]; t != nil {
			p.overdue(t)
		}
	case timerRetry:
		p.retry, p.changed = false, true
	case timerList:
		if id == p.list.timer && p.list.waiting {
			p.subscribe()
		}
	case timerSuspect:
		if m := p.machines[MachineID(id)]; m != nil && m.failures > 0 {
			p.probe(m)
		}
	}
}

// jitter spreads placers that would all act at one moment.
func (p *Placer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + p.rng.Float64()/2))
}

// Timer purposes, in the upper half of a timer's number; the lower is a task's or machine's.
const (
	timerDeadline = iota + 1
	timerPatience
	timerRetry
	timerList
	timerSuspect
)

// New returns a placer for the settings, or an error that names the field it cannot use.
func New(set Settings, seed uint64) (*Placer, error) {
	if err := check(&set); err != nil {
		return nil, fmt.Errorf("forkhead: %w", err)
	}
	p := &Placer{
		set: set, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		machines: map[MachineID]*machine{}, tasks: map[TaskID]*task{}, services: map[uint64][]*attempt{},
		slowStart: firstSlow,
		held:      map[int]float64{}, lag: lagFinder{best: firstLag},
	}
	p.calm = set.Classes[0].Calm
	for _, c := range set.Classes {
		p.calm = min(p.calm, c.Calm) // a machine holds them all
	}
	for range set.Kinds {
		p.pools = append(p.pools, &pool{})
	}
	return p, nil
}

// note takes in what is told of a running task.
func (p *Placer) note(ev Note) {
	a := p.live(ev.Task, ev.Attempt)
	if a == nil || !(ev.Amount >= 0) || math.IsInf(ev.Amount, 0) {
		return
	}
	switch ev.Kind {
	case NoteRuns:
		p.runs(a)
	case NoteServed:
		p.served(a, ev.Amount)
	case NoteCores:
		p.cores.learn(ev.Amount, a.task.Cores)
	case NoteMemory:
		p.memory.learn(ev.Amount, a.task.Memory)
	}
}

// probed takes in the answer to a probe.
func (p *Placer) probed(ev Probed) {
	m := p.machines[ev.Machine]
	if m == nil {
		return
	}
	m.probing = false
	p.report(m, ev.Report)
	p.health(m, ev.Result)
}

// mix is a fixed hash, the same at every placer.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// share maps a hash to [0, 1).
func share(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// same says whether two machines are in one such place.
func same(place Place, a, b *machine) bool {
	switch place {
	case OnMachine:
		return a == b
	case InCell:
		return a.Cell == b.Cell
	case InZone:
		return a.Zone == b.Zone
	}
	return true
}

// machine returns the machine of that id; one that no list has named is Gone.
func (p *Placer) machine(id MachineID) *machine {
	m := p.machines[id]
	if m == nil {
		m = &machine{Machine: Machine{ID: id, State: Gone, Cell: -1, Zone: -1}, hash: mix(uint64(id))}
		p.machines[id] = m
	}
	return m
}

// rank orders machines for a service, the same at every placer.
func (m *machine) rank(service uint64) uint64 { return mix(service ^ m.hash) }

// live returns the attempt of that number if it is the task's and not over.
func (p *Placer) live(id TaskID, number int) *attempt {
	t := p.tasks[id]
	if t == nil || number < 0 || number >= len(t.attempts) || t.attempts[number].over {
		return nil
	}
	return t.attempts[number]
}

// program is the short name under which placers speak of a service's program.
func program(service uint64) uint32 { return uint32(mix(service)) }

// isOut says whether an attempt of the task is out.
func (p *Placer) isOut(t *task) bool {
	return len(t.attempts) > 0 && !t.attempts[len(t.attempts)-1].over
}

// known says whether the task's figures make sense and its class is one of the settings.
func (p *Placer) known(t *Task) bool {
	return t.Class >= 0 && t.Class < len(p.set.Classes) && t.Cores >= 0 && t.Memory >= 0
}

// forget drops a task that is owed nothing once its last attempt is over.
func (p *Placer) forget(t *task) {
	if !t.open && !p.isOut(t) {
		delete(p.tasks, t.ID)
	}
}

func (p *Placer) runs(a *attempt) {
	if !a.runs {
		a.runs = true
		a.machine.starting--
	}
}

func (p *Placer) do(a Action) { p.out = append(p.out, a) }

func (p *Placer) setTimer(purpose int, id uint32, after time.Duration) {
	p.do(SetTimer{Timer: uint64(purpose)<<32 | uint64(id), At: p.now + after})
}

// attempt puts a new attempt on all the counts.
func (p *Placer) attempt(t *task, m *machine) *attempt {
	a := &attempt{task: t, machine: m, number: len(t.attempts), sentAt: p.now}
	t.attempts = append(t.attempts, a)
	m.attempts = append(m.attempts, a)
	m.starting++
	m.ownCores, m.ownMemory, m.stale = m.ownCores+t.Cores, m.ownMemory+t.Memory, true
	p.services[t.Service] = append(p.services[t.Service], a)
	p.held[t.Tenant] += t.Cores
	return a
}

// close takes an attempt that is over off all the counts.
func (p *Placer) close(a *attempt) {
	p.runs(a)
	a.over, a.endedAt = true, p.now
	p.held[a.task.Tenant] -= a.task.Cores
	m, service := a.machine, a.task.Service
	m.ownCores, m.ownMemory, m.stale = m.ownCores-a.task.Cores, m.ownMemory-a.task.Memory, true
	left := slices.DeleteFunc(p.services[service], func(b *attempt) bool { return a == b })
	if p.services[service] = left; len(left) == 0 {
		delete(p.services, service)
	}
	if a.bound {
		m.keep(program(service))
	}
	m.attempts = slices.DeleteFunc(m.attempts, func(b *attempt) bool {
		return b.over && (!b.bound || b.endedAt < p.now-viewMemory)
	})
}

// changedRoom notes a change for the others; the attempt's machine takes or frees its task's room.
func (p *Placer) changedRoom(a *attempt, sign float64) {
	if p.set.Placers > 1 && p.knowsRooms() {
		p.news = append(p.news, news{
			program: program(a.task.Service), machine: a.machine.ID,
			cores: sign * a.task.Cores, memory: sign * a.task.Memory,
		})
	}
}

// reorder lays the machines of each kind out by the hash of their ids. A draining
// machine keeps its slot, so that the groups stay as they are until it is gone.
func (p *Placer) reorder() {
	p.regroup = false
	for _, pl := range p.pools {
		pl.order = pl.order[:0]
	}
	for id, m := range p.machines {
		switch {
		case m.State != Gone:
			m.goneAt = 0
			p.pools[m.Kind].order = append(p.pools[m.Kind].order, m)
		case m.goneAt == 0:
			m.goneAt = p.now
		case p.now > m.goneAt+forgetGone && !slices.ContainsFunc(m.attempts, func(a *attempt) bool { return !a.over }):
			delete(p.machines, id) // guards against ever new machines that fill the memory
		}
	}
	for _, pl := range p.pools {
		slices.SortFunc(pl.order, func(a, b *machine) int { return cmp.Compare(a.hash, b.hash) })
	}
}

// handOver takes in a task that runs already.
func (p *Placer) handOver(ev HandedOver) {
	if !p.known(&ev.Task) {
		return
	}
	t := &task{Task: ev.Task}
	p.tasks[t.ID] = t
	a := p.attempt(t, p.machine(ev.Machine))
	a.bound = true
	// The view has it already. Guards against counting what ran before this life a second time, as taken since the
	// view: all machines then looked full for the first seconds.
	a.sentAt = p.now - viewMemory
	p.runs(a)
}

// holds says whether the machine has the service's program, as far as our own tasks tell.
func (p *Placer) holds(m *machine, service uint64) bool {
	for _, a := range p.services[service] {
		if a.machine == m {
			return true
		}
	}
	return slices.Contains(m.kept, program(service))
}

// report takes a load report as a fresher view where the list shows no free amounts.
func (p *Placer) report(m *machine, r *Report) {
	if r == nil || p.set.ListsFree || !p.set.ReportsAsked || !(math.Abs(r.Cores+r.Memory) < 1e12) {
		return
	}
	m.FreeCores, m.FreeMemory, m.viewAt, m.stale = r.Cores, r.Memory, p.now, true
}
