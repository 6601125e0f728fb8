package settings

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"forkhead/internal/parse/diagnostic"
	"forkhead/internal/parse/sexp"
)

// The upper bounds of values that several settings share.
const (
	maxDuration = 24 * time.Hour
	maxAmount   = 1e9 // maximum weight, and maximum number of cores
)

// parser sets settings from nodes. It adds faults to errs and continues.
type parser struct {
	settings *Settings
	errs     *diagnostic.List

	// Names that are resolved at the end of the file, when all machine types and classes are known.
	defaultClass    *sexp.Node // nil: the file names no default class
	machineTypeRefs []machineTypeRef
}

// machineTypeRef is a reference from a class to its machine type.
type machineTypeRef struct {
	class int // index in Settings.Classes
	name  *sexp.Node
}

// parse sets and checks the settings in a list (forkhead ...).
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

// section returns a field that parses a list (NAME fields...) with the given fields.
func (p *parser) section(fields map[string]sexp.Field) sexp.Field {
	return func(n *sexp.Node) error {
		sexp.Fields(n.Args(), fields, nil, p.errs)
		return nil
	}
}

// nameField returns a field that passes a name to the function keep. keep stores the name, which is resolved at the end
// of the file.
func nameField(keep func(name *sexp.Node)) sexp.Field {
	return sexp.SingleValue(func(v *sexp.Node) error {
		keep(v)
		_, err := v.Text()
		return err
	})
}

// addDefaults sets the placers, the mean cores and the mean memory to their defaults if the file does not set them.
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

// check checks the settings that depend on one another, and resolves names. An error about a name has the position of
// the name. Any other error has the position of n, the list of all settings.
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

// resolveNames sets the machine types of the classes and the default class from their names.
func (p *parser) resolveNames() {
	s := p.settings
	for _, m := range p.machineTypeRefs {
		index := slices.Index(s.MachineTypeNames, m.name.Atom)
		if index < 0 {
			p.errs.Add(diagnostic.Wantf(m.name.Pos, strings.Join(s.MachineTypeNames, ", "), "kind %q is not defined", m.name.Atom))
		}
		s.Module.Classes[m.class].MachineType = index
	}
	if p.defaultClass != nil {
		index, ok := s.ClassIndex(p.defaultClass.Atom)
		if !ok {
			p.errs.Add(diagnostic.Errorf(p.defaultClass.Pos, "class %q is not defined", p.defaultClass.Atom))
		}
		s.DefaultClass = index
	}
}

// checkQuotas checks that the quotas of the tenants, as fractions of the cluster, sum to at most 1.
func (p *parser) checkQuotas(n *sexp.Node) {
	const maxTotal = 1.001 // allows for rounded quotas such as 0.334 for 1/3
	total := 0.0
	for _, t := range p.settings.Module.Tenants {
		total += t.Quota
	}
	if total > maxTotal {
		p.errs.Add(diagnostic.Wantf(n.Pos, "at most 1", "the tenants' shares sum to %.3g", total))
	}
}
