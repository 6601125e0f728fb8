package platform

import (
	"cmp"
	"hash/fnv"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/protocol/platform"
	"forkhead/internal/scheduler/attempt"
)

// ownerConnection is one connection of an ownerConnection.
type ownerConnection struct {
	id           uint64
	lines        lineReader
	acceptedAt   time.Duration // accepted
	lastUsedAt   time.Duration
	sentValid    bool // it has sent a message that can be read
	malformed    int  // malformed ones
	placedNow    int  // tasks that came on it and stand
	placedTotal  int  // tasks that came on it and were placed or handed over, in all
	openRequests map[*request]struct{}
}

// lineReader cuts bytes into lines and knows since when a line has begun and not ended.
type lineReader struct {
	splitter     platform.LineSplitter
	partialSince time.Duration // 0: none has
}

func (s *lineReader) feed(now time.Duration, p []byte, line func([]byte) error) error {
	err := s.splitter.Feed(p, func(whole []byte) error {
		s.partialSince = 0
		return line(whole)
	})
	switch {
	case !s.splitter.HasPartialLine():
		s.partialSince = 0
	case s.partialSince == 0:
		s.partialSince = now
	}
	return err
}

// usefulness ranks connections by what they have been good for: those of usual owners carry one task after the other, and
// what becomes of these is told on them.
func (o *ownerConnection) usefulness() int {
	switch {
	case !o.sentValid:
		return 0
	case o.placedTotal == 0:
		return 1
	case o.placedNow == 0:
		return 2
	}
	return 3
}

// isEvictedBefore says whether a is the first of two to go.
func (a *ownerConnection) isEvictedBefore(b *ownerConnection) bool {
	return cmp.Or(cmp.Compare(a.usefulness(), b.usefulness()), cmp.Compare(a.lastUsedAt, b.lastUsedAt), cmp.Compare(a.id, b.id)) < 0
}

// ownerConnected takes in a connection. Where there are too many, one that has said nothing goes, the oldest first, then one
// that nothing was placed for, then one that nothing stands for; where all others have an open request or a standing
// task, the new one goes. It guards against usual owners that are pushed out by hundreds who ask once and stay: what
// became of their tasks could then be told nowhere.
func (c *Core) ownerConnected(id uint64) {
	full := len(c.owners) >= c.config.MaxOwnerConnections
	if !full && len(c.owners)+c.usedHostConnections() >= c.config.MaxConnections {
		l := c.evictionCandidate(nil)
		if full = l == nil; !full {
			c.evictHostConnection(l)
		}
	}
	if full {
		victim := c.ownerEvictionCandidate()
		if victim == nil {
			c.emit(CloseOwnerConnection{id})
			return
		}
		c.closeOwner(victim)
	}
	c.owners[id] = &ownerConnection{id: id, acceptedAt: c.now, lastUsedAt: c.now, openRequests: map[*request]struct{}{}}
}

// ownerEvictionCandidate is the connection of owners that is the first to go; nil: none may.
func (c *Core) ownerEvictionCandidate() *ownerConnection {
	var victim *ownerConnection
	for _, o := range c.owners {
		if len(o.openRequests) == 0 && o.usefulness() < 3 && (victim == nil || o.isEvictedBefore(victim)) {
			victim = o
		}
	}
	return victim
}

// closeOwner closes a connection. Its open requests, of which there should be none, are failed first.
func (c *Core) closeOwner(o *ownerConnection) {
	for _, r := range c.openRequestsOf(o) {
		c.notifyModule(forkhead.RequestCanceled{Task: r.id})
		c.withdrawAll(r, forkhead.Withdrawn, true)
		c.answer(r.id, false, 0)
	}
	delete(c.owners, o.id)
	c.emit(CloseOwnerConnection{o.id})
}

// openRequestsOf lists the open requests of a connection in the order in which they came.
func (c *Core) openRequestsOf(o *ownerConnection) []*request {
	return slices.SortedFunc(maps.Keys(o.openRequests), func(a, b *request) int { return cmp.Compare(a.id, b.id) })
}

// ownerDisconnected is the end of a connection that its owner closed: nobody waits for what is open on it.
func (c *Core) ownerDisconnected(o *ownerConnection) {
	delete(c.owners, o.id)
	for _, r := range c.openRequestsOf(o) {
		c.cancelRequest(r)
	}
}

