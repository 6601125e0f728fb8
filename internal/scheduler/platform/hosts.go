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
	number        uint32
	name          string
	address       string
	entry         forkhead.Machine
	drainingSince time.Duration // told that it is not in service
	removedAt     time.Duration // told that it is gone
	invariantView invariant.Host
	attempts      map[string]*taskAttempt // live attempts, by ref
	connections   []*hostConnection

	lastReceivedAt time.Duration // the last byte of it, or a connection was made
	unlistedSince  time.Duration // known by an owner's word since then, and not listed yet; 0: it is listed
	dialFailedAt   time.Duration // a connection to it was not made, and that was not for want of descriptors here
	redialAt       time.Duration
	redialBackoff  time.Duration
	refusedDials   int // in a row, with no connection open

	probe *probe
}

// hostConnection is one connection to a host.
type hostConnection struct {
	id             uint64
	host           *host
	open           bool // else it is being made
	lines          lineReader
	lastReceivedAt time.Duration
	lastSentAt     time.Duration
	inFlight       int            // attempts
	queued         []*taskAttempt // for it to open
	probeQueued    bool           // a probe waits for it to open
	test           bool           // it is made to see whether a silent host takes a connection
	halfClosedAt   time.Duration  // it is being closed since then, and only read; 0: it is not
	renew          bool           // it is made to take the place of an idle one, where tests are not allowed
}

// probe is a test that the module asked for.
type probe struct {
	refs        []string          // of its tests
	connections []*hostConnection // that carry them
	startedAt   time.Duration
	retryAt     time.Duration // when to test on another connection; 0: not
}

func (h *host) forInvariants() *invariant.Host { return &h.invariantView }

// isReplacing says whether a connection is being made that is to take the place of an idle one.
func (h *host) isReplacing() bool {
	return slices.ContainsFunc(h.connections, func(l *hostConnection) bool { return l.renew && !l.open })
}

func (h *host) hasPlacedTasks() bool {
	for _, t := range h.attempts {
		if t.isPlaced() {
			return true
		}
	}
	return false
}

// leastBusyConnection is the open link with the fewest attempts out, the latest used of them; nil: none is open.
func (h *host) leastBusyConnection() *hostConnection {
	var best *hostConnection
	for _, l := range h.connections {
		if l.open && (best == nil || l.inFlight < best.inFlight || l.inFlight == best.inFlight && l.lastReceivedAt > best.lastReceivedAt) {
			best = l
		}
	}
	return best
}

// ---- Connections.

// assignConnection puts an attempt on a link of its host: an idle one, else a new one, else the least busy.
func (c *Core) assignConnection(t *taskAttempt) {
	l := t.host.leastBusyConnection()
	if l == nil || l.inFlight > 0 && len(t.host.connections) < maxConnectionsPerHost {
		if made := c.dial(t.host); made != nil {
			l = made
		}
	}
	if l == nil {
		for _, other := range t.host.connections {
			if l == nil || len(other.queued) < len(l.queued) {
				l = other
			}
		}
	}
	if l == nil || l.inFlight+len(l.queued) >= maxAttemptsPerConnection {
		c.endAttempt(t, attempt.ConnectionLost, forkhead.ConnectFailed, forkhead.NoReason, false, nil)
		return
	}
	t.connection = l
	if l.open {
		c.sendOffer(t)
	} else {
		l.queued = append(l.queued, t)
	}
}

// dial makes a connection, or returns nil where there is no room for one.
func (c *Core) dial(h *host) *hostConnection {
	if !c.makeRoomFor(h) {
		return nil
	}
	c.lastConnection++
	l := &hostConnection{id: c.lastConnection, host: h, lastSentAt: c.now}
	c.connections[l.id] = l
	h.connections = append(h.connections, l)
	c.emit(DialHost{l.id, h.address})
	return l
}

// makeRoomFor makes room for one more connection to a host: an idle one to another host goes, else one of owners beyond
// those that are kept. It guards against descriptors that run out, where neither hosts nor owners nor the change log could
// be reached any more.
func (c *Core) makeRoomFor(h *host) bool {
	if c.usedHostConnections() < c.config.MaxHostConnections && c.usedHostConnections()+len(c.owners) < c.config.MaxConnections {
		return true
	}
	if l := c.evictionCandidate(h); l != nil {
		c.evictHostConnection(l)
		return true
	}
	if o := c.ownerEvictionCandidate(); o != nil && c.usedHostConnections() < c.config.MaxHostConnections && len(c.owners) > c.config.ProtectedOwnerConnections {
		c.closeOwner(o)
		return true
	}
	return false
}

