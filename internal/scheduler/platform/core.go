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
	config   Config
	settings *forkhead.Settings
	now      time.Duration
	outputs  []Output
	module   *moduledriver.Driver

	timers      timerqueue.Queue[timer]
	reconcileAt time.Duration

	owners      map[uint64]*ownerConnection
	undelivered []undeliveredMessage // what no connection of owners could take yet

	lastTask          forkhead.TaskID
	requests          map[forkhead.TaskID]*request
	requestsByRef     map[string]*request
	unanswered        int                        // requests without an answer
	attemptsByService map[uint64][]*taskAttempt  // live attempts
	possibleOrphans   []possibleOrphan           // attempts of this step whose answer was lost
	finished          []*request                 // to be forgotten at the end of the step
	abandoned         recent[attemptKey]         // attempts that were given up, by host and ref
	reportedEnds      recent[reportedEnd]        // that hosts told of tasks which are not known here
	unlistedHosts     int                        // hosts that are not listed and hold tasks
	hosts             map[uint32]*host           // by number
	sortedHosts       []*host                    // the same, sorted; nil: to be made anew
	connections       map[uint64]*hostConnection // all connections to hosts
	halfClosed        []*hostConnection          // those of them that are being closed
	lastConnection    uint64
	lastProbe         uint64
	listSequence      uint64 // of the change log
	started           bool   // the module has a list

	shutdownAt     time.Duration // when the stop began; 0: it has not
	listenerClosed bool
}

type attemptKey struct {
	host uint32
	ref  string
}

// reportedEnd is the end of a task as its host told it, with one of the causes CauseOK, CauseMoved and CauseReset.
type reportedEnd struct {
	attemptKey
	cause platform.Cause
}

// possibleOrphan is an attempt whose answer was lost with its connection: its task may stand.
type possibleOrphan struct {
	host *host
	ref  string
}

type undeliveredMessage struct {
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
		config: cfg, settings: &cfg.Settings, module: module, owners: map[uint64]*ownerConnection{}, requests: map[forkhead.TaskID]*request{},
		requestsByRef: map[string]*request{}, attemptsByService: map[uint64][]*taskAttempt{},
		abandoned: newRecent[attemptKey](maxRemembered), reportedEnds: newRecent[reportedEnd](maxRemembered), hosts: map[uint32]*host{}, connections: map[uint64]*hostConnection{},
	}
	return c, nil
}

// Next is when the core wants to be stepped without inputs.
func (c *Core) Next() time.Duration {
	if at, ok := c.timers.Next(); ok {
		return min(at, c.reconcileAt)
	}
	return c.reconcileAt
}

// Step takes the inputs of one moment, in order, and returns what to do, in order.
func (c *Core) Step(now time.Duration, in ...Input) []Output {
	c.now, c.outputs = now, nil
	if !c.started {
		c.started = true
		c.loadInitialList()
	}
	for _, i := range in {
		c.handle(i)
	}
	for {
		t, due := c.timers.PopDue(now)
		if !due {
			break
		}
		if t.deadline {
			c.expireAttempts(forkhead.TaskID(t.id))
		} else {
			c.notifyModule(forkhead.TimerFired{Timer: t.id})
		}
	}
	if now >= c.reconcileAt {
		c.reconcileAt = now + reconcileInterval
		c.reconcile()
	}
	c.runModule()
	for _, s := range c.possibleOrphans {
		// Whether it stands is not known, and nobody would ever end it. One that was offered to the same host again is
		// that host's to sort out.
		if l := s.host.leastBusyConnection(); l != nil && s.host.attempts[s.ref] == nil {
			c.sendRelease(l, s.ref)
		}
	}
	c.possibleOrphans = c.possibleOrphans[:0]
	c.forgetRequests()
	return c.outputs
}

func (c *Core) handle(i Input) {
	switch i := i.(type) {
	case OwnerConnected:
		c.ownerConnected(i.Owner)
	case OwnerData:
		c.receiveFromOwner(i)
	case OwnerDisconnected:
		if o := c.owners[i.Owner]; o != nil {
			c.ownerDisconnected(o)
		}
	case HostConnected:
		c.hostConnected(i.Connection)
	case DialFailed:
		c.dialFailed(i)
	case HostData:
		c.receiveFromHost(i)
	case HostDisconnected:
		if l := c.connections[i.Connection]; l != nil {
			c.connectionLost(l)
		}
	case WatchEventReceived:
		c.handleWatchEvent(i.Event, i.SequenceRestarted)
	case GossipReceived:
		c.notifyModule(forkhead.Received{From: i.From, Data: i.Data})
	case ShutdownRequested:
		if c.shutdownAt == 0 {
			c.shutdownAt = c.now
		}
	}
}

