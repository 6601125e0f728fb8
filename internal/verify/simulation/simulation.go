// Package simulation runs the real core of a placer, with the real module, against stand-in hosts on a
// clock of its own: frames cross as bytes, connections break, hosts die and go silent, and the same
// seed gives the same life. It is what tests of the core, and `forkhead explore --lives`, run.
package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/emulator/hostmodel"
	"forkhead/internal/parse/compose"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/parse/settings"
	"forkhead/internal/protocol/capture"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/core"
	"forkhead/internal/scheduler/durable"
	"forkhead/internal/scheduler/timerqueue"
	"forkhead/internal/verify/replay"
	"forkhead/internal/verify/rules"
)

// Sim runs one placer's core against stand-in hosts on a clock of its own. Frames cross as
// bytes, each way in order and with a delay; a cut connection loses what is on its way.
type Sim struct {
	t         TB
	Settings  *settings.Settings
	Core      *core.Core
	Hosts     map[string]*Host
	HostNames []string
	Now       time.Duration
	queue     timerqueue.Queue[func()]
	rng       *rand.Rand
	Delay     time.Duration // of a frame, each way

	CatalogUp bool // the catalogue answers
	subs      bool // the core has asked for the list
	Accepted  []core.Accepted
	Rejected  []core.Rejected
	Logs      []string
	Defects   []string
	Offers    []Offer
	ToHost    func(host string, f hostproto.Frame) bool // false: the frame is lost, to the host
	FromHost  func(host string, f hostproto.Frame) bool // and from it
	Epoch     uint64
	crashed   bool
	Durable   bool              // the placer notes what it must not forget, and a new life begins with it
	Disk      *Disk             // what was made durable
	NextCrash func() CrashPoint // asked at each step that notes something; nil: never
	Captured  []capture.Event   // what crossed the placer's own sockets
}

// Disk is what a placer's notes have come to.
type Disk struct {
	Values  map[durable.Bucket]map[string][]byte // by bucket and key
	lazy    []durable.Change                     // noted and not yet written
	Commits int
}

// NewDisk returns an empty one.
func NewDisk() *Disk {
	d := &Disk{Values: map[durable.Bucket]map[string][]byte{}}
	for _, b := range durable.Buckets() {
		d.Values[b] = map[string][]byte{}
	}
	return d
}

// Persist takes the notes of a step, as package store does.
func (d *Disk) Persist(notes []durable.Record) {
	wait := false
	for _, n := range notes {
		wait = wait || n.MustBeDurableFirst()
		d.lazy = append(d.lazy, n.Changes()...)
	}
	if !wait {
		return
	}
	d.Commits++
	for _, c := range d.lazy {
		switch c.Kind {
		case durable.DeletePrefix:
			maps.DeleteFunc(d.Values[c.Bucket], func(k string, _ []byte) bool { return strings.HasPrefix(k, c.Key) })
		case durable.Delete:
			delete(d.Values[c.Bucket], c.Key)
		case durable.Put:
			d.Values[c.Bucket][c.Key] = c.Value
		}
	}
	d.lazy = nil
}

// Snapshot reads what was made durable; what was not is lost.
func (d *Disk) Snapshot() *durable.Snapshot {
	d.lazy = nil
	l := durable.NewLoader()
	for bucket, values := range d.Values {
		for key, v := range values {
			l.Add(bucket, key, v)
		}
	}
	return l.Snapshot()
}

// CrashPoint says where in a step that notes something the placer dies.
type CrashPoint uint8

// The places.
const (
	NoCrash          CrashPoint = iota // it does not
	BeforeCommit                       // nothing of the step is kept, and nothing leaves
	AfterCommit                        // the notes are kept, and nothing leaves
	AfterHalfOutputs                   // the notes are kept, and half of what leaves has left
)

// TB is as much of testing.TB as a Sim needs.
type TB interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

// Offer is an offer that the core has sent.
type Offer struct {
	At    time.Duration
	Host  string
	Offer hostproto.Offer
}

// Host is a stand-in host with its connections.
type Host struct {
	Config     hostmodel.Config
	Model      *hostmodel.Host
	Listed     bool
	State      forkhead.MachineState
	Blackholed bool // no frame gets through either way, without a reset
	lives      uint64
	conns      map[uint32]bool
	gen        int // of connections: those of an earlier life are dead
}

// Settings returns small settings with all kinds of classes, and more as text.
func Settings(t TB, extra string) *settings.Settings {
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
	s, err := settings.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s.For(0)
}

// New starts a core and hosts h0, h1, ...: even ones small, odd ones large, two to a rack.
func New(t TB, set *settings.Settings, hosts int, change ...func(*core.Config)) *Sim {
	return begin(t, set, hosts, false, change...)
}

