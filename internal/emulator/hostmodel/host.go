// Package hostmodel emulates a host without its sockets: it takes offers, starts and runs tasks, and fails on command. It
// takes the place of real hosts in tests, in the chaos test and where the service is tried out. It is pure: frames and time
// come in, frames go out; its shell is emulator/host.
//
//	config.go    what a host is and how it behaves
//	host.go      the host and its inputs
//	sessions.go  connections of placers: Hello, the attempts that it has, queries
//	offers.go    the queue of offers and the decision about each; overload of a host that warms up
//	tasks.go     starts, running tasks and their notes, ends
//	timing.go    what the host does by itself as time passes
//	faults.go    failures on command
package hostmodel

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"forkhead/internal/protocol/hostproto"
)

// ConnID identifies a connection at this host. Its shell chooses the numbers.
type ConnID uint64

// Output is what a host does on a connection.
type Output struct {
	Conn  ConnID
	Frame hostproto.Frame // nil: close the connection
}

// Bounds of what a host keeps.
const (
	maxOutcomes = 8192    // attempts that are over and whose end is still known
	maxDeferred = 100_000 // inputs during a pause
)

// Host is one incarnation of a host. After a crash it does nothing more; a further incarnation is a new Host. It is for one
// goroutine at a time. Times are those of the caller's clock and never go back.
type Host struct {
	cfg     Config
	epoch   uint64
	started time.Duration // 0: long ago
	rng     *rand.Rand
	now     time.Duration
	out     []Output // of the present input

	conns        map[ConnID]*session
	sessions     map[uint16]*session // the established session of each placer
	placerEpochs map[uint16]uint64   // the latest incarnation of each placer

	tasks             map[hostproto.Ref]*task // queued, starting and running
	queue             []*task                 // not decided; the first is decided at decisionAt
	decisionAt        time.Duration
	starting          []*task                           // accepted; the first MaxStarting have begun
	outcomes          map[hostproto.Ref]hostproto.Frame // attempts that are over, each with its Refused or Ended
	outcomeOrder      []hostproto.Ref                   // the latest last
	outcomesForgotten bool                              // there were more than maxOutcomes
	cachedPrograms    []uint64                          // services without a task whose program is cached, the latest last
	recentOffers      []time.Duration                   // within the slow start's window

	draining      bool
	dead          bool
	overloaded    bool
	crashPoint    CrashPoint
	pausedUntil   time.Duration
	deferred      []func() // inputs during the pause
	slowFactor    float64  // counts until slowUntil
	slowUntil     time.Duration
	rejectUntil   map[string]time.Duration // by class
	suppressUntil map[string]time.Duration // by class
	hung          bool
}

// session is a connection of a placer.
type session struct {
	id          ConnID
	established bool   // a Hello was accepted; the fields below are set
	placer      uint16 // number
	conn        uint32 // number within the placer's incarnation
}

// task is an attempt that is not over.
type task struct {
	ref           hostproto.Ref
	placer        uint16
	spec          hostproto.Spec
	phase         hostproto.Phase
	offerDeadline time.Duration // an answer later than this is of no use
	startedAt     time.Duration // when its start began
	readyAt       time.Duration // when its start is done; 0: it has not begun
	endsAt        time.Duration // 0: unknown
	nextNoteAt    time.Duration // 0: never
	usageBias     float64       // added to the fraction that it uses
}

func (t *task) cores() float64  { return float64(t.spec.Cores) / 1000 }
func (t *task) memory() float64 { return float64(t.spec.Memory) / 1024 } // GiB

// New begins an incarnation of a host. epoch is higher than that of any before; warmingUp
// means that the host has just come up. The seed, with the epoch, determines what is drawn.
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

// Config returns the configuration.
func (h *Host) Config() Config { return h.cfg }

// Epoch returns the number of this incarnation.
func (h *Host) Epoch() uint64 { return h.epoch }

// Started returns when this incarnation began, or 0 if long ago.
func (h *Host) Started() time.Duration { return h.started }

// Dead reports whether this incarnation is over.
func (h *Host) Dead() bool { return h.dead }

// Overloaded reports whether the host crashed from too many offers while it was warming up.
func (h *Host) Overloaded() bool { return h.overloaded }

// Draining reports whether the host drains.
func (h *Host) Draining() bool { return h.draining }

// Available returns the cores and the GiB of memory that no accepted task has requested. With overcommitment they may be
// below 0. The sums are taken in one order, so that their last bits are the same in every run.
func (h *Host) Available() (cores, memory float64) {
	cores, memory = h.cfg.Cores, h.cfg.Memory
	for _, t := range h.sortedTasks() {
		if t.phase != hostproto.PhaseQueued {
			cores, memory = cores-t.cores(), memory-t.memory()
		}
	}
	return cores, memory
}

// BoundCount returns the number of accepted tasks that are not over.
func (h *Host) BoundCount() int {
	n := 0
	for _, t := range h.tasks {
		if t.phase != hostproto.PhaseQueued {
			n++
		}
	}
	return n
}

// BoundSpecs returns the accepted tasks that are not over, in the order of their attempts.
func (h *Host) BoundSpecs() []hostproto.Spec {
	var specs []hostproto.Spec
	for _, t := range h.sortedTasks() {
		if t.phase != hostproto.PhaseQueued {
			specs = append(specs, t.spec)
		}
	}
	return specs
}

// sortedTasks returns the tasks in the order of their attempts.
func (h *Host) sortedTasks() []*task {
	tasks := slices.Collect(maps.Values(h.tasks))
	slices.SortFunc(tasks, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.ref.Epoch, b.ref.Epoch), cmp.Compare(a.ref.Task, b.ref.Task),
			cmp.Compare(a.ref.Attempt, b.ref.Attempt), cmp.Compare(a.placer, b.placer))
	})
	return tasks
}

// ConnectionOpened notifies the host of a new connection and returns what it does.
func (h *Host) ConnectionOpened(now time.Duration, id ConnID) []Output {
	return h.handle(now, func() { h.conns[id] = &session{id: id} })
}

// ConnectionClosed notifies the host that a connection is closed and returns what it does.
func (h *Host) ConnectionClosed(now time.Duration, id ConnID) []Output {
	return h.handle(now, func() { h.endSession(id) })
}

// ReceiveFrame gives the host a frame of a connection and returns what it does. Frames of unknown connections are dropped.
func (h *Host) ReceiveFrame(now time.Duration, id ConnID, f hostproto.Frame) []Output {
	return h.handle(now, func() {
		if s := h.conns[id]; s != nil {
			h.handleFrame(s, f)
		}
	})
}

// ReceiveMalformed notifies the host that what came on a connection could not be read, and returns what it does: it closes
// the connection with the reason.
func (h *Host) ReceiveMalformed(now time.Duration, id ConnID, reason string) []Output {
	return h.handle(now, func() {
		if s := h.conns[id]; s != nil {
			h.sendBye(s, reason)
		}
	})
}

// handle lets the host do what is due, the input, and what is due after it. During a pause the input waits for its end;
// more than maxDeferred are lost.
func (h *Host) handle(now time.Duration, input func()) []Output {
	h.out = nil
	if h.dead || h.hung {
		return nil
	}
	h.advance(now)
	if h.now < h.pausedUntil {
		if len(h.deferred) < maxDeferred {
			h.deferred = append(h.deferred, input)
		}
		return h.out
	}
	input()
	h.advance(now)
	return h.out
}
