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

// owner is one connection of an owner.
type owner struct {
	id     uint64
	lines  stream
	at     time.Duration // accepted
	usedAt time.Duration
	spoke  bool // it has sent a message that can be read
	bad    int  // malformed ones
	stands int  // tasks that came on it and stand
	placed int  // tasks that came on it and were placed or handed over, in all
	open   map[*request]struct{}
}

// stream cuts bytes into lines and knows since when a line has begun and not ended.
type stream struct {
	split platform.LineSplitter
	since time.Duration // 0: none has
}

func (s *stream) feed(now time.Duration, p []byte, line func([]byte) error) error {
	err := s.split.Feed(p, func(whole []byte) error {
		s.since = 0
		return line(whole)
	})
	switch {
	case !s.split.HasPartialLine():
		s.since = 0
	case s.since == 0:
		s.since = now
	}
	return err
}

// use ranks connections by what they have been good for: those of usual owners carry one task after the other, and
// what becomes of these is told on them.
func (o *owner) use() int {
	switch {
	case !o.spoke:
		return 0
	case o.placed == 0:
		return 1
	case o.stands == 0:
		return 2
	}
	return 3
}

// less says whether a is the first of two to go.
func (a *owner) less(b *owner) bool {
	return cmp.Or(cmp.Compare(a.use(), b.use()), cmp.Compare(a.usedAt, b.usedAt), cmp.Compare(a.id, b.id)) < 0
}

// accepted takes in a connection. Where there are too many, one that has said nothing goes, the oldest first, then one
// that nothing was placed for, then one that nothing stands for; where all others have an open request or a standing
// task, the new one goes. It guards against usual owners that are pushed out by hundreds who ask once and stay: what
// became of their tasks could then be told nowhere.
func (c *Core) accepted(id uint64) {
	full := len(c.owners) >= c.cfg.MaxOwnerConnections
	if !full && len(c.owners)+c.used() >= c.cfg.MaxConnections {
		l := c.spareLink(nil)
		if full = l == nil; !full {
			c.spare(l)
		}
	}
	if full {
		victim := c.spareOwner()
		if victim == nil {
			c.emit(CloseOwnerConnection{id})
			return
		}
		c.hangUp(victim)
	}
	c.owners[id] = &owner{id: id, at: c.now, usedAt: c.now, open: map[*request]struct{}{}}
}

// spareOwner is the connection of owners that is the first to go; nil: none may.
func (c *Core) spareOwner() *owner {
	var victim *owner
	for _, o := range c.owners {
		if len(o.open) == 0 && o.use() < 3 && (victim == nil || o.less(victim)) {
			victim = o
		}
	}
	return victim
}

// hangUp closes a connection. Its open requests, of which there should be none, are failed first.
func (c *Core) hangUp(o *owner) {
	for _, r := range c.openOf(o) {
		c.event(forkhead.RequestCanceled{Task: r.id})
		c.giveUpAll(r, forkhead.Withdrawn, true)
		c.answer(r.id, false, 0)
	}
	delete(c.owners, o.id)
	c.emit(CloseOwnerConnection{o.id})
}

// openOf lists the open requests of a connection in the order in which they came.
func (c *Core) openOf(o *owner) []*request {
	return slices.SortedFunc(maps.Keys(o.open), func(a, b *request) int { return cmp.Compare(a.id, b.id) })
}

// left is the end of a connection that its owner closed: nobody waits for what is open on it.
func (c *Core) left(o *owner) {
	delete(c.owners, o.id)
	for _, r := range c.openOf(o) {
		c.leave(r)
	}
}

