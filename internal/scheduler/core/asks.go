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

func (t *taskAttempt) phase() attempt.Phase { return t.request.Attempts[t.number].Phase }

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
func (c *Core) executeOffer(a forkhead.Offer) {
	k, h := c.requests[a.Task], c.hostsByID[a.Machine]
	if gone := c.canceledRequests[a.Task]; gone != nil {
		// The module ruled before it heard that nobody waits any more: that is no fault of its.
		c.reportNotSent(gone, a, true)
		return
	}
	if k == nil || h == nil {
		c.reportVeto(&invariant.Violation{Rule: invariant.OneAnswer, Reason: "no such ask or host"}, "offer of task %d to machine %d", a.Task, a.Machine)
		return
	}
	if c.repeatIsHarmful(k) {
		c.reportNotSent(k, a, false)
		return
	}
	v := invariant.CheckOffer(c.now, &invariant.Offer{
		Request: &k.Request, Task: &k.task, Class: &c.settings.Module.Classes[k.task.Class], To: h.forInvariants(), DrainGrace: c.settings.Module.DrainGrace,
		HostByID: func(id attempt.HostID) *invariant.Host {
			for _, t := range k.attempts { // also one that has left the list and is forgotten there
				if t != nil && t.machineID == forkhead.MachineID(id) {
					return t.host.forInvariants()
				}
			}
			if h := c.hostsByID[forkhead.MachineID(id)]; h != nil {
				return h.forInvariants()
			}
			return nil
		},
		ServiceHosts: c.otherLiveHosts(k.task.Service, nil),
	})
	if v != nil {
		c.reportVeto(v, "offer of %s to %s", k.replica.name, h.name)
		c.reportNotSent(k, a, false)
		return
	}
	t := &taskAttempt{request: k, number: k.AddOffer(c.now, attempt.HostID(h.id)), host: h, machineID: a.Machine}
	t.ref = hostproto.Ref{Epoch: c.epoch, Task: uint32(k.id), Attempt: uint8(t.number)}
	k.attempts = append(k.attempts, t)
	c.indexAttempt(t)
	c.status.Offers++
	k.replica.offerCount++
	if a.Timeout > 0 {
		c.addTimer(&timer{at: c.now + a.Timeout, kind: timerAttemptTimeout, attempt: t})
	}
	switch {
	case h.usable():
		c.sendOffer(t)
	case h.connection.State == hostconn.Down:
		c.handleAttempt(t, attempt.ConnectionLost, attemptDetail{})
	default:
		t.waitedForConn = true
		c.addTimer(&timer{at: c.now + c.settings.Module.ConnectTimeout, kind: timerAttemptConnectTimeout, attempt: t})
	}
}

// reportNotSent tells the module that an offer was not sent, and keeps the numbers of attempts in step with its own.
func (c *Core) reportNotSent(k *placementRequest, a forkhead.Offer, final bool) {
	n := k.AddUnsent(c.now, attempt.HostID(a.Machine))
	k.attempts = append(k.attempts, nil)
	c.notifyModule(forkhead.Outcome{Task: a.Task, Attempt: n, Machine: a.Machine, Result: forkhead.NotSent, Final: final})
}

// otherLiveHosts runs over the hosts of a service's live attempts but one.
func (c *Core) otherLiveHosts(service uint64, but *taskAttempt) func(yield func(*invariant.Host) bool) {
	return func(yield func(*invariant.Host) bool) {
		for _, t := range c.liveAttempts[service] {
			if t != but && !yield(t.host.forInvariants()) {
				return
			}
		}
	}
}

func (c *Core) indexAttempt(t *taskAttempt) {
	t.host.attempts[t.ref], c.attemptsByRef[t.ref] = t, t
	if t.phase().IsLive() {
		service := t.request.task.Service
		c.liveAttempts[service] = append(c.liveAttempts[service], t)
	}
}

