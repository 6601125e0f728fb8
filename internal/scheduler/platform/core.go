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

// Core holds the state of one placer. All its times are on the clock whose readings the caller passes to Step.
type Core struct {
	config   Config
	settings *forkhead.Settings
	module   *moduledriver.Driver

	now         time.Duration // time of the current step
	outputs     []Output      // outputs of the current step
	started     bool          // the first step has begun
	timers      timerqueue.Queue[timer]
	reconcileAt time.Duration
	shutdown    shutdown

	lastTask          forkhead.TaskID
	requests          map[forkhead.TaskID]*request
	requestsByRef     map[requestRef]*request
	openBytes         int                                     // sum of the sizes of the open requests
	unanswered        int                                     // number of open requests
	takenOver         int                                     // number of requests that hand-overs have added
	attemptsByService invariant.ServiceAttempts[*taskAttempt] // live attempts
	unconfirmedEnds   int                                     // number of attempts with an unconfirmed end
	lastStopNumber    uint64
	newlyUnconfirmed  []*taskAttempt           // ended unconfirmed in the current step; stopped at its end
	finished          []*request               // requests to check for removal at the end of the step
	abandoned         recent[attemptKey]       // attempts no longer awaited whose task may run
	reportedEnds      recent[reportedEnd]      // ends of tasks, also under unknown refs
	deliveredReleases recent[deliveredRelease] // releases that were sent on another connection than that of the request

	owners      map[OwnerID]*ownerConnection
	undelivered []undeliveredMessage // oldest first
	closed      closedRequests
	rejections  rejectionLog

	hosts          map[forkhead.MachineID]*host
	sortedHosts    []*host              // hosts ordered by id; nil: hostsInOrder must rebuild it
	occupants      map[string]occupancy // by address in the endpoint list
	superseded     []*host              // hosts that the list which is being applied has superseded
	listNumber     uint64               // number of the list that is being applied
	unlistedHosts  int                  // number of hosts that the endpoint list does not have yet
	listSequence   uint64               // sequence number of the last watch event
	connections    map[ConnectionID]*hostConnection
	halfClosed     []*hostConnection // half-closed members of connections, oldest first
	lastConnection ConnectionID
	lastProbe      uint64
}

// New returns a core, or an error that names the setting that the module cannot use. The first step applies the initial
// endpoint list.
func New(config Config) (*Core, error) {
	if config.ProtectedOwnerConnections == 0 {
		config.ProtectedOwnerConnections = config.MaxOwnerConnections
	}
	if config.MaxConnections == 0 {
		config.MaxConnections = config.MaxOwnerConnections + config.MaxHostConnections
	}
	// The module's rounds need no limit: a timer that the module sets is never due in the same step, so every step
	// ends.
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
		deliveredReleases: newRecent[deliveredRelease](maxRemembered),
		owners:            map[OwnerID]*ownerConnection{},
		closed:            newClosedRequests(),
		hosts:             map[forkhead.MachineID]*host{},
		occupants:         map[string]occupancy{},
		connections:       map[ConnectionID]*hostConnection{},
	}, nil
}

// Next returns the time at which Step must be called if no input comes before.
func (c *Core) Next() time.Duration {
	if at, ok := c.timers.Next(); ok {
		return min(at, c.reconcileAt)
	}
	return c.reconcileAt
}

// Step handles the inputs in order, then the timers that are due at the time now, and returns the outputs, which the
// caller must execute in order. The parameter now must not decrease from one call to the next.
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
	c.stopNewlyUnconfirmed()
	c.removeFinished()
	return c.outputs
}

func (c *Core) handle(input Input) {
	switch input := input.(type) {
	case OwnerConnected:
		c.ownerConnected(input)
	case OwnerData:
		c.receiveFromOwner(input)
	case OwnerDisconnected:
		c.ownerDisconnected(input)
	case HostConnected:
		c.hostConnected(input.Connection)
	case DialFailed:
		c.dialFailed(input)
	case HostData:
		c.receiveFromHost(input)
	case HostDisconnected:
		c.hostDisconnected(input)
	case WatchEventReceived:
		c.handleWatchEvent(input)
	case GossipReceived:
		c.notifyModule(forkhead.GossipReceived{From: input.From, Data: input.Data})
	case ShutdownRequested:
		c.shutdown.request(c.now)
	}
}

// timer is a timer of the module, or the time by which the attempts of a request must have an outcome.
type timer struct {
	kind timerKind
	id   uint64 // id of the timer in the module, or of the request
}

type timerKind uint8

const (
	moduleTimer timerKind = iota
	// deadlineTimer marks the deadline of a request or the timeout of one of its attempts. handleDeadline compares the
	// request's deadline with the clock to tell them apart, as a late step may reach both at once.
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

// notifyModule queues an event for the module, which handles it before the step ends.
func (c *Core) notifyModule(event forkhead.Event) { c.module.Add(event) }

// emit adds an output to the current step.
func (c *Core) emit(output Output) { c.outputs = append(c.outputs, output) }

// runModule runs the module until its queue of events is empty. Executing its actions may add events to the queue.
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
		c.failRequest(action.Task, reasonPolicy)
	case forkhead.Withdraw:
		c.executeWithdraw(action)
	case forkhead.Stop:
		c.executeStop(action.Task)
	case forkhead.SetTimer:
		// The timer is set at least 1 µs ahead. A timer that is due at once would run the module again in this step,
		// which might never end.
		c.timers.Add(max(action.At, c.now+time.Microsecond), timer{kind: moduleTimer, id: action.Timer})
	case forkhead.Probe:
		c.executeProbe(action.Machine)
	case forkhead.Gossip:
		c.sendGossip(action)
	case forkhead.Subscribe: // nothing to do: the endpoint list is always watched
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
