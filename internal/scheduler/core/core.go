package core

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"forkhead"
	"forkhead/internal/parse/settings"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/hostconn"
	"forkhead/internal/scheduler/ids"
	"forkhead/internal/scheduler/invariant"
	"forkhead/internal/scheduler/moduledriver"
	"forkhead/internal/scheduler/retrypolicy"
	"forkhead/internal/scheduler/timerqueue"
)

// Config is what a Core runs with.
type Config struct {
	Settings *settings.Settings  // of this placer: Settings.Module.Self is its number
	Seed     uint64              // of all random numbers
	Epoch    uint64              // of this incarnation; higher than that of any before
	Hash     ids.Hash            // numbers the hosts; nil: ids.FNV
	Durable  bool                // emit Persist for what must survive a restart
	Decide   moduledriver.Decide // takes the module's place in tests; nil: the module
}

// Core is one placer. It is not safe for concurrent use.
type Core struct {
	settings    *settings.Settings
	rng         *rand.Rand
	epoch       uint64 // of this incarnation
	durable     bool
	retryPolicy retrypolicy.Policy
	connPolicy  hostconn.Policy

	now     time.Duration // of the current step
	outputs []Output      // of the current step
	timers  timerqueue.Queue[*timer]
	module  *moduledriver.Driver

	hosts               map[string]*host
	hostsByID           map[forkhead.MachineID]*host
	hostIDs             *ids.Table
	zoneIndexes         map[string]int
	rackIndexes         map[string]int
	labels              labelTable
	firstListAt         time.Duration // when the first list came; 0: not yet
	hostListPersistedAt time.Duration // 0: not yet

	lastTaskID       uint32
	requests         map[forkhead.TaskID]*placementRequest   // open, or with attempts that are not settled
	canceledRequests map[forkhead.TaskID]*placementRequest   // canceled in this step: the module may not know yet
	attemptsByRef    map[hostproto.Ref]*taskAttempt          // not settled
	liveAttempts     invariant.ServiceAttempts[*taskAttempt] // those that count against the spread
	unknownAttempts  attemptsByTask                          // those of which nobody knows what became
	blockedReplicas  map[uint64]*desiredReplica              // by task key: they wait until its unknown attempts are settled

	projects        map[string]*project
	removedProjects map[string]bool // removed in an earlier incarnation
	replicaCount    int

	submissions         map[string]*submission
	submissionsByKey    map[string]*submission // by Idempotency-Key
	completeSubmissions []*submission          // in the order in which they became complete
	lastSubmission      uint64                 // number of the last one

	status Status // what is counted; Status() fills in the rest
}

// maxModuleRounds bounds how often the module decides within one step. Each round is an offer that could not be sent,
// and those are bounded by the attempts of each request.
const maxModuleRounds = 10_000

// New returns the core of a placer, or an error that names the setting that the module cannot use.
func New(cfg Config) (*Core, error) {
	set := cfg.Settings
	hash := cfg.Hash
	if hash == nil {
		hash = ids.FNV
	}
	module, err := moduledriver.New(set.Module, cfg.Seed, cfg.Decide, maxModuleRounds)
	if err != nil {
		return nil, err
	}
	return &Core{
		settings: set,
		rng:      rand.New(rand.NewPCG(cfg.Seed, cfg.Epoch)),
		epoch:    cfg.Epoch,
		durable:  cfg.Durable,
		retryPolicy: retrypolicy.Policy{
			MinBackoff:       set.Owner.MinBackoff,
			MaxBackoff:       set.Owner.MaxBackoff,
			MigrationBackoff: set.Owner.MigrationBackoff,
			UnsafeBackoff:    set.Module.OwnerBackoff,
			MaxRetryAfter:    set.Module.MaxRetryAfter,
			MaxRequests:      set.Owner.MaxRequests,
		},
		connPolicy: hostconn.Policy{ConnectTimeout: set.HostConnections.ConnectTimeout, MinBackoff: set.HostConnections.MinBackoff, MaxBackoff: set.HostConnections.MaxBackoff},

		module: module,

		hosts:       map[string]*host{},
		hostsByID:   map[forkhead.MachineID]*host{},
		hostIDs:     ids.NewTable(hash),
		zoneIndexes: map[string]int{set.Placers[set.Module.Self].Zone: 0},
		rackIndexes: map[string]int{},
		labels:      labelTable{maxLabels: set.Limits.PlacementConstraints, index: map[string]int{}},

		requests:         map[forkhead.TaskID]*placementRequest{},
		canceledRequests: map[forkhead.TaskID]*placementRequest{},
		attemptsByRef:    map[hostproto.Ref]*taskAttempt{},
		liveAttempts:     invariant.ServiceAttempts[*taskAttempt]{},
		unknownAttempts:  attemptsByTask{},
		blockedReplicas:  map[uint64]*desiredReplica{},

		projects:         map[string]*project{},
		removedProjects:  map[string]bool{},
		submissions:      map[string]*submission{},
		submissionsByKey: map[string]*submission{},

		status: Status{Placer: set.Module.Self, Epoch: cfg.Epoch, Outcomes: map[OutcomeKind]uint64{}, VetoesByRule: map[string]uint64{}},
	}, nil
}

