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
	kind   int
	zone   int
	cell   int
	drains bool          // by its own word
	since  time.Duration // told that it drains or is gone
	labels uint64

	link   hostconn.Connection
	ready  bool // Welcome and all its Holds have come
	spoken bool // they came at least once: a Welcome alone says nothing of what it holds
	await  int  // Holds entries still to come
	holds  map[hostproto.Ref]bool
	heard  time.Duration
	tries  map[hostproto.Ref]*try
	probes map[uint32]time.Duration // outstanding probes of the module
	probe  uint32                   // number of the last one
	ask    bool                     // the module wants a probe once the connection is up
	lapse  uint64                   // number of the timer that counts

	stale    bool // named by an old list only: it counts once it has greeted
	restored bool // known from an earlier life's attempts, and not listed yet
}

// state is what this placer goes by: the list's word, or the host's own if that is worse.
func (h *host) state() forkhead.MachineState {
	switch {
	case !h.listed || h.stale:
		return forkhead.Removed
	case h.drains:
		return forkhead.Draining
	}
	return h.entry.State
}

func (h *host) usable() bool { return h.link.State == hostconn.Up && h.ready }

func (h *host) guard() *invariant.Host {
	return &invariant.Host{
		ID: attempt.HostID(h.id), State: h.state(), DrainingSince: h.since, MachineType: h.kind, Zone: h.zone, Cell: h.cell,
		Labels: h.labels, StartedAt: h.entry.Started,
	}
}

// machine is the host as the module is told of it.
func (h *host) machine() forkhead.Machine {
	return forkhead.Machine{
		ID: h.id, State: h.state(), Type: h.kind, Zone: h.zone, Cell: h.cell, StartedAt: h.entry.Started,
		AvailableCores: h.entry.FreeCores, AvailableMemory: h.entry.FreeMemory, Labels: h.labels,
	}
}

func number(table map[string]int, name string) int {
	n, ok := table[name]
	if !ok {
		n = len(table)
		table[name] = n
	}
	return n
}

// listing takes in the list of hosts.
func (c *Core) listing(l HostListReceived) {
	if l.Mode == forkhead.ListFailed {
		c.tell(forkhead.ListUpdate{Mode: forkhead.ListFailed})
		return
	}
	if len(l.Hosts) > c.set.Limits.Hosts {
		c.log("the list names %d hosts; only %d are used", len(l.Hosts), c.set.Limits.Hosts)
		l.Hosts = l.Hosts[:c.set.Limits.Hosts]
	}
	if c.listedAt == 0 {
		c.listedAt = c.now
	}
	was := map[*host]forkhead.MachineState{}
	for _, h := range c.hosts {
		was[h] = h.state()
	}
	seen := map[*host]bool{}
	var gone []forkhead.Machine
	for _, entry := range l.Hosts {
		kind := settings.Index(c.set.Kinds, entry.Kind)
		if kind < 0 || entry.Name == "" || len(entry.Name) > hostproto.MostText {
			continue // a host of a kind that the settings do not know is never offered anything
		}
		h := c.hosts[entry.Name]
		if h == nil {
			h = &host{name: entry.Name, tries: map[hostproto.Ref]*try{}, probes: map[uint32]time.Duration{}}
			c.hosts[entry.Name] = h
			n, renamed := c.ids.Add(entry.Name)
			h.id = forkhead.MachineID(n)
			for name, old := range renamed {
				gone = append(gone, c.renumber(name, forkhead.MachineID(old))...)
			}
			c.byID[h.id] = h
		}
		if seen[h] {
			c.log("the list names host %s twice; the first entry counts", entry.Name)
			continue
		}
		seen[h] = true
		h.listed, h.restored, h.stale, h.entry, h.kind = true, false, l.Stale && !h.spoken, entry, kind
		h.zone, h.cell = number(c.zones, entry.Zone), number(c.racks, entry.Rack)
		h.labels = c.labelsOf(h)
		c.link(h, hostconn.Input{Kind: hostconn.Listed, Address: entry.Address})
	}
	update := forkhead.ListUpdate{Mode: l.Mode}
	if len(gone) > 0 {
		c.tell(forkhead.ListUpdate{Mode: forkhead.ListDelta, Machines: gone})
	}
	for _, h := range c.sorted() {
		if !seen[h] && h.restored && l.Mode == forkhead.ListSnapshot {
			h.restored = false
			c.departed(h)
		}
		if !seen[h] && h.listed {
			h.listed = false
			c.link(h, hostconn.Input{Kind: hostconn.Delisted})
			c.departed(h)
		}
		if s := h.state(); s != forkhead.Ready && was[h] != s {
			if was[h] == forkhead.Ready || h.since == 0 {
				h.since = c.now
			}
		} else if s == forkhead.Ready {
			h.since = 0
		}
		if h.listed {
			update.Machines = append(update.Machines, h.machine())
		}
	}
	c.tell(update)
	c.forgetHosts()
	if l.Mode == forkhead.ListSnapshot && (c.keptAt == 0 || c.now >= c.keptAt+listEvery) {
		c.keptAt = c.now
		c.keep(durable.HostListReceived{List: durable.HostList{ReceivedAt: c.now, Hosts: l.Hosts}})
	}
}

