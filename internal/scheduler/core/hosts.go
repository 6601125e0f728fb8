package core

import (
	"slices"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/parse/settings"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/durable"
	"forkhead/internal/scheduler/hostconn"
	"forkhead/internal/scheduler/invariant"
)

// host is a host of the list, or one that has left it and still holds something of ours.
type host struct {
	name   string
	id     forkhead.MachineID
	entry  HostEntry
	listed bool
	machineType   int
	zone   int
	cell   int
	reportsDraining bool          // by its own word
	drainingSince  time.Duration // told that it drains or is gone
	labels uint64

	connection   hostconn.Connection
	synced  bool // Welcome and all its Holds have come
	everSynced bool // they came at least once: a Welcome alone says nothing of what it holds
	expectedHolds  int  // Holds entries still to come
	heldRefs  map[hostproto.Ref]bool
	lastFrameAt  time.Duration
	attempts  map[hostproto.Ref]*taskAttempt
	probesSentAt map[uint32]time.Duration // outstanding probes of the module
	lastProbeID  uint32                   // number of the last one
	probeWanted    bool                     // the module wants a probe once the connection is up
	lostTimerSeq  uint64                   // number of the timer that counts

	stale    bool // named by an old list only: it counts once it has greeted
	restored bool // known from an earlier life's attempts, and not listed yet
}

// state is what this placer goes by: the list's word, or the host's own if that is worse.
func (h *host) state() forkhead.MachineState {
	switch {
	case !h.listed || h.stale:
		return forkhead.Removed
	case h.reportsDraining:
		return forkhead.Draining
	}
	return h.entry.State
}

func (h *host) usable() bool { return h.connection.State == hostconn.Up && h.synced }

func (h *host) forInvariants() *invariant.Host {
	return &invariant.Host{
		ID: attempt.HostID(h.id), State: h.state(), DrainingSince: h.drainingSince, MachineType: h.machineType, Zone: h.zone, Cell: h.cell,
		Labels: h.labels, StartedAt: h.entry.Started,
	}
}

// forModule is the host as the module is told of it.
func (h *host) forModule() forkhead.Machine {
	return forkhead.Machine{
		ID: h.id, State: h.state(), Type: h.machineType, Zone: h.zone, Cell: h.cell, StartedAt: h.entry.Started,
		AvailableCores: h.entry.FreeCores, AvailableMemory: h.entry.FreeMemory, Labels: h.labels,
	}
}

func indexOf(table map[string]int, name string) int {
	n, ok := table[name]
	if !ok {
		n = len(table)
		table[name] = n
	}
	return n
}

