package core

import (
	"fmt"
	"math/rand/v2"
	"time"

	"forkhead"
	"forkhead/internal/parse/settings"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostconn"
	"forkhead/internal/scheduler/ids"
	"forkhead/internal/scheduler/invariant"
	"forkhead/internal/scheduler/retrypolicy"
	"forkhead/internal/scheduler/timerqueue"
)

// Config is what a Core starts from.
type Config struct {
	Settings *settings.Settings // by For: Module.Self is this placer
	Seed     uint64
	Epoch    uint64   // of this life; higher than any before
	Hash     ids.Hash // nil: ids.FNV
	Durable  bool     // what must not be forgotten is told as Keep
	// Decide stands in the module's place in tests of the guard; nil: the module.
	Decide func(now time.Duration, events []forkhead.Event) []forkhead.Action
}

// Core is one placer. It is not safe for concurrent use.
type Core struct {
	settings    *settings.Settings
	decide func(now time.Duration, events []forkhead.Event) []forkhead.Action
	rng    *rand.Rand
	epoch  uint64

	now    time.Duration
	outputs    []Output
	events []forkhead.Event // for the module, of this moment
	timers timerqueue.Queue[*timer]

	hostIDs      *ids.Table
	firstListAt time.Duration // when a list first came
	hosts    map[string]*host
	hostsByID     map[forkhead.MachineID]*host
	zoneIndexes    map[string]int
	rackIndexes    map[string]int

	requests     map[forkhead.TaskID]*placementRequest
	attemptsByRef     map[hostproto.Ref]*taskAttempt
	liveAttempts     map[uint64][]*taskAttempt        // attempts that count against the spread, by service
	canceledRequests     map[forkhead.TaskID]*placementRequest // taken back from the module at this moment
	unknownAttempts  map[uint64]map[*taskAttempt]bool // attempts of which nobody knows what became, by their task's key
	blockedReplicas  map[uint64]*desiredReplica         // tasks that wait for those of their key to be settled
	lastTaskID uint32
	labels   labelTable

	projects    map[string]*project
	replicaCount      int
	submissions map[string]*submission
	submissionsByKey       map[string]*submission
	completeSubmissions       []*submission // complete, in the order in which they became so
	lastSubmission     uint64

	durable bool
	removedProjects  map[string]bool // projects that were removed in an earlier life
	hostListPersistedAt  time.Duration   // the list was last noted

	retryPolicy retrypolicy.Policy
	connPolicy  hostconn.Policy
	status   Status
}

// New returns a placer's core, or the module's word on what it cannot use.
func New(cfg Config) (*Core, error) {
	set := cfg.Settings
	if cfg.Hash == nil {
		cfg.Hash = ids.FNV
	}
	c := &Core{
		settings: set, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Epoch)), epoch: cfg.Epoch, decide: cfg.Decide,
		hostIDs: ids.NewTable(cfg.Hash), hosts: map[string]*host{}, hostsByID: map[forkhead.MachineID]*host{},
		zoneIndexes: map[string]int{}, rackIndexes: map[string]int{},
		requests: map[forkhead.TaskID]*placementRequest{}, canceledRequests: map[forkhead.TaskID]*placementRequest{},
		unknownAttempts: map[uint64]map[*taskAttempt]bool{}, blockedReplicas: map[uint64]*desiredReplica{}, attemptsByRef: map[hostproto.Ref]*taskAttempt{}, liveAttempts: map[uint64][]*taskAttempt{},
		projects: map[string]*project{}, submissions: map[string]*submission{}, submissionsByKey: map[string]*submission{},
		retryPolicy: retrypolicy.Policy{
			MinBackoff: set.Owner.First, MaxBackoff: set.Owner.Most, MigrationBackoff: set.Owner.Soon, UnsafeBackoff: set.Module.OwnerBackoff,
			MaxRetryAfter: set.Module.MaxRetryAfter, MaxRequests: set.Owner.Asks,
		},
		connPolicy: hostconn.Policy{ConnectTimeout: set.Links.Connect, MinBackoff: set.Links.First, MaxBackoff: set.Links.Most},
	}
	c.labels.maxLabels = set.Limits.Label
	c.durable, c.removedProjects = cfg.Durable, map[string]bool{}
	c.status = Status{Placer: set.Module.Self, Epoch: cfg.Epoch, Outcomes: map[string]uint64{}, VetoesByRule: map[string]uint64{}}
	c.zoneIndexes[set.Placers[set.Module.Self].Zone] = 0
	if c.decide == nil {
		module, err := forkhead.New(set.Module, cfg.Seed)
		if err != nil {
			return nil, err
		}
		c.decide = module.Step
	}
	return c, nil
}

