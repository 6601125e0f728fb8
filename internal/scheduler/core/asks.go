package core

import (
	"fmt"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/durable"
	"forkhead/internal/scheduler/hostconn"
	"forkhead/internal/scheduler/invariant"
	"forkhead/internal/scheduler/retrypolicy"
)

// placementRequest is one arrival of a task at the module.
type placementRequest struct {
	attempt.Request
	id    forkhead.TaskID
	task  forkhead.Task
	replica  *desiredReplica
	attempts []*taskAttempt // by number; nil where nothing was sent
}

// taskAttempt is one attempt: what the machine of package attempt rules over, and where it is.
type taskAttempt struct {
	request       *placementRequest
	number    int
	host      *host
	machineID   forkhead.MachineID // as the module named it
	ref       hostproto.Ref
	hostEpoch uint64 // the host's life in which it was written
	conn      uint32 // the connection on which it was written
	running      bool
	persisted     bool // so that a later life knows of it
	waitedForConn    bool // for its host's connection
	migrating    bool // stopped by the module, to be placed anew
}

func (a *taskAttempt) phase() attempt.Phase { return a.request.Attempts[a.number].Phase }

// attemptDetail is what comes with an input beside it.
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
	case hostproto.PushedOut:
		d.result, d.reason = forkhead.Reset, forkhead.Preempted
	case hostproto.SentAway:
		d.result, d.reason = forkhead.Reset, forkhead.Dismissed
	case hostproto.Stopped, hostproto.Called:
		d.result = forkhead.Withdrawn
	}
	return d
}

// ---- The module's actions on asks.

func (c *Core) attemptRules(class int) attempt.Rules {
	m := &c.settings.Module
	k := &m.Classes[class]
	return attempt.Rules{
		Effect: k.Effect, DedupDomain: k.DedupDomain, DedupWindow: k.DedupWindow, MaxAttempts: m.MaxAttempts, Parallel: m.ParallelAttempts,
	}
}

// executeOffer carries out an Offer, if the guard lets it through.
func (c *Core) executeOffer(action forkhead.Offer) {
	request, h := c.requests[action.Task], c.hostsByID[action.Machine]
	if gone := c.canceledRequests[action.Task]; gone != nil {
		// The module ruled before it heard that nobody waits any more: that is no fault of its.
		c.reportNotSent(gone, action, true)
		return
	}
	if request == nil || h == nil {
		c.reportVeto(&invariant.Violation{Rule: invariant.OneAnswer, Reason: "no such ask or host"}, "offer of task %d to machine %d", action.Task, action.Machine)
		return
	}
	if c.repeatIsHarmful(request) {
		c.reportNotSent(request, action, false)
		return
	}
	v := invariant.CheckOffer(c.now, &invariant.Offer{
		Request: &request.Request, Task: &request.task, Class: &c.settings.Module.Classes[request.task.Class], To: h.forInvariants(), DrainGrace: c.settings.Module.DrainGrace,
		HostByID: func(id attempt.HostID) *invariant.Host {
			for _, a := range request.attempts { // also one that has left the list and is forgotten there
				if a != nil && a.machineID == forkhead.MachineID(id) {
					return a.host.forInvariants()
				}
			}
			if h := c.hostsByID[forkhead.MachineID(id)]; h != nil {
				return h.forInvariants()
			}
			return nil
		},
		ServiceHosts: c.otherLiveHosts(request.task.Service, nil),
	})
	if v != nil {
		c.reportVeto(v, "offer of %s to %s", request.replica.name, h.name)
		c.reportNotSent(request, action, false)
		return
	}
	a := &taskAttempt{request: request, number: request.AddOffer(c.now, attempt.HostID(h.id)), host: h, machineID: action.Machine}
	a.ref = hostproto.Ref{Epoch: c.epoch, Task: uint32(request.id), Attempt: uint8(a.number)}
	request.attempts = append(request.attempts, a)
	c.indexAttempt(a)
	c.status.Offers++
	request.replica.offerCount++
	if action.Timeout > 0 {
		c.addTimer(&timer{at: c.now + action.Timeout, kind: timerAttemptTimeout, attempt: a})
	}
	switch {
	case h.usable():
		c.sendOffer(a)
	case h.connection.State == hostconn.Down:
		c.handleAttempt(a, attempt.ConnectionLost, attemptDetail{})
	default:
		a.waitedForConn = true
		c.addTimer(&timer{at: c.now + c.settings.Module.ConnectTimeout, kind: timerAttemptConnectTimeout, attempt: a})
	}
}