// handleHostList takes in the list of hosts.
func (c *Core) handleHostList(l HostListReceived) {
	if l.Mode == forkhead.ListFailed {
		c.notifyModule(forkhead.ListUpdate{Mode: forkhead.ListFailed})
		return
	}
	if len(l.Hosts) > c.settings.Limits.Hosts {
		c.log("the list names %d hosts; only %d are used", len(l.Hosts), c.settings.Limits.Hosts)
		l.Hosts = l.Hosts[:c.settings.Limits.Hosts]
	}
	if c.firstListAt == 0 {
		c.firstListAt = c.now
	}
	was := map[*host]forkhead.MachineState{}
	for _, h := range c.hosts {
		was[h] = h.state()
	}
	seen := map[*host]bool{}
	var gone []forkhead.Machine
	for _, entry := range l.Hosts {
		kind := settings.Index(c.settings.Kinds, entry.Kind)
		if kind < 0 || entry.Name == "" || len(entry.Name) > hostproto.MostText {
			continue // a host of a kind that the settings do not know is never offered anything
		}
		h := c.hosts[entry.Name]
		if h == nil {
			h = &host{name: entry.Name, attempts: map[hostproto.Ref]*taskAttempt{}, probesSentAt: map[uint32]time.Duration{}}
			c.hosts[entry.Name] = h
			n, renumbered := c.hostIDs.Add(entry.Name)
			h.id = forkhead.MachineID(n)
			for _, r := range renumbered {
				gone = append(gone, c.renumberHost(r.Name, forkhead.MachineID(r.Old))...)
			}
			c.hostsByID[h.id] = h
		}
		if seen[h] {
			c.log("the list names host %s twice; the first entry counts", entry.Name)
			continue
		}
		seen[h] = true
		h.listed, h.restored, h.stale, h.entry, h.machineType = true, false, l.Stale && !h.everSynced, entry, kind
		h.zone, h.cell = indexOf(c.zoneIndexes, entry.Zone), indexOf(c.rackIndexes, entry.Rack)
		h.labels = c.labelsOf(h)
		c.handleConnection(h, hostconn.Input{Kind: hostconn.Listed, Address: entry.Address})
	}
	update := forkhead.ListUpdate{Mode: l.Mode}
	if len(gone) > 0 {
		c.notifyModule(forkhead.ListUpdate{Mode: forkhead.ListDelta, Machines: gone})
	}
	for _, h := range c.sortedHosts() {
		if !seen[h] && h.restored && l.Mode == forkhead.ListSnapshot {
			h.restored = false
			c.settleIfGone(h)
		}
		if !seen[h] && h.listed {
			h.listed = false
			c.handleConnection(h, hostconn.Input{Kind: hostconn.Delisted})
			c.settleIfGone(h)
		}
		if s := h.state(); s != forkhead.Ready && was[h] != s {
			if was[h] == forkhead.Ready || h.drainingSince == 0 {
				h.drainingSince = c.now
			}
		} else if s == forkhead.Ready {
			h.drainingSince = 0
		}
		if h.listed {
			update.Machines = append(update.Machines, h.forModule())
		}
	}
	c.notifyModule(update)
	c.forgetGoneHosts()
	if l.Mode == forkhead.ListSnapshot && (c.hostListPersistedAt == 0 || c.now >= c.hostListPersistedAt+hostListPersistInterval) {
		c.hostListPersistedAt = c.now
		c.persist(durable.HostListReceived{List: durable.HostList{ReceivedAt: c.now, Hosts: l.Hosts}})
	}
}

// hostListPersistInterval is how often a list is noted at most.
const hostListPersistInterval = 2 * time.Second

// renumberHost moves a host whose number collided to the one that the table gives it now.
func (c *Core) renumberHost(name string, old forkhead.MachineID) []forkhead.Machine {
	h := c.hosts[name]
	if h == nil {
		return nil
	}
	n, _ := c.hostIDs.Number(name)
	delete(c.hostsByID, old)
	gone := h.forModule()
	gone.ID, gone.State = old, forkhead.Removed
	h.id = forkhead.MachineID(n)
	c.hostsByID[h.id] = h
	c.log("two hosts have one number, %d; %s is %d from now on", old, name, n)
	return []forkhead.Machine{gone}
}

// sortedHosts returns the hosts in the order of their names: maps have none.
func (c *Core) sortedHosts() []*host {
	out := make([]*host, 0, len(c.hosts))
	for _, h := range c.hosts {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b *host) int { return strings.Compare(a.name, b.name) })
	return out
}

// settleIfGone settles what a host that has left the list had, if it is out of reach too: being
// taken off the list is the operator's word that it is gone.
func (c *Core) settleIfGone(h *host) {
	if !h.listed && h.connection.State == hostconn.Down {
		for _, a := range h.sortedAttempts() {
			c.handleAttempt(a, attempt.HostRestarted, attemptDetail{})
		}
	}
}

// forgetGoneHosts drops hosts of which nothing is left.
func (c *Core) forgetGoneHosts() {
	for name, h := range c.hosts {
		if !h.listed && h.connection.State == hostconn.Down && len(h.attempts) == 0 {
			delete(c.hosts, name)
			delete(c.hostsByID, h.id)
		}
	}
}

func (h *host) sortedAttempts() []*taskAttempt {
	out := make([]*taskAttempt, 0, len(h.attempts))
	for _, a := range h.attempts {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *taskAttempt) int {
		if a.ref.Task != b.ref.Task {
			return int(int64(a.ref.Task) - int64(b.ref.Task))
		}
		if a.ref.Attempt != b.ref.Attempt {
			return int(a.ref.Attempt) - int(b.ref.Attempt)
		}
		if a.ref.Epoch < b.ref.Epoch {
			return -1
		}
		return 1
	})
	return out
}

