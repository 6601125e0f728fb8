package core

import (
	"fmt"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/durable"
	"forkhead/internal/scheduler/hostconn"
	"forkhead/internal/scheduler/invariant"
	"forkhead/internal/scheduler/retrypolicy"
)

// ask is one arrival of a task at the module.
type ask struct {
	attempt.Request
	id    forkhead.TaskID
	task  forkhead.Task
	wish  *wish
	tries []*try // by number; nil where nothing was sent
}

// try is one attempt: what the machine of package attempt rules over, and where it is.
type try struct {
	ask       *ask
	number    int
	host      *host
	machine   forkhead.MachineID // as the module named it
	ref       hostproto.Ref
	hostEpoch uint64 // the host's life in which it was written
	conn      uint32 // the connection on which it was written
	runs      bool
	noted     bool // so that a later life knows of it
	waited    bool // for its host's connection
	moving    bool // stopped by the module, to be placed anew
}

func (t *try) phase() attempt.Phase { return t.ask.Attempts[t.number].Phase }

// detail is what comes with an input beside it.
type detail struct {
	result forkhead.Result
	reason forkhead.RejectReason
	report *forkhead.LoadReport
}

func ending(f hostproto.Ended) detail {
	d := detail{report: report(f.Report)}
	switch f.Result {
	case hostproto.Done:
		d.result = forkhead.OK
	case hostproto.Failed, hostproto.Forgotten:
		d.result = forkhead.Errored
	case hostproto.Evicted:
		d.result, d.reason = forkhead.Reset, forkhead.Evicted
	case hostproto.PushedOut:
		d.result, d.reason = forkhead.Reset, forkhead.Preempted
	case hostproto.SentAway:
		d.result, d.reason = forkhead.Reset, forkhead.Dismissed
	case hostproto.Stopped, hostproto.Called:
		d.result = forkhead.Withdrawn
	}
	return d
}

// ---- The module's actions on asks.

func (c *Core) rules(class int) attempt.Rules {
	m := &c.set.Module
	k := &m.Classes[class]
	return attempt.Rules{
		Effect: k.Effect, DedupDomain: k.DedupDomain, DedupWindow: k.DedupWindow, MaxAttempts: m.MaxAttempts, Parallel: m.ParallelAttempts,
	}
}

// offer carries out an Offer, if the guard lets it through.
func (c *Core) offer(a forkhead.Offer) {
	k, h := c.asks[a.Task], c.byID[a.Machine]
	if gone := c.left[a.Task]; gone != nil {
		// The module ruled before it heard that nobody waits any more: that is no fault of its.
		c.skip(gone, a, true)
		return
	}
	if k == nil || h == nil {
		c.veto(&invariant.Violation{Rule: invariant.OneAnswer, Reason: "no such ask or host"}, "offer of task %d to machine %d", a.Task, a.Machine)
		return
	}
	if c.harmful(k) {
		c.skip(k, a, false)
		return
	}
	v := invariant.CheckOffer(c.now, &invariant.Offer{
		Request: &k.Request, Task: &k.task, Class: &c.set.Module.Classes[k.task.Class], To: h.guard(), DrainGrace: c.set.Module.DrainGrace,
		HostByID: func(id attempt.HostID) *invariant.Host {
			for _, t := range k.tries { // also one that has left the list and is forgotten there
				if t != nil && t.machine == forkhead.MachineID(id) {
					return t.host.guard()
				}
			}
			if h := c.byID[forkhead.MachineID(id)]; h != nil {
				return h.guard()
			}
			return nil
		},
		ServiceHosts: c.others(k.task.Service, nil),
	})
	if v != nil {
		c.veto(v, "offer of %s to %s", k.wish.name, h.name)
		c.skip(k, a, false)
		return
	}
	t := &try{ask: k, number: k.AddOffer(c.now, attempt.HostID(h.id)), host: h, machine: a.Machine}
	t.ref = hostproto.Ref{Epoch: c.epoch, Task: uint32(k.id), Attempt: uint8(t.number)}
	k.tries = append(k.tries, t)
	c.index(t)
	c.stat.Offers++
	k.wish.offers++
	if a.Timeout > 0 {
		c.at(&timer{at: c.now + a.Timeout, kind: timerCap, try: t})
	}
	switch {
	case h.usable():
		c.write(t)
	case h.link.State == hostconn.Down:
		c.input(t, attempt.ConnectionLost, detail{})
	default:
		t.waited = true
		c.at(&timer{at: c.now + c.set.Module.ConnectTimeout, kind: timerConnect, try: t})
	}
}

