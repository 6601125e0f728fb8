package platform

import (
	"log/slog"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

// loadInitialList applies the initial events of the configuration and passes the resulting endpoint list to the module.
func (c *Core) loadInitialList() {
	for _, event := range c.config.InitialEvents {
		c.listSequence = max(c.listSequence, event.Seq)
		if event.Endpoints != nil {
			c.applyList(event.Endpoints)
		}
	}
	c.config.InitialEvents = nil
	var machines []forkhead.Machine
	for _, h := range c.hostsInOrder() {
		machines = append(machines, h.entry)
	}
	c.notifyModule(forkhead.ListUpdate{Mode: forkhead.ListCached, Machines: machines})
}

// handleWatchEvent applies a watch event of the endpoint list, unless it or a later one has been applied.
func (c *Core) handleWatchEvent(input WatchEventReceived) {
	event := &input.Event
	if event.Seq <= c.listSequence && !input.SequenceRestarted {
		return
	}
	c.listSequence = event.Seq
	if event.Endpoints == nil {
		return
	}
	mode := forkhead.ListDelta
	if event.IsSnapshot() {
		mode = forkhead.ListSnapshot
	}
	c.notifyModule(forkhead.ListUpdate{Mode: mode, Machines: c.applyList(event.Endpoints)})
}

// applyList applies a snapshot or a delta of the endpoint list and returns its entries for the module.
func (c *Core) applyList(list *platform.EndpointList) []forkhead.Machine {
	var entries []forkhead.Machine
	c.listNumber++
	c.superseded = c.superseded[:0]
	listed := map[forkhead.MachineID]bool{}
	for i := range list.Hosts {
		endpoint := &list.Hosts[i]
		entry, ok := c.decodeEndpoint(endpoint)
		if !ok {
			c.logInfo(messageUnusableEndpoint, hostAttr(endpoint.Name))
			continue
		}
		listed[entry.ID] = true
		h := c.hosts[entry.ID]
		if h == nil {
			h = newHost(entry.ID, endpoint.Name)
			c.addHost(h)
		}
		c.updateHost(h, entry, endpoint.Address)
		entries = append(entries, h.entry)
	}
	if list.Snapshot {
		c.removeMissing(listed)
	}
	for _, h := range c.superseded {
		entries = append(entries, h.entry)
	}
	return entries
}

// removeMissing marks hosts as removed that a snapshot no longer has. A host that was never listed is left alone.
func (c *Core) removeMissing(listed map[forkhead.MachineID]bool) {
	for _, h := range c.hostsInOrder() {
		if !listed[h.id] && h.entry.State != forkhead.Removed && h.unlistedSince == 0 {
			c.updateHost(h, h.removedEntry(), h.address)
		}
	}
}

// machineStates maps the names of states on the wire to the states of machines.
var machineStates = map[platform.EndpointState]forkhead.MachineState{
	platform.InService:   forkhead.Ready,
	platform.Terminating: forkhead.Draining,
	platform.Terminated:  forkhead.Removed,
}

// stateNames maps the states of machines to their names on the wire.
var stateNames = map[forkhead.MachineState]platform.EndpointState{
	forkhead.Ready:    platform.InService,
	forkhead.Draining: platform.Terminating,
	forkhead.Removed:  platform.Terminated,
}

// decodeEndpoint translates an entry of the endpoint list. ok is false if the entry cannot be used: its name has no
// number, its state is unknown, or the settings lack its machine type or its zone. Type and zone of a removed host may
// be unknown.
func (c *Core) decodeEndpoint(endpoint *platform.Endpoint) (entry forkhead.Machine, ok bool) {
	number, numbered := platform.HostNumber(endpoint.Name)
	state, known := machineStates[endpoint.State]
	machineType := slices.Index(c.config.Names.MachineTypes, endpoint.MachineType)
	zone := c.zoneIndex(endpoint.Zone)
	if !numbered || !known || (machineType < 0 || zone < 0) && state != forkhead.Removed {
		return entry, false
	}
	entry = forkhead.Machine{
		ID: forkhead.MachineID(number), State: state, Type: max(machineType, 0), Zone: max(zone, 0), Cell: endpoint.Cell,
		StartedAt: millisDuration(endpoint.StartedAtMS),
	}
	if len(endpoint.Available) >= 2 {
		entry.AvailableCores, entry.AvailableMemory = endpoint.Available[0], endpoint.Available[1]
	}
	return entry, true
}

// zoneIndex returns the index of a zone in the settings, or -1 if they lack it. If the settings have a single zone,
// every host is in it.
func (c *Core) zoneIndex(name string) int {
	if len(c.config.Names.Zones) == 1 {
		return 0
	}
	return slices.Index(c.config.Names.Zones, name)
}

// reconcileEntry returns an entry of the endpoint list with a start by this placer's clock, and with the location that is
// known of a removed host, whose entry may lack it.
func (c *Core) reconcileEntry(h *host, entry forkhead.Machine) forkhead.Machine {
	entry.StartedAt = c.startByOwnClock(h, entry.StartedAt)
	if entry.State == forkhead.Removed && h.address != "" {
		entry.Type, entry.Zone, entry.Cell = h.entry.Type, h.entry.Zone, h.entry.Cell
	}
	return entry
}

// startByOwnClock returns when a host's incarnation started, given the start that the endpoint list states by another
// machine's clock. A start in the future, one that became known much later than lists are late, and one that lies before
// the start of an earlier incarnation show that the clocks differ. The host then counts as started now, so that it is
// spared for too long rather than not long enough.
func (c *Core) startByOwnClock(h *host, stated time.Duration) time.Duration {
	isKnown := h.address != "" && stated == h.statedStart
	isFromWatch := c.config.InitialEvents == nil
	switch {
	case stated == 0:
		return 0
	case isKnown:
		return h.entry.StartedAt
	case stated > c.now, isFromWatch && c.now > stated+maxStartNotice, stated < h.statedStart:
		return c.now
	}
	return stated
}

// updateHost applies a host's current entry in the endpoint list.
func (c *Core) updateHost(h *host, entry forkhead.Machine, address string) {
	stated := entry.StartedAt
	if h.unlistedSince > 0 {
		h.unlistedSince = 0
		c.unlistedHosts--
	}
	if address == "" {
		address = h.address
	}
	entry.State = c.claimAddress(h, entry, address)
	entry = c.reconcileEntry(h, entry)
	c.logHostChange(h, entry, stated, address)
	if entry.State != forkhead.Ready && (h.entry.State == forkhead.Ready || h.drainingSince == 0) {
		h.drainingSince = c.now
	}
	if entry.State == forkhead.Removed && h.entry.State != forkhead.Removed {
		h.removedAt = c.now
		c.probeRemoved(h)
	}
	isRestart := stated > h.statedStart && h.address != ""
	h.statedStart = stated
	if isRestart {
		c.handleHostRestart(h, entry.StartedAt)
	}
	if entry.State == forkhead.Removed || address != h.address {
		c.closeOutdatedConnections(h, entry.State)
	}
	h.address = address
	h.setEntry(entry)
}

// logHostChange logs a change of a host's state, address or start. The initial list is not logged, nor are changes of the
// available capacity, which are too many.
func (c *Core) logHostChange(h *host, entry forkhead.Machine, stated time.Duration, address string) {
	isInitial := c.config.InitialEvents != nil
	if isInitial || h.address != "" && entry.State == h.entry.State && stated == h.statedStart && address == h.address {
		return
	}
	c.logInfo(messageHostChanged, hostAttr(h.name), slog.String(keyState, string(stateNames[entry.State])), addressAttr(address))
}

// handleHostRestart ends the tasks of a host's earlier incarnation and resets its redial backoff. The end of an
// incarnation ends its connections, so that a task whose offer was sent on a connection that is closed counts as of an
// earlier one even if the host's clock is behind.
func (c *Core) handleHostRestart(h *host, startedAt time.Duration) {
	ended := h.attemptsWhere(func(a *taskAttempt) bool {
		connectionEnded := a.offeredOn != 0 && c.connections[a.offeredOn] == nil
		return a.isPlaced() && (a.sentAt <= startedAt || connectionEnded)
	})
	for _, a := range ended {
		c.finishTask(a, platform.CauseReset, attemptEnd{inferredFrom: reasonRestarted})
	}
	h.redialBackoff, h.redialAt, h.refusedDials = 0, 0, 0
}

// probeRemoved sends a probe on each open connection to a host with placed tasks that was removed from the list. A
// process that still runs answers it.
func (c *Core) probeRemoved(h *host) {
	if !c.settings.MayProbe || !h.hasPlacedTasks() {
		return
	}
	for _, conn := range h.connections {
		if conn.state == connectionOpen {
			c.sendProbeMessage(conn)
		}
	}
}

// closeOutdatedConnections closes the connections to a host that has a new address or is removed. Connections of a
// removed host stay open if offers are in flight on them or tasks are placed there, as it may still report their ends.
func (c *Core) closeOutdatedConnections(h *host, state forkhead.MachineState) {
	if state == forkhead.Removed && h.hasPlacedTasks() {
		return
	}
	for _, conn := range slices.Clone(h.connections) {
		switch {
		case conn.isIdle():
			c.halfClose(conn, reasonOutdated)
		case state != forkhead.Removed:
			c.closeConnection(conn, reasonOutdated)
		}
	}
}
