// Package hostmodel is a model of a host without sockets: it accepts and rejects offers, starts and runs tasks, and
// fails when a test injects a fault. It replaces real hosts in tests, in the chaos test and in trial runs of the
// service. It is pure: it gets frames and the current time as inputs and returns frames as outputs. Package
// emulator/host connects it to sockets.
//
//	config.go    the configuration of a host
//	host.go      the host and its inputs
//	sessions.go  connections of placers: Hello, the attempts that the host has, queries
//	offers.go    the queue of offers, the decision on each offer, and overload of a host that warms up
//	tasks.go     starts of tasks, running tasks and their notes, ends of tasks
//	timing.go    timed actions
//	faults.go    injected faults
package hostmodel

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"forkhead/internal/protocol/hostproto"
)

// ConnID identifies a connection of a host. The caller of ConnectionOpened chooses it.
type ConnID uint64

// Output is an action of a host on a connection: it sends a frame or closes the connection.
type Output struct {
	Conn  ConnID
	Frame hostproto.Frame // the frame to send; nil: close the connection
}

// Limits of the state that a host keeps.
const (
	maxOutcomes       = 8192    // maximum number of kept outcomes of ended attempts; the oldest are forgotten
	maxDeferredInputs = 100_000 // maximum number of inputs deferred during a pause; further inputs are lost
)

// Host is one incarnation of a host. After a crash it ignores all calls; the next incarnation is a new Host. Host is not
// safe for concurrent use. All times are those of the caller's clock, which never goes back.
type Host struct {
	cfg     Config
	epoch   uint64
	started time.Duration // when the incarnation began; 0: long ago
	rng     *rand.Rand
	now     time.Duration
	out     []Output // outputs of the current input

	conns        map[ConnID]*session
	sessions     map[uint16]*session // the established session of each placer
	placerEpochs map[uint16]uint64   // the epoch of the latest known incarnation of each placer

	tasks             map[hostproto.Ref]*task           // attempts that are queued, starting or running
	queue             []*task                           // offers that wait for their decision
	decisionAt        time.Duration                     // when the first offer of the queue is decided
	starting          []*task                           // accepted tasks that do not run yet; the first MaxStarting are being started
	outcomes          map[hostproto.Ref]hostproto.Frame // Refused or Ended of each attempt that is over
	outcomeOrder      []hostproto.Ref                   // keys of outcomes, oldest first
	outcomesForgotten bool                              // some outcomes were forgotten, as there were more than maxOutcomes
	cachedPrograms    []uint64                          // services whose program stays cached, oldest first
	recentOffers      []time.Duration                   // times of the offers within the last SlowStartWindow of the slow start

	draining      bool
	dead          bool
	overloaded    bool
	crashPoint    CrashPoint
	pausedUntil   time.Duration
	deferred      []func() // inputs received during the pause
	slowFactor    float64  // factor of SlowDown, until slowUntil
	slowUntil     time.Duration
	rejectUntil   map[string]time.Duration // by class, until when its offers are rejected; see RejectClass
	suppressUntil map[string]time.Duration // by class, until when its starts are suppressed; see SuppressStarts
	hung          bool
}

// session is a connection of a placer.
type session struct {
	id          ConnID
	established bool   // a Hello was accepted, and the fields below are set
	placer      uint16 // number of the placer
	conn        uint32 // number of the connection within the placer's incarnation
}

// task is an attempt that is queued, starting or running.
type task struct {
	ref           hostproto.Ref
	placer        uint16
	spec          hostproto.Spec
	phase         hostproto.Phase
	offerDeadline time.Duration // the placer no longer waits for an answer after this time
	startedAt     time.Duration // when the start began
	readyAt       time.Duration // when the start is done; 0: the start has not begun
	endsAt        time.Duration // when the task ends; 0: unknown
	nextNoteAt    time.Duration // when the next notes are sent; 0: never
	usageBias     float64       // added to MeanUsage for this task
}

func (t *task) cores() float64  { return float64(t.spec.Cores) / 1000 }
func (t *task) memory() float64 { return float64(t.spec.Memory) / 1024 } // GiB

