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

// host is a host of the endpoint list, or an unlisted one that still has a connection or attempts of this placer.
type host struct {
	name        string
	id          forkhead.MachineID
	entry       HostEntry // entry in the last endpoint list that named the host
	machineType int       // index into the settings' machine types
	zone        int
	cell        int
	labels      uint64 // bits of the constraints that the host meets

	listed          bool
	stale           bool          // only an old cached list names the host, which counts as removed until its handshake
	restored        bool          // known from durable attempts of an earlier incarnation, and not listed yet
	reportsDraining bool          // the host itself reports that it drains, whatever the endpoint list says
	drainingSince   time.Duration // when this placer learned that the host drains or is removed

	connection      hostconn.Connection
	synced          bool                   // the host has listed all its tasks of this placer on this connection
	everSynced      bool                   // synced on this connection or an earlier one
	unreportedTasks int                    // number of held tasks that the host still has to list before it is synced
	reportedRefs    map[hostproto.Ref]bool // held tasks that the host has listed on this connection; nil once synced
	lastFrameAt     time.Duration
	lostTimerSeq    uint64 // number of the only timerHostLost that is still valid

	attempts     map[hostproto.Ref]*taskAttempt // attempts that are not settled
	probesSentAt map[uint32]time.Duration       // unanswered probes of the module, by ID
	lastProbeID  uint32
	probeWanted  bool // a probe of the module waits until the connection is synced
}

// state returns the state that the host counts as: Removed if it is not listed or is stale, else Draining if the host
// itself reports that it drains, and else its state in the endpoint list.
func (h *host) state() forkhead.MachineState {
	switch {
	case !h.listed || h.stale:
		return forkhead.Removed
	case h.reportsDraining:
		return forkhead.Draining
	}
	return h.entry.State
}

// isConnectedAndSynced reports whether offers may be sent to the host. Before that, only these are sent: Hello, the
// frames that settle the tasks that the host reports (Query, Withdraw, Stop), and the Probe of checkLiveness.
func (h *host) isConnectedAndSynced() bool { return h.connection.State == hostconn.Up && h.synced }

func (h *host) hasLabels(labels uint64) bool { return labels&^h.labels == 0 }

// hasMachineType reports whether tasks of a class may run on a host's machine type.
func hasMachineType(class *forkhead.Class, h *host) bool {
	return class.MachineType < 0 || class.MachineType == h.machineType
}

// forInvariants returns the host in the form that package invariant checks.
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

// forModule returns the host as a machine of the module.
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

// sortedAttempts returns the attempts ordered by their refs, so that the outputs do not depend on the order of a map.
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

// sortedHosts returns the hosts ordered by name, so that the outputs do not depend on the order of a map.
func (c *Core) sortedHosts() []*host {
	hosts := make([]*host, 0, len(c.hosts))
	for _, h := range c.hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b *host) int { return strings.Compare(a.name, b.name) })
	return hosts
}

// addHost adds a host with a unique number. Other hosts whose names hash to the same number are renumbered. The result
// renumbered lists them as machines with their old numbers, which the module must drop.
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

// renumberHost gives a host whose number collided with that of another one its new number from the table hostIDs. It
// returns the host as a machine with its old number, which the module must drop, or nil if the host is not known.
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

// forgetUnusedHosts drops the hosts that are not listed, not connected, and have no unsettled attempts.
func (c *Core) forgetUnusedHosts() {
	for name, h := range c.hosts {
		if !h.listed && h.connection.State == hostconn.Down && len(h.attempts) == 0 {
			delete(c.hosts, name)
			delete(c.hostsByID, h.id)
		}
	}
}

// notifyHostChanged notifies the module that the state of a host has changed.
func (c *Core) notifyHostChanged(h *host) {
	c.notifyModule(forkhead.ListUpdate{Mode: forkhead.ListDelta, Machines: []forkhead.Machine{h.forModule()}})
}
