package noderules

import (
	"fmt"
	"math"
	"slices"
	"time"

	"forkhead/internal/emulator/platformmodel"
	"forkhead/internal/protocol/platform"
)

// orphanLimit is the time from the notice of a task's end until the task may no longer run at its host, if the host can
// be reached.
const orphanLimit = 10 * time.Second

// request is one submission of a request by an owner.
type request struct {
	ref          string
	report       *platformmodel.RequestReport
	class        Class
	key          string // idempotency key; "": none
	placer       int
	owner        int
	conn         platformmodel.ConnID          // connection on which it was submitted
	sentAt       time.Duration                 // when the submission was written; 0: not yet
	usedConns    map[platformmodel.ConnID]bool // connections on which it was submitted or its task handed over
	lostConn     bool                          // one of these connections has ended
	releasedOn   map[platformmodel.ConnID]bool // connections on which a release of its task came
	handedOverAt time.Duration                 // when its latest hand-over was written; 0: never
	departedAt   time.Duration                 // when the owner withdrew, released or left it; 0: not yet
	answeredAt   time.Duration                 // when the first answer came; 0: not yet
	placed       bool                          // the first answer says that the task runs
	releasedAt   time.Duration                 // when the first release after that answer came; 0: not yet
	endedAt      time.Duration                 // when its running task ended at its host; 0: it runs, or never ran
	mayHaveRun   bool                          // a host has received an offer and has not rejected it
}

func (r *request) service() uint64        { return r.report.Request.Service }
func (r *request) timeout() time.Duration { return r.report.Request.Timeout }

// handleAtOwner applies an entry that concerns an owner.
func (c *checker) handleAtOwner(e *entry) {
	if e.Fault == platformmodel.FaultNotReading && (e.Event == platformmodel.RecordFaultBegan || e.Event == platformmodel.RecordFaultEnded) {
		c.ownerReads(e)
		return
	}
	switch e.direction {
	case writtenByParty:
		c.handleWrittenByOwner(e)
	case receivedByParty:
		if r := c.requests[e.message.Ref]; r != nil {
			c.handleReceivedByOwner(r, e)
		}
	}
	if e.Event == platformmodel.RecordClosedByPlacer || e.Event == platformmodel.RecordClosedByEmulator {
		c.handleOwnerClosed(e)
	}
}

func (c *checker) handleWrittenByOwner(e *entry) {
	r := c.requests[e.message.Ref]
	if r == nil {
		return
	}
	extras, _ := e.message.Text(platform.FieldExtras)
	switch {
	case e.message.Type == platform.TypeRelease:
		r.depart(e.At)
	case e.message.Type == platform.TypeRequest && isHandOver(extras):
		r.handedOverAt, r.usedConns[e.Conn] = e.At, true
	case e.message.Type == platform.TypeRequest:
		r.sentAt, r.conn, r.departedAt, r.owner = e.At, e.Conn, 0, e.Party.Number
		r.usedConns[e.Conn] = true
	}
}

func (r *request) depart(at time.Duration) {
	if r.departedAt == 0 {
		r.departedAt = at
	}
}

// handleReceivedByOwner checks a message to an owner: a request gets one answer, and one release if the answer says that
// the task runs.
func (c *checker) handleReceivedByOwner(r *request, e *entry) {
	switch e.message.Type {
	case platform.TypeBound:
		if r.answeredAt > 0 && r.departedAt == 0 {
			c.breach(e, RuleAnswer, "the owner receives a second answer")
		}
		if r.answeredAt == 0 {
			r.answeredAt, r.placed = e.At, true
		}
	case platform.TypeRelease, platform.TypeMigrate:
		c.handleReleaseToOwner(r, e)
	}
}

// handleReleaseToOwner checks a release or a migration that an owner receives.
func (c *checker) handleReleaseToOwner(r *request, e *entry) {
	isOwn := e.Party.Number == r.owner
	isCopy := r.mayBeCopied(e.Conn)
	switch {
	case isOwn && r.answeredAt == 0:
		r.answeredAt = e.At
		return
	case isOwn && r.placed && r.releasedAt == 0:
		r.releasedAt = e.At
	case !isOwn && !isCopy:
		c.breach(e, RuleAnswer, "owner %d receives a message about a request of owner %d, whose connection is open", e.Party.Number, r.owner)
	case r.departedAt == 0 && !isCopy:
		c.breach(e, RuleAnswer, "the owner receives a message after the end of the request")
	}
	r.releasedOn[e.Conn] = true
}

// mayBeCopied reports whether a release of a request's task may come on a connection besides others. If a connection of the
// request has ended, the placer cannot tell which connection is the owner's, as all owners connect from one address. The
// release may then come once on each.
func (r *request) mayBeCopied(on platformmodel.ConnID) bool {
	return r.placed && r.lostConn && !r.releasedOn[on]
}