// notifyOwner writes a line about a request to its owner: on the connection that it came on, else on the one that most tasks
// were placed for, else on the next that one is placed for.
// It returns whether one of the first two was there.
func (c *Core) notifyOwner(r *request, line []byte) bool {
	if c.owners[r.owner] != nil {
		c.emit(SendToOwner{r.owner, line})
		return true
	}
	var best *ownerConnection
	for _, o := range c.owners {
		if o.placedTotal > 0 && o.malformed == 0 && (best == nil || o.placedTotal > best.placedTotal || o.placedTotal == best.placedTotal && o.id < best.id) {
			best = o
		}
	}
	switch {
	case best != nil:
		c.emit(SendToOwner{best.id, line})
	case len(c.undelivered) < maxUndelivered:
		c.undelivered = append(c.undelivered, undeliveredMessage{r.ref, line, c.now + undeliveredTimeout})
	}
	return best != nil
}

func (c *Core) receiveFromOwner(in OwnerData) {
	o := c.owners[in.Owner]
	if o == nil {
		return
	}
	err := o.lines.feed(c.now, in.Data, func(line []byte) error {
		if c.owners[o.id] == o && len(line) > 0 {
			c.handleOwnerMessage(o, line)
		}
		return nil
	})
	if err != nil && c.owners[o.id] == o {
		c.closeOwner(o)
	}
}

func (c *Core) handleOwnerMessage(o *ownerConnection, line []byte) {
	m, err := platform.Decode(line)
	if err != nil {
		if m.Ref != "" && m.Type == platform.TypeRequest && c.requestsByRef[m.Ref] == nil {
			c.rejectMalformed(o, m.Ref)
			return
		}
		c.closeOwner(o)
		return
	}
	o.lastUsedAt = c.now
	switch m.Type {
	case platform.TypeProbe:
		o.sentValid = true
		well := platform.CauseUnhealthy
		if len(c.hosts) > 0 {
			well = platform.CauseHealthy
		}
		c.emit(SendToOwner{o.id, platform.Append(nil, platform.TypeProbeResult, m.Ref, well, nil)})
	case platform.TypeRequest:
		c.handleRequest(o, &m)
	case platform.TypeRelease:
		c.handleOwnerRelease(o, &m)
	case platform.TypeAck, platform.TypeProgress:
	default:
		c.closeOwner(o)
	}
}

// countPlaced counts a task that stands for the connection that it came on, and tells there what could not be told yet.
func (c *Core) countPlaced(r *request) {
	o := c.owners[r.owner]
	if o == nil {
		return
	}
	o.placedNow++
	o.placedTotal++
	for _, w := range c.undelivered {
		c.emit(SendToOwner{o.id, w.line})
	}
	c.undelivered = nil
}

// uncountPlaced takes a standing task that is over off the count.
func (c *Core) uncountPlaced(r *request) {
	if o := c.owners[r.owner]; o != nil {
		o.placedNow--
	}
}

// rejectMalformed answers a set-up that cannot be taken. A connection that brings too many of them is closed.
func (c *Core) rejectMalformed(o *ownerConnection, ref string) {
	c.emit(SendToOwner{o.id, platform.Append(nil, platform.TypeRelease, ref, platform.CauseFailed, nil)})
	if o.malformed++; o.malformed > maxMalformedRequests {
		c.closeOwner(o)
	}
}

// handleOwnerRelease takes a give-up of an open request, or the end of a standing task.
func (c *Core) handleOwnerRelease(o *ownerConnection, m *platform.Message) {
	r := c.requestsByRef[m.Ref]
	c.emit(SendToOwner{o.id, platform.Append(nil, platform.TypeAck, m.Ref, platform.NoCause, nil)})
	switch {
	case r == nil:
		if !o.sentValid { // nothing that it could mean
			c.closeOwner(o)
		}
	case r.phase == requestOpen:
		if r.owner == o.id {
			c.cancelRequest(r)
		}
	default:
		c.endTask(r)
	}
}

