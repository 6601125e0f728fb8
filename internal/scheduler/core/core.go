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

// Config configures a Core.
type Config struct {
	Settings *settings.Settings  // Settings.Module.Self is the number of this placer
	Seed     uint64              // determines all random numbers, together with Epoch
	Epoch    uint64              // epoch of this incarnation, higher than that of any earlier one
	Hash     ids.Hash            // derives host numbers from names; nil: ids.FNV
	Durable  bool                // emit Persist for state that must survive a restart
	Decide   moduledriver.Decide // replaces the module in tests; nil: the module
}

// Core is one placer. It is not safe for concurrent use.
type Core struct {
	settings    *settings.Settings
	rng         *rand.Rand
	epoch       uint64 // epoch of this incarnation
	durable     bool
	retryPolicy retrypolicy.Policy
	connPolicy  hostconn.Policy

	now     time.Duration // time of the current step
	outputs []Output      // outputs of the current step
	timers  timerqueue.Queue[*timer]
	module  *moduledriver.Driver

	hosts               map[string]*host
	hostsByID           map[forkhead.MachineID]*host
	hostIDs             *ids.Table
	zoneIndexes         map[string]int
	rackIndexes         map[string]int
	labels              labelTable
	firstListAt         time.Duration // when the first endpoint list was received; 0: none has been
	hostListPersistedAt time.Duration // when an endpoint list was last persisted; 0: none has been

	lastTaskID       uint32
	requests         map[forkhead.TaskID]*placementRequest   // unanswered requests and those with unsettled attempts
	canceledRequests map[forkhead.TaskID]*placementRequest   // requests canceled in this step; the module may still act on them
	attemptsByRef    map[hostproto.Ref]*taskAttempt          // attempts that are not settled
	liveAttempts     invariant.ServiceAttempts[*taskAttempt] // attempts that count against the spread limits
	unknownAttempts  attemptsByTask                          // attempts whose result is not known
	blockedReplicas  map[uint64]*desiredReplica              // replicas that wait for their unknown attempts, by task key

	projects        map[string]*project
	removedProjects map[string]bool // names of the projects that were removed in an earlier incarnation
	replicaCount    int

	submissions          map[string]*submission
	submissionsByKey     map[string]*submission // by Idempotency-Key
	completeSubmissions  []*submission          // in the order of completion
	lastSubmissionNumber uint64                 // number of this incarnation's last submission

	status Status // only the counters; Status() fills in the other fields
}

// maxModuleRounds bounds how often the module decides within one step. Each offer that could not be sent causes a
// further round, and the number of such offers is bounded by the attempts that a request may have.
const maxModuleRounds = 10_000

// New returns the core of a placer. An error names the setting that the module rejects.
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

// Step handles the inputs that arrived at a time and the timers that are due by then. It returns the outputs in the
// order in which the shell must execute them. If the clock was set back and the parameter now is before the time of the
// last step, the time of the last step is used instead.
func (c *Core) Step(now time.Duration, inputs ...Input) []Output {
	starting := c.isStarting()
	c.now, c.outputs = max(now, c.now), nil
	for _, in := range inputs {
		c.handleInput(in)
	}
	requestDeadlines := c.handleDueTimers()
	c.runModule(starting)
	// Request deadlines are handled after the module's own timers, so that after a stall of the placer the module can
	// end its requests before they count as left open.
	for _, t := range requestDeadlines {
		c.handleTimer(t)
	}
	c.runModule(false)
	clear(c.canceledRequests)
	return c.outputs
}

// isStarting reports whether every step so far was at time 0. Until the first step at a later time, each step runs the
// module even without events, so that the module starts to poll the endpoint list.
func (c *Core) isStarting() bool { return c.now == 0 }

// Next returns the time at which the core has to be stepped even if there is no input. ok is false if no timer is set.
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
		c.notifyModule(forkhead.GossipReceived{From: in.From, Data: in.Data})
	}
}

// notifyModule queues an event for the module.
func (c *Core) notifyModule(event forkhead.Event) { c.module.Add(event) }

// runModule runs the module until no event is queued for it, and at least once if the parameter always is true.
func (c *Core) runModule(always bool) {
	run := c.module.Run
	if always {
		run = c.module.RunAtLeastOnce
	}
	if err := run(c.now, c.execute); errors.Is(err, moduledriver.ErrTooManyRounds) {
		c.reportDefect("the module was asked %d times at one moment", maxModuleRounds)
	}
}

// execute executes one action of the module, unless that would break an invariant.
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

// reportDefect counts and logs a bug in this program that it detected itself.
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