// evictionCandidate is the idle connection that is the first to go, of a host other than the one given: of those to hosts that
// have others or hold none of our tasks the longest unused, then of all. nil: none is idle.
func (c *Core) evictionCandidate(but *host) *hostConnection {
	var best *hostConnection
	needed, bestAt := false, time.Duration(0)
	for _, l := range c.connections {
		if !l.open || l.inFlight > 0 || l.host == but || l.halfClosedAt > 0 {
			continue
		}
		at := max(l.lastSentAt, l.lastReceivedAt)
		only := len(l.host.connections) == 1 && l.host.hasPlacedTasks()
		if best == nil || needed && !only || needed == only && (at < bestAt || at == bestAt && l.id < best.id) {
			best, needed, bestAt = l, only, at
		}
	}
	return best
}

// evictHostConnection closes an idle connection. A host that holds tasks and has no other is called on again in time to see whether it
// is still there, and says then what became of them.
func (c *Core) evictHostConnection(l *hostConnection) {
	if len(l.host.connections) == 1 {
		l.host.redialAt = max(l.host.redialAt, c.now+unresponsiveAfter)
	}
	c.halfClose(l)
}

// usedHostConnections is how many connections to hosts count against the room: all but a few that are being closed.
func (c *Core) usedHostConnections() int {
	return len(c.connections) - min(len(c.halfClosed), maxHalfClosed)
}

// halfClose closes an idle connection so that what its host is just saying on it is still heard: this end says that it writes
// no more, and reads until the other end closes too, or for a while. It guards against releases and notes that cross the
// close: a host takes what it has written for told.
func (c *Core) halfClose(l *hostConnection) {
	if len(c.halfClosed) >= maxHalfClosed && (len(c.connections)+len(c.owners) >= c.config.MaxConnections || len(c.connections) >= c.config.MaxHostConnections) {
		c.closeConnection(l)
		return
	}
	l.halfClosedAt = c.now
	c.halfClosed = append(c.halfClosed, l)
	l.host.connections = slices.DeleteFunc(l.host.connections, func(o *hostConnection) bool { return o == l })
	c.emit(HalfCloseHostConnection{l.id})
}

func (c *Core) hostConnected(id uint64) {
	l := c.connections[id]
	if l == nil {
		return
	}
	h := l.host
	l.open, l.lastSentAt, l.lastReceivedAt = true, c.now, c.now
	h.lastReceivedAt, h.redialBackoff, h.refusedDials = c.now, 0, 0
	if l.probeQueued {
		l.probeQueued = false
		c.sendProbe(l)
	}
	waiting := l.queued
	l.queued = nil
	for _, t := range waiting {
		c.sendOffer(t)
	}
	// Tasks that were to end while no connection was open. Guards against a task that its owner has ended and that runs on.
	for _, t := range h.attemptsWhere(func(t *taskAttempt) bool { return t.request.phase == requestEnding && !t.stopSent }) {
		c.sendStop(t)
	}
	if l.renew {
		for _, old := range slices.Clone(h.connections) {
			if old != l && old.open && old.inFlight == 0 {
				c.halfClose(old)
			}
		}
	} else if l.test && l.inFlight == 0 && len(h.connections) > 1 {
		// It has shown that the host is up. Guards against connections that heap up to hosts with little to say.
		c.halfClose(l)
	}
}