// NewDurable is New for a placer that notes what it must not forget.
func NewDurable(t TB, set *settings.Settings, hosts int) *Sim { return begin(t, set, hosts, true) }

func begin(t TB, set *settings.Settings, hosts int, durable bool, change ...func(*core.Config)) *Sim {
	s := &Sim{
		Durable: durable,
		t:       t, Settings: set, Hosts: map[string]*Host{}, Now: time.Hour, rng: rand.New(rand.NewPCG(1, 2)), Delay: time.Millisecond, CatalogUp: true, Epoch: 1,
	}
	for i := range hosts {
		kind, cores, memory := "small", 8., 16.
		if i%2 == 1 {
			kind, cores, memory = "large", 32, 64
		}
		s.AddHost(hostmodel.DefaultConfig(fmt.Sprintf("h%d", i), kind, "a", fmt.Sprintf("r%d", i/2), cores, memory))
	}
	s.startCore(change...)
	s.Advance(200 * time.Millisecond)
	return s
}

func (s *Sim) startCore(change ...func(*core.Config)) {
	cfg := core.Config{Settings: s.Settings, Seed: 7, Epoch: s.Epoch, Durable: s.Durable}
	for _, c := range change {
		c(&cfg)
	}
	c, err := core.New(cfg)
	if err != nil {
		s.t.Fatal(err)
	}
	s.Core, s.subs, s.crashed = c, false, false
	if s.Durable {
		if s.Disk == nil {
			s.Disk = NewDisk()
		}
		s.Step(core.Restore{Snapshot: s.Disk.Snapshot()})
		return
	}
	s.Step()
}

// RestartPlacer kills the placer and starts another life of it.
func (s *Sim) RestartPlacer() {
	for name, h := range s.Hosts {
		h.gen++
		for conn := range h.conns {
			s.ExecuteHostOutputs(name, h.Model.ConnectionClosed(s.Now, s.conn(h, conn)))
		}
		h.conns = map[uint32]bool{}
	}
	s.Epoch++
	s.startCore()
}

func (s *Sim) AddHost(cfg hostmodel.Config) {
	h := &Host{Config: cfg, Listed: true, State: forkhead.Ready, lives: 1, conns: map[uint32]bool{}}
	h.Model = hostmodel.New(cfg, h.lives, 3, s.Now, false)
	s.Hosts[cfg.Name] = h
	s.HostNames = append(s.HostNames, cfg.Name)
}

func (s *Sim) After(d time.Duration, do func()) {
	s.queue.Add(s.Now+d, do)
}

func (s *Sim) conn(h *Host, conn uint32) hostmodel.ConnID {
	return hostmodel.ConnID(s.Epoch<<32 | uint64(conn))
}

// Step gives the core inputs and carries out what it says.
func (s *Sim) Step(in ...core.Input) {
	if s.crashed {
		return // nobody is there
	}
	c := s.Core
	out := c.Step(s.Now, in...)
	base := capture.Event{AtPlacer: true, Placer: s.Settings.Module.Self, PlacerEpoch: s.Epoch}
	var notes []durable.Record
	leaves := out[:0:0]
	for _, o := range out {
		if k, ok := o.(core.Persist); ok {
			notes = append(notes, k.Record)
		} else {
			leaves = append(leaves, o)
		}
	}
	crash := NoCrash
	if len(notes) > 0 && s.NextCrash != nil {
		crash = s.NextCrash()
	}
	if len(notes) > 0 && crash != BeforeCommit {
		s.Disk.Persist(notes)
	}
	switch crash {
	case BeforeCommit, AfterCommit:
		leaves = nil
	case AfterHalfOutputs:
		leaves = leaves[:len(leaves)/2]
	}
	s.Captured = append(s.Captured, replay.Events(base, s.Now, 0, in, leaves)...)
	for _, o := range leaves {
		s.carry(c, o)
	}
	if crash != NoCrash {
		s.crashed = true // the caller's stack may hold the core that died: the next life begins behind it
		s.Core = s.idle()
	}
}

// idle is a core that was told nothing and does nothing: it stands there between two lives.
func (s *Sim) idle() *core.Core {
	c, err := core.New(core.Config{Settings: s.Settings, Seed: 7, Epoch: s.Epoch})
	if err != nil {
		s.t.Fatal(err)
	}
	return c
}

// Crashed says whether the placer has died at a crash point. Restart begins its next life.
func (s *Sim) Crashed() bool { return s.crashed }

