package platform

import (
	"errors"
	"slices"
	"strconv"
	"strings"

	"forkhead"
	"forkhead/internal/parse/platformconfig"
	"forkhead/internal/protocol/platform"
	"forkhead/internal/scheduler/attempt"
)

// errNoDescription reports an answer without the description that its owner waits for.
var errNoDescription = errors.New("an answer without a description")

func (c *Core) receiveFromHost(input HostData) {
	conn := c.connections[input.Connection]
	if conn == nil {
		return
	}
	conn.lastReceivedAt, conn.host.liveness.reachableAt = c.now, c.now
	err := conn.reader.feed(c.now, input.Data, func(line []byte) error {
		m, err := platform.Decode(line)
		if err != nil {
			return err
		}
		if m.Type == platform.TypeBound && m.Description == nil {
			return errNoDescription
		}
		conn.host.unreadableSince = 0
		if conn.isVouchedFor {
			conn.host.liveness.messageReceived(c.now)
		}
		c.handleHostMessage(conn, &m)
		return nil
	})
	if err != nil && c.connections[conn.id] == conn { // false if a message in the data has already closed the connection
		c.receivedUnreadable(conn.host)
		c.closeConnection(conn, reasonUnreadable, errorAttr(err))
	}
}

// receivedUnreadable records a message that cannot be read, and delays the next dial that no offer or probe needs:
// without the delay, a host that sends nothing else would be dialed over and over.
func (c *Core) receivedUnreadable(h *host) {
	if h.unreadableSince == 0 {
		h.unreadableSince = c.now
	}
	h.lastUnreadableAt = c.now
	h.redialAt = max(h.redialAt, c.now+minRedialBackoff)
}

func (c *Core) handleHostMessage(conn *hostConnection, m *platform.Message) {
	ref := requestRef(m.Ref)
	a := conn.host.attempts[ref] // nil: no live attempt on this host has the ref
	c.handleUnconfirmedMessage(conn, ref, m)
	switch m.Type {
	case platform.TypeBound:
		c.handleBound(conn, ref, a, m)
	case platform.TypeRelease:
		c.handleHostRelease(conn, ref, a, m)
	case platform.TypeAck:
		if a != nil && a.request.phase == requestEnding {
			c.finishTask(a, platform.CauseMigrated, attemptEnd{})
		}
	case platform.TypeNote:
		if a != nil {
			a.moveCarriage(conn)
			c.handleNote(a, m)
		}
	case platform.TypeProbeResult:
		c.handleProbeResult(conn, ref, m)
	}
}

// ---- Answers to offers.

// handleBound handles a host's answer that it runs a task.
func (c *Core) handleBound(conn *hostConnection, ref requestRef, a *taskAttempt, m *platform.Message) {
	switch {
	case a == nil:
		c.stopAbandoned(conn, ref)
	case a.isInFlight():
		c.bind(a, m.Description)
	}
}

// stopAbandoned stops a task that a host runs although its attempt was abandoned, as nothing else would end it.
func (c *Core) stopAbandoned(conn *hostConnection, ref requestRef) {
	if !c.abandoned.contains(attemptKey{conn.host.id, ref}) || conn.host.unconfirmed[ref] != nil {
		return
	}
	if conn.state == connectionHalfClosed {
		conn = conn.host.leastBusyConnection()
	}
	if conn != nil {
		c.sendStop(conn, ref)
	}
}

// bind handles the answer that places a task: it forwards the host's description to the owner.
func (c *Core) bind(a *taskAttempt, description []byte) {
	r := a.request
	c.closeOvertaken(a)
	a.detach()
	// This is unreachable: the module makes one attempt at a time, so a closed request has no attempt in flight.
	if r.phase != requestOpen {
		return
	}
	r.lifecycle.Handle(a.number, attempt.Accepted)
	a.addPlaced()
	c.closeRequest(r, requestPlaced)
	answer := boundMessage(r.ref, description)
	c.emit(SendToOwner{r.owner, answer})
	c.rememberAnswered(r, answer)
	c.countPlaced(r)
	c.notifyModule(forkhead.Bound{Task: r.id, Attempt: a.number, Machine: a.host.id, Took: c.now - a.sentAt})
}