func (c *Core) notifyModule(ev forkhead.Event) { c.module.Add(ev) }
func (c *Core) emit(o Output)                  { c.outputs = append(c.outputs, o) }

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
		if r := c.requests[a.Task]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			c.withdraw(r.attempts[a.Attempt], forkhead.Withdrawn, r.phase != requestOpen)
		}
	case forkhead.Stop:
		c.migrate(a.Task)
	case forkhead.SetTimer:
		c.timers.Add(max(a.At, c.now+time.Microsecond), timer{id: a.Timer})
	case forkhead.Probe:
		c.startProbe(uint32(a.Machine))
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

type requestPhase uint8

const (
	requestOpen   requestPhase = iota // an answer is owed
	requestPlaced                     // placed
	requestEnding                     // its owner or the module has ended it, and its host has not said so yet
	requestOver
)

// request is one arrival of a task.
type request struct {
	id          forkhead.TaskID
	ref         string
	owner       uint64 // the connection that it came on last
	task        forkhead.Task
	class       *forkhead.Class
	hostFields  []platform.Field // for hosts
	description []byte
	digest      uint64
	lifecycle   attempt.Request
	attempts    []*taskAttempt
	phase       requestPhase
}

// taskAttempt is an attempt.
type taskAttempt struct {
	request      *request
	number       int
	host         *host
	connection   *hostConnection // that carries it, or that it waits for
	sentAt       time.Duration
	stopDeadline time.Duration // ending: the host's word is awaited until then
	stopSent     bool          // ending: its host has been told
	hasNotes     bool          // its host has sent notes on it: it stands there, answered or not
}

func (t *taskAttempt) phase() attempt.Phase { return t.request.lifecycle.Attempts[t.number].Phase }

// offer starts an attempt where that is legal now; else its outcome is that it was not sent.
func (c *Core) offer(a forkhead.Offer) {
	r := c.requests[a.Task]
	if r == nil {
		c.logViolation(messageUnknownTask, taskAttr(a.Task))
		return
	}
	h := c.hosts[uint32(a.Machine)]
	moot := func() {
		r.lifecycle.AddUnsent(c.now, attempt.HostID(a.Machine))
		r.attempts = append(r.attempts, nil)
		c.notifyModule(forkhead.Outcome{
			Task: r.id, Attempt: len(r.attempts) - 1, Machine: a.Machine, Result: forkhead.NotSent, Final: r.phase != requestOpen,
		})
	}
	if r.phase != requestOpen || h == nil || h.address == "" {
		moot()
		return
	}
	veto := invariant.CheckOffer(c.now, &invariant.Offer{
		Request: &r.lifecycle, Task: &r.task, Class: r.class, To: h.forInvariants(), DrainGrace: c.settings.DrainGrace,
		HostByID: func(id attempt.HostID) *invariant.Host {
			if h := c.hosts[uint32(id)]; h != nil {
				return h.forInvariants()
			}
			return nil
		},
		ServiceHosts: c.otherHosts(r.task.Service, nil),
	})
	if veto != nil {
		c.logViolation(messageOfferVetoed, taskAttr(r.id), hostAttr(h.name), errorAttr(veto))
		moot()
		return
	}
	t := &taskAttempt{request: r, number: r.lifecycle.AddOffer(c.now, attempt.HostID(a.Machine)), host: h, sentAt: c.now}
	r.attempts = append(r.attempts, t)
	c.attemptsByService[r.task.Service] = append(c.attemptsByService[r.task.Service], t)
	if a.Timeout > 0 && c.now+a.Timeout < r.lifecycle.Deadline {
		c.timers.Add(c.now+a.Timeout, timer{id: uint64(r.id), deadline: true})
	}
	h.attempts[r.ref] = t
	c.assignConnection(t)
}

// exceedsSpread says whether an attempt would be one too many of its service in some place by now: tasks may have been handed over
// while it waited for its connection.
func (c *Core) exceedsSpread(t *taskAttempt) bool {
	return invariant.CheckSpread(&invariant.Offer{
		Task: &t.request.task, Class: t.request.class, To: t.host.forInvariants(), ServiceHosts: c.otherHosts(t.request.task.Service, t),
	}) != nil
}

// otherHosts runs over the hosts of a service's live attempts, but one.
func (c *Core) otherHosts(service uint64, but *taskAttempt) func(yield func(*invariant.Host) bool) {
	return func(yield func(*invariant.Host) bool) {
		for _, t := range c.attemptsByService[service] {
			if t != but && !yield(t.host.forInvariants()) {
				return
			}
		}
	}
}