// maxModuleRounds bounds how often the module is asked within one Step: each round is an offer that
// could not be sent, and those are bounded by the attempts of each ask.
const maxModuleRounds = 10_000

// Step takes the inputs of one moment, and what is due by then, and returns what to carry out,
// in order. A now before the last one counts as the last one: the clock may have been set back.
func (c *Core) Step(now time.Duration, inputs ...Input) []Output {
	first := c.now == 0
	c.now, c.outputs = max(now, c.now), nil
	for _, in := range inputs {
		c.handleInput(in)
	}
	var late []*timer
	for {
		t, due := c.timers.PopDue(c.now)
		if !due {
			break
		}
		if t.kind == timerRequestDeadline {
			// After the module's own timers of this moment: a placer that stood still lets the
			// module end its asks before they are taken to be forgotten.
			late = append(late, t)
			continue
		}
		c.handleTimer(t)
	}
	c.runModule(first)
	for _, t := range late {
		c.handleTimer(t)
	}
	c.runModule(false)
	clear(c.canceledRequests)
	return c.outputs
}

// Next returns when Step has something to do by itself.
func (c *Core) Next() (time.Duration, bool) { return c.timers.Next() }

// runModule hands the module its events until it has none.
func (c *Core) runModule(always bool) {
	for round := 0; always || len(c.events) > 0; round++ {
		always = false
		if round >= maxModuleRounds {
			c.reportDefect("the module was asked %d times at one moment", round)
			c.events = nil
			return
		}
		events := c.events
		c.events = nil
		for _, a := range c.decide(c.now, events) {
			c.execute(a)
		}
	}
}

func (c *Core) handleInput(in Input) {
	switch in := in.(type) {
	case HostListReceived:
		c.handleHostList(in)
	case HostConnected:
		if h := c.hosts[in.Host]; h != nil {
			c.handleConnection(h, hostconn.Input{Kind: hostconn.Dialed, Conn: in.Conn})
		}
	case HostDisconnected:
		if h := c.hosts[in.Host]; h != nil {
			c.handleConnection(h, hostconn.Input{Kind: hostconn.Disconnected, Conn: in.Conn})
		}
	case FrameReceived:
		if h := c.hosts[in.Host]; h != nil && in.Conn == h.connection.Conn {
			c.handleFrame(h, in.Frame)
		}
	case Submit:
		c.handleSubmit(in)
	case RemoveProject:
		c.handleRemoveProject(in)
	case Restore:
		c.handleRestore(in.Snapshot)
	case GossipReceived:
		c.notifyModule(forkhead.Received{From: in.From, Data: in.Data})
	}
}

// notifyModule puts an event before the module.
func (c *Core) notifyModule(ev forkhead.Event) { c.events = append(c.events, ev) }

func (c *Core) emit(o Output) { c.outputs = append(c.outputs, o) }

func (c *Core) log(format string, args ...any) {
	c.emit(Log{Text: fmt.Sprintf(format, args...)})
}

// reportDefect notes something that this program should never do.
func (c *Core) reportDefect(format string, args ...any) {
	c.status.Defects++
	c.emit(Log{Defect: true, Text: fmt.Sprintf(format, args...)})
}

// reportVeto counts an action of the module that the guard did not let through.
func (c *Core) reportVeto(v *invariant.Violation, format string, args ...any) {
	c.status.Vetoes++
	c.status.VetoesByRule[v.Rule.String()]++
	c.reportDefect("veto: %s: %v", fmt.Sprintf(format, args...), v)
}

// execute carries out one action of the module, if the guard lets it through.
func (c *Core) execute(a forkhead.Action) {
	switch a := a.(type) {
	case forkhead.Offer:
		c.executeOffer(a)
	case forkhead.Reject:
		c.finishRequest(a.Task, true, a.RetryAfter)
	case forkhead.Fail:
		c.finishRequest(a.Task, false, 0)
	case forkhead.Withdraw:
		request := c.requests[a.Task]
		if request != nil && a.Attempt >= 0 && a.Attempt < len(request.attempts) && request.attempts[a.Attempt] != nil { // nil: vetoed
			c.handleAttempt(request.attempts[a.Attempt], attempt.Abandoned, attemptDetail{})
		}
	case forkhead.Stop:
		c.migrateTask(a.Task)
	case forkhead.SetTimer:
		c.addTimer(&timer{at: a.At, kind: timerModule, number: a.Timer})
	case forkhead.Probe:
		c.probeHost(c.hostsByID[a.Machine], a.Machine)
	case forkhead.Gossip:
		c.emit(SendGossip{To: a.To, Data: a.Data})
	case forkhead.Subscribe:
		c.emit(Subscribe{})
	case forkhead.Log:
		c.log("%s", a.Message)
	}
}

// ---- Timers.

type timerKind uint8

