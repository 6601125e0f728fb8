package core

import (
	"forkhead"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostconn"
)

// handleFrame handles a frame that a host sent on its current connection.
func (c *Core) handleFrame(h *host, f hostproto.Frame) {
	h.lastFrameAt = c.now
	switch f := f.(type) {
	case hostproto.Welcome:
		c.handleWelcome(h, f)
		return
	case hostproto.Bye:
		c.log("host %s says: %s", h.name, f.Text)
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
		c.handleRejectedFrame(h, f)
	case hostproto.Accepted:
		c.handleAcceptedFrame(h, f)
	case hostproto.Running:
		if a := h.attempts[f.Ref]; a != nil {
			c.handleRunning(a, attempt.Accepted)
		}
	case hostproto.Note:
		c.handleNoteFrame(h, f)
	case hostproto.Ended:
		c.handleEndedFrame(h, f)
	case hostproto.Probed:
		c.handleProbedFrame(h, f)
	case hostproto.Drain:
		c.handleDrain(h, f.On)
	default:
		c.closeForViolation(h, "a frame that only placers send")
	}
}

func (c *Core) handleRejectedFrame(h *host, f hostproto.Refused) {
	a := h.attempts[f.Ref]
	if a == nil {
		return
	}
	detail := attemptDetail{reason: forkhead.RejectReason(f.Reason), report: toLoadReport(f.Report)}
	c.handleAttempt(a, attempt.RejectionInput(a.phase()), detail)
}

// handleAcceptedFrame handles a host's report that it has accepted a task. The report is ignored if the setting
// BoundWhenRunning is true, as the attempt is then bound only when the task runs.
func (c *Core) handleAcceptedFrame(h *host, f hostproto.Accepted) {
	if a := h.attempts[f.Ref]; a != nil && !c.settings.Module.BoundWhenRunning {
		c.handleAttempt(a, attempt.Accepted, attemptDetail{})
	}
}

// handleRunning handles a host's report that a task runs. The parameter in is attempt.Accepted for a Running frame and
// attempt.ListedByHost for an entry of a Holds frame.
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

func (c *Core) handleNoteFrame(h *host, f hostproto.Note) {
	a := h.attempts[f.Ref]
	if a == nil || a.phase() != attempt.Placed {
		return
	}
	c.notifyModule(forkhead.Note{
		Task: a.request.id, Attempt: a.number, Machine: a.machineID, Kind: forkhead.NoteKind(f.Kind), Amount: float64(f.Amount),
	})
}

func (c *Core) handleEndedFrame(h *host, f hostproto.Ended) {
	a := h.attempts[f.Ref]
	if a == nil {
		return
	}
	in := attempt.Ended
	if f.Result == hostproto.Canceled {
		in = attempt.Rejected // the task was withdrawn before it started
	}
	c.handleAttempt(a, in, toAttemptDetail(f))
}

func (c *Core) handleProbedFrame(h *host, f hostproto.Probed) {
	if _, ok := h.probesSentAt[f.ID]; !ok {
		return
	}
	delete(h.probesSentAt, f.ID)
	c.notifyModule(forkhead.Probed{Machine: h.id, Result: forkhead.OK, Report: toLoadReport(f.Report)})
}

// handleDrain handles a host's own report that it drains, or no longer does.
func (c *Core) handleDrain(h *host, draining bool) {
	if h.reportsDraining == draining {
		return
	}
	before := h.state()
	h.reportsDraining = draining
	after := h.state()
	if after == before {
		return
	}
	h.drainingSince = 0
	if after != forkhead.Ready {
		h.drainingSince = c.now
	}
	if h.listed {
		c.notifyHostChanged(h)
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
