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

// Bounds of what a host keeps.
const (
	maxHostTasks          = 4096 // tasks that run
	maxUnacknowledgedEnds = 4096 // ends that no placer has acknowledged; the oldest are forgotten
)

// HostConfig says how a host behaves.
type HostConfig struct {
	Cores, Memory float64       // that its tasks may request together; memory in the platform's unit
	AnswerTime    Range         // of one offer; offers are decided one after another
	MaxQueued     int           // offers that may wait for their decision; further ones are rejected
	RunTime       Range         // of a task that nobody releases
	NoteInterval  time.Duration // between notes of a running task; 0: no notes
	IdleTimeout   time.Duration // after which a connection without messages is closed; 0: never

	// A host that has just started answers SlowStartFactor times as slowly for SlowStartDuration. With more than
	// SlowStartMaxOffers offers within SlowStartWindow it crashes; 0: it can take any number.
	SlowStartDuration  time.Duration
	SlowStartFactor    float64
	SlowStartWindow    time.Duration
	SlowStartMaxOffers int
}

func (c *HostConfig) validate() error {
	switch {
	case !(c.Cores > 0) || !(c.Memory > 0):
		return errors.New("cores and memory must be above 0")
	case !c.AnswerTime.valid() || !c.RunTime.valid():
		return errors.New("a range of times is empty or begins below 0")
	case c.MaxQueued < 1:
		return errors.New("a host must be able to queue an offer")
	case c.NoteInterval < 0 || c.IdleTimeout < 0 || c.SlowStartDuration < 0 || c.SlowStartWindow < 0 || c.SlowStartMaxOffers < 0:
		return errors.New("a time or a number is below 0")
	}
	return nil
}

// Host is one incarnation of a host. It is for one goroutine at a time.
type Host struct {
	actionQueue
	cfg     HostConfig
	name    string
	started time.Duration // 0: long ago
	rng     *rand.Rand
	now     time.Duration
	crashed bool

	conns          map[ConnID]*hostConnection
	queue          []*offer // not decided; the first is decided at decisionAt
	decisionAt     time.Duration
	recentOffers   []time.Duration      // within the slow start's window
	runningTasks   map[string]*hostTask // that run, by ref
	unacknowledged []unacknowledgedEnd  // ends that no placer has acknowledged, the latest last
}

// hostConnection is a connection of a placer.
type hostConnection struct {
	id       ConnID
	placer   int
	lines    platform.LineSplitter
	lastUsed time.Duration
}

// unacknowledgedEnd is the end of a task that its placer has not acknowledged. It is sent again on each connection that its placer
// opens.
type unacknowledgedEnd struct {
	placer int
	ref    string
	line   []byte
}

// NewHost starts an incarnation of a host. cold says that it has just started; else it has run for long. The seed
// determines what is drawn.
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

// Crashed reports whether the host has crashed from too many offers after its start; it does nothing more.
func (h *Host) Crashed() bool { return h.crashed }

// Started returns when the incarnation started, or 0 if long ago.
func (h *Host) Started() time.Duration { return h.started }

// Running returns the refs of the tasks that run, sorted.
func (h *Host) Running() []string { return slices.Sorted(maps.Keys(h.runningTasks)) }

// Available returns the cores and the memory that no running task has requested.
func (h *Host) Available() (cores, memory float64) {
	cores, memory = h.cfg.Cores, h.cfg.Memory
	for _, t := range h.sortedTasks() {
		cores, memory = cores-t.size.Cores, memory-t.size.Memory
	}
	return cores, memory
}

// ConnectionOpened takes a connection of a placer. Releases that were not acknowledged are sent on it.
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

// ConnectionClosed gives up the offers of a connection that are not answered.
func (h *Host) ConnectionClosed(now time.Duration, conn ConnID, _ bool) []Action {
	return h.handle(now, func() { h.forgetConnection(conn) })
}

// Received takes bytes of a placer. What cannot be read closes the connection.
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

// Step does what is due.
func (h *Host) Step(now time.Duration) []Action { return h.handle(now, func() {}) }

// Next returns when Step is to be called at the latest.
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

// handle lets the host do what is due, and then the input.
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

// receiveRelease withdraws an offer that is not decided, or ends a task that runs.
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

// loadReport is the report of the host's load.
func (h *Host) loadReport() platform.Field {
	cores, memory := h.Available()
	return platform.TextField(platform.FieldLoad, fmt.Sprintf("%s:%g;%s:%g;%s:%d",
		platform.LoadAvailableCores, cores, platform.LoadAvailableMemory, memory, platform.LoadQueue, len(h.queue)))
}

// connectionFor returns the connection to use for a task: its own, else any open one of its placer, else nil.
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

// closeIdle closes the connections on which nothing has come or gone for too long.
func (h *Host) closeIdle() {
	if h.cfg.IdleTimeout == 0 {
		return
	}
	for _, c := range h.sortedConnections() {
		if h.now < c.lastUsed+h.cfg.IdleTimeout {
			continue
		}
		if slices.ContainsFunc(h.queue, func(o *offer) bool { return o.conn == c.id }) {
			c.lastUsed = h.now
			continue
		}
		h.closeConnection(c)
	}
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