const (
	timerModule   timerKind = iota // number
	timerRequestDeadline                  // ask: its owner gives it up
	timerAttemptTimeout                       // try: its own time-out
	timerAttemptConnectTimeout                   // try: its connection takes too long
	timerRequest                       // wish: to be asked again
	timerOwnerDeadline                    // wish: its owner's patience is over
	timerReconnect                     // host: to be dialled
	timerHostConnectTimeout                      // host, number: dialling or greeting takes too long
	timerLiveness                     // host, number: to be heard from
	timerHostLost                     // host, number: what was placed there counts as lost
	timerProbeTimeout                     // host, number: a probe without an answer
	timerUpdate                   // service
	timerMonitorEnd                     // wish, number: it has stood an update's monitoring
	timerSubmissionExpiry                    // submissions that nobody reads again
)

type timer struct {
	at     time.Duration
	kind   timerKind
	number uint64
	request    *placementRequest
	attempt    *taskAttempt
	replica   *desiredReplica
	host   *host
	service    *service
}

func (c *Core) addTimer(t *timer) { c.timers.Add(t.at, t) }

func (c *Core) handleTimer(t *timer) {
	switch t.kind {
	case timerModule:
		c.notifyModule(forkhead.TimerFired{Timer: t.number})
	case timerRequestDeadline:
		c.expireRequest(t.request)
	case timerAttemptTimeout:
		if t.attempt.phase().IsInFlight() {
			c.handleAttempt(t.attempt, attempt.Abandoned, attemptDetail{result: forkhead.TimedOut})
		}
	case timerAttemptConnectTimeout:
		if t.attempt.phase() == attempt.Waiting {
			c.handleAttempt(t.attempt, attempt.ConnectionLost, attemptDetail{})
		}
	case timerRequest:
		if t.replica.requestTimerSeq == t.number {
			c.requestNow(t.replica)
		}
	case timerOwnerDeadline:
		if t.replica.deadlineTimerSeq == t.number {
			c.handleOwnerTimeout(t.replica)
		}
	case timerReconnect:
		c.handleConnection(t.host, hostconn.Input{Kind: hostconn.RetryDue})
	case timerHostConnectTimeout:
		c.handleConnection(t.host, hostconn.Input{Kind: hostconn.ConnectTimedOut, Conn: uint32(t.number)})
	case timerLiveness:
		c.checkLiveness(t.host, uint32(t.number))
	case timerHostLost:
		c.expireUnreachable(t.host, t.number)
	case timerProbeTimeout:
		c.handleProbeTimeout(t.host, uint32(t.number))
	case timerUpdate:
		c.continueUpdate(t.service)
	case timerMonitorEnd:
		if t.replica.monitorTimerSeq == t.number {
			c.reportUpdateResult(t.replica, true)
		}
	case timerSubmissionExpiry:
		c.expireSubmissions()
	}
}

// Status counts what the placer holds and has done.
func (c *Core) Status() Status {
	s := c.status
	s.Tasks, s.Submissions = c.replicaCount, len(c.submissions)
	for _, h := range c.hosts {
		if h.listed {
			s.Hosts++
		}
		if h.usable() {
			s.HostsUp++
		}
		if h.state() == forkhead.Ready {
			s.HostsReady++
		}
	}
	for _, p := range c.projects {
		for _, svc := range p.services {
			for _, replica := range svc.replicas {
				switch replica.state {
				case placed:
					s.TasksPlaced++
				case awaitingRequest, requesting, awaitingDependencies:
					s.TasksWaiting++
				}
			}
		}
	}
	for _, a := range c.attemptsByRef {
		if a.phase() == attempt.Unknown {
			s.AttemptsUnknown++
		}
	}
	s.Outcomes, s.VetoesByRule = map[string]uint64{}, map[string]uint64{}
	for k, v := range c.status.Outcomes {
		s.Outcomes[k] = v
	}
	for k, v := range c.status.VetoesByRule {
		s.VetoesByRule[k] = v
	}
	return s
}

// TableSizes counts what the tables hold. With no project left all but Hosts is 0.
type TableSizes struct {
	Hosts, Requests, Attempts, Live, Unknown, Blocked, Tasks, Projects, Labels int
}

// TableSizes counts the tables' entries: what is left when all is over is a leak.
func (c *Core) TableSizes() TableSizes {
	h := TableSizes{
		Hosts: len(c.hosts), Requests: len(c.requests), Attempts: len(c.attemptsByRef), Live: len(c.liveAttempts), Unknown: len(c.unknownAttempts),
		Blocked: len(c.blockedReplicas), Tasks: c.replicaCount, Projects: len(c.projects),
	}
	for _, row := range c.labels.rows {
		if row != nil {
			h.Labels++
		}
	}
	return h
}
