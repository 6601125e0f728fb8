package platform

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/invariant"
	"forkhead/internal/scheduler/moduledriver"
	"forkhead/internal/scheduler/timerqueue"
)

// Core is one placer's state.
type Core struct {
	cfg    Config
	set    *forkhead.Settings
	now    time.Duration
	out    []Output
	module *moduledriver.Driver

	timers timerqueue.Queue[timer]
	tendAt time.Duration

	owners  map[uint64]*owner
	pending []undelivered // what no connection of owners could take yet

	lastTask forkhead.TaskID
	tasks    map[forkhead.TaskID]*request
	refs     map[string]*request
	open     int               // requests without an answer
	services map[uint64][]*try // live attempts
	strays   []stray           // attempts of this step whose answer was lost
	over     []*request        // to be forgotten at the end of the step
	ended    recent[givenUp]   // attempts that were given up, by host and ref
	releases recent[release]   // that hosts told of tasks which are not known here
	waited   int               // hosts that are not listed and hold tasks
	hosts    map[uint32]*host  // by number
	order    []*host           // the same, sorted; nil: to be made anew
	links    map[uint64]*link  // all connections to hosts
	retired  []*link           // those of them that are being closed
	lastLink uint64
	lastTest uint64
	seq      uint64 // of the change log
	listed   bool   // the module has a list

	stopAt  time.Duration // when the stop began; 0: it has not
	closing bool
}

type givenUp struct {
	host uint32
	ref  string
}

// release is the end of a task as its host told it, with one of the causes CauseOK, CauseMoved and CauseReset.
type release struct {
	givenUp
	cause platform.Cause
}

// stray is an attempt whose answer was lost with its connection: its task may stand.
type stray struct {
	host *host
	ref  string
}

type undelivered struct {
	ref  string
	line []byte
	by   time.Duration
}

// New returns a core that has the list of the start, or an error that names the setting it cannot use.
func New(cfg Config) (*Core, error) {
	if cfg.ProtectedOwnerConnections == 0 {
		cfg.ProtectedOwnerConnections = cfg.MaxOwnerConnections
	}
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = cfg.MaxOwnerConnections + cfg.MaxHostConnections
	}
	module, err := moduledriver.New(cfg.Settings, cfg.Seed, cfg.Decide, 0)
	if err != nil {
		return nil, err
	}
	c := &Core{
		cfg: cfg, set: &cfg.Settings, module: module, owners: map[uint64]*owner{}, tasks: map[forkhead.TaskID]*request{},
		refs: map[string]*request{}, services: map[uint64][]*try{},
		ended: newRecent[givenUp](mostGivenUp), releases: newRecent[release](mostGivenUp), hosts: map[uint32]*host{}, links: map[uint64]*link{},
	}
	return c, nil
}

// Next is when the core wants to be stepped without inputs.
func (c *Core) Next() time.Duration {
	if at, ok := c.timers.Next(); ok {
		return min(at, c.tendAt)
	}
	return c.tendAt
}

// Step takes the inputs of one moment, in order, and returns what to do, in order.
func (c *Core) Step(now time.Duration, in ...Input) []Output {
	c.now, c.out = now, nil
	if !c.listed {
		c.listed = true
		c.begin()
	}
	for _, i := range in {
		c.take(i)
	}
	for {
		t, due := c.timers.PopDue(now)
		if !due {
			break
		}
		if t.deadline {
			c.deadline(forkhead.TaskID(t.id))
		} else {
			c.event(forkhead.TimerFired{Timer: t.id})
		}
	}
	if now >= c.tendAt {
		c.tendAt = now + tendEvery
		c.tend()
	}
	c.runModule()
	for _, s := range c.strays {
		// Whether it stands is not known, and nobody would ever end it. One that was offered to the same host again is
		// that host's to sort out.
		if l := s.host.best(); l != nil && s.host.tries[s.ref] == nil {
			c.cancel(l, s.ref)
		}
	}
	c.strays = c.strays[:0]
	c.sweep()
	return c.out
}

func (c *Core) take(i Input) {
	switch i := i.(type) {
	case OwnerConnected:
		c.accepted(i.Owner)
	case OwnerData:
		c.ownerData(i)
	case OwnerDisconnected:
		if o := c.owners[i.Owner]; o != nil {
			c.left(o)
		}
	case HostConnected:
		c.dialled(i.Connection)
	case DialFailed:
		c.dialFailed(i)
	case HostData:
		c.hostData(i)
	case HostDisconnected:
		if l := c.links[i.Connection]; l != nil {
			c.unlink(l)
		}
	case WatchEventReceived:
		c.changed(i.Event, i.SequenceRestarted)
	case GossipReceived:
		c.event(forkhead.Received{From: i.From, Data: i.Data})
	case ShutdownRequested:
		if c.stopAt == 0 {
			c.stopAt = c.now
		}
	}
}

