// Package settings reads a placer's settings, S-expressions, and checks every field.
package settings

import (
	_ "embed"
	"fmt"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/hostport"
	"forkhead/internal/parse/sexp"
)

// Default is the text of the settings that hold where a user gives none.
//
//go:embed default.sexp
var Default []byte

// Settings are what a placer service is told when it starts. Figures that the module rules by
// are in Module and are passed on as they stand; Self and Zone are set by For.
type Settings struct {
	Module           forkhead.Settings
	MachineTypeNames []string // names, by place in Module.MachineTypes
	Classes          []Class  // names and waits, by place in Module.Classes
	Tenants          []string // names, by place in Module.Tenants

	DefaultClass int

	Placers          []Placer
	ServiceDiscovery ServiceDiscovery
	Owner            Owner
	HostConnections  HostConnections
	Limits           Limits
	SavedHostList    SavedHostList
}

// SavedHostList says what a list of hosts kept on disk is worth to a placer that starts.
type SavedHostList struct {
	FreshAge time.Duration // as good as one from the catalogue up to this age
	MaxAge   time.Duration // of no use beyond it; between the two a host counts once it has greeted
}

// Class is what the service knows of a class beside what the module does.
type Class struct {
	Name             string
	RequestTimeout   time.Duration // one placement request is given up after this
	PlacementTimeout time.Duration // a task is requested again and again for so long
}

// Placer is one placer of the service.
type Placer struct {
	Zone          string
	HTTPAddress   string // address of its front
	GossipAddress string // UDP address for messages between placers
}

// ServiceDiscovery says where the list of hosts comes from.
type ServiceDiscovery struct {
	Address     string
	Service     string        // name under which hosts are registered
	MaxWait     time.Duration // longest a blocking query is held
	Timeout     time.Duration // beyond Wait; then the query has failed
	MinInterval time.Duration // least time between two queries
}

// Owner says how a task that was refused, failed, moved or lost is asked for again.
type Owner struct {
	MinBackoff       time.Duration // mean wait after the first refusal
	MaxBackoff       time.Duration // waits double up to this
	MigrationBackoff time.Duration // mean wait after a move or loss
	MaxRequests      int           // placement requests for one outcome
	MaxPlacements    int           // how often one task is placed, counting each placement that was lost again
}

// HostConnections says how connections to hosts are kept.
type HostConnections struct {
	ConnectTimeout time.Duration // no connection within it: it has failed
	MinBackoff     time.Duration // mean wait before the first reconnect
	MaxBackoff     time.Duration // waits double up to this
	LostAfter      time.Duration // a host that is gone for so long has lost its tasks, where a repeat is harmless
	ProbeTimeout   time.Duration // a probe without an answer for so long has failed
}

// Limits bound memory and work. What happens at each is in docs/ops/placer.md.
type Limits struct {
	Body        int           // bytes of a submission
	Tasks       int           // tasks that one placer holds
	PerSubmit   int           // tasks of one submission
	Submissions int           // submissions remembered
	Retention   time.Duration // how long a finished submission can be read again
	Connections int           // to the front
	Buffer      int           // bytes waiting for one reader
	Hosts       int           // hosts in the list
	Labels      int           // different placement constraints at once
}

// Parse parses and checks a file of settings. The error lists all faults with their places.
func Parse(file string, text []byte) (*Settings, error) {
	nodes, err := sexp.Parse(file, text)
	if err != nil {
		return nil, err
	}
	if len(nodes) != 1 || nodes[0].Head() != "forkhead" {
		pos := diagnostic.Pos{File: file, Line: 1, Col: 1}
		if len(nodes) > 0 {
			pos = nodes[min(len(nodes), 2)-1].Pos
		}
		return nil, diagnostic.Wantf(pos, "one (forkhead ...)", "the file holds something else")
	}
	return FromNode(nodes[0])
}

