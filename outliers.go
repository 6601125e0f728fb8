package forkhead

import "time"

// Constants of outlier detection and health checks.
const (
	maxEjectionTime     = 10 * time.Second       // ejection from a class lasts about as long as a short fault
	outlierWindow       = maxEjectionTime        // two failures of a class within this time eject a machine
	minSuspectTime      = 500 * time.Millisecond // after a failed check, doubled at each further failure
	maxSuspectTime      = 4 * time.Second
	maxSuspectDoublings = 8
)

// reportOutlier records a failed attempt of the class on a machine that otherwise answers. It gossips the
// failure to the other placers, as each placer alone sees too few tasks to detect the outlier. Without
// ejection, a machine that fails tasks of one class, whatever the cause, would get more of them. The cost: a
// machine that starts tasks slowly for some time may be ejected too.
func (p *Placer) reportOutlier(m *machine, class int) {
	p.recordOutlierFailure(m, class)
	cost := float64(p.settings.Placers-1) * outlierMessageFraction * p.settings.Costs.Gossip
	if p.settings.MayGossip && p.settings.Placers > 1 && cost <= p.outlierGossipBudget {
		p.outlierGossipBudget -= cost
		p.emit(Gossip{To: AllPlacers, Data: encodeOutlier(m.ID, class)})
	}
}

// reportErroredMachines reports each machine that returned an error for a task that another machine has
// bound. Errors of a task that fails everywhere are no evidence against a machine, so a client that sends
// such tasks doesn't cause ejections.
func (p *Placer) reportErroredMachines(t *task) {
	for _, a := range t.attempts {
		if a.errored {
			p.reportOutlier(a.machine, t.Class)
		}
	}
}

// recordOutlierFailure records a failure of the class on the machine, seen by this or another placer. The
// second failure within outlierWindow without a start in between ejects the machine for the class. Jitter in
// the ejection time lets a few placers try the machine first.
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

// isEjected reports whether the machine is ejected for the class.
func (p *Placer) isEjected(m *machine, class int) bool {
	return m.outliers != nil && p.now < m.outliers[class].ejectedUntil
}

// isHealthy reports whether the machine is neither suspect nor ejected for the class.
func (p *Placer) isHealthy(m *machine, class int) bool {
	return p.now >= m.suspectUntil && m.failures == 0 && !p.isEjected(m, class)
}

// probe sends a health check to a machine. A machine that doesn't answer gets no offers until it does.
func (p *Placer) probe(m *machine) {
	if p.settings.MayProbe && !m.probing && m.State != Removed {
		m.probing = true
		p.emit(Probe{Machine: m.ID})
	}
}

// recordHealth marks the machine healthy or suspect according to the result of an attempt or a probe.
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

// markHealthy records that the machine has answered and is no longer suspect.
func (p *Placer) markHealthy(m *machine) {
	m.failures, m.suspectUntil, m.answeredAt = 0, 0, p.now
}
