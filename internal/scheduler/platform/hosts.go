package platform

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/parse/platformconfig"
	"forkhead/internal/protocol/platform"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/invariant"
)

// host is one host of the list, by its number.
type host struct {
	number  uint32
	name    string
	address string
	entry   forkhead.Machine
	since   time.Duration // told that it is not in service
	goneAt  time.Duration // told that it is gone
	seenAs  invariant.Host
	tries   map[string]*try // live attempts, by ref
	links   []*link

	heardAt  time.Duration // the last byte of it, or a connection was made
	awaited  time.Duration // known by an owner's word since then, and not listed yet; 0: it is listed
	failedAt time.Duration // a connection to it was not made, and that was not for want of descriptors here
	redialAt time.Duration
	rest     time.Duration
	refusals int // in a row, with no connection open

	probe *probe
}

// link is one connection to a host.
type link struct {
	id      uint64
	host    *host
	open    bool // else it is being made
	lines   stream
	heardAt time.Duration
	usedAt  time.Duration
	out     int           // attempts
	waiting []*try        // for it to open
	hello   bool          // a probe waits for it to open
	test    bool          // it is made to see whether a silent host takes a connection
	retired time.Duration // it is being closed since then, and only read; 0: it is not
	renew   bool          // it is made to take the place of an idle one, where tests are not allowed
}

// probe is a test that the module asked for.
type probe struct {
	refs  []string // of its tests
	links []*link  // that carry them
	at    time.Duration
	again time.Duration // when to test on another connection; 0: not
}

func (h *host) guarded() *invariant.Host { return &h.seenAs }

// renewing says whether a connection is being made that is to take the place of an idle one.
func (h *host) renewing() bool {
	return slices.ContainsFunc(h.links, func(l *link) bool { return l.renew && !l.open })
}

func (h *host) standing() bool {
	for _, t := range h.tries {
		if t.stands() {
			return true
		}
	}
	return false
}

// best is the open link with the fewest attempts out, the latest used of them; nil: none is open.
func (h *host) best() *link {
	var best *link
	for _, l := range h.links {
		if l.open && (best == nil || l.out < best.out || l.out == best.out && l.heardAt > best.heardAt) {
			best = l
		}
	}
	return best
}

// ---- Connections.

// carry puts an attempt on a link of its host: an idle one, else a new one, else the least busy.
func (c *Core) carry(t *try) {
	l := t.host.best()
	if l == nil || l.out > 0 && len(t.host.links) < linksEach {
		if made := c.dial(t.host); made != nil {
			l = made
		}
	}
	if l == nil {
		for _, other := range t.host.links {
			if l == nil || len(other.waiting) < len(l.waiting) {
				l = other
			}
		}
	}
	if l == nil || l.out+len(l.waiting) >= streamsEach {
		c.outcome(t, attempt.ConnectionLost, forkhead.ConnectFailed, forkhead.NoReason, false, nil)
		return
	}
	t.link = l
	if l.open {
		c.write(t)
	} else {
		l.waiting = append(l.waiting, t)
	}
}

// dial makes a connection, or returns nil where there is no room for one.
func (c *Core) dial(h *host) *link {
	if !c.roomFor(h) {
		return nil
	}
	c.lastLink++
	l := &link{id: c.lastLink, host: h, usedAt: c.now}
	c.links[l.id] = l
	h.links = append(h.links, l)
	c.emit(DialHost{l.id, h.address})
	return l
}

// roomFor makes room for one more connection to a host: an idle one to another host goes, else one of owners beyond
// those that are kept. It guards against descriptors that run out, where neither hosts nor owners nor the change log could
// be reached any more.
func (c *Core) roomFor(h *host) bool {
	if c.used() < c.cfg.MaxHostConnections && c.used()+len(c.owners) < c.cfg.MaxConnections {
		return true
	}
	if l := c.spareLink(h); l != nil {
		c.spare(l)
		return true
	}
	if o := c.spareOwner(); o != nil && c.used() < c.cfg.MaxHostConnections && len(c.owners) > c.cfg.ProtectedOwnerConnections {
		c.hangUp(o)
		return true
	}
	return false
}

