package platform

import "forkhead/internal/protocol/platform"

func (c *Core) receiveFromOwner(input OwnerData) {
	owner := c.owners[input.Owner]
	if owner == nil {
		return
	}
	err := owner.reader.feed(c.now, input.Data, func(line []byte) error {
		if c.owners[owner.id] == owner && len(line) > 0 { // an earlier line may have closed it
			c.handleOwnerLine(owner, line)
		}
		return nil
	})
	if err != nil && c.owners[owner.id] == owner {
		c.closeOwner(owner)
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
	case platform.TypeAck, platform.TypeProgress:
	default:
		c.closeOwner(owner)
	}
}

// handleUnreadable rejects a request of which at least the ref can be read, and closes the connection for anything else.
func (c *Core) handleUnreadable(owner *ownerConnection, m *platform.Message) {
	ref := requestRef(m.Ref)
	if ref != "" && m.Type == platform.TypeRequest && c.requestsByRef[ref] == nil {
		c.rejectMalformed(owner, ref)
		return
	}
	c.closeOwner(owner)
}

// rejectMalformed answers a request that cannot be used. A connection that sends too many of them is closed.
func (c *Core) rejectMalformed(owner *ownerConnection, ref requestRef) {
	c.emit(SendToOwner{owner.id, releaseMessage(ref, platform.CauseFailed)})
	if owner.malformedRequests++; owner.malformedRequests > maxMalformedRequests {
		c.closeOwner(owner)
	}
}

// handleOwnerRelease handles the end of a placed task by its owner, on whatever connection it comes, or the cancellation of
// an open request, only on the request's own connection; elsewhere that is acked and nothing more.
func (c *Core) handleOwnerRelease(owner *ownerConnection, ref requestRef) {
	c.emit(SendToOwner{owner.id, ackMessage(ref)})
	r := c.requestsByRef[ref]
	switch {
	case r == nil:
		if !owner.sentValid { // there is nothing that it could mean
			c.closeOwner(owner)
		}
	case r.phase != requestOpen:
		c.beginStop(r)
	case r.owner == owner.id:
		c.cancelRequest(r)
	}
}

// handleRequest handles a placement request, or the hand-over of a task that runs already.
func (c *Core) handleRequest(owner *ownerConnection, m *platform.Message) {
	ref := requestRef(m.Ref)
	known := c.requestsByRef[ref]
	decoded, ok := c.decodeRequest(m)
	switch {
	case !ok && known != nil && known.owner == owner.id:
		c.closeOwner(owner) // an answer under this ref would be one to the known request
	case !ok:
		c.rejectMalformed(owner, ref)
	case known != nil:
		c.handleKnownRef(owner, known, decoded)
	case decoded.isHandOver():
		c.handleHandOver(owner, decoded)
	default:
		c.handleNewRequest(owner, decoded, m)
	}
}

func (c *Core) handleNewRequest(owner *ownerConnection, decoded *decodedRequest, m *platform.Message) {
	owner.sentValid = true
	if c.isBusy(owner) {
		c.emit(SendToOwner{owner.id, releaseMessage(decoded.ref, platform.CauseBusy)})
		return
	}
	c.openRequest(owner, decoded, m)
}

// handleKnownRef handles a request under the ref of one that is known.
func (c *Core) handleKnownRef(owner *ownerConnection, r *request, decoded *decodedRequest) {
	switch {
	case decoded.isHandOver() && r.task.Key == decoded.task.Key && r.phase != requestFinished:
		// It names a task that runs here already, or that is being placed: nothing is answered, and its release will be
		// sent on this connection. Guards against releasing a task that runs, as the hand-over differs from the request that it was
		// placed by.
		owner.sentValid = true
		if r.phase == requestPlaced {
			c.movePlaced(r, owner)
		}
	case r.digest == decoded.digest && (r.phase == requestOpen || r.phase == requestPlaced):
		c.moveRequest(r, owner) // the same again: its connection was closed, or is being closed
		owner.sentValid = true
	case r.owner == owner.id:
		c.closeOwner(owner)
	default:
		c.rejectMalformed(owner, decoded.ref)
	}
}

// moveRequest makes a connection the one that an open request is answered on, or that the release of its task is sent on.
func (c *Core) moveRequest(r *request, owner *ownerConnection) {
	if r.phase == requestPlaced {
		c.movePlaced(r, owner)
		return
	}
	if before := c.owners[r.owner]; before != nil { // always: a connection that ends takes its open requests along
		delete(before.openRequests, r)
		owner.openRequests[r] = struct{}{}
	}
	r.owner = owner.id
}
