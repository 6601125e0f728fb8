// Package hostmodel is a host without its sockets: it takes offers, starts and runs tasks, and
// fails on command. It stands in for real hosts in tests, in badday and in try. It is pure: the
// shell of it carries frames and time.
package hostmodel

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/hostsession"
)

// Config is what a host is.
type Config struct {
	Name, MachineType, Zone, Rack string
	Labels                        map[string]string

	Cores, Memory                     float64 // Memory in GiB
	CoresOvercommit, MemoryOvercommit float64 // accepts asks up to these multiples

	DecisionTime        time.Duration // one offer is looked at for so long
	MaxQueued           int           // offers that may wait to be looked at
	MaxStarting         int           // tasks that start at a time
	StartTime           time.Duration // a start where the service's program is present
	UncachedStartFactor float64       // times that, where it is not
	MaxCachedPrograms   int           // programs kept after the last task of a service

	SlowStartDuration    time.Duration // a fresh host is warm after this
	SlowStartInitialRate float64       // the share of its pace that it begins with
	SlowStartWindow      time.Duration
	SlowStartMaxOffers   float64 // offers that a cold host bears in a window
	SlowStartOverload    float64 // offered more than this multiple of its pace in a window it falls over

	MeanUsage    float64       // mean share of what is asked that tasks use
	UsageSwing   float64       // and how far it swings
	NoteInterval time.Duration // between notes of a task
	Preemption   bool          // lower priorities make room for higher ones
}

// DefaultConfig fills in what a plain host does.
func DefaultConfig(name, kind, zone, rack string, cores, memory float64) Config {
	return Config{
		Name: name, MachineType: kind, Zone: zone, Rack: rack, Cores: cores, Memory: memory, CoresOvercommit: 1, MemoryOvercommit: 1,
		DecisionTime: 2 * time.Millisecond, MaxQueued: 50, MaxStarting: 4, StartTime: 20 * time.Millisecond, UncachedStartFactor: 5, MaxCachedPrograms: 8,
		SlowStartDuration: 6 * time.Second, SlowStartInitialRate: 0.25, SlowStartWindow: time.Second, SlowStartMaxOffers: 24, SlowStartOverload: 4,
		MeanUsage: 0.7, UsageSwing: 0.15, NoteInterval: time.Second, Preemption: true,
	}
}

// ConnID names a connection at this host.
type ConnID uint64

// Output is what a host does.
type Output struct {
	Conn  ConnID
	Frame hostproto.Frame // nil: close the connection
}

// CrashPoint is a moment at which a host can be told to die.
type CrashPoint uint8

// The points.
const (
	NoCrash        CrashPoint = iota
	DuringDecision            // while it looks at an offer
	DuringStart               // while a task starts
	AfterBind                 // once a task runs, before it says so
)

// mostOver bounds what is remembered of attempts that are over.
const mostOver = 8192

// Host is one life of a host. After Dead it does nothing more; a new life is a new Host.
type Host struct {
	cfg     Config
	epoch   uint64
	started time.Duration
	rng     *rand.Rand
	now     time.Duration
	out     []Output

	conns map[ConnID]*peer
	peers map[uint16]*peer // the greeted connection of each placer
	life  map[uint16]uint64

	line    []*task // offers not looked at; the first is being looked at
	lookEnd time.Duration
	starts  []*task // accepted; the first cfg.Starts of them are starting
	tasks   map[hostproto.Ref]*task
	over    map[hostproto.Ref]hostproto.Frame
	overs   []hostproto.Ref
	lost    bool     // what is over has been forgotten
	kept    []uint64 // services whose program is kept, the latest last
	offers  []time.Duration

	drains   bool
	dead     bool
	fell     bool // it was pushed over: it stays down
	dieAt    CrashPoint
	pausedTo time.Duration
	queued   []func()
	slow     float64
	slowTo   time.Duration
	refuses  map[string]time.Duration // class: until when it is refused
	mutes    map[string]time.Duration // class: until when its starts do not come
	hang     bool
}

type peer struct {
	id     ConnID
	placer uint16
	epoch  uint64
	conn   uint32
	ready  bool
}

