package modelcheck

import (
	"fmt"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/parse/settings"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/scheduler/hostsession"
	"forkhead/internal/scheduler/ids"
)

// ReplayResult is the result of the replay of a trace through the placer's real core.
type ReplayResult struct {
	Steps      []ReplayStep `json:"steps"`
	Vetoes     uint64       `json:"vetoes"` // invariant violations that the core prevented
	Offers     int          `json:"offers"` // written to hosts
	Starts     int          `json:"starts"` // offers that hosts accepted
	Divergence string       `json:"parted"` // the step at which the core does not follow the trace; "": none
	BoundTwice bool         `json:"twice"`  // at some moment one task was bound by two hosts, or twice by one
}

// ReplayStep is one step of a trace with its effects: what the core and the hosts sent and logged.
type ReplayStep struct {
	Action  string   `json:"what"`
	Effects []string `json:"did"`
}

// replayer plays a trace: the core is the program's own, hosts go by package hostside, and frames
// move only when the trace says so. The module is silent but for what the trace has it do.
type replayer struct {
	cfg     Config
	set     *settings.Settings
	core    *core.Core
	now     time.Duration
	life    uint64
	pending []forkhead.Action
	tasks   []rTask
	hosts   []*rHost
	out     *ReplayResult
	did     []string
}

type rTask struct {
	asked bool
	ask   forkhead.TaskID // the present one
	made  map[hostproto.Ref]bool
}

type rHost struct {
	name    string
	up      bool
	epoch   uint64
	drains  bool
	dialled uint32 // a connection that the core wants made; 0: none
	streams []*rStream
	session *rStream
	last    hostsession.Session
	jobs    map[hostproto.Ref]*rJob
}

type rStream struct {
	num      uint32
	life     uint64
	pOpen    bool
	hOpen    bool
	dead     bool
	toHost   []hostproto.Frame
	toPlacer []hostproto.Frame
}

type rJob struct {
	state hostsession.State
	task  int
	spec  hostproto.Spec
}

const replaySettings = `(forkhead (placer (zone a) (http "127.0.0.1:1") (tell "127.0.0.1:2"))
  (kind k (cores 100) (memory 100GiB))
  (class safe (effect safe) (wait 1h) (patience 20h))
  (class keyed (effect keyed) (window 10m) (wait 1h) (patience 20h))
  (class unsafe (effect unsafe) (wait 1h) (patience 20h))
  (attempts 2) (bound running) (drain-grace 1s) (owner (wait 30m) (first 1ms) (most 1ms) (soon 1ms))
  (links (connect 1m) (first 1ms) (most 1ms) (lost-after 1h) (probe 1m)))`

// Replay plays a trace through the placer's real core.
func Replay(t *Trace) (*ReplayResult, error) {
	set, err := settings.Parse("replay", []byte(replaySettings))
	if err != nil {
		return nil, err
	}
	r := &replayer{cfg: t.Config, set: set.For(0), now: time.Hour, out: &ReplayResult{}, tasks: make([]rTask, t.Config.Tasks)}
	for i := range r.tasks {
		r.tasks[i].made = map[hostproto.Ref]bool{}
	}
	for i := range t.Config.Hosts {
		r.hosts = append(r.hosts, &rHost{name: fmt.Sprintf("h%d", i), up: true, epoch: 1, jobs: map[hostproto.Ref]*rJob{}})
	}
	if err := r.begin(); err != nil {
		return nil, err
	}
	for hi := range r.hosts { // the search begins with all connections up
		for _, what := range []string{"placer connects to host %d", "host %d reads Hello", "placer reads Welcome of host %d"} {
			if err := r.step(fmt.Sprintf(what, hi)); err != nil {
				return nil, err
			}
		}
	}
	r.out.Steps = nil
	for _, what := range t.Violation.Trace {
		if err := r.step(what); err != nil {
			// The core parts from the trace: a planted bug is not in it.
			r.out.Divergence = fmt.Sprintf("step %d, %q: %v", len(r.out.Steps), what, err)
			break
		}
	}
	r.out.Vetoes = r.core.Status().Vetoes
	return r.out, nil
}

// begin starts a life of the placer.
func (r *replayer) begin() error {
	r.life++
	c, err := core.New(core.Config{Settings: r.set, Seed: 1, Epoch: r.life, Decide: r.decide})
	if err != nil {
		return err
	}
	r.core = c
	r.feed()
	r.feed(r.listing())
	return nil
}

// decide stands in the module's place.
func (r *replayer) decide(_ time.Duration, events []forkhead.Event) []forkhead.Action {
	for _, ev := range events {
		if r.core == nil {
			break
		}
		if a, ok := ev.(forkhead.PlacementRequest); ok {
			for i := range r.tasks {
				if a.Task.Service == servicespec.ServiceKey("", project(i), "s") {
					r.tasks[i].ask = a.Task.ID
				}
			}
		}
	}
	out := r.pending
	r.pending = nil
	return out
}

