package core

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"forkhead"
	"forkhead/internal/compose"
	"forkhead/internal/description"
	"forkhead/internal/hostproto"
	"forkhead/internal/settings"
	"forkhead/internal/standin"
)

// sim runs one placer's core against stand-in hosts on a clock of its own. Frames cross as
// bytes, each way in order and with a delay; a cut connection loses what is on its way.
type sim struct {
	t     testing.TB
	set   *settings.Settings
	core  *Core
	hosts map[string]*simHost
	names []string
	now   time.Duration
	queue simQueue
	seq   int
	rng   *rand.Rand
	delay time.Duration

	listUp   bool // the catalogue answers
	subs     bool // the core has asked for the list
	taken    []Taken
	rejected []Rejected
	logs     []string
	defects  []string
	offers   []simOffer
	hook     func(host string, f hostproto.Frame) bool // false: the frame is lost, to the host
	back     func(host string, f hostproto.Frame) bool // and from it
	epoch    uint64
}

type simOffer struct {
	at    time.Duration
	host  string
	offer hostproto.Offer
}

type simHost struct {
	cfg    standin.Config
	host   *standin.Host
	listed bool
	state  forkhead.State
	lives  uint64
	conns  map[uint32]bool
	mute   bool // no frame gets through either way, without a reset
	gen    int  // of connections: those of an earlier life are dead
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func testSettings(t testing.TB, extra string) *settings.Settings {
	t.Helper()
	text := `(forkhead (placer (zone a) (http "127.0.0.1:1") (tell "127.0.0.1:2"))
	  (kind small (cores 8) (memory 16GiB)) (kind large (cores 32) (memory 64GiB))
	  (class web (effect safe) (wait 2s) (patience 6s))
	  (class keyed (effect keyed) (window 8s) (wait 2s) (patience 6s))
	  (class cell (effect keyed) (group rack) (window 8s) (wait 2s) (patience 6s))
	  (class ledger (effect unsafe) (wait 2s) (patience 20s))
	  (class batch (effect safe) (kind large) (spread rack 2) (wait 2s) (patience 4s) (priority 1))
	  (tenant courts (share 0.5))
	  (links (lost-after 2s)) (bound running) ` + extra + `)`
	if !strings.Contains(extra, "(owner") {
		text = text[:len(text)-1] + "(owner (first 200ms) (wait 1s)))"
	}
	s, err := settings.Read("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s.For(0)
}

// newSim starts a core and hosts h0, h1, ...: even ones small, odd ones large, two to a rack.
func newSim(t testing.TB, set *settings.Settings, hosts int, change ...func(*Config)) *sim {
	s := &sim{t: t, set: set, hosts: map[string]*simHost{}, now: time.Hour, rng: rand.New(rand.NewPCG(1, 2)), delay: time.Millisecond, listUp: true, epoch: 1}
	for i := range hosts {
		kind, cores, memory := "small", 8., 16.
		if i%2 == 1 {
			kind, cores, memory = "large", 32, 64
		}
		s.addHost(standin.Default(fmt.Sprintf("h%d", i), kind, "a", fmt.Sprintf("r%d", i/2), cores, memory))
	}
	s.startCore(change...)
	s.run(200 * time.Millisecond)
	return s
}

func (s *sim) startCore(change ...func(*Config)) {
	cfg := Config{Settings: s.set, Seed: 7, Epoch: s.epoch}
	for _, c := range change {
		c(&cfg)
	}
	core, err := New(cfg)
	if err != nil {
		s.t.Fatal(err)
	}
	s.core, s.subs = core, false
	s.step()
}

// restart kills the placer and starts another life of it.
func (s *sim) restart() {
	for name, h := range s.hosts {
		h.gen++
		for conn := range h.conns {
			s.hostOut(name, h.host.Closed(s.now, s.conn(h, conn)))
		}
		h.conns = map[uint32]bool{}
	}
	s.epoch++
	s.startCore()
}

func (s *sim) addHost(cfg standin.Config) {
	h := &simHost{cfg: cfg, listed: true, state: forkhead.Ready, lives: 1, conns: map[uint32]bool{}}
	h.host = standin.New(cfg, h.lives, 3, s.now, false)
	s.hosts[cfg.Name] = h
	s.names = append(s.names, cfg.Name)
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now + d, s.seq, do})
}

