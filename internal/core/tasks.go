package core

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/attempt"
	"forkhead/internal/description"
	"forkhead/internal/guard"
	"forkhead/internal/hostlink"
	"forkhead/internal/hostproto"
	"forkhead/internal/owner"
)

// ask is one arrival of a task at the module.
type ask struct {
	attempt.Ask
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
	waited    bool // for its host's connection
	moving    bool // stopped by the module, to be placed anew
}

func (t *try) phase() attempt.Phase { return t.ask.Attempts[t.number].Phase }

// detail is what comes with an input beside it.
type detail struct {
	result forkhead.Result
	reason forkhead.Reason
	report *forkhead.Report
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
		d.result, d.reason = forkhead.Reset, forkhead.PushedOut
	case hostproto.SentAway:
		d.result, d.reason = forkhead.Reset, forkhead.SentAway
	case hostproto.Stopped, hostproto.Called:
		d.result = forkhead.Withdrawn
	}
	return d
}

type wishState uint8

const (
	heldBack wishState = iota // waits for what its service depends on
	waiting                   // to be asked at a time, or once it may be
	asking                    // the module has it
	placed
	done // ended for good
)

// wish is one task that is to run: its owner's side.
type wish struct {
	svc         *service
	replica     int
	key         uint64
	generation  int // odd where the task runs under its second key
	spec        *description.Service
	class       int
	tenant      int
	fingerprint uint64
	name        string

	state     wishState
	owner     owner.Owner
	claim     *claim // the outcome that is owed
	ask       *ask   // while asking
	try       *try   // while placed
	askSeq    uint64 // of the timer that counts
	giveUpSeq uint64
	blocked   bool // to be asked as soon as it may be
	lives     int  // times that it was placed
	restarts  []time.Duration
	relaxed   bool // its preferences could not be kept
	removing  bool
	gone      bool // no longer of any project
	success   bool // of a task that is done
	stopAsked bool

	offers   int
	refused  bool // how its last ask was answered
	refusals map[string]int
	reason   string
	updating bool                 // its old copy is being replaced
	next     *description.Service // what it is replaced by
	twin     *wish                // start-first: the copy that takes over
	twinOf   *wish
	watchSeq uint64 // of the timer that ends the monitoring of an update
}

// ---- The module's actions on asks.

func (c *Core) rules(class int) attempt.Rules {
	m := &c.set.Module
	k := &m.Classes[class]
	return attempt.Rules{
		Effect: k.Effect, Group: k.Group, Window: k.Window, Most: m.MaxAttempts, Parallel: m.ParallelAttempts,
	}
}

// offer carries out an Offer, if the guard lets it through.
func (c *Core) offer(a forkhead.Offer) {
	k, h := c.asks[a.Task], c.byID[a.Machine]
	if gone := c.left[a.Task]; gone != nil {
		// The module ruled before it heard that nobody waits any more: that is no fault of its.
		n := gone.Skip(c.now, attempt.Host(a.Machine))
		gone.tries = append(gone.tries, nil)
		c.tell(forkhead.Outcome{Task: a.Task, Attempt: n, Machine: a.Machine, Result: forkhead.Moot, Final: true})
		return
	}
	if k == nil || h == nil {
		c.veto(&guard.Veto{Rule: guard.OneAnswer, Why: "no such ask or host"}, "offer of task %d to machine %d", a.Task, a.Machine)
		return
	}
	if c.harmful(k) {
		n := k.Skip(c.now, attempt.Host(h.id))
		k.tries = append(k.tries, nil)
		c.tell(forkhead.Outcome{Task: a.Task, Attempt: n, Machine: a.Machine, Result: forkhead.Moot})
		return
	}
	v := guard.MayOffer(c.now, &guard.Offer{
		Ask: &k.Ask, Task: &k.task, Class: &c.set.Module.Classes[k.task.Class], To: h.guard(), Grace: c.set.Module.DrainGrace,
		Hosts: func(id attempt.Host) *guard.Host {
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
		Others: c.others(k.task.Service, nil),
	})
	if v != nil {
		c.veto(v, "offer of %s to %s", k.wish.name, h.name)
		n := k.Skip(c.now, attempt.Host(h.id))
		k.tries = append(k.tries, nil)
		c.tell(forkhead.Outcome{Task: a.Task, Attempt: n, Machine: a.Machine, Result: forkhead.Moot})
		return
	}
	t := &try{ask: k, number: k.Offer(c.now, attempt.Host(h.id)), host: h, machine: a.Machine}
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
	case h.link.State == hostlink.Down:
		c.input(t, attempt.Broke, detail{})
	default:
		t.waited = true
		c.at(&timer{at: c.now + c.set.Module.ConnectTimeout, kind: timerConnect, try: t})
	}
}