// tell writes a line about a request to its owner: on the connection that it came on, else on the one that most tasks
// were placed for, else on the next that one is placed for.
// It returns whether one of the first two was there.
func (c *Core) tell(r *request, line []byte) bool {
	if c.owners[r.owner] != nil {
		c.emit(SendToOwner{r.owner, line})
		return true
	}
	var best *owner
	for _, o := range c.owners {
		if o.placed > 0 && o.bad == 0 && (best == nil || o.placed > best.placed || o.placed == best.placed && o.id < best.id) {
			best = o
		}
	}
	switch {
	case best != nil:
		c.emit(SendToOwner{best.id, line})
	case len(c.pending) < mostOwed:
		c.pending = append(c.pending, undelivered{r.ref, line, c.now + owedFor})
	}
	return best != nil
}

func (c *Core) ownerData(in OwnerData) {
	o := c.owners[in.Owner]
	if o == nil {
		return
	}
	err := o.lines.feed(c.now, in.Data, func(line []byte) error {
		if c.owners[o.id] == o && len(line) > 0 {
			c.ownerLine(o, line)
		}
		return nil
	})
	if err != nil && c.owners[o.id] == o {
		c.hangUp(o)
	}
}

func (c *Core) ownerLine(o *owner, line []byte) {
	m, err := platform.Decode(line)
	if err != nil {
		if m.Ref != "" && m.Type == platform.TypeRequest && c.refs[m.Ref] == nil {
			c.turnDown(o, m.Ref)
			return
		}
		c.hangUp(o)
		return
	}
	o.usedAt = c.now
	switch m.Type {
	case platform.TypeProbe:
		o.spoke = true
		well := platform.CauseUnhealthy
		if len(c.hosts) > 0 {
			well = platform.CauseHealthy
		}
		c.emit(SendToOwner{o.id, platform.Append(nil, platform.TypeProbeResult, m.Ref, well, nil)})
	case platform.TypeRequest:
		c.setUp(o, &m)
	case platform.TypeRelease:
		c.release(o, &m)
	case platform.TypeAck, platform.TypeProgress:
	default:
		c.hangUp(o)
	}
}

// stood counts a task that stands for the connection that it came on, and tells there what could not be told yet.
func (c *Core) stood(r *request) {
	o := c.owners[r.owner]
	if o == nil {
		return
	}
	o.stands++
	o.placed++
	for _, w := range c.pending {
		c.emit(SendToOwner{o.id, w.line})
	}
	c.pending = nil
}

// fell takes a standing task that is over off the count.
func (c *Core) fell(r *request) {
	if o := c.owners[r.owner]; o != nil {
		o.stands--
	}
}

// turnDown answers a set-up that cannot be taken. A connection that brings too many of them is closed.
func (c *Core) turnDown(o *owner, ref string) {
	c.emit(SendToOwner{o.id, platform.Append(nil, platform.TypeRelease, ref, platform.CauseFailed, nil)})
	if o.bad++; o.bad > mostBadLines {
		c.hangUp(o)
	}
}

// release takes a give-up of an open request, or the end of a standing task.
func (c *Core) release(o *owner, m *platform.Message) {
	r := c.refs[m.Ref]
	c.emit(SendToOwner{o.id, platform.Append(nil, platform.TypeAck, m.Ref, platform.NoCause, nil)})
	switch {
	case r == nil:
		if !o.spoke { // nothing that it could mean
			c.hangUp(o)
		}
	case r.phase == open:
		if r.owner == o.id {
			c.leave(r)
		}
	default:
		c.end(r)
	}
}