// FromNode reads settings from a (forkhead ...) list that stands in a larger file.
func FromNode(n *sexp.Node) (*Settings, error) {
	s := &Settings{}
	errs := &diagnostic.List{}
	r := reader{s: s, errs: errs}
	r.defaults()
	r.read(n)
	if err := errs.Err(); err != nil {
		return nil, err
	}
	if _, err := forkhead.New(s.For(0).Module, 0); err != nil {
		return nil, diagnostic.Errorf(n.Pos, "%s", strings.TrimPrefix(err.Error(), "forkhead: "))
	}
	return s, nil
}

// For returns the settings of one placer: Module.Self and Module.Placers are set.
func (s *Settings) For(self int) *Settings {
	c := *s
	c.Module.Self, c.Module.Placers = self, len(s.Placers)
	return &c
}

// Class returns the place of a class by name.
func (s *Settings) Class(name string) (int, bool) {
	for i, c := range s.Classes {
		if c.Name == name {
			return i, true
		}
	}
	return 0, false
}

// Index returns the place of a name in a list, or -1.
func Index(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}

type reader struct {
	s          *Settings
	errs       *diagnostic.List
	classKinds []wantKind
}

// wantKind is a class's kind, looked up once all kinds are read.
type wantKind struct {
	class int
	name  *sexp.Node
}

func (r *reader) defaults() {
	r.s.Module = forkhead.Settings{
		CoresOvercommit: 1, MemoryOvercommit: 1, BoundWhenRunning: false, ListReportsAvailable: true, ReportsCountRequested: true,
		ReportsInOutcomes: true, ReportsInProbes: true, NotesReportUsage: true, NotesReportPressure: true,
		MaxAttempts: 4, MayWithdraw: true, MayProbe: true, MayGossip: true,
		OwnerBackoff: 3 * time.Second, MaxRetryAfter: 3 * time.Second, ConnectTimeout: 250 * time.Millisecond,
		AnswerSlack: 10 * time.Millisecond, DrainGrace: 250 * time.Millisecond, MaxPollInterval: 10 * time.Second,
		SlowStartDuration: 10 * time.Second, SlowStartWindow: time.Second, SlowStartMaxOffers: 20, SlowStartInitialRate: 0.2, SlowStartOverload: 4,
		OverQuotaWeight: 0.2,
		Costs: forkhead.Costs{
			SurplusMachine: 0.15, Migration: 0.05, EvictionMigrations: 2, Rejection: 0.02, WastedWork: 0.05, Probe: 0.003, Gossip: 0.01, ListEntries: 0.004,
		},
	}
	r.s.DefaultClass = 0
	r.s.ServiceDiscovery = ServiceDiscovery{
		Address: "127.0.0.1:8500", Service: "forkhead-host", MaxWait: 10 * time.Second, Timeout: 2 * time.Second,
		MinInterval: 200 * time.Millisecond,
	}
	r.s.Owner = Owner{MinBackoff: time.Second, MaxBackoff: 15 * time.Second, MigrationBackoff: 100 * time.Millisecond, MaxRequests: 100, MaxPlacements: 1000}
	r.s.SavedHostList = SavedHostList{FreshAge: time.Minute, MaxAge: 24 * time.Hour}
	r.s.HostConnections = HostConnections{
		ConnectTimeout: time.Second, MinBackoff: 100 * time.Millisecond, MaxBackoff: 3 * time.Second, LostAfter: 3 * time.Second,
		ProbeTimeout: time.Second,
	}
	r.s.Limits = Limits{
		Body: 1 << 20, Tasks: 100_000, PerSubmit: 10_000, Submissions: 10_000, Retention: 10 * time.Minute,
		Connections: 1000, Buffer: 4 << 20, Hosts: 10_000, Labels: 64,
	}
}

const (
	long = 24 * time.Hour
	most = 1e9
)

