package core

import (
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/durable"
	"forkhead/internal/scheduler/hostconn"
)

// minHostListPersistInterval is the minimum time between two persisted endpoint lists.
const minHostListPersistInterval = 2 * time.Second

// handleHostList applies an endpoint list to the hosts and notifies the module of the hosts.
func (c *Core) handleHostList(list HostListReceived) {
	if list.Mode == forkhead.ListFailed {
		c.notifyModule(forkhead.ListUpdate{Mode: forkhead.ListFailed})
		return
	}
	if maxHosts := c.settings.Limits.Hosts; len(list.Hosts) > maxHosts {
		c.log("the list names %d hosts; only %d are used", len(list.Hosts), maxHosts)
		list.Hosts = list.Hosts[:maxHosts]
	}
	if c.firstListAt == 0 {
		c.firstListAt = c.now
	}
	oldStates := c.hostStates()
	inList, renumbered := c.addListedHosts(list)
	if len(renumbered) > 0 {
		c.notifyModule(forkhead.ListUpdate{Mode: forkhead.ListDelta, Machines: renumbered})
	}
	update := forkhead.ListUpdate{Mode: list.Mode}
	for _, h := range c.sortedHosts() {
		if !inList[h] {
			c.delistHost(h, list.Mode)
		}
		c.updateDrainingSince(h, oldStates[h])
		if h.listed {
			update.Machines = append(update.Machines, h.forModule())
		}
	}
	c.notifyModule(update)
	c.forgetUnusedHosts()
	if list.Mode == forkhead.ListSnapshot {
		c.persistHostList(list.Hosts)
	}
}

func (c *Core) hostStates() map[*host]forkhead.MachineState {
	states := map[*host]forkhead.MachineState{}
	for _, h := range c.hosts {
		states[h] = h.state()
	}
	return states
}

// addListedHosts adds and updates the hosts that an endpoint list names. It returns the set of these hosts, and the
// machines that the module must drop because their hosts were renumbered.
func (c *Core) addListedHosts(list HostListReceived) (inList map[*host]bool, renumbered []forkhead.Machine) {
	inList = map[*host]bool{}
	for _, entry := range list.Hosts {
		machineType := slices.Index(c.settings.MachineTypeNames, entry.Kind)
		if machineType < 0 || entry.Name == "" || len(entry.Name) > hostproto.MaxTextSize {
			continue // the entry is unusable: the settings have no such machine type, or the name is empty or too long
		}
		h := c.hosts[entry.Name]
		if h == nil {
			var others []forkhead.Machine
			h, others = c.addHost(entry.Name)
			renumbered = append(renumbered, others...)
		}
		if inList[h] {
			c.log("the list names host %s twice; the first entry counts", entry.Name)
			continue
		}
		inList[h] = true
		h.listed, h.restored, h.stale = true, false, list.Stale && !h.everSynced
		h.entry, h.machineType = entry, machineType
		h.zone, h.cell = indexOf(c.zoneIndexes, entry.Zone), indexOf(c.rackIndexes, entry.Rack)
		h.labels = c.labelsOf(h)
		c.handleConnection(h, hostconn.Input{Kind: hostconn.Listed, Address: entry.Address})
	}
	return inList, renumbered
}

// indexOf returns the index of a name in a table. It adds a name that the table lacks.
func indexOf(table map[string]int, name string) int {
	index, known := table[name]
	if !known {
		index = len(table)
		table[name] = index
	}
	return index
}

// delistHost handles the absence of a host from the latest endpoint list. The parameter mode is the mode of that list.
func (c *Core) delistHost(h *host, mode forkhead.ListMode) {
	if h.restored && mode == forkhead.ListSnapshot {
		h.restored = false
		c.settleIfUnreachable(h)
	}
	if h.listed {
		h.listed = false
		c.handleConnection(h, hostconn.Input{Kind: hostconn.Delisted})
		c.settleIfUnreachable(h)
	}
}

// settleIfUnreachable settles the attempts at a host that is unreachable and not in the endpoint list. By removing the
// host from the list, the operator confirms that nothing runs there.
func (c *Core) settleIfUnreachable(h *host) {
	if h.listed || h.connection.State != hostconn.Down {
		return
	}
	for _, a := range h.sortedAttempts() {
		c.handleAttempt(a, attempt.HostRestarted, attemptDetail{})
	}
}

// updateDrainingSince records when a host ceased to be ready. The parameter old is the state of the host before the
// latest endpoint list.
func (c *Core) updateDrainingSince(h *host, old forkhead.MachineState) {
	state := h.state()
	switch {
	case state == forkhead.Ready:
		h.drainingSince = 0
	case state != old && (old == forkhead.Ready || h.drainingSince == 0):
		h.drainingSince = c.now
	}
}

func (c *Core) persistHostList(hosts []HostEntry) {
	if c.hostListPersistedAt != 0 && c.now < c.hostListPersistedAt+minHostListPersistInterval {
		return
	}
	c.hostListPersistedAt = c.now
	c.persist(durable.HostListReceived{List: durable.HostList{ReceivedAt: c.now, Hosts: hosts}})
}