// spareLink is the idle connection that is the first to go, of a host other than the one given: of those to hosts that
// have others or hold none of our tasks the longest unused, then of all. nil: none is idle.
func (c *Core) spareLink(but *host) *link {
	var best *link
	needed, bestAt := false, time.Duration(0)
	for _, l := range c.links {
		if !l.open || l.out > 0 || l.host == but || l.retired > 0 {
			continue
		}
		at := max(l.usedAt, l.heardAt)
		only := len(l.host.links) == 1 && l.host.standing()
		if best == nil || needed && !only || needed == only && (at < bestAt || at == bestAt && l.id < best.id) {
			best, needed, bestAt = l, only, at
		}
	}
	return best
}

// spare closes an idle connection. A host that holds tasks and has no other is called on again in time to see whether it
// is still there, and says then what became of them.
func (c *Core) spare(l *link) {
	if len(l.host.links) == 1 {
		l.host.redialAt = max(l.host.redialAt, c.now+quietAfter)
	}
	c.retire(l)
}

// used is how many connections to hosts count against the room: all but a few that are being closed.
func (c *Core) used() int { return len(c.links) - min(len(c.retired), mostRetired) }

// retire closes an idle connection so that what its host is just saying on it is still heard: this end says that it writes
// no more, and reads until the other end closes too, or for a while. It guards against releases and notes that cross the
// close: a host takes what it has written for told.
func (c *Core) retire(l *link) {
	if len(c.retired) >= mostRetired && (len(c.links)+len(c.owners) >= c.cfg.MaxConnections || len(c.links) >= c.cfg.MaxHostConnections) {
		c.cut(l)
		return
	}
	l.retired = c.now
	c.retired = append(c.retired, l)
	l.host.links = slices.DeleteFunc(l.host.links, func(o *link) bool { return o == l })
	c.emit(HalfCloseHostConnection{l.id})
}

func (c *Core) dialled(id uint64) {
	l := c.links[id]
	if l == nil {
		return
	}
	h := l.host
	l.open, l.usedAt, l.heardAt = true, c.now, c.now
	h.heardAt, h.rest, h.refusals = c.now, 0, 0
	if l.hello {
		l.hello = false
		c.test(l)
	}
	waiting := l.waiting
	l.waiting = nil
	for _, t := range waiting {
		c.write(t)
	}
	// Tasks that were to end while no connection was open. Guards against a task that its owner has ended and that runs on.
	for _, t := range h.triesThat(func(t *try) bool { return t.req.phase == ending && !t.told }) {
		c.stopTask(t)
	}
	if l.renew {
		for _, old := range slices.Clone(h.links) {
			if old != l && old.open && old.out == 0 {
				c.retire(old)
			}
		}
	} else if l.test && l.out == 0 && len(h.links) > 1 {
		// It has shown that the host is up. Guards against connections that heap up to hosts with little to say.
		c.retire(l)
	}
}

func (c *Core) dialFailed(in DialFailed) {
	l := c.links[in.Connection]
	if l == nil {
		return
	}
	h := l.host
	if in.Local {
		c.drop(l)
		h.redialAt = c.now + restFirst
		for _, t := range l.waiting {
			t.link = nil
			c.outcome(t, attempt.Abandoned, forkhead.NotSent, forkhead.NoReason, false, nil)
		}
		return
	}
	switch {
	case in.Refused && h.best() != nil:
		// The machine answers and its process holds our connections: it drains, or takes no more. Guards against
		// giving up the tasks of a host that only refuses new connections.
		h.heardAt = c.now
	case in.Refused:
		h.refusals++
	}
	h.failedAt = c.now
	h.rest = min(max(2*h.rest, restFirst), restMost)
	h.redialAt = c.now + h.rest
	c.drop(l)
	for _, t := range l.waiting {
		t.link = nil
		c.outcome(t, attempt.ConnectionLost, forkhead.ConnectFailed, forkhead.NoReason, false, nil)
	}
	l.waiting = nil
	if l.hello && h.probe != nil && h.best() == nil {
		c.probed(h, forkhead.ConnectFailed, nil)
	}
	if h.best() == nil && h.refusals >= 2 && (h.entry.State == forkhead.Ready || c.now > h.heardAt+lostAfter) {
		c.lose(h, reasonRefusesConnections)
	}
}

// drop takes a link off the books.
func (c *Core) drop(l *link) {
	delete(c.links, l.id)
	l.host.links = slices.DeleteFunc(l.host.links, func(o *link) bool { return o == l })
	if l.retired > 0 {
		c.retired = slices.DeleteFunc(c.retired, func(o *link) bool { return o == l })
	}
}