func project(task int) string { return fmt.Sprintf("t%d", task) }

func (r *replayer) listing() core.HostListReceived {
	l := core.HostListReceived{Mode: forkhead.ListSnapshot}
	for _, h := range r.hosts {
		e := core.HostEntry{Name: h.name, Address: h.name, Kind: "k", Zone: "a", Rack: h.name, State: forkhead.Ready, FreeCores: 100, FreeMemory: 100}
		if h.drains {
			e.State = forkhead.Draining
		}
		l.Hosts = append(l.Hosts, e)
	}
	return l
}

// feed gives the core inputs and keeps what it says, on its way.
func (r *replayer) feed(in ...core.Input) {
	for _, o := range r.core.Step(r.now, in...) {
		switch o := o.(type) {
		case core.DialHost:
			r.host(o.Host).dialled = o.Conn
		case core.SendToHost:
			if _, probe := o.Frame.(hostproto.Probe); probe {
				continue
			}
			if s := r.host(o.Host).stream(o.Conn, r.life); s != nil && s.pOpen {
				s.toHost = append(s.toHost, o.Frame)
				r.did = append(r.did, "placer sends "+frameName(o.Frame)+" to "+o.Host)
			}
			if f, ok := o.Frame.(hostproto.Offer); ok {
				r.out.Offers++
				for i := range r.tasks {
					if f.Spec.Service == servicespec.ServiceKey("", project(i), "s") {
						r.tasks[i].made[f.Ref] = true
					}
				}
			}
		case core.CloseHostConnection:
			if s := r.host(o.Host).stream(o.Conn, r.life); s != nil {
				s.pOpen = false
			}
		case core.Log:
			r.did = append(r.did, "placer logs: "+o.Text)
		}
	}
}

// act has the module do something: an event makes the core ask it.
func (r *replayer) act(a ...forkhead.Action) {
	r.pending = a
	r.feed(core.GossipReceived{From: 0, Data: []byte{0}})
}

