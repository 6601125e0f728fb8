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
//go:embed default.sexp
var Default []byte

// Recovery is a day on which placers are killed again and again and discovery is silent when they come back; they keep
// what they must not forget.
//
//go:embed recovery.sexp
var Recovery []byte

// FaultFree is the fleet that try places on.
//
//go:embed faultfree.sexp
var FaultFree []byte

// Scenario is one chaos test.
type Scenario struct {
	File         string
	Text         []byte // as it was read
	Settings     *settings.Settings
	Seed         int
	Length       time.Duration // load and troubles
	Durable      bool          // placers keep what must not be forgotten over their death
	Settle       time.Duration // after it, for what is still open
	HostGroups   []HostGroup
	Catalog      CatalogBehavior
	Host         HostBehavior
	Loads        []Load
	Faults       []Fault
	InjectedBugs []InjectedBug
}

// HostGroup is some hosts of one kind in one zone.
type HostGroup struct {
	Count, Racks      int
	MachineType, Zone string
	Prefix            string
	Labels            map[string]string
	WarmingUp         bool
}

// HostBehavior is how hosts behave.
type HostBehavior struct {
	DecisionTime, StartTime, NoteInterval, RegistrationInterval time.Duration
	MaxQueued, MaxStarting, MaxCachedPrograms                   int
	UncachedStartFactor, MeanUsage, UsageSwing                  float64
}

// CatalogBehavior is how the list behaves.
type CatalogBehavior struct {
	Lag, CriticalAfter, DeregisterAfter time.Duration
}

// Load is a stream of submissions.
type Load struct {
	Name         string
	Class        string
	Tenant       string
	Rate         float64 // submissions a second, over all placers
	Replicas     [2]int
	Cores        [2]float64
	Memory       [2]float64 // GiB
	TaskDuration [2]time.Duration
	From, To     time.Duration
	Pos          diagnostic.Pos
}

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of trouble.
const (
	Crash               FaultKind = "crash"           // hosts die with resets and come back cold
	HostPauses          FaultKind = "pauses"          // hosts stand still again and again
	Vanish              FaultKind = "vanish"          // hosts go silent and come back cold
	LateReports         FaultKind = "report-late"     // hosts register, and report, late
	Shrink              FaultKind = "shrink"          // hosts drain and leave for good
	Deploy              FaultKind = "deploy"          // hosts drain and are replaced by cold ones, some at a time
	HotKey              FaultKind = "hot-key"         // tasks of a class use all they may: starts and service slow down
	StaleDiscovery      FaultKind = "discovery-stale" // the list is late
	ListOutage          FaultKind = "list-outage"     // the list does not answer
	ListFrozen          FaultKind = "list-frozen"     // the list answers what it was
	ZoneLoss            FaultKind = "zone-loss"       // a zone is lost, at times with its placers
	Burst               FaultKind = "burst"           // the load jumps
	Reconnect           FaultKind = "reconnect"       // owners end projects and ask for all of them again
	HostDegradation     FaultKind = "ageing"          // hosts get slower, then crash
	MassRestart         FaultKind = "mass-restart"    // a rack restarts at once
	ClassUnanswered     FaultKind = "class-fail"      // starts of a class do not come on some hosts
	PlacerStall         FaultKind = "placer-stall"    // placers stand still
	PlacerKill          FaultKind = "placer-kill"     // a placer is killed and starts again
	ConnectionResets    FaultKind = "cut"             // connections to hosts break
	HalfOpenConnections FaultKind = "half-open"       // connections go deaf
	TruncatedFrames     FaultKind = "tear"            // frames are cut in the middle
	DelayedFrames       FaultKind = "late-frames"     // frames of hosts arrive late
	GossipLoss          FaultKind = "tell-loss"       // messages between placers are lost
	ClientDisconnects   FaultKind = "client-cut"      // clients' streams break, and they ask again
	SlowReader          FaultKind = "slow-reader"     // clients do not read
	DieMidStart         FaultKind = "die-mid-start"   // hosts die in the middle of a start
	DieAfterBind        FaultKind = "die-after-bind"  // hosts die after a task runs and before they say so
	ClassRejected       FaultKind = "refuse"          // hosts turn a class away
)

// FaultKinds lists all kinds of faults.
var FaultKinds = []FaultKind{
	Crash, HostPauses, Vanish, LateReports, Shrink, Deploy, HotKey, StaleDiscovery, ListOutage, ListFrozen, ZoneLoss, Burst, Reconnect,
	HostDegradation, MassRestart, ClassUnanswered, PlacerStall, PlacerKill, ConnectionResets, HalfOpenConnections, TruncatedFrames, DelayedFrames, GossipLoss, ClientDisconnects, SlowReader,
	DieMidStart, DieAfterBind, ClassRejected,
}