type task struct {
	ref    hostproto.Ref
	placer uint16
	spec   hostproto.Spec
	phase  hostproto.Phase
	until  time.Duration // an answer later than this is of no use
	begun  time.Duration // of its start
	ready  time.Duration // when the start is done; 0: not begun
	endsAt time.Duration // 0: it runs on
	nextAt time.Duration // of its next notes
	bias   float64       // of its use
}

// New begins a life of a host. epoch is higher than that of any life before; cold says that it
// has just come up.
func New(cfg Config, epoch, seed uint64, now time.Duration, cold bool) *Host {
	h := &Host{
		cfg: cfg, epoch: epoch, rng: rand.New(rand.NewPCG(seed, epoch)), now: now,
		conns: map[ConnID]*peer{}, peers: map[uint16]*peer{}, life: map[uint16]uint64{},
		tasks: map[hostproto.Ref]*task{}, over: map[hostproto.Ref]hostproto.Frame{},
		refuses: map[string]time.Duration{}, mutes: map[string]time.Duration{}, slow: 1,
	}
	if cold {
		h.started = now
	}
	return h
}

// Config returns what the host is.
func (h *Host) Config() Config { return h.cfg }

// Epoch is the number of this life.
func (h *Host) Epoch() uint64 { return h.epoch }

// Started is when this life began, or 0 if long ago.
func (h *Host) Started() time.Duration { return h.started }

// Dead says whether this life is over.
func (h *Host) Dead() bool { return h.dead }

// Overloaded says whether the host fell over from what it was offered while cold.
func (h *Host) Overloaded() bool { return h.fell }

// Draining says whether the host drains.
func (h *Host) Draining() bool { return h.drains }

// Available returns the cores and memory that nothing has asked for.
func (h *Host) Available() (cores, memory float64) {
	cores, memory = h.cfg.Cores, h.cfg.Memory
	for _, t := range h.tasks {
		if t.phase != hostproto.PhaseQueued {
			cores, memory = cores-t.cores(), memory-t.memory()
		}
	}
	return cores, memory
}

// BoundCount counts the tasks that the host holds.
func (h *Host) BoundCount() int {
	n := 0
	for _, t := range h.tasks {
		if t.phase != hostproto.PhaseQueued {
			n++
		}
	}
	return n
}

// BoundSpecs lists the tasks that the host holds.
func (h *Host) BoundSpecs() []hostproto.Spec {
	var out []hostproto.Spec
	for _, t := range h.sorted() {
		if t.phase != hostproto.PhaseQueued {
			out = append(out, t.spec)
		}
	}
	return out
}

func (t *task) cores() float64  { return float64(t.spec.Cores) / 1000 }
func (t *task) memory() float64 { return float64(t.spec.Memory) / 1024 }

// Step moves the host's time on and returns what it does.
func (h *Host) Step(now time.Duration) []Output {
	h.out = nil
	h.tick(now)
	return h.out
}

// ConnectionOpened takes a new connection.
func (h *Host) ConnectionOpened(now time.Duration, id ConnID) []Output {
	return h.take(now, func() { h.conns[id] = &peer{id: id} })
}

// ConnectionClosed takes the end of a connection.
func (h *Host) ConnectionClosed(now time.Duration, id ConnID) []Output {
	return h.take(now, func() { h.closed(id) })
}

// ReceiveFrame takes a frame that came on a connection.
func (h *Host) ReceiveFrame(now time.Duration, id ConnID, f hostproto.Frame) []Output {
	return h.take(now, func() {
		if p := h.conns[id]; p != nil {
			h.frame(p, f)
		}
	})
}

// ReceiveMalformed takes the news that what came on a connection could not be read.
func (h *Host) ReceiveMalformed(now time.Duration, id ConnID, why string) []Output {
	return h.take(now, func() {
		if p := h.conns[id]; p != nil {
			h.bye(p, why)
		}
	})
}

const mostQueued = 100_000

func (h *Host) take(now time.Duration, do func()) []Output {
	h.out = nil
	if h.dead || h.hang {
		return nil
	}
	h.tick(now)
	if h.now < h.pausedTo {
		if len(h.queued) < mostQueued {
			h.queued = append(h.queued, do)
		}
		return h.out
	}
	do()
	h.tick(now)
	return h.out
}