// unlink is the end of a connection: what was out on it may have run.
func (c *Core) unlink(l *link) {
	c.drop(l)
	for _, t := range l.host.triesThat(func(t *try) bool { return t.link == l }) {
		if t.phase() == attempt.InFlight {
			c.ended.add(givenUp{l.host.number, t.req.ref})
			c.strays = append(c.strays, stray{l.host, t.req.ref})
			c.outcome(t, attempt.ConnectionLost, forkhead.Reset, forkhead.NoReason, false, nil)
		} else {
			c.outcome(t, attempt.ConnectionLost, forkhead.ConnectFailed, forkhead.NoReason, false, nil)
		}
	}
	if p := l.host.probe; p != nil && slices.Contains(p.links, l) {
		p.again = c.now // on another one
	}
}

// cut closes a connection.
func (c *Core) cut(l *link) {
	c.emit(CloseHostConnection{l.id})
	c.unlink(l)
}

// triesThat lists the live attempts of a host that something is true of, in a fixed order.
func (h *host) triesThat(is func(*try) bool) []*try {
	var all []*try
	for _, t := range h.tries {
		if is(t) {
			all = append(all, t)
		}
	}
	slices.SortFunc(all, func(a, b *try) int { return cmp.Compare(a.req.id, b.req.id) })
	return all
}

func (t *try) stands() bool { return t.phase() == attempt.Placed }

// lose ends the standing tasks of a host that cannot hold them any more.
func (c *Core) lose(h *host, why string) {
	lost := h.triesThat((*try).stands)
	for _, t := range lost {
		c.finish(t, platform.CauseReset, forkhead.NoReason, nil)
	}
	if len(lost) > 0 {
		c.logInfo(messageTasksLost, hostAttr(h.name), reasonAttr(why), slog.Int(keyTasks, len(lost)))
	}
}

// ---- What hosts say.

func (c *Core) hostData(in HostData) {
	l := c.links[in.Connection]
	if l == nil {
		return
	}
	l.heardAt, l.host.heardAt = c.now, c.now
	err := l.lines.feed(c.now, in.Data, func(line []byte) error {
		m, err := platform.Decode(line)
		if err != nil {
			return err
		}
		if m.Type == platform.TypeBound && m.Description == nil {
			return fmt.Errorf("an answer without a description")
		}
		c.hostLine(l, &m)
		return nil
	})
	if err != nil && c.links[in.Connection] == l {
		c.logInfo(messageConnectionClosed, hostAttr(l.host.name), connectionAttr(l.id), reasonAttr(reasonUnreadable), errorAttr(err))
		c.cut(l)
	}
}

func (c *Core) hostLine(l *link, m *platform.Message) {
	h := l.host
	t := h.tries[m.Ref]
	switch m.Type {
	case platform.TypeBound:
		switch {
		case t == nil:
			if best := h.best(); c.ended.holds(givenUp{h.number, m.Ref}) && (l.retired == 0 || best != nil) {
				// It was given up and stands all the same: nobody would ever end it.
				if l.retired > 0 {
					l = best
				}
				c.cancel(l, m.Ref)
			}
		case t.phase() == attempt.InFlight:
			c.bound(t, m)
		}
	case platform.TypeRelease:
		if l.retired == 0 { // else its host says it once more on the next connection
			c.emit(SendToHost{Connection: l.id, Line: platform.Append(nil, platform.TypeAck, m.Ref, platform.NoCause, nil)})
		}
		if t != nil {
			c.hostRelease(t, m)
		} else {
			c.releases.add(release{givenUp{h.number, m.Ref}, endCause(m.Cause)})
		}
	case platform.TypeAck:
		if t != nil && t.req.phase == ending {
			c.finish(t, platform.CauseMigrated, forkhead.NoReason, nil)
		}
	case platform.TypeNote:
		if t != nil && t.phase().IsLive() {
			c.note(t, m)
		}
	case platform.TypeProbeResult:
		if p := h.probe; p != nil && slices.Contains(p.refs, m.Ref) {
			result := forkhead.OK
			if m.Cause != platform.CauseHealthy {
				result = forkhead.Errored
			}
			c.probed(h, result, c.report(m))
		}
	}
}

