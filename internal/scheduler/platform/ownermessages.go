package platform

import "forkhead/internal/protocol/platform"

func (c *Core) receiveFromOwner(input OwnerData) {
	owner := c.owners[input.Owner]
	if owner == nil {
		return
	}
	if input.OwnerLeft && !owner.left {
		c.ownerLeft(owner)
	}
	owner.dataAge = input.Age
	err := owner.reader.feed(c.now, input.Data, func(line []byte) error {
		if c.owners[owner.id] == owner && len(line) > 0 { // an earlier line may have closed the connection
			c.handleOwnerLine(owner, line)
		}
		return nil
	})
	if err != nil && c.owners[owner.id] == owner {
		c.closeOwner(owner, reasonUnusableMessage)
	}
}

func (c *Core) handleOwnerLine(owner *ownerConnection, line []byte) {
	m, err := platform.Decode(line)
	if err != nil {
		c.handleUnreadable(owner, &m)
		return
	}
	owner.lastUsedAt = c.now
	switch m.Type {
	case platform.TypeProbe:
		owner.sentValid = true
		c.emit(SendToOwner{owner.id, probeResultMessage(requestRef(m.Ref), len(c.hosts) > 0)})
	case platform.TypeRequest:
		c.handleRequest(owner, &m)
	case platform.TypeRelease:
		c.handleOwnerRelease(owner, requestRef(m.Ref))
	case platform.TypeAck:
		owner.removeNotice(requestRef(m.Ref))
	case platform.TypeProgress:
	default:
		c.closeOwner(owner, reasonUnusableMessage)
	}
}

// handleUnreadable handles a message that cannot be decoded. It rejects a request with a readable and unused ref, and
// closes the connection otherwise.
func (c *Core) handleUnreadable(owner *ownerConnection, m *platform.Message) {
	ref := requestRef(m.Ref)
	if ref != "" && m.Type == platform.TypeRequest && c.requestsByRef[ref] == nil {
		c.rejectMalformed(owner, ref)
		return
	}
	c.closeOwner(owner, reasonUnusableMessage)
}

// rejectMalformed answers a malformed request. A connection that sends too many of them is closed.
func (c *Core) rejectMalformed(owner *ownerConnection, ref requestRef) {
	c.logRejected(ref, reasonMalformed)
	c.emit(SendToOwner{owner.id, releaseMessage(ref, platform.CauseFailed)})
	if owner.malformedRequests++; owner.malformedRequests > maxMalformedRequests {
		c.closeOwner(owner, reasonTooManyInvalid)
	}
}

// handleOwnerRelease handles an owner's release. It ends a placed task, whichever connection the release comes on. It
// cancels an open request only on that request's own connection; on another one, it is acked and otherwise ignored.
func (c *Core) handleOwnerRelease(owner *ownerConnection, ref requestRef) {
	c.emit(SendToOwner{owner.id, ackMessage(ref)})
	r := c.requestsByRef[ref]
	switch {
	case r == nil:
		if !owner.sentValid { // a release of an unknown ref is not valid as the first message of a connection
			c.closeOwner(owner, reasonUnusableMessage)
		}
	case r.phase != requestOpen:
		c.beginStop(r)
	case r.owner == owner.id:
		c.cancelRequest(r)
	}
}

// handleRequest handles a placement request or the hand-over of a task that already runs.
func (c *Core) handleRequest(owner *ownerConnection, m *platform.Message) {
	ref := requestRef(m.Ref)
	known := c.requestsByRef[ref]
	decoded, ok := c.decodeRequest(m)
	var closed *closedRequest
	if ok && known == nil {
		closed = c.resubmitted(owner, decoded)
	}
	switch {
	case !ok && known != nil && known.owner == owner.id:
		c.closeOwner(owner, reasonRefInUse) // the owner would take a rejection under this ref as the answer to the known request
	case !ok:
		c.rejectMalformed(owner, ref)
	case known != nil:
		c.handleKnownRef(owner, known, decoded)
	case decoded.isHandOver():
		c.handleHandOver(owner, decoded)
	case closed != nil:
		c.handleResubmission(owner, closed)
	default:
		c.handleNewRequest(owner, decoded, m)
	}
}

func (c *Core) handleNewRequest(owner *ownerConnection, decoded *decodedRequest, m *platform.Message) {
	owner.recordRequest()
	if owner.left {
		return // nobody waits for an answer
	}
	decoded.task.Timeout -= owner.dataAge
	fields := forwardedFields(m, c.settings.Classes[decoded.task.Class].Effect)
	switch {
	case c.isBusy(owner, requestSize(m.Description, fields)):
		c.rejectBusy(owner, decoded.ref, reasonBusy)
	case decoded.task.Timeout < minRequestTimeout:
		c.rejectBusy(owner, decoded.ref, reasonNoTimeLeft)
	default:
		c.openRequest(owner, decoded, m.Description, fields)
	}
}

func (c *Core) rejectBusy(owner *ownerConnection, ref requestRef, reason logReason) {
	c.logRejected(ref, reason)
	c.emit(SendToOwner{owner.id, releaseMessage(ref, platform.CauseBusy)})
}

// handleKnownRef handles a request or hand-over whose ref belongs to a known request.
func (c *Core) handleKnownRef(owner *ownerConnection, r *request, decoded *decodedRequest) {
	isSameHandOver := decoded.isHandOver() && r.task.Key == decoded.task.Key
	switch {
	case isSameHandOver && r.phase == requestFinished: // the task has ended in this step, and r is not removed yet
		c.handleHandOver(owner, decoded)
	case isSameHandOver:
		// A hand-over of a task that this placer has placed or is placing is not answered. The release of a placed task
		// moves to this connection. The digest is not compared: a hand-over differs from the request that placed the
		// task, and rejecting it would release a running task.
		owner.recordRequest()
		if r.phase == requestPlaced {
			c.movePlaced(r, owner)
		}
	case r.digest == decoded.digest && (r.phase == requestOpen || r.phase == requestPlaced):
		c.moveRequest(r, owner) // the owner resubmits the request, as its earlier connection was closed or is being closed
		if closed := c.resubmitted(owner, decoded); closed != nil {
			c.sendAnswerAgain(owner, closed)
		}
		owner.recordRequest()
	case r.owner == owner.id:
		c.closeOwner(owner, reasonRefInUse)
	default:
		c.rejectMalformed(owner, decoded.ref)
	}
}

// moveRequest moves a request to another connection, on which it will be answered or the release of its task will be
// sent.
func (c *Core) moveRequest(r *request, owner *ownerConnection) {
	if r.phase == requestPlaced {
		c.movePlaced(r, owner)
		return
	}
	if before := c.owners[r.owner]; before != nil { // always true: when a connection ends, its open requests end too
		before.removeOpen(r)
		owner.addOpen(r)
	}
	r.setOwner(owner)
}
