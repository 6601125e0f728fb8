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

// errNoDescription means that an answer lacks what its owner waits for.
var errNoDescription = errors.New("an answer without a description")

func (c *Core) receiveFromHost(input HostData) {
	conn := c.connections[input.Connection]
	if conn == nil {
		return
	}
	conn.lastReceivedAt, conn.host.lastSeenAliveAt = c.now, c.now
	err := conn.reader.feed(c.now, input.Data, func(line []byte) error {
		m, err := platform.Decode(line)
		if err != nil {
			return err
		}
		if m.Type == platform.TypeBound && m.Description == nil {
			return errNoDescription
		}
		c.handleHostMessage(conn, &m)
		return nil
	})
	if err != nil && c.connections[conn.id] == conn { // else a message has closed it
		c.closeFaultyConnection(conn, reasonUnreadable, errorAttr(err))
	}
}

func (c *Core) handleHostMessage(conn *hostConnection, m *platform.Message) {
	ref := requestRef(m.Ref)
	a := conn.host.attempts[ref] // nil: the message is about nothing that is live here
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
			c.handleNote(a, m)
		}
	case platform.TypeProbeResult:
		c.handleProbeResult(conn.host, ref, m)
	}
}

// ---- Answers.

// handleBound handles a host's message that it runs a task.
func (c *Core) handleBound(conn *hostConnection, ref requestRef, a *taskAttempt, m *platform.Message) {
	switch {
	case a == nil:
		c.stopAbandoned(conn, ref)
	case a.isInFlight():
		c.bind(a, m.Description)
	}
}

// stopAbandoned stops a task whose attempt was abandoned and that its host runs all the same, as nobody else would ever
// end it.
func (c *Core) stopAbandoned(conn *hostConnection, ref requestRef) {
	if !c.abandoned.contains(attemptKey{conn.host.id, ref}) {
		return
	}
	if conn.state == connectionHalfClosed {
		conn = conn.host.leastBusyConnection()
	}
	if conn != nil {
		c.sendStop(conn, ref)
	}
}

// bind answers a request with the host that runs its task.
func (c *Core) bind(a *taskAttempt, description []byte) {
	r := a.request
	c.closeOvertaken(a)
	a.detach()
	if r.phase != requestOpen { // cannot be: a closed request has none in flight, as the module makes one attempt at a time
		return
	}
	r.lifecycle.Handle(a.number, attempt.Accepted)
	c.closeRequest(r, requestPlaced)
	c.notifyOwner(r, boundMessage(r.ref, description))
	c.countPlaced(r)
	c.notifyModule(forkhead.Bound{Task: r.id, Attempt: a.number, Machine: a.host.id, Took: c.now - a.sentAt})
}

// closeOvertaken closes the connections of offers that an answered one has overtaken. A host looks at one offer at a time,
// in the order in which they came: one on another connection that was sent well before and is not answered will not be. It
// guards against connections that stay open and are of no further use.
func (c *Core) closeOvertaken(answered *taskAttempt) {
	if c.settings.BoundWhenRunning {
		return // an answer then comes when the task runs, in any order
	}
	overtaken := answered.host.attemptsWhere(func(a *taskAttempt) bool {
		return a.isInFlight() && a.connection != answered.connection && a.sentAt+overtakenAfter < answered.sentAt &&
			a.connection.lastReceivedAt <= a.sentAt
	})
	for _, a := range overtaken {
		if a.connection != nil { // else it was closed with an earlier one
			c.closeFaultyConnection(a.connection, reasonOvertaken)
		}
	}
}

// ---- Releases.

// handleHostRelease handles a host's message that a task has ended, or that it rejected an offer.
func (c *Core) handleHostRelease(conn *hostConnection, ref requestRef, a *taskAttempt, m *platform.Message) {
	if conn.state != connectionHalfClosed { // else its host sends the release again on the next connection
		c.emit(SendToHost{Connection: conn.id, Line: ackMessage(ref)})
	}
	switch {
	case a == nil:
		c.reportedEnds.add(reportedEnd{attemptKey{conn.host.id, ref}, endCause(m.Cause)})
	case a.isPlaced():
		c.finishTask(a, c.placedCause(a, m.Cause), attemptEnd{reason: rejectReason(m), report: loadReport(m)})
	case a.isInFlight():
		c.closeOvertaken(a)
		c.handleUnboundRelease(a, m)
	}
}