// handleConnection takes an input to a host's connection and carries out what follows.
func (c *Core) handleConnection(h *host, in hostconn.Input) {
	out := h.connection.Handle(in, c.connPolicy, c.rng.Float64())
	if out.CloseConn {
		c.emit(CloseHostConnection{Host: h.name, Conn: out.ConnToClose})
	}
	if out.StaleIncarnation {
		c.log("host %s answered with an earlier life; the connection is closed", h.name)
	}
	if out.AttemptsDisconnected {
		c.handleDisconnect(h)
	}
	if out.HostRestarted {
		for _, a := range h.sortedAttempts() {
			if a.hostEpoch < h.connection.Epoch && a.phase() != attempt.Waiting {
				c.handleAttempt(a, attempt.HostRestarted, attemptDetail{})
			}
		}
	}
	if out.Dial {
		c.emit(DialHost{Host: h.name, Address: h.connection.Address, Conn: h.connection.Conn})
	}
	if out.SendHello {
		c.emit(SendToHost{Host: h.name, Conn: h.connection.Conn, Frame: hostproto.Hello{
			Version: hostproto.Version, Placer: uint16(c.settings.Module.Self), Epoch: c.epoch, Conn: h.connection.Conn,
		}})
	}
	if out.RetryAfter > 0 {
		c.addTimer(&timer{at: c.now + out.RetryAfter, kind: timerReconnect, host: h})
	}
	if out.ConnectTimeoutAfter > 0 {
		c.addTimer(&timer{at: c.now + out.ConnectTimeoutAfter, kind: timerHostConnectTimeout, host: h, number: uint64(h.connection.Conn)})
	}
}

// handleDisconnect tells all that a host's connection is gone.
func (c *Core) handleDisconnect(h *host) {
	h.synced, h.heldRefs = false, nil
	for _, a := range h.sortedAttempts() {
		c.handleAttempt(a, attempt.ConnectionLost, attemptDetail{})
	}
	for range h.probesSentAt {
		c.notifyModule(forkhead.Probed{Machine: h.id, Result: forkhead.ConnectFailed})
	}
	clear(h.probesSentAt)
	if h.probeWanted {
		h.probeWanted = false
		c.notifyModule(forkhead.Probed{Machine: h.id, Result: forkhead.ConnectFailed})
	}
	h.lostTimerSeq++
	c.addTimer(&timer{at: c.now + c.settings.Links.LostAfter, kind: timerHostLost, host: h, number: h.lostTimerSeq})
	c.settleIfGone(h)
}

// expireUnreachable gives up what was placed on a host that has been out of reach for long, where starting
// it again is harmless. All else waits until its fate is known.
func (c *Core) expireUnreachable(h *host, number uint64) {
	if number != h.lostTimerSeq || h.usable() {
		return
	}
	for _, a := range h.sortedAttempts() {
		if a.phase() == attempt.Unreachable && a.request.Rules.ExpiresWhenUnreachable() {
			c.handleAttempt(a, attempt.Expired, attemptDetail{})
		}
	}
}

// handleFrame takes a handleFrame from a host.
func (c *Core) handleFrame(h *host, f hostproto.Frame) {
	h.lastFrameAt = c.now
	if welcome, ok := f.(hostproto.Welcome); ok {
		c.handleWelcome(h, welcome)
		return
	}
	if b, ok := f.(hostproto.Bye); ok {
		c.log("host %s says: %s", h.name, b.Text)
		return
	}
	if h.connection.State != hostconn.Up {
		c.closeForViolation(h, "a frame before Welcome")
		return
	}
	switch f := f.(type) {
	case hostproto.Holds:
		c.handleHolds(h, f)
	case hostproto.Refused:
		a := h.attempts[f.Ref]
		if a == nil {
			return
		}
		c.handleAttempt(a, attempt.RejectionInput(a.phase()), attemptDetail{reason: forkhead.RejectReason(f.Reason), report: toLoadReport(f.Report)})
	case hostproto.Accepted:
		if a := h.attempts[f.Ref]; a != nil && !c.settings.Module.BoundWhenRunning {
			c.handleAttempt(a, attempt.Accepted, attemptDetail{})
		}
	case hostproto.Running:
		if a := h.attempts[f.Ref]; a != nil {
			c.handleRunning(a, attempt.Accepted)
		}
	case hostproto.Note:
		if a := h.attempts[f.Ref]; a != nil && a.phase() == attempt.Placed {
			c.notifyModule(forkhead.Note{
				Task: a.request.id, Attempt: a.number, Machine: a.machineID, Kind: forkhead.NoteKind(f.Kind), Amount: float64(f.Amount),
			})
		}
	case hostproto.Ended:
		if a := h.attempts[f.Ref]; a != nil {
			d := toAttemptDetail(f)
			in := attempt.Ended
			if f.Result == hostproto.Called {
				in = attempt.Rejected
			}
			c.handleAttempt(a, in, d)
		}
	case hostproto.Probed:
		if _, ok := h.probesSentAt[f.ID]; ok {
			delete(h.probesSentAt, f.ID)
			c.notifyModule(forkhead.Probed{Machine: h.id, Result: forkhead.OK, Report: toLoadReport(f.Report)})
		}
	case hostproto.Drain:
		c.handleDrain(h, f.On)
	default:
		c.closeForViolation(h, "a frame that only placers send")
	}
}

