// Package standin is a host without its sockets: it takes offers, starts and runs tasks, and
// fails on command. It stands in for real hosts in tests, in badday and in try. It is pure: the
// shell of it carries frames and time.
package standin

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"forkhead/internal/hostproto"
	"forkhead/internal/hostside"
)

// Config is what a host is.
type Config struct {
	Name, Kind, Zone, Rack string
	Labels                 map[string]string

	Cores, Memory             float64 // Memory in GiB
	AcceptCores, AcceptMemory float64 // accepts asks up to these multiples

	Look   time.Duration // one offer is looked at for so long
	Line   int           // offers that may wait to be looked at
	Starts int           // tasks that start at a time
	Start  time.Duration // a start where the service's program is present
	Absent float64       // times that, where it is not
	Keep   int           // programs kept after the last task of a service

	ColdFor    time.Duration // a fresh host is warm after this
	ColdFrom   float64       // the share of its pace that it begins with
	ColdWindow time.Duration
	ColdOffers float64 // offers that a cold host bears in a window
	Multiple   float64 // offered more than this multiple of its pace in a window it falls over

	Use     float64       // mean share of what is asked that tasks use
	Swing   float64       // and how far it swings
	Notes   time.Duration // between notes of a task
	PushOut bool          // lower priorities make room for higher ones
}

// Default fills in what a plain host does.
func Default(name, kind, zone, rack string, cores, memory float64) Config {
	return Config{
		Name: name, Kind: kind, Zone: zone, Rack: rack, Cores: cores, Memory: memory, AcceptCores: 1, AcceptMemory: 1,
		Look: 2 * time.Millisecond, Line: 50, Starts: 4, Start: 20 * time.Millisecond, Absent: 5, Keep: 8,
		ColdFor: 6 * time.Second, ColdFrom: 0.25, ColdWindow: time.Second, ColdOffers: 24, Multiple: 4,
		Use: 0.7, Swing: 0.15, Notes: time.Second, PushOut: true,
	}
}

// ConnID names a connection at this host.
type ConnID uint64

// Output is what a host does.
type Output struct {
	Conn  ConnID
	Frame hostproto.Frame // nil: close the connection
}

// Point is a moment at which a host can be told to die.
type Point uint8