func (s *sim) conn(h *simHost, conn uint32) standin.ConnID {
	return standin.ConnID(s.epoch<<32 | uint64(conn))
}

// step gives the core inputs and carries out what it says.
func (s *sim) step(in ...Input) {
	core := s.core
	for _, o := range core.Step(s.now, in...) {
		s.carry(core, o)
	}
}

func (s *sim) carry(core *Core, o Output) {
	alive := func(do func()) func() {
		return func() {
			if s.core == core {
				do()
			}
		}
	}
	switch o := o.(type) {
	case Dial:
		h := s.hosts[o.Host]
		gen := h.gen
		s.after(s.delay, alive(func() {
			if h.host.Dead() || h.mute || gen != h.gen {
				s.step(Broke{Host: o.Host, Conn: o.Conn})
				return
			}
			h.conns[o.Conn] = true
			s.hostOut(o.Host, h.host.Opened(s.now, s.conn(h, o.Conn)))
			s.step(Dialled{Host: o.Host, Conn: o.Conn})
		}))
	case Close:
		h := s.hosts[o.Host]
		if h.conns[o.Conn] {
			delete(h.conns, o.Conn)
			id := s.conn(h, o.Conn)
			s.after(s.delay, func() { s.hostOut(o.Host, h.host.Closed(s.now, id)) })
		}
	case ToHost:
		h := s.hosts[o.Host]
		if f, ok := o.Frame.(hostproto.Offer); ok {
			s.offers = append(s.offers, simOffer{s.now, o.Host, f})
		}
		f := recode(s.t, o.Frame)
		id, gen := s.conn(h, o.Conn), h.gen
		s.after(s.delay, func() {
			if !h.conns[o.Conn] || h.mute || gen != h.gen || s.hook != nil && !s.hook(o.Host, f) {
				return
			}
			s.hostOut(o.Host, h.host.Frame(s.now, id, f))
		})
	case Subscribe:
		s.subs = true
		s.after(s.delay, alive(s.list))
	case Taken:
		s.taken = append(s.taken, o)
	case Rejected:
		s.rejected = append(s.rejected, o)
	case Logged:
		s.logs = append(s.logs, o.Text)
		if o.Defect {
			s.defects = append(s.defects, o.Text)
		}
	}
}