// setUp takes a set-up.
func (c *Core) setUp(o *owner, m *platform.Message) {
	task, at, ok := c.parse(m)
	if !ok {
		if r := c.refs[m.Ref]; r != nil && r.owner == o.id {
			c.hangUp(o) // an answer under this number would be one to the open request
			return
		}
		c.turnDown(o, m.Ref)
		return
	}
	digest := digestOf(m)
	if r := c.refs[m.Ref]; r != nil {
		switch {
		case at != "" && r.task.Key == task.Key && r.phase != over:
			// It names what stands here already, or what is about to: nothing is owed but its release, on this connection.
			// Guards against releasing a task that stands, as the set-up differs from the one that it was placed by.
			if o.spoke = true; r.phase == standing {
				c.fell(r)
				r.owner = o.id
				c.stood(r)
			}
		case r.digest == digest && (r.phase == open || r.phase == standing):
			// The same again: its connection was closed, or it is being closed.
			if r.phase == standing {
				c.fell(r)
				r.owner = o.id
				c.stood(r)
			} else if old := c.owners[r.owner]; old != nil {
				delete(old.open, r)
				o.open[r] = struct{}{}
			}
			r.owner, o.spoke = o.id, true
		case r.owner == o.id:
			c.hangUp(o)
		default:
			c.turnDown(o, m.Ref)
		}
		return
	}
	if at != "" {
		c.handedOver(o, m, task, at, digest)
		return
	}
	o.spoke = true
	if c.open >= mostOpen || len(o.open) >= mostOpenEach || c.stopAt > 0 && c.now > c.stopAt+stopListening {
		c.emit(SendToOwner{o.id, platform.Append(nil, platform.TypeRelease, m.Ref, platform.CauseBusy, nil)})
		return
	}
	r := c.request(o, m, task, digest)
	r.desc = m.Description
	r.fields = []platform.Field{
		{Name: platform.FieldClass, Raw: m.Fields[platform.FieldClass]}, {Name: platform.FieldTaskKey, Raw: m.Fields[platform.FieldTaskKey]},
	}
	if r.class.Effect == forkhead.Keyed {
		r.fields = append(r.fields, platform.Field{Name: platform.FieldIdempotencyKey, Raw: m.Fields[platform.FieldIdempotencyKey]})
	}
	c.open++
	o.open[r] = struct{}{}
	c.timers.Add(r.ask.Deadline, timer{id: uint64(r.id), deadline: true})
	c.event(forkhead.PlacementRequest{Task: r.task})
}

func (c *Core) request(o *owner, m *platform.Message, task forkhead.Task, digest uint64) *request {
	c.lastTask++
	task.ID = c.lastTask
	class := &c.set.Classes[task.Class]
	r := &request{id: task.ID, ref: m.Ref, owner: o.id, task: task, class: class, digest: digest}
	r.ask = attempt.Request{
		Rules: attempt.Rules{
			Effect: class.Effect, DedupDomain: class.DedupDomain, DedupWindow: class.DedupWindow, MaxAttempts: c.set.MaxAttempts, Parallel: c.set.ParallelAttempts,
		},
		Deadline: c.now + task.Timeout,
	}
	c.tasks[r.id], c.refs[r.ref] = r, r
	return r
}

// handedOver takes a task that a host holds already. One that is over by what its host or the list has said is released at
// once; a host that is not listed is waited for, as the list may be late.
func (c *Core) handedOver(o *owner, m *platform.Message, task forkhead.Task, at string, digest uint64) {
	number, ok := platform.HostNumber(at)
	h := c.hosts[number]
	if ok && h == nil {
		h = c.unlisted(number, at)
	}
	if !ok || h == nil || h.name != at {
		c.turnDown(o, m.Ref) // no such host can hold it
		return
	}
	over, cause := c.early(h, m.Ref)
	if h.entry.State == forkhead.Removed && c.now > h.goneAt+goneAfter {
		over, cause = true, platform.CauseReset
	}
	if over {
		o.spoke = true
		c.pending = slices.DeleteFunc(c.pending, func(w undelivered) bool { return w.ref == m.Ref })
		if cause != platform.CauseMigrated {
			c.emit(SendToOwner{o.id, platform.Append(nil, platform.TypeRelease, m.Ref, cause, nil)})
		}
		return
	}
	o.spoke = true
	for _, t := range h.tries {
		if t.req.task.Key == task.Key && t.phase() == attempt.Placed {
			c.logInfo(messageSecondHandOver, taskKeyAttr(task.Key), hostAttr(at), refAttr(m.Ref), slog.String(keyPlacedRef, t.req.ref))
		}
	}
	r := c.request(o, m, task, digest)
	r.phase = standing
	r.ask.Answer = attempt.AnsweredPlaced
	r.ask.Attempts = []attempt.Attempt{{Host: attempt.HostID(number), Phase: attempt.Placed, ChosenAt: c.now}}
	t := &try{req: r, host: h, at: c.now}
	r.tries = []*try{t}
	h.tries[r.ref] = t
	c.services[task.Service] = append(c.services[task.Service], t)
	c.stood(r)
	c.event(forkhead.HandedOver{Task: r.task, Machine: forkhead.MachineID(number)})
}

