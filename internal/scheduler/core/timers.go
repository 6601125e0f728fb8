package core

import (
	"time"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostconn"
)

// timerKind is the purpose of a timer. The comment on each kind says when a timer of that kind is due, and names in
// parentheses the fields of the timer that are set besides at and kind.
type timerKind uint8

const (
	timerModule                timerKind = iota // when a timer of the module is due (number: its ID in the module)
	timerRequestDeadline                        // at the deadline of a request (request)
	timerAttemptTimeout                         // at the timeout of an attempt, which the module sets (attempt)
	timerAttemptConnectTimeout                  // at an attempt's timeout for the connection to its host (attempt)
	timerRequest                                // when the next request for a replica is due (replica, number)
	timerOwnerDeadline                          // at the end of an owner's wait for an outcome (replica, number)
	timerReconnect                              // when the next attempt to connect to a host is due (host)
	timerHostConnectTimeout                     // at the timeout for the connection and handshake (host, number)
	timerLiveness                               // when the next check whether a host still sends is due (host, number)
	timerHostLost                               // once a host has been unreachable for LostAfter (host, number)
	timerProbeTimeout                           // at the timeout of a probe of a host (host, number)
	timerUpdate                                 // at the end of the delay between batches of an update (service)
	timerMonitorEnd                             // at the end of the monitoring of an updated replica (replica, number)
	timerSubmissionExpiry                       // at the end of the retention of a complete submission (none)
)

// timer is an action that is due at a time. A timer cannot be stopped; a handler compares its number with the current
// one to detect that it is no longer valid.
type timer struct {
	at      time.Duration
	kind    timerKind
	number  uint64 // a sequence number, or the ID of a connection, a probe or a timer of the module
	request *placementRequest
	attempt *taskAttempt
	replica *desiredReplica
	host    *host
	service *service
}

func (c *Core) addTimer(t *timer) { c.timers.Add(t.at, t) }

// handleDueTimers handles the timers that are due, except for the deadlines of requests, which it returns in order.
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
