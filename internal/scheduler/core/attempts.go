package core

import (
	"fmt"
	"time"

	"forkhead"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/invariant"
	"forkhead/internal/scheduler/retrypolicy"
)

// taskAttempt is one attempt of a request: the offer of its task to one host. Its phase is in the attempt.Request that
// the request embeds.
type taskAttempt struct {
	request       *placementRequest
	number        int // index in request.Attempts and request.attempts
	host          *host
	machineID     forkhead.MachineID // the host's number when the module chose it; may have changed since
	ref           hostproto.Ref      // identifies the attempt to the host
	hostEpoch     uint64             // incarnation of the host to which the offer was sent
	conn          uint32             // connection on which the offer was sent
	fingerprint   uint64             // fingerprint of the offered specification; 0 if an earlier program stored the attempt
	running       bool               // the module was notified that the task runs
	persisted     bool               // a durable record exists, which a later incarnation of this placer restores
	waitedForConn bool               // the host was not connected and synced when the module chose it
	migrating     bool               // the module has stopped the task, to place it elsewhere
}

func (a *taskAttempt) phase() attempt.Phase { return a.request.Attempts[a.number].Phase }

// chosenAt returns when the module chose the host.
func (a *taskAttempt) chosenAt() time.Duration { return a.request.Attempts[a.number].ChosenAt }

// service returns the key of the attempt's service.
func (a *taskAttempt) service() uint64 { return a.request.task.Service }

// InvariantHost returns the attempt's host in the form that package invariant checks.
func (a *taskAttempt) InvariantHost() *invariant.Host { return a.host.forInvariants() }

// attemptsByTask maps the key of a task to the set of its attempts.
type attemptsByTask map[uint64]map[*taskAttempt]bool

func (m attemptsByTask) add(a *taskAttempt) {
	key := a.request.replica.taskKey
	if m[key] == nil {
		m[key] = map[*taskAttempt]bool{}
	}
	m[key][a] = true
}

func (m attemptsByTask) remove(a *taskAttempt) {
	key := a.request.replica.taskKey
	delete(m[key], a)
	if len(m[key]) == 0 {
		delete(m, key)
	}
}

// addAttempt adds a new attempt to the tables that hold it until it is settled.
func (c *Core) addAttempt(a *taskAttempt) {
	a.host.attempts[a.ref] = a
	c.attemptsByRef[a.ref] = a
	if a.phase().IsLive() {
		c.liveAttempts.Add(a.service(), a)
	}
}

// attemptDetail holds the result, reason and load report that come with an input to an attempt. The zero value means
// that the input comes without them.
type attemptDetail struct {
	result forkhead.Result
	reason forkhead.RejectReason
	report *forkhead.LoadReport
}

func toAttemptDetail(f hostproto.Ended) attemptDetail {
	d := attemptDetail{report: toLoadReport(f.Report)}
	switch f.Result {
	case hostproto.Done:
		d.result = forkhead.OK
	case hostproto.Failed, hostproto.Forgotten:
		d.result = forkhead.Errored
	case hostproto.Evicted:
		d.result, d.reason = forkhead.Reset, forkhead.Evicted
	case hostproto.Preempted:
		d.result, d.reason = forkhead.Reset, forkhead.Preempted
	case hostproto.Dismissed:
		d.result, d.reason = forkhead.Reset, forkhead.Dismissed
	case hostproto.Stopped, hostproto.Canceled:
		d.result = forkhead.Withdrawn
	}
	return d
}

// attemptChange is an input to an attempt, with the attempt's phases before and after the input.
type attemptChange struct {
	input         attempt.Input
	detail        attemptDetail
	before, after attempt.Phase
}

// wasPlaced reports whether the attempt was placed before the change, so that its end is final.
func (ch *attemptChange) wasPlaced() bool {
	return ch.before == attempt.Placed || ch.before == attempt.Unreachable
}

// handleAttempt passes an input to an attempt, updates the tables for its new phase, and applies the effect that
// package attempt defines for the transition.
func (c *Core) handleAttempt(a *taskAttempt, in attempt.Input, d attemptDetail) {
	change := attemptChange{input: in, detail: d, before: a.phase()}
	effect := a.request.Handle(a.number, in)
	change.after = a.phase()
	c.updateAttemptTables(a, &change)
	c.applyAttemptEffect(a, effect, &change)
	c.forgetIfDone(a.request)
}

func (c *Core) updateAttemptTables(a *taskAttempt, ch *attemptChange) {
	switch before, after := ch.before.IsLive(), ch.after.IsLive(); {
	case before && !after:
		c.liveAttempts.Remove(a.service(), a)
	case !before && after:
		c.liveAttempts.Add(a.service(), a)
	}
	if ch.after.IsSettled() && !ch.before.IsSettled() {
		delete(a.host.attempts, a.ref)
		delete(c.attemptsByRef, a.ref)
		c.resolveAttempt(a, ch)
	}
	switch before, after := ch.before == attempt.Unknown, ch.after == attempt.Unknown; {
	case !before && after:
		c.unknownAttempts.add(a)
	case before && !after:
		c.unknownAttempts.remove(a)
	}
	if (ch.before == attempt.Placed) != (ch.after == attempt.Placed) {
		c.updateNearLabels()
	}
}