// overtook takes note that an attempt was answered. A host looks at one offer at a time, in the order in which they
// came: one on another connection that went out well before and is not answered will not be. It guards against
// connections that stay open and serve no further use.
func (c *Core) overtook(answered *try) {
	if c.set.BoundWhenRunning {
		return // an answer then comes when the task runs, in any order
	}
	dead := answered.host.triesThat(func(t *try) bool {
		return t.phase() == attempt.InFlight && t.link != answered.link && t.at+overtaken < answered.at && t.link.heardAt <= t.at
	})
	for _, t := range dead {
		if l := t.link; l != nil { // nil: cut with an earlier one
			c.logInfo(messageConnectionClosed, hostAttr(l.host.name), connectionAttr(l.id), reasonAttr(reasonOvertaken))
			c.cut(l)
		}
	}
}

// bound is a host's answer: the task stands.
func (c *Core) bound(t *try, m *platform.Message) {
	r := t.req
	c.overtook(t)
	c.offLink(t)
	if r.phase != open {
		return
	}
	r.ask.Handle(t.number, attempt.Accepted)
	c.close(r, standing)
	c.tell(r, platform.Append(nil, platform.TypeBound, r.ref, platform.NoCause, m.Description))
	c.stood(r)
	c.event(forkhead.Bound{Task: r.id, Attempt: t.number, Machine: forkhead.MachineID(t.host.number), Took: c.now - t.at})
}

// endCause is the cause of the end of a task that stood: CauseOK, CauseMoved or CauseReset.
func endCause(cause platform.Cause) platform.Cause {
	if cause == platform.CauseOK || cause == platform.CauseMigrated {
		return cause
	}
	return platform.CauseReset
}

// early says whether a host has told the end of a task before its owner handed it over here. It guards against a task that
// stands for ever, as its host tells the end once.
func (c *Core) early(h *host, ref string) (over bool, cause platform.Cause) {
	for _, cause := range []platform.Cause{platform.CauseOK, platform.CauseReset, platform.CauseMigrated} {
		if c.releases.holds(release{givenUp{h.number, ref}, cause}) {
			return true, cause
		}
	}
	return false, 0
}

func (c *Core) hostRelease(t *try, m *platform.Message) {
	why := reason(m)
	report := c.report(m)
	if t.phase() == attempt.Placed {
		cause := m.Cause
		if cause == platform.CauseMigrated && t.req.phase == standing && c.ended.holds(givenUp{t.host.number, t.req.ref}) {
			// Neither was it moved nor did its owner end it: our giving up of an earlier attempt here has cut it. Guards
			// against a task that its owner takes for standing.
			cause = platform.CauseReset
		}
		c.finish(t, cause, why, report)
		return
	}
	if t.phase() != attempt.InFlight {
		return
	}
	c.overtook(t)
	switch m.Cause {
	case platform.CauseRejected:
		c.outcome(t, attempt.Rejected, forkhead.Rejected, why, false, report)
	case platform.CauseNotSent:
		c.outcome(t, attempt.Rejected, forkhead.NotSent, why, false, report)
	case platform.CauseFailed:
		c.outcome(t, attempt.Ended, forkhead.Errored, why, false, report)
	default:
		if t.noted || stood[why] || m.Cause == platform.CauseOK || m.Cause == platform.CauseMigrated {
			c.overUnanswered(t, why, report)
			return
		}
		c.outcome(t, attempt.Ended, forkhead.Reset, why, false, report)
	}
}

// stood are the reasons for which only a task that stands ends.
var stood = map[forkhead.RejectReason]bool{forkhead.Evicted: true, forkhead.Preempted: true, forkhead.Dismissed: true}

// overUnanswered ends a request whose task stood at its host and is over, though the host's answer has not come: by notes on
// it, or by why it ended. What has stood and is over is released towards its owner within a second, so it is not offered
// once more. It guards against an answer that is late and comes behind its own release.
func (c *Core) overUnanswered(t *try, why forkhead.RejectReason, report *forkhead.LoadReport) {
	r := t.req
	c.outcome(t, attempt.Ended, forkhead.Reset, why, true, report)
	r.ask.Finish(false)
	c.close(r, over)
	c.tell(r, platform.Append(nil, platform.TypeRelease, r.ref, platform.CauseReset, nil))
}