func (c *Core) event(ev forkhead.Event) { c.module.Add(ev) }
func (c *Core) emit(o Output)           { c.out = append(c.out, o) }

// runModule hands the module its events until it has none left: some actions cause events at once.
func (c *Core) runModule() {
	if err := c.module.Run(c.now, c.execute); err != nil {
		c.logViolation(messageModuleInterrupted, errorAttr(err))
	}
}

func (c *Core) execute(a forkhead.Action) {
	switch a := a.(type) {
	case forkhead.Offer:
		c.offer(a)
	case forkhead.Reject:
		c.answer(a.Task, true, a.RetryAfter)
	case forkhead.Fail:
		c.answer(a.Task, false, 0)
	case forkhead.Withdraw:
		if r := c.tasks[a.Task]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.tries) {
			c.giveUp(r.tries[a.Attempt], forkhead.Withdrawn, r.phase != open)
		}
	case forkhead.Stop:
		c.move(a.Task)
	case forkhead.SetTimer:
		c.timers.Add(max(a.At, c.now+time.Microsecond), timer{id: a.Timer})
	case forkhead.Probe:
		c.probe(uint32(a.Machine))
	case forkhead.Gossip:
		if len(a.Data) > platform.MaxDatagramSize {
			c.logViolation(messageOversizedGossip, slog.Int(keyBytes, len(a.Data)))
			return
		}
		c.emit(SendGossip{To: a.To, Data: a.Data})
	case forkhead.Subscribe: // the change log is always followed
	case forkhead.Log:
		c.logInfo(a.Message)
	}
}

// ---- Requests.

type phase uint8

const (
	open     phase = iota // an answer is owed
	standing              // placed
	ending                // its owner or the module has ended it, and its host has not said so yet
	over
)

// request is one arrival of a task.
type request struct {
	id     forkhead.TaskID
	ref    string
	owner  uint64 // the connection that it came on last
	task   forkhead.Task
	class  *forkhead.Class
	fields []platform.Field // for hosts
	desc   []byte
	digest uint64
	ask    attempt.Request
	tries  []*try
	phase  phase
}

// try is an attempt.
type try struct {
	req    *request
	number int
	host   *host
	link   *link // that carries it, or that it waits for
	at     time.Duration
	endBy  time.Duration // ending: the host's word is awaited until then
	told   bool          // ending: its host has been told
	noted  bool          // its host has sent notes on it: it stands there, answered or not
}

func (t *try) phase() attempt.Phase { return t.req.ask.Attempts[t.number].Phase }

// offer starts an attempt where that is legal now; else its outcome is that it was not sent.
func (c *Core) offer(a forkhead.Offer) {
	r := c.tasks[a.Task]
	if r == nil {
		c.logViolation(messageUnknownTask, taskAttr(a.Task))
		return
	}
	h := c.hosts[uint32(a.Machine)]
	moot := func() {
		r.ask.AddUnsent(c.now, attempt.HostID(a.Machine))
		r.tries = append(r.tries, nil)
		c.event(forkhead.Outcome{
			Task: r.id, Attempt: len(r.tries) - 1, Machine: a.Machine, Result: forkhead.NotSent, Final: r.phase != open,
		})
	}
	if r.phase != open || h == nil || h.address == "" {
		moot()
		return
	}
	veto := invariant.CheckOffer(c.now, &invariant.Offer{
		Request: &r.ask, Task: &r.task, Class: r.class, To: h.guarded(), DrainGrace: c.set.DrainGrace,
		HostByID: func(id attempt.HostID) *invariant.Host {
			if h := c.hosts[uint32(id)]; h != nil {
				return h.guarded()
			}
			return nil
		},
		ServiceHosts: c.others(r.task.Service, nil),
	})
	if veto != nil {
		c.logViolation(messageOfferVetoed, taskAttr(r.id), hostAttr(h.name), errorAttr(veto))
		moot()
		return
	}
	t := &try{req: r, number: r.ask.AddOffer(c.now, attempt.HostID(a.Machine)), host: h, at: c.now}
	r.tries = append(r.tries, t)
	c.services[r.task.Service] = append(c.services[r.task.Service], t)
	if a.Timeout > 0 && c.now+a.Timeout < r.ask.Deadline {
		c.timers.Add(c.now+a.Timeout, timer{id: uint64(r.id), deadline: true})
	}
	h.tries[r.ref] = t
	c.carry(t)
}

// crowded says whether an attempt would be one too many of its service in some place by now: tasks may have been handed over
// while it waited for its connection.
func (c *Core) crowded(t *try) bool {
	return invariant.CheckSpread(&invariant.Offer{
		Task: &t.req.task, Class: t.req.class, To: t.host.guarded(), ServiceHosts: c.others(t.req.task.Service, t),
	}) != nil
}