// sendOffer sends an attempt on its link, which is open; one that has become wrong while it waited is not sent.
func (c *Core) sendOffer(t *taskAttempt) {
	r := t.request
	if r.phase != requestOpen || r.lifecycle.MayWrite(c.now, t.number) != nil || c.exceedsSpread(t) ||
		invariant.DrainGraceExpired(c.now, t.host.entry.State, t.host.drainingSince, c.settings.DrainGrace) {
		c.endAttempt(t, attempt.Abandoned, forkhead.NotSent, forkhead.NoReason, r.phase != requestOpen, nil)
		return
	}
	left := max((r.lifecycle.Deadline - c.now).Milliseconds(), 1)
	t.sentAt = c.now
	t.connection.inFlight++
	t.connection.lastSentAt = c.now
	r.lifecycle.Handle(t.number, attempt.OfferWritten)
	c.emit(SendToHost{Connection: t.connection.id, Line: platform.Append(nil, platform.TypeRequest, r.ref, platform.NoCause, r.description,
		append(r.hostFields[:len(r.hostFields):len(r.hostFields)], platform.TextField(platform.FieldTimeout, fmt.Sprint(left)))...)})
}

// endAttempt ends an attempt and tells the module.
func (c *Core) endAttempt(t *taskAttempt, in attempt.Input, result forkhead.Result, why forkhead.RejectReason, final bool, report *forkhead.LoadReport) {
	r := t.request
	if p := t.phase(); !p.IsLive() {
		return
	}
	c.detach(t)
	r.lifecycle.Handle(t.number, in)
	if t.host.attempts[r.ref] == t {
		delete(t.host.attempts, r.ref)
	}
	live := slices.DeleteFunc(c.attemptsByService[r.task.Service], func(other *taskAttempt) bool { return other == t })
	if c.attemptsByService[r.task.Service] = live; len(live) == 0 {
		delete(c.attemptsByService, r.task.Service)
	}
	c.notifyModule(forkhead.Outcome{
		Task: r.id, Attempt: t.number, Machine: forkhead.MachineID(t.host.number), Result: result, Reason: why,
		Took: c.now - t.sentAt, Final: final, Report: report,
	})
	if r.phase != requestOpen {
		c.finished = append(c.finished, r)
	}
}

// detach takes an attempt that is out off the count of its link, or off the line that waits for it.
func (c *Core) detach(t *taskAttempt) {
	l := t.connection
	if l == nil {
		return
	}
	t.connection = nil
	if t.phase() == attempt.InFlight {
		l.inFlight--
		return
	}
	l.queued = slices.DeleteFunc(l.queued, func(w *taskAttempt) bool { return w == t })
}

// sendRelease tells a host that an offer is given up, or that a task is to end: the same message, whichever it has.
func (c *Core) sendRelease(l *hostConnection, ref string) {
	c.emit(SendToHost{Connection: l.id, Line: releaseLine(ref)})
}

func releaseLine(ref string) []byte {
	return platform.Append(nil, platform.TypeRelease, ref, platform.CauseOK, nil)
}

// withdraw stops waiting for an attempt that is out.
func (c *Core) withdraw(t *taskAttempt, result forkhead.Result, final bool) {
	if t == nil || !t.phase().IsInFlight() {
		return
	}
	if t.phase() == attempt.InFlight {
		if t.connection != nil && c.settings.MayWithdraw {
			c.emit(SendToHost{Connection: t.connection.id, Line: releaseLine(t.request.ref), Abandons: true})
		}
		c.abandoned.add(attemptKey{t.host.number, t.request.ref})
	}
	c.endAttempt(t, attempt.Abandoned, result, forkhead.NoReason, final, nil)
}

// withdrawAll stops waiting for whatever attempts of a request are out.
func (c *Core) withdrawAll(r *request, result forkhead.Result, final bool) {
	for _, t := range r.attempts {
		c.withdraw(t, result, final)
	}
}

// answer carries out the module's refusal or failure.
func (c *Core) answer(id forkhead.TaskID, refuse bool, wait time.Duration) {
	r := c.requests[id]
	if r == nil || r.phase != requestOpen {
		return
	}
	if !c.settings.MayWithdraw {
		// An attempt that may not be called off is out until its owner gives up, which is when the module answers: nothing
		// more is waited for, and its host is told nothing.
		c.withdrawAll(r, forkhead.Withdrawn, true)
	}
	if veto := invariant.CheckAnswer(&r.lifecycle, refuse); veto != nil {
		c.logViolation(messageAnswerVetoed, taskAttr(id), errorAttr(veto))
		c.withdrawAll(r, forkhead.Withdrawn, true)
		refuse = false
	}
	cause, fields := platform.CauseFailed, []platform.Field(nil)
	if refuse {
		cause = platform.CauseRejected
		if ms := wait.Milliseconds(); ms > 0 {
			fields = append(fields, platform.TextField(platform.FieldRetryAfter, fmt.Sprint(ms)))
		}
	}
	r.lifecycle.Finish(refuse)
	c.closeRequest(r, requestOver)
	c.notifyOwner(r, platform.Append(nil, platform.TypeRelease, r.ref, cause, nil, fields...))
}

