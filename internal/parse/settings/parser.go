package settings

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/sexp"
)

// Bounds of values that several settings have.
const (
	maxDuration = 24 * time.Hour
	maxAmount   = 1e9 // of weights and cores
)

// parser fills settings from nodes. It adds what is wrong to errs and goes on.
type parser struct {
	settings *Settings
	errs     *diagnostic.List

	// Names that are looked up once all are known.
	defaultClass    *sexp.Node // nil: not given
	machineTypeRefs []machineTypeRef
}

// machineTypeRef is the name of a class's machine type.
type machineTypeRef struct {
	class int // place in Settings.Classes
	name  *sexp.Node
}

func (p *parser) parse(n *sexp.Node) {
	fields := p.moduleFields()
	for name, field := range map[string]sexp.Field{
		"placer":        p.placer,
		"kind":          p.machineType,
		"class":         p.class,
		"tenant":        p.tenant,
		"default-class": nameField(func(name *sexp.Node) { p.defaultClass = name }),
		"owner":         p.section(p.ownerFields()),
		"links":         p.section(hostConnectionFields(&p.settings.HostConnections)),
		"saved-list":    p.section(savedHostListFields(&p.settings.SavedHostList)),
		"catalogue":     p.section(serviceDiscoveryFields(&p.settings.ServiceDiscovery)), //nolint:misspell // the key of files that exist
		"limits":        p.section(limitFields(&p.settings.Limits)),
	} {
		fields[name] = field
	}
	sexp.Fields(n.Args(), fields, map[string]bool{"placer": true, "kind": true, "class": true, "tenant": true}, p.errs)
	p.addDefaults()
	p.check(n)
}

// section parses a list of fields.
func (p *parser) section(fields map[string]sexp.Field) sexp.Field {
	return func(n *sexp.Node) error {
		sexp.Fields(n.Args(), fields, nil, p.errs)
		return nil
	}
}

// nameField keeps a name that is looked up later.
func nameField(keep func(name *sexp.Node)) sexp.Field {
	return sexp.SingleValue(func(v *sexp.Node) error {
		keep(v)
		_, err := v.Text()
		return err
	})
}

// addDefaults adds what the file does not set.
func (p *parser) addDefaults() {
	s := p.settings
	if len(s.Placers) == 0 {
		s.Placers = []Placer{defaultPlacer}
	}
	s.Module.Placers = len(s.Placers)
	if s.Module.MeanCores == 0 {
		s.Module.MeanCores = defaultMeanCores
	}
	if s.Module.MeanMemory == 0 {
		s.Module.MeanMemory = defaultMeanMemory
	}
}

// check checks what concerns several settings, and looks names up. n is the list of all settings.
func (p *parser) check(n *sexp.Node) {
	s := p.settings
	if len(s.MachineTypeNames) == 0 {
		p.errs.Add(diagnostic.Wantf(n.Pos, "(kind NAME (cores N) (memory N))", "no kind of host is named"))
	}
	if len(s.Classes) == 0 {
		p.errs.Add(diagnostic.Wantf(n.Pos, "(class NAME ...)", "no class of task is named"))
	}
	p.resolveNames()
	if s.Owner.MaxBackoff < s.Owner.MinBackoff {
		p.errs.Add(diagnostic.Wantf(n.Pos, fmt.Sprintf("at least first, %v", s.Owner.MinBackoff), "owner: most is %v", s.Owner.MaxBackoff))
	}
	if c := &s.HostConnections; c.MaxBackoff < c.MinBackoff {
		p.errs.Add(diagnostic.Wantf(n.Pos, fmt.Sprintf("at least first, %v", c.MinBackoff), "links: most is %v", c.MaxBackoff))
	}
	p.checkQuotas(n)
}

// resolveNames sets the machine types of classes and the default class.
func (p *parser) resolveNames() {
	s := p.settings
	for _, m := range p.machineTypeRefs {
		index := slices.Index(s.MachineTypeNames, m.name.Atom)
		if index < 0 {
			p.errs.Add(diagnostic.Wantf(m.name.Pos, strings.Join(s.MachineTypeNames, ", "), "kind %q is not named", m.name.Atom))
		}
		s.Module.Classes[m.class].MachineType = index
	}
	if p.defaultClass != nil {
		index, ok := s.ClassIndex(p.defaultClass.Atom)
		if !ok {
			p.errs.Add(diagnostic.Errorf(p.defaultClass.Pos, "class %q is not named", p.defaultClass.Atom))
		}
		s.DefaultClass = index
	}
}

// checkQuotas checks that the tenants' quotas are no more than the cluster.
func (p *parser) checkQuotas(n *sexp.Node) {
	const maxTotal = 1.001 // quotas such as 1/3 are rounded
	total := 0.0
	for _, t := range p.settings.Module.Tenants {
		total += t.Quota
	}
	if total > maxTotal {
		p.errs.Add(diagnostic.Wantf(n.Pos, "at most 1", "the tenants' shares sum to %.3g", total))
	}
}