var notes = map[platform.Note]forkhead.NoteKind{
	platform.NoteRunning: forkhead.NoteRunning, platform.NoteCoresUsed: forkhead.NoteCoresUsed, platform.NoteMemoryUsed: forkhead.NoteMemoryUsed,
	platform.NoteServiceLevel: forkhead.NoteServiceLevel, platform.NoteMemoryPressure: forkhead.NoteMemoryPressure,
}

var reasons = map[platform.RejectReason]forkhead.RejectReason{
	platform.ReasonInsufficientCores: forkhead.InsufficientCores, platform.ReasonInsufficientMemory: forkhead.InsufficientMemory,
	platform.ReasonQueueFull: forkhead.QueueFull, platform.ReasonUnsuitable: forkhead.Unsuitable, platform.ReasonEvicted: forkhead.Evicted,
	platform.ReasonPreempted: forkhead.Preempted, platform.ReasonDismissed: forkhead.Dismissed,
}

func reason(m *platform.Message) forkhead.RejectReason {
	word, _ := m.Text(platform.FieldNote)
	return reasons[platform.RejectReason(word)]
}

func (c *Core) note(t *try, m *platform.Message) {
	t.noted = true
	word, _ := m.Text(platform.FieldNote)
	kind, ok := notes[platform.Note(word)]
	value, _ := m.Text(platform.FieldValue)
	amount, err := strconv.ParseFloat(value, 64)
	if !ok || err != nil && kind != forkhead.NoteRunning {
		return
	}
	c.event(forkhead.Note{
		Task: t.req.id, Attempt: t.number, Machine: forkhead.MachineID(t.host.number), Kind: kind, Amount: amount,
	})
}

// report reads a load report; nil: there is none.
func (c *Core) report(m *platform.Message) *forkhead.LoadReport {
	text, _ := m.Text(platform.FieldLoad)
	if text == "" {
		return nil
	}
	r := platformconfig.NoReport()
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(part, ":")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		switch platform.LoadField(name) { // the protocol's page has other words than the settings for two
		case platform.LoadQueue:
			name = "backlog"
		case platform.LoadUtilization:
			name = "utilization"
		}
		platformconfig.Tell(r, name, v)
	}
	return r
}

// ---- Probes.

// probe carries out the module's Probe.
func (c *Core) probe(number uint32) {
	h := c.hosts[number]
	if h == nil || h.probe != nil {
		return
	}
	h.probe = &probe{at: c.now, again: c.now + retest}
	c.testOn(h)
}

// testOn sends a test of the probe on a link that has not carried one.
func (c *Core) testOn(h *host) {
	var best *link
	for _, l := range h.links {
		if l.open && !slices.Contains(h.probe.links, l) && (best == nil || l.out < best.out) {
			best = l
		}
	}
	if best != nil {
		c.test(best)
		return
	}
	for _, l := range h.links {
		if !l.open {
			l.hello = true
			return
		}
	}
	if h.address != "" {
		if l := c.dial(h); l != nil {
			l.hello = true
		}
	}
}

// test sends a test of the host's probe.
func (c *Core) test(l *link) {
	p := l.host.probe
	if p == nil {
		return
	}
	ref := c.testRef()
	p.refs, p.links = append(p.refs, ref), append(p.links, l)
	l.usedAt = c.now
	c.emit(SendToHost{Connection: l.id, Line: platform.Append(nil, platform.TypeProbe, ref, 0, nil)})
}

func (c *Core) testRef() string {
	c.lastTest++
	return fmt.Sprintf("%016x", 0x7e57<<48|c.lastTest)
}

func (c *Core) probed(h *host, result forkhead.Result, report *forkhead.LoadReport) {
	took := c.now - h.probe.at
	h.probe = nil
	for _, l := range h.links {
		l.hello = false
	}
	c.event(forkhead.Probed{Machine: forkhead.MachineID(h.number), Result: result, Took: took, Report: report})
}

// ---- The list.

// begin gives the module the list of the start.
func (c *Core) begin() {
	var all []forkhead.Machine
	for _, ch := range c.cfg.InitialEvents {
		c.seq = max(c.seq, ch.Seq)
		if ch.Endpoints != nil {
			c.fold(ch.Endpoints)
		}
	}
	c.cfg.InitialEvents = nil
	for _, h := range c.sorted() {
		all = append(all, h.entry)
	}
	c.event(forkhead.ListUpdate{Mode: forkhead.ListCached, Machines: all})
}