func (r *reader) read(n *sexp.Node) {
	m := &r.s.Module
	var defaultClass *sexp.Node
	sexp.Fields(n.Args(), map[string]sexp.Field{
		"placer": r.placer,
		"kind":   r.kind,
		"class":  r.class,
		"tenant": r.tenant,
		"default-class": sexp.SingleValue(func(v *sexp.Node) error {
			defaultClass = v
			_, err := v.Text()
			return err
		}),
		"mean-cores":  sexp.Number(&m.MeanCores, 1e-3, 1e4),
		"mean-memory": r.memory(&m.MeanMemory),
		"accept":      r.group(map[string]sexp.Field{"cores": sexp.Number(&m.CoresOvercommit, 0.1, 10), "memory": sexp.Number(&m.MemoryOvercommit, 0.1, 10)}),
		"bound":       sexp.Choice(&m.BoundWhenRunning, map[string]bool{"accepted": false, "running": true}),
		"sticky":      sexp.Bool(&m.ServiceAffinity),
		"push-out":    sexp.Bool(&m.Preemption),
		"attempts":    sexp.Int(&m.MaxAttempts, 1, 100),
		"withdraw":    sexp.Bool(&m.MayWithdraw),
		"probe":       sexp.Bool(&m.MayProbe),
		"tell":        sexp.Bool(&m.MayGossip),
		"drain-grace": sexp.Duration(&m.DrainGrace, 0, time.Minute),
		"list-within": sexp.Duration(&m.MaxPollInterval, 100*time.Millisecond, time.Hour),
		"cold": r.group(map[string]sexp.Field{
			"for":      sexp.Duration(&m.SlowStartDuration, 0, time.Hour),
			"window":   sexp.Duration(&m.SlowStartWindow, 0, time.Minute),
			"offers":   sexp.Number(&m.SlowStartMaxOffers, 0, 1e6),
			"from":     sexp.Number(&m.SlowStartInitialRate, 0, 1),
			"multiple": sexp.Number(&m.SlowStartOverload, 0, 1000),
		}),
		"over-share-worth": sexp.Number(&m.OverQuotaWeight, 0, 1),
		"prices": r.group(map[string]sexp.Field{
			"machine": sexp.Number(&m.Costs.SurplusMachine, 0, 10),
			"move":    sexp.Number(&m.Costs.Migration, 0, 10),
			"evict":   sexp.Number(&m.Costs.EvictionMigrations, 0, 100),
			"refusal": sexp.Number(&m.Costs.Rejection, 0, 10),
			"zone":    sexp.Number(&m.Costs.RemoteZone, 0, 10),
			"waste":   sexp.Number(&m.Costs.WastedWork, 0, 10),
			"probe":   sexp.Number(&m.Costs.Probe, 0, 10),
			"tell":    sexp.Number(&m.Costs.Gossip, 0, 10),
			"list":    sexp.Number(&m.Costs.ListEntries, 0, 10),
		}),
		"owner": r.group(map[string]sexp.Field{
			"wait":            sexp.Duration(&m.OwnerBackoff, 0, time.Hour),
			"max-retry-after": sexp.Duration(&m.MaxRetryAfter, 0, time.Hour),
			"first":           sexp.Duration(&r.s.Owner.MinBackoff, time.Millisecond, time.Hour),
			"most":            sexp.Duration(&r.s.Owner.MaxBackoff, time.Millisecond, long),
			"soon":            sexp.Duration(&r.s.Owner.MigrationBackoff, time.Millisecond, time.Hour),
			"asks":            sexp.Int(&r.s.Owner.MaxRequests, 1, 1e6),
			"lives":           sexp.Int(&r.s.Owner.MaxPlacements, 1, 1e6),
		}),
		"links": r.group(map[string]sexp.Field{
			"connect":    sexp.Duration(&r.s.HostConnections.ConnectTimeout, time.Millisecond, time.Minute),
			"first":      sexp.Duration(&r.s.HostConnections.MinBackoff, time.Millisecond, time.Minute),
			"most":       sexp.Duration(&r.s.HostConnections.MaxBackoff, time.Millisecond, time.Hour),
			"lost-after": sexp.Duration(&r.s.HostConnections.LostAfter, 0, time.Hour),
			"probe":      sexp.Duration(&r.s.HostConnections.ProbeTimeout, time.Millisecond, time.Minute),
		}),
		"saved-list": r.group(map[string]sexp.Field{
			"fresh": sexp.Duration(&r.s.SavedHostList.FreshAge, 0, 24*time.Hour),
			"old":   sexp.Duration(&r.s.SavedHostList.MaxAge, 0, 365*24*time.Hour),
		}),
		"catalogue": r.group(map[string]sexp.Field{
			"address": r.address(&r.s.ServiceDiscovery.Address),
			"service": sexp.Text(&r.s.ServiceDiscovery.Service),
			"wait":    sexp.Duration(&r.s.ServiceDiscovery.MaxWait, 10*time.Millisecond, 10*time.Minute),
			"timeout": sexp.Duration(&r.s.ServiceDiscovery.Timeout, 10*time.Millisecond, 10*time.Minute),
			"pace":    sexp.Duration(&r.s.ServiceDiscovery.MinInterval, time.Millisecond, time.Minute),
		}),
		"limits": r.group(map[string]sexp.Field{
			"body":        sexp.Int(&r.s.Limits.Body, 1024, 64<<20),
			"tasks":       sexp.Int(&r.s.Limits.Tasks, 1, 1e7),
			"per-submit":  sexp.Int(&r.s.Limits.PerSubmit, 1, 1e6),
			"submissions": sexp.Int(&r.s.Limits.Submissions, 1, 1e6),
			"keep":        sexp.Duration(&r.s.Limits.Retention, time.Second, long),
			"connections": sexp.Int(&r.s.Limits.Connections, 1, 1e6),
			"buffer":      sexp.Int(&r.s.Limits.Buffer, 4096, 1<<30),
			"hosts":       sexp.Int(&r.s.Limits.Hosts, 1, 1e6),
			"labels":      sexp.Int(&r.s.Limits.Labels, 1, 64),
		}),
	}, map[string]bool{"placer": true, "kind": true, "class": true, "tenant": true}, r.errs)
	r.finish(n, defaultClass)
}