// Verdict judges what has crossed the placer's sockets by the rules.
func (s *Sim) Verdict() rules.Verdict {
	events := make([]capture.Event, 0, len(s.HostNames)+len(s.Captured))
	for _, name := range s.HostNames {
		cfg := &s.Hosts[name].Config
		events = append(events, capture.Event{Type: capture.HostUp, Host: name, Zone: cfg.Zone, Rack: cfg.Rack})
	}
	return rules.Check(append(events, s.Captured...), rules.ConfigFromSettings(s.Settings, 0))
}

func (s *Sim) carry(c *core.Core, o core.Output) {
	alive := func(do func()) func() {
		return func() {
			if s.Core == c {
				do()
			}
		}
	}
	switch o := o.(type) {
	case core.DialHost:
		h := s.Hosts[o.Host]
		gen := h.gen
		s.After(s.Delay, alive(func() {
			if h.Model.Dead() || h.Blackholed || gen != h.gen {
				s.Step(core.HostDisconnected{Host: o.Host, Conn: o.Conn})
				return
			}
			h.conns[o.Conn] = true
			s.ExecuteHostOutputs(o.Host, h.Model.ConnectionOpened(s.Now, s.conn(h, o.Conn)))
			s.Step(core.HostConnected{Host: o.Host, Conn: o.Conn})
		}))
	case core.CloseHostConnection:
		h := s.Hosts[o.Host]
		if h.conns[o.Conn] {
			delete(h.conns, o.Conn)
			id := s.conn(h, o.Conn)
			s.After(s.Delay, func() { s.ExecuteHostOutputs(o.Host, h.Model.ConnectionClosed(s.Now, id)) })
		}
	case core.SendToHost:
		h := s.Hosts[o.Host]
		if f, ok := o.Frame.(hostproto.Offer); ok {
			s.Offers = append(s.Offers, Offer{s.Now, o.Host, f})
		}
		f := recode(s.t, o.Frame)
		id, gen := s.conn(h, o.Conn), h.gen
		s.After(s.Delay, func() {
			if !h.conns[o.Conn] || h.Blackholed || gen != h.gen || s.ToHost != nil && !s.ToHost(o.Host, f) {
				return
			}
			s.ExecuteHostOutputs(o.Host, h.Model.ReceiveFrame(s.Now, id, f))
		})
	case core.Subscribe:
		s.subs = true
		s.After(s.Delay, alive(s.SendHostList))
	case core.Accepted:
		s.Accepted = append(s.Accepted, o)
	case core.Rejected:
		s.Rejected = append(s.Rejected, o)
	case core.Log:
		s.Logs = append(s.Logs, o.Text)
		if o.Defect {
			s.Defects = append(s.Defects, o.Text)
		}
	}
}

