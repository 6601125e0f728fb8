package platform

import (
	"log/slog"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
	"forkhead/internal/scheduler/invariant"
	"forkhead/internal/scheduler/moduledriver"
	"forkhead/internal/scheduler/timerqueue"
)

// Core is the state of one placer. Times are those of the clock that Step is given.
type Core struct {
	config   Config
	settings *forkhead.Settings
	module   *moduledriver.Driver

	now         time.Duration // of the current step
	outputs     []Output      // of the current step
	started     bool          // the first step has been made
	timers      timerqueue.Queue[timer]
	reconcileAt time.Duration
	shutdown    shutdown

	lastTask          forkhead.TaskID
	requests          map[forkhead.TaskID]*request
	requestsByRef     map[requestRef]*request
	unanswered        int                                     // how many requests are open
	attemptsByService invariant.ServiceAttempts[*taskAttempt] // those that are live
	possibleOrphans   []possibleOrphan                        // of the current step
	finished          []*request                              // of the current step: they may be removed at its end
	abandoned         recent[attemptKey]                      // attempts whose outcome is no longer awaited, though they may run
	reportedEnds      recent[reportedEnd]                     // ends of tasks that are not known here, or not any more

	owners      map[OwnerID]*ownerConnection
	undelivered []undeliveredMessage // oldest first

	hosts          map[forkhead.MachineID]*host
	sortedHosts    []*host // by id; nil: to be sorted again
	unlistedHosts  int     // how many are not in the endpoint list
	listSequence   uint64  // of the last event of the endpoint list
	connections    map[ConnectionID]*hostConnection
	halfClosed     []*hostConnection // those of connections that are half-closed, oldest first
	lastConnection ConnectionID
	lastProbe      uint64
}

// New returns a core, or an error that names the setting that the module cannot use. The initial list is applied in the
// first step.
func New(config Config) (*Core, error) {
	if config.ProtectedOwnerConnections == 0 {
		config.ProtectedOwnerConnections = config.MaxOwnerConnections
	}
	if config.MaxConnections == 0 {
		config.MaxConnections = config.MaxOwnerConnections + config.MaxHostConnections
	}
	// What ends a step is that no timer of the module is due in the step that sets it.
	module, err := moduledriver.New(config.Settings, config.Seed, config.Decide, moduledriver.NoRoundLimit)
	if err != nil {
		return nil, err
	}
	return &Core{
		config:            config,
		settings:          &config.Settings,
		module:            module,
		requests:          map[forkhead.TaskID]*request{},
		requestsByRef:     map[requestRef]*request{},
		attemptsByService: invariant.ServiceAttempts[*taskAttempt]{},
		abandoned:         newRecent[attemptKey](maxRemembered),
		reportedEnds:      newRecent[reportedEnd](maxRemembered),
		owners:            map[OwnerID]*ownerConnection{},
		hosts:             map[forkhead.MachineID]*host{},
		connections:       map[ConnectionID]*hostConnection{},
	}, nil
}

// Next is when the core is to be stepped if no input comes before.
func (c *Core) Next() time.Duration {
	if at, ok := c.timers.Next(); ok {
		return min(at, c.reconcileAt)
	}
	return c.reconcileAt
}

// Step handles the inputs of one moment in their order, then the timers that are due, and returns the outputs, which are
// to be executed in their order. now must not go back from one step to the next.
func (c *Core) Step(now time.Duration, inputs ...Input) []Output {
	c.now, c.outputs = now, nil
	if !c.started {
		c.started = true
		c.loadInitialList()
	}
	for _, input := range inputs {
		c.handle(input)
	}
	c.fireTimers()
	if now >= c.reconcileAt {
		c.reconcileAt = now + reconcileInterval
		c.reconcile()
	}
	c.runModule()
	c.stopPossibleOrphans()
	c.forgetFinished()
	return c.outputs
}

func (c *Core) handle(input Input) {
	switch input := input.(type) {
	case OwnerConnected:
		c.ownerConnected(input.Owner)
	case OwnerData:
		c.receiveFromOwner(input)
	case OwnerDisconnected:
		c.ownerDisconnected(input.Owner)
	case HostConnected:
		c.hostConnected(input.Connection)
	case DialFailed:
		c.dialFailed(input)
	case HostData:
		c.receiveFromHost(input)
	case HostDisconnected:
		if conn := c.connections[input.Connection]; conn != nil {
			c.connectionLost(conn)
		}
	case WatchEventReceived:
		c.handleWatchEvent(input)
	case GossipReceived:
		c.notifyModule(forkhead.GossipReceived{From: input.From, Data: input.Data})
	case ShutdownRequested:
		c.shutdown.request(c.now)
	}
}

// timer is one of the module, or the time by which attempts of a request must have an outcome.
type timer struct {
	kind timerKind
	id   uint64 // of the module's timer, or of the request
}

type timerKind uint8

const (
	moduleTimer timerKind = iota
	// deadlineTimer is for the deadline of a request and for the timeout of one of its attempts: handleDeadline finds out by
	// the clock which of them has come, as a late step may meet both at once.
	deadlineTimer
)

func (c *Core) addDeadline(at time.Duration, task forkhead.TaskID) {
	c.timers.Add(at, timer{kind: deadlineTimer, id: uint64(task)})
}

func (c *Core) fireTimers() {
	for t := range c.timers.Due(c.now) {
		switch t.kind {
		case deadlineTimer:
			c.handleDeadline(forkhead.TaskID(t.id))
		case moduleTimer:
			c.notifyModule(forkhead.TimerFired{Timer: t.id})
		}
	}
}

// notifyModule queues an event for the module, which decides on it before the step ends.
func (c *Core) notifyModule(event forkhead.Event) { c.module.Add(event) }

// emit adds an output to the current step.
func (c *Core) emit(output Output) { c.outputs = append(c.outputs, output) }

// runModule lets the module decide on its events until it has none left: some actions cause events at once.
func (c *Core) runModule() {
	if err := c.module.Run(c.now, c.execute); err != nil {
		c.logViolation(messageModuleInterrupted, errorAttr(err))
	}
}

func (c *Core) execute(action forkhead.Action) {
	switch action := action.(type) {
	case forkhead.Offer:
		c.executeOffer(action)
	case forkhead.Reject:
		c.executeReject(action)
	case forkhead.Fail:
		c.failRequest(action.Task)
	case forkhead.Withdraw:
		c.executeWithdraw(action)
	case forkhead.Stop:
		c.executeStop(action.Task)
	case forkhead.SetTimer:
		// A microsecond ahead at least: guards against a step that never ends.
		c.timers.Add(max(action.At, c.now+time.Microsecond), timer{kind: moduleTimer, id: action.Timer})
	case forkhead.Probe:
		c.executeProbe(action.Machine)
	case forkhead.Gossip:
		c.sendGossip(action)
	case forkhead.Subscribe: // the endpoint list is always watched
	case forkhead.Log:
		c.logInfo(action.Message)
	}
}

func (c *Core) sendGossip(action forkhead.Gossip) {
	if len(action.Data) > platform.MaxDatagramSize {
		c.logViolation(messageOversizedGossip, slog.Int(keyBytes, len(action.Data)))
		return
	}
	c.emit(SendGossip{To: action.To, Data: action.Data})
}