// sendOffer sends an offer that waited for its connection, if it still may be sent.
func (c *Core) sendOffer(t *taskAttempt) {
	k, h := t.request, t.host
	if invariant.DrainGraceExpired(c.now, h.state(), h.drainingSince, c.settings.Module.DrainGrace) || k.MayWrite(c.now, t.number) != nil || c.repeatIsHarmful(k) {
		// Guards against a drain told between choosing and writing, and a wait that was too long.
		c.handleAttempt(t, attempt.ConnectionLost, attemptDetail{})
		return
	}
	if t.waitedForConn && (h.reportsDraining || invariant.CheckSpread(&invariant.Offer{
		Task: &k.task, Class: &c.settings.Module.Classes[k.task.Class], To: h.forInvariants(), ServiceHosts: c.otherLiveHosts(k.task.Service, t),
	}) != nil) {
		// Guards against tasks of an earlier life that turned up while this one waited for its
		// connection: they count against the spread, and the choice was made without them. And
		// against a host that greets as draining: it may have said so before it was forgotten.
		c.handleAttempt(t, attempt.ConnectionLost, attemptDetail{})
		return
	}
	t.hostEpoch, t.conn = h.connection.Epoch, h.connection.Conn
	c.handleAttempt(t, attempt.OfferWritten, attemptDetail{})
	w := k.replica
	c.persistAttempt(t)
	c.sendFrame(h, hostproto.Offer{
		Ref: t.ref, Wait: max(k.Deadline-c.now, time.Millisecond), Payload: w.spec.Payload, Spec: hostproto.Spec{
			Key: w.taskKey, Service: k.task.Service, Fingerprint: w.fingerprint, Name: w.name,
			Class: c.settings.Classes[w.class].Name, Tenant: w.spec.Tenant,
			Effect: uint8(k.Rules.Effect), Priority: uint8(c.settings.Module.Classes[w.class].Priority),
			Cores: thousandths(k.task.Cores), Memory: uint32(k.task.Memory*1024 + 0.5), Life: k.task.RemainingLifetime,
		},
	})
}

func thousandths(cores float64) uint32 { return uint32(cores*1000 + 0.5) }

// finishRequest carries out a Refuse or Fail.
func (c *Core) finishRequest(id forkhead.TaskID, refuse bool, retryAfter time.Duration) {
	k := c.requests[id]
	if c.canceledRequests[id] != nil {
		return
	}
	if k == nil {
		c.reportVeto(&invariant.Violation{Rule: invariant.OneAnswer, Reason: "no such ask"}, "answer to task %d", id)
		return
	}
	if k.Answer == attempt.Unanswered {
		c.abandonAttempts(k)
	}
	if v := invariant.CheckAnswer(&k.Request, refuse); v != nil {
		c.reportVeto(v, "answer to %s", k.replica.name)
		if v.Rule != invariant.NoRepeat {
			return
		}
		refuse = false
	}
	k.Finish(refuse)
	c.forgetIfDone(k)
	if w := k.replica; w.request == k {
		w.request = nil
		c.handleUnplaced(w, refuse, retryAfter)
	}
}

// abandonAttempts gives up the attempts of an ask that are out.
func (c *Core) abandonAttempts(k *placementRequest) {
	for _, t := range k.attempts {
		if t != nil && t.phase().IsInFlight() {
			c.handleAttempt(t, attempt.Abandoned, attemptDetail{})
		}
	}
}

// expireRequest ends an ask that the module has left open past its deadline. That is a defect: the
// module ends its asks just before.
func (c *Core) expireRequest(k *placementRequest) {
	if k.Answer != attempt.Unanswered || c.requests[k.id] != k {
		return
	}
	c.reportDefect("the ask for %s was left open at its deadline", k.replica.name)
	c.notifyModule(forkhead.RequestCanceled{Task: k.id})
	c.finishRequest(k.id, false, 0)
}

// cancelRequest takes an ask back from the module: nobody waits for it any more.
func (c *Core) cancelRequest(w *desiredReplica) {
	k := w.request
	if k == nil {
		return
	}
	w.request = nil
	c.canceledRequests[k.id] = k
	c.notifyModule(forkhead.RequestCanceled{Task: k.id})
	c.abandonAttempts(k)
	k.Finish(false)
	c.forgetIfDone(k)
}

// migrateTask carries out a Stop: the placed task is ended, and its owner asks anew.
func (c *Core) migrateTask(id forkhead.TaskID) {
	k := c.requests[id]
	if k == nil {
		return
	}
	for _, t := range k.attempts {
		if t != nil && t.phase() == attempt.Placed && !t.migrating && t.host.usable() {
			t.migrating = true
			c.status.Migrated++
			c.sendFrame(t.host, hostproto.Stop{Ref: t.ref, Grace: k.replica.stopGrace()})
		}
	}
}

func (w *desiredReplica) stopGrace() time.Duration {
	if w.spec == nil {
		return 0
	}
	return w.spec.StopGrace
}

