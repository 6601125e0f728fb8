package core

import (
	"time"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/invariant"
)

// placementRequest is one request to the module to place a task.
type placementRequest struct {
	attempt.Request
	id       forkhead.TaskID // identifies the request to the module
	task     forkhead.Task
	replica  *desiredReplica
	attempts []*taskAttempt // same indexes as Request.Attempts; nil if the offer was not sent
}

// attemptRules returns the rules for attempts of a class.
func (c *Core) attemptRules(class int) attempt.Rules {
	m := &c.settings.Module
	classSettings := &m.Classes[class]
	return attempt.Rules{
		Effect:      classSettings.Effect,
		DedupDomain: classSettings.DedupDomain,
		DedupWindow: classSettings.DedupWindow,
		MaxAttempts: m.MaxAttempts,
		Parallel:    m.ParallelAttempts,
	}
}

// newRequest adds a request for a replica, without a deadline. It does not notify the module.
func (c *Core) newRequest(r *desiredReplica) *placementRequest {
	request := &placementRequest{id: c.newTaskID(), replica: r}
	request.Rules = c.attemptRules(r.class)
	request.task = forkhead.Task{
		ID:                request.id,
		Key:               r.taskKey,
		Service:           r.service.key,
		Class:             r.class,
		Tenant:            r.tenant,
		RemainingLifetime: r.spec.ExpectedRuntime,
		Cores:             r.spec.Cores,
		Memory:            r.spec.Memory,
		Resubmitted:       r.retrier.Requests > 0 || r.placements > 0,
		RequiredLabels:    r.service.requiredLabels,
		SpreadLimits:      c.spreadLimits(r),
	}
	c.requests[request.id] = request
	return request
}

// newTaskID returns the next ID that no request in the table has. 0 is not a valid ID.
func (c *Core) newTaskID() forkhead.TaskID {
	for {
		c.lastTaskID++
		id := forkhead.TaskID(c.lastTaskID)
		if id != 0 && c.requests[id] == nil {
			return id
		}
	}
}

// spreadDomains maps the names of domains in descriptions to the domains.
var spreadDomains = map[string]forkhead.Domain{
	"machine": forkhead.MachineDomain, "rack": forkhead.CellDomain, "zone": forkhead.ZoneDomain,
}

// spreadLimits returns the limits that a replica's service states. Unless the replica has dropped the spread
// preferences of its service, the limits are tightened to an even share for each preference.
func (c *Core) spreadLimits(r *desiredReplica) forkhead.SpreadLimits {
	limits := statedSpreadLimits(r)
	if r.preferencesDropped {
		return limits
	}
	for _, preference := range r.spec.Preferences {
		domain := spreadDomains[string(preference)]
		tightenLimit(&limits, domain, c.evenShare(r, domain))
	}
	return limits
}

func statedSpreadLimits(r *desiredReplica) forkhead.SpreadLimits {
	var limits forkhead.SpreadLimits
	for _, limit := range r.spec.SpreadLimits {
		tightenLimit(&limits, spreadDomains[limit.Domain], limit.MaxTasks)
	}
	return limits
}

func tightenLimit(limits *forkhead.SpreadLimits, domain forkhead.Domain, maxTasks int) {
	if limits[domain] == 0 || maxTasks < limits[domain] {
		limits[domain] = maxTasks
	}
}

// evenShare returns the number of a service's tasks per domain, rounded up, if they are spread evenly over the ready
// hosts that meet its constraints.
func (c *Core) evenShare(r *desiredReplica, domain forkhead.Domain) int {
	indexes := map[int]bool{}
	for _, h := range c.hosts {
		if h.state() != forkhead.Ready || !h.hasLabels(r.service.requiredLabels) {
			continue
		}
		if domain == forkhead.CellDomain {
			indexes[h.cell] = true
		} else {
			indexes[h.zone] = true
		}
	}
	domains := max(len(indexes), 1)
	return max((len(r.service.replicas)+domains-1)/domains, 1)
}

// finishRequest ends a request without a placement, after a Reject or Fail of the module or at its deadline.
func (c *Core) finishRequest(id forkhead.TaskID, rejected bool, retryAfter time.Duration) {
	request := c.requests[id]
	if c.canceledRequests[id] != nil {
		return
	}
	if request == nil {
		c.reportVeto(&invariant.Violation{Rule: invariant.OneAnswer, Reason: "no such ask"}, "answer to task %d", id)
		return
	}
	if request.Answer == attempt.Unanswered {
		c.abandonAttempts(request)
	}
	if v := invariant.CheckAnswer(&request.Request, rejected); v != nil {
		c.reportVeto(v, "answer to %s", request.replica.name)
		if v.Rule != invariant.NoRepeat {
			return
		}
		rejected = false
	}
	request.Finish(rejected)
	c.forgetIfDone(request)
	if r := request.replica; r.request == request {
		r.request = nil
		c.handleUnplaced(r, rejected, retryAfter)
	}
}

// expireRequest ends a request that the module has left open at its deadline. This is a defect, since the module must
// end its requests before their deadlines.
func (c *Core) expireRequest(request *placementRequest) {
	if request.Answer != attempt.Unanswered || c.requests[request.id] != request {
		return
	}
	c.reportDefect("the ask for %s was left open at its deadline", request.replica.name)
	c.notifyModule(forkhead.RequestCanceled{Task: request.id})
	c.finishRequest(request.id, false, 0)
}

// cancelRequest cancels a replica's request, if it has one, since its result is no longer wanted.
func (c *Core) cancelRequest(r *desiredReplica) {
	request := r.request
	if request == nil {
		return
	}
	r.request = nil
	c.canceledRequests[request.id] = request
	c.notifyModule(forkhead.RequestCanceled{Task: request.id})
	c.abandonAttempts(request)
	request.Finish(false)
	c.forgetIfDone(request)
}

// abandonAttempts abandons the attempts of a request that are in flight.
func (c *Core) abandonAttempts(request *placementRequest) {
	for _, a := range request.attempts {
		if a != nil && a.phase().IsInFlight() {
			c.handleAttempt(a, attempt.Abandoned, attemptDetail{})
		}
	}
}

// withdrawAttempt executes a Withdraw of the module. It does nothing if the attempt does not exist, for example because
// its offer was vetoed.
func (c *Core) withdrawAttempt(id forkhead.TaskID, number int) {
	request := c.requests[id]
	if request == nil || number < 0 || number >= len(request.attempts) || request.attempts[number] == nil {
		return
	}
	c.handleAttempt(request.attempts[number], attempt.Abandoned, attemptDetail{})
}

// migrateTask executes a Stop of the module: it stops a placed task, whose owner requests it again once it has ended.
func (c *Core) migrateTask(id forkhead.TaskID) {
	request := c.requests[id]
	if request == nil {
		return
	}
	for _, a := range request.attempts {
		if a != nil && a.phase() == attempt.Placed && !a.migrating && a.host.isConnectedAndSynced() {
			a.migrating = true
			c.status.Migrated++
			c.sendStop(a)
		}
	}
}

// forgetIfDone removes a request that is answered and whose attempts are all settled.
func (c *Core) forgetIfDone(request *placementRequest) {
	if request.IsDone() {
		delete(c.requests, request.id)
	}
}
