package core

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostconn"
	"forkhead/internal/scheduler/invariant"
)

// host is a host of the endpoint list, or one that is not listed and still has something of this placer.
type host struct {
	name        string
	id          forkhead.MachineID
	entry       HostEntry // of the last list that had it
	machineType int       // index into the settings' machine types
	zone        int
	cell        int
	labels      uint64 // the constraints that it meets

	listed          bool
	stale           bool          // only an old list has it: it counts after its handshake
	restored        bool          // known from an earlier incarnation's attempts, and not listed yet
	reportsDraining bool          // by its own report, whatever the endpoint list has
	drainingSince   time.Duration // when this placer was notified that it drains or is removed

	connection      hostconn.Connection
	synced          bool                   // it has sent all that it has of this placer, on this connection
	everSynced      bool                   // or on an earlier one
	unreportedTasks int                    // tasks that it still has to name before it is synced
	reportedRefs    map[hostproto.Ref]bool // those that it has named
	lastFrameAt     time.Duration
	lostTimerSeq    uint64 // number of the timerHostLost that counts

	attempts     map[hostproto.Ref]*taskAttempt // that are not settled
	probesSentAt map[uint32]time.Duration       // unanswered probes of the module, by number
	lastProbeID  uint32
	probeWanted  bool // the module wants a probe, which waits for the connection
}

// state is the endpoint list's, or what the host reports itself if that is worse.
func (h *host) state() forkhead.MachineState {
	switch {
	case !h.listed || h.stale:
		return forkhead.Removed
	case h.reportsDraining:
		return forkhead.Draining
	}
	return h.entry.State
}

// isConnectedAndSynced reports whether offers may be sent to the host. Before that it is sent Hello, what settles the
// tasks that it reports (Query, Withdraw, Stop), and the Probe of checkLiveness.
func (h *host) isConnectedAndSynced() bool { return h.connection.State == hostconn.Up && h.synced }

func (h *host) hasLabels(labels uint64) bool { return labels&^h.labels == 0 }

// hasMachineType reports whether tasks of a class may run on a host's machine type.
func hasMachineType(class *forkhead.Class, h *host) bool {
	return class.MachineType < 0 || class.MachineType == h.machineType
}

// forInvariants is the host as package invariant sees it.
func (h *host) forInvariants() *invariant.Host {
	return &invariant.Host{
		ID:            attempt.HostID(h.id),
		State:         h.state(),
		DrainingSince: h.drainingSince,
		MachineType:   h.machineType,
		Zone:          h.zone,
		Cell:          h.cell,
		Labels:        h.labels,
		StartedAt:     h.entry.Started,
	}
}

// forModule is the host as the module sees it.
func (h *host) forModule() forkhead.Machine {
	return forkhead.Machine{
		ID:              h.id,
		State:           h.state(),
		Type:            h.machineType,
		Zone:            h.zone,
		Cell:            h.cell,
		StartedAt:       h.entry.Started,
		AvailableCores:  h.entry.FreeCores,
		AvailableMemory: h.entry.FreeMemory,
		Labels:          h.labels,
	}
}

// sortedAttempts returns the attempts in an order of their own, since a map has none.
func (h *host) sortedAttempts() []*taskAttempt {
	attempts := make([]*taskAttempt, 0, len(h.attempts))
	for _, a := range h.attempts {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b *taskAttempt) int {
		return cmp.Or(
			cmp.Compare(a.ref.Task, b.ref.Task),
			cmp.Compare(a.ref.Attempt, b.ref.Attempt),
			cmp.Compare(a.ref.Epoch, b.ref.Epoch),
		)
	})
	return attempts
}

// sortedHosts returns the hosts in the order of their names, since a map has none.
func (c *Core) sortedHosts() []*host {
	hosts := make([]*host, 0, len(c.hosts))
	for _, h := range c.hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b *host) int { return strings.Compare(a.name, b.name) })
	return hosts
}

// addHost adds a host with a number of its own. Hosts whose numbers collided with it get others; renumbered are the
// machines that the module must drop for that.
func (c *Core) addHost(name string) (h *host, renumbered []forkhead.Machine) {
	h = &host{name: name, attempts: map[hostproto.Ref]*taskAttempt{}, probesSentAt: map[uint32]time.Duration{}}
	c.hosts[name] = h
	id, collided := c.hostIDs.Add(name)
	h.id = forkhead.MachineID(id)
	for _, other := range collided {
		renumbered = append(renumbered, c.renumberHost(other.Name, forkhead.MachineID(other.Old))...)
	}
	c.hostsByID[h.id] = h
	return h, renumbered
}

// renumberHost gives a host whose number collided the one that the table has for it now.
func (c *Core) renumberHost(name string, oldID forkhead.MachineID) []forkhead.Machine {
	h := c.hosts[name]
	if h == nil {
		return nil
	}
	id, _ := c.hostIDs.Number(name)
	delete(c.hostsByID, oldID)
	removed := h.forModule()
	removed.ID, removed.State = oldID, forkhead.Removed
	h.id = forkhead.MachineID(id)
	c.hostsByID[h.id] = h
	c.log("two hosts have one number, %d; %s is %d from now on", oldID, name, id)
	return []forkhead.Machine{removed}
}

// forgetUnusedHosts drops the hosts that are not listed, not connected, and have nothing of this placer.
func (c *Core) forgetUnusedHosts() {
	for name, h := range c.hosts {
		if !h.listed && h.connection.State == hostconn.Down && len(h.attempts) == 0 {
			delete(c.hosts, name)
			delete(c.hostsByID, h.id)
		}
	}
}

// notifyHostChanged notifies the module of a host whose state has changed.
func (c *Core) notifyHostChanged(h *host) {
	c.notifyModule(forkhead.ListUpdate{Mode: forkhead.ListDelta, Machines: []forkhead.Machine{h.forModule()}})
}