// others runs over the hosts of a service's live attempts but one.
func (c *Core) others(service uint64, but *try) func(yield func(*guard.Host) bool) {
	return func(yield func(*guard.Host) bool) {
		for _, t := range c.live[service] {
			if t != but && !yield(t.host.guard()) {
				return
			}
		}
	}
}

func (c *Core) index(t *try) {
	t.host.tries[t.ref], c.refs[t.ref] = t, t
	if t.phase().Live() {
		service := t.ask.task.Service
		c.live[service] = append(c.live[service], t)
	}
}

// write sends an offer that waited for its connection, if it still may be sent.
func (c *Core) write(t *try) {
	k, h := t.ask, t.host
	if guard.Drained(c.now, h.state(), h.since, c.set.Module.DrainGrace) || k.MayWrite(c.now, t.number) != nil || c.harmful(k) {
		// Guards against a drain told between choosing and writing, and a wait that was too long.
		c.input(t, attempt.Broke, detail{})
		return
	}
	if t.waited && (h.drains || guard.Crowded(&guard.Offer{
		Task: &k.task, Class: &c.set.Module.Classes[k.task.Class], To: h.guard(), Others: c.others(k.task.Service, t),
	}) != nil) {
		// Guards against tasks of an earlier life that turned up while this one waited for its
		// connection: they count against the spread, and the choice was made without them. And
		// against a host that greets as draining: it may have said so before it was forgotten.
		c.input(t, attempt.Broke, detail{})
		return
	}
	t.hostEpoch, t.conn = h.link.Epoch, h.link.Conn
	c.input(t, attempt.Written, detail{})
	w := k.wish
	c.send(h, hostproto.Offer{
		Ref: t.ref, Wait: max(k.Deadline-c.now, time.Millisecond), Payload: w.spec.Payload, Spec: hostproto.Spec{
			Key: w.key, Service: k.task.Service, Fingerprint: w.fingerprint, Name: w.name,
			Class: c.set.Classes[w.class].Name, Tenant: w.spec.Tenant,
			Effect: uint8(k.Rules.Effect), Priority: uint8(c.set.Module.Classes[w.class].Priority),
			Cores: thousandths(k.task.Cores), Memory: uint32(k.task.Memory*1024 + 0.5), Life: k.task.Life,
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
		c.veto(&guard.Veto{Rule: guard.OneAnswer, Why: "no such ask"}, "answer to task %d", id)
		return
	}
	if k.Answer == attempt.Open {
		c.callOff(k)
	}
	if v := guard.MayAnswer(&k.Ask, refuse); v != nil {
		c.veto(v, "answer to %s", k.wish.name)
		if v.Rule != guard.NoRepeat {
			return
		}
		refuse = false
	}
	k.End(refuse)
	c.forget(k)
	if w := k.wish; w.ask == k {
		w.ask = nil
		c.unplaced(w, refuse, retryAfter)
	}
}

// callOff gives up the attempts of an ask that are out.
func (c *Core) callOff(k *ask) {
	for _, t := range k.tries {
		if t != nil && t.phase().Out() {
			c.input(t, attempt.CalledOff, detail{})
		}
	}
}

// overdue ends an ask that the module has left open past its deadline. That is a defect: the
// module ends its asks just before.
func (c *Core) overdue(k *ask) {
	if k.Answer != attempt.Open || c.asks[k.id] != k {
		return
	}
	c.defect("the ask for %s was left open at its deadline", k.wish.name)
	c.tell(forkhead.OwnerLeft{Task: k.id})
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
	c.tell(forkhead.OwnerLeft{Task: k.id})
	c.callOff(k)
	k.End(false)
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
			c.stat.Moved++
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
	if k.Done() {
		delete(c.asks, k.id)
	}
}

// ---- Inputs of attempts.

// input takes an input to an attempt, keeps the indexes in step with its phase, and does what
// the machine says follows.
func (c *Core) input(t *try, in attempt.Input, d detail) {
	k, w := t.ask, t.ask.wish
	before := t.phase()
	effect := k.On(t.number, in)
	after := t.phase()
	if before.Live() && !after.Live() {
		left := slices.DeleteFunc(c.live[k.task.Service], func(o *try) bool { return o == t })
		if c.live[k.task.Service] = left; len(left) == 0 {
			delete(c.live, k.task.Service)
		}
	} else if !before.Live() && after.Live() {
		c.live[k.task.Service] = append(c.live[k.task.Service], t)
	}
	if after.Settled() && !before.Settled() {
		delete(t.host.tries, t.ref)
		delete(c.refs, t.ref)
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
	out := forkhead.Outcome{Task: k.id, Attempt: t.number, Machine: t.machine, Took: c.now - k.Attempts[t.number].At, Report: d.report}
	wasPlaced := before == attempt.Placed || before == attempt.Silent
	switch effect {
	case attempt.Bind:
		c.tell(forkhead.Bound{Task: k.id, Attempt: t.number, Machine: t.machine, Took: out.Took})
		t.runs = c.set.Module.BoundWhenRunning
		c.bound(w, t)
	case attempt.Full:
		out.Result, out.Reason = forkhead.Full, d.reason
		if d.reason == forkhead.NoReason {
			out.Reason = forkhead.NotHere
		}
		w.tally(reasonText(out.Reason))
		c.tell(out)
	case attempt.NoConnect:
		out.Result = forkhead.ConnectFailed
		w.tally("no connection")
		c.tell(out)
	case attempt.Drop:
		if before == attempt.Out && t.host.usable() && t.conn == t.host.link.Conn {
			c.send(t.host, hostproto.Withdraw{Ref: t.ref})
		}
		out.Result = forkhead.Withdrawn
		if d.result != forkhead.OK {
			out.Result = d.result
		}
		w.tally("no answer in time")
		c.tell(out)
	case attempt.Lose:
		out.Result, out.Final = forkhead.Reset, wasPlaced
		c.tell(out)
		if wasPlaced {
			c.stat.Lost++
			c.over(w, t, owner.Lost)
		} else {
			w.tally("the reply broke off")
		}
	case attempt.Finish:
		out.Result, out.Reason, out.Final = d.result, d.reason, wasPlaced
		c.tell(out)
		if wasPlaced {
			c.finished(w, t, d)
		} else {
			w.tally("the start failed")
		}
	case attempt.Settle:
		c.unblock(w.key)
	case attempt.Stray:
		c.stray(w, t)
	case attempt.Return:
		if w.removing || w.stopAsked {
			c.send(t.host, hostproto.Stop{Ref: t.ref, Grace: w.grace()})
		}
	case attempt.Absurd:
		c.absurd(t.host, fmt.Sprintf("%v for an attempt that is %v", in, before))
	}
	c.forget(k)
}

func reasonText(r forkhead.Reason) string {
	switch r {
	case forkhead.NoCores:
		return "no cores"
	case forkhead.NoMemory:
		return "no memory"
	case forkhead.LineFull:
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
	if !attempt.Adopts(wanted, w.ask != nil && w.ask.IsOut()) {
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
	k.Answer, k.Rules = attempt.Bound, made
	k.Attempts = []attempt.Attempt{{Host: attempt.Host(h.id), Phase: attempt.Placed, At: c.now}}
	t := &try{ask: k, host: h, machine: h.id, ref: ref, hostEpoch: epoch, conn: conn, runs: true}
	k.tries = []*try{t}
	c.index(t)
	if c.labels.near > 0 {
		c.relabel()
	}
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
		ID: k.id, Key: w.key, Service: w.svc.key, Class: w.class, Tenant: w.tenant, Life: w.spec.Life,
		Cores: w.spec.Cores, Memory: w.spec.Memory, Again: w.owner.Asks > 0 || w.lives > 0, Needs: w.svc.needs,
	}
	for _, l := range w.spec.Limits {
		limit(&k.task.Most, places[l.Place], l.Most)
	}
	if !w.relaxed {
		for _, p := range w.spec.Preferences {
			limit(&k.task.Most, places[string(p)], c.evenShare(w, places[string(p)]))
		}
	}
	c.asks[k.id] = k
	return k
}

var places = map[string]forkhead.Place{"machine": forkhead.OnMachine, "rack": forkhead.InCell, "zone": forkhead.InZone}

func limit(to *forkhead.Limits, place forkhead.Place, most int) {
	if to[place] == 0 || most < to[place] {
		to[place] = most
	}
}

// evenShare is how many of a service's tasks come to one place when they are spread evenly.
func (c *Core) evenShare(w *wish, place forkhead.Place) int {
	found := map[int]bool{}
	for _, h := range c.hosts {
		if h.state() == forkhead.Ready && w.svc.needs&^h.labels == 0 {
			at := h.zone
			if place == forkhead.InCell {
				at = h.cell
			}
			found[at] = true
		}
	}
	n := max(len(found), 1)
	return max((len(w.svc.wishes)+n-1)/n, 1)
}

// ---- The owner's side.

// begin starts the wait for an outcome.
func (c *Core) begin(w *wish) {
	patience := w.spec.Patience
	if patience == 0 {
		patience = max(c.set.Classes[w.class].Patience, w.spec.Wait)
	}
	w.owner.Begin(c.now + patience)
	w.relaxed, w.refusals, w.reason = false, nil, ""
	w.giveUpSeq++
	c.at(&timer{at: w.owner.Until, kind: timerGiveUp, wish: w, number: w.giveUpSeq})
	c.askAt(w, c.now)
}

func (c *Core) askAt(w *wish, at time.Duration) {
	w.state, w.blocked = waiting, false
	w.askSeq++
	if at <= c.now {
		c.askNow(w)
		return
	}
	c.at(&timer{at: at, kind: timerAsk, wish: w, number: w.askSeq})
}

// askNow puts the task before the module, unless it has to wait until it may be asked for.
func (c *Core) askNow(w *wish) {
	if w.state != waiting || w.gone {
		return
	}
	wait := w.spec.Wait
	if wait == 0 {
		wait = c.set.Classes[w.class].Wait
	}
	if len(w.spec.Preferences) > 0 && !w.relaxed {
		wait = min(wait/4, c.set.Module.Classes[w.class].Aim+attempt.AskMargin) // the rest is for an ask without
	}
	wait = min(wait, w.owner.Until-c.now)
	if w.blocked = c.mustWait(w, &wait); w.blocked {
		c.blocked[w.key] = w
		return
	}
	if wait <= 0 {
		return
	}
	k := c.newAsk(w)
	k.Deadline = c.now + wait
	k.task.Wait = wait
	w.ask, w.state = k, asking
	w.owner.Asks++
	c.stat.Asks++
	c.at(&timer{at: k.Deadline, kind: timerDeadline, ask: k})
	c.tell(forkhead.Arrival{Task: k.task})
}

// mustWait says whether a task may not be asked for yet, because an attempt of an earlier ask, or
// of an earlier life of this placer, may run. It shortens an ask that must end before the hosts
// forget its key.
func (c *Core) mustWait(w *wish, wait *time.Duration) bool {
	r := c.rules(w.class)
	if r.Waits(c.heardAll(), c.now >= c.gate()) {
		// Guards against starting again what an earlier life had started: hosts say what they run.
		w.askSeq++
		c.at(&timer{at: min(c.gate(), c.now+attempt.AskMargin), kind: timerAsk, wish: w, number: w.askSeq})
		return true
	}
	first := c.now
	for t := range c.unknown[w.key] {
		first = min(first, t.ask.Attempts[t.number].At)
	}
	most, ok := r.MayAsk(c.now, len(c.unknown[w.key]), first)
	if most > 0 {
		*wait = min(*wait, most)
	}
	return !ok
}

// harmful says whether an attempt of another ask that may run forbids to send one of this ask now.
// Guards against what turns up after the ask began: a host that tells late what it runs.
func (c *Core) harmful(k *ask) bool {
	for t := range c.unknown[k.wish.key] {
		if t.ask != k && (k.Rules.Effect == forkhead.Unsafe ||
			k.Rules.Effect == forkhead.Keyed && c.now >= t.ask.Attempts[t.number].At+k.Rules.Window) {
			return true
		}
	}
	return false
}

// gate is until when a new life waits to hear from all hosts before it starts what must not be
// started twice.
func (c *Core) gate() time.Duration {
	if c.listedAt == 0 {
		return c.now + attempt.AskMargin
	}
	return c.listedAt + c.set.Module.OwnerWait
}

func (c *Core) heardAll() bool {
	for _, h := range c.hosts {
		if h.listed && !h.spoken {
			return false
		}
	}
	return len(c.hosts) > 0
}

// unblock lets a task be asked for that waited until it might.
func (c *Core) unblock(key uint64) {
	if w := c.blocked[key]; w != nil {
		delete(c.blocked, key)
		if w.blocked && w.state == waiting && !w.gone {
			c.askNow(w)
		}
	}
}

// unplaced follows an ask that was refused or failed.
func (c *Core) unplaced(w *wish, refuse bool, retryAfter time.Duration) {
	w.refused = refuse
	reason, hopeless := c.explain(w)
	w.reason = reason
	if w.gone || w.removing {
		return
	}
	if hopeless && w.lives == 0 {
		c.giveUp(w)
		return
	}
	cause := owner.Refused
	if !refuse {
		cause = owner.Failed
	}
	if len(w.spec.Preferences) > 0 && !w.relaxed {
		w.relaxed = true
		cause = owner.Moved
	}
	c.again(w, cause, retryAfter, 0)
}

// again asks for a task once more after a while, or gives it up.
func (c *Core) again(w *wish, cause owner.Cause, advice, least time.Duration) {
	r := c.rules(w.class)
	harm := len(c.unknown[w.key]) > 0 && !r.Repeatable()
	at, ok := w.owner.Again(c.now, cause, harm, advice, least, c.policy, c.rng.Float64())
	if !ok && w.claim == nil && w.lives > 0 {
		// It was placed once and its outcome is told: its project wants it back for good.
		w.owner.Begin(c.now + forever)
		at, ok = c.now+c.policy.Most, true
	}
	if !ok {
		if w.owner.Until > c.now && (w.blocked || harm) {
			// Until its fate is known, or its owner's time is over.
			w.state, w.blocked = waiting, true
			c.blocked[w.key] = w
			return
		}
		c.giveUp(w)
		return
	}
	c.askAt(w, at)
}

const forever = 10 * 365 * 24 * time.Hour

// impatient ends the wait of an owner whose time is over.
func (c *Core) impatient(w *wish) {
	if w.state == done || w.gone {
		return
	}
	if w.state == placed {
		if w.next != nil { // the old copy has not ended: nothing was offered for the new one
			c.outcome(w, WordRefused, nil, "its earlier copy on "+w.try.host.name+" has not ended")
			w.next, w.removing = nil, true
			c.rolledOut(w, false)
		}
		return
	}
	if w.claim == nil {
		return
	}
	if w.state == asking {
		return // the ask ends by now too, and with it the wait
	}
	if w.reason == "" {
		w.reason, _ = c.explain(w)
	}
	c.giveUp(w)
}

// giveUp tells the outcome of a task that was not placed.
func (c *Core) giveUp(w *wish) {
	r := c.rules(w.class)
	word := WordRefused
	if !r.Harmless(w.refused, w.offers > 0, len(c.unknown[w.key])) {
		word = WordFailed
	}
	if len(c.unknown[w.key]) > 0 && !r.Repeatable() {
		var names []string
		for t := range c.unknown[w.key] {
			names = append(names, t.host.name)
		}
		slices.Sort(names)
		w.reason = "an attempt at " + strings.Join(names, ", ") + " may have run, and nothing was heard of it since"
	}
	c.outcome(w, word, nil, w.reason)
	w.svc.failed = w.reason
	c.drop(w)
}

// bound follows a task's placement.
func (c *Core) bound(w *wish, t *try) {
	if w.gone || w.removing {
		c.send(t.host, hostproto.Stop{Ref: t.ref, Grace: w.grace()})
		w.state, w.try, w.ask = placed, t, nil
		return
	}
	w.state, w.try, w.ask = placed, t, nil
	w.owner.Placed()
	w.lives++
	c.outcome(w, WordPlaced, t.host, "")
	c.swap(w)
	if m := w.spec.Update.Monitor; w.updating && m > 0 {
		w.watchSeq++
		c.at(&timer{at: c.now + m, kind: timerWatch, wish: w, number: w.watchSeq})
	} else {
		c.rolledOut(w, true)
	}
	c.wake(w.svc)
}

// over follows the loss of a placed task.
func (c *Core) over(w *wish, t *try, cause owner.Cause) {
	if w.try != t {
		return
	}
	w.try, w.stopAsked = nil, false
	if w.next == nil {
		w.watchSeq++
		c.rolledOut(w, false)
	}
	switch {
	case w.gone || w.removing:
		c.drop(w)
	case w.next != nil:
		c.replaced(w)
	case c.overtaken(w):
	case w.spec == nil || w.svc.fostered:
		c.drop(w) // nobody knows any more what it was made of
	case w.lives >= c.set.Owner.Lives:
		c.log("task %s was placed %d times and is given up", w.name, w.lives)
		c.drop(w)
	default:
		w.owner.Begin(c.now + forever)
		w.refusals = nil
		c.again(w, cause, 0, 0)
	}
}

// finished follows the end of a placed task that its host told.
func (c *Core) finished(w *wish, t *try, d detail) {
	if w.try != t {
		return
	}
	switch {
	case w.removing, w.next != nil, w.spec == nil, w.svc.fostered:
		c.over(w, t, owner.Ended)
		return
	case d.result == forkhead.Withdrawn || t.moving:
		c.over(w, t, owner.Moved)
		return
	case d.result == forkhead.Reset:
		cause := owner.Evicted
		if d.reason == forkhead.SentAway {
			cause = owner.Lost
		}
		c.over(w, t, cause)
		return
	}
	if w.try = nil; c.overtaken(w) {
		return
	}
	well := d.result == forkhead.OK
	r := &w.spec.Restart
	want := r.When == description.Always && !w.spec.Mode.Job() || r.When != description.Never && !well
	if r.Most > 0 && want {
		if r.Window > 0 {
			w.restarts = slices.DeleteFunc(w.restarts, func(at time.Duration) bool { return at <= c.now-r.Window })
		}
		if want = len(w.restarts) < r.Most; want {
			w.restarts = append(w.restarts, c.now)
		}
	}
	if !want {
		w.state, w.success = done, well
		c.wake(w.svc)
		return
	}
	w.watchSeq++
	c.rolledOut(w, well)
	w.owner.Begin(c.now + forever)
	c.again(w, owner.Ended, 0, r.Delay)
}

// outcome tells the one outcome that is owed for a task, if one is.
func (c *Core) outcome(w *wish, word string, h *host, reason string) {
	if w.claim == nil {
		return
	}
	cl := w.claim
	w.claim = nil
	o := Outcome{
		Service: w.svc.name, Replica: w.replica, Outcome: word, Reason: reason, Attempts: w.offers,
		TookMS: (c.now - cl.at).Milliseconds(),
	}
	if h != nil {
		o.Host, o.Zone, o.Rack = h.name, h.entry.Zone, h.entry.Rack
	}
	w.offers = 0
	c.stat.Outcomes[word]++
	cl.sub.add(c, o)
}

// drop takes a wish out of its project. What may still run of it is stopped when it shows.
func (c *Core) drop(w *wish) {
	if w.gone {
		return
	}
	if w.claim != nil {
		c.outcome(w, WordRefused, nil, "a later submission has taken its place")
	}
	w.gone = true
	if c.blocked[w.key] == w {
		delete(c.blocked, w.key)
	}
	w.askSeq++
	w.giveUpSeq++
	c.wishes--
	svc := w.svc
	if svc.wishes[w.replica] == w {
		delete(svc.wishes, w.replica)
	}
	c.rolledOut(w, false)
	w.state = done
	c.wake(svc)
	c.tidy(svc)
}

// ---- What is told of a task that does not get placed.

// explain says why a task cannot be placed, from what this placer sees and what hosts said.
// hopeless says that no host of any kind could ever take it.
func (c *Core) explain(w *wish) (reason string, hopeless bool) {
	m := &c.set.Module
	class := &m.Classes[w.class]
	fits := false
	for i, k := range m.Kinds {
		if class.Kind >= 0 && class.Kind != i {
			continue
		}
		if w.spec.Cores <= k.Cores*m.AcceptCores && w.spec.Memory <= k.Memory*m.AcceptMemory {
			fits = true
		}
	}
	if !fits {
		where := "any kind of host"
		if class.Kind >= 0 {
			where = c.set.Kinds[class.Kind]
		}
		return fmt.Sprintf("%g cores and %.4g GiB are more than %s has", w.spec.Cores, w.spec.Memory, where), true
	}
	var ready, kind, labelled, free int
	for _, h := range c.hosts {
		if h.state() != forkhead.Ready {
			continue
		}
		ready++
		if class.Kind >= 0 && class.Kind != h.kind {
			continue
		}
		kind++
		if w.svc.needs&^h.labels != 0 {
			continue
		}
		labelled++
		if c.spreadLimit(w, h) == "" {
			free++
		}
	}
	switch {
	case ready == 0:
		return "no host is ready", false
	case kind == 0:
		return "no host of kind " + c.set.Kinds[class.Kind] + " is ready", false
	case labelled == 0:
		var parts []string
		for _, con := range w.spec.Constraints {
			parts = append(parts, con.String())
		}
		for _, n := range w.spec.Near {
			parts = append(parts, "near "+n.Service+" in one "+n.Place)
		}
		return "no ready host meets " + strings.Join(parts, ", "), false
	case free == 0:
		for _, h := range c.sorted() {
			if h.state() == forkhead.Ready && w.svc.needs&^h.labels == 0 && (class.Kind < 0 || class.Kind == h.kind) {
				return "spread: " + c.spreadLimit(w, h) + ", and all that fit are at it", false
			}
		}
	}
	if len(w.refusals) > 0 {
		var parts []string
		for _, why := range slices.Sorted(maps.Keys(w.refusals)) {
			parts = append(parts, fmt.Sprintf("%s (%d)", why, w.refusals[why]))
		}
		return "hosts did not take it: " + strings.Join(parts, ", "), false
	}
	return "no host that fits had room", false
}

// spreadLimit says which limit keeps the service's next task off a host, or "".
func (c *Core) spreadLimit(w *wish, h *host) string {
	class := &c.set.Module.Classes[w.class]
	var most forkhead.Limits
	for _, l := range w.spec.Limits {
		limit(&most, places[l.Place], l.Most)
	}
	if class.Spread != forkhead.Anywhere {
		limit(&most, class.Spread, class.Most)
	}
	at := h.guard()
	for place := forkhead.OnMachine; place <= forkhead.InZone; place++ {
		if most[place] == 0 {
			continue
		}
		n := 0
		for _, t := range c.live[w.svc.key] {
			if guard.Same(place, t.host.guard(), at) {
				n++
			}
		}
		if n >= most[place] {
			word := [...]string{"", "host", "rack", "zone"}[place]
			return "at most " + strconv.Itoa(most[place]) + " of the service in one " + word
		}
	}
	return ""
}
