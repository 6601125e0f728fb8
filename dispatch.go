package forkhead

import "math"

// handle calls the handler for the event's type.
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
	case EndConfirmed:
		p.handleEndConfirmed(event)
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

// handleCancel cancels a request whose owner no longer waits for the answer.
func (p *Placer) handleCancel(id TaskID) {
	if t := p.tasks[id]; t != nil {
		t.pending = false
		p.forgetIfDone(t)
	}
}

// handleHandOver adds a task that runs already to the counts.
func (p *Placer) handleHandOver(event HandedOver) {
	if !p.isValid(&event.Task) {
		return
	}
	t := &task{Task: event.Task}
	p.tasks[t.ID] = t
	a := p.startAttempt(t, p.machine(event.Machine))
	a.bound = true
	// The list already counts this task. With sentAt = now, the task would look as if it was requested after the list
	// was made, and would count a second time. After a restart of the placer, all machines would look full for the
	// first seconds.
	a.sentAt = p.now - changeHistory
	p.markRunning(a)
}

// handleNote applies a report about a running task. Amounts that are negative, infinite or NaN are ignored.
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
		p.coreUsage.observe(event.Amount, a.task.Cores)
	case NoteMemoryUsed:
		p.memoryUsage.observe(event.Amount, a.task.Memory)
	}
}

// handleProbeResult applies the answer to a probe.
func (p *Placer) handleProbeResult(event Probed) {
	m := p.machines[event.Machine]
	if m == nil {
		return
	}
	m.probing = false
	p.applyReport(m, event.Report)
	if event.Result == Errored { // an unhealthy machine is probed again, like one that doesn't answer
		p.recordHealth(m, TimedOut)
		return
	}
	p.recordHealth(m, event.Result)
}

// applyReport replaces the available amounts of the list entry by those of a load report. It does so only if list
// entries have no available amounts, and if the available amounts in reports are those that are not requested, rather
// than those that are not used.
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

// maxReportedAmount bounds the sum of reported cores and memory. Reports with a larger sum or with NaN are ignored.
const maxReportedAmount = 1e12