// listEvery is how often a list is noted at most.
const listEvery = 2 * time.Second

// renumber moves a host whose number collided to the one that the table gives it now.
func (c *Core) renumber(name string, old forkhead.MachineID) []forkhead.Machine {
	h := c.hosts[name]
	if h == nil {
		return nil
	}
	n, _ := c.ids.Number(name)
	delete(c.byID, old)
	gone := h.machine()
	gone.ID, gone.State = old, forkhead.Removed
	h.id = forkhead.MachineID(n)
	c.byID[h.id] = h
	c.log("two hosts have one number, %d; %s is %d from now on", old, name, n)
	return []forkhead.Machine{gone}
}

// sorted returns the hosts in the order of their names: maps have none.
func (c *Core) sorted() []*host {
	out := make([]*host, 0, len(c.hosts))
	for _, h := range c.hosts {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b *host) int { return strings.Compare(a.name, b.name) })
	return out
}

// departed settles what a host that has left the list had, if it is out of reach too: being
// taken off the list is the operator's word that it is gone.
func (c *Core) departed(h *host) {
	if !h.listed && h.link.State == hostconn.Down {
		for _, t := range h.sortedTries() {
			c.input(t, attempt.HostRestarted, detail{})
		}
	}
}

// forgetHosts drops hosts of which nothing is left.
func (c *Core) forgetHosts() {
	for name, h := range c.hosts {
		if !h.listed && h.link.State == hostconn.Down && len(h.tries) == 0 {
			delete(c.hosts, name)
			delete(c.byID, h.id)
		}
	}
}