// finish checks what concerns several settings.
func (r *reader) finish(n, defaultClass *sexp.Node) {
	s := r.s
	if len(s.Placers) == 0 {
		s.Placers = []Placer{{Zone: "", HTTPAddress: "127.0.0.1:7070", GossipAddress: "127.0.0.1:7071"}}
	}
	if len(s.MachineTypeNames) == 0 {
		r.errs.Add(diagnostic.Wantf(n.Pos, "(kind NAME (cores N) (memory N))", "no kind of host is named"))
	}
	if len(s.Classes) == 0 {
		r.errs.Add(diagnostic.Wantf(n.Pos, "(class NAME ...)", "no class of task is named"))
	}
	for _, w := range r.classKinds {
		kind := Index(s.MachineTypeNames, w.name.Atom)
		if kind < 0 {
			r.errs.Add(diagnostic.Wantf(w.name.Pos, strings.Join(s.MachineTypeNames, ", "), "kind %q is not named", w.name.Atom))
		}
		s.Module.Classes[w.class].MachineType = kind
	}
	if defaultClass != nil {
		i, ok := s.Class(defaultClass.Atom)
		if !ok {
			r.errs.Add(diagnostic.Errorf(defaultClass.Pos, "class %q is not named", defaultClass.Atom))
		}
		s.DefaultClass = i
	}
	if s.Module.MeanCores == 0 {
		s.Module.MeanCores = 1
	}
	if s.Module.MeanMemory == 0 {
		s.Module.MeanMemory = 2
	}
	if s.Owner.MaxBackoff < s.Owner.MinBackoff {
		r.errs.Add(diagnostic.Wantf(n.Pos, fmt.Sprintf("at least first, %v", s.Owner.MinBackoff), "owner: most is %v", s.Owner.MaxBackoff))
	}
	if s.HostConnections.MaxBackoff < s.HostConnections.MinBackoff {
		r.errs.Add(diagnostic.Wantf(n.Pos, fmt.Sprintf("at least first, %v", s.HostConnections.MinBackoff), "links: most is %v", s.HostConnections.MaxBackoff))
	}
	total := 0.0
	for _, t := range s.Module.Tenants {
		total += t.Quota
	}
	if total > 1.001 {
		r.errs.Add(diagnostic.Wantf(n.Pos, "at most 1", "the tenants' shares sum to %.3g", total))
	}
	s.Module.Placers = len(s.Placers)
}

