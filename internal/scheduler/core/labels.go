package core

import (
	"slices"
	"strconv"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/invariant"
)

// ---- Labels: each constraint in use is one bit.

// labelTable numbers the constraints of the tasks that are held.
type labelTable struct {
	maxLabels  int
	rows  [64]*labelRow
	index map[string]int
	nearCount  int // rows that change with what is placed
}

type labelRow struct {
	constraint  servicespec.Constraint
	users int
}

// labelsOf returns the bits of the constraints that a host meets now.
func (c *Core) labelsOf(h *host) uint64 {
	bits := uint64(0)
	for i, row := range c.labels.rows {
		if row == nil {
			continue
		}
		good := false
		if place, ok := nearDomains[row.constraint.Attribute]; ok {
			good = c.isNear(h, place, row.constraint.Value)
		} else {
			good = meets(&h.entry, &row.constraint)
		}
		if good {
			bits |= 1 << i
		}
	}
	return bits
}

// nearDomains are the attributes that are met where another service has a task.
var nearDomains = map[servicespec.Attribute]forkhead.Domain{
	"near.machine": forkhead.MachineDomain, "near.rack": forkhead.CellDomain, "near.zone": forkhead.ZoneDomain,
}

// nearConstraints makes constraints of what a service has to be beside. The value is the other's
// number, which is the same in every submission.
func nearConstraints(project string, d *servicespec.Description, s *servicespec.Service) (out []servicespec.Constraint) {
	for _, n := range s.Near {
		tenant := ""
		if other := d.Service(n.Service); other != nil {
			tenant = other.Tenant
		}
		key := servicespec.ServiceKey(tenant, project, n.Service)
		out = append(out, servicespec.Constraint{Attribute: servicespec.Attribute("near." + n.Place), Value: strconv.FormatUint(key, 10), Pos: n.Pos})
	}
	return out
}

// isNear says whether a task of a service is placed in the host's place.
func (c *Core) isNear(h *host, place forkhead.Domain, service string) bool {
	key, err := strconv.ParseUint(service, 10, 64)
	if err != nil {
		return false
	}
	for _, a := range c.liveAttempts[key] {
		if a.phase() == attempt.Placed && invariant.SameDomain(place, a.host.forInvariants(), h.forInvariants()) {
			return true
		}
	}
	return false
}

func meets(e *HostEntry, c *servicespec.Constraint) bool {
	return (e.Attributes[c.Attribute] == c.Value) != c.Not
}

// take returns the bits of constraints and counts their users. ok is false if there are more
// than the table holds; then nothing is counted.
func (c *Core) takeLabels(constraints []servicespec.Constraint) (bits uint64, ok bool) {
	if len(constraints) == 0 {
		return 0, true
	}
	l := &c.labels
	if l.index == nil {
		l.index = map[string]int{}
	}
	fresh := false
	var taken []int
	for _, con := range constraints {
		name := con.String()
		i, known := l.index[name]
		if !known {
			i = slices.Index(l.rows[:l.maxLabels], nil)
			if i < 0 {
				for _, j := range taken {
					c.dropLabel(j)
				}
				return 0, false
			}
			l.rows[i] = &labelRow{constraint: con}
			if _, near := nearDomains[con.Attribute]; near {
				l.nearCount++
			}
			l.index[name] = i
			fresh = true
		}
		if bits&(1<<i) != 0 {
			continue // the same constraint twice
		}
		l.rows[i].users++
		taken = append(taken, i)
		bits |= 1 << i
	}
	if fresh {
		c.updateHostLabels()
	}
	return bits, true
}

// dropLabels ends one use of each bit.
func (c *Core) dropLabels(bits uint64) {
	for i := range c.labels.rows {
		if bits&(1<<i) != 0 {
			c.dropLabel(i)
		}
	}
}

func (c *Core) dropLabel(i int) {
	row := c.labels.rows[i]
	if row.users--; row.users == 0 {
		delete(c.labels.index, row.constraint.String())
		if _, near := nearDomains[row.constraint.Attribute]; near {
			c.labels.nearCount--
		}
		c.labels.rows[i] = nil
	}
}

// updateHostLabels tells the module of hosts that meet a constraint which nobody had asked for before.
func (c *Core) updateHostLabels() {
	var changed []forkhead.Machine
	for _, h := range c.sortedHosts() {
		if bits := c.labelsOf(h); bits != h.labels {
			h.labels = bits
			if h.listed {
				changed = append(changed, h.forModule())
			}
		}
	}
	if len(changed) > 0 {
		c.notifyModule(forkhead.ListUpdate{Mode: forkhead.ListDelta, Machines: changed})
	}
}
