package core

import (
	"time"

	"forkhead"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostconn"
	"forkhead/internal/scheduler/invariant"
)

// executeOffer starts an attempt for an Offer of the module, unless that would break an invariant.
func (c *Core) executeOffer(action forkhead.Offer) {
	if request := c.canceledRequests[action.Task]; request != nil {
		// The module decided before it was notified of the cancellation, so this is not a fault.
		c.reportNotSent(request, action, true)
		return
	}
	request, h := c.requests[action.Task], c.hostsByID[action.Machine]
	if request == nil || h == nil {
		// The module is not notified of an outcome. If the request is known and only the host is not, the module
		// therefore continues to count the attempt as in flight.
		violation := &invariant.Violation{Rule: invariant.OneAnswer, Reason: "no such ask or host"}
		c.reportVeto(violation, "offer of task %d to machine %d", action.Task, action.Machine)
		return
	}
	if c.repeatIsHarmful(request) {
		c.reportNotSent(request, action, false)
		return
	}
	if v := c.checkOffer(request, h); v != nil {
		c.reportVeto(v, "offer of %s to %s", request.replica.name, h.name)
		c.reportNotSent(request, action, false)
		return
	}
	a := c.startAttempt(request, h, action)
	switch {
	case h.isConnectedAndSynced():
		c.sendOffer(a)
	case h.connection.State == hostconn.Down:
		c.handleAttempt(a, attempt.ConnectionLost, attemptDetail{})
	default:
		a.waitedForConn = true
		c.addTimer(&timer{at: c.now + c.settings.Module.ConnectTimeout, kind: timerAttemptConnectTimeout, attempt: a})
	}
}

// checkOffer returns the violation that an offer of a request to a host would be, or nil.
func (c *Core) checkOffer(request *placementRequest, h *host) *invariant.Violation {
	return invariant.CheckOffer(c.now, &invariant.Offer{
		SpreadCheck: c.spreadCheck(&request.task, h, nil),
		Request:     &request.Request,
		DrainGrace:  c.settings.Module.DrainGrace,
		HostByID: func(id attempt.HostID) *invariant.Host {
			// The host of an earlier attempt may be missing in hostsByID, if it has left the endpoint list.
			for _, a := range request.attempts {
				if a != nil && a.machineID == forkhead.MachineID(id) {
					return a.host.forInvariants()
				}
			}
			if h := c.hostsByID[forkhead.MachineID(id)]; h != nil {
				return h.forInvariants()
			}
			return nil
		},
	})
}

// spreadCheck returns the input for the check of an offer of a task to a host against the spread limits. The parameter
// sending is the attempt that is about to be sent, which does not count against the limits, or nil.
func (c *Core) spreadCheck(task *forkhead.Task, h *host, sending *taskAttempt) invariant.SpreadCheck {
	return invariant.SpreadCheck{
		Task:         task,
		Class:        &c.settings.Module.Classes[task.Class],
		To:           h.forInvariants(),
		ServiceHosts: c.liveAttempts.Hosts(task.Service, sending),
	}
}

// exceedsSpread reports whether an attempt would exceed a spread limit of its service if it were sent now.
func (c *Core) exceedsSpread(a *taskAttempt) bool {
	check := c.spreadCheck(&a.request.task, a.host, a)
	return invariant.CheckSpread(&check) != nil
}

// startAttempt adds an attempt for an offer. The caller sends the offer.
func (c *Core) startAttempt(request *placementRequest, h *host, action forkhead.Offer) *taskAttempt {
	number := request.AddOffer(c.now, attempt.HostID(h.id))
	a := &taskAttempt{
		request:   request,
		number:    number,
		host:      h,
		machineID: action.Machine,
		ref:       hostproto.Ref{Epoch: c.epoch, Task: uint32(request.id), Attempt: uint8(number)},

		fingerprint: request.replica.fingerprint,
	}
	request.attempts = append(request.attempts, a)
	c.addAttempt(a)
	c.status.Offers++
	request.replica.offerCount++
	if action.Timeout > 0 {
		c.addTimer(&timer{at: c.now + action.Timeout, kind: timerAttemptTimeout, attempt: a})
	}
	return a
}

// reportNotSent notifies the module that an offer was not sent. The offer still uses up an attempt number, as the
// module has counted it.
func (c *Core) reportNotSent(request *placementRequest, action forkhead.Offer, final bool) {
	number := request.AddUnsent(c.now, attempt.HostID(action.Machine))
	request.attempts = append(request.attempts, nil)
	c.notifyModule(forkhead.Outcome{
		Task: action.Task, Attempt: number, Machine: action.Machine, Result: forkhead.NotSent, Final: final,
	})
}

// sendOffer sends an attempt's offer to its host, which is connected and synced, unless mayStillSend forbids it.
func (c *Core) sendOffer(a *taskAttempt) {
	if !c.mayStillSend(a) {
		c.handleAttempt(a, attempt.ConnectionLost, attemptDetail{})
		return
	}
	a.hostEpoch, a.conn = a.host.connection.Epoch, a.host.connection.Conn
	c.handleAttempt(a, attempt.OfferWritten, attemptDetail{})
	c.persistAttempt(a)
	c.sendFrame(a.host, c.offerFrame(a))
}

// mayStillSend reports whether a waiting attempt may still be sent. It checks the attempt again, since conditions may
// have changed while it waited for its connection.
func (c *Core) mayStillSend(a *taskAttempt) bool {
	h := a.host
	// The host may have started to drain after it was chosen, and its drain grace may have passed during the wait.
	if invariant.DrainGraceExpired(c.now, h.state(), h.drainingSince, c.settings.Module.DrainGrace) {
		return false
	}
	if a.request.MayWrite(c.now, a.number) != nil || c.repeatIsHarmful(a.request) {
		return false
	}
	// While the attempt waited, tasks of an earlier incarnation may have been found on hosts: they count against the
	// spread limits, but the module chose the host without counting them. The host may also have reported in the
	// handshake that it drains. The module did not know of the drain if this placer had forgotten the host, and with it
	// an earlier report of the drain.
	return !a.waitedForConn || !h.reportsDraining && !c.exceedsSpread(a)
}

func (c *Core) offerFrame(a *taskAttempt) hostproto.Offer {
	request, r := a.request, a.request.replica
	return hostproto.Offer{
		Ref:     a.ref,
		Wait:    max(request.Deadline-c.now, time.Millisecond),
		Payload: r.spec.Payload,
		Spec: hostproto.Spec{
			Key:         r.taskKey,
			Service:     request.task.Service,
			Fingerprint: r.fingerprint,
			Name:        r.name,
			Class:       c.settings.Classes[r.class].Name,
			Tenant:      r.spec.Tenant,
			Effect:      uint8(request.Rules.Effect),
			Priority:    uint8(c.settings.Module.Classes[r.class].Priority),
			Cores:       toMillicores(request.task.Cores),
			Memory:      toMebibytes(request.task.Memory),
			Life:        request.task.RemainingLifetime,
		},
	}
}

func toMillicores(cores float64) uint32 { return uint32(cores*1000 + 0.5) }

func toMebibytes(gibibytes float64) uint32 { return uint32(gibibytes*1024 + 0.5) }
