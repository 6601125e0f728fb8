// Package scenario reads what a bad day is: a fleet, its load and its troubles, as an S-expression.
package scenario

import (
	_ "embed"
	"fmt"
	"slices"
	"strings"
	"time"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/settings"
	"forkhead/internal/parse/sexp"
)

// Default is the bad day that CI plays: all kinds of trouble, three placers, twelve hosts.
//
//go:embed badday.sexp
var Default []byte

// Recovery is a day on which placers are killed again and again and discovery is silent when they come back; they keep
// what they must not forget.
//
//go:embed recovery.sexp
var Recovery []byte

// Calm is the fleet that try places on.
//
//go:embed calm.sexp
var Calm []byte

// Script is one day.
type Script struct {
	File      string
	Text      []byte // as it was read
	Settings  *settings.Settings
	Seed      int
	Length    time.Duration // load and troubles
	Durable   bool          // placers keep what must not be forgotten over their death
	Settle    time.Duration // after it, for what is still open
	Hosts     []Group
	Catalogue Catalogue
	Host      Host
	Load      []Load
	Troubles  []Trouble
	Plants    []Plant
}

// Group is some hosts of one kind in one zone.
type Group struct {
	Count, Racks int
	Kind, Zone   string
	Prefix       string
	Labels       map[string]string
	Cold         bool
}

// Host is how hosts behave.
type Host struct {
	Look, Start, Notes, Refresh time.Duration
	Line, Starts, Keep          int
	Absent, Use, Swing          float64
}

// Catalogue is how the list behaves.
type Catalogue struct {
	Lag, Critical, Deregister time.Duration
}

// Load is a stream of submissions.
type Load struct {
	Name     string
	Class    string
	Tenant   string
	Rate     float64 // submissions a second, over all placers
	Replicas [2]int
	Cores    [2]float64
	Memory   [2]float64 // GiB
	Life     [2]time.Duration
	From, To time.Duration
	Pos      diagnostic.Pos
}

// Kind is a kind of trouble.
type Kind string

// The kinds of trouble.
const (
	Crash          Kind = "crash"           // hosts die with resets and come back cold
	Pauses         Kind = "pauses"          // hosts stand still again and again
	Vanish         Kind = "vanish"          // hosts go silent and come back cold
	ReportLate     Kind = "report-late"     // hosts register, and report, late
	Shrink         Kind = "shrink"          // hosts drain and leave for good
	Deploy         Kind = "deploy"          // hosts drain and are replaced by cold ones, some at a time
	HotKey         Kind = "hot-key"         // tasks of a class use all they may: starts and service slow down
	DiscoveryStale Kind = "discovery-stale" // the list is late
	ListOutage     Kind = "list-outage"     // the list does not answer
	ListFrozen     Kind = "list-frozen"     // the list answers what it was
	ZoneLoss       Kind = "zone-loss"       // a zone is lost, at times with its placers
	Burst          Kind = "burst"           // the load jumps
	Reconnect      Kind = "reconnect"       // owners end projects and ask for all of them again
	Ageing         Kind = "ageing"          // hosts get slower, then crash
	MassRestart    Kind = "mass-restart"    // a rack restarts at once
	ClassFail      Kind = "class-fail"      // starts of a class do not come on some hosts
	PlacerStall    Kind = "placer-stall"    // placers stand still
	PlacerKill     Kind = "placer-kill"     // a placer is killed and starts again
	Cut            Kind = "cut"             // connections to hosts break
	HalfOpen       Kind = "half-open"       // connections go deaf
	Tear           Kind = "tear"            // frames are cut in the middle
	LateFrames     Kind = "late-frames"     // frames of hosts arrive late
	TellLoss       Kind = "tell-loss"       // messages between placers are lost
	ClientCut      Kind = "client-cut"      // clients' streams break, and they ask again
	SlowReader     Kind = "slow-reader"     // clients do not read
	DieMidStart    Kind = "die-mid-start"   // hosts die in the middle of a start
	DieAfterBind   Kind = "die-after-bind"  // hosts die after a task runs and before they say so
	Refuse         Kind = "refuse"          // hosts turn a class away
)