// closeOvertaken closes the connections of offers that an answered offer has overtaken. A host handles offers one at a
// time in the order of their arrival, so an offer that was sent more than overtakenAfter earlier on another connection
// and is unanswered will never be answered. Without this, broken connections would stay open without being of use.
func (c *Core) closeOvertaken(answered *taskAttempt) {
	if c.settings.BoundWhenRunning {
		return // with this setting, hosts answer offers once the tasks run, and thus in any order
	}
	overtaken := answered.host.attemptsWhere(func(a *taskAttempt) bool {
		return a.isInFlight() && a.connection != answered.connection && a.sentAt+overtakenAfter < answered.sentAt &&
			a.connection.lastReceivedAt <= a.sentAt
	})
	for _, a := range overtaken {
		if a.connection != nil { // nil if an earlier element of overtaken used the same connection, which is closed already
			c.closeConnection(a.connection, reasonOvertaken)
		}
	}
}

// ---- Releases by hosts.

// handleHostRelease handles a host's message that a task has ended or that an offer is rejected.
func (c *Core) handleHostRelease(conn *hostConnection, ref requestRef, a *taskAttempt, m *platform.Message) {
	// On a half-closed connection no ack is sent, and the host repeats the release on the next connection.
	if conn.state != connectionHalfClosed {
		c.emit(SendToHost{Connection: conn.id, Line: ackMessage(ref)})
	}
	switch {
	case a == nil:
		c.reportedEnds.add(reportedEnd{attemptKey{conn.host.id, ref}, endCause(m.Cause)})
	case a.isPlaced():
		c.finishTask(a, c.placedCause(a, m.Cause), attemptEnd{reason: rejectReason(m), report: loadReport(m)})
	case a.isInFlight() && conn.id != a.offeredOn && a.hasEarlierOnHost():
		// Its own connection is open, so the release is about an earlier attempt, whose connection has ended.
	case a.isInFlight():
		c.closeOvertaken(a)
		c.handleUnboundRelease(a, m)
	}
}

// hasEarlierOnHost reports whether the host was sent an earlier offer of the same request.
func (a *taskAttempt) hasEarlierOnHost() bool {
	return slices.ContainsFunc(a.request.attempts[:a.number], func(earlier *taskAttempt) bool {
		return earlier != nil && earlier.host == a.host && earlier.offeredOn != 0
	})
}

// placedCause returns the cause of the end of a placed task. If neither its owner nor the module has ended the task, but
// its host reports CauseMigrated, the withdrawal of an earlier attempt on that host has stopped it. The cause is then
// CauseReset, as the owner gets no release for CauseMigrated and would take the task for running.
func (c *Core) placedCause(a *taskAttempt, cause platform.Cause) platform.Cause {
	if cause == platform.CauseMigrated && a.request.phase == requestPlaced && c.abandoned.contains(a.key()) {
		return platform.CauseReset
	}
	return cause
}

// handleUnboundRelease handles the release of an attempt that its host has not answered before.
func (c *Core) handleUnboundRelease(a *taskAttempt, m *platform.Message) {
	end := attemptEnd{reason: rejectReason(m), report: loadReport(m)}
	switch {
	case m.Cause == platform.CauseRejected:
		end.input, end.result = attempt.Rejected, forkhead.Rejected
	case m.Cause == platform.CauseNotSent:
		end.input, end.result = attempt.Rejected, forkhead.NotSent
	case m.Cause == platform.CauseFailed:
		end.input, end.result = attempt.Ended, forkhead.Errored
	case hasRun(a, m.Cause, end.reason):
		c.finishUnanswered(a, end)
		return
	default:
		end.input, end.result = attempt.Ended, forkhead.Reset
	}
	c.endAttempt(a, end)
}

// hasRun reports whether an attempt that ended without an answer is known to have run its task. Notes on the task show
// that, and so do some causes and reasons of its end.
func hasRun(a *taskAttempt, cause platform.Cause, reason forkhead.RejectReason) bool {
	switch reason {
	case forkhead.Evicted, forkhead.Preempted, forkhead.Dismissed:
		return true
	}
	return a.hasNotes || cause == platform.CauseOK || cause == platform.CauseMigrated
}