// others runs over the hosts of a service's live attempts, but one.
func (c *Core) others(service uint64, but *try) func(yield func(*invariant.Host) bool) {
	return func(yield func(*invariant.Host) bool) {
		for _, t := range c.services[service] {
			if t != but && !yield(t.host.guarded()) {
				return
			}
		}
	}
}

// write sends an attempt on its link, which is open; one that has become wrong while it waited is not sent.
func (c *Core) write(t *try) {
	r := t.req
	if r.phase != open || r.ask.MayWrite(c.now, t.number) != nil || c.crowded(t) ||
		invariant.DrainGraceExpired(c.now, t.host.entry.State, t.host.since, c.set.DrainGrace) {
		c.outcome(t, attempt.Abandoned, forkhead.NotSent, forkhead.NoReason, r.phase != open, nil)
		return
	}
	left := max((r.ask.Deadline - c.now).Milliseconds(), 1)
	t.at = c.now
	t.link.out++
	t.link.usedAt = c.now
	r.ask.Handle(t.number, attempt.OfferWritten)
	c.emit(SendToHost{Connection: t.link.id, Line: platform.Append(nil, platform.TypeRequest, r.ref, platform.NoCause, r.desc,
		append(r.fields[:len(r.fields):len(r.fields)], platform.TextField(platform.FieldTimeout, fmt.Sprint(left)))...)})
}

// outcome ends an attempt and tells the module.
func (c *Core) outcome(t *try, in attempt.Input, result forkhead.Result, why forkhead.RejectReason, final bool, report *forkhead.LoadReport) {
	r := t.req
	if p := t.phase(); !p.IsLive() {
		return
	}
	c.offLink(t)
	r.ask.Handle(t.number, in)
	if t.host.tries[r.ref] == t {
		delete(t.host.tries, r.ref)
	}
	live := slices.DeleteFunc(c.services[r.task.Service], func(other *try) bool { return other == t })
	if c.services[r.task.Service] = live; len(live) == 0 {
		delete(c.services, r.task.Service)
	}
	c.event(forkhead.Outcome{
		Task: r.id, Attempt: t.number, Machine: forkhead.MachineID(t.host.number), Result: result, Reason: why,
		Took: c.now - t.at, Final: final, Report: report,
	})
	if r.phase != open {
		c.over = append(c.over, r)
	}
}

// offLink takes an attempt that is out off the count of its link, or off the line that waits for it.
func (c *Core) offLink(t *try) {
	l := t.link
	if l == nil {
		return
	}
	t.link = nil
	if t.phase() == attempt.InFlight {
		l.out--
		return
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(w *try) bool { return w == t })
}

// cancel tells a host that an offer is given up, or that a task is to end: the same message, whichever it has.
func (c *Core) cancel(l *link, ref string) {
	c.emit(SendToHost{Connection: l.id, Line: giveUpLine(ref)})
}

func giveUpLine(ref string) []byte {
	return platform.Append(nil, platform.TypeRelease, ref, platform.CauseOK, nil)
}

// giveUp stops waiting for an attempt that is out.
func (c *Core) giveUp(t *try, result forkhead.Result, final bool) {
	if t == nil || !t.phase().IsInFlight() {
		return
	}
	if t.phase() == attempt.InFlight {
		if t.link != nil && c.set.MayWithdraw {
			c.emit(SendToHost{Connection: t.link.id, Line: giveUpLine(t.req.ref), Abandons: true})
		}
		c.ended.add(givenUp{t.host.number, t.req.ref})
	}
	c.outcome(t, attempt.Abandoned, result, forkhead.NoReason, final, nil)
}

// giveUpAll stops waiting for whatever attempts of a request are out.
func (c *Core) giveUpAll(r *request, result forkhead.Result, final bool) {
	for _, t := range r.tries {
		c.giveUp(t, result, final)
	}
}

// answer carries out the module's refusal or failure.
func (c *Core) answer(id forkhead.TaskID, refuse bool, wait time.Duration) {
	r := c.tasks[id]
	if r == nil || r.phase != open {
		return
	}
	if !c.set.MayWithdraw {
		// An attempt that may not be called off is out until its owner gives up, which is when the module answers: nothing
		// more is waited for, and its host is told nothing.
		c.giveUpAll(r, forkhead.Withdrawn, true)
	}
	if veto := invariant.CheckAnswer(&r.ask, refuse); veto != nil {
		c.logViolation(messageAnswerVetoed, taskAttr(id), errorAttr(veto))
		c.giveUpAll(r, forkhead.Withdrawn, true)
		refuse = false
	}
	cause, fields := platform.CauseFailed, []platform.Field(nil)
	if refuse {
		cause = platform.CauseRejected
		if ms := wait.Milliseconds(); ms > 0 {
			fields = append(fields, platform.TextField(platform.FieldRetryAfter, fmt.Sprint(ms)))
		}
	}
	r.ask.Finish(refuse)
	c.close(r, over)
	c.tell(r, platform.Append(nil, platform.TypeRelease, r.ref, cause, nil, fields...))
}