// Kinds lists all kinds of trouble.
var Kinds = []Kind{
	Crash, Pauses, Vanish, ReportLate, Shrink, Deploy, HotKey, DiscoveryStale, ListOutage, ListFrozen, ZoneLoss, Burst, Reconnect,
	Ageing, MassRestart, ClassFail, PlacerStall, PlacerKill, Cut, HalfOpen, Tear, LateFrames, TellLoss, ClientCut, SlowReader,
	DieMidStart, DieAfterBind, Refuse,
}

// Plant is a breach that a script plants, to show that the checker catches it.
type Plant string

// The plants, one for each rule.
const (
	PlantAnswer Plant = "one-answer"
	PlantRepeat Plant = "no-repeat"
	PlantDrain  Plant = "drain"
	PlantCold   Plant = "cold"
	PlantSpread Plant = "spread"
)

// Plants lists them.
var Plants = []Plant{PlantAnswer, PlantRepeat, PlantDrain, PlantCold, PlantSpread}

// Trouble is one trouble of the day.
type Trouble struct {
	Kind   Kind
	At     time.Duration
	For    time.Duration // how long it lasts; for kinds that end at once, until what died comes back
	Hosts  float64       // share of the hosts
	Zone   string
	Rack   string
	Class  string
	Placer int // -1: none, or all
	Factor float64
	Every  time.Duration // of those that repeat
	Delay  time.Duration
	Pos    diagnostic.Pos
}

