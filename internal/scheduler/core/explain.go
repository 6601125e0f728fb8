package core

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"forkhead"
	"forkhead/internal/scheduler/invariant"
)

// explain returns why a replica cannot be placed, as far as this placer's view of the hosts and their answers tell. The
// result impossible means that not even an empty host of a permitted machine type could take it.
func (c *Core) explain(r *desiredReplica) (reason string, impossible bool) {
	if !c.fitsMachineType(r) {
		where := "any kind of host"
		if machineType := c.moduleClass(r).MachineType; machineType >= 0 {
			where = c.settings.MachineTypeNames[machineType]
		}
		return fmt.Sprintf("%g cores and %.4g GiB are more than %s has", r.spec.Cores, r.spec.Memory, where), true
	}
	if reason := c.explainByHosts(r); reason != "" {
		return reason, false
	}
	if len(r.failureCounts) > 0 {
		return "hosts did not take it: " + failuresText(r.failureCounts), false
	}
	return "no host that fits had room", false
}

func (c *Core) moduleClass(r *desiredReplica) *forkhead.Class {
	return &c.settings.Module.Classes[r.class]
}

// fitsMachineType reports whether an empty host of any machine type that the replica's class allows could take it.
func (c *Core) fitsMachineType(r *desiredReplica) bool {
	m, class := &c.settings.Module, c.moduleClass(r)
	for i, machineType := range m.MachineTypes {
		if class.MachineType >= 0 && class.MachineType != i {
			continue
		}
		if r.spec.Cores <= machineType.Cores*m.CoresOvercommit && r.spec.Memory <= machineType.Memory*m.MemoryOvercommit {
			return true
		}
	}
	return false
}

// explainByHosts returns the reason why none of the hosts that this placer knows can take a replica, whatever their
// free capacity. It returns "" if a ready host meets all other requirements.
func (c *Core) explainByHosts(r *desiredReplica) string {
	class := c.moduleClass(r)
	var ready, ofType, labeled int
	for _, h := range c.hosts {
		if h.state() != forkhead.Ready {
			continue
		}
		ready++
		if !hasMachineType(class, h) {
			continue
		}
		ofType++
		if !h.hasLabels(r.service.requiredLabels) {
			continue
		}
		labeled++
		if c.reachedSpreadLimit(r, h) == "" {
			return ""
		}
	}
	switch {
	case ready == 0:
		return "no host is ready"
	case ofType == 0:
		return "no host of kind " + c.settings.MachineTypeNames[class.MachineType] + " is ready"
	case labeled == 0:
		return "no ready host meets " + constraintsText(r)
	}
	return "spread: " + c.firstReachedSpreadLimit(r) + ", and all that fit are at it"
}

// firstReachedSpreadLimit returns the spread limit that excludes one host for the service's next task: the first host
// by name that meets all other requirements.
func (c *Core) firstReachedSpreadLimit(r *desiredReplica) string {
	for _, h := range c.sortedHosts() {
		if h.state() == forkhead.Ready && hasMachineType(c.moduleClass(r), h) && h.hasLabels(r.service.requiredLabels) {
			return c.reachedSpreadLimit(r, h)
		}
	}
	return ""
}

func constraintsText(r *desiredReplica) string {
	var parts []string
	for _, constraint := range r.spec.Constraints {
		parts = append(parts, constraint.String())
	}
	for _, near := range r.spec.Near {
		parts = append(parts, "near "+near.Service+" in one "+near.Domain)
	}
	return strings.Join(parts, ", ")
}

func failuresText(counts map[attemptFailure]int) string {
	var parts []string
	for _, failure := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s (%d)", failure, counts[failure]))
	}
	return strings.Join(parts, ", ")
}

// domainNames are the names of domains in an outcome's reason.
var domainNames = map[forkhead.Domain]string{
	forkhead.MachineDomain: "host", forkhead.CellDomain: "rack", forkhead.ZoneDomain: "zone",
}

// reachedSpreadLimit returns the spread limit that excludes a host for the service's next task, or "".
func (c *Core) reachedSpreadLimit(r *desiredReplica, h *host) string {
	limits := statedSpreadLimits(r)
	if class := c.moduleClass(r); class.SpreadDomain != forkhead.AnyDomain {
		tightenLimit(&limits, class.SpreadDomain, class.MaxPerDomain)
	}
	for domain := forkhead.MachineDomain; domain <= forkhead.ZoneDomain; domain++ {
		maxTasks := limits[domain]
		if maxTasks != 0 && c.countInDomain(r.service, domain, h) >= maxTasks {
			return "at most " + strconv.Itoa(maxTasks) + " of the service in one " + domainNames[domain]
		}
	}
	return ""
}

// countInDomain returns the number of a service's live attempts that share a domain with a host.
func (c *Core) countInDomain(svc *service, domain forkhead.Domain, h *host) int {
	n := 0
	target := h.forInvariants()
	for _, a := range c.liveAttempts[svc.key] {
		if invariant.SameDomain(domain, a.host.forInvariants(), target) {
			n++
		}
	}
	return n
}