// sorted lists the hosts by number. It must not be changed; what is added or forgotten makes it anew.
func (c *Core) sorted() []*host {
	if c.order == nil {
		c.order = slices.SortedFunc(maps.Values(c.hosts), func(a, b *host) int { return cmp.Compare(a.number, b.number) })
	}
	return c.order
}

// changed takes an event of the change log, once.
func (c *Core) changed(ch platform.WatchEvent, anew bool) {
	if ch.Seq <= c.seq && !anew {
		return
	}
	c.seq = ch.Seq
	if ch.Endpoints == nil {
		return
	}
	mode := forkhead.ListDelta
	if ch.Endpoints.Snapshot {
		mode = forkhead.ListSnapshot
	}
	c.event(forkhead.ListUpdate{Mode: mode, Machines: c.fold(ch.Endpoints)})
}

var states = map[platform.EndpointState]forkhead.MachineState{
	platform.InService: forkhead.Ready, platform.Terminating: forkhead.Draining, platform.Terminated: forkhead.Removed,
}

// fold takes a list, or what has changed of it, and returns the entries for the module.
func (c *Core) fold(f *platform.EndpointList) []forkhead.Machine {
	var entries []forkhead.Machine
	listed := map[uint32]bool{}
	for i := range f.Hosts {
		info := &f.Hosts[i]
		number, ok := platform.HostNumber(info.Name)
		state, known := states[info.State]
		kind := slices.Index(c.cfg.Names.MachineTypes, info.MachineType)
		zone := slices.Index(c.cfg.Names.Zones, info.Zone)
		if len(c.cfg.Names.Zones) == 1 {
			zone = 0
		}
		if !ok || !known || (kind < 0 || zone < 0) && state != forkhead.Removed {
			c.logInfo(messageUnusableEndpoint, hostAttr(info.Name))
			continue
		}
		listed[number] = true
		h := c.hosts[number]
		if h == nil {
			h = &host{number: number, name: info.Name, tries: map[string]*try{}}
			c.hosts[number], c.order = h, nil
		}
		e := forkhead.Machine{
			ID: forkhead.MachineID(number), State: state, Type: max(kind, 0), Zone: max(zone, 0),
			Cell: info.Cell, StartedAt: time.Duration(info.StartedAtMS * float64(time.Millisecond)),
		}
		if len(info.Available) >= 2 {
			e.AvailableCores, e.AvailableMemory = info.Available[0], info.Available[1]
		}
		c.entry(h, e, info.Address)
		entries = append(entries, h.entry)
	}
	if f.Snapshot {
		for _, h := range c.sorted() {
			if !listed[h.number] && h.entry.State != forkhead.Removed && h.awaited == 0 {
				e := h.entry
				e.State = forkhead.Removed
				c.entry(h, e, h.address)
			}
		}
	}
	return entries
}

// unlisted notes a host that an owner names before the list does; nil: there are too many.
func (c *Core) unlisted(number uint32, name string) *host {
	if c.waited >= mostUnlisted {
		return nil
	}
	c.waited++
	h := &host{number: number, name: name, tries: map[string]*try{}, awaited: c.now}
	h.entry = forkhead.Machine{ID: forkhead.MachineID(number), State: forkhead.Draining, Zone: -1, Cell: -1}
	h.seenAs = invariant.Host{ID: attempt.HostID(number), State: forkhead.Draining, Zone: -1, Cell: -1}
	c.hosts[number], c.order = h, nil
	return h
}

// entry takes what the list says of a host now.
func (c *Core) entry(h *host, e forkhead.Machine, address string) {
	if h.awaited > 0 {
		h.awaited = 0
		c.waited--
	}
	if e.State != forkhead.Ready && (h.entry.State == forkhead.Ready || h.since == 0) {
		h.since = c.now
	}
	if e.State == forkhead.Removed && h.entry.State != forkhead.Removed {
		h.goneAt = c.now
	}
	if e.StartedAt > h.entry.StartedAt && h.address != "" {
		// It is up anew: what stood there before is over.
		for _, t := range h.triesThat(func(t *try) bool { return t.stands() && t.at < e.StartedAt }) {
			c.finish(t, platform.CauseReset, forkhead.NoReason, nil)
		}
		h.rest, h.redialAt, h.refusals = 0, 0, 0
	}
	if address != "" && address != h.address || e.State == forkhead.Removed {
		for _, l := range slices.Clone(h.links) {
			switch {
			case l.open && l.out == 0:
				c.retire(l)
			case e.State != forkhead.Removed:
				c.cut(l)
			}
		}
	}
	if address != "" {
		h.address = address
	}
	h.entry = e
	h.seenAs = invariant.Host{
		ID: attempt.HostID(h.number), State: e.State, DrainingSince: h.since, MachineType: e.Type, Zone: e.Zone, Cell: e.Cell, StartedAt: e.StartedAt,
	}
}