// reportNotSent tells the module that an offer was not sent, and keeps the numbers of attempts in step with its own.
func (c *Core) reportNotSent(request *placementRequest, action forkhead.Offer, final bool) {
	n := request.AddUnsent(c.now, attempt.HostID(action.Machine))
	request.attempts = append(request.attempts, nil)
	c.notifyModule(forkhead.Outcome{Task: action.Task, Attempt: n, Machine: action.Machine, Result: forkhead.NotSent, Final: final})
}

// otherLiveHosts runs over the hosts of a service's live attempts but one.
func (c *Core) otherLiveHosts(service uint64, but *taskAttempt) func(yield func(*invariant.Host) bool) {
	return func(yield func(*invariant.Host) bool) {
		for _, a := range c.liveAttempts[service] {
			if a != but && !yield(a.host.forInvariants()) {
				return
			}
		}
	}
}

func (c *Core) indexAttempt(a *taskAttempt) {
	a.host.attempts[a.ref], c.attemptsByRef[a.ref] = a, a
	if a.phase().IsLive() {
		service := a.request.task.Service
		c.liveAttempts[service] = append(c.liveAttempts[service], a)
	}
}

// sendOffer sends an offer that waited for its connection, if it still may be sent.
func (c *Core) sendOffer(a *taskAttempt) {
	request, h := a.request, a.host
	if invariant.DrainGraceExpired(c.now, h.state(), h.drainingSince, c.settings.Module.DrainGrace) || request.MayWrite(c.now, a.number) != nil || c.repeatIsHarmful(request) {
		// Guards against a drain told between choosing and writing, and a wait that was too long.
		c.handleAttempt(a, attempt.ConnectionLost, attemptDetail{})
		return
	}
	if a.waitedForConn && (h.reportsDraining || invariant.CheckSpread(&invariant.Offer{
		Task: &request.task, Class: &c.settings.Module.Classes[request.task.Class], To: h.forInvariants(), ServiceHosts: c.otherLiveHosts(request.task.Service, a),
	}) != nil) {
		// Guards against tasks of an earlier life that turned up while this one waited for its
		// connection: they count against the spread, and the choice was made without them. And
		// against a host that greets as draining: it may have said so before it was forgotten.
		c.handleAttempt(a, attempt.ConnectionLost, attemptDetail{})
		return
	}
	a.hostEpoch, a.conn = h.connection.Epoch, h.connection.Conn
	c.handleAttempt(a, attempt.OfferWritten, attemptDetail{})
	replica := request.replica
	c.persistAttempt(a)
	c.sendFrame(h, hostproto.Offer{
		Ref: a.ref, Wait: max(request.Deadline-c.now, time.Millisecond), Payload: replica.spec.Payload, Spec: hostproto.Spec{
			Key: replica.taskKey, Service: request.task.Service, Fingerprint: replica.fingerprint, Name: replica.name,
			Class: c.settings.Classes[replica.class].Name, Tenant: replica.spec.Tenant,
			Effect: uint8(request.Rules.Effect), Priority: uint8(c.settings.Module.Classes[replica.class].Priority),
			Cores: thousandths(request.task.Cores), Memory: uint32(request.task.Memory*1024 + 0.5), Life: request.task.RemainingLifetime,
		},
	})
}

func thousandths(cores float64) uint32 { return uint32(cores*1000 + 0.5) }

