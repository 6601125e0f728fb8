package core

import (
	"time"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostconn"
)

// timerKind is what a timer is for, which determines which of its fields are set.
type timerKind uint8

const (
	timerModule                timerKind = iota // number: the module's own timer
	timerRequestDeadline                        // request: its deadline has passed
	timerAttemptTimeout                         // attempt: unanswered for too long
	timerAttemptConnectTimeout                  // attempt: its host is still not connected
	timerRequest                                // replica, number: request it again
	timerOwnerDeadline                          // replica, number: its owner waits no longer
	timerReconnect                              // host: dial it again
	timerHostConnectTimeout                     // host, number: connecting takes too long
	timerLiveness                               // host, number: check that it still sends
	timerHostLost                               // host, number: unreachable for so long that it counts as lost
	timerProbeTimeout                           // host, number: a probe is unanswered
	timerUpdate                                 // service: its update goes on
	timerMonitorEnd                             // replica, number: it has run for as long as its update monitors it
	timerSubmissionExpiry                       // complete submissions are removed
)

// timer is something to do at a time. It cannot be stopped: number distinguishes a timer that still counts from one that does not.
type timer struct {
	at      time.Duration
	kind    timerKind
	number  uint64 // a sequence number, or the number of a connection or probe
	request *placementRequest
	attempt *taskAttempt
	replica *desiredReplica
	host    *host
	service *service
}

func (c *Core) addTimer(t *timer) { c.timers.Add(t.at, t) }

// handleDueTimers handles the timers that are due but for the deadlines of requests, which it returns in order.
func (c *Core) handleDueTimers() (requestDeadlines []*timer) {
	for t := range c.timers.Due(c.now) {
		if t.kind == timerRequestDeadline {
			requestDeadlines = append(requestDeadlines, t)
			continue
		}
		c.handleTimer(t)
	}
	return requestDeadlines
}

func (c *Core) handleTimer(t *timer) {
	switch t.kind {
	case timerModule:
		c.notifyModule(forkhead.TimerFired{Timer: t.number})
	case timerRequestDeadline:
		c.expireRequest(t.request)
	case timerAttemptTimeout:
		c.handleAttemptTimeout(t.attempt)
	case timerAttemptConnectTimeout:
		c.handleAttemptConnectTimeout(t.attempt)
	case timerRequest:
		c.handleRequestTimer(t.replica, t.number)
	case timerOwnerDeadline:
		c.handleOwnerDeadline(t.replica, t.number)
	case timerReconnect:
		c.handleConnection(t.host, hostconn.Input{Kind: hostconn.RetryDue})
	case timerHostConnectTimeout:
		c.handleConnection(t.host, hostconn.Input{Kind: hostconn.ConnectTimedOut, Conn: uint32(t.number)})
	case timerLiveness:
		c.checkLiveness(t.host, uint32(t.number))
	case timerHostLost:
		c.expireUnreachable(t.host, t.number)
	case timerProbeTimeout:
		c.handleProbeTimeout(t.host, uint32(t.number))
	case timerUpdate:
		c.continueUpdate(t.service)
	case timerMonitorEnd:
		c.handleMonitorEnd(t.replica, t.number)
	case timerSubmissionExpiry:
		c.expireSubmissions()
	}
}

func (c *Core) handleAttemptTimeout(a *taskAttempt) {
	if a.phase().IsInFlight() {
		c.handleAttempt(a, attempt.Abandoned, attemptDetail{result: forkhead.TimedOut})
	}
}

func (c *Core) handleAttemptConnectTimeout(a *taskAttempt) {
	if a.phase() == attempt.Waiting {
		c.handleAttempt(a, attempt.ConnectionLost, attemptDetail{})
	}
}

func (c *Core) handleRequestTimer(r *desiredReplica, number uint64) {
	if r.requestTimerSeq == number {
		c.requestNow(r)
	}
}

func (c *Core) handleMonitorEnd(r *desiredReplica, number uint64) {
	if r.monitorTimerSeq == number {
		c.reportUpdateResult(r, true)
	}
}
