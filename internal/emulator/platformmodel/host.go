package platformmodel

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"forkhead/internal/protocol/platform"
)

// Limits of the state of a host.
const (
	maxHostTasks          = 4096 // limit of running tasks
	maxUnacknowledgedEnds = 4096 // limit of task ends that no placer has acknowledged; the oldest are dropped
)

// HostConfig configures the behavior of a host.
type HostConfig struct {
	Cores, Memory float64       // capacity for all tasks of the host; memory in the platform's unit
	AnswerTime    Range         // time to decide one offer; offers are decided one after another
	MaxQueued     int           // limit of offers that wait for their decision; further offers are rejected
	RunTime       Range         // run time of a task that is not released
	NoteInterval  time.Duration // time between two notes on a running task; 0: no notes
	IdleTimeout   time.Duration // time after which a connection without messages is closed; 0: never

	// For SlowStartDuration after its start, a host takes SlowStartFactor times as long to answer. In this time it
	// crashes if it receives more than SlowStartMaxOffers offers within SlowStartWindow. If SlowStartMaxOffers is 0, it
	// never crashes.
	SlowStartDuration  time.Duration
	SlowStartFactor    float64
	SlowStartWindow    time.Duration
	SlowStartMaxOffers int
}

func (c *HostConfig) validate() error {
	switch {
	case !(c.Cores > 0) || !(c.Memory > 0):
		return fmt.Errorf("got %g cores and memory %g, want both above 0", c.Cores, c.Memory)
	case !c.AnswerTime.valid() || !c.RunTime.valid():
		return fmt.Errorf("got AnswerTime %v and RunTime %v, want 0 <= Min <= Max", c.AnswerTime, c.RunTime)
	case c.MaxQueued < 1:
		return fmt.Errorf("MaxQueued is %d, want at least 1", c.MaxQueued)
	case c.NoteInterval < 0 || c.IdleTimeout < 0 || c.SlowStartDuration < 0 || c.SlowStartWindow < 0 || c.SlowStartMaxOffers < 0:
		return errors.New("NoteInterval, IdleTimeout or a setting of the slow start is below 0")
	}
	return nil
}

// Host emulates one incarnation of a host. It is not safe for concurrent use.
type Host struct {
	actionQueue
	cfg     HostConfig
	name    string
	started time.Duration // time at which the incarnation started; 0: long ago
	rng     *rand.Rand
	now     time.Duration
	crashed bool

	conns          map[ConnID]*hostConnection
	queue          []*offer // offers without a decision; the first is decided at decisionAt
	decisionAt     time.Duration
	recentOffers   []time.Duration      // times of the offers within SlowStartWindow
	runningTasks   map[string]*hostTask // running tasks by ref
	unacknowledged []unacknowledgedEnd  // task ends that no placer has acknowledged, oldest first
}

// hostConnection is a connection from a placer.
type hostConnection struct {
	id       ConnID
	placer   int
	lines    platform.LineSplitter
	lastUsed time.Duration
}

// unacknowledgedEnd is the end of a task that its placer has not acknowledged. It is sent again on each connection that
// the placer opens.
type unacknowledgedEnd struct {
	placer int
	ref    string
	line   []byte
}

// NewHost returns an incarnation of a host. If cold is true it starts now and is in its slow start; otherwise it has
// been up for long. The seed determines all random draws.
func NewHost(cfg HostConfig, name string, seed uint64, now time.Duration, cold bool) *Host {
	h := &Host{
		cfg: cfg, name: name, rng: rand.New(rand.NewPCG(seed, 1)), now: now, decisionAt: never,
		conns: map[ConnID]*hostConnection{}, runningTasks: map[string]*hostTask{},
	}
	if cold {
		h.started = now
	}
	return h
}

// Crashed reports whether the host has crashed from too many offers in its slow start. A crashed host ignores all
// inputs.
func (h *Host) Crashed() bool { return h.crashed }

// Started returns the time at which the incarnation started, or 0 if that was long ago.
func (h *Host) Started() time.Duration { return h.started }

// Running returns the refs of the running tasks in sorted order.
func (h *Host) Running() []string { return slices.Sorted(maps.Keys(h.runningTasks)) }

// Available returns the cores and the memory that are not taken by running tasks.
func (h *Host) Available() (cores, memory float64) {
	cores, memory = h.cfg.Cores, h.cfg.Memory
	for _, t := range h.sortedTasks() {
		cores, memory = cores-t.size.Cores, memory-t.size.Memory
	}
	return cores, memory
}

// ConnectionOpened handles a new connection from a placer. Task ends that the placer has not acknowledged are sent on
// it.
func (h *Host) ConnectionOpened(now time.Duration, conn ConnID, placer int) []Action {
	return h.handle(now, func() {
		h.conns[conn] = &hostConnection{id: conn, placer: placer, lastUsed: now}
		for _, r := range h.unacknowledged {
			if r.placer == placer {
				h.add(Send{Conn: conn, Data: r.line})
			}
		}
	})
}

// ConnectionClosed drops the unanswered offers of a connection.
func (h *Host) ConnectionClosed(now time.Duration, conn ConnID, _ bool) []Action {
	return h.handle(now, func() { h.forgetConnection(conn) })
}