func (c *Core) dialFailed(in DialFailed) {
	l := c.connections[in.Connection]
	if l == nil {
		return
	}
	h := l.host
	if in.Local {
		c.removeConnection(l)
		h.redialAt = c.now + minRedialBackoff
		for _, t := range l.queued {
			t.connection = nil
			c.endAttempt(t, attempt.Abandoned, forkhead.NotSent, forkhead.NoReason, false, nil)
		}
		return
	}
	switch {
	case in.Refused && h.leastBusyConnection() != nil:
		// The machine answers and its process holds our connections: it drains, or takes no more. Guards against
		// giving up the tasks of a host that only refuses new connections.
		h.lastReceivedAt = c.now
	case in.Refused:
		h.refusedDials++
	}
	h.dialFailedAt = c.now
	h.redialBackoff = min(max(2*h.redialBackoff, minRedialBackoff), maxRedialBackoff)
	h.redialAt = c.now + h.redialBackoff
	c.removeConnection(l)
	for _, t := range l.queued {
		t.connection = nil
		c.endAttempt(t, attempt.ConnectionLost, forkhead.ConnectFailed, forkhead.NoReason, false, nil)
	}
	l.queued = nil
	if l.probeQueued && h.probe != nil && h.leastBusyConnection() == nil {
		c.finishProbe(h, forkhead.ConnectFailed, nil)
	}
	if h.leastBusyConnection() == nil && h.refusedDials >= 2 && (h.entry.State == forkhead.Ready || c.now > h.lastReceivedAt+lostAfter) {
		c.loseTasks(h, reasonRefusesConnections)
	}
}

// removeConnection takes a link off the books.
func (c *Core) removeConnection(l *hostConnection) {
	delete(c.connections, l.id)
	l.host.connections = slices.DeleteFunc(l.host.connections, func(o *hostConnection) bool { return o == l })
	if l.halfClosedAt > 0 {
		c.halfClosed = slices.DeleteFunc(c.halfClosed, func(o *hostConnection) bool { return o == l })
	}
}

// connectionLost is the end of a connection: what was out on it may have run.
func (c *Core) connectionLost(l *hostConnection) {
	c.removeConnection(l)
	for _, t := range l.host.attemptsWhere(func(t *taskAttempt) bool { return t.connection == l }) {
		if t.phase() == attempt.InFlight {
			c.abandoned.add(attemptKey{l.host.number, t.request.ref})
			c.possibleOrphans = append(c.possibleOrphans, possibleOrphan{l.host, t.request.ref})
			c.endAttempt(t, attempt.ConnectionLost, forkhead.Reset, forkhead.NoReason, false, nil)
		} else {
			c.endAttempt(t, attempt.ConnectionLost, forkhead.ConnectFailed, forkhead.NoReason, false, nil)
		}
	}
	if p := l.host.probe; p != nil && slices.Contains(p.connections, l) {
		p.retryAt = c.now // on another one
	}
}

// closeConnection closes a connection.
func (c *Core) closeConnection(l *hostConnection) {
	c.emit(CloseHostConnection{l.id})
	c.connectionLost(l)
}

// attemptsWhere lists the live attempts of a host that something is true of, in a fixed order.
func (h *host) attemptsWhere(is func(*taskAttempt) bool) []*taskAttempt {
	var all []*taskAttempt
	for _, t := range h.attempts {
		if is(t) {
			all = append(all, t)
		}
	}
	slices.SortFunc(all, func(a, b *taskAttempt) int { return cmp.Compare(a.request.id, b.request.id) })
	return all
}

func (t *taskAttempt) isPlaced() bool { return t.phase() == attempt.Placed }

// loseTasks ends the standing tasks of a host that cannot hold them any more.
func (c *Core) loseTasks(h *host, why string) {
	lost := h.attemptsWhere((*taskAttempt).isPlaced)
	for _, t := range lost {
		c.finishTask(t, platform.CauseReset, forkhead.NoReason, nil)
	}
	if len(lost) > 0 {
		c.logInfo(messageTasksLost, hostAttr(h.name), reasonAttr(why), slog.Int(keyTasks, len(lost)))
	}
}

// ---- What hosts say.

func (c *Core) receiveFromHost(in HostData) {
	l := c.connections[in.Connection]
	if l == nil {
		return
	}
	l.lastReceivedAt, l.host.lastReceivedAt = c.now, c.now
	err := l.lines.feed(c.now, in.Data, func(line []byte) error {
		m, err := platform.Decode(line)
		if err != nil {
			return err
		}
		if m.Type == platform.TypeBound && m.Description == nil {
			return fmt.Errorf("an answer without a description")
		}
		c.handleHostMessage(l, &m)
		return nil
	})
	if err != nil && c.connections[in.Connection] == l {
		c.logInfo(messageConnectionClosed, hostAttr(l.host.name), connectionAttr(l.id), reasonAttr(reasonUnreadable), errorAttr(err))
		c.closeConnection(l)
	}
}