// close takes an open request out of those that are owed an answer.
func (c *Core) close(r *request, p phase) {
	r.phase = p
	c.open--
	if o := c.owners[r.owner]; o != nil {
		delete(o.open, r)
	}
	r.desc, r.fields = nil, nil
	if p == over {
		c.over = append(c.over, r)
	}
}

// deadline ends attempts at the time that was given for them.
func (c *Core) deadline(id forkhead.TaskID) {
	r := c.tasks[id]
	if r == nil || r.phase != open {
		return
	}
	c.giveUpAll(r, forkhead.TimedOut, false)
	c.runModule()
	if r.phase == open && c.now >= r.ask.Deadline {
		c.logViolation(messageNoAnswer, taskAttr(id))
		c.event(forkhead.RequestCanceled{Task: id})
		c.answer(id, false, 0)
	}
}

// leave takes back a request for its owner.
func (c *Core) leave(r *request) {
	c.event(forkhead.RequestCanceled{Task: r.id})
	c.close(r, over)
	r.ask.Finish(false)
	c.giveUpAll(r, forkhead.Withdrawn, true)
}

// current is the attempt that holds a standing task.
func (r *request) current() *try {
	for _, t := range r.tries {
		if t != nil && t.phase() == attempt.Placed {
			return t
		}
	}
	return nil
}

// end cuts a standing task at its host; the host's word, or its silence, makes the outcome.
func (c *Core) end(r *request) {
	t := r.current()
	if t == nil || r.phase != standing {
		return
	}
	r.phase = ending
	c.stopTask(t)
}

// stopTask tells the host of a task that it is to end, where a connection is open, else on the next (dialled).
func (c *Core) stopTask(t *try) {
	t.endBy = c.now + hostsWord
	if l := t.host.best(); l != nil {
		t.told = true
		c.cancel(l, t.req.ref)
	}
}

// move carries out the module's Stop.
func (c *Core) move(id forkhead.TaskID) {
	if r := c.tasks[id]; r != nil && r.phase == standing {
		c.tell(r, platform.Append(nil, platform.TypeMigrate, r.ref, platform.NoCause, nil))
		c.end(r)
	}
}

// finish ends a standing task by its host's word, or by what proves that it is over.
func (c *Core) finish(t *try, cause platform.Cause, why forkhead.RejectReason, report *forkhead.LoadReport) {
	r := t.req
	result := forkhead.Reset
	switch {
	case r.phase == ending || cause == platform.CauseMigrated:
		result = forkhead.Withdrawn
	case cause == platform.CauseOK:
		result = forkhead.OK
	default:
		cause = platform.CauseReset
	}
	c.fell(r)
	known := release{givenUp{t.host.number, r.ref}, platform.CauseMigrated} // a hand-over that comes now is owed nothing
	if r.phase == standing && cause != platform.CauseMigrated && !c.tell(r, platform.Append(nil, platform.TypeRelease, r.ref, cause, nil)) {
		known.cause = cause // but what could not be told
	}
	c.releases.add(known)
	r.phase = over
	c.outcome(t, attempt.Ended, result, why, true, report)
}

// sweep forgets requests that nothing more can come of.
func (c *Core) sweep() {
	for _, r := range c.over {
		if r.phase != over || r.ask.HasAttemptInFlight() || r.current() != nil {
			continue
		}
		delete(c.tasks, r.id)
		if c.refs[r.ref] == r {
			delete(c.refs, r.ref)
		}
	}
	c.over = c.over[:0]
}

// timer is the module's, or the deadline of a task.
type timer struct {
	id       uint64
	deadline bool
}

// recent remembers the last so many values.
type recent[K comparable] struct {
	ring []K
	next int
	has  map[K]int // how often it is in the ring
}

func newRecent[K comparable](most int) recent[K] {
	return recent[K]{ring: make([]K, 0, most), has: map[K]int{}}
}

func (r *recent[K]) add(k K) {
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, k)
	} else {
		if old := r.ring[r.next]; r.has[old] == 1 {
			delete(r.has, old)
		} else {
			r.has[old]--
		}
		r.ring[r.next] = k
		r.next = (r.next + 1) % len(r.ring)
	}
	r.has[k]++
}

func (r *recent[K]) holds(k K) bool { return r.has[k] > 0 }