// skip tells the module that an offer was not sent, and keeps the numbers of attempts in step with its own.
func (c *Core) skip(k *ask, a forkhead.Offer, final bool) {
	n := k.AddUnsent(c.now, attempt.HostID(a.Machine))
	k.tries = append(k.tries, nil)
	c.tell(forkhead.Outcome{Task: a.Task, Attempt: n, Machine: a.Machine, Result: forkhead.NotSent, Final: final})
}

// others runs over the hosts of a service's live attempts but one.
func (c *Core) others(service uint64, but *try) func(yield func(*invariant.Host) bool) {
	return func(yield func(*invariant.Host) bool) {
		for _, t := range c.live[service] {
			if t != but && !yield(t.host.guard()) {
				return
			}
		}
	}
}

func (c *Core) index(t *try) {
	t.host.tries[t.ref], c.refs[t.ref] = t, t
	if t.phase().IsLive() {
		service := t.ask.task.Service
		c.live[service] = append(c.live[service], t)
	}
}

// write sends an offer that waited for its connection, if it still may be sent.
func (c *Core) write(t *try) {
	k, h := t.ask, t.host
	if invariant.DrainGraceExpired(c.now, h.state(), h.since, c.set.Module.DrainGrace) || k.MayWrite(c.now, t.number) != nil || c.harmful(k) {
		// Guards against a drain told between choosing and writing, and a wait that was too long.
		c.input(t, attempt.ConnectionLost, detail{})
		return
	}
	if t.waited && (h.drains || invariant.CheckSpread(&invariant.Offer{
		Task: &k.task, Class: &c.set.Module.Classes[k.task.Class], To: h.guard(), ServiceHosts: c.others(k.task.Service, t),
	}) != nil) {
		// Guards against tasks of an earlier life that turned up while this one waited for its
		// connection: they count against the spread, and the choice was made without them. And
		// against a host that greets as draining: it may have said so before it was forgotten.
		c.input(t, attempt.ConnectionLost, detail{})
		return
	}
	t.hostEpoch, t.conn = h.link.Epoch, h.link.Conn
	c.input(t, attempt.OfferWritten, detail{})
	w := k.wish
	c.noteAttempt(t)
	c.send(h, hostproto.Offer{
		Ref: t.ref, Wait: max(k.Deadline-c.now, time.Millisecond), Payload: w.spec.Payload, Spec: hostproto.Spec{
			Key: w.key, Service: k.task.Service, Fingerprint: w.fingerprint, Name: w.name,
			Class: c.set.Classes[w.class].Name, Tenant: w.spec.Tenant,
			Effect: uint8(k.Rules.Effect), Priority: uint8(c.set.Module.Classes[w.class].Priority),
			Cores: thousandths(k.task.Cores), Memory: uint32(k.task.Memory*1024 + 0.5), Life: k.task.RemainingLifetime,
		},
	})
}

func thousandths(cores float64) uint32 { return uint32(cores*1000 + 0.5) }

// answer carries out a Refuse or Fail.
func (c *Core) answer(id forkhead.TaskID, refuse bool, retryAfter time.Duration) {
	k := c.asks[id]
	if c.left[id] != nil {
		return
	}
	if k == nil {
		c.veto(&invariant.Violation{Rule: invariant.OneAnswer, Reason: "no such ask"}, "answer to task %d", id)
		return
	}
	if k.Answer == attempt.Unanswered {
		c.callOff(k)
	}
	if v := invariant.CheckAnswer(&k.Request, refuse); v != nil {
		c.veto(v, "answer to %s", k.wish.name)
		if v.Rule != invariant.NoRepeat {
			return
		}
		refuse = false
	}
	k.Finish(refuse)
	c.forget(k)
	if w := k.wish; w.ask == k {
		w.ask = nil
		c.unplaced(w, refuse, retryAfter)
	}
}

// callOff gives up the attempts of an ask that are out.
func (c *Core) callOff(k *ask) {
	for _, t := range k.tries {
		if t != nil && t.phase().IsInFlight() {
			c.input(t, attempt.Abandoned, detail{})
		}
	}
}

// overdue ends an ask that the module has left open past its deadline. That is a defect: the
// module ends its asks just before.
func (c *Core) overdue(k *ask) {
	if k.Answer != attempt.Unanswered || c.asks[k.id] != k {
		return
	}
	c.defect("the ask for %s was left open at its deadline", k.wish.name)
	c.tell(forkhead.RequestCanceled{Task: k.id})
	c.answer(k.id, false, 0)
}