func (c *Core) applyAttemptEffect(a *taskAttempt, effect attempt.Effect, ch *attemptChange) {
	r := a.request.replica
	switch effect {
	case attempt.ReportBound:
		c.reportBound(a)
	case attempt.ReportRejected:
		c.reportRejected(a, ch)
	case attempt.ReportConnectFailed:
		r.countFailure(noConnection)
		c.reportAttempt(a, ch, forkhead.Outcome{Result: forkhead.ConnectFailed})
	case attempt.ReportWithdrawn:
		c.reportWithdrawn(a, ch)
	case attempt.ReportLost:
		c.reportLost(a, ch)
	case attempt.ReportEnded:
		c.reportEnded(a, ch)
	case attempt.ReportSettled:
		c.handleSettled(a, ch)
	case attempt.Orphaned:
		c.handleOrphan(a)
	case attempt.Reconnected:
		if r.removing || r.stopRequested {
			c.sendStop(a)
		}
	case attempt.ProtocolViolation:
		c.closeForViolation(a.host, fmt.Sprintf("%v for an attempt that is %v", ch.input, ch.before))
	}
}

// reportAttempt notifies the module of the outcome of an attempt. The caller sets the fields Result, Reason and Final
// of the parameter outcome, and reportAttempt the others.
func (c *Core) reportAttempt(a *taskAttempt, ch *attemptChange, outcome forkhead.Outcome) {
	outcome.Task, outcome.Attempt, outcome.Machine = a.request.id, a.number, a.machineID
	outcome.Took = c.now - a.chosenAt()
	outcome.Report = ch.detail.report
	c.notifyModule(outcome)
}

func (c *Core) reportBound(a *taskAttempt) {
	request := a.request
	took := c.now - a.chosenAt()
	c.notifyModule(forkhead.Bound{Task: request.id, Attempt: a.number, Machine: a.machineID, Took: took})
	a.running = c.settings.Module.BoundWhenRunning
	c.handleReplicaPlaced(request.replica, a)
}

func (c *Core) reportRejected(a *taskAttempt, ch *attemptChange) {
	reason := ch.detail.reason
	if reason == forkhead.NoReason {
		reason = forkhead.Unsuitable
	}
	a.request.replica.countFailure(rejectionFailure(reason))
	c.reportAttempt(a, ch, forkhead.Outcome{Result: forkhead.Rejected, Reason: reason})
}

func (c *Core) reportWithdrawn(a *taskAttempt, ch *attemptChange) {
	if ch.before == attempt.InFlight && a.host.isConnectedAndSynced() && a.conn == a.host.connection.Conn {
		c.sendFrame(a.host, hostproto.Withdraw{Ref: a.ref})
	}
	result := forkhead.Withdrawn
	if ch.detail.result != forkhead.OK {
		result = ch.detail.result
	}
	a.request.replica.countFailure(noAnswerInTime)
	c.reportAttempt(a, ch, forkhead.Outcome{Result: result})
}

func (c *Core) reportLost(a *taskAttempt, ch *attemptChange) {
	c.reportAttempt(a, ch, forkhead.Outcome{Result: forkhead.Reset, Final: ch.wasPlaced()})
	if !ch.wasPlaced() {
		a.request.replica.countFailure(replyBrokeOff)
		return
	}
	c.status.Lost++
	c.handleReplicaLost(a.request.replica, a, retrypolicy.Lost)
}

func (c *Core) reportEnded(a *taskAttempt, ch *attemptChange) {
	d := ch.detail
	c.reportAttempt(a, ch, forkhead.Outcome{Result: d.result, Reason: d.reason, Final: ch.wasPlaced()})
	if !ch.wasPlaced() {
		a.request.replica.countFailure(startFailed)
		return
	}
	c.handleReplicaEnded(a.request.replica, a, d)
}

// sendStop asks an attempt's host to stop its task.
func (c *Core) sendStop(a *taskAttempt) {
	c.sendFrame(a.host, hostproto.Stop{Ref: a.ref, Grace: a.request.replica.stopGrace()})
}

// attemptFailure is the cause of the failure of an attempt, as the reasons of outcomes name it. Stored outcomes contain
// these texts.
type attemptFailure string

const (
	noConnection      attemptFailure = "no connection"
	noAnswerInTime    attemptFailure = "no answer in time"
	replyBrokeOff     attemptFailure = "the reply broke off"
	startFailed       attemptFailure = "the start failed"
	insufficientCores attemptFailure = "no cores"
	insufficientMem   attemptFailure = "no memory"
	queueFull         attemptFailure = "its line of offers was full"
	notSuitable       attemptFailure = "not here"
)

func rejectionFailure(reason forkhead.RejectReason) attemptFailure {
	switch reason {
	case forkhead.InsufficientCores:
		return insufficientCores
	case forkhead.InsufficientMemory:
		return insufficientMem
	case forkhead.QueueFull:
		return queueFull
	}
	return notSuitable
}