// Read parses and checks a script.
func Read(file string, text []byte) (*Script, error) {
	nodes, err := sexp.Parse(file, text)
	if err != nil {
		return nil, err
	}
	if len(nodes) != 1 || nodes[0].Head() != "badday" {
		return nil, diagnostic.Wantf(diagnostic.Pos{File: file, Line: 1, Col: 1}, "one (badday ...)", "the file holds something else")
	}
	s := &Script{
		File: file, Text: text, Seed: 1, Length: 20 * time.Second, Settle: 15 * time.Second,
		Catalogue: Catalogue{Lag: 300 * time.Millisecond, Critical: 2 * time.Second, Deregister: 6 * time.Second},
		Host: Host{
			Look: 2 * time.Millisecond, Start: 20 * time.Millisecond, Notes: time.Second, Refresh: 500 * time.Millisecond,
			Line: 50, Starts: 4, Keep: 8, Absent: 5, Use: 0.7, Swing: 0.15,
		},
	}
	errs := &diagnostic.List{}
	r := &reader{s: s, errs: errs}
	r.read(nodes[0])
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

type reader struct {
	s    *Script
	errs *diagnostic.List
}

const day = 24 * time.Hour

func (r *reader) read(n *sexp.Node) {
	s := r.s
	var own *sexp.Node
	troubles := map[string]sexp.Field{}
	for _, k := range Kinds {
		troubles[string(k)] = r.trouble(k)
	}
	sexp.Fields(n.Args(), map[string]sexp.Field{
		"settings": func(f *sexp.Node) error { own = f; return nil },
		"seed":     sexp.Int(&s.Seed, 0, 1<<30),
		"length":   sexp.Duration(&s.Length, 100*time.Millisecond, day),
		"durable":  sexp.Bool(&s.Durable),
		"settle":   sexp.Duration(&s.Settle, 0, time.Hour),
		"hosts":    r.hosts,
		"host": func(f *sexp.Node) error {
			h := &s.Host
			sexp.Fields(f.Args(), map[string]sexp.Field{
				"look":    sexp.Duration(&h.Look, time.Microsecond, time.Minute),
				"start":   sexp.Duration(&h.Start, time.Microsecond, time.Minute),
				"notes":   sexp.Duration(&h.Notes, 10*time.Millisecond, time.Hour),
				"refresh": sexp.Duration(&h.Refresh, 10*time.Millisecond, time.Hour),
				"line":    sexp.Int(&h.Line, 1, 1e6),
				"starts":  sexp.Int(&h.Starts, 1, 1e6),
				"keep":    sexp.Int(&h.Keep, 0, 1e6),
				"absent":  sexp.Number(&h.Absent, 1, 1000),
				"use":     sexp.Number(&h.Use, 0.01, 10),
				"swing":   sexp.Number(&h.Swing, 0, 10),
			}, nil, r.errs)
			return nil
		},
		"catalogue": func(f *sexp.Node) error {
			sexp.Fields(f.Args(), map[string]sexp.Field{
				"lag":        sexp.Duration(&s.Catalogue.Lag, 0, time.Minute),
				"critical":   sexp.Duration(&s.Catalogue.Critical, 10*time.Millisecond, day),
				"deregister": sexp.Duration(&s.Catalogue.Deregister, 10*time.Millisecond, day),
			}, nil, r.errs)
			return nil
		},
		"load": r.load,
		"plant": func(f *sexp.Node) error {
			words := map[string]Plant{}
			for _, p := range Plants {
				words[string(p)] = p
			}
			var p Plant
			err := sexp.Choice(&p, words)(f)
			if err == nil {
				s.Plants = append(s.Plants, p)
			}
			return err
		},
		"troubles": func(f *sexp.Node) error { sexp.Fields(f.Args(), troubles, all(troubles), r.errs); return nil },
	}, map[string]bool{"hosts": true, "load": true, "plant": true}, r.errs)
	var err error
	switch {
	case own == nil:
		s.Settings, err = settings.Read("default settings", settings.Default)
	case len(own.Args()) == 1 && own.Args()[0].Head() == "forkhead":
		s.Settings, err = settings.FromNode(own.Args()[0])
	default:
		err = diagnostic.Wantf(own.Pos, "(settings (forkhead ...))", "the settings are something else")
	}
	r.errs.Add(err)
	if s.Settings != nil {
		r.check(n)
	}
}

func all(fields map[string]sexp.Field) map[string]bool {
	m := map[string]bool{}
	for k := range fields {
		m[k] = true
	}
	return m
}

// check looks at what concerns several parts.
func (r *reader) check(n *sexp.Node) {
	s := r.s
	if len(s.Hosts) == 0 {
		r.errs.Add(diagnostic.Wantf(n.Pos, "(hosts COUNT (kind NAME) ...)", "the day has no hosts"))
	}
	for _, g := range s.Hosts {
		if settings.Index(s.Settings.Kinds, g.Kind) < 0 {
			r.errs.Add(diagnostic.Wantf(n.Pos, strings.Join(s.Settings.Kinds, ", "), "hosts of kind %q, which the settings do not name", g.Kind))
		}
	}
	for _, l := range s.Load {
		if _, ok := s.Settings.Class(l.Class); !ok {
			r.errs.Add(diagnostic.Errorf(l.Pos, "load of class %q, which the settings do not name", l.Class))
		}
		if l.Tenant != "" && !slices.Contains(s.Settings.Tenants, l.Tenant) {
			r.errs.Add(diagnostic.Errorf(l.Pos, "load of tenant %q, which the settings do not name", l.Tenant))
		}
	}
	for _, t := range s.Troubles {
		if t.At > s.Length {
			r.errs.Add(diagnostic.Wantf(t.Pos, fmt.Sprintf("at most the length, %v", s.Length), "%s begins at %v", t.Kind, t.At))
		}
		if t.Placer >= len(s.Settings.Placers) {
			r.errs.Add(diagnostic.Wantf(t.Pos, fmt.Sprintf("0 to %d", len(s.Settings.Placers)-1), "placer %d", t.Placer))
		}
	}
}

func (r *reader) hosts(n *sexp.Node) error {
	args := n.Args()
	if len(args) == 0 {
		return diagnostic.Wantf(n.Pos, "(hosts COUNT (kind NAME) ...)", "no count of hosts")
	}
	g := Group{Racks: 1, Labels: map[string]string{}}
	var err error
	if g.Count, err = args[0].Int(1, 10_000); err != nil {
		return err
	}
	sexp.Fields(args[1:], map[string]sexp.Field{
		"kind":   sexp.Text(&g.Kind),
		"zone":   sexp.Text(&g.Zone),
		"racks":  sexp.Int(&g.Racks, 1, 10_000),
		"prefix": sexp.Text(&g.Prefix),
		"cold":   sexp.Bool(&g.Cold),
		"label": func(f *sexp.Node) error {
			if len(f.Args()) != 2 {
				return diagnostic.Wantf(f.Pos, "(label NAME VALUE)", "label has %d values", len(f.Args()))
			}
			g.Labels[f.Items[1].Atom] = f.Items[2].Atom
			return nil
		},
	}, map[string]bool{"label": true}, r.errs)
	if g.Prefix == "" {
		g.Prefix = fmt.Sprintf("%s-%s-", g.Zone, g.Kind)
	}
	r.s.Hosts = append(r.s.Hosts, g)
	return nil
}

// span is a Field that sets a range: one value, or two.
func span[T any](to *[2]T, read func(v *sexp.Node) (T, error), less func(a, b T) bool) sexp.Field {
	return func(n *sexp.Node) error {
		args := n.Args()
		if len(args) < 1 || len(args) > 2 {
			return diagnostic.Wantf(n.Pos, "one value, or least and most", "%s has %d", n.Head(), len(args))
		}
		for i := range to {
			v, err := read(args[min(i, len(args)-1)])
			if err != nil {
				return err
			}
			to[i] = v
		}
		if less(to[1], to[0]) {
			return diagnostic.Errorf(n.Pos, "the most of %s is below the least", n.Head())
		}
		return nil
	}
}

func (r *reader) load(n *sexp.Node) error {
	args := n.Args()
	if len(args) == 0 || args[0].List {
		return diagnostic.Wantf(n.Pos, "(load NAME ...)", "the load has no name")
	}
	l := Load{
		Name: args[0].Atom, Rate: 1, Replicas: [2]int{1, 1}, Cores: [2]float64{0.5, 0.5}, Memory: [2]float64{1, 1},
		Life: [2]time.Duration{5 * time.Second, 5 * time.Second}, To: r.s.Length, Pos: n.Pos,
	}
	sexp.Fields(args[1:], map[string]sexp.Field{
		"class":    sexp.Text(&l.Class),
		"tenant":   sexp.Text(&l.Tenant),
		"rate":     sexp.Number(&l.Rate, 0.001, 1e5),
		"replicas": span(&l.Replicas, func(v *sexp.Node) (int, error) { return v.Int(1, 10_000) }, func(a, b int) bool { return a < b }),
		"cores":    span(&l.Cores, func(v *sexp.Node) (float64, error) { return v.Number(0.001, 1e4) }, func(a, b float64) bool { return a < b }),
		"memory":   span(&l.Memory, func(v *sexp.Node) (float64, error) { return v.Number(0.001, 1e4) }, func(a, b float64) bool { return a < b }),
		"life":     span(&l.Life, func(v *sexp.Node) (time.Duration, error) { return v.Duration(time.Millisecond, day) }, func(a, b time.Duration) bool { return a < b }),
		"from":     sexp.Duration(&l.From, 0, day),
		"to":       sexp.Duration(&l.To, 0, day),
	}, nil, r.errs)
	r.s.Load = append(r.s.Load, l)
	return nil
}

func (r *reader) trouble(k Kind) sexp.Field {
	return func(n *sexp.Node) error {
		t := Trouble{Kind: k, For: 3 * time.Second, Hosts: 0.25, Placer: -1, Factor: 3, Every: time.Second, Delay: 300 * time.Millisecond, Pos: n.Pos}
		sexp.Fields(n.Args(), map[string]sexp.Field{
			"at":     sexp.Duration(&t.At, 0, day),
			"for":    sexp.Duration(&t.For, 0, day),
			"hosts":  sexp.Number(&t.Hosts, 0.001, 1),
			"zone":   sexp.Text(&t.Zone),
			"rack":   sexp.Text(&t.Rack),
			"class":  sexp.Text(&t.Class),
			"placer": sexp.Int(&t.Placer, 0, 4095),
			"factor": sexp.Number(&t.Factor, 0.01, 1000),
			"every":  sexp.Duration(&t.Every, 10*time.Millisecond, day),
			"delay":  sexp.Duration(&t.Delay, time.Millisecond, time.Hour),
		}, nil, r.errs)
		r.s.Troubles = append(r.s.Troubles, t)
		return nil
	}
}