// forgetIfDone drops an ask that is answered and whose attempts are all settled.
func (c *Core) forgetIfDone(k *placementRequest) {
	if k.IsDone() {
		delete(c.requests, k.id)
	}
}

// ---- Inputs of attempts.

// handleAttempt takes an handleAttempt to an attempt, keeps the indexes in step with its phase, and does what
// the machine says follows.
func (c *Core) handleAttempt(t *taskAttempt, in attempt.Input, d attemptDetail) {
	k, w := t.request, t.request.replica
	before := t.phase()
	effect := k.Handle(t.number, in)
	after := t.phase()
	if before.IsLive() && !after.IsLive() {
		left := slices.DeleteFunc(c.liveAttempts[k.task.Service], func(o *taskAttempt) bool { return o == t })
		if c.liveAttempts[k.task.Service] = left; len(left) == 0 {
			delete(c.liveAttempts, k.task.Service)
		}
	} else if !before.IsLive() && after.IsLive() {
		c.liveAttempts[k.task.Service] = append(c.liveAttempts[k.task.Service], t)
	}
	if after.IsSettled() && !before.IsSettled() {
		delete(t.host.attempts, t.ref)
		delete(c.attemptsByRef, t.ref)
		if t.persisted {
			c.persist(durable.AttemptResolved{Ref: t.ref})
		}
	}
	if after == attempt.Unknown && before != after {
		if c.unknownAttempts[w.taskKey] == nil {
			c.unknownAttempts[w.taskKey] = map[*taskAttempt]bool{}
		}
		c.unknownAttempts[w.taskKey][t] = true
	} else if before == attempt.Unknown && before != after {
		if delete(c.unknownAttempts[w.taskKey], t); len(c.unknownAttempts[w.taskKey]) == 0 {
			delete(c.unknownAttempts, w.taskKey)
		}
	}
	if c.labels.nearCount > 0 && (before == attempt.Placed) != (after == attempt.Placed) {
		c.updateHostLabels() // others may have to be beside it
	}
	out := forkhead.Outcome{Task: k.id, Attempt: t.number, Machine: t.machineID, Took: c.now - k.Attempts[t.number].ChosenAt, Report: d.report}
	wasPlaced := before == attempt.Placed || before == attempt.Unreachable
	switch effect {
	case attempt.ReportBound:
		c.notifyModule(forkhead.Bound{Task: k.id, Attempt: t.number, Machine: t.machineID, Took: out.Took})
		t.running = c.settings.Module.BoundWhenRunning
		c.handleBound(w, t)
	case attempt.ReportRejected:
		out.Result, out.Reason = forkhead.Rejected, d.reason
		if d.reason == forkhead.NoReason {
			out.Reason = forkhead.Unsuitable
		}
		w.countFailure(reasonText(out.Reason))
		c.notifyModule(out)
	case attempt.ReportConnectFailed:
		out.Result = forkhead.ConnectFailed
		w.countFailure("no connection")
		c.notifyModule(out)
	case attempt.ReportWithdrawn:
		if before == attempt.InFlight && t.host.usable() && t.conn == t.host.connection.Conn {
			c.sendFrame(t.host, hostproto.Withdraw{Ref: t.ref})
		}
		out.Result = forkhead.Withdrawn
		if d.result != forkhead.OK {
			out.Result = d.result
		}
		w.countFailure("no answer in time")
		c.notifyModule(out)
	case attempt.ReportLost:
		out.Result, out.Final = forkhead.Reset, wasPlaced
		c.notifyModule(out)
		if wasPlaced {
			c.status.Lost++
			c.handleLost(w, t, retrypolicy.Lost)
		} else {
			w.countFailure("the reply broke off")
		}
	case attempt.ReportEnded:
		out.Result, out.Reason, out.Final = d.result, d.reason, wasPlaced
		c.notifyModule(out)
		if wasPlaced {
			c.handleEnded(w, t, d)
		} else {
			w.countFailure("the start failed")
		}
	case attempt.ReportSettled:
		c.unblock(w.taskKey)
	case attempt.Orphaned:
		c.handleOrphan(w, t)
	case attempt.Reconnected:
		if w.removing || w.stopRequested {
			c.sendFrame(t.host, hostproto.Stop{Ref: t.ref, Grace: w.stopGrace()})
		}
	case attempt.ProtocolViolation:
		c.closeForViolation(t.host, fmt.Sprintf("%v for an attempt that is %v", in, before))
	}
	c.forgetIfDone(k)
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
func (w *desiredReplica) countFailure(why string) {
	if w.failureCounts == nil {
		w.failureCounts = map[string]int{}
	}
	w.failureCounts[why]++
}

// handleOrphan settles an attempt that was given up and now shows that it holds its task: where its
// owner still wants the task and nothing else is out, it is taken as placed; else it is stopped.
func (c *Core) handleOrphan(w *desiredReplica, t *taskAttempt) {
	wanted := !w.removed && !w.removing && (w.state == awaitingRequest || w.state == requesting)
	if !attempt.ShouldAdopt(wanted, w.request != nil && w.request.HasAttemptInFlight()) {
		c.sendFrame(t.host, hostproto.Stop{Ref: t.ref, Grace: w.stopGrace()})
		return
	}
	h, ref, epoch, conn, made := t.host, t.ref, t.hostEpoch, t.conn, t.request.Rules
	c.handleAttempt(t, attempt.Adopted, attemptDetail{})
	if w.state == placed { // settling it let another attempt go ahead
		c.sendFrame(h, hostproto.Stop{Ref: ref, Grace: w.stopGrace()})
		return
	}
	c.adopt(w, h, ref, epoch, conn, made)
}

// adopt takes a task that already runs as the placement of its wish. made are the rules of the class
// that it was started as: they go on holding for it where its owner has named another since.
func (c *Core) adopt(w *desiredReplica, h *host, ref hostproto.Ref, epoch uint64, conn uint32, made attempt.Rules) {
	if w.request != nil {
		c.cancelRequest(w)
	}
	k := c.newRequest(w)
	k.Answer, k.Rules = attempt.AnsweredPlaced, made
	k.Attempts = []attempt.Attempt{{Host: attempt.HostID(h.id), Phase: attempt.Placed, ChosenAt: c.now}}
	t := &taskAttempt{request: k, host: h, machineID: h.id, ref: ref, hostEpoch: epoch, conn: conn, running: true}
	k.attempts = []*taskAttempt{t}
	c.indexAttempt(t)
	if c.labels.nearCount > 0 {
		c.updateHostLabels()
	}
	c.persistAttempt(t)
	c.notifyModule(forkhead.HandedOver{Task: k.task, Machine: h.id})
	c.handleBound(w, t)
}

// newRequest makes an ask of a wish, with a number of its own.
func (c *Core) newRequest(w *desiredReplica) *placementRequest {
	for c.lastTaskID++; c.lastTaskID == 0 || c.requests[forkhead.TaskID(c.lastTaskID)] != nil; c.lastTaskID++ {
	}
	k := &placementRequest{id: forkhead.TaskID(c.lastTaskID), replica: w}
	k.Rules = c.attemptRules(w.class)
	k.task = forkhead.Task{
		ID: k.id, Key: w.taskKey, Service: w.service.key, Class: w.class, Tenant: w.tenant, RemainingLifetime: w.spec.Life,
		Cores: w.spec.Cores, Memory: w.spec.Memory, Resubmitted: w.retrier.Requests > 0 || w.placements > 0, RequiredLabels: w.service.requiredLabels,
	}
	for _, l := range w.spec.Limits {
		tightenLimit(&k.task.SpreadLimits, spreadDomains[l.Place], l.Most)
	}
	if !w.preferencesDropped {
		for _, p := range w.spec.Preferences {
			tightenLimit(&k.task.SpreadLimits, spreadDomains[string(p)], c.evenShare(w, spreadDomains[string(p)]))
		}
	}
	c.requests[k.id] = k
	return k
}

var spreadDomains = map[string]forkhead.Domain{"machine": forkhead.MachineDomain, "rack": forkhead.CellDomain, "zone": forkhead.ZoneDomain}

func tightenLimit(to *forkhead.SpreadLimits, place forkhead.Domain, most int) {
	if to[place] == 0 || most < to[place] {
		to[place] = most
	}
}

// evenShare is how many of a service's tasks come to one place when they are spread evenly.
func (c *Core) evenShare(w *desiredReplica, place forkhead.Domain) int {
	found := map[int]bool{}
	for _, h := range c.hosts {
		if h.state() == forkhead.Ready && w.service.requiredLabels&^h.labels == 0 {
			at := h.zone
			if place == forkhead.CellDomain {
				at = h.cell
			}
			found[at] = true
		}
	}
	n := max(len(found), 1)
	return max((len(w.service.replicas)+n-1)/n, 1)
}
