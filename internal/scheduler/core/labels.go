package core

import (
	"slices"
	"strconv"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/invariant"
)

// labelTable assigns a bit to each placement constraint in use. A task requires a set of these bits, and a machine has
// the bits of the constraints that it meets.
type labelTable struct {
	maxLabels int            // at most len(rows)
	rows      [64]*labelRow  // constraint of each bit; nil: the bit is free
	index     map[string]int // bits by the text of their constraints
	nearCount int            // number of constraints in use whose result depends on where tasks are placed
}

// labelRow is a constraint in use.
type labelRow struct {
	constraint servicespec.Constraint
	useCount   int // number of services that require the constraint
}

// nearDomains maps each attribute that places a service near another one to the domain that tasks of both services must
// share.
var nearDomains = map[servicespec.Attribute]forkhead.Domain{
	"near.machine": forkhead.MachineDomain, "near.rack": forkhead.CellDomain, "near.zone": forkhead.ZoneDomain,
}

// add returns the bit of a constraint and whether the constraint had none before. ok is false if all bits are in use.
func (t *labelTable) add(constraint servicespec.Constraint) (bit int, added, ok bool) {
	name := constraint.String()
	if bit, known := t.index[name]; known {
		return bit, false, true
	}
	bit = slices.Index(t.rows[:t.maxLabels], nil)
	if bit < 0 {
		return 0, false, false
	}
	t.rows[bit] = &labelRow{constraint: constraint}
	t.index[name] = bit
	if _, near := nearDomains[constraint.Attribute]; near {
		t.nearCount++
	}
	return bit, true, true
}

// release ends one use of a bit and frees the bit after its last use.
func (t *labelTable) release(bit int) {
	row := t.rows[bit]
	row.useCount--
	if row.useCount > 0 {
		return
	}
	delete(t.index, row.constraint.String())
	if _, near := nearDomains[row.constraint.Attribute]; near {
		t.nearCount--
	}
	t.rows[bit] = nil
}

// releaseAll ends one use of each bit of a set.
func (t *labelTable) releaseAll(bits uint64) {
	for bit := range t.rows {
		if bits&(1<<bit) != 0 {
			t.release(bit)
		}
	}
}

// inUse returns the number of constraints in use.
func (t *labelTable) inUse() int {
	n := 0
	for _, row := range t.rows {
		if row != nil {
			n++
		}
	}
	return n
}

// acquireLabels returns the bits of constraints and counts one use of each. If the table has no bit left for one of
// them, ok is false and no use is counted.
func (c *Core) acquireLabels(constraints []servicespec.Constraint) (bits uint64, ok bool) {
	anyAdded := false
	for _, constraint := range constraints {
		bit, added, ok := c.labels.add(constraint)
		if !ok {
			c.labels.releaseAll(bits)
			return 0, false
		}
		anyAdded = anyAdded || added
		if bits&(1<<bit) != 0 {
			continue // the constraint is listed twice
		}
		c.labels.rows[bit].useCount++
		bits |= 1 << bit
	}
	if anyAdded {
		c.updateHostLabels()
	}
	return bits, true
}

// acquireServiceLabels returns the bits of the constraints of each service of a description, in the order of the
// services. If the table has too few bits left, ok is false and no use is counted.
func (c *Core) acquireServiceLabels(p *project, d *servicespec.Description) (bits []uint64, ok bool) {
	bits = make([]uint64, len(d.Services))
	for i := range d.Services {
		spec := &d.Services[i]
		constraints := append(slices.Clone(spec.Constraints), nearConstraints(p.name, d, spec)...)
		taken, ok := c.acquireLabels(constraints)
		if !ok {
			for _, b := range bits[:i] {
				c.labels.releaseAll(b)
			}
			return nil, false
		}
		bits[i] = taken
	}
	return bits, true
}

// nearConstraints returns one constraint for each service that a service must be placed near. The value of the
// constraint is the key of that other service, which is the same in every submission.
func nearConstraints(project string, d *servicespec.Description, s *servicespec.Service) []servicespec.Constraint {
	var constraints []servicespec.Constraint
	for _, near := range s.Near {
		tenant := ""
		if other := d.Service(near.Service); other != nil {
			tenant = other.Tenant
		}
		key := servicespec.ServiceKey(tenant, project, near.Service)
		constraints = append(constraints, servicespec.Constraint{
			Attribute: servicespec.Attribute("near." + near.Domain), Value: strconv.FormatUint(key, 10), Pos: near.Pos,
		})
	}
	return constraints
}

// labelsOf returns the bits of the constraints that a host meets now.
func (c *Core) labelsOf(h *host) uint64 {
	bits := uint64(0)
	for bit, row := range c.labels.rows {
		if row != nil && c.meets(h, &row.constraint) {
			bits |= 1 << bit
		}
	}
	return bits
}

func (c *Core) meets(h *host, constraint *servicespec.Constraint) bool {
	if domain, ok := nearDomains[constraint.Attribute]; ok {
		return c.hasServiceNear(h, domain, constraint.Value)
	}
	return entryMeets(&h.entry, constraint)
}

func entryMeets(e *HostEntry, constraint *servicespec.Constraint) bool {
	return (e.Attributes[constraint.Attribute] == constraint.Value) != constraint.Not
}

// meetsAll reports whether a host meets all constraints, none of which may have an attribute of nearDomains.
func meetsAll(e *HostEntry, constraints []servicespec.Constraint) bool {
	for i := range constraints {
		if !entryMeets(e, &constraints[i]) {
			return false
		}
	}
	return true
}

// hasServiceNear reports whether a task of a service, given by its key in decimal, is placed in a host's domain.
func (c *Core) hasServiceNear(h *host, domain forkhead.Domain, serviceKey string) bool {
	key, err := strconv.ParseUint(serviceKey, 10, 64)
	if err != nil {
		return false
	}
	for _, a := range c.liveAttempts[key] {
		if a.phase() == attempt.Placed && invariant.SameDomain(domain, a.host.forInvariants(), h.forInvariants()) {
			return true
		}
	}
	return false
}

// updateHostLabels updates the labels of all hosts and notifies the module of the listed ones whose labels changed.
func (c *Core) updateHostLabels() {
	var changed []forkhead.Machine
	for _, h := range c.sortedHosts() {
		bits := c.labelsOf(h)
		if bits == h.labels {
			continue
		}
		h.labels = bits
		if h.listed {
			changed = append(changed, h.forModule())
		}
	}
	if len(changed) > 0 {
		c.notifyModule(forkhead.ListUpdate{Mode: forkhead.ListDelta, Machines: changed})
	}
}

// updateNearLabels calls updateHostLabels after a task was placed or lost its placement, if any constraint depends on
// that.
func (c *Core) updateNearLabels() {
	if c.labels.nearCount > 0 {
		c.updateHostLabels()
	}
}

// countSuitableHosts returns the number of ready hosts that may take a task of a service with one task per host.
func (c *Core) countSuitableHosts(spec *servicespec.Service) int {
	class := &c.settings.Module.Classes[c.classIndex(spec)]
	n := 0
	for _, h := range c.hosts {
		if h.state() == forkhead.Ready && hasMachineType(class, h) && meetsAll(&h.entry, spec.Constraints) {
			n++
		}
	}
	return n
}