// New returns a new incarnation of a host. epoch must be higher than in all earlier incarnations. warmingUp means that
// the host has just come up. The random numbers of the host depend on seed and epoch only.
func New(cfg Config, epoch, seed uint64, now time.Duration, warmingUp bool) *Host {
	h := &Host{
		cfg: cfg, epoch: epoch, rng: rand.New(rand.NewPCG(seed, epoch)), now: now,
		conns: map[ConnID]*session{}, sessions: map[uint16]*session{}, placerEpochs: map[uint16]uint64{},
		tasks: map[hostproto.Ref]*task{}, outcomes: map[hostproto.Ref]hostproto.Frame{},
		rejectUntil: map[string]time.Duration{}, suppressUntil: map[string]time.Duration{}, slowFactor: 1,
	}
	if warmingUp {
		h.started = now
	}
	return h
}

// Config returns the configuration of the host.
func (h *Host) Config() Config { return h.cfg }

// Epoch returns the epoch of this incarnation.
func (h *Host) Epoch() uint64 { return h.epoch }

// Started returns when this incarnation began, or 0 if it began long ago.
func (h *Host) Started() time.Duration { return h.started }

// Dead reports whether this incarnation has crashed.
func (h *Host) Dead() bool { return h.dead }

// Overloaded reports whether the host crashed because of too many offers while it was warming up.
func (h *Host) Overloaded() bool { return h.overloaded }

// Draining reports whether the host is draining.
func (h *Host) Draining() bool { return h.draining }

// Available returns the cores and the GiB of memory that are not requested by accepted tasks. With overcommitment, they
// may be below 0. The sums are computed in a fixed order, so that they have the same rounding errors in every run.
func (h *Host) Available() (cores, memory float64) {
	cores, memory = h.cfg.Cores, h.cfg.Memory
	for _, t := range h.sortedTasks() {
		if t.phase != hostproto.PhaseQueued {
			cores, memory = cores-t.cores(), memory-t.memory()
		}
	}
	return cores, memory
}

// BoundCount returns the number of starting and running tasks.
func (h *Host) BoundCount() int {
	n := 0
	for _, t := range h.tasks {
		if t.phase != hostproto.PhaseQueued {
			n++
		}
	}
	return n
}

// BoundSpecs returns the specifications of the starting and running tasks, in the order of sortedTasks.
func (h *Host) BoundSpecs() []hostproto.Spec {
	var specs []hostproto.Spec
	for _, t := range h.sortedTasks() {
		if t.phase != hostproto.PhaseQueued {
			specs = append(specs, t.spec)
		}
	}
	return specs
}

// sortedTasks returns the tasks sorted by the epoch, the task and the attempt of their refs, then by placer.
func (h *Host) sortedTasks() []*task {
	tasks := slices.Collect(maps.Values(h.tasks))
	slices.SortFunc(tasks, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.ref.Epoch, b.ref.Epoch), cmp.Compare(a.ref.Task, b.ref.Task),
			cmp.Compare(a.ref.Attempt, b.ref.Attempt), cmp.Compare(a.placer, b.placer))
	})
	return tasks
}

// ConnectionOpened notifies the host of a new connection and returns the host's outputs.
func (h *Host) ConnectionOpened(now time.Duration, id ConnID) []Output {
	return h.handle(now, func() { h.conns[id] = &session{id: id} })
}

// ConnectionClosed notifies the host that a connection is closed and returns the host's outputs.
func (h *Host) ConnectionClosed(now time.Duration, id ConnID) []Output {
	return h.handle(now, func() { h.endSession(id) })
}

// ReceiveFrame handles a frame received on a connection and returns the host's outputs. Frames of unknown connections
// are dropped.
func (h *Host) ReceiveFrame(now time.Duration, id ConnID, f hostproto.Frame) []Output {
	return h.handle(now, func() {
		if s := h.conns[id]; s != nil {
			h.handleFrame(s, f)
		}
	})
}

// ReceiveMalformed notifies the host that a frame received on a connection is malformed, and returns the host's
// outputs: it sends the reason and closes the connection.
func (h *Host) ReceiveMalformed(now time.Duration, id ConnID, reason string) []Output {
	return h.handle(now, func() {
		if s := h.conns[id]; s != nil {
			h.sendBye(s, reason)
		}
	})
}

// handle executes the due actions, the input, and the actions that are due after the input, and returns the outputs.
// During a pause it defers the input, or drops the input if maxDeferredInputs are deferred.
func (h *Host) handle(now time.Duration, input func()) []Output {
	h.out = nil
	if h.dead || h.hung {
		return nil
	}
	h.advance(now)
	if h.now < h.pausedUntil {
		if len(h.deferred) < maxDeferredInputs {
			h.deferred = append(h.deferred, input)
		}
		return h.out
	}
	input()
	h.advance(now)
	return h.out
}