// ---- Offers.

func (h *Host) offer(p *peer, f hostproto.Offer) {
	if h.state(f.Ref) != hostsession.Absent {
		return // it came before
	}
	h.pressure()
	if h.dead {
		return
	}
	t := &task{ref: f.Ref, placer: p.placer, spec: f.Spec, until: h.now + f.Wait, bias: h.rng.NormFloat64() * h.cfg.UsageSwing / 2}
	if len(h.line) >= h.cfg.MaxQueued {
		h.refuse(t, hostproto.QueueFull)
		return
	}
	h.tasks[t.ref] = t
	h.line = append(h.line, t)
	if len(h.line) == 1 {
		h.lookEnd = h.now + h.lookTime()
	}
}

func (h *Host) lookTime() time.Duration {
	return time.Duration(float64(h.cfg.DecisionTime) * h.slowness())
}

func (h *Host) slowness() float64 {
	if h.now < h.slowTo {
		return h.slow
	}
	return 1
}

// pressure counts offers to a cold host and lets it fall over where they are too many.
func (h *Host) pressure() {
	if !h.cold() {
		return
	}
	h.offers = slices.DeleteFunc(append(h.offers, h.now), func(at time.Duration) bool { return at <= h.now-h.cfg.SlowStartWindow })
	pace := float64(h.cfg.MaxStarting) / h.cfg.StartTime.Seconds() * h.pace()
	bears := max(h.cfg.SlowStartMaxOffers, h.cfg.SlowStartOverload*pace*h.cfg.SlowStartWindow.Seconds())
	if float64(len(h.offers)) > bears {
		h.fell = true
		h.Crash()
	}
}

func (h *Host) cold() bool { return h.started > 0 && h.now < h.started+h.cfg.SlowStartDuration }

// pace is the share of its pace that the host has: it grows evenly until it is warm.
func (h *Host) pace() float64 {
	if !h.cold() {
		return 1
	}
	return h.cfg.SlowStartInitialRate + (1-h.cfg.SlowStartInitialRate)*float64(h.now-h.started)/float64(h.cfg.SlowStartDuration)
}

func (h *Host) refuse(t *task, why hostproto.Reason) {
	f := hostproto.Refused{Ref: t.ref, Reason: why, Report: h.report()}
	_, say := hostsession.Transition(hostsession.Queued, hostsession.Reject)
	h.remember(t, f)
	h.reply(t.placer, t.ref, say, f)
}

// remember notes how an attempt ended, for a placer that asks later.
func (h *Host) remember(t *task, f hostproto.Frame) {
	delete(h.tasks, t.ref)
	h.over[t.ref] = f
	if h.overs = append(h.overs, t.ref); len(h.overs) > mostOver {
		delete(h.over, h.overs[0])
		h.overs = h.overs[1:]
		h.lost = true
	}
}

// looked decides about the offer that has been looked at.
func (h *Host) looked() {
	if h.dies(DuringDecision) {
		return
	}
	t := h.line[0]
	h.line = h.line[1:]
	if len(h.line) > 0 {
		h.lookEnd = h.now + h.lookTime()
	}
	if why := h.judge(t); why != hostproto.NoReason {
		h.refuse(t, why)
		return
	}
	_, say := hostsession.Transition(h.state(t.ref), hostsession.Accept)
	t.phase = hostproto.PhaseStarting
	h.starts = append(h.starts, t)
	h.reply(t.placer, t.ref, say, nil)
	h.begin()
}

func (h *Host) judge(t *task) hostproto.Reason {
	if h.drains || h.now > t.until || h.now < h.refuses[t.spec.Class] {
		return hostproto.Unsuitable
	}
	for _, o := range h.tasks {
		if o != t && o.phase != hostproto.PhaseQueued && o.spec.Key == t.spec.Key {
			return hostproto.Unsuitable // a copy stands
		}
	}
	why := h.room(t)
	if why == hostproto.NoReason || !h.cfg.Preemption || t.spec.Priority == 0 {
		return why
	}
	var out []*task
	cores, memory := h.space()
	for _, o := range h.sorted() {
		if cores >= t.cores() && memory >= t.memory() {
			break
		}
		if o.phase == hostproto.PhaseRunning && o.spec.Priority < t.spec.Priority {
			out = append(out, o)
			cores, memory = cores+o.cores(), memory+o.memory()
		}
	}
	if cores < t.cores() || memory < t.memory() {
		return why
	}
	for _, o := range out {
		h.end(o, hostproto.Preempted)
	}
	return hostproto.NoReason
}