func (c *Core) handleHostMessage(l *hostConnection, m *platform.Message) {
	h := l.host
	t := h.attempts[m.Ref]
	switch m.Type {
	case platform.TypeBound:
		switch {
		case t == nil:
			if best := h.leastBusyConnection(); c.abandoned.contains(attemptKey{h.number, m.Ref}) && (l.halfClosedAt == 0 || best != nil) {
				// It was given up and stands all the same: nobody would ever end it.
				if l.halfClosedAt > 0 {
					l = best
				}
				c.sendRelease(l, m.Ref)
			}
		case t.phase() == attempt.InFlight:
			c.handleBound(t, m)
		}
	case platform.TypeRelease:
		if l.halfClosedAt == 0 { // else its host says it once more on the next connection
			c.emit(SendToHost{Connection: l.id, Line: platform.Append(nil, platform.TypeAck, m.Ref, platform.NoCause, nil)})
		}
		if t != nil {
			c.handleHostRelease(t, m)
		} else {
			c.reportedEnds.add(reportedEnd{attemptKey{h.number, m.Ref}, endCause(m.Cause)})
		}
	case platform.TypeAck:
		if t != nil && t.request.phase == requestEnding {
			c.finishTask(t, platform.CauseMigrated, forkhead.NoReason, nil)
		}
	case platform.TypeNote:
		if t != nil && t.phase().IsLive() {
			c.handleNote(t, m)
		}
	case platform.TypeProbeResult:
		if p := h.probe; p != nil && slices.Contains(p.refs, m.Ref) {
			result := forkhead.OK
			if m.Cause != platform.CauseHealthy {
				result = forkhead.Errored
			}
			c.finishProbe(h, result, c.loadReport(m))
		}
	}
}

// closeOvertaken takes note that an attempt was answered. A host looks at one offer at a time, in the order in which they
// came: one on another connection that went out well before and is not answered will not be. It guards against
// connections that stay open and serve no further use.
func (c *Core) closeOvertaken(answered *taskAttempt) {
	if c.settings.BoundWhenRunning {
		return // an answer then comes when the task runs, in any order
	}
	dead := answered.host.attemptsWhere(func(t *taskAttempt) bool {
		return t.phase() == attempt.InFlight && t.connection != answered.connection && t.sentAt+overtakenAfter < answered.sentAt && t.connection.lastReceivedAt <= t.sentAt
	})
	for _, t := range dead {
		if l := t.connection; l != nil { // nil: cut with an earlier one
			c.logInfo(messageConnectionClosed, hostAttr(l.host.name), connectionAttr(l.id), reasonAttr(reasonOvertaken))
			c.closeConnection(l)
		}
	}
}

// handleBound is a host's answer: the task stands.
func (c *Core) handleBound(t *taskAttempt, m *platform.Message) {
	r := t.request
	c.closeOvertaken(t)
	c.detach(t)
	if r.phase != requestOpen {
		return
	}
	r.lifecycle.Handle(t.number, attempt.Accepted)
	c.closeRequest(r, requestPlaced)
	c.notifyOwner(r, platform.Append(nil, platform.TypeBound, r.ref, platform.NoCause, m.Description))
	c.countPlaced(r)
	c.notifyModule(forkhead.Bound{Task: r.id, Attempt: t.number, Machine: forkhead.MachineID(t.host.number), Took: c.now - t.sentAt})
}

// endCause is the cause of the end of a task that stood: CauseOK, CauseMoved or CauseReset.
func endCause(cause platform.Cause) platform.Cause {
	if cause == platform.CauseOK || cause == platform.CauseMigrated {
		return cause
	}
	return platform.CauseReset
}

// endReportedEarly says whether a host has told the end of a task before its owner handed it over here. It guards against a task that
// stands for ever, as its host tells the end once.
func (c *Core) endReportedEarly(h *host, ref string) (over bool, cause platform.Cause) {
	for _, cause := range []platform.Cause{platform.CauseOK, platform.CauseReset, platform.CauseMigrated} {
		if c.reportedEnds.contains(reportedEnd{attemptKey{h.number, ref}, cause}) {
			return true, cause
		}
	}
	return false, 0
}

