package core

import (
	"time"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostconn"
)

// timerKind is the purpose of a timer. It determines which of the timer's fields are set, as listed beside each kind.
type timerKind uint8

const (
	timerModule                timerKind = iota // number: a timer that the module set
	timerRequestDeadline                        // request: its deadline has passed
	timerAttemptTimeout                         // attempt: its timeout, set by the module, has passed without an answer
	timerAttemptConnectTimeout                  // attempt: its host is still not connected
	timerRequest                                // replica, number: its next request is due
	timerOwnerDeadline                          // replica, number: its owner's wait for an outcome ends
	timerReconnect                              // host: the next attempt to connect is due
	timerHostConnectTimeout                     // host, number: connecting and the handshake took too long
	timerLiveness                               // host, number: check whether it still sends
	timerHostLost                               // host, number: it has been unreachable for LostAfter
	timerProbeTimeout                           // host, number: a probe has not been answered in time
	timerUpdate                                 // service: the delay between batches of its update is over
	timerMonitorEnd                             // replica, number: its update's monitoring time is over
	timerSubmissionExpiry                       // complete submissions may have to be removed
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
