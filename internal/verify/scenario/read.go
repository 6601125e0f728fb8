package scenario

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/settings"
	"forkhead/internal/parse/sexp"
)

// Bounds of the values of a scenario.
const (
	day                  = 24 * time.Hour
	minLength            = 100 * time.Millisecond
	minInterval          = 10 * time.Millisecond // shortest time between repetitions, and shortest timeout of the catalog
	maxHostGroup         = 10_000                // hosts of a group, and racks of a group
	maxReplicas          = 10_000                // tasks of one submission
	maxHostCount         = 1e6                   // tasks or programs at a host
	maxSeed              = 1 << 30
	maxPlacer            = 4095
	minAmount, maxAmount = 0.001, 1e4 // cores and GiB of memory of a task
	minRate, maxRate     = 0.001, 1e5 // submissions a second
	minFactor, maxFactor = 0.01, 1000 // Fault.Factor
	minHostShare         = 0.001      // Fault.HostShare
	minUsage, maxUsage   = 0.01, 10   // fraction of the requested resources that tasks use
	maxUncachedFactor    = 1000
)

// Read parses and checks a scenario. Its errors have the file, the line and the column, and say what was expected
// there.
func Read(file string, text []byte) (*Scenario, error) {
	nodes, err := sexp.Parse(file, text)
	if err != nil {
		return nil, err
	}
	if len(nodes) != 1 || nodes[0].Head() != "badday" {
		return nil, diagnostic.Wantf(diagnostic.Pos{File: file, Line: 1, Col: 1}, "one (badday ...)", "the file does not hold exactly one scenario")
	}
	r := &reader{scenario: newScenario(file, text), errs: &diagnostic.List{}}
	r.readScenario(nodes[0])
	if err := r.errs.Err(); err != nil {
		return nil, err
	}
	return r.scenario, nil
}

// newScenario returns a scenario with the defaults of the optional elements.
func newScenario(file string, text []byte) *Scenario {
	return &Scenario{
		File: file, Text: text, Seed: 1, Length: 20 * time.Second, Settle: 15 * time.Second,
		Catalog: CatalogBehavior{Lag: 300 * time.Millisecond, CriticalAfter: 2 * time.Second, DeregisterAfter: 6 * time.Second},
		Host: HostBehavior{
			DecisionTime: 2 * time.Millisecond, StartTime: 20 * time.Millisecond, NoteInterval: time.Second,
			RegistrationInterval: 500 * time.Millisecond, MaxQueued: 50, MaxStarting: 4, MaxCachedPrograms: 8,
			UncachedStartFactor: 5, MeanUsage: 0.7, UsageSwing: 0.15,
		},
	}
}

// reader reads a scenario and collects its errors.
type reader struct {
	scenario *Scenario
	settings *sexp.Node // the element (settings ...); nil: the scenario has none
	errs     *diagnostic.List
}

func (r *reader) readScenario(n *sexp.Node) {
	s := r.scenario
	repeatable := map[string]bool{"hosts": true, "load": true, "plant": true}
	sexp.Fields(n.Args(), map[string]sexp.Field{
		"settings":  func(f *sexp.Node) error { r.settings = f; return nil },
		"seed":      sexp.Int(&s.Seed, 0, maxSeed),
		"length":    sexp.Duration(&s.Length, minLength, day),
		"durable":   sexp.Bool(&s.Durable),
		"settle":    sexp.Duration(&s.Settle, 0, time.Hour),
		"hosts":     r.readHostGroup,
		"host":      r.readHost,
		"catalogue": r.readCatalog, //nolint:misspell // the key's spelling
		"load":      r.readLoad,
		"plant":     r.readInjectedBug,
		"troubles":  r.readFaults,
	}, repeatable, r.errs)
	r.readSettings()
	if s.Settings != nil {
		r.check(n)
	}
}

// readSettings reads the placers' settings, or the default settings. It is called after all elements have been read.
func (r *reader) readSettings() {
	var err error
	switch n := r.settings; {
	case n == nil:
		r.scenario.Settings, err = settings.Parse("default settings", settings.Default)
	case len(n.Args()) == 1 && n.Args()[0].Head() == "forkhead":
		r.scenario.Settings, err = settings.FromNode(n.Args()[0])
	default:
		err = diagnostic.Wantf(n.Pos, "(settings (forkhead ...))", "settings does not hold exactly one (forkhead ...)")
	}
	r.errs.Add(err)
}