// ownerReads records the spans in which a fault keeps an owner from reading.
func (c *checker) ownerReads(e *entry) {
	if e.Event == platformmodel.RecordFaultBegan {
		c.notReading[e.Party.Number] = append(c.notReading[e.Party.Number], Stall{From: e.At, To: math.MaxInt64})
		return
	}
	spans := c.notReading[e.Party.Number]
	spans[len(spans)-1].To = e.At + backlogTime
}

// handleOwnerClosed handles the end of an owner's connection, which ends its unanswered requests. If the placer closed
// it, they are lost.
func (c *checker) handleOwnerClosed(e *entry) {
	for _, ref := range c.refs {
		r := c.requests[ref]
		r.lostConn = r.lostConn || r.usedConns[e.Conn]
		if r.conn != e.Conn || r.sentAt == 0 || r.answeredAt > 0 || r.departedAt > 0 {
			continue
		}
		r.departedAt = e.At
		if e.Event == platformmodel.RecordClosedByPlacer && !c.wasStalled(r.placer, r.sentAt, e.At) && !c.endedInShutdown(r, e.At) {
			c.breachAt(e.At, r, "the placer closes the owner's connection without an answer to what came %v before", e.At-r.sentAt)
		}
	}
}

// endedInShutdown reports whether a placer may leave a request unanswered whose connection it closes, as it shuts down.
func (c *checker) endedInShutdown(r *request, closedAt time.Duration) bool {
	for _, s := range c.cfg.Shutdowns {
		if s.Placer != r.placer || closedAt < s.RequestedAt || closedAt > s.EndedAt+backlogTime {
			continue
		}
		crossed := closedAt <= r.sentAt+crossingSlack
		return crossed || s.Killed && r.sentAt <= s.RequestedAt+lastRequestAt
	}
	return false
}

// wasStalled reports whether a placer could not act at some time within a span.
func (c *checker) wasStalled(placer int, from, to time.Duration) bool {
	return slices.ContainsFunc(c.cfg.Stalls, func(s Stall) bool { return s.Placer == placer && s.overlaps(from, to) })
}

func (s *Stall) overlaps(from, to time.Duration) bool { return s.From <= to && s.To >= from }

// couldNotRead reports whether a fault kept the owner of a request from reading at some time within a span.
func (c *checker) couldNotRead(r *request, from, to time.Duration) bool {
	return slices.ContainsFunc(c.notReading[r.owner], func(s Stall) bool { return s.overlaps(from, to) })
}

// checkRequests checks, at the end of the run, that each request was answered in time and that owners were notified of
// the ends of their tasks.
func (c *checker) checkRequests() {
	for _, ref := range c.refs {
		r := c.requests[ref]
		if r.sentAt > 0 {
			c.checkAnswered(r)
		}
		if r.placed && r.endedAt > 0 {
			c.checkEndNotified(r)
		}
	}
	c.checkOrphans()
}

func (c *checker) checkAnswered(r *request) {
	due := r.sentAt + r.timeout() + answerSlack + limitSlack
	isLate := r.answeredAt > due || r.answeredAt == 0 && c.lastAt > due
	leftBefore := r.departedAt > 0 && r.departedAt < due
	if isLate && !leftBefore && !c.wasStalled(r.placer, r.sentAt, due) && !c.couldNotRead(r, r.sentAt, due) {
		c.breachAt(due, r, "no answer within the owner's time; answered at %v", r.answeredAt)
	}
}

func (c *checker) checkEndNotified(r *request) {
	due := r.endedAt + noticeLimit + limitSlack
	isNotified := r.releasedAt > 0 && r.releasedAt <= due || r.departedAt > 0 && r.departedAt <= due
	if c.lastAt > due && !isNotified && !c.wasStalled(r.placer, r.endedAt, due) && !c.couldNotRead(r, r.endedAt, due) {
		c.breachAt(due, r, "its task ended at %v and its owner was notified at %v", r.endedAt, r.releasedAt)
	}
}

// breachAt records a breach of RuleAnswer that was found at the end of the run.
func (c *checker) breachAt(at time.Duration, r *request, format string, args ...any) {
	c.breaches = append(c.breaches, Breach{at, RuleAnswer, r.ref, fmt.Sprintf(format, args...)})
}

// checkOrphans checks that hosts run no task whose owner was notified of its end long ago by the placer's current
// incarnation.
func (c *checker) checkOrphans() {
	for _, number := range c.hostNumbers {
		if c.hasRecentFault(number) {
			continue
		}
		for _, t := range c.hosts[number].tasks {
			r := t.request
			if t.running && r.releasedAt > 0 && c.lastAt > r.releasedAt+orphanLimit && t.offeredAt >= c.placerStartedAt[t.placer] {
				c.breachAt(r.releasedAt, r, "host %d runs the task at the end of the run, and its owner was notified of its end at %v", number, r.releasedAt)
			}
		}
	}
}

// hasRecentFault reports whether a fault of a host began or ended within orphanLimit before the end of the run, or still kept
// placers from reaching the host then.
func (c *checker) hasRecentFault(host int) bool {
	at, had := c.lastFaultAt[host]
	return had && c.lastAt < at+orphanLimit || c.hosts[host].unreachable > 0
}