// abandon takes an ask back from the module: nobody waits for it any more.
func (c *Core) abandon(w *wish) {
	k := w.ask
	if k == nil {
		return
	}
	w.ask = nil
	c.left[k.id] = k
	c.tell(forkhead.RequestCanceled{Task: k.id})
	c.callOff(k)
	k.Finish(false)
	c.forget(k)
}

// stop carries out a Stop: the placed task is ended, and its owner asks anew.
func (c *Core) stop(id forkhead.TaskID) {
	k := c.asks[id]
	if k == nil {
		return
	}
	for _, t := range k.tries {
		if t != nil && t.phase() == attempt.Placed && !t.moving && t.host.usable() {
			t.moving = true
			c.stat.Migrated++
			c.send(t.host, hostproto.Stop{Ref: t.ref, Grace: k.wish.grace()})
		}
	}
}

func (w *wish) grace() time.Duration {
	if w.spec == nil {
		return 0
	}
	return w.spec.StopGrace
}

// forget drops an ask that is answered and whose attempts are all settled.
func (c *Core) forget(k *ask) {
	if k.IsDone() {
		delete(c.asks, k.id)
	}
}

// ---- Inputs of attempts.

// input takes an input to an attempt, keeps the indexes in step with its phase, and does what
// the machine says follows.
func (c *Core) input(t *try, in attempt.Input, d detail) {
	k, w := t.ask, t.ask.wish
	before := t.phase()
	effect := k.Handle(t.number, in)
	after := t.phase()
	if before.IsLive() && !after.IsLive() {
		left := slices.DeleteFunc(c.live[k.task.Service], func(o *try) bool { return o == t })
		if c.live[k.task.Service] = left; len(left) == 0 {
			delete(c.live, k.task.Service)
		}
	} else if !before.IsLive() && after.IsLive() {
		c.live[k.task.Service] = append(c.live[k.task.Service], t)
	}
	if after.IsSettled() && !before.IsSettled() {
		delete(t.host.tries, t.ref)
		delete(c.refs, t.ref)
		if t.noted {
			c.keep(durable.AttemptResolved{Ref: t.ref})
		}
	}
	if after == attempt.Unknown && before != after {
		if c.unknown[w.key] == nil {
			c.unknown[w.key] = map[*try]bool{}
		}
		c.unknown[w.key][t] = true
	} else if before == attempt.Unknown && before != after {
		if delete(c.unknown[w.key], t); len(c.unknown[w.key]) == 0 {
			delete(c.unknown, w.key)
		}
	}
	if c.labels.near > 0 && (before == attempt.Placed) != (after == attempt.Placed) {
		c.relabel() // others may have to be beside it
	}
	out := forkhead.Outcome{Task: k.id, Attempt: t.number, Machine: t.machine, Took: c.now - k.Attempts[t.number].ChosenAt, Report: d.report}
	wasPlaced := before == attempt.Placed || before == attempt.Unreachable
	switch effect {
	case attempt.ReportBound:
		c.tell(forkhead.Bound{Task: k.id, Attempt: t.number, Machine: t.machine, Took: out.Took})
		t.runs = c.set.Module.BoundWhenRunning
		c.bound(w, t)
	case attempt.ReportRejected:
		out.Result, out.Reason = forkhead.Rejected, d.reason
		if d.reason == forkhead.NoReason {
			out.Reason = forkhead.Unsuitable
		}
		w.tally(reasonText(out.Reason))
		c.tell(out)
	case attempt.ReportConnectFailed:
		out.Result = forkhead.ConnectFailed
		w.tally("no connection")
		c.tell(out)
	case attempt.ReportWithdrawn:
		if before == attempt.InFlight && t.host.usable() && t.conn == t.host.link.Conn {
			c.send(t.host, hostproto.Withdraw{Ref: t.ref})
		}
		out.Result = forkhead.Withdrawn
		if d.result != forkhead.OK {
			out.Result = d.result
		}
		w.tally("no answer in time")
		c.tell(out)
	case attempt.ReportLost:
		out.Result, out.Final = forkhead.Reset, wasPlaced
		c.tell(out)
		if wasPlaced {
			c.stat.Lost++
			c.over(w, t, retrypolicy.Lost)
		} else {
			w.tally("the reply broke off")
		}
	case attempt.ReportEnded:
		out.Result, out.Reason, out.Final = d.result, d.reason, wasPlaced
		c.tell(out)
		if wasPlaced {
			c.finished(w, t, d)
		} else {
			w.tally("the start failed")
		}
	case attempt.ReportSettled:
		c.unblock(w.key)
	case attempt.Orphaned:
		c.stray(w, t)
	case attempt.Reconnected:
		if w.removing || w.stopAsked {
			c.send(t.host, hostproto.Stop{Ref: t.ref, Grace: w.grace()})
		}
	case attempt.ProtocolViolation:
		c.absurd(t.host, fmt.Sprintf("%v for an attempt that is %v", in, before))
	}
	c.forget(k)
}