// parse reads what a set-up says of its task; at names the host that holds it already.
func (c *Core) parse(m *platform.Message) (t forkhead.Task, at string, ok bool) {
	if m.Description == nil {
		return t, "", false
	}
	class, _ := m.Text(platform.FieldClass)
	if t.Class = slices.Index(c.cfg.Names.Classes, class); t.Class < 0 {
		return t, "", false
	}
	if len(c.cfg.Names.Tenants) > 0 {
		tenant, _ := m.Text(platform.FieldTenant)
		if t.Tenant = slices.Index(c.cfg.Names.Tenants, tenant); t.Tenant < 0 {
			return t, "", false
		}
	}
	key, _ := m.Text(platform.FieldTaskKey)
	if t.Key, ok = hex(key); !ok {
		return t, "", false
	}
	if idem, _ := m.Text(platform.FieldIdempotencyKey); c.set.Classes[t.Class].Effect == forkhead.Keyed && idem == "" {
		return t, "", false
	}
	extras, _ := m.Text(platform.FieldExtras)
	seen := map[platform.Extra]bool{}
	for part := range strings.SplitSeq(extras, ";") {
		word, value, _ := strings.Cut(part, ":")
		name, good := platform.Extra(word), true
		switch name {
		case platform.ExtraCores:
			t.Cores, good = figure(value)
		case platform.ExtraMemory:
			t.Memory, good = figure(value)
		case platform.ExtraService:
			t.Service, good = hex(value)
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
	ms, good := figure(left)
	switch {
	case at != "" && !told:
	case !good || ms < 1 || ms > float64(mostWait/time.Millisecond):
		return t, "", false
	}
	t.Timeout = time.Duration(ms * float64(time.Millisecond))
	if hint, told := m.Text(platform.FieldLifetime); told {
		if ms, good := figure(hint); good && ms <= 1e12 {
			t.RemainingLifetime = time.Duration(ms * float64(time.Millisecond))
		}
	}
	return t, at, true
}

// hex reads a name of 16 hex digits.
func hex(s string) (uint64, bool) {
	n, err := strconv.ParseUint(s, 16, 64)
	return n, err == nil && len(s) <= 16
}

// figure reads a finite number from 0.
func figure(s string) (float64, bool) {
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && v >= 0 && v <= math.MaxFloat32
}

func digestOf(m *platform.Message) uint64 {
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

// halfSaid says whether an owner that has been heard is in the middle of a line: it is owed an answer once that is whole.
func (c *Core) halfSaid() bool {
	for _, o := range c.owners {
		if o.spoke && o.lines.since > 0 {
			return true
		}
	}
	return false
}

// tendOwners closes connections that have said nothing, or not ended a line, for too long.
func (c *Core) tendOwners() {
	var late []*owner
	for _, o := range c.owners {
		if o.lines.since > 0 && c.now > o.lines.since+wholeLine || !o.spoke && len(o.open) == 0 && c.now > o.at+sayFirst {
			late = append(late, o)
		}
	}
	slices.SortFunc(late, func(a, b *owner) int { return cmp.Compare(a.id, b.id) })
	for _, o := range late {
		c.hangUp(o)
	}
	for len(c.pending) > 0 && c.pending[0].by < c.now {
		c.pending = c.pending[1:]
	}
}