// ---- What time brings.

func (c *Core) tend() {
	c.tendOwners()
	for _, l := range slices.Clone(c.retired) {
		if c.now > l.retired+retireFor {
			c.cut(l)
		}
	}
	for _, h := range c.sorted() {
		c.tendHost(h)
	}
	if c.stopAt > 0 {
		if !c.closing && c.now >= c.stopAt+stopListening {
			c.closing = true
			c.emit(CloseListener{})
		}
		if c.closing && c.open == 0 && c.now >= c.stopAt+stopAtLeast &&
			(!c.halfSaid() || c.now >= c.stopAt+stopAtLeast+wholeLine) {
			c.emit(ShutdownComplete{})
		}
	}
}

func (c *Core) tendHost(h *host) {
	for _, l := range slices.Clone(h.links) {
		switch {
		case l.lines.since > 0 && c.now > l.lines.since+probeWithin:
			c.logInfo(messageConnectionClosed, hostAttr(h.name), connectionAttr(l.id), reasonAttr(reasonPartialLine))
			c.cut(l)
		case l.open && l.out == 0 && c.cfg.IdleTimeout > 0 && c.now > max(l.usedAt, l.heardAt)+c.cfg.IdleTimeout*3/5:
			needed := len(h.links) == 1 && h.standing()
			switch {
			case !needed && !(h.renewing() && h.standing()):
				c.retire(l)
			case needed && c.set.MayProbe:
				// A host that drains takes no new connection, and says what becomes of its tasks on this one.
				l.usedAt = c.now
				c.emit(SendToHost{Connection: l.id, Line: platform.Append(nil, platform.TypeProbe, c.testRef(), 0, nil)})
			case needed && c.now >= h.redialAt:
				if fresh := c.dial(h); fresh != nil {
					fresh.renew = true
				}
			}
		}
	}
	if p := h.probe; p != nil {
		switch {
		case c.now >= p.at+probeWithin:
			c.probed(h, forkhead.TimedOut, nil)
		case p.again > 0 && c.now >= p.again:
			p.again = 0
			c.testOn(h)
		}
	}
	for _, t := range h.triesThat(func(t *try) bool {
		return t.req.phase == ending && (t.told && c.now > t.endBy || c.now > t.endBy+owedFor)
	}) {
		c.finish(t, platform.CauseMigrated, forkhead.NoReason, nil)
	}
	if h.awaited > 0 {
		if c.now > h.awaited+awaitListed {
			c.lose(h, reasonNotListed)
		}
		if len(h.tries) == 0 {
			c.waited--
			delete(c.hosts, h.number)
			c.order = nil
		}
		return
	}
	if h.entry.State == forkhead.Removed {
		if c.now > h.goneAt+goneAfter {
			c.lose(h, reasonGone)
			if c.now > h.goneAt+forgetHost && len(h.tries) == 0 && len(h.links) == 0 {
				delete(c.hosts, h.number)
				c.order = nil
			}
		}
		return
	}
	if !h.standing() || h.address == "" {
		return
	}
	if h.heardAt == 0 {
		h.heardAt = c.now
	}
	making := slices.ContainsFunc(h.links, func(l *link) bool { return !l.open })
	quiet := c.now - h.heardAt
	// However long it rests between calls, it is called on once more shortly before it is lost.
	last := quiet > lostAfter-lastCall && h.failedAt < h.heardAt+lostAfter-lastCall
	switch {
	case quiet > lostAfter && h.failedAt > h.heardAt+quietAfter && (!making || quiet > lostAfter+lastCall/2):
		c.lose(h, reasonUnresponsive)
		for _, l := range slices.Clone(h.links) {
			c.cut(l)
		}
	case making:
	case h.best() == nil && (c.now >= h.redialAt || last):
		c.dial(h)
	case quiet > quietAfter && (c.now >= h.redialAt || last):
		if l := c.dial(h); l != nil {
			l.test = true
		}
	}
}