// recode sends a frame through its bytes.
func recode(t testing.TB, f hostproto.Frame) hostproto.Frame {
	out, err := hostproto.Decode(hostproto.Append(nil, f)[4:])
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// hostOut carries what a host did.
func (s *sim) hostOut(name string, out []standin.Output) {
	h := s.hosts[name]
	core := s.core
	if h.host.Dead() {
		s.resetConns(name)
		return
	}
	for _, o := range out {
		conn, gen := uint32(o.Conn), h.gen
		if uint64(o.Conn)>>32 != s.epoch {
			continue
		}
		if o.Frame == nil {
			delete(h.conns, conn)
			s.after(s.delay, func() {
				if s.core == core {
					s.step(Broke{Host: name, Conn: conn})
				}
			})
			continue
		}
		f := recode(s.t, o.Frame)
		s.after(s.delay, func() {
			if s.core != core || h.mute || gen != h.gen || !h.conns[conn] || s.back != nil && !s.back(name, f) {
				return
			}
			s.step(FromHost{Host: name, Conn: conn, Frame: f})
		})
	}
}

func (s *sim) resetConns(name string) {
	h := s.hosts[name]
	if len(h.conns) == 0 {
		return
	}
	conns := h.conns
	h.conns = map[uint32]bool{}
	h.gen++
	core := s.core
	for conn := range conns {
		s.after(s.delay, func() {
			if s.core == core {
				s.step(Broke{Host: name, Conn: conn})
			}
		})
	}
}

// cut breaks a host's connections; what is on its way is lost.
func (s *sim) cut(name string) {
	h := s.hosts[name]
	for conn := range h.conns {
		id := s.conn(h, conn)
		s.hostOut(name, h.host.Closed(s.now, id))
	}
	s.resetConns(name)
}

func (s *sim) kill(name string) {
	s.hosts[name].host.Die()
	s.resetConns(name)
}

// revive starts a new life of a host.
func (s *sim) revive(name string, cold bool) {
	h := s.hosts[name]
	h.lives++
	h.host = standin.New(h.cfg, h.lives, 3, s.now, cold)
	s.list()
}

// list tells the core what the catalogue has.
func (s *sim) list() {
	if !s.subs {
		return
	}
	if !s.listUp {
		s.subs = false
		s.step(Listing{Mode: forkhead.ListFailed})
		return
	}
	var l Listing
	l.Mode = forkhead.ListFull
	for _, name := range s.names {
		h := s.hosts[name]
		if !h.listed {
			continue
		}
		cores, memory := h.host.Free()
		l.Hosts = append(l.Hosts, HostEntry{
			Name: name, Address: "addr-" + name, Kind: h.cfg.Kind, Zone: h.cfg.Zone, Rack: h.cfg.Rack, State: h.state,
			Started: h.host.Started(), FreeCores: cores, FreeMemory: memory,
			Attributes: map[description.Attribute]string{"hostname": name, "label.rack": h.cfg.Rack, "label.kind": h.cfg.Kind},
		})
	}
	s.step(l)
}

// run moves the clock on.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for {
		next, what := end, ""
		if len(s.queue) > 0 && s.queue[0].at <= next {
			next, what = s.queue[0].at, "event"
		}
		if at, ok := s.core.Next(); ok && at < next {
			next, what = at, "core"
		}
		for _, name := range s.names {
			if at, ok := s.hosts[name].host.Next(); ok && at < next {
				next, what = at, name
			}
		}
		s.now = max(s.now, next)
		switch what {
		case "":
			s.now = end
			return
		case "event":
			heap.Pop(&s.queue).(simEvent).do()
		case "core":
			s.step()
		default:
			s.hostOut(what, s.hosts[what].host.Step(s.now))
		}
	}
}

// submit parses a Compose text and gives it to the core.
func (s *sim) submit(key, text string) string {
	s.t.Helper()
	var classes []string
	for _, c := range s.set.Classes {
		classes = append(classes, c.Name)
	}
	d, err := compose.Parse(&compose.Input{
		Files: []compose.File{{Name: "test.yaml", Text: text}}, Classes: classes, Tenants: s.set.Tenants,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	n, r := len(s.taken), len(s.rejected)
	s.step(Submit{Request: 1, Key: key, Body: uint64(len(text)), What: d})
	if len(s.rejected) > r {
		return ""
	}
	if len(s.taken) != n+1 {
		s.t.Fatal("the submission was not answered")
	}
	return s.taken[n].Submission
}

// await runs until a submission is complete and returns its outcomes by name.
func (s *sim) await(id string, most time.Duration) map[string]Outcome {
	s.t.Helper()
	out := map[string]Outcome{}
	for end := s.now + most; s.now < end; s.run(20 * time.Millisecond) {
		if list, complete, _ := s.core.Outcomes(id, 0); complete {
			for _, o := range list {
				name := fmt.Sprintf("%s/%d", o.Service, o.Replica)
				if _, twice := out[name]; twice {
					s.t.Fatalf("%s has two outcomes", name)
				}
				out[name] = o
			}
			return out
		}
	}
	list, _, _ := s.core.Outcomes(id, 0)
	s.t.Fatalf("submission not complete after %v: %+v; logs %v", most, list, s.logs)
	return nil
}

// clean fails the test if the program did something that it should never do.
func (s *sim) clean() {
	s.t.Helper()
	if len(s.defects) > 0 {
		s.t.Fatalf("defects: %v", s.defects)
	}
	if st := s.core.Status(); st.Vetoes > 0 {
		s.t.Fatalf("vetoes: %v", st.ByRule)
	}
}

// running counts the tasks that hosts hold.
func (s *sim) running() int {
	n := 0
	for _, h := range s.hosts {
		n += h.host.Running()
	}
	return n
}

func count(out map[string]Outcome, word string) int {
	n := 0
	for _, o := range out {
		if o.Outcome == word {
			n++
		}
	}
	return n
}
