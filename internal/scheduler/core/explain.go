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

// ---- What is told of a task that does not get placed.

// explain says why a task cannot be placed, from what this placer sees and what hosts said.
// hopeless says that no host of any kind could ever take it.
func (c *Core) explain(replica *desiredReplica) (reason string, hopeless bool) {
	m := &c.settings.Module
	class := &m.Classes[replica.class]
	fits := false
	for i, k := range m.MachineTypes {
		if class.MachineType >= 0 && class.MachineType != i {
			continue
		}
		if replica.spec.Cores <= k.Cores*m.CoresOvercommit && replica.spec.Memory <= k.Memory*m.MemoryOvercommit {
			fits = true
		}
	}
	if !fits {
		where := "any kind of host"
		if class.MachineType >= 0 {
			where = c.settings.Kinds[class.MachineType]
		}
		return fmt.Sprintf("%g cores and %.4g GiB are more than %s has", replica.spec.Cores, replica.spec.Memory, where), true
	}
	var ready, kind, labelled, free int
	for _, h := range c.hosts {
		if h.state() != forkhead.Ready {
			continue
		}
		ready++
		if class.MachineType >= 0 && class.MachineType != h.machineType {
			continue
		}
		kind++
		if replica.service.requiredLabels&^h.labels != 0 {
			continue
		}
		labelled++
		if c.reachedSpreadLimit(replica, h) == "" {
			free++
		}
	}
	switch {
	case ready == 0:
		return "no host is ready", false
	case kind == 0:
		return "no host of kind " + c.settings.Kinds[class.MachineType] + " is ready", false
	case labelled == 0:
		var parts []string
		for _, con := range replica.spec.Constraints {
			parts = append(parts, con.String())
		}
		for _, n := range replica.spec.Near {
			parts = append(parts, "near "+n.Service+" in one "+n.Place)
		}
		return "no ready host meets " + strings.Join(parts, ", "), false
	case free == 0:
		for _, h := range c.sortedHosts() {
			if h.state() == forkhead.Ready && replica.service.requiredLabels&^h.labels == 0 && (class.MachineType < 0 || class.MachineType == h.machineType) {
				return "spread: " + c.reachedSpreadLimit(replica, h) + ", and all that fit are at it", false
			}
		}
	}
	if len(replica.failureCounts) > 0 {
		var parts []string
		for _, why := range slices.Sorted(maps.Keys(replica.failureCounts)) {
			parts = append(parts, fmt.Sprintf("%s (%d)", why, replica.failureCounts[why]))
		}
		return "hosts did not take it: " + strings.Join(parts, ", "), false
	}
	return "no host that fits had room", false
}

// reachedSpreadLimit says which limit keeps the service's next task off a host, or "".
func (c *Core) reachedSpreadLimit(replica *desiredReplica, h *host) string {
	class := &c.settings.Module.Classes[replica.class]
	var most forkhead.SpreadLimits
	for _, l := range replica.spec.Limits {
		tightenLimit(&most, spreadDomains[l.Place], l.Most)
	}
	if class.SpreadDomain != forkhead.AnyDomain {
		tightenLimit(&most, class.SpreadDomain, class.MaxPerDomain)
	}
	at := h.forInvariants()
	for place := forkhead.MachineDomain; place <= forkhead.ZoneDomain; place++ {
		if most[place] == 0 {
			continue
		}
		n := 0
		for _, a := range c.liveAttempts[replica.service.key] {
			if invariant.SameDomain(place, a.host.forInvariants(), at) {
				n++
			}
		}
		if n >= most[place] {
			word := [...]string{"", "host", "rack", "zone"}[place]
			return "at most " + strconv.Itoa(most[place]) + " of the service in one " + word
		}
	}
	return ""
}