func (h *host) sortedTries() []*try {
	out := make([]*try, 0, len(h.tries))
	for _, t := range h.tries {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *try) int {
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

// link takes an input to a host's connection and carries out what follows.
func (c *Core) link(h *host, in hostconn.Input) {
	out := h.link.Handle(in, c.links, c.rng.Float64())
	if out.CloseConn {
		c.do(CloseHostConnection{Host: h.name, Conn: out.ConnToClose})
	}
	if out.StaleIncarnation {
		c.log("host %s answered with an earlier life; the connection is closed", h.name)
	}
	if out.AttemptsDisconnected {
		c.broken(h)
	}
	if out.HostRestarted {
		for _, t := range h.sortedTries() {
			if t.hostEpoch < h.link.Epoch && t.phase() != attempt.Waiting {
				c.input(t, attempt.HostRestarted, detail{})
			}
		}
	}
	if out.Dial {
		c.do(DialHost{Host: h.name, Address: h.link.Address, Conn: h.link.Conn})
	}
	if out.SendHello {
		c.do(SendToHost{Host: h.name, Conn: h.link.Conn, Frame: hostproto.Hello{
			Version: hostproto.Version, Placer: uint16(c.set.Module.Self), Epoch: c.epoch, Conn: h.link.Conn,
		}})
	}
	if out.RetryAfter > 0 {
		c.at(&timer{at: c.now + out.RetryAfter, kind: timerRetry, host: h})
	}
	if out.ConnectTimeoutAfter > 0 {
		c.at(&timer{at: c.now + out.ConnectTimeoutAfter, kind: timerLate, host: h, number: uint64(h.link.Conn)})
	}
}

// broken tells all that a host's connection is gone.
func (c *Core) broken(h *host) {
	h.ready, h.holds = false, nil
	for _, t := range h.sortedTries() {
		c.input(t, attempt.ConnectionLost, detail{})
	}
	for range h.probes {
		c.tell(forkhead.Probed{Machine: h.id, Result: forkhead.ConnectFailed})
	}
	clear(h.probes)
	if h.ask {
		h.ask = false
		c.tell(forkhead.Probed{Machine: h.id, Result: forkhead.ConnectFailed})
	}
	h.lapse++
	c.at(&timer{at: c.now + c.set.Links.LostAfter, kind: timerLapse, host: h, number: h.lapse})
	c.departed(h)
}

// lapse gives up what was placed on a host that has been out of reach for long, where starting
// it again is harmless. All else waits until its fate is known.
func (c *Core) lapse(h *host, number uint64) {
	if number != h.lapse || h.usable() {
		return
	}
	for _, t := range h.sortedTries() {
		if t.phase() == attempt.Unreachable && t.ask.Rules.ExpiresWhenUnreachable() {
			c.input(t, attempt.Expired, detail{})
		}
	}
}

// frame takes a frame from a host.
func (c *Core) frame(h *host, f hostproto.Frame) {
	h.heard = c.now
	if w, ok := f.(hostproto.Welcome); ok {
		c.welcome(h, w)
		return
	}
	if b, ok := f.(hostproto.Bye); ok {
		c.log("host %s says: %s", h.name, b.Text)
		return
	}
	if h.link.State != hostconn.Up {
		c.absurd(h, "a frame before Welcome")
		return
	}
	switch f := f.(type) {
	case hostproto.Holds:
		c.holding(h, f)
	case hostproto.Refused:
		t := h.tries[f.Ref]
		if t == nil {
			return
		}
		c.input(t, attempt.RejectionInput(t.phase()), detail{reason: forkhead.RejectReason(f.Reason), report: report(f.Report)})
	case hostproto.Accepted:
		if t := h.tries[f.Ref]; t != nil && !c.set.Module.BoundWhenRunning {
			c.input(t, attempt.Accepted, detail{})
		}
	case hostproto.Running:
		if t := h.tries[f.Ref]; t != nil {
			c.running(t, attempt.Accepted)
		}
	case hostproto.Note:
		if t := h.tries[f.Ref]; t != nil && t.phase() == attempt.Placed {
			c.tell(forkhead.Note{
				Task: t.ask.id, Attempt: t.number, Machine: t.machine, Kind: forkhead.NoteKind(f.Kind), Amount: float64(f.Amount),
			})
		}
	case hostproto.Ended:
		if t := h.tries[f.Ref]; t != nil {
			d := ending(f)
			in := attempt.Ended
			if f.Result == hostproto.Called {
				in = attempt.Rejected
			}
			c.input(t, in, d)
		}
	case hostproto.Probed:
		if _, ok := h.probes[f.ID]; ok {
			delete(h.probes, f.ID)
			c.tell(forkhead.Probed{Machine: h.id, Result: forkhead.OK, Report: report(f.Report)})
		}
	case hostproto.Drain:
		c.drain(h, f.On)
	default:
		c.absurd(h, "a frame that only placers send")
	}
}

// running takes the news that a task runs.
func (c *Core) running(t *try, in attempt.Input) {
	if c.set.Module.BoundWhenRunning {
		c.input(t, in, detail{})
		return
	}
	if t.phase() != attempt.Placed {
		c.input(t, in, detail{})
	}
	if t.phase() == attempt.Placed && !t.runs {
		t.runs = true
		c.tell(forkhead.Note{Task: t.ask.id, Attempt: t.number, Machine: t.machine, Kind: forkhead.NoteRunning})
	}
}

func (c *Core) absurd(h *host, what string) {
	c.log("host %s: %s; the connection is closed", h.name, what)
	c.do(CloseHostConnection{Host: h.name, Conn: h.link.Conn})
	c.link(h, hostconn.Input{Kind: hostconn.Disconnected, Conn: h.link.Conn})
}

func (c *Core) welcome(h *host, w hostproto.Welcome) {
	if w.Version != hostproto.Version || w.Host != h.name {
		// Guards against an address that another host has by now.
		c.absurd(h, "it is "+w.Host+", or speaks another version")
		return
	}
	if h.link.State != hostconn.Handshaking {
		c.absurd(h, "a second Welcome")
		return
	}
	c.link(h, hostconn.Input{Kind: hostconn.Welcomed, Conn: h.link.Conn, Epoch: w.Epoch})
	if h.link.State != hostconn.Up {
		return
	}
	h.lapse++
	h.await, h.holds = int(w.Count), map[hostproto.Ref]bool{}
	c.at(&timer{at: c.now + c.set.Links.LostAfter/2, kind: timerAlive, host: h, number: uint64(h.link.Conn)})
	c.drain(h, w.Draining)
	if h.await == 0 {
		c.opened(h)
	}
}

// holding takes a part of what a host says it has of ours.
func (c *Core) holding(h *host, f hostproto.Holds) {
	if h.ready || len(f.Held) > h.await {
		c.absurd(h, "more held tasks than it announced")
		return
	}
	h.await -= len(f.Held)
	for i := range f.Held {
		held := &f.Held[i]
		h.holds[held.Ref] = true
		switch t := h.tries[held.Ref]; {
		case t != nil && held.Phase == hostproto.InLine:
			c.send(h, hostproto.Withdraw{Ref: held.Ref}) // it was given up when the connection broke
		case t != nil && held.Phase == hostproto.Starting:
			c.input(t, attempt.ListedByHost, detail{})
		case t != nil:
			c.running(t, attempt.ListedByHost)
		case held.Ref.Epoch < c.epoch:
			c.inherit(h, held)
		case held.Ref.Epoch == c.epoch:
			c.send(h, hostproto.Stop{Ref: held.Ref}) // its ask is long over
		}
	}
	if h.await == 0 {
		c.opened(h)
	}
}

// opened follows the last of a host's Holds: what it did not name is asked about, and what
// waited for the connection goes out.
func (c *Core) opened(h *host) {
	h.ready, h.spoken = true, true
	if h.stale {
		h.stale, h.since = false, 0
		c.tell(forkhead.ListUpdate{Mode: forkhead.ListDelta, Machines: []forkhead.Machine{h.machine()}})
	}
	var refs []hostproto.Ref
	for _, t := range h.sortedTries() {
		switch p := t.phase(); {
		case p == attempt.Waiting:
			c.write(t)
		case p == attempt.Placed && t.ask.wish.stopAsked:
			// Guards against a stop that was called for while its host was still telling what it holds.
			c.send(h, hostproto.Stop{Ref: t.ref, Grace: t.ask.wish.grace()})
		case !p.IsSettled() && !h.holds[t.ref] && t.hostEpoch == h.link.Epoch && t.conn != h.link.Conn:
			refs = append(refs, t.ref)
		}
	}
	h.holds = nil
	for len(refs) > 0 {
		n := min(len(refs), hostproto.MostRefs)
		c.send(h, hostproto.Query{Refs: refs[:n]})
		refs = refs[n:]
	}
	if h.ask {
		h.ask = false
		c.sendProbe(h)
	}
}

func (c *Core) send(h *host, f hostproto.Frame) {
	c.do(SendToHost{Host: h.name, Conn: h.link.Conn, Frame: f})
}

// drain takes a host's own word on whether it drains.
func (c *Core) drain(h *host, on bool) {
	if h.drains == on {
		return
	}
	before := h.state()
	h.drains = on
	if after := h.state(); after != before {
		h.since = 0
		if after != forkhead.Ready {
			h.since = c.now
		}
		if h.listed {
			c.tell(forkhead.ListUpdate{Mode: forkhead.ListDelta, Machines: []forkhead.Machine{h.machine()}})
		}
	}
}

// alive makes sure that an idle connection is not a dead one: a host that says nothing for half
// of LostAfter is asked, and one that says nothing for all of it is taken to be gone. Guards
// against hosts that vanish without a reset.
func (c *Core) alive(h *host, conn uint32) {
	if conn != h.link.Conn || h.link.State != hostconn.Up {
		return
	}
	quiet := c.now - h.heard
	if quiet >= c.set.Links.LostAfter {
		c.log("host %s has said nothing for %v; the connection is closed", h.name, quiet.Round(time.Millisecond))
		c.do(CloseHostConnection{Host: h.name, Conn: conn})
		c.link(h, hostconn.Input{Kind: hostconn.Disconnected, Conn: conn})
		return
	}
	if quiet >= c.set.Links.LostAfter/2 {
		c.send(h, hostproto.Probe{ID: 0})
	}
	c.at(&timer{at: c.now + max(c.set.Links.LostAfter/4, time.Millisecond), kind: timerAlive, host: h, number: uint64(conn)})
}

// probe asks a host for a sign of life on the module's behalf.
func (c *Core) probe(h *host, id forkhead.MachineID) {
	switch {
	case h == nil || h.link.State == hostconn.Down:
		c.tell(forkhead.Probed{Machine: id, Result: forkhead.ConnectFailed})
	case !h.usable():
		h.ask = true // answered by the connection, or by its failure
	default:
		c.sendProbe(h)
	}
}

func (c *Core) sendProbe(h *host) {
	h.probe = max(h.probe+1, 1)
	h.probes[h.probe] = c.now
	c.send(h, hostproto.Probe{ID: h.probe})
	c.at(&timer{at: c.now + c.set.Links.Probe, kind: timerProbe, host: h, number: uint64(h.probe)})
}

func (c *Core) probeLate(h *host, id uint32) {
	if at, ok := h.probes[id]; ok {
		delete(h.probes, id)
		c.tell(forkhead.Probed{Machine: h.id, Result: forkhead.TimedOut, Took: c.now - at})
	}
}

func report(r *hostproto.Report) *forkhead.LoadReport {
	if r == nil {
		return nil
	}
	return &forkhead.LoadReport{
		AvailableCores: float64(r.Cores), AvailableMemory: float64(r.Memory), Queue: float64(r.Queue), Utilization: float64(r.Util),
	}
}
