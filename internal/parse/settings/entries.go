package settings

import (
	"fmt"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/sexp"
)

// The limits of entries that may be repeated.
const (
	maxPlacers = 4096
	maxNames   = 250 // maximum number of machine types, of classes and of tenants
)

// Domains maps the keywords for domains in settings and service descriptions to the domains.
var Domains = map[string]forkhead.Domain{
	"anywhere": forkhead.AnyDomain, "machine": forkhead.MachineDomain, "rack": forkhead.CellDomain, "zone": forkhead.ZoneDomain,
}

// effects maps the keywords for effects in settings to the effects.
var effects = map[string]forkhead.Effect{"safe": forkhead.Safe, "keyed": forkhead.Keyed, "unsafe": forkhead.Unsafe}

// placer adds the placer that (placer fields...) defines.
func (p *parser) placer(n *sexp.Node) error {
	placer := Placer{}
	sexp.Fields(n.Args(), map[string]sexp.Field{
		"zone": sexp.Text(&placer.Zone),
		"http": addressField(&placer.HTTPAddress),
		"tell": addressField(&placer.GossipAddress),
	}, nil, p.errs)
	if len(p.settings.Placers) >= maxPlacers {
		return diagnostic.Wantf(n.Pos, "at most 4096", "too many placers")
	}
	p.settings.Placers = append(p.settings.Placers, placer)
	return nil
}

// splitName returns the name and the fields of an entry (head NAME fields...). It returns an error if the name is in
// the parameter taken, which has the names of the earlier entries with the same head.
func splitName(n *sexp.Node, taken []string) (name string, fields []*sexp.Node, err error) {
	args := n.Args()
	if len(args) == 0 || args[0].List || args[0].Atom == "" {
		return "", nil, diagnostic.Wantf(n.Pos, "("+n.Head()+" NAME ...)", "the %s has no name", n.Head())
	}
	if slices.Index(taken, args[0].Atom) >= 0 {
		return "", nil, diagnostic.Errorf(args[0].Pos, "%s %q is defined twice", n.Head(), args[0].Atom)
	}
	if len(taken) >= maxNames {
		return "", nil, diagnostic.Wantf(n.Pos, "at most 250", "too many of %s", n.Head())
	}
	return args[0].Atom, args[1:], nil
}

// machineType adds the machine type that (kind NAME fields...) defines.
func (p *parser) machineType(n *sexp.Node) error {
	s := p.settings
	name, fields, err := splitName(n, s.MachineTypeNames)
	if err != nil {
		return err
	}
	t := forkhead.MachineType{}
	sexp.Fields(fields, map[string]sexp.Field{
		"cores": sexp.Number(&t.Cores, 1e-3, 1e5), "memory": memoryField(&t.Memory),
	}, nil, p.errs)
	if t.Cores == 0 || t.Memory == 0 {
		p.errs.Add(diagnostic.Wantf(n.Pos, "(cores N) and (memory N)", "kind %q lacks its cores or memory", name))
	}
	s.MachineTypeNames = append(s.MachineTypeNames, name)
	s.Module.MachineTypes = append(s.Module.MachineTypes, t)
	return nil
}

// class adds the class that (class NAME fields...) defines.
func (p *parser) class(n *sexp.Node) error {
	s := p.settings
	var names []string
	for _, c := range s.Classes {
		names = append(names, c.Name)
	}
	name, fields, err := splitName(n, names)
	if err != nil {
		return err
	}
	c, m := Class{Name: name, RequestTimeout: defaultRequestTimeout}, defaultClass()
	sexp.Fields(fields, p.classFields(&c, &m), nil, p.errs)
	if c.PlacementTimeout == 0 {
		c.PlacementTimeout = 2 * c.RequestTimeout
	}
	if c.PlacementTimeout < c.RequestTimeout {
		p.errs.Add(diagnostic.Wantf(n.Pos, fmt.Sprintf("at least its wait, %v", c.RequestTimeout), "class %q: patience is %v", name, c.PlacementTimeout))
	}
	s.Classes = append(s.Classes, c)
	s.Module.Classes = append(s.Module.Classes, m)
	return nil
}

// classFields returns the fields of an entry (class NAME fields...). The fields store into c and m, the two parts of
// the settings of one class. This must be the class that is added to the list of classes next.
func (p *parser) classFields(c *Class, m *forkhead.Class) map[string]sexp.Field {
	index := len(p.settings.Classes)
	return map[string]sexp.Field{
		"effect":      sexp.Choice(&m.Effect, effects),
		"group":       sexp.Choice(&m.DedupDomain, Domains),
		"window":      sexp.Duration(&m.DedupWindow, 0, time.Hour),
		"aim":         sexp.Duration(&m.LatencyObjective, 0, time.Hour),
		"wait":        sexp.Duration(&c.RequestTimeout, time.Millisecond, time.Hour),
		"patience":    sexp.Duration(&c.PlacementTimeout, time.Millisecond, maxDuration),
		"worth":       sexp.Number(&m.Weight, 0, maxAmount),
		"late-worth":  sexp.Number(&m.LateWeight, 0, 1),
		"start-worth": sexp.Number(&m.StartWeight, 0, maxAmount),
		"priority":    sexp.Int(&m.Priority, 0, 3),
		"kind":        nameField(func(name *sexp.Node) { p.machineTypeRefs = append(p.machineTypeRefs, machineTypeRef{index, name}) }),
		"spread":      spreadField(m),
		"calm":        sexp.Number(&m.SaturationThreshold, 0.01, 10),
		"fade":        sexp.Number(&m.DegradationRange, 0, 10),
	}
}

// spreadField returns a field (spread DOMAIN MAX) that sets the spread limit.
func spreadField(m *forkhead.Class) sexp.Field {
	return func(n *sexp.Node) error {
		if len(n.Args()) != 2 {
			return diagnostic.Wantf(n.Pos, "(spread machine|rack|zone MOST)", "spread has %d values", len(n.Args()))
		}
		domain := &sexp.Node{Pos: n.Pos, List: true, Items: n.Items[:2]}
		if err := sexp.Choice(&m.SpreadDomain, Domains)(domain); err != nil {
			return err
		}
		var err error
		m.MaxPerDomain, err = n.Items[2].Int(1, 1e6)
		return err
	}
}

// tenant adds the tenant that (tenant NAME fields...) defines.
func (p *parser) tenant(n *sexp.Node) error {
	s := p.settings
	name, fields, err := splitName(n, s.Tenants)
	if err != nil {
		return err
	}
	t := forkhead.Tenant{}
	sexp.Fields(fields, map[string]sexp.Field{
		"share": sexp.Number(&t.Quota, 0, 1), "cores": sexp.Number(&t.QuotaCores, 0, maxAmount),
	}, nil, p.errs)
	s.Tenants = append(s.Tenants, name)
	s.Module.Tenants = append(s.Module.Tenants, t)
	return nil
}