// handleRunning takes the news that a task runs.
func (c *Core) handleRunning(a *taskAttempt, in attempt.Input) {
	if c.settings.Module.BoundWhenRunning {
		c.handleAttempt(a, in, attemptDetail{})
		return
	}
	if a.phase() != attempt.Placed {
		c.handleAttempt(a, in, attemptDetail{})
	}
	if a.phase() == attempt.Placed && !a.running {
		a.running = true
		c.notifyModule(forkhead.Note{Task: a.request.id, Attempt: a.number, Machine: a.machineID, Kind: forkhead.NoteRunning})
	}
}

func (c *Core) closeForViolation(h *host, what string) {
	c.log("host %s: %s; the connection is closed", h.name, what)
	c.emit(CloseHostConnection{Host: h.name, Conn: h.connection.Conn})
	c.handleConnection(h, hostconn.Input{Kind: hostconn.Disconnected, Conn: h.connection.Conn})
}

func (c *Core) handleWelcome(h *host, welcome hostproto.Welcome) {
	if welcome.Version != hostproto.Version || welcome.Host != h.name {
		// Guards against an address that another host has by now.
		c.closeForViolation(h, "it is "+welcome.Host+", or speaks another version")
		return
	}
	if h.connection.State != hostconn.Handshaking {
		c.closeForViolation(h, "a second Welcome")
		return
	}
	c.handleConnection(h, hostconn.Input{Kind: hostconn.Welcomed, Conn: h.connection.Conn, Epoch: welcome.Epoch})
	if h.connection.State != hostconn.Up {
		return
	}
	h.lostTimerSeq++
	h.expectedHolds, h.heldRefs = int(welcome.Count), map[hostproto.Ref]bool{}
	c.addTimer(&timer{at: c.now + c.settings.Links.LostAfter/2, kind: timerLiveness, host: h, number: uint64(h.connection.Conn)})
	c.handleDrain(h, welcome.Draining)
	if h.expectedHolds == 0 {
		c.completeSync(h)
	}
}

// handleHolds takes a part of what a host says it has of ours.
func (c *Core) handleHolds(h *host, f hostproto.Holds) {
	if h.synced || len(f.Held) > h.expectedHolds {
		c.closeForViolation(h, "more held tasks than it announced")
		return
	}
	h.expectedHolds -= len(f.Held)
	for i := range f.Held {
		held := &f.Held[i]
		h.heldRefs[held.Ref] = true
		switch a := h.attempts[held.Ref]; {
		case a != nil && held.Phase == hostproto.InLine:
			c.sendFrame(h, hostproto.Withdraw{Ref: held.Ref}) // it was given up when the connection broke
		case a != nil && held.Phase == hostproto.Starting:
			c.handleAttempt(a, attempt.ListedByHost, attemptDetail{})
		case a != nil:
			c.handleRunning(a, attempt.ListedByHost)
		case held.Ref.Epoch < c.epoch:
			c.handleInherited(h, held)
		case held.Ref.Epoch == c.epoch:
			c.sendFrame(h, hostproto.Stop{Ref: held.Ref}) // its ask is long over
		}
	}
	if h.expectedHolds == 0 {
		c.completeSync(h)
	}
}

