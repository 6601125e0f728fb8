package forkhead

import "math"

// handle dispatches an event by its type.
func (p *Placer) handle(event Event) {
	switch event := event.(type) {
	case ListUpdate:
		p.handleListUpdate(event)
	case PlacementRequest:
		p.handleRequest(event.Task)
	case HandedOver:
		p.handleHandOver(event)
	case Bound:
		p.handleBound(event)
	case Note:
		p.handleNote(event)
	case Outcome:
		p.handleOutcome(event)
	case RequestCanceled:
		p.handleCancel(event.Task)
	case TimerFired:
		p.handleTimer(event.Timer)
	case Probed:
		p.handleProbeResult(event)
	case GossipReceived:
		p.handleGossip(event.Data)
	}
}

// handleCancel drops a task whose owner waits no longer: no answer is due any more.
func (p *Placer) handleCancel(id TaskID) {
	if t := p.tasks[id]; t != nil {
		t.pending = false
		p.forgetIfDone(t)
	}
}

// handleHandOver takes in a task that runs already.
func (p *Placer) handleHandOver(event HandedOver) {
	if !p.isValid(&event.Task) {
		return
	}
	t := &task{Task: event.Task}
	p.tasks[t.ID] = t
	a := p.startAttempt(t, p.machine(event.Machine))
	a.bound = true
	// The list shows it already. This guards against counting what ran before this incarnation a second time,
	// as reserved since the list was made: all machines would look full for the first seconds.
	a.sentAt = p.now - changeHistory
	p.markRunning(a)
}

// handleNote takes in what is reported of a running task. Amounts that are negative, infinite or NaN are
// ignored.
func (p *Placer) handleNote(event Note) {
	a := p.activeAttempt(event.Task, event.Attempt)
	if a == nil || !(event.Amount >= 0) || math.IsInf(event.Amount, 0) {
		return
	}
	switch event.Kind {
	case NoteRunning:
		p.markRunning(a)
	case NoteServiceLevel:
		p.recordServiceLevel(a, event.Amount)
	case NoteCoresUsed:
		p.coreUsage.learn(event.Amount, a.task.Cores)
	case NoteMemoryUsed:
		p.memoryUsage.learn(event.Amount, a.task.Memory)
	}
}

// handleProbeResult takes in the answer to a probe.
func (p *Placer) handleProbeResult(event Probed) {
	m := p.machines[event.Machine]
	if m == nil {
		return
	}
	m.probing = false
	p.applyReport(m, event.Report)
	p.recordHealth(m, event.Result)
}

// applyReport takes a load report as a fresher list entry where the list shows no available amounts.
func (p *Placer) applyReport(m *machine, report *LoadReport) {
	if report == nil || p.settings.ListReportsAvailable || !p.settings.ReportsCountRequested {
		return
	}
	if !(math.Abs(report.AvailableCores+report.AvailableMemory) < maxReportedAmount) {
		return
	}
	m.AvailableCores, m.AvailableMemory = report.AvailableCores, report.AvailableMemory
	m.listedAt, m.availableStale = p.now, true
}

// maxReportedAmount bounds the sum of reported cores and memory; NaN is ignored as well.
const maxReportedAmount = 1e12