// finishRequest carries out a Refuse or Fail.
func (c *Core) finishRequest(id forkhead.TaskID, refuse bool, retryAfter time.Duration) {
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
	if v := invariant.CheckAnswer(&request.Request, refuse); v != nil {
		c.reportVeto(v, "answer to %s", request.replica.name)
		if v.Rule != invariant.NoRepeat {
			return
		}
		refuse = false
	}
	request.Finish(refuse)
	c.forgetIfDone(request)
	if replica := request.replica; replica.request == request {
		replica.request = nil
		c.handleUnplaced(replica, refuse, retryAfter)
	}
}

// abandonAttempts gives up the attempts of an ask that are out.
func (c *Core) abandonAttempts(request *placementRequest) {
	for _, a := range request.attempts {
		if a != nil && a.phase().IsInFlight() {
			c.handleAttempt(a, attempt.Abandoned, attemptDetail{})
		}
	}
}

// expireRequest ends an ask that the module has left open past its deadline. That is a defect: the
// module ends its asks just before.
func (c *Core) expireRequest(request *placementRequest) {
	if request.Answer != attempt.Unanswered || c.requests[request.id] != request {
		return
	}
	c.reportDefect("the ask for %s was left open at its deadline", request.replica.name)
	c.notifyModule(forkhead.RequestCanceled{Task: request.id})
	c.finishRequest(request.id, false, 0)
}

// cancelRequest takes an ask back from the module: nobody waits for it any more.
func (c *Core) cancelRequest(replica *desiredReplica) {
	request := replica.request
	if request == nil {
		return
	}
	replica.request = nil
	c.canceledRequests[request.id] = request
	c.notifyModule(forkhead.RequestCanceled{Task: request.id})
	c.abandonAttempts(request)
	request.Finish(false)
	c.forgetIfDone(request)
}

// migrateTask carries out a Stop: the placed task is ended, and its owner asks anew.
func (c *Core) migrateTask(id forkhead.TaskID) {
	request := c.requests[id]
	if request == nil {
		return
	}
	for _, a := range request.attempts {
		if a != nil && a.phase() == attempt.Placed && !a.migrating && a.host.usable() {
			a.migrating = true
			c.status.Migrated++
			c.sendFrame(a.host, hostproto.Stop{Ref: a.ref, Grace: request.replica.stopGrace()})
		}
	}
}

func (replica *desiredReplica) stopGrace() time.Duration {
	if replica.spec == nil {
		return 0
	}
	return replica.spec.StopGrace
}

// forgetIfDone drops an ask that is answered and whose attempts are all settled.
func (c *Core) forgetIfDone(request *placementRequest) {
	if request.IsDone() {
		delete(c.requests, request.id)
	}
}

// ---- Inputs of attempts.