// Step handles the inputs of one moment and the timers that are due by then. It returns the outputs in the order in which
// they are to be executed. A now before the last one counts as the last one: the clock may have been set back.
func (c *Core) Step(now time.Duration, inputs ...Input) []Output {
	starting := c.isStarting()
	c.now, c.outputs = max(now, c.now), nil
	for _, in := range inputs {
		c.handleInput(in)
	}
	requestDeadlines := c.handleDueTimers()
	c.runModule(starting)
	// After the module's own timers of this moment, so that the module of a placer that was stalled can end its requests
	// before they count as left open.
	for _, t := range requestDeadlines {
		c.handleTimer(t)
	}
	c.runModule(false)
	clear(c.canceledRequests)
	return c.outputs
}

// isStarting reports whether no step was later than time 0. Until one is, each step lets the module decide even without
// events, so that it begins to poll.
func (c *Core) isStarting() bool { return c.now == 0 }

// Next returns when the core has to be stepped next even without an input; ok is false if it needn't be.
func (c *Core) Next() (at time.Duration, ok bool) { return c.timers.Next() }

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

// notifyModule queues an event for the module.
func (c *Core) notifyModule(event forkhead.Event) { c.module.Add(event) }

// runModule lets the module decide until it has no events left, and at least once if always is set.
func (c *Core) runModule(always bool) {
	run := c.module.Run
	if always {
		run = c.module.RunAtLeastOnce
	}
	if err := run(c.now, c.execute); errors.Is(err, moduledriver.ErrTooManyRounds) {
		c.reportDefect("the module was asked %d times at one moment", maxModuleRounds)
	}
}

// execute carries out one action of the module, unless it would break an invariant.
func (c *Core) execute(action forkhead.Action) {
	switch action := action.(type) {
	case forkhead.Offer:
		c.executeOffer(action)
	case forkhead.Reject:
		c.finishRequest(action.Task, true, action.RetryAfter)
	case forkhead.Fail:
		c.finishRequest(action.Task, false, 0)
	case forkhead.Withdraw:
		c.withdrawAttempt(action.Task, action.Attempt)
	case forkhead.Stop:
		c.migrateTask(action.Task)
	case forkhead.SetTimer:
		c.addTimer(&timer{at: action.At, kind: timerModule, number: action.Timer})
	case forkhead.Probe:
		c.probeHost(c.hostsByID[action.Machine], action.Machine)
	case forkhead.Gossip:
		c.emit(SendGossip{To: action.To, Data: action.Data})
	case forkhead.Subscribe:
		c.emit(Subscribe{})
	case forkhead.Log:
		c.log("%s", action.Message)
	}
}

func (c *Core) emit(o Output) { c.outputs = append(c.outputs, o) }

func (c *Core) log(format string, args ...any) {
	c.emit(Log{Text: fmt.Sprintf(format, args...)})
}

// reportDefect counts and logs something that this program should never do.
func (c *Core) reportDefect(format string, args ...any) {
	c.status.Defects++
	c.emit(Log{Defect: true, Text: fmt.Sprintf(format, args...)})
}

// reportVeto counts and logs an action of the module that would have broken an invariant.
func (c *Core) reportVeto(v *invariant.Violation, format string, args ...any) {
	c.status.Vetoes++
	c.status.VetoesByRule[v.Rule.String()]++
	c.reportDefect("veto: %s: %v", fmt.Sprintf(format, args...), v)
}
