package forkhead

import "time"

// Tuned values of outlier detection and health checks.
const (
	maxEjectionTime     = 10 * time.Second       // for a class: the length of a short fault
	outlierWindow       = maxEjectionTime        // two failures of a class within this eject a machine
	minSuspectTime      = 500 * time.Millisecond // after a failed probe or connection, doubled at each one
	maxSuspectTime      = 4 * time.Second
	maxSuspectDoublings = 8
)

// reportOutlier counts a failed attempt of the class against a machine that answers otherwise, and gossips
// it to the other placers, which see too few tasks to find out alone. It guards against machines that fail
// at one class for whatever reason, and may hurt where starts are slow for a while.
func (p *Placer) reportOutlier(m *machine, class int) {
	p.recordOutlierFailure(m, class)
	cost := float64(p.settings.Placers-1) * outlierMessageFraction * p.settings.Costs.Gossip
	if p.settings.MayGossip && p.settings.Placers > 1 && cost <= p.outlierGossipBudget {
		p.outlierGossipBudget -= cost
		p.emit(Gossip{To: AllPlacers, Data: encodeOutlier(m.ID, class)})
	}
}

// reportErroredMachines counts against a machine that it returned an error for a task that another machine
// has bound. A task that gets errors everywhere says nothing about machines, so a client that sends such
// tasks gets none ejected.
func (p *Placer) reportErroredMachines(t *task) {
	for _, a := range t.attempts {
		if a.errored {
			p.reportOutlier(a.machine, t.Class)
		}
	}
}

// recordOutlierFailure ejects the machine for the class for a while at the second failure within
// outlierWindow with no start between, ours or others'; jitter lets few placers try it first.
func (p *Placer) recordOutlierFailure(m *machine, class int) {
	if m.outliers == nil {
		m.outliers = make([]outlierState, len(p.settings.Classes))
	}
	outlier := &m.outliers[class]
	if outlier.failedAt > 0 && p.now < outlier.failedAt+outlierWindow {
		outlier.ejectedUntil = p.now + p.jitter(maxEjectionTime)
	}
	outlier.failedAt = p.now
}

// isEjected says whether the machine gets no tasks of the class for now.
func (p *Placer) isEjected(m *machine, class int) bool {
	return m.outliers != nil && p.now < m.outliers[class].ejectedUntil
}

// isHealthy says whether the machine is neither suspect nor ejected for the class.
func (p *Placer) isHealthy(m *machine, class int) bool {
	return p.now >= m.suspectUntil && m.failures == 0 && !p.isEjected(m, class)
}

// probe checks a machine. One that does not answer gets nothing new until it does.
func (p *Placer) probe(m *machine) {
	if p.settings.MayProbe && !m.probing && m.State != Removed {
		m.probing = true
		p.emit(Probe{Machine: m.ID})
	}
}

// recordHealth takes what the result of an attempt or a probe says of the machine.
func (p *Placer) recordHealth(m *machine, result Result) {
	switch result {
	case OK, Rejected:
		p.markHealthy(m)
	case ConnectFailed, TimedOut:
		suspectTime := min(minSuspectTime<<min(m.failures, maxSuspectDoublings), maxSuspectTime)
		m.suspectUntil = p.now + suspectTime
		if p.settings.MayProbe {
			m.failures++
			p.setTimer(timerSuspect, uint32(m.ID), p.jitter(suspectTime+p.pollSpread()))
		}
	}
}

// markHealthy notes that the machine has answered.
func (p *Placer) markHealthy(m *machine) {
	m.failures, m.suspectUntil, m.answeredAt = 0, 0, p.now
}