// handleAttempt takes an handleAttempt to an attempt, keeps the indexes in step with its phase, and does what
// the machine says follows.
func (c *Core) handleAttempt(a *taskAttempt, in attempt.Input, d attemptDetail) {
	request, replica := a.request, a.request.replica
	before := a.phase()
	effect := request.Handle(a.number, in)
	after := a.phase()
	if before.IsLive() && !after.IsLive() {
		left := slices.DeleteFunc(c.liveAttempts[request.task.Service], func(o *taskAttempt) bool { return o == a })
		if c.liveAttempts[request.task.Service] = left; len(left) == 0 {
			delete(c.liveAttempts, request.task.Service)
		}
	} else if !before.IsLive() && after.IsLive() {
		c.liveAttempts[request.task.Service] = append(c.liveAttempts[request.task.Service], a)
	}
	if after.IsSettled() && !before.IsSettled() {
		delete(a.host.attempts, a.ref)
		delete(c.attemptsByRef, a.ref)
		if a.persisted {
			c.persist(durable.AttemptResolved{Ref: a.ref})
		}
	}
	if after == attempt.Unknown && before != after {
		if c.unknownAttempts[replica.taskKey] == nil {
			c.unknownAttempts[replica.taskKey] = map[*taskAttempt]bool{}
		}
		c.unknownAttempts[replica.taskKey][a] = true
	} else if before == attempt.Unknown && before != after {
		if delete(c.unknownAttempts[replica.taskKey], a); len(c.unknownAttempts[replica.taskKey]) == 0 {
			delete(c.unknownAttempts, replica.taskKey)
		}
	}
	if c.labels.nearCount > 0 && (before == attempt.Placed) != (after == attempt.Placed) {
		c.updateHostLabels() // others may have to be beside it
	}
	out := forkhead.Outcome{Task: request.id, Attempt: a.number, Machine: a.machineID, Took: c.now - request.Attempts[a.number].ChosenAt, Report: d.report}
	wasPlaced := before == attempt.Placed || before == attempt.Unreachable
	switch effect {
	case attempt.ReportBound:
		c.notifyModule(forkhead.Bound{Task: request.id, Attempt: a.number, Machine: a.machineID, Took: out.Took})
		a.running = c.settings.Module.BoundWhenRunning
		c.handleBound(replica, a)
	case attempt.ReportRejected:
		out.Result, out.Reason = forkhead.Rejected, d.reason
		if d.reason == forkhead.NoReason {
			out.Reason = forkhead.Unsuitable
		}
		replica.countFailure(reasonText(out.Reason))
		c.notifyModule(out)
	case attempt.ReportConnectFailed:
		out.Result = forkhead.ConnectFailed
		replica.countFailure("no connection")
		c.notifyModule(out)
	case attempt.ReportWithdrawn:
		if before == attempt.InFlight && a.host.usable() && a.conn == a.host.connection.Conn {
			c.sendFrame(a.host, hostproto.Withdraw{Ref: a.ref})
		}
		out.Result = forkhead.Withdrawn
		if d.result != forkhead.OK {
			out.Result = d.result
		}
		replica.countFailure("no answer in time")
		c.notifyModule(out)
	case attempt.ReportLost:
		out.Result, out.Final = forkhead.Reset, wasPlaced
		c.notifyModule(out)
		if wasPlaced {
			c.status.Lost++
			c.handleLost(replica, a, retrypolicy.Lost)
		} else {
			replica.countFailure("the reply broke off")
		}
	case attempt.ReportEnded:
		out.Result, out.Reason, out.Final = d.result, d.reason, wasPlaced
		c.notifyModule(out)
		if wasPlaced {
			c.handleEnded(replica, a, d)
		} else {
			replica.countFailure("the start failed")
		}
	case attempt.ReportSettled:
		c.unblock(replica.taskKey)
	case attempt.Orphaned:
		c.handleOrphan(replica, a)
	case attempt.Reconnected:
		if replica.removing || replica.stopRequested {
			c.sendFrame(a.host, hostproto.Stop{Ref: a.ref, Grace: replica.stopGrace()})
		}
	case attempt.ProtocolViolation:
		c.closeForViolation(a.host, fmt.Sprintf("%v for an attempt that is %v", in, before))
	}
	c.forgetIfDone(request)
}

func reasonText(r forkhead.RejectReason) string {
	switch r {
	case forkhead.InsufficientCores:
		return "no cores"
	case forkhead.InsufficientMemory:
		return "no memory"
	case forkhead.QueueFull:
		return "its line of offers was full"
	}
	return "not here"
}

// countFailure counts why attempts came to nothing, for the reason that is told.
func (replica *desiredReplica) countFailure(why string) {
	if replica.failureCounts == nil {
		replica.failureCounts = map[string]int{}
	}
	replica.failureCounts[why]++
}

