package forkhead

import (
	"cmp"
	"slices"
	"time"
)

// Tuned values of the queue and of final answers.
const (
	queueRetryInterval = 50 * time.Millisecond // how often queued tasks are tried beside each change
	deadlineMargin     = 5 * time.Millisecond  // a task is answered so long before its owner gives up
	// A start in time is worth about as much as the half of a task's run that is left on average.
	timelyWeight  = 1.5
	minQuotaTasks = 4 // a placer's part of a quota is at least so many mean tasks: fewer come by chance
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

// queuePriority ranks queued tasks: by the weight of their class, less where their tenant is beyond its
// quota of what we place, more while a start is still in time. It guards tenants within their quota, and
// may hurt where this placer sees an uneven part of a tenant's traffic.
func (p *Placer) queuePriority(t *task) float64 {
	class := &p.settings.Classes[t.Class]
	priority := class.Weight
	if p.now < t.deadline-t.Timeout+class.LatencyObjective {
		priority *= timelyWeight
	}
	if t.Tenant >= 0 && t.Tenant < len(p.settings.Tenants) {
		quota := p.settings.Tenants[t.Tenant].QuotaCores
		ourPart := max(quota/float64(p.settings.Placers), minQuotaTasks*p.settings.MeanCores)
		if quota > 0 && p.reservedCores[t.Tenant]+t.Cores > ourPart {
			priority *= p.settings.OverQuotaWeight
		}
	}
	return priority
}

// place offers the task to a machine, finishes it where nothing more may be sent, or returns false where
// it has to wait for capacity.
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

// finish gives the task its final answer: a rejection where a retry is harmless, else a failure.
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