// handleRequest takes a set-up.
func (c *Core) handleRequest(o *ownerConnection, m *platform.Message) {
	task, at, ok := c.decodeTask(m)
	if !ok {
		if r := c.requestsByRef[m.Ref]; r != nil && r.owner == o.id {
			c.closeOwner(o) // an answer under this number would be one to the open request
			return
		}
		c.rejectMalformed(o, m.Ref)
		return
	}
	digest := requestDigest(m)
	if r := c.requestsByRef[m.Ref]; r != nil {
		switch {
		case at != "" && r.task.Key == task.Key && r.phase != requestOver:
			// It names what stands here already, or what is about to: nothing is owed but its release, on this connection.
			// Guards against releasing a task that stands, as the set-up differs from the one that it was placed by.
			if o.sentValid = true; r.phase == requestPlaced {
				c.uncountPlaced(r)
				r.owner = o.id
				c.countPlaced(r)
			}
		case r.digest == digest && (r.phase == requestOpen || r.phase == requestPlaced):
			// The same again: its connection was closed, or it is being closed.
			if r.phase == requestPlaced {
				c.uncountPlaced(r)
				r.owner = o.id
				c.countPlaced(r)
			} else if old := c.owners[r.owner]; old != nil {
				delete(old.openRequests, r)
				o.openRequests[r] = struct{}{}
			}
			r.owner, o.sentValid = o.id, true
		case r.owner == o.id:
			c.closeOwner(o)
		default:
			c.rejectMalformed(o, m.Ref)
		}
		return
	}
	if at != "" {
		c.handleHandOver(o, m, task, at, digest)
		return
	}
	o.sentValid = true
	if c.unanswered >= maxOpenRequests || len(o.openRequests) >= maxOpenRequestsPerOwner || c.shutdownAt > 0 && c.now > c.shutdownAt+listenAfterShutdown {
		c.emit(SendToOwner{o.id, platform.Append(nil, platform.TypeRelease, m.Ref, platform.CauseBusy, nil)})
		return
	}
	r := c.newRequest(o, m, task, digest)
	r.description = m.Description
	r.hostFields = []platform.Field{
		{Name: platform.FieldClass, Raw: m.Fields[platform.FieldClass]}, {Name: platform.FieldTaskKey, Raw: m.Fields[platform.FieldTaskKey]},
	}
	if r.class.Effect == forkhead.Keyed {
		r.hostFields = append(r.hostFields, platform.Field{Name: platform.FieldIdempotencyKey, Raw: m.Fields[platform.FieldIdempotencyKey]})
	}
	c.unanswered++
	o.openRequests[r] = struct{}{}
	c.timers.Add(r.lifecycle.Deadline, timer{id: uint64(r.id), deadline: true})
	c.notifyModule(forkhead.PlacementRequest{Task: r.task})
}

func (c *Core) newRequest(o *ownerConnection, m *platform.Message, task forkhead.Task, digest uint64) *request {
	c.lastTask++
	task.ID = c.lastTask
	class := &c.settings.Classes[task.Class]
	r := &request{id: task.ID, ref: m.Ref, owner: o.id, task: task, class: class, digest: digest}
	r.lifecycle = attempt.Request{
		Rules: attempt.Rules{
			Effect: class.Effect, DedupDomain: class.DedupDomain, DedupWindow: class.DedupWindow, MaxAttempts: c.settings.MaxAttempts, Parallel: c.settings.ParallelAttempts,
		},
		Deadline: c.now + task.Timeout,
	}
	c.requests[r.id], c.requestsByRef[r.ref] = r, r
	return r
}

// handleHandOver takes a task that a host holds already. One that is over by what its host or the list has said is released at
// once; a host that is not listed is waited for, as the list may be late.
func (c *Core) handleHandOver(o *ownerConnection, m *platform.Message, task forkhead.Task, at string, digest uint64) {
	number, ok := platform.HostNumber(at)
	h := c.hosts[number]
	if ok && h == nil {
		h = c.addUnlistedHost(number, at)
	}
	if !ok || h == nil || h.name != at {
		c.rejectMalformed(o, m.Ref) // no such host can hold it
		return
	}
	over, cause := c.endReportedEarly(h, m.Ref)
	if h.entry.State == forkhead.Removed && c.now > h.removedAt+removedGrace {
		over, cause = true, platform.CauseReset
	}
	if over {
		o.sentValid = true
		c.undelivered = slices.DeleteFunc(c.undelivered, func(w undeliveredMessage) bool { return w.ref == m.Ref })
		if cause != platform.CauseMigrated {
			c.emit(SendToOwner{o.id, platform.Append(nil, platform.TypeRelease, m.Ref, cause, nil)})
		}
		return
	}
	o.sentValid = true
	for _, t := range h.attempts {
		if t.request.task.Key == task.Key && t.phase() == attempt.Placed {
			c.logInfo(messageSecondHandOver, taskKeyAttr(task.Key), hostAttr(at), refAttr(m.Ref), slog.String(keyPlacedRef, t.request.ref))
		}
	}
	r := c.newRequest(o, m, task, digest)
	r.phase = requestPlaced
	r.lifecycle.Answer = attempt.AnsweredPlaced
	r.lifecycle.Attempts = []attempt.Attempt{{Host: attempt.HostID(number), Phase: attempt.Placed, ChosenAt: c.now}}
	t := &taskAttempt{request: r, host: h, sentAt: c.now}
	r.attempts = []*taskAttempt{t}
	h.attempts[r.ref] = t
	c.attemptsByService[task.Service] = append(c.attemptsByService[task.Service], t)
	c.countPlaced(r)
	c.notifyModule(forkhead.HandedOver{Task: r.task, Machine: forkhead.MachineID(number)})
}