func (r *reader) group(fields map[string]sexp.Field) sexp.Field {
	return func(n *sexp.Node) error {
		sexp.Fields(n.Args(), fields, nil, r.errs)
		return nil
	}
}

func (r *reader) address(to *string) sexp.Field {
	return sexp.SingleValue(func(v *sexp.Node) error {
		word, err := v.Text()
		if err != nil {
			return err
		}
		if _, _, err := hostport.Split(word); err != nil {
			return diagnostic.Wantf(v.Pos, "ADDRESS:PORT", "%q", word)
		}
		*to = word
		return nil
	})
}

// Gibibyte is the module's unit of memory, in bytes.
const Gibibyte = 1 << 30

// memory reads an amount with its unit into units of a gibibyte.
func (r *reader) memory(to *float64) sexp.Field {
	return sexp.SingleValue(func(v *sexp.Node) error {
		word, err := v.Text()
		if err != nil {
			return err
		}
		units := map[string]float64{"GiB": 1, "MiB": 1. / 1024, "TiB": 1024}
		for unit, factor := range units {
			if rest, ok := strings.CutSuffix(word, unit); ok {
				amount := &sexp.Node{Pos: v.Pos, Atom: rest}
				x, err := amount.Number(1e-3, 1e6)
				if err != nil {
					return diagnostic.Wantf(v.Pos, "an amount as 512MiB or 64GiB", "%q", word)
				}
				*to = x * factor
				return nil
			}
		}
		return diagnostic.Wantf(v.Pos, "an amount as 512MiB or 64GiB", "%q", word)
	})
}

func (r *reader) placer(n *sexp.Node) error {
	p := Placer{}
	sexp.Fields(n.Args(), map[string]sexp.Field{
		"zone": sexp.Text(&p.Zone),
		"http": r.address(&p.HTTPAddress),
		"tell": r.address(&p.GossipAddress),
	}, nil, r.errs)
	if len(r.s.Placers) >= 4096 {
		return diagnostic.Wantf(n.Pos, "at most 4096", "too many placers")
	}
	r.s.Placers = append(r.s.Placers, p)
	return nil
}

// named splits (head NAME fields...) and refuses a name that is taken.
func named(n *sexp.Node, taken []string) (string, []*sexp.Node, error) {
	args := n.Args()
	if len(args) == 0 || args[0].List || args[0].Atom == "" {
		return "", nil, diagnostic.Wantf(n.Pos, "("+n.Head()+" NAME ...)", "the %s has no name", n.Head())
	}
	if Index(taken, args[0].Atom) >= 0 {
		return "", nil, diagnostic.Errorf(args[0].Pos, "%s %q is named a second time", n.Head(), args[0].Atom)
	}
	if len(taken) >= 250 {
		return "", nil, diagnostic.Wantf(n.Pos, "at most 250", "too many of %s", n.Head())
	}
	return args[0].Atom, args[1:], nil
}

func (r *reader) kind(n *sexp.Node) error {
	name, rest, err := named(n, r.s.MachineTypeNames)
	if err != nil {
		return err
	}
	k := forkhead.MachineType{}
	sexp.Fields(rest, map[string]sexp.Field{
		"cores": sexp.Number(&k.Cores, 1e-3, 1e5), "memory": r.memory(&k.Memory),
	}, nil, r.errs)
	if k.Cores == 0 || k.Memory == 0 {
		r.errs.Add(diagnostic.Wantf(n.Pos, "(cores N) and (memory N)", "kind %q lacks its cores or memory", name))
	}
	r.s.MachineTypeNames = append(r.s.MachineTypeNames, name)
	r.s.Module.MachineTypes = append(r.s.Module.MachineTypes, k)
	return nil
}