func (r *reader) readHostGroup(n *sexp.Node) error {
	args := n.Args()
	if len(args) == 0 {
		return diagnostic.Wantf(n.Pos, "(hosts COUNT (kind NAME) ...)", "the count of hosts is missing")
	}
	g := HostGroup{Racks: 1, Labels: map[string]string{}}
	var err error
	if g.Count, err = args[0].Int(1, maxHostGroup); err != nil {
		return err
	}
	sexp.Fields(args[1:], map[string]sexp.Field{
		"kind":   sexp.Text(&g.MachineType),
		"zone":   sexp.Text(&g.Zone),
		"racks":  sexp.Int(&g.Racks, 1, maxHostGroup),
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
	r.scenario.HostGroups = append(r.scenario.HostGroups, g)
	return nil
}

func (r *reader) readHost(n *sexp.Node) error {
	h := &r.scenario.Host
	sexp.Fields(n.Args(), map[string]sexp.Field{
		"look":    sexp.Duration(&h.DecisionTime, time.Microsecond, time.Minute),
		"start":   sexp.Duration(&h.StartTime, time.Microsecond, time.Minute),
		"notes":   sexp.Duration(&h.NoteInterval, minInterval, time.Hour),
		"refresh": sexp.Duration(&h.RegistrationInterval, minInterval, time.Hour),
		"line":    sexp.Int(&h.MaxQueued, 1, maxHostCount),
		"starts":  sexp.Int(&h.MaxStarting, 1, maxHostCount),
		"keep":    sexp.Int(&h.MaxCachedPrograms, 0, maxHostCount),
		"absent":  sexp.Number(&h.UncachedStartFactor, 1, maxUncachedFactor),
		"use":     sexp.Number(&h.MeanUsage, minUsage, maxUsage),
		"swing":   sexp.Number(&h.UsageSwing, 0, maxUsage),
	}, nil, r.errs)
	return nil
}

func (r *reader) readCatalog(n *sexp.Node) error {
	c := &r.scenario.Catalog
	sexp.Fields(n.Args(), map[string]sexp.Field{
		"lag":        sexp.Duration(&c.Lag, 0, time.Minute),
		"critical":   sexp.Duration(&c.CriticalAfter, minInterval, day),
		"deregister": sexp.Duration(&c.DeregisterAfter, minInterval, day),
	}, nil, r.errs)
	return nil
}

func (r *reader) readLoad(n *sexp.Node) error {
	args := n.Args()
	if len(args) == 0 || args[0].List {
		return diagnostic.Wantf(n.Pos, "(load NAME ...)", "the name of the load is missing")
	}
	l := Load{
		Name: args[0].Atom, Rate: 1, Replicas: [2]int{1, 1}, Cores: [2]float64{0.5, 0.5}, Memory: [2]float64{1, 1},
		TaskDuration: [2]time.Duration{5 * time.Second, 5 * time.Second}, To: r.scenario.Length, Pos: n.Pos,
	}
	readReplicas := func(v *sexp.Node) (int, error) { return v.Int(1, maxReplicas) }
	readAmount := func(v *sexp.Node) (float64, error) { return v.Number(minAmount, maxAmount) }
	readDuration := func(v *sexp.Node) (time.Duration, error) { return v.Duration(time.Millisecond, day) }
	sexp.Fields(args[1:], map[string]sexp.Field{
		"class":    sexp.Text(&l.Class),
		"tenant":   sexp.Text(&l.Tenant),
		"rate":     sexp.Number(&l.Rate, minRate, maxRate),
		"replicas": rangeField(&l.Replicas, readReplicas),
		"cores":    rangeField(&l.Cores, readAmount),
		"memory":   rangeField(&l.Memory, readAmount),
		"life":     rangeField(&l.TaskDuration, readDuration),
		"from":     sexp.Duration(&l.From, 0, day),
		"to":       sexp.Duration(&l.To, 0, day),
	}, nil, r.errs)
	r.scenario.Loads = append(r.scenario.Loads, l)
	return nil
}

// rangeField returns a Field that sets a range. The element has the minimum and the maximum, or one value for both.
func rangeField[T cmp.Ordered](to *[2]T, read func(v *sexp.Node) (T, error)) sexp.Field {
	return func(n *sexp.Node) error {
		args := n.Args()
		if len(args) < 1 || len(args) > 2 {
			return diagnostic.Wantf(n.Pos, "one value, or minimum and maximum", "%s has %d values", n.Head(), len(args))
		}
		for i := range to {
			v, err := read(args[min(i, len(args)-1)])
			if err != nil {
				return err
			}
			to[i] = v
		}
		if to[1] < to[0] {
			return diagnostic.Errorf(n.Pos, "the maximum of %s is below the minimum", n.Head())
		}
		return nil
	}
}

func (r *reader) readInjectedBug(n *sexp.Node) error {
	byKeyword := map[string]InjectedBug{}
	for _, bug := range InjectedBugs {
		byKeyword[string(bug)] = bug
	}
	var bug InjectedBug
	if err := sexp.Choice(&bug, byKeyword)(n); err != nil {
		return err
	}
	r.scenario.InjectedBugs = append(r.scenario.InjectedBugs, bug)
	return nil
}

func (r *reader) readFaults(n *sexp.Node) error {
	fields := map[string]sexp.Field{}
	repeatable := map[string]bool{}
	for _, kind := range FaultKinds {
		fields[string(kind)] = func(f *sexp.Node) error { return r.readFault(kind, f) }
		repeatable[string(kind)] = true
	}
	sexp.Fields(n.Args(), fields, repeatable, r.errs)
	return nil
}

func (r *reader) readFault(kind FaultKind, n *sexp.Node) error {
	f := Fault{
		Kind: kind, Duration: 3 * time.Second, HostShare: 0.25, Placer: -1, Factor: 3, Interval: time.Second,
		Delay: 300 * time.Millisecond, Pos: n.Pos,
	}
	sexp.Fields(n.Args(), map[string]sexp.Field{
		"at":     sexp.Duration(&f.At, 0, day),
		"for":    sexp.Duration(&f.Duration, 0, day),
		"hosts":  sexp.Number(&f.HostShare, minHostShare, 1),
		"zone":   sexp.Text(&f.Zone),
		"rack":   sexp.Text(&f.Rack),
		"class":  sexp.Text(&f.Class),
		"placer": sexp.Int(&f.Placer, 0, maxPlacer),
		"factor": sexp.Number(&f.Factor, minFactor, maxFactor),
		"every":  sexp.Duration(&f.Interval, minInterval, day),
		"delay":  sexp.Duration(&f.Delay, time.Millisecond, time.Hour),
	}, nil, r.errs)
	r.scenario.Faults = append(r.scenario.Faults, f)
	return nil
}

// check checks that the elements are consistent with each other and with the settings.
func (r *reader) check(n *sexp.Node) {
	s := r.scenario
	if len(s.HostGroups) == 0 {
		r.errs.Add(diagnostic.Wantf(n.Pos, "(hosts COUNT (kind NAME) ...)", "the scenario has no hosts"))
	}
	for _, g := range s.HostGroups {
		if slices.Index(s.Settings.MachineTypeNames, g.MachineType) < 0 {
			r.errs.Add(diagnostic.Wantf(n.Pos, strings.Join(s.Settings.MachineTypeNames, ", "),
				"hosts of kind %q, which the settings do not name", g.MachineType))
		}
	}
	for _, l := range s.Loads {
		if _, ok := s.Settings.ClassIndex(l.Class); !ok {
			r.errs.Add(diagnostic.Errorf(l.Pos, "load of class %q, which the settings do not name", l.Class))
		}
		if l.Tenant != "" && !slices.Contains(s.Settings.Tenants, l.Tenant) {
			r.errs.Add(diagnostic.Errorf(l.Pos, "load of tenant %q, which the settings do not name", l.Tenant))
		}
	}
	for _, f := range s.Faults {
		if f.At > s.Length {
			r.errs.Add(diagnostic.Wantf(f.Pos, fmt.Sprintf("at most the length, %v", s.Length), "fault %s begins at %v", f.Kind, f.At))
		}
		if f.Placer >= len(s.Settings.Placers) {
			r.errs.Add(diagnostic.Wantf(f.Pos, fmt.Sprintf("0 to %d", len(s.Settings.Placers)-1), "fault %s names placer %d", f.Kind, f.Placer))
		}
	}
}