// InjectedBug is a breach that a script plants, to show that the checker catches it.
type InjectedBug string

// The plants, one for each rule.
const (
	BugTwoOutcomes        InjectedBug = "one-answer"
	BugRepeatedOffer      InjectedBug = "no-repeat"
	BugOfferWhileDraining InjectedBug = "drain"
	BugSlowStartOverload  InjectedBug = "cold"
	BugSpreadExceeded     InjectedBug = "spread"
)

// InjectedBugs lists them.
var InjectedBugs = []InjectedBug{BugTwoOutcomes, BugRepeatedOffer, BugOfferWhileDraining, BugSlowStartOverload, BugSpreadExceeded}

// Fault is one fault of the schedule.
type Fault struct {
	Kind      FaultKind
	At        time.Duration
	Duration  time.Duration // how long it lasts; for kinds that end at once, until what died comes back
	HostShare float64       // share of the hosts
	Zone      string
	Rack      string
	Class     string
	Placer    int // -1: none, or all
	Factor    float64
	Interval  time.Duration // of those that repeat
	Delay     time.Duration
	Pos       diagnostic.Pos
}

// Read parses and checks a script.
func Read(file string, text []byte) (*Scenario, error) {
	nodes, err := sexp.Parse(file, text)
	if err != nil {
		return nil, err
	}
	if len(nodes) != 1 || nodes[0].Head() != "badday" {
		return nil, diagnostic.Wantf(diagnostic.Pos{File: file, Line: 1, Col: 1}, "one (badday ...)", "the file holds something else")
	}
	s := &Scenario{
		File: file, Text: text, Seed: 1, Length: 20 * time.Second, Settle: 15 * time.Second,
		Catalog: CatalogBehavior{Lag: 300 * time.Millisecond, CriticalAfter: 2 * time.Second, DeregisterAfter: 6 * time.Second},
		Host: HostBehavior{
			DecisionTime: 2 * time.Millisecond, StartTime: 20 * time.Millisecond, NoteInterval: time.Second, RegistrationInterval: 500 * time.Millisecond,
			MaxQueued: 50, MaxStarting: 4, MaxCachedPrograms: 8, UncachedStartFactor: 5, MeanUsage: 0.7, UsageSwing: 0.15,
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
	s    *Scenario
	errs *diagnostic.List
}

const day = 24 * time.Hour

func (r *reader) read(n *sexp.Node) {
	s := r.s
	var own *sexp.Node
	troubles := map[string]sexp.Field{}
	for _, k := range FaultKinds {
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
				"look":    sexp.Duration(&h.DecisionTime, time.Microsecond, time.Minute),
				"start":   sexp.Duration(&h.StartTime, time.Microsecond, time.Minute),
				"notes":   sexp.Duration(&h.NoteInterval, 10*time.Millisecond, time.Hour),
				"refresh": sexp.Duration(&h.RegistrationInterval, 10*time.Millisecond, time.Hour),
				"line":    sexp.Int(&h.MaxQueued, 1, 1e6),
				"starts":  sexp.Int(&h.MaxStarting, 1, 1e6),
				"keep":    sexp.Int(&h.MaxCachedPrograms, 0, 1e6),
				"absent":  sexp.Number(&h.UncachedStartFactor, 1, 1000),
				"use":     sexp.Number(&h.MeanUsage, 0.01, 10),
				"swing":   sexp.Number(&h.UsageSwing, 0, 10),
			}, nil, r.errs)
			return nil
		},
		"catalogue": func(f *sexp.Node) error {
			sexp.Fields(f.Args(), map[string]sexp.Field{
				"lag":        sexp.Duration(&s.Catalog.Lag, 0, time.Minute),
				"critical":   sexp.Duration(&s.Catalog.CriticalAfter, 10*time.Millisecond, day),
				"deregister": sexp.Duration(&s.Catalog.DeregisterAfter, 10*time.Millisecond, day),
			}, nil, r.errs)
			return nil
		},
		"load": r.load,
		"plant": func(f *sexp.Node) error {
			words := map[string]InjectedBug{}
			for _, p := range InjectedBugs {
				words[string(p)] = p
			}
			var p InjectedBug
			err := sexp.Choice(&p, words)(f)
			if err == nil {
				s.InjectedBugs = append(s.InjectedBugs, p)
			}
			return err
		},
		"troubles": func(f *sexp.Node) error { sexp.Fields(f.Args(), troubles, all(troubles), r.errs); return nil },
	}, map[string]bool{"hosts": true, "load": true, "plant": true}, r.errs)
	var err error
	switch {
	case own == nil:
		s.Settings, err = settings.Parse("default settings", settings.Default)
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
	if len(s.HostGroups) == 0 {
		r.errs.Add(diagnostic.Wantf(n.Pos, "(hosts COUNT (kind NAME) ...)", "the day has no hosts"))
	}
	for _, g := range s.HostGroups {
		if settings.Index(s.Settings.MachineTypeNames, g.MachineType) < 0 {
			r.errs.Add(diagnostic.Wantf(n.Pos, strings.Join(s.Settings.MachineTypeNames, ", "), "hosts of kind %q, which the settings do not name", g.MachineType))
		}
	}
	for _, l := range s.Loads {
		if _, ok := s.Settings.Class(l.Class); !ok {
			r.errs.Add(diagnostic.Errorf(l.Pos, "load of class %q, which the settings do not name", l.Class))
		}
		if l.Tenant != "" && !slices.Contains(s.Settings.Tenants, l.Tenant) {
			r.errs.Add(diagnostic.Errorf(l.Pos, "load of tenant %q, which the settings do not name", l.Tenant))
		}
	}
	for _, t := range s.Faults {
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
	g := HostGroup{Racks: 1, Labels: map[string]string{}}
	var err error
	if g.Count, err = args[0].Int(1, 10_000); err != nil {
		return err
	}
	sexp.Fields(args[1:], map[string]sexp.Field{
		"kind":   sexp.Text(&g.MachineType),
		"zone":   sexp.Text(&g.Zone),
		"racks":  sexp.Int(&g.Racks, 1, 10_000),
		"prefix": sexp.Text(&g.Prefix),
		"cold":   sexp.Bool(&g.WarmingUp),
		"label": func(f *sexp.Node) error {
			if len(f.Args()) != 2 {
				return diagnostic.Wantf(f.Pos, "(label NAME VALUE)", "label has %d values", len(f.Args()))
			}
			g.Labels[f.Items[1].Atom] = f.Items[2].Atom
			return nil
		},
	}, map[string]bool{"label": true}, r.errs)
	if g.Prefix == "" {
		g.Prefix = fmt.Sprintf("%s-%s-", g.Zone, g.MachineType)
	}
	r.s.HostGroups = append(r.s.HostGroups, g)
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
		TaskDuration: [2]time.Duration{5 * time.Second, 5 * time.Second}, To: r.s.Length, Pos: n.Pos,
	}
	sexp.Fields(args[1:], map[string]sexp.Field{
		"class":    sexp.Text(&l.Class),
		"tenant":   sexp.Text(&l.Tenant),
		"rate":     sexp.Number(&l.Rate, 0.001, 1e5),
		"replicas": span(&l.Replicas, func(v *sexp.Node) (int, error) { return v.Int(1, 10_000) }, func(a, b int) bool { return a < b }),
		"cores":    span(&l.Cores, func(v *sexp.Node) (float64, error) { return v.Number(0.001, 1e4) }, func(a, b float64) bool { return a < b }),
		"memory":   span(&l.Memory, func(v *sexp.Node) (float64, error) { return v.Number(0.001, 1e4) }, func(a, b float64) bool { return a < b }),
		"life":     span(&l.TaskDuration, func(v *sexp.Node) (time.Duration, error) { return v.Duration(time.Millisecond, day) }, func(a, b time.Duration) bool { return a < b }),
		"from":     sexp.Duration(&l.From, 0, day),
		"to":       sexp.Duration(&l.To, 0, day),
	}, nil, r.errs)
	r.s.Loads = append(r.s.Loads, l)
	return nil
}

func (r *reader) trouble(k FaultKind) sexp.Field {
	return func(n *sexp.Node) error {
		t := Fault{Kind: k, Duration: 3 * time.Second, HostShare: 0.25, Placer: -1, Factor: 3, Interval: time.Second, Delay: 300 * time.Millisecond, Pos: n.Pos}
		sexp.Fields(n.Args(), map[string]sexp.Field{
			"at":     sexp.Duration(&t.At, 0, day),
			"for":    sexp.Duration(&t.Duration, 0, day),
			"hosts":  sexp.Number(&t.HostShare, 0.001, 1),
			"zone":   sexp.Text(&t.Zone),
			"rack":   sexp.Text(&t.Rack),
			"class":  sexp.Text(&t.Class),
			"placer": sexp.Int(&t.Placer, 0, 4095),
			"factor": sexp.Number(&t.Factor, 0.01, 1000),
			"every":  sexp.Duration(&t.Interval, 10*time.Millisecond, day),
			"delay":  sexp.Duration(&t.Delay, time.Millisecond, time.Hour),
		}, nil, r.errs)
		r.s.Faults = append(r.s.Faults, t)
		return nil
	}
}