func (r *reader) class(n *sexp.Node) error {
	var names []string
	for _, c := range r.s.Classes {
		names = append(names, c.Name)
	}
	name, rest, err := named(n, names)
	if err != nil {
		return err
	}
	c := Class{Name: name, RequestTimeout: 5 * time.Second}
	m := forkhead.Class{
		DedupWindow: 8 * time.Second, LatencyObjective: time.Second, Weight: 1, LateWeight: 0.1, StartWeight: 10, MachineType: -1,
		SaturationThreshold: 0.9, DegradationRange: 0.2,
	}
	at := len(r.s.Classes)
	sexp.Fields(rest, map[string]sexp.Field{
		"effect":      sexp.Choice(&m.Effect, map[string]forkhead.Effect{"safe": forkhead.Safe, "keyed": forkhead.Keyed, "unsafe": forkhead.Unsafe}),
		"group":       sexp.Choice(&m.DedupDomain, Domains),
		"window":      sexp.Duration(&m.DedupWindow, 0, time.Hour),
		"aim":         sexp.Duration(&m.LatencyObjective, 0, time.Hour),
		"wait":        sexp.Duration(&c.RequestTimeout, time.Millisecond, time.Hour),
		"patience":    sexp.Duration(&c.PlacementTimeout, time.Millisecond, long),
		"worth":       sexp.Number(&m.Weight, 0, most),
		"late-worth":  sexp.Number(&m.LateWeight, 0, 1),
		"start-worth": sexp.Number(&m.StartWeight, 0, most),
		"priority":    sexp.Int(&m.Priority, 0, 3),
		"kind": sexp.SingleValue(func(v *sexp.Node) error {
			r.classKinds = append(r.classKinds, wantKind{at, v})
			_, err := v.Text()
			return err
		}),
		"spread": func(f *sexp.Node) error {
			if len(f.Args()) != 2 {
				return diagnostic.Wantf(f.Pos, "(spread machine|rack|zone MOST)", "spread has %d values", len(f.Args()))
			}
			if err := sexp.Choice(&m.SpreadDomain, Domains)(&sexp.Node{Pos: f.Pos, List: true, Items: f.Items[:2]}); err != nil {
				return err
			}
			m.MaxPerDomain, err = f.Items[2].Int(1, 1e6)
			return err
		},
		"calm": sexp.Number(&m.SaturationThreshold, 0.01, 10),
		"fade": sexp.Number(&m.DegradationRange, 0, 10),
	}, nil, r.errs)
	if c.PlacementTimeout == 0 {
		c.PlacementTimeout = 2 * c.RequestTimeout
	}
	if c.PlacementTimeout < c.RequestTimeout {
		r.errs.Add(diagnostic.Wantf(n.Pos, fmt.Sprintf("at least its wait, %v", c.RequestTimeout), "class %q: patience is %v", name, c.PlacementTimeout))
	}
	r.s.Classes = append(r.s.Classes, c)
	r.s.Module.Classes = append(r.s.Module.Classes, m)
	return nil
}

// Domains are the words for sets of hosts, in settings and descriptions.
var Domains = map[string]forkhead.Domain{
	"anywhere": forkhead.AnyDomain, "machine": forkhead.MachineDomain, "rack": forkhead.CellDomain, "zone": forkhead.ZoneDomain,
}

func (r *reader) tenant(n *sexp.Node) error {
	name, rest, err := named(n, r.s.Tenants)
	if err != nil {
		return err
	}
	t := forkhead.Tenant{}
	sexp.Fields(rest, map[string]sexp.Field{
		"share": sexp.Number(&t.Quota, 0, 1), "cores": sexp.Number(&t.QuotaCores, 0, most),
	}, nil, r.errs)
	r.s.Tenants = append(r.s.Tenants, name)
	r.s.Module.Tenants = append(r.s.Module.Tenants, t)
	return nil
}