// recode sends a frame through its bytes.
func recode(t TB, f hostproto.Frame) hostproto.Frame {
	out, err := hostproto.Decode(hostproto.Append(nil, f)[4:])
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// ExecuteHostOutputs carries what a host did.
func (s *Sim) ExecuteHostOutputs(name string, out []hostmodel.Output) {
	h := s.Hosts[name]
	c := s.Core
	if h.Model.Dead() {
		s.resetConns(name)
		return
	}
	for _, o := range out {
		conn, gen := uint32(o.Conn), h.gen
		if uint64(o.Conn)>>32 != s.Epoch {
			continue
		}
		if o.Frame == nil {
			delete(h.conns, conn)
			s.After(s.Delay, func() {
				if s.Core == c {
					s.Step(core.HostDisconnected{Host: name, Conn: conn})
				}
			})
			continue
		}
		f := recode(s.t, o.Frame)
		s.After(s.Delay, func() {
			if s.Core != c || h.Blackholed || gen != h.gen || !h.conns[conn] || s.FromHost != nil && !s.FromHost(name, f) {
				return
			}
			s.Step(core.FrameReceived{Host: name, Conn: conn, Frame: f})
		})
	}
}

func (s *Sim) resetConns(name string) {
	h := s.Hosts[name]
	if len(h.conns) == 0 {
		return
	}
	conns := h.conns
	h.conns = map[uint32]bool{}
	h.gen++
	c := s.Core
	for conn := range conns {
		s.After(s.Delay, func() {
			if s.Core == c {
				s.Step(core.HostDisconnected{Host: name, Conn: conn})
			}
		})
	}
}

// ResetConnections breaks a host's connections; what is on its way is lost.
func (s *Sim) ResetConnections(name string) {
	h := s.Hosts[name]
	for conn := range h.conns {
		id := s.conn(h, conn)
		s.ExecuteHostOutputs(name, h.Model.ConnectionClosed(s.Now, id))
	}
	s.resetConns(name)
}

func (s *Sim) KillHost(name string) {
	s.Hosts[name].Model.Crash()
	s.resetConns(name)
}

// RestartHost starts a new life of a host.
func (s *Sim) RestartHost(name string, cold bool) {
	h := s.Hosts[name]
	h.lives++
	h.Model = hostmodel.New(h.Config, h.lives, 3, s.Now, cold)
	s.SendHostList()
}

// SendHostList tells the core what the catalogue has.
func (s *Sim) SendHostList() {
	if !s.subs {
		return
	}
	if !s.CatalogUp {
		s.subs = false
		s.Step(core.HostListReceived{Mode: forkhead.ListFailed})
		return
	}
	var l core.HostListReceived
	l.Mode = forkhead.ListSnapshot
	for _, name := range s.HostNames {
		h := s.Hosts[name]
		if !h.Listed {
			continue
		}
		cores, memory := h.Model.Available()
		l.Hosts = append(l.Hosts, core.HostEntry{
			Name: name, Address: "addr-" + name, Kind: h.Config.MachineType, Zone: h.Config.Zone, Rack: h.Config.Rack, State: h.State,
			Started: h.Model.Started(), FreeCores: cores, FreeMemory: memory,
			Attributes: map[servicespec.Attribute]string{"hostname": name, "label.rack": h.Config.Rack, "label.kind": h.Config.MachineType},
		})
	}
	s.Step(l)
}

// Advance moves the clock on.
func (s *Sim) Advance(d time.Duration) {
	end := s.Now + d
	for {
		next, what := end, ""
		if at, ok := s.queue.Next(); ok && at <= next {
			next, what = at, "event"
		}
		if at, ok := s.Core.Next(); ok && at < next {
			next, what = at, "core"
		}
		for _, name := range s.HostNames {
			if at, ok := s.Hosts[name].Model.Next(); ok && at < next {
				next, what = at, name
			}
		}
		s.Now = max(s.Now, next)
		switch what {
		case "":
			s.Now = end
			return
		case "event":
			if do, due := s.queue.PopDue(s.Now); due {
				do()
			}
		case "core":
			s.Step()
		default:
			s.ExecuteHostOutputs(what, s.Hosts[what].Model.Step(s.Now))
		}
	}
}

// ParseCompose reads a Compose text as the front would.
func (s *Sim) ParseCompose(text string) *servicespec.Description {
	s.t.Helper()
	var classes []string
	for _, c := range s.Settings.Classes {
		classes = append(classes, c.Name)
	}
	d, err := compose.Parse(&compose.Input{
		Files: []compose.File{{Name: "test.yaml", Text: text}}, Classes: classes, Tenants: s.Settings.Tenants,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return d
}

// Submit parses a Compose text and gives it to the core.
func (s *Sim) Submit(key, text string) string {
	s.t.Helper()
	d := s.ParseCompose(text)
	n, r := len(s.Accepted), len(s.Rejected)
	s.Step(core.Submit{Request: 1, IdempotencyKey: key, BodyHash: uint64(len(text)), Description: d})
	if len(s.Rejected) > r {
		return ""
	}
	if len(s.Accepted) != n+1 {
		s.t.Fatal("the submission was not answered")
	}
	return s.Accepted[n].Submission
}

// Await runs until a submission is complete and returns its outcomes by name.
func (s *Sim) Await(id string, most time.Duration) map[string]core.Outcome {
	s.t.Helper()
	out := map[string]core.Outcome{}
	for end := s.Now + most; s.Now < end; s.Advance(20 * time.Millisecond) {
		if list, complete, _ := s.Core.Outcomes(id, 0); complete {
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
	list, _, _ := s.Core.Outcomes(id, 0)
	s.t.Fatalf("submission not complete after %v: %+v; logs %v", most, list, s.Logs)
	return nil
}

// RequireNoViolations fails the test if the program did something that it should never do.
func (s *Sim) RequireNoViolations() {
	s.t.Helper()
	if len(s.Defects) > 0 {
		s.t.Fatalf("defects: %v", s.Defects)
	}
	if st := s.Core.Status(); st.Vetoes > 0 {
		s.t.Fatalf("vetoes: %v", st.VetoesByRule)
	}
	if v := s.Verdict(); !v.OK() {
		s.t.Fatalf("breaches: %v", v.Breaches)
	}
}

// RunningTasks counts the tasks that hosts hold.
func (s *Sim) RunningTasks() int {
	n := 0
	for _, h := range s.Hosts {
		n += h.Model.BoundCount()
	}
	return n
}

// Count counts the outcomes of a kind.
func Count(out map[string]core.Outcome, kind core.OutcomeKind) int {
	n := 0
	for _, o := range out {
		if o.Outcome == kind {
			n++
		}
	}
	return n
}