// Received handles bytes from a placer. It closes the connection if a message cannot be decoded.
func (h *Host) Received(now time.Duration, conn ConnID, data []byte) []Action {
	return h.handle(now, func() {
		c := h.conns[conn]
		if c == nil {
			return
		}
		c.lastUsed = now
		err := feedMessages(&c.lines, data, func(m *platform.Message) { h.handleMessage(c, m) })
		if err != nil && h.conns[conn] != nil {
			h.closeConnection(c)
		}
	})
}

// CloseIdleConnections closes the connections without undecided offers.
func (h *Host) CloseIdleConnections(now time.Duration) []Action {
	return h.handle(now, func() {
		for _, c := range h.sortedConnections() {
			if !h.hasQueuedOffer(c) {
				h.closeConnection(c)
			}
		}
	})
}

// Step handles the timers that are due.
func (h *Host) Step(now time.Duration) []Action { return h.handle(now, func() {}) }

// Next returns the time by which Step must be called.
func (h *Host) Next() time.Duration {
	if h.crashed {
		return never
	}
	next := h.decisionAt
	for _, t := range h.runningTasks {
		next = earliest(next, t.endsAt, t.nextNoteAt)
	}
	if h.cfg.IdleTimeout > 0 {
		for _, c := range h.conns {
			next = min(next, c.lastUsed+h.cfg.IdleTimeout)
		}
	}
	return next
}

// handle handles the timers that are due, then the input, and returns the actions. A crashed host ignores both.
func (h *Host) handle(now time.Duration, input func()) []Action {
	if h.crashed {
		return nil
	}
	h.now = now
	h.decideDue()
	h.advanceTasks()
	h.closeIdle()
	input()
	return h.takeActions()
}

func (h *Host) handleMessage(c *hostConnection, m *platform.Message) {
	switch m.Type {
	case platform.TypeProbe:
		h.sendMessage(c.id, platform.TypeProbeResult, m.Ref, platform.CauseHealthy, h.loadReport())
	case platform.TypeRequest:
		h.receiveOffer(c, m)
	case platform.TypeRelease:
		h.receiveRelease(c, m.Ref)
	case platform.TypeAck:
		h.unacknowledged = slices.DeleteFunc(h.unacknowledged, func(r unacknowledgedEnd) bool { return r.ref == m.Ref && r.placer == c.placer })
	}
}

// receiveRelease withdraws an undecided offer, or ends a running task. If no task runs under the ref, the release is
// acknowledged.
func (h *Host) receiveRelease(c *hostConnection, ref string) {
	h.queue = slices.DeleteFunc(h.queue, func(o *offer) bool { return o.ref == ref })
	h.scheduleDecision()
	t := h.runningTasks[ref]
	if t == nil {
		h.sendMessage(c.id, platform.TypeAck, ref, platform.NoCause)
		return
	}
	delete(h.runningTasks, ref)
	h.sendMessage(c.id, platform.TypeRelease, ref, platform.CauseMigrated, h.loadReport())
}

// loadReport returns the host's load as a field of a message.
func (h *Host) loadReport() platform.Field {
	cores, memory := h.Available()
	return platform.TextField(platform.FieldLoad, fmt.Sprintf("%s:%g;%s:%g;%s:%d",
		platform.LoadAvailableCores, cores, platform.LoadAvailableMemory, memory, platform.LoadQueue, len(h.queue)))
}

// connectionFor returns the connection for messages on a task: the connection of its offer if that is open, otherwise
// any open connection of its placer, or nil if there is none.
func (h *Host) connectionFor(t *hostTask) *hostConnection {
	if c := h.conns[t.conn]; c != nil {
		return c
	}
	for _, c := range h.sortedConnections() {
		if c.placer == t.placer {
			return c
		}
	}
	return nil
}

func (h *Host) sortedConnections() []*hostConnection {
	return slices.SortedFunc(maps.Values(h.conns), func(a, b *hostConnection) int { return cmp.Compare(a.id, b.id) })
}

// closeIdle closes the connections that have been unused for IdleTimeout. A connection with undecided offers stays
// open.
func (h *Host) closeIdle() {
	if h.cfg.IdleTimeout == 0 {
		return
	}
	for _, c := range h.sortedConnections() {
		if h.now < c.lastUsed+h.cfg.IdleTimeout {
			continue
		}
		if h.hasQueuedOffer(c) {
			c.lastUsed = h.now
			continue
		}
		h.closeConnection(c)
	}
}

// hasQueuedOffer reports whether an offer of the connection has no decision yet.
func (h *Host) hasQueuedOffer(c *hostConnection) bool {
	return slices.ContainsFunc(h.queue, func(o *offer) bool { return o.conn == c.id })
}

func (h *Host) closeConnection(c *hostConnection) {
	h.add(Close{c.id})
	h.forgetConnection(c.id)
}

func (h *Host) forgetConnection(conn ConnID) {
	delete(h.conns, conn)
	h.queue = slices.DeleteFunc(h.queue, func(o *offer) bool { return o.conn == conn })
	h.scheduleDecision()
}