// closeRequest takes an open request out of those that are owed an answer.
func (c *Core) closeRequest(r *request, p requestPhase) {
	r.phase = p
	c.unanswered--
	if o := c.owners[r.owner]; o != nil {
		delete(o.openRequests, r)
	}
	r.description, r.hostFields = nil, nil
	if p == requestOver {
		c.finished = append(c.finished, r)
	}
}

// expireAttempts ends attempts at the time that was given for them.
func (c *Core) expireAttempts(id forkhead.TaskID) {
	r := c.requests[id]
	if r == nil || r.phase != requestOpen {
		return
	}
	c.withdrawAll(r, forkhead.TimedOut, false)
	c.runModule()
	if r.phase == requestOpen && c.now >= r.lifecycle.Deadline {
		c.logViolation(messageNoAnswer, taskAttr(id))
		c.notifyModule(forkhead.RequestCanceled{Task: id})
		c.answer(id, false, 0)
	}
}

// cancelRequest takes back a request for its owner.
func (c *Core) cancelRequest(r *request) {
	c.notifyModule(forkhead.RequestCanceled{Task: r.id})
	c.closeRequest(r, requestOver)
	r.lifecycle.Finish(false)
	c.withdrawAll(r, forkhead.Withdrawn, true)
}

// placedAttempt is the attempt that holds a standing task.
func (r *request) placedAttempt() *taskAttempt {
	for _, t := range r.attempts {
		if t != nil && t.phase() == attempt.Placed {
			return t
		}
	}
	return nil
}

// endTask cuts a standing task at its host; the host's word, or its silence, makes the outcome.
func (c *Core) endTask(r *request) {
	t := r.placedAttempt()
	if t == nil || r.phase != requestPlaced {
		return
	}
	r.phase = requestEnding
	c.sendStop(t)
}

// sendStop tells the host of a task that it is to end, where a connection is open, else on the next (dialled).
func (c *Core) sendStop(t *taskAttempt) {
	t.stopDeadline = c.now + stopTimeout
	if l := t.host.leastBusyConnection(); l != nil {
		t.stopSent = true
		c.sendRelease(l, t.request.ref)
	}
}

// migrate carries out the module's Stop.
func (c *Core) migrate(id forkhead.TaskID) {
	if r := c.requests[id]; r != nil && r.phase == requestPlaced {
		c.notifyOwner(r, platform.Append(nil, platform.TypeMigrate, r.ref, platform.NoCause, nil))
		c.endTask(r)
	}
}

// finishTask ends a standing task by its host's word, or by what proves that it is over.
func (c *Core) finishTask(t *taskAttempt, cause platform.Cause, why forkhead.RejectReason, report *forkhead.LoadReport) {
	r := t.request
	result := forkhead.Reset
	switch {
	case r.phase == requestEnding || cause == platform.CauseMigrated:
		result = forkhead.Withdrawn
	case cause == platform.CauseOK:
		result = forkhead.OK
	default:
		cause = platform.CauseReset
	}
	c.uncountPlaced(r)
	known := reportedEnd{attemptKey{t.host.number, r.ref}, platform.CauseMigrated} // a hand-over that comes now is owed nothing
	if r.phase == requestPlaced && cause != platform.CauseMigrated && !c.notifyOwner(r, platform.Append(nil, platform.TypeRelease, r.ref, cause, nil)) {
		known.cause = cause // but what could not be told
	}
	c.reportedEnds.add(known)
	r.phase = requestOver
	c.endAttempt(t, attempt.Ended, result, why, true, report)
}

// forgetRequests forgets requests that nothing more can come of.
func (c *Core) forgetRequests() {
	for _, r := range c.finished {
		if r.phase != requestOver || r.lifecycle.HasAttemptInFlight() || r.placedAttempt() != nil {
			continue
		}
		delete(c.requests, r.id)
		if c.requestsByRef[r.ref] == r {
			delete(c.requestsByRef, r.ref)
		}
	}
	c.finished = c.finished[:0]
}

// timer is the module's, or the deadline of a task.
type timer struct {
	id       uint64
	deadline bool
}

// recent remembers the last so many values.
type recent[K comparable] struct {
	ring   []K
	next   int
	counts map[K]int // how often it is in the ring
}

func newRecent[K comparable](most int) recent[K] {
	return recent[K]{ring: make([]K, 0, most), counts: map[K]int{}}
}

func (r *recent[K]) add(k K) {
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, k)
	} else {
		if old := r.ring[r.next]; r.counts[old] == 1 {
			delete(r.counts, old)
		} else {
			r.counts[old]--
		}
		r.ring[r.next] = k
		r.next = (r.next + 1) % len(r.ring)
	}
	r.counts[k]++
}

func (r *recent[K]) contains(k K) bool { return r.counts[k] > 0 }