// finishUnanswered ends a request whose task has run and ended before the host's answer to the offer has come. This
// happens if the answer is late and the release of the task arrives before it. The protocol requires such a task to be
// released to its owner within a second, so it is not offered again.
func (c *Core) finishUnanswered(a *taskAttempt, end attemptEnd) {
	r := a.request
	end.input, end.result, end.final = attempt.Ended, forkhead.Reset, true
	c.endAttempt(a, end)
	c.logFailed(r.ref, reasonEndedUnanswered)
	c.answer(r, attempt.AnsweredFailed, releaseMessage(r.ref, platform.CauseReset))
}

// ---- Notes and load reports.

// noteKinds maps the names of notes on the wire to their kinds.
var noteKinds = map[platform.Note]forkhead.NoteKind{
	platform.NoteRunning:        forkhead.NoteRunning,
	platform.NoteCoresUsed:      forkhead.NoteCoresUsed,
	platform.NoteMemoryUsed:     forkhead.NoteMemoryUsed,
	platform.NoteServiceLevel:   forkhead.NoteServiceLevel,
	platform.NoteMemoryPressure: forkhead.NoteMemoryPressure,
}

// rejectReasons maps the names on the wire of the reasons why hosts reject or end tasks.
var rejectReasons = map[platform.RejectReason]forkhead.RejectReason{
	platform.ReasonInsufficientCores:  forkhead.InsufficientCores,
	platform.ReasonInsufficientMemory: forkhead.InsufficientMemory,
	platform.ReasonQueueFull:          forkhead.QueueFull,
	platform.ReasonUnsuitable:         forkhead.Unsuitable,
	platform.ReasonEvicted:            forkhead.Evicted,
	platform.ReasonPreempted:          forkhead.Preempted,
	platform.ReasonDismissed:          forkhead.Dismissed,
}

// rejectReason returns the reason of a release, or NoReason if the release states none or an unknown one.
func rejectReason(m *platform.Message) forkhead.RejectReason {
	name, _ := m.Text(platform.FieldNote)
	return rejectReasons[platform.RejectReason(name)]
}

// handleNote notifies the module of a host's note on a task. A note of an unknown kind or without an amount only shows
// that the task runs.
func (c *Core) handleNote(a *taskAttempt, m *platform.Message) {
	a.hasNotes = true
	name, _ := m.Text(platform.FieldNote)
	kind, ok := noteKinds[platform.Note(name)]
	value, _ := m.Text(platform.FieldValue)
	amount, err := strconv.ParseFloat(value, 64)
	if !ok || err != nil && kind != forkhead.NoteRunning {
		return
	}
	c.notifyModule(forkhead.Note{Task: a.request.id, Attempt: a.number, Machine: a.host.id, Kind: kind, Amount: amount})
}

// loadFieldSettingsNames maps fields of a load report to their names in the settings, where these differ from the
// protocol.
var loadFieldSettingsNames = map[platform.LoadField]string{
	platform.LoadQueue:       "backlog",
	platform.LoadUtilization: "utilization",
}

// loadReport decodes the load report of a message, or returns nil if it has none. Values that are not numbers are
// skipped.
func loadReport(m *platform.Message) *forkhead.LoadReport {
	text, _ := m.Text(platform.FieldLoad)
	if text == "" {
		return nil
	}
	report := platformconfig.EmptyReport()
	for part := range strings.SplitSeq(text, ";") {
		name, text, _ := strings.Cut(part, ":")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			continue
		}
		if other, ok := loadFieldSettingsNames[platform.LoadField(name)]; ok {
			name = other
		}
		platformconfig.SetReported(report, name, value)
	}
	return report
}

func (c *Core) handleProbeResult(conn *hostConnection, ref requestRef, m *platform.Message) {
	c.handleBarrierResult(conn, ref)
	h := conn.host
	if h.probe == nil || !slices.Contains(h.probe.refs, ref) {
		return
	}
	result := forkhead.OK
	if m.Cause != platform.CauseHealthy {
		result = forkhead.Errored
	}
	c.finishProbe(h, result, loadReport(m))
}