// handleOrphan settles an attempt that was given up and now shows that it holds its task: where its
// owner still wants the task and nothing else is out, it is taken as placed; else it is stopped.
func (c *Core) handleOrphan(replica *desiredReplica, a *taskAttempt) {
	wanted := !replica.removed && !replica.removing && (replica.state == awaitingRequest || replica.state == requesting)
	if !attempt.ShouldAdopt(wanted, replica.request != nil && replica.request.HasAttemptInFlight()) {
		c.sendFrame(a.host, hostproto.Stop{Ref: a.ref, Grace: replica.stopGrace()})
		return
	}
	h, ref, epoch, conn, made := a.host, a.ref, a.hostEpoch, a.conn, a.request.Rules
	c.handleAttempt(a, attempt.Adopted, attemptDetail{})
	if replica.state == placed { // settling it let another attempt go ahead
		c.sendFrame(h, hostproto.Stop{Ref: ref, Grace: replica.stopGrace()})
		return
	}
	c.adopt(replica, h, ref, epoch, conn, made)
}

// adopt takes a task that already runs as the placement of its wish. made are the rules of the class
// that it was started as: they go on holding for it where its owner has named another since.
func (c *Core) adopt(replica *desiredReplica, h *host, ref hostproto.Ref, epoch uint64, conn uint32, made attempt.Rules) {
	if replica.request != nil {
		c.cancelRequest(replica)
	}
	request := c.newRequest(replica)
	request.Answer, request.Rules = attempt.AnsweredPlaced, made
	request.Attempts = []attempt.Attempt{{Host: attempt.HostID(h.id), Phase: attempt.Placed, ChosenAt: c.now}}
	a := &taskAttempt{request: request, host: h, machineID: h.id, ref: ref, hostEpoch: epoch, conn: conn, running: true}
	request.attempts = []*taskAttempt{a}
	c.indexAttempt(a)
	if c.labels.nearCount > 0 {
		c.updateHostLabels()
	}
	c.persistAttempt(a)
	c.notifyModule(forkhead.HandedOver{Task: request.task, Machine: h.id})
	c.handleBound(replica, a)
}

// newRequest makes an ask of a wish, with a number of its own.
func (c *Core) newRequest(replica *desiredReplica) *placementRequest {
	for c.lastTaskID++; c.lastTaskID == 0 || c.requests[forkhead.TaskID(c.lastTaskID)] != nil; c.lastTaskID++ {
	}
	request := &placementRequest{id: forkhead.TaskID(c.lastTaskID), replica: replica}
	request.Rules = c.attemptRules(replica.class)
	request.task = forkhead.Task{
		ID: request.id, Key: replica.taskKey, Service: replica.service.key, Class: replica.class, Tenant: replica.tenant, RemainingLifetime: replica.spec.Life,
		Cores: replica.spec.Cores, Memory: replica.spec.Memory, Resubmitted: replica.retrier.Requests > 0 || replica.placements > 0, RequiredLabels: replica.service.requiredLabels,
	}
	for _, l := range replica.spec.Limits {
		tightenLimit(&request.task.SpreadLimits, spreadDomains[l.Place], l.Most)
	}
	if !replica.preferencesDropped {
		for _, p := range replica.spec.Preferences {
			tightenLimit(&request.task.SpreadLimits, spreadDomains[string(p)], c.evenShare(replica, spreadDomains[string(p)]))
		}
	}
	c.requests[request.id] = request
	return request
}

var spreadDomains = map[string]forkhead.Domain{"machine": forkhead.MachineDomain, "rack": forkhead.CellDomain, "zone": forkhead.ZoneDomain}

func tightenLimit(to *forkhead.SpreadLimits, place forkhead.Domain, most int) {
	if to[place] == 0 || most < to[place] {
		to[place] = most
	}
}

// evenShare is how many of a service's tasks come to one place when they are spread evenly.
func (c *Core) evenShare(replica *desiredReplica, place forkhead.Domain) int {
	found := map[int]bool{}
	for _, h := range c.hosts {
		if h.state() == forkhead.Ready && replica.service.requiredLabels&^h.labels == 0 {
			at := h.zone
			if place == forkhead.CellDomain {
				at = h.cell
			}
			found[at] = true
		}
	}
	n := max(len(found), 1)
	return max((len(replica.service.replicas)+n-1)/n, 1)
}