// placedCause is the cause of the end of a placed task. One that neither migrated nor was ended by its owner was stopped
// by the withdrawal of an earlier attempt here. Guards against a task that its owner takes for running.
func (c *Core) placedCause(a *taskAttempt, cause platform.Cause) platform.Cause {
	if cause == platform.CauseMigrated && a.request.phase == requestPlaced && c.abandoned.contains(a.key()) {
		return platform.CauseReset
	}
	return cause
}

// handleUnboundRelease handles the release of an attempt that its host has not answered.
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

// hasRun reports whether an attempt that ended without an answer is known to have run: by notes on it, or by why it ended.
func hasRun(a *taskAttempt, cause platform.Cause, reason forkhead.RejectReason) bool {
	switch reason {
	case forkhead.Evicted, forkhead.Preempted, forkhead.Dismissed:
		return true
	}
	return a.hasNotes || cause == platform.CauseOK || cause == platform.CauseMigrated
}

// finishUnanswered ends a request whose task has run and ended though the host's answer has not come. The protocol wants
// such a task released to its owner within a second, so it is not offered again. It guards against an answer that is late
// and comes behind its own release.
func (c *Core) finishUnanswered(a *taskAttempt, end attemptEnd) {
	r := a.request
	end.input, end.result, end.final = attempt.Ended, forkhead.Reset, true
	c.endAttempt(a, end)
	c.answer(r, attempt.AnsweredFailed, releaseMessage(r.ref, platform.CauseReset))
}

// ---- Notes and reports.

// noteKinds are the kinds of notes by their names on the wire.
var noteKinds = map[platform.Note]forkhead.NoteKind{
	platform.NoteRunning:        forkhead.NoteRunning,
	platform.NoteCoresUsed:      forkhead.NoteCoresUsed,
	platform.NoteMemoryUsed:     forkhead.NoteMemoryUsed,
	platform.NoteServiceLevel:   forkhead.NoteServiceLevel,
	platform.NoteMemoryPressure: forkhead.NoteMemoryPressure,
}

// rejectReasons are the reasons for which hosts reject and end tasks by their names on the wire.
var rejectReasons = map[platform.RejectReason]forkhead.RejectReason{
	platform.ReasonInsufficientCores:  forkhead.InsufficientCores,
	platform.ReasonInsufficientMemory: forkhead.InsufficientMemory,
	platform.ReasonQueueFull:          forkhead.QueueFull,
	platform.ReasonUnsuitable:         forkhead.Unsuitable,
	platform.ReasonEvicted:            forkhead.Evicted,
	platform.ReasonPreempted:          forkhead.Preempted,
	platform.ReasonDismissed:          forkhead.Dismissed,
}

// rejectReason is the reason of a release; NoReason: it has none that is known.
func rejectReason(m *platform.Message) forkhead.RejectReason {
	name, _ := m.Text(platform.FieldNote)
	return rejectReasons[platform.RejectReason(name)]
}

// handleNote notifies the module of a host's note on a task. A note that is not known, or has no amount, only shows that
// the task runs.
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

// loadFieldSettingsNames are the names that the settings give to values of a load report, where the protocol has other ones.
var loadFieldSettingsNames = map[platform.LoadField]string{
	platform.LoadQueue:       "backlog",
	platform.LoadUtilization: "utilization",
}

// loadReport reads the load report of a message; nil: it has none.
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

func (c *Core) handleProbeResult(h *host, ref requestRef, m *platform.Message) {
	if h.probe == nil || !slices.Contains(h.probe.refs, ref) {
		return
	}
	result := forkhead.OK
	if m.Cause != platform.CauseHealthy {
		result = forkhead.Errored
	}
	c.finishProbe(h, result, loadReport(m))
}