func (c *Core) handleHostRelease(t *taskAttempt, m *platform.Message) {
	why := rejectReason(m)
	report := c.loadReport(m)
	if t.phase() == attempt.Placed {
		cause := m.Cause
		if cause == platform.CauseMigrated && t.request.phase == requestPlaced && c.abandoned.contains(attemptKey{t.host.number, t.request.ref}) {
			// Neither was it moved nor did its owner end it: our giving up of an earlier attempt here has cut it. Guards
			// against a task that its owner takes for standing.
			cause = platform.CauseReset
		}
		c.finishTask(t, cause, why, report)
		return
	}
	if t.phase() != attempt.InFlight {
		return
	}
	c.closeOvertaken(t)
	switch m.Cause {
	case platform.CauseRejected:
		c.endAttempt(t, attempt.Rejected, forkhead.Rejected, why, false, report)
	case platform.CauseNotSent:
		c.endAttempt(t, attempt.Rejected, forkhead.NotSent, why, false, report)
	case platform.CauseFailed:
		c.endAttempt(t, attempt.Ended, forkhead.Errored, why, false, report)
	default:
		if t.hasNotes || endsPlacedOnly[why] || m.Cause == platform.CauseOK || m.Cause == platform.CauseMigrated {
			c.finishUnanswered(t, why, report)
			return
		}
		c.endAttempt(t, attempt.Ended, forkhead.Reset, why, false, report)
	}
}

// endsPlacedOnly are the reasons for which only a task that stands ends.
var endsPlacedOnly = map[forkhead.RejectReason]bool{forkhead.Evicted: true, forkhead.Preempted: true, forkhead.Dismissed: true}

// finishUnanswered ends a request whose task stood at its host and is over, though the host's answer has not come: by notes on
// it, or by why it ended. What has stood and is over is released towards its owner within a second, so it is not offered
// once more. It guards against an answer that is late and comes behind its own release.
func (c *Core) finishUnanswered(t *taskAttempt, why forkhead.RejectReason, report *forkhead.LoadReport) {
	r := t.request
	c.endAttempt(t, attempt.Ended, forkhead.Reset, why, true, report)
	r.lifecycle.Finish(false)
	c.closeRequest(r, requestOver)
	c.notifyOwner(r, platform.Append(nil, platform.TypeRelease, r.ref, platform.CauseReset, nil))
}

var noteKinds = map[platform.Note]forkhead.NoteKind{
	platform.NoteRunning: forkhead.NoteRunning, platform.NoteCoresUsed: forkhead.NoteCoresUsed, platform.NoteMemoryUsed: forkhead.NoteMemoryUsed,
	platform.NoteServiceLevel: forkhead.NoteServiceLevel, platform.NoteMemoryPressure: forkhead.NoteMemoryPressure,
}

var rejectReasons = map[platform.RejectReason]forkhead.RejectReason{
	platform.ReasonInsufficientCores: forkhead.InsufficientCores, platform.ReasonInsufficientMemory: forkhead.InsufficientMemory,
	platform.ReasonQueueFull: forkhead.QueueFull, platform.ReasonUnsuitable: forkhead.Unsuitable, platform.ReasonEvicted: forkhead.Evicted,
	platform.ReasonPreempted: forkhead.Preempted, platform.ReasonDismissed: forkhead.Dismissed,
}

func rejectReason(m *platform.Message) forkhead.RejectReason {
	word, _ := m.Text(platform.FieldNote)
	return rejectReasons[platform.RejectReason(word)]
}

func (c *Core) handleNote(t *taskAttempt, m *platform.Message) {
	t.hasNotes = true
	word, _ := m.Text(platform.FieldNote)
	kind, ok := noteKinds[platform.Note(word)]
	value, _ := m.Text(platform.FieldValue)
	amount, err := strconv.ParseFloat(value, 64)
	if !ok || err != nil && kind != forkhead.NoteRunning {
		return
	}
	c.notifyModule(forkhead.Note{
		Task: t.request.id, Attempt: t.number, Machine: forkhead.MachineID(t.host.number), Kind: kind, Amount: amount,
	})
}

