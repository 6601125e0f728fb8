package forkhead

import (
	"cmp"
	"slices"
	"time"
)

// Constants of the queue and of final answers.
const (
	// Queued tasks are retried at this interval, and when capacity may have become available.
	queueRetryInterval = 50 * time.Millisecond
	deadlineMargin     = 5 * time.Millisecond // the final answer is sent this long before the owner gives up
	// The priority of a task is multiplied by this while the task can still start in time. A start in time is
	// worth about as much as half of a task's run, which is the part that remains on average.
	timelyStartFactor = 1.5
	// A placer's share of a quota is at least the cores of this many tasks of mean size: by chance, a placer
	// may get that many tasks at once.
	minQuotaTasks = 4
)

func (p *Placer) handleRequest(request Task) {
	t := &task{Task: request, deadline: p.now + request.Timeout, pending: true}
	p.tasks[request.ID] = t
	if !p.isValid(&request) || !p.isPlaceable(&request) {
		p.finish(t)
		return
	}
	p.outlierGossipBudget += maxGossipCost
	p.setTimer(timerDeadline, uint32(request.ID), max(request.Timeout-deadlineMargin, 0))
	t.pool = p.poolFor(&request)
	if !request.Resubmitted {
		p.pools[t.pool].sizes.add(request.Cores)
	}
	if len(p.queue) > 0 {
		p.enqueue(t)
		p.capacityChanged = true
	} else if !p.place(t) {
		p.enqueue(t)
	}
}

func (p *Placer) enqueue(t *task) {
	p.queue = append(p.queue, t)
	if !p.retryTimerSet {
		p.retryTimerSet = true
		p.setTimer(timerRetry, 0, queueRetryInterval)
	}
}

func (p *Placer) placeQueued() {
	queue := p.queue
	p.queue = nil
	slices.SortStableFunc(queue, func(a, b *task) int {
		return cmp.Compare(p.queuePriority(b), p.queuePriority(a))
	})
	for _, t := range queue {
		if !t.pending || p.hasAttemptInFlight(t) {
			continue
		}
		if p.now < t.backoffUntil || !p.place(t) {
			p.enqueue(t)
		}
	}
}

// queuePriority returns the priority of a queued task, which is based on the weight of its class. The
// priority is increased while the task can still start in time. It is reduced if the task's tenant exceeds
// this placer's share of the tenant's quota, so that tenants within their quota don't wait for tenants beyond
// theirs. The cost: a tenant whose requests are spread unevenly among placers may count as beyond its quota.
func (p *Placer) queuePriority(t *task) float64 {
	class := &p.settings.Classes[t.Class]
	priority := class.Weight
	if p.now < t.deadline-t.Timeout+class.LatencyObjective {
		priority *= timelyStartFactor
	}
	if t.Tenant >= 0 && t.Tenant < len(p.settings.Tenants) {
		quota := p.settings.Tenants[t.Tenant].QuotaCores
		ourShare := max(quota/float64(p.settings.Placers), minQuotaTasks*p.settings.MeanCores)
		if quota > 0 && p.reservedCores[t.Tenant]+t.Cores > ourShare {
			priority *= p.settings.OverQuotaWeight
		}
	}
	return priority
}

// place offers the task to a machine, or finishes it if no further attempt is allowed. It returns false if
// the task has to wait for capacity.
func (p *Placer) place(t *task) bool {
	if len(t.attempts) >= p.settings.MaxAttempts || !p.mayAttempt(t) {
		p.finish(t)
		return true
	}
	m := p.selectMachine(t, selectionPasses)
	if m == nil {
		return false
	}
	p.offer(t, m)
	return true
}

// finish gives the task its final answer: a rejection if a retry is harmless, otherwise a failure.
func (p *Placer) finish(t *task) {
	if !t.pending {
		return
	}
	t.pending = false
	mayHaveRun := t.firstMayRun != nil || p.hasAttemptInFlight(t)
	if p.hasAttemptInFlight(t) && p.settings.MayWithdraw {
		p.emit(Withdraw{Task: t.ID, Attempt: len(t.attempts) - 1})
	}
	class := Class{}
	if p.isValid(&t.Task) {
		class = p.settings.Classes[t.Class]
	}
	if !mayHaveRun || class.retryIsHarmless() {
		p.emit(Reject{Task: t.ID})
	} else {
		p.emit(Fail{Task: t.ID})
	}
	p.forgetIfDone(t)
}