// decodeTask reads what a set-up says of its task; at names the host that holds it already.
func (c *Core) decodeTask(m *platform.Message) (t forkhead.Task, at string, ok bool) {
	if m.Description == nil {
		return t, "", false
	}
	class, _ := m.Text(platform.FieldClass)
	if t.Class = slices.Index(c.config.Names.Classes, class); t.Class < 0 {
		return t, "", false
	}
	if len(c.config.Names.Tenants) > 0 {
		tenant, _ := m.Text(platform.FieldTenant)
		if t.Tenant = slices.Index(c.config.Names.Tenants, tenant); t.Tenant < 0 {
			return t, "", false
		}
	}
	key, _ := m.Text(platform.FieldTaskKey)
	if t.Key, ok = parseHex(key); !ok {
		return t, "", false
	}
	if idem, _ := m.Text(platform.FieldIdempotencyKey); c.settings.Classes[t.Class].Effect == forkhead.Keyed && idem == "" {
		return t, "", false
	}
	extras, _ := m.Text(platform.FieldExtras)
	seen := map[platform.Extra]bool{}
	for part := range strings.SplitSeq(extras, ";") {
		word, value, _ := strings.Cut(part, ":")
		name, good := platform.Extra(word), true
		switch name {
		case platform.ExtraCores:
			t.Cores, good = parseNumber(value)
		case platform.ExtraMemory:
			t.Memory, good = parseNumber(value)
		case platform.ExtraService:
			t.Service, good = parseHex(value)
		case platform.ExtraResubmitted:
			t.Resubmitted = value != "0"
		case platform.ExtraHost:
			at, good = value, value != ""
		}
		if !good || seen[name] {
			return t, "", false
		}
		seen[name] = true
	}
	if !seen[platform.ExtraCores] || !seen[platform.ExtraMemory] || !seen[platform.ExtraService] {
		return t, "", false
	}
	left, told := m.Text(platform.FieldTimeout)
	ms, good := parseNumber(left)
	switch {
	case at != "" && !told:
	case !good || ms < 1 || ms > float64(maxRequestWait/time.Millisecond):
		return t, "", false
	}
	t.Timeout = time.Duration(ms * float64(time.Millisecond))
	if hint, told := m.Text(platform.FieldLifetime); told {
		if ms, good := parseNumber(hint); good && ms <= 1e12 {
			t.RemainingLifetime = time.Duration(ms * float64(time.Millisecond))
		}
	}
	return t, at, true
}

// parseHex reads a name of 16 parseHex digits.
func parseHex(s string) (uint64, bool) {
	n, err := strconv.ParseUint(s, 16, 64)
	return n, err == nil && len(s) <= 16
}

// parseNumber reads a finite number from 0.
func parseNumber(s string) (float64, bool) {
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && v >= 0 && v <= math.MaxFloat32
}

func requestDigest(m *platform.Message) uint64 {
	h := fnv.New64a()
	h.Write(m.Description)
	for _, name := range []platform.FieldName{
		platform.FieldClass, platform.FieldTenant, platform.FieldTaskKey, platform.FieldIdempotencyKey, platform.FieldExtras,
	} {
		h.Write([]byte{0})
		h.Write(m.Fields[name])
	}
	return h.Sum64()
}

// hasPartialRequest says whether an owner that has been heard is in the middle of a line: it is owed an answer once that is whole.
func (c *Core) hasPartialRequest() bool {
	for _, o := range c.owners {
		if o.sentValid && o.lines.partialSince > 0 {
			return true
		}
	}
	return false
}

// reconcileOwners closes connections that have said nothing, or not ended a line, for too long.
func (c *Core) reconcileOwners() {
	var late []*ownerConnection
	for _, o := range c.owners {
		if o.lines.partialSince > 0 && c.now > o.lines.partialSince+ownerLineTimeout || !o.sentValid && len(o.openRequests) == 0 && c.now > o.acceptedAt+firstMessageTimeout {
			late = append(late, o)
		}
	}
	slices.SortFunc(late, func(a, b *ownerConnection) int { return cmp.Compare(a.id, b.id) })
	for _, o := range late {
		c.closeOwner(o)
	}
	for len(c.undelivered) > 0 && c.undelivered[0].by < c.now {
		c.undelivered = c.undelivered[1:]
	}
}