func reasonText(r forkhead.RejectReason) string {
	switch r {
	case forkhead.InsufficientCores:
		return "no cores"
	case forkhead.InsufficientMemory:
		return "no memory"
	case forkhead.QueueFull:
		return "its line of offers was full"
	}
	return "not here"
}

// tally counts why attempts came to nothing, for the reason that is told.
func (w *wish) tally(why string) {
	if w.refusals == nil {
		w.refusals = map[string]int{}
	}
	w.refusals[why]++
}

// stray settles an attempt that was given up and now shows that it holds its task: where its
// owner still wants the task and nothing else is out, it is taken as placed; else it is stopped.
func (c *Core) stray(w *wish, t *try) {
	wanted := !w.gone && !w.removing && (w.state == waiting || w.state == asking)
	if !attempt.ShouldAdopt(wanted, w.ask != nil && w.ask.HasAttemptInFlight()) {
		c.send(t.host, hostproto.Stop{Ref: t.ref, Grace: w.grace()})
		return
	}
	h, ref, epoch, conn, made := t.host, t.ref, t.hostEpoch, t.conn, t.ask.Rules
	c.input(t, attempt.Adopted, detail{})
	if w.state == placed { // settling it let another attempt go ahead
		c.send(h, hostproto.Stop{Ref: ref, Grace: w.grace()})
		return
	}
	c.adopt(w, h, ref, epoch, conn, made)
}

// adopt takes a task that already runs as the placement of its wish. made are the rules of the class
// that it was started as: they go on holding for it where its owner has named another since.
func (c *Core) adopt(w *wish, h *host, ref hostproto.Ref, epoch uint64, conn uint32, made attempt.Rules) {
	if w.ask != nil {
		c.abandon(w)
	}
	k := c.newAsk(w)
	k.Answer, k.Rules = attempt.AnsweredPlaced, made
	k.Attempts = []attempt.Attempt{{Host: attempt.HostID(h.id), Phase: attempt.Placed, ChosenAt: c.now}}
	t := &try{ask: k, host: h, machine: h.id, ref: ref, hostEpoch: epoch, conn: conn, runs: true}
	k.tries = []*try{t}
	c.index(t)
	if c.labels.near > 0 {
		c.relabel()
	}
	c.noteAttempt(t)
	c.tell(forkhead.HandedOver{Task: k.task, Machine: h.id})
	c.bound(w, t)
}

// newAsk makes an ask of a wish, with a number of its own.
func (c *Core) newAsk(w *wish) *ask {
	for c.nextTask++; c.nextTask == 0 || c.asks[forkhead.TaskID(c.nextTask)] != nil; c.nextTask++ {
	}
	k := &ask{id: forkhead.TaskID(c.nextTask), wish: w}
	k.Rules = c.rules(w.class)
	k.task = forkhead.Task{
		ID: k.id, Key: w.key, Service: w.svc.key, Class: w.class, Tenant: w.tenant, RemainingLifetime: w.spec.Life,
		Cores: w.spec.Cores, Memory: w.spec.Memory, Resubmitted: w.owner.Requests > 0 || w.lives > 0, RequiredLabels: w.svc.needs,
	}
	for _, l := range w.spec.Limits {
		limit(&k.task.SpreadLimits, places[l.Place], l.Most)
	}
	if !w.relaxed {
		for _, p := range w.spec.Preferences {
			limit(&k.task.SpreadLimits, places[string(p)], c.evenShare(w, places[string(p)]))
		}
	}
	c.asks[k.id] = k
	return k
}

var places = map[string]forkhead.Domain{"machine": forkhead.MachineDomain, "rack": forkhead.CellDomain, "zone": forkhead.ZoneDomain}

func limit(to *forkhead.SpreadLimits, place forkhead.Domain, most int) {
	if to[place] == 0 || most < to[place] {
		to[place] = most
	}
}

// evenShare is how many of a service's tasks come to one place when they are spread evenly.
func (c *Core) evenShare(w *wish, place forkhead.Domain) int {
	found := map[int]bool{}
	for _, h := range c.hosts {
		if h.state() == forkhead.Ready && w.svc.needs&^h.labels == 0 {
			at := h.zone
			if place == forkhead.CellDomain {
				at = h.cell
			}
			found[at] = true
		}
	}
	n := max(len(found), 1)
	return max((len(w.svc.wishes)+n-1)/n, 1)
}