// The points.
const (
	Nowhere   Point = iota
	MidLook         // while it looks at an offer
	MidStart        // while a task starts
	AfterBind       // once a task runs, before it says so
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
	dieAt    Point
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

// Dead says whether this life is over, and Fell whether the host was pushed over.
func (h *Host) Dead() bool { return h.dead }

// Fell says whether the host fell over from what it was offered while cold.
func (h *Host) Fell() bool { return h.fell }

// Drains says whether the host drains.
func (h *Host) Drains() bool { return h.drains }

// Free returns the cores and memory that nothing has asked for.
func (h *Host) Free() (cores, memory float64) {
	cores, memory = h.cfg.Cores, h.cfg.Memory
	for _, t := range h.tasks {
		if t.phase != hostproto.InLine {
			cores, memory = cores-t.cores(), memory-t.memory()
		}
	}
	return cores, memory
}

// Running counts the tasks that the host holds.
func (h *Host) Running() int {
	n := 0
	for _, t := range h.tasks {
		if t.phase != hostproto.InLine {
			n++
		}
	}
	return n
}

// Holding lists the tasks that the host holds.
func (h *Host) Holding() []hostproto.Spec {
	var out []hostproto.Spec
	for _, t := range h.sorted() {
		if t.phase != hostproto.InLine {
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

// Opened takes a new connection.
func (h *Host) Opened(now time.Duration, id ConnID) []Output {
	return h.take(now, func() { h.conns[id] = &peer{id: id} })
}

// Closed takes the end of a connection.
func (h *Host) Closed(now time.Duration, id ConnID) []Output {
	return h.take(now, func() { h.closed(id) })
}

// Frame takes a frame that came on a connection.
func (h *Host) Frame(now time.Duration, id ConnID, f hostproto.Frame) []Output {
	return h.take(now, func() {
		if p := h.conns[id]; p != nil {
			h.frame(p, f)
		}
	})
}

// Bad takes the news that what came on a connection could not be read.
func (h *Host) Bad(now time.Duration, id ConnID, why string) []Output {
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

// ---- Faults.

// Die ends this life at once.
func (h *Host) Die() { h.dead, h.out = true, nil }

// DieAt makes the host die at the next such point.
func (h *Host) DieAt(p Point) { h.dieAt = p }

// Hang makes the host do nothing more, with its connections open.
func (h *Host) Hang() { h.hang = true }

// Pause makes the host stand still for a while.
func (h *Host) Pause(now, d time.Duration) { h.pausedTo = max(h.pausedTo, now+d) }

// Slow makes starts and service take so many times as long for a while.
func (h *Host) Slow(now, d time.Duration, factor float64) { h.slow, h.slowTo = factor, now+d }

// Refuse makes the host turn a class away for a while.
func (h *Host) Refuse(now, d time.Duration, class string) { h.refuses[class] = now + d }

// Mute makes starts of a class not come for a while.
func (h *Host) Mute(now, d time.Duration, class string) { h.mutes[class] = now + d }

// Drain makes the host drain, or no more.
func (h *Host) Drain(now time.Duration, on, sendAway bool) []Output {
	return h.take(now, func() {
		h.drains = on
		for _, p := range h.sortedPeers() {
			h.send(p, hostproto.Drain{On: on})
		}
		if on && sendAway {
			for _, t := range h.sorted() {
				if t.phase == hostproto.Runs {
					h.end(t, hostproto.SentAway)
				}
			}
		}
	})
}

func (h *Host) dies(p Point) bool {
	if h.dieAt == p {
		h.Die()
	}
	return h.dead
}

// ---- Sessions.

func (h *Host) send(p *peer, f hostproto.Frame) {
	h.out = append(h.out, Output{Conn: p.id, Frame: f})
}

// say sends a frame about a task to its placer, if that is connected. If it is not, the placer
// asks when it comes back.
func (h *Host) say(placer uint16, f hostproto.Frame) {
	if p := h.peers[placer]; p != nil {
		h.send(p, f)
	}
}

func (h *Host) bye(p *peer, why string) {
	h.send(p, hostproto.Bye{Text: why})
	h.out = append(h.out, Output{Conn: p.id})
	h.closed(p.id)
}

func (h *Host) closed(id ConnID) {
	p := h.conns[id]
	delete(h.conns, id)
	if p == nil || h.peers[p.placer] != p {
		return
	}
	delete(h.peers, p.placer)
	// Offers that were not looked at never run: their placer learns so when it asks.
	h.dropLine(func(t *task) bool { return t.placer == p.placer })
}

func (h *Host) dropLine(which func(*task) bool) {
	first := len(h.line) > 0 && which(h.line[0])
	h.line = slices.DeleteFunc(h.line, func(t *task) bool {
		if which(t) {
			delete(h.tasks, t.ref)
			return true
		}
		return false
	})
	if first {
		h.lookEnd = h.now + h.lookTime()
	}
}

func (h *Host) frame(p *peer, f hostproto.Frame) {
	if hello, ok := f.(hostproto.Hello); ok {
		h.hello(p, hello)
		return
	}
	if !p.ready {
		h.bye(p, "a frame before Hello")
		return
	}
	switch f := f.(type) {
	case hostproto.Offer:
		h.offer(p, f)
	case hostproto.Withdraw:
		h.called(p, f.Ref, hostside.Withdraw)
	case hostproto.Stop:
		h.called(p, f.Ref, hostside.Stop)
	case hostproto.Probe:
		h.send(p, hostproto.Probed{ID: f.ID, Report: h.report()})
	case hostproto.Query:
		h.query(p, f.Refs)
	case hostproto.Bye:
		h.out = append(h.out, Output{Conn: p.id})
		h.closed(p.id)
	default:
		h.bye(p, "a frame that only hosts send")
	}
}

func (h *Host) hello(p *peer, f hostproto.Hello) {
	switch {
	case f.Version != hostproto.Version:
		h.bye(p, "this host speaks version 1")
		return
	case p.ready:
		h.bye(p, "a second Hello")
		return
	}
	old := h.peers[f.Placer]
	last := hostside.Session{Epoch: h.life[f.Placer]}
	if old != nil {
		last.Conn, last.Open = old.conn, true
	}
	if hostside.Greet(last, f.Epoch, f.Conn) == hostside.TooOld {
		h.bye(p, "a later life or connection of this placer is known")
		return
	}
	if old != nil {
		// Guards against frames that still stand in the buffers of the older connection.
		h.out = append(h.out, Output{Conn: old.id})
		h.closed(old.id)
	}
	p.placer, p.epoch, p.conn, p.ready = f.Placer, f.Epoch, f.Conn, true
	h.peers[f.Placer], h.life[f.Placer] = p, f.Epoch
	var held []hostproto.Held
	for _, t := range h.sorted() {
		if t.placer == f.Placer {
			left := time.Duration(0)
			if t.endsAt > 0 {
				left = max(t.endsAt-h.now, time.Millisecond)
			}
			held = append(held, hostproto.Held{Ref: t.ref, Phase: t.phase, Left: left, Spec: t.spec})
		}
	}
	h.send(p, hostproto.Welcome{
		Version: hostproto.Version, Host: h.cfg.Name, Epoch: h.epoch, Started: h.started, Draining: h.drains, Count: uint32(len(held)),
	})
	for len(held) > 0 {
		n, size := 0, 16
		for n < len(held) && (n == 0 || size+hostproto.SpecSize(&held[n].Spec) < hostproto.MostHeld-1024) {
			size += hostproto.SpecSize(&held[n].Spec)
			n++
		}
		h.send(p, hostproto.Holds{Held: held[:n]})
		held = held[n:]
	}
}

func (h *Host) query(p *peer, refs []hostproto.Ref) {
	for _, ref := range refs {
		if h.lost && h.tasks[ref] == nil && h.over[ref] == nil {
			h.send(p, hostproto.Ended{Ref: ref, Result: hostproto.Forgotten})
			continue
		}
		_, say := hostside.Next(h.state(ref), hostside.Query)
		h.reply(p.placer, ref, say, nil)
	}
}

// state is where the host's machine has an attempt.
func (h *Host) state(ref hostproto.Ref) hostside.State {
	if t := h.tasks[ref]; t != nil {
		return [...]hostside.State{hostside.InLine, hostside.Starting, hostside.Running}[t.phase]
	}
	switch f := h.over[ref].(type) {
	case hostproto.Refused:
		return hostside.Refused
	case hostproto.Ended:
		if f.Result == hostproto.Called {
			return hostside.Called
		}
		return hostside.Ended
	}
	return hostside.Absent
}

// reply sends the frame that the machine says. over is the frame of an attempt that ends now; one
// that had ended is told again as it was.
func (h *Host) reply(placer uint16, ref hostproto.Ref, say hostside.Reply, over hostproto.Frame) {
	switch say {
	case hostside.SayAccepted:
		h.say(placer, hostproto.Accepted{Ref: ref})
	case hostside.SayRunning:
		h.say(placer, hostproto.Running{Ref: ref})
	case hostside.SayRefused, hostside.SayEnded, hostside.SayCalled:
		if over == nil {
			over = h.over[ref]
		}
		if over == nil {
			over = hostproto.Refused{Ref: ref, Reason: hostproto.NotHere}
		}
		h.say(placer, over)
	}
}

func (h *Host) sortedPeers() []*peer {
	out := slices.Collect(maps.Values(h.peers))
	slices.SortFunc(out, func(a, b *peer) int { return cmp.Compare(a.placer, b.placer) })
	return out
}

// sorted returns the tasks in a fixed order: maps have none.
func (h *Host) sorted() []*task {
	out := slices.Collect(maps.Values(h.tasks))
	slices.SortFunc(out, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.ref.Epoch, b.ref.Epoch), cmp.Compare(a.ref.Task, b.ref.Task),
			cmp.Compare(a.ref.Attempt, b.ref.Attempt), cmp.Compare(a.placer, b.placer))
	})
	return out
}

// ---- Offers.

func (h *Host) offer(p *peer, f hostproto.Offer) {
	if h.state(f.Ref) != hostside.Absent {
		return // it came before
	}
	h.pressure()
	if h.dead {
		return
	}
	t := &task{ref: f.Ref, placer: p.placer, spec: f.Spec, until: h.now + f.Wait, bias: h.rng.NormFloat64() * h.cfg.Swing / 2}
	if len(h.line) >= h.cfg.Line {
		h.refuse(t, hostproto.LineFull)
		return
	}
	h.tasks[t.ref] = t
	h.line = append(h.line, t)
	if len(h.line) == 1 {
		h.lookEnd = h.now + h.lookTime()
	}
}

func (h *Host) lookTime() time.Duration { return time.Duration(float64(h.cfg.Look) * h.slowness()) }

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
	h.offers = slices.DeleteFunc(append(h.offers, h.now), func(at time.Duration) bool { return at <= h.now-h.cfg.ColdWindow })
	pace := float64(h.cfg.Starts) / h.cfg.Start.Seconds() * h.pace()
	bears := max(h.cfg.ColdOffers, h.cfg.Multiple*pace*h.cfg.ColdWindow.Seconds())
	if float64(len(h.offers)) > bears {
		h.fell = true
		h.Die()
	}
}

func (h *Host) cold() bool { return h.started > 0 && h.now < h.started+h.cfg.ColdFor }

// pace is the share of its pace that the host has: it grows evenly until it is warm.
func (h *Host) pace() float64 {
	if !h.cold() {
		return 1
	}
	return h.cfg.ColdFrom + (1-h.cfg.ColdFrom)*float64(h.now-h.started)/float64(h.cfg.ColdFor)
}

func (h *Host) refuse(t *task, why hostproto.Reason) {
	f := hostproto.Refused{Ref: t.ref, Reason: why, Report: h.report()}
	_, say := hostside.Next(hostside.InLine, hostside.Decline)
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
	if h.dies(MidLook) {
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
	_, say := hostside.Next(h.state(t.ref), hostside.Accept)
	t.phase = hostproto.Starting
	h.starts = append(h.starts, t)
	h.reply(t.placer, t.ref, say, nil)
	h.begin()
}

func (h *Host) judge(t *task) hostproto.Reason {
	if h.drains || h.now > t.until || h.now < h.refuses[t.spec.Class] {
		return hostproto.NotHere
	}
	for _, o := range h.tasks {
		if o != t && o.phase != hostproto.InLine && o.spec.Key == t.spec.Key {
			return hostproto.NotHere // a copy stands
		}
	}
	why := h.room(t)
	if why == hostproto.NoReason || !h.cfg.PushOut || t.spec.Priority == 0 {
		return why
	}
	var out []*task
	cores, memory := h.space()
	for _, o := range h.sorted() {
		if cores >= t.cores() && memory >= t.memory() {
			break
		}
		if o.phase == hostproto.Runs && o.spec.Priority < t.spec.Priority {
			out = append(out, o)
			cores, memory = cores+o.cores(), memory+o.memory()
		}
	}
	if cores < t.cores() || memory < t.memory() {
		return why
	}
	for _, o := range out {
		h.end(o, hostproto.PushedOut)
	}
	return hostproto.NoReason
}

// space is the room up to which asks are accepted.
func (h *Host) space() (cores, memory float64) {
	cores, memory = h.Free()
	return cores + h.cfg.Cores*(h.cfg.AcceptCores-1), memory + h.cfg.Memory*(h.cfg.AcceptMemory-1)
}

func (h *Host) room(t *task) hostproto.Reason {
	cores, memory := h.space()
	switch {
	case t.cores() > cores+1e-9:
		return hostproto.NoCores
	case t.memory() > memory+1e-9:
		return hostproto.NoMemory
	}
	return hostproto.NoReason
}

// called takes a Withdraw or a Stop by the machine: an offer in line never runs, a start may have
// done something and is ended, not undone, and what runs goes on unless it is stopped.
func (h *Host) called(p *peer, ref hostproto.Ref, in hostside.Input) {
	t := h.tasks[ref]
	if t != nil && t.placer != p.placer {
		return
	}
	to, say := hostside.Next(h.state(ref), in)
	switch {
	case t != nil && to == hostside.Called:
		h.dropLine(func(o *task) bool { return o == t })
		f := hostproto.Ended{Ref: ref, Result: hostproto.Called, Report: h.report()}
		h.remember(t, f)
		h.reply(t.placer, ref, say, f)
	case t != nil && to == hostside.Ended:
		h.end(t, hostproto.Stopped)
	default:
		h.reply(p.placer, ref, say, nil)
	}
}

// ---- Starts and runs.

// begin lets as many tasks start as may.
func (h *Host) begin() {
	for i, t := range h.starts {
		if i >= h.cfg.Starts {
			return
		}
		if t.ready > 0 {
			continue
		}
		if h.dies(MidStart) {
			return
		}
		work := float64(h.cfg.Start)
		if !h.present(t.spec.Service) {
			work *= h.cfg.Absent
		}
		t.begun = h.now
		t.ready = h.now + max(time.Duration(work*h.slowness()/h.pace()), 1)
		if until := h.mutes[t.spec.Class]; h.now < until {
			t.ready = math.MaxInt64
		}
	}
}

// present says whether the host has a service's program.
func (h *Host) present(service uint64) bool {
	for _, t := range h.tasks {
		if t.phase == hostproto.Runs && t.spec.Service == service {
			return true
		}
	}
	return slices.Contains(h.kept, service)
}

func (h *Host) runs(t *task) {
	_, say := hostside.Next(h.state(t.ref), hostside.Start)
	h.starts = slices.DeleteFunc(h.starts, func(o *task) bool { return o == t })
	t.phase = hostproto.Runs
	if t.spec.Life > 0 {
		t.endsAt = h.now + t.spec.Life
	}
	if h.cfg.Notes > 0 {
		t.nextAt = h.now + time.Duration((0.5+h.rng.Float64())*float64(h.cfg.Notes))
	}
	if h.dies(AfterBind) {
		return
	}
	h.reply(t.placer, t.ref, say, nil)
	h.begin()
}

// end ends a task that was accepted.
func (h *Host) end(t *task, how hostproto.Result) {
	h.starts = slices.DeleteFunc(h.starts, func(o *task) bool { return o == t })
	f := hostproto.Ended{Ref: t.ref, Result: how}
	_, say := hostside.Next(h.state(t.ref), hostside.Finish)
	h.remember(t, f)
	if !h.present(t.spec.Service) && h.cfg.Keep > 0 {
		h.kept = append(h.kept, t.spec.Service)
		if len(h.kept) > h.cfg.Keep {
			h.kept = h.kept[1:]
		}
	}
	f.Report = h.report()
	h.reply(t.placer, t.ref, say, f)
	h.begin()
}

// use is what a running task uses now of cores and memory.
func (h *Host) use(t *task) (cores, memory float64) {
	swing := h.cfg.Swing * math.Sin(2*math.Pi*(h.now.Seconds()/20+float64(t.spec.Key%97)/97))
	share := max(h.cfg.Use+t.bias+swing, 0.05)
	return t.cores() * share, t.memory() * min(share, 1)
}

func (h *Host) used() (cores, memory float64) {
	for _, t := range h.tasks {
		if t.phase == hostproto.Runs {
			c, m := h.use(t)
			cores, memory = cores+c, memory+m
		}
	}
	return cores, memory
}

func (h *Host) notes(t *task) {
	t.nextAt = h.now + h.cfg.Notes
	cores, memory := h.use(t)
	allCores, allMemory := h.used()
	served := min(1, h.cfg.Cores/max(allCores, 1e-9)) / h.slowness()
	for kind, amount := range []float64{2: cores, 3: memory, 4: served, 5: allMemory / h.cfg.Memory} {
		if kind >= 2 {
			h.say(t.placer, hostproto.Note{Ref: t.ref, Kind: uint8(kind), Amount: float32(amount)})
		}
	}
	if allMemory > h.cfg.Memory {
		h.evict()
	}
}

// evict ends the task of the lowest priority that started last.
func (h *Host) evict() {
	var worst *task
	for _, t := range h.sorted() {
		if t.phase == hostproto.Runs && (worst == nil || t.spec.Priority < worst.spec.Priority ||
			t.spec.Priority == worst.spec.Priority && t.begun > worst.begun) {
			worst = t
		}
	}
	if worst != nil {
		h.end(worst, hostproto.Evicted)
	}
}

func (h *Host) report() *hostproto.Report {
	cores, memory := h.Free()
	used, _ := h.used()
	return &hostproto.Report{
		Cores: float32(cores), Memory: float32(memory), Queue: float32(len(h.line) + len(h.starts)), Util: float32(used / h.cfg.Cores),
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
		case hostproto.Starting:
			if t.ready > 0 {
				next = min(next, t.ready)
			}
		case hostproto.Runs:
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
		case t.phase == hostproto.Starting && t.ready > 0 && t.ready <= h.now:
			h.runs(t)
		case t.phase == hostproto.Runs && t.endsAt > 0 && t.endsAt <= h.now:
			h.end(t, hostproto.Done)
		case t.phase == hostproto.Runs && t.nextAt > 0 && t.nextAt <= h.now:
			h.notes(t)
		}
	}
}