// completeSync follows the last of a host's Holds: what it did not name is asked about, and what
// waited for the connection goes out.
func (c *Core) completeSync(h *host) {
	h.synced, h.everSynced = true, true
	if h.stale {
		h.stale, h.drainingSince = false, 0
		c.notifyModule(forkhead.ListUpdate{Mode: forkhead.ListDelta, Machines: []forkhead.Machine{h.forModule()}})
	}
	var refs []hostproto.Ref
	for _, a := range h.sortedAttempts() {
		switch p := a.phase(); {
		case p == attempt.Waiting:
			c.sendOffer(a)
		case p == attempt.Placed && a.request.replica.stopRequested:
			// Guards against a stop that was called for while its host was still telling what it holds.
			c.sendFrame(h, hostproto.Stop{Ref: a.ref, Grace: a.request.replica.stopGrace()})
		case !p.IsSettled() && !h.heldRefs[a.ref] && a.hostEpoch == h.connection.Epoch && a.conn != h.connection.Conn:
			refs = append(refs, a.ref)
		}
	}
	h.heldRefs = nil
	for len(refs) > 0 {
		n := min(len(refs), hostproto.MostRefs)
		c.sendFrame(h, hostproto.Query{Refs: refs[:n]})
		refs = refs[n:]
	}
	if h.probeWanted {
		h.probeWanted = false
		c.sendProbe(h)
	}
}

func (c *Core) sendFrame(h *host, f hostproto.Frame) {
	c.emit(SendToHost{Host: h.name, Conn: h.connection.Conn, Frame: f})
}

// handleDrain takes a host's own word on whether it drains.
func (c *Core) handleDrain(h *host, on bool) {
	if h.reportsDraining == on {
		return
	}
	before := h.state()
	h.reportsDraining = on
	if after := h.state(); after != before {
		h.drainingSince = 0
		if after != forkhead.Ready {
			h.drainingSince = c.now
		}
		if h.listed {
			c.notifyModule(forkhead.ListUpdate{Mode: forkhead.ListDelta, Machines: []forkhead.Machine{h.forModule()}})
		}
	}
}

// checkLiveness makes sure that an idle connection is not a dead one: a host that says nothing for half
// of LostAfter is asked, and one that says nothing for all of it is taken to be gone. Guards
// against hosts that vanish without a reset.
func (c *Core) checkLiveness(h *host, conn uint32) {
	if conn != h.connection.Conn || h.connection.State != hostconn.Up {
		return
	}
	quiet := c.now - h.lastFrameAt
	if quiet >= c.settings.Links.LostAfter {
		c.log("host %s has said nothing for %v; the connection is closed", h.name, quiet.Round(time.Millisecond))
		c.emit(CloseHostConnection{Host: h.name, Conn: conn})
		c.handleConnection(h, hostconn.Input{Kind: hostconn.Disconnected, Conn: conn})
		return
	}
	if quiet >= c.settings.Links.LostAfter/2 {
		c.sendFrame(h, hostproto.Probe{ID: 0})
	}
	c.addTimer(&timer{at: c.now + max(c.settings.Links.LostAfter/4, time.Millisecond), kind: timerLiveness, host: h, number: uint64(conn)})
}

// probeHost asks a host for a sign of life on the module's behalf.
func (c *Core) probeHost(h *host, id forkhead.MachineID) {
	switch {
	case h == nil || h.connection.State == hostconn.Down:
		c.notifyModule(forkhead.Probed{Machine: id, Result: forkhead.ConnectFailed})
	case !h.usable():
		h.probeWanted = true // answered by the connection, or by its failure
	default:
		c.sendProbe(h)
	}
}

func (c *Core) sendProbe(h *host) {
	h.lastProbeID = max(h.lastProbeID+1, 1)
	h.probesSentAt[h.lastProbeID] = c.now
	c.sendFrame(h, hostproto.Probe{ID: h.lastProbeID})
	c.addTimer(&timer{at: c.now + c.settings.Links.Probe, kind: timerProbeTimeout, host: h, number: uint64(h.lastProbeID)})
}

func (c *Core) handleProbeTimeout(h *host, id uint32) {
	if at, ok := h.probesSentAt[id]; ok {
		delete(h.probesSentAt, id)
		c.notifyModule(forkhead.Probed{Machine: h.id, Result: forkhead.TimedOut, Took: c.now - at})
	}
}

func toLoadReport(r *hostproto.Report) *forkhead.LoadReport {
	if r == nil {
		return nil
	}
	return &forkhead.LoadReport{
		AvailableCores: float64(r.Cores), AvailableMemory: float64(r.Memory), Queue: float64(r.Queue), Utilization: float64(r.Util),
	}
}
