package platform

import (
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
)

// An owner whose set-up crosses the end of its connection sends it once more, under the same ref, on a new connection. By
// then its request may be answered or canceled. What the answer was, or that the task may have run, is therefore
// remembered for resubmissionWindow.

// closedRequest is an answered or canceled request that its owner may send again.
type closedRequest struct {
	ref      requestRef
	digest   uint64
	owner    OwnerID // connection on which the answer was sent last, or on which the canceled request came
	answer   []byte  // nil: canceled
	size     int     // bytes of the answer with which it was added
	hasEnded bool    // the task was placed and has ended; answer is its release
	closedAt time.Duration
}

// closedRequests is a bounded set of requests that were closed a short time ago. Beyond maxClosedBytes or
// maxClosedRequests the oldest are forgotten.
type closedRequests struct {
	byRef map[requestRef]*closedRequest
	order []*closedRequest // oldest first; may hold requests that byRef has replaced
	bytes int              // sum of the sizes in order
}

func newClosedRequests() closedRequests {
	return closedRequests{byRef: map[requestRef]*closedRequest{}}
}

func (s *closedRequests) add(request *closedRequest) {
	s.byRef[request.ref] = request
	s.order = append(s.order, request)
	request.size = cap(request.answer)
	s.bytes += request.size
	for len(s.order) > maxClosedRequests || s.bytes > maxClosedBytes && len(s.order) > 1 {
		s.removeOldest()
	}
}

func (s *closedRequests) removeOldest() {
	oldest := s.order[0]
	s.order[0] = nil
	s.order = s.order[1:]
	s.bytes -= oldest.size
	if s.byRef[oldest.ref] == oldest {
		delete(s.byRef, oldest.ref)
	}
}

// expire forgets the requests that were closed before a time.
func (s *closedRequests) expire(before time.Duration) {
	for len(s.order) > 0 && s.order[0].closedAt < before {
		s.removeOldest()
	}
}

// rememberAnswered remembers a request that was answered as placed or failed on its connection. A rejected one never ran
// and may be sent again as a new request.
func (c *Core) rememberAnswered(r *request, answer []byte) {
	c.closed.add(&closedRequest{ref: r.ref, digest: r.digest, owner: r.owner, answer: answer, closedAt: c.now})
}

// rememberCanceled remembers a request that was canceled, if another attempt of it might repeat an effect.
func (c *Core) rememberCanceled(r *request) {
	if r.lifecycle.MayHaveRun() && !mayRepeatAnywhere(r.class) {
		c.closed.add(&closedRequest{ref: r.ref, digest: r.digest, owner: r.owner, closedAt: c.now})
	}
}

// mayRepeatAnywhere reports whether tasks of a class that may have run may be attempted again on any host.
func mayRepeatAnywhere(class *forkhead.Class) bool {
	return class.Effect == forkhead.Safe || class.Effect == forkhead.Keyed && class.DedupDomain == forkhead.AnyDomain
}

// rememberEnd replaces the remembered answer of a placed task that has ended by its release.
func (c *Core) rememberEnd(ref requestRef, release []byte) {
	if closed := c.closed.byRef[ref]; closed != nil && closed.answer != nil {
		closed.hasEnded, closed.answer = true, release
	}
}

// resubmitted returns the closed request that a request on a connection is a resubmission of, or nil.
func (c *Core) resubmitted(owner *ownerConnection, decoded *decodedRequest) *closedRequest {
	closed := c.closed.byRef[decoded.ref]
	if closed == nil || closed.digest != decoded.digest || closed.owner == owner.id {
		return nil
	}
	return closed
}

// handleResubmission answers a request that its owner sends again although it was closed. The answer goes out again on the
// connection that asks. A canceled request whose task may have run fails, as it may not be attempted again and its owner
// waits.
func (c *Core) handleResubmission(owner *ownerConnection, closed *closedRequest) {
	owner.recordRequest()
	if closed.answer == nil {
		c.logFailed(closed.ref, reasonMayHaveRun)
		closed.answer = releaseMessage(closed.ref, platform.CauseFailed)
	}
	if closed.hasEnded && c.deliveredReleases.contains(deliveredRelease{owner.id, closed.ref}) {
		return
	}
	c.sendAnswerAgain(owner, closed)
}

// sendAnswerAgain sends the answer of a closed request on another connection than before.
func (c *Core) sendAnswerAgain(owner *ownerConnection, closed *closedRequest) {
	closed.owner = owner.id
	c.emit(SendToOwner{owner.id, closed.answer})
}