// loadReport reads a load loadReport; nil: there is none.
func (c *Core) loadReport(m *platform.Message) *forkhead.LoadReport {
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

// startProbe carries out the module's Probe.
func (c *Core) startProbe(number uint32) {
	h := c.hosts[number]
	if h == nil || h.probe != nil {
		return
	}
	h.probe = &probe{startedAt: c.now, retryAt: c.now + probeRetryAfter}
	c.sendProbeOnNextConnection(h)
}

// sendProbeOnNextConnection sends a test of the probe on a link that has not carried one.
func (c *Core) sendProbeOnNextConnection(h *host) {
	var best *hostConnection
	for _, l := range h.connections {
		if l.open && !slices.Contains(h.probe.connections, l) && (best == nil || l.inFlight < best.inFlight) {
			best = l
		}
	}
	if best != nil {
		c.sendProbe(best)
		return
	}
	for _, l := range h.connections {
		if !l.open {
			l.probeQueued = true
			return
		}
	}
	if h.address != "" {
		if l := c.dial(h); l != nil {
			l.probeQueued = true
		}
	}
}

// sendProbe sends a sendProbe of the host's probe.
func (c *Core) sendProbe(l *hostConnection) {
	p := l.host.probe
	if p == nil {
		return
	}
	ref := c.nextProbeRef()
	p.refs, p.connections = append(p.refs, ref), append(p.connections, l)
	l.lastSentAt = c.now
	c.emit(SendToHost{Connection: l.id, Line: platform.Append(nil, platform.TypeProbe, ref, 0, nil)})
}

func (c *Core) nextProbeRef() string {
	c.lastProbe++
	return fmt.Sprintf("%016x", 0x7e57<<48|c.lastProbe)
}

func (c *Core) finishProbe(h *host, result forkhead.Result, report *forkhead.LoadReport) {
	took := c.now - h.probe.startedAt
	h.probe = nil
	for _, l := range h.connections {
		l.probeQueued = false
	}
	c.notifyModule(forkhead.Probed{Machine: forkhead.MachineID(h.number), Result: result, Took: took, Report: report})
}

// ---- The list.

// loadInitialList gives the module the list of the start.
func (c *Core) loadInitialList() {
	var all []forkhead.Machine
	for _, ch := range c.config.InitialEvents {
		c.listSequence = max(c.listSequence, ch.Seq)
		if ch.Endpoints != nil {
			c.applyList(ch.Endpoints)
		}
	}
	c.config.InitialEvents = nil
	for _, h := range c.hostsInOrder() {
		all = append(all, h.entry)
	}
	c.notifyModule(forkhead.ListUpdate{Mode: forkhead.ListCached, Machines: all})
}

// hostsInOrder lists the hosts by number. It must not be changed; what is added or forgotten makes it anew.
func (c *Core) hostsInOrder() []*host {
	if c.sortedHosts == nil {
		c.sortedHosts = slices.SortedFunc(maps.Values(c.hosts), func(a, b *host) int { return cmp.Compare(a.number, b.number) })
	}
	return c.sortedHosts
}

// handleWatchEvent takes an event of the change log, once.
func (c *Core) handleWatchEvent(ch platform.WatchEvent, anew bool) {
	if ch.Seq <= c.listSequence && !anew {
		return
	}
	c.listSequence = ch.Seq
	if ch.Endpoints == nil {
		return
	}
	mode := forkhead.ListDelta
	if ch.Endpoints.Snapshot {
		mode = forkhead.ListSnapshot
	}
	c.notifyModule(forkhead.ListUpdate{Mode: mode, Machines: c.applyList(ch.Endpoints)})
}

var machineStates = map[platform.EndpointState]forkhead.MachineState{
	platform.InService: forkhead.Ready, platform.Terminating: forkhead.Draining, platform.Terminated: forkhead.Removed,
}

// applyList takes a list, or what has changed of it, and returns the entries for the module.
func (c *Core) applyList(f *platform.EndpointList) []forkhead.Machine {
	var entries []forkhead.Machine
	listed := map[uint32]bool{}
	for i := range f.Hosts {
		info := &f.Hosts[i]
		number, ok := platform.HostNumber(info.Name)
		state, known := machineStates[info.State]
		kind := slices.Index(c.config.Names.MachineTypes, info.MachineType)
		zone := slices.Index(c.config.Names.Zones, info.Zone)
		if len(c.config.Names.Zones) == 1 {
			zone = 0
		}
		if !ok || !known || (kind < 0 || zone < 0) && state != forkhead.Removed {
			c.logInfo(messageUnusableEndpoint, hostAttr(info.Name))
			continue
		}
		listed[number] = true
		h := c.hosts[number]
		if h == nil {
			h = &host{number: number, name: info.Name, attempts: map[string]*taskAttempt{}}
			c.hosts[number], c.sortedHosts = h, nil
		}
		e := forkhead.Machine{
			ID: forkhead.MachineID(number), State: state, Type: max(kind, 0), Zone: max(zone, 0),
			Cell: info.Cell, StartedAt: time.Duration(info.StartedAtMS * float64(time.Millisecond)),
		}
		if len(info.Available) >= 2 {
			e.AvailableCores, e.AvailableMemory = info.Available[0], info.Available[1]
		}
		c.updateHost(h, e, info.Address)
		entries = append(entries, h.entry)
	}
	if f.Snapshot {
		for _, h := range c.hostsInOrder() {
			if !listed[h.number] && h.entry.State != forkhead.Removed && h.unlistedSince == 0 {
				e := h.entry
				e.State = forkhead.Removed
				c.updateHost(h, e, h.address)
			}
		}
	}
	return entries
}

// addUnlistedHost notes a host that an owner names before the list does; nil: there are too many.
func (c *Core) addUnlistedHost(number uint32, name string) *host {
	if c.unlistedHosts >= maxUnlistedHosts {
		return nil
	}
	c.unlistedHosts++
	h := &host{number: number, name: name, attempts: map[string]*taskAttempt{}, unlistedSince: c.now}
	h.entry = forkhead.Machine{ID: forkhead.MachineID(number), State: forkhead.Draining, Zone: -1, Cell: -1}
	h.invariantView = invariant.Host{ID: attempt.HostID(number), State: forkhead.Draining, Zone: -1, Cell: -1}
	c.hosts[number], c.sortedHosts = h, nil
	return h
}

// updateHost takes what the list says of a host now.
func (c *Core) updateHost(h *host, e forkhead.Machine, address string) {
	if h.unlistedSince > 0 {
		h.unlistedSince = 0
		c.unlistedHosts--
	}
	if e.State != forkhead.Ready && (h.entry.State == forkhead.Ready || h.drainingSince == 0) {
		h.drainingSince = c.now
	}
	if e.State == forkhead.Removed && h.entry.State != forkhead.Removed {
		h.removedAt = c.now
	}
	if e.StartedAt > h.entry.StartedAt && h.address != "" {
		// It is up anew: what stood there before is over.
		for _, t := range h.attemptsWhere(func(t *taskAttempt) bool { return t.isPlaced() && t.sentAt < e.StartedAt }) {
			c.finishTask(t, platform.CauseReset, forkhead.NoReason, nil)
		}
		h.redialBackoff, h.redialAt, h.refusedDials = 0, 0, 0
	}
	if address != "" && address != h.address || e.State == forkhead.Removed {
		for _, l := range slices.Clone(h.connections) {
			switch {
			case l.open && l.inFlight == 0:
				c.halfClose(l)
			case e.State != forkhead.Removed:
				c.closeConnection(l)
			}
		}
	}
	if address != "" {
		h.address = address
	}
	h.entry = e
	h.invariantView = invariant.Host{
		ID: attempt.HostID(h.number), State: e.State, DrainingSince: h.drainingSince, MachineType: e.Type, Zone: e.Zone, Cell: e.Cell, StartedAt: e.StartedAt,
	}
}

// ---- What time brings.

func (c *Core) reconcile() {
	c.reconcileOwners()
	for _, l := range slices.Clone(c.halfClosed) {
		if c.now > l.halfClosedAt+halfClosedTimeout {
			c.closeConnection(l)
		}
	}
	for _, h := range c.hostsInOrder() {
		c.reconcileHost(h)
	}
	if c.shutdownAt > 0 {
		if !c.listenerClosed && c.now >= c.shutdownAt+listenAfterShutdown {
			c.listenerClosed = true
			c.emit(CloseListener{})
		}
		if c.listenerClosed && c.unanswered == 0 && c.now >= c.shutdownAt+minShutdownDuration &&
			(!c.hasPartialRequest() || c.now >= c.shutdownAt+minShutdownDuration+ownerLineTimeout) {
			c.emit(ShutdownComplete{})
		}
	}
}

func (c *Core) reconcileHost(h *host) {
	for _, l := range slices.Clone(h.connections) {
		switch {
		case l.lines.partialSince > 0 && c.now > l.lines.partialSince+probeTimeout:
			c.logInfo(messageConnectionClosed, hostAttr(h.name), connectionAttr(l.id), reasonAttr(reasonPartialLine))
			c.closeConnection(l)
		case l.open && l.inFlight == 0 && c.config.IdleTimeout > 0 && c.now > max(l.lastSentAt, l.lastReceivedAt)+c.config.IdleTimeout*3/5:
			needed := len(h.connections) == 1 && h.hasPlacedTasks()
			switch {
			case !needed && !(h.isReplacing() && h.hasPlacedTasks()):
				c.halfClose(l)
			case needed && c.settings.MayProbe:
				// A host that drains takes no new connection, and says what becomes of its tasks on this one.
				l.lastSentAt = c.now
				c.emit(SendToHost{Connection: l.id, Line: platform.Append(nil, platform.TypeProbe, c.nextProbeRef(), 0, nil)})
			case needed && c.now >= h.redialAt:
				if fresh := c.dial(h); fresh != nil {
					fresh.renew = true
				}
			}
		}
	}
	if p := h.probe; p != nil {
		switch {
		case c.now >= p.startedAt+probeTimeout:
			c.finishProbe(h, forkhead.TimedOut, nil)
		case p.retryAt > 0 && c.now >= p.retryAt:
			p.retryAt = 0
			c.sendProbeOnNextConnection(h)
		}
	}
	for _, t := range h.attemptsWhere(func(t *taskAttempt) bool {
		return t.request.phase == requestEnding && (t.stopSent && c.now > t.stopDeadline || c.now > t.stopDeadline+undeliveredTimeout)
	}) {
		c.finishTask(t, platform.CauseMigrated, forkhead.NoReason, nil)
	}
	if h.unlistedSince > 0 {
		if c.now > h.unlistedSince+unlistedTimeout {
			c.loseTasks(h, reasonNotListed)
		}
		if len(h.attempts) == 0 {
			c.unlistedHosts--
			delete(c.hosts, h.number)
			c.sortedHosts = nil
		}
		return
	}
	if h.entry.State == forkhead.Removed {
		if c.now > h.removedAt+removedGrace {
			c.loseTasks(h, reasonGone)
			if c.now > h.removedAt+forgetHostAfter && len(h.attempts) == 0 && len(h.connections) == 0 {
				delete(c.hosts, h.number)
				c.sortedHosts = nil
			}
		}
		return
	}
	if !h.hasPlacedTasks() || h.address == "" {
		return
	}
	if h.lastReceivedAt == 0 {
		h.lastReceivedAt = c.now
	}
	making := slices.ContainsFunc(h.connections, func(l *hostConnection) bool { return !l.open })
	quiet := c.now - h.lastReceivedAt
	// However long it rests between calls, it is called on once more shortly before it is lost.
	last := quiet > lostAfter-lastDialBeforeLoss && h.dialFailedAt < h.lastReceivedAt+lostAfter-lastDialBeforeLoss
	switch {
	case quiet > lostAfter && h.dialFailedAt > h.lastReceivedAt+unresponsiveAfter && (!making || quiet > lostAfter+lastDialBeforeLoss/2):
		c.loseTasks(h, reasonUnresponsive)
		for _, l := range slices.Clone(h.connections) {
			c.closeConnection(l)
		}
	case making:
	case h.leastBusyConnection() == nil && (c.now >= h.redialAt || last):
		c.dial(h)
	case quiet > unresponsiveAfter && (c.now >= h.redialAt || last):
		if l := c.dial(h); l != nil {
			l.test = true
		}
	}
}