func (r *replayer) host(name string) *rHost {
	for _, h := range r.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (h *rHost) stream(num uint32, life uint64) *rStream {
	for _, s := range h.streams {
		if s.num == num && s.life == life {
			return s
		}
	}
	return nil
}

func frameName(f hostproto.Frame) string {
	if e, ok := f.(hostproto.Ended); ok && e.Result == hostproto.Canceled {
		return "Ended(called)"
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", f), "hostproto.")
}

// advance moves the clock on, timer by timer.
func (r *replayer) advance(d time.Duration) {
	end := r.now + d
	for {
		at, ok := r.core.Next()
		if !ok || at > end {
			break
		}
		r.now = max(r.now, at)
		r.feed()
	}
	r.now = end
}

// step plays one line of a trace.
func (r *replayer) step(what string) error {
	r.did = []string{}
	r.now += time.Millisecond
	err := r.play(what)
	r.out.Steps = append(r.out.Steps, ReplayStep{what, r.did})
	r.check()
	return err
}

func (r *replayer) play(what string) error {
	var ti, hi int
	var word string
	scan := func(format string, args ...any) bool {
		n, err := fmt.Sscanf(what, format, args...)
		return err == nil && n == len(args) && fmt.Sprintf(format, deref(args)...) == what
	}
	switch {
	case scan("placer connects to host %d", &hi):
		return r.connect(r.hosts[hi])
	case scan("host %d reads %s", &hi, &word):
		return r.hostReads(r.hosts[hi], word)
	case scan("placer reads %s of host %d", &word, &hi):
		return r.placerReads(r.hosts[hi], word)
	case scan("placer sees the connection to host %d end", &hi):
		for _, s := range r.hosts[hi].streams {
			if s.pOpen && (s.dead || !s.hOpen) {
				s.pOpen = false
				r.feed(core.HostDisconnected{Host: r.hosts[hi].name, Conn: s.num})
				return nil
			}
		}
		return fmt.Errorf("no connection has ended")
	case scan("host %d sees its connection end", &hi):
		h := r.hosts[hi]
		for _, s := range h.streams {
			if s.hOpen && (s.dead || !s.pOpen) {
				s.hOpen = false
				if h.session == s {
					r.endSession(h)
				}
				return nil
			}
		}
		return nil // the host closed it itself
	case scan("the connection to host %d is cut", &hi):
		for _, s := range r.hosts[hi].streams {
			if s.pOpen && s.hOpen && !s.dead {
				s.dead, s.toHost, s.toPlacer = true, nil, nil
			}
		}
	case scan("host %d dies", &hi):
		h := r.hosts[hi]
		h.up, h.drains, h.session, h.last = false, false, nil, hostsession.Session{}
		h.jobs = map[hostproto.Ref]*rJob{}
		for _, s := range h.streams {
			s.hOpen = false
		}
	case scan("host %d comes back", &hi):
		r.hosts[hi].up = true
		r.hosts[hi].epoch++
	case scan("host %d drains", &hi):
		r.hosts[hi].drains = true
	case scan("placer is told that host %d drains", &hi):
		r.feed(r.listing())
	case scan("grace of host %d is over", &hi):
		r.advance(r.set.Module.DrainGrace + time.Millisecond)
	case scan("host %d accepts task %d", &hi, &ti):
		return r.work(hi, ti, hostsession.Queued, hostsession.Accept)
	case scan("host %d refuses task %d", &hi, &ti):
		return r.work(hi, ti, hostsession.Queued, hostsession.Reject)
	case scan("task %d runs on host %d", &ti, &hi):
		return r.work(hi, ti, hostsession.Starting, hostsession.Start)
	case scan("task %d ends on host %d", &ti, &hi):
		return r.work(hi, ti, hostsession.Running, hostsession.Finish)
	case scan("task %d on host %d counts as lost", &ti, &hi):
		r.advance(r.set.HostConnections.LostAfter + time.Second)
	case scan("hosts forget the key of task %d", &ti):
		r.advance(r.set.Module.Classes[1].DedupWindow)
	case scan("task %d is asked for", &ti):
		return r.ask(ti)
	case scan("the owner of task %d gives up", &ti):
		r.advance(r.set.Classes[0].PlacementTimeout)
	case scan("module offers task %d to host %d", &ti, &hi):
		r.act(forkhead.Offer{Task: r.tasks[ti].ask, Machine: forkhead.MachineID(ids.FNV(r.hosts[hi].name, 0))})
	case scan("module refuses task %d", &ti):
		r.act(append(r.withdraws(ti), forkhead.Reject{Task: r.tasks[ti].ask})...)
	case scan("module fails task %d", &ti):
		r.act(append(r.withdraws(ti), forkhead.Fail{Task: r.tasks[ti].ask})...)
	case scan("module withdraws task %d", &ti):
		r.act(r.withdraws(ti)...)
	case what == "placer crashes":
		for _, h := range r.hosts {
			h.dialled = 0
			for _, s := range h.streams {
				s.pOpen = false
			}
		}
		for i := range r.tasks {
			r.tasks[i].asked = false
		}
		return r.begin()
	default:
		return fmt.Errorf("not a step of a trace")
	}
	return nil
}

func deref(args []any) []any {
	out := make([]any, len(args))
	for i, a := range args {
		switch a := a.(type) {
		case *int:
			out[i] = *a
		case *string:
			out[i] = *a
		}
	}
	return out
}

// withdraws calls off all attempts of a task's ask: those that are not out are passed over.
func (r *replayer) withdraws(ti int) (out []forkhead.Action) {
	for n := range maxAttempts {
		out = append(out, forkhead.Withdraw{Task: r.tasks[ti].ask, Attempt: n})
	}
	return out
}

// ask has the owner ask: by a submission the first time in a life, later by the core itself.
func (r *replayer) ask(ti int) error {
	t := &r.tasks[ti]
	before := t.ask
	if !t.asked {
		t.asked = true
		class := [...]string{"safe", "keyed", "unsafe"}[r.cfg.Effect]
		r.feed(core.Submit{Request: 1, IdempotencyKey: fmt.Sprintf("%d-%d", r.life, ti), BodyHash: 1, Description: &servicespec.Description{
			Name: project(ti), Services: []servicespec.Service{{Name: "s", Class: class, Replicas: 1, Cores: 1, Memory: 1}},
		}})
	}
	if t.ask == before {
		r.advance(100 * time.Millisecond)
	}
	return nil
}

func (r *replayer) connect(h *rHost) error {
	if h.dialled == 0 {
		r.advance(100 * time.Millisecond) // until the retry
	}
	if h.dialled == 0 {
		return fmt.Errorf("the core does not dial %s", h.name)
	}
	s := &rStream{num: h.dialled, life: r.life, pOpen: true, hOpen: true}
	h.dialled = 0
	h.streams = append(h.streams, s)
	r.feed(core.HostConnected{Host: h.name, Conn: s.num})
	return nil
}

func (r *replayer) placerReads(h *rHost, word string) error {
	for _, s := range h.streams {
		if s.pOpen && !s.dead && len(s.toPlacer) > 0 && frameName(s.toPlacer[0]) == word {
			frames := s.toPlacer[:1]
			if word == "Welcome" { // what it holds comes with it
				for len(frames) < len(s.toPlacer) && frameName(s.toPlacer[len(frames)]) == "Holds" {
					frames = s.toPlacer[:len(frames)+1]
				}
			}
			s.toPlacer = s.toPlacer[len(frames):]
			for _, f := range frames {
				r.feed(core.FrameReceived{Host: h.name, Conn: s.num, Frame: f})
			}
			return nil
		}
	}
	return fmt.Errorf("no %s is on its way from %s", word, h.name)
}

func (r *replayer) say(h *rHost, f hostproto.Frame) {
	if s := h.session; s != nil && !s.dead && s.pOpen {
		s.toPlacer = append(s.toPlacer, f)
		r.did = append(r.did, h.name+" sends "+frameName(f))
	}
}

func (r *replayer) endSession(h *rHost) {
	h.session, h.last.Connected = nil, false
	for _, j := range h.jobs {
		j.state, _ = hostsession.Transition(j.state, hostsession.ConnectionLost)
	}
}

// work is something that a host does with the first attempt of a task that is in a state.
func (r *replayer) work(hi, ti int, in hostsession.State, what hostsession.Input) error {
	h := r.hosts[hi]
	for ref, j := range h.jobs {
		if j.task == ti && j.state == in {
			if what == hostsession.Accept {
				r.out.Starts++
			}
			r.side(h, ref, what)
			return nil
		}
	}
	return fmt.Errorf("%s has no attempt of task %d that is %v", h.name, ti, in)
}

func (r *replayer) side(h *rHost, ref hostproto.Ref, in hostsession.Input) {
	j := h.jobs[ref]
	if j == nil {
		j = &rJob{}
		if in == hostsession.Offer {
			h.jobs[ref] = j
		}
	}
	to, say := hostsession.Transition(j.state, in)
	j.state = to
	switch say {
	case hostsession.SendRejected:
		r.say(h, hostproto.Refused{Ref: ref, Reason: hostproto.Unsuitable})
	case hostsession.SendRunning:
		r.say(h, hostproto.Running{Ref: ref})
	case hostsession.SendEnded:
		r.say(h, hostproto.Ended{Ref: ref, Result: hostproto.Stopped})
	case hostsession.SendCanceled:
		r.say(h, hostproto.Ended{Ref: ref, Result: hostproto.Canceled})
	}
}

// hostReads lets a host read the next frame of that name.
func (r *replayer) hostReads(h *rHost, word string) error {
	for _, s := range h.streams {
		if !s.hOpen || s.dead || len(s.toHost) == 0 || frameName(s.toHost[0]) != word {
			continue
		}
		f := s.toHost[0]
		s.toHost = s.toHost[1:]
		switch f := f.(type) {
		case hostproto.Hello:
			r.greet(h, s, f)
		case hostproto.Offer:
			r.side(h, f.Ref, hostsession.Offer)
			h.jobs[f.Ref].spec = f.Spec
			for i := range r.tasks {
				if f.Spec.Service == servicespec.ServiceKey("", project(i), "s") {
					h.jobs[f.Ref].task = i
				}
			}
		case hostproto.Withdraw:
			r.side(h, f.Ref, hostsession.Withdraw)
		case hostproto.Stop:
			r.side(h, f.Ref, hostsession.Stop)
		case hostproto.Query:
			for _, ref := range f.Refs {
				r.side(h, ref, hostsession.Query)
			}
		}
		return nil
	}
	return fmt.Errorf("no %s is on its way to %s", word, h.name)
}

func (r *replayer) greet(h *rHost, s *rStream, f hostproto.Hello) {
	if hostsession.CheckHello(h.last, f.Epoch, f.Conn) == hostsession.HelloStale {
		s.hOpen = false
		return
	}
	if h.session != nil {
		h.session.hOpen = false
		r.endSession(h)
	}
	h.session, h.last = s, hostsession.Session{Epoch: f.Epoch, Conn: f.Conn, Connected: true}
	var held []hostproto.Held
	for ref, j := range h.jobs {
		if j.state.HoldsCapacity() {
			phase := hostproto.PhaseStarting
			if j.state == hostsession.Running {
				phase = hostproto.PhaseRunning
			}
			held = append(held, hostproto.Held{Ref: ref, Phase: phase, Spec: j.spec})
		}
	}
	r.say(h, hostproto.Welcome{Version: hostproto.Version, Host: h.name, Epoch: h.epoch, Draining: h.drains, Count: uint32(len(held))})
	if len(held) > 0 {
		r.say(h, hostproto.Holds{Held: held})
	}
}

// check looks for one task that is held twice.
func (r *replayer) check() {
	held := make([]int, len(r.tasks))
	for _, h := range r.hosts {
		for _, j := range h.jobs {
			if h.up && j.state.HoldsCapacity() {
				if held[j.task]++; held[j.task] > 1 {
					r.out.BoundTwice = true
				}
			}
		}
	}
}