// space is the room up to which asks are accepted.
func (h *Host) space() (cores, memory float64) {
	cores, memory = h.Available()
	return cores + h.cfg.Cores*(h.cfg.CoresOvercommit-1), memory + h.cfg.Memory*(h.cfg.MemoryOvercommit-1)
}

func (h *Host) room(t *task) hostproto.Reason {
	cores, memory := h.space()
	switch {
	case t.cores() > cores+1e-9:
		return hostproto.InsufficientCores
	case t.memory() > memory+1e-9:
		return hostproto.InsufficientMemory
	}
	return hostproto.NoReason
}

// called takes a Withdraw or a Stop by the machine: an offer in line never runs, a start may have
// done something and is ended, not undone, and what runs goes on unless it is stopped.
func (h *Host) called(p *peer, ref hostproto.Ref, in hostsession.Input) {
	t := h.tasks[ref]
	if t != nil && t.placer != p.placer {
		return
	}
	to, say := hostsession.Transition(h.state(ref), in)
	switch {
	case t != nil && to == hostsession.Canceled:
		h.dropLine(func(o *task) bool { return o == t })
		f := hostproto.Ended{Ref: ref, Result: hostproto.Canceled, Report: h.report()}
		h.remember(t, f)
		h.reply(t.placer, ref, say, f)
	case t != nil && to == hostsession.Ended:
		h.end(t, hostproto.Stopped)
	default:
		h.reply(p.placer, ref, say, nil)
	}
}

// ---- Time.

// Next returns when the host has something to do by itself.
func (h *Host) Next() (time.Duration, bool) {
	if h.dead || h.hang {
		return 0, false
	}
	next := time.Duration(math.MaxInt64)
	if len(h.line) > 0 {
		next = min(next, h.lookEnd)
	}
	for _, t := range h.tasks {
		switch t.phase {
		case hostproto.PhaseStarting:
			if t.ready > 0 {
				next = min(next, t.ready)
			}
		case hostproto.PhaseRunning:
			if t.endsAt > 0 {
				next = min(next, t.endsAt)
			}
			if t.nextAt > 0 {
				next = min(next, t.nextAt)
			}
		}
	}
	if len(h.queued) > 0 || h.now < h.pausedTo {
		next = max(next, h.pausedTo)
		if len(h.queued) > 0 {
			next = h.pausedTo
		}
	}
	return next, next != math.MaxInt64
}

// tick does all that is due by now, in the order of its times.
func (h *Host) tick(now time.Duration) {
	for !h.dead && !h.hang {
		if now < h.pausedTo {
			return
		}
		if len(h.queued) > 0 {
			h.now = max(h.now, h.pausedTo)
			queued := h.queued
			h.queued = nil
			for _, do := range queued {
				if !h.dead {
					do()
				}
			}
			continue
		}
		at, ok := h.Next()
		if !ok || at > now {
			break
		}
		h.now = max(h.now, at, h.pausedTo)
		h.due()
	}
	h.now = max(h.now, now)
}

// due does what is due at the present moment.
func (h *Host) due() {
	if len(h.line) > 0 && h.lookEnd <= h.now {
		h.looked()
	}
	for _, t := range h.sorted() {
		if h.dead {
			return
		}
		if h.tasks[t.ref] != t {
			continue
		}
		switch {
		case t.phase == hostproto.PhaseStarting && t.ready > 0 && t.ready <= h.now:
			h.runs(t)
		case t.phase == hostproto.PhaseRunning && t.endsAt > 0 && t.endsAt <= h.now:
			h.end(t, hostproto.Done)
		case t.phase == hostproto.PhaseRunning && t.nextAt > 0 && t.nextAt <= h.now:
			h.notes(t)
		}
	}
}
