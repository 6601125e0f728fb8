package core

import (
	"slices"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/retrypolicy"
)

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
	spec        *servicespec.Service
	class       int
	tenant      int
	fingerprint uint64
	name        string

	state     wishState
	owner     retrypolicy.Retrier
	claim     *claim // the outcome that is owed
	ask       *ask   // while asking
	try       *try   // while placed
	askSeq    uint64 // of the timer that counts
	giveUpSeq uint64
	blocked   bool // to be asked as soon as it may be
	lives     int  // times that it was placed
	restarts  []time.Duration
	relaxed   bool // its preferences could not be kept
	recovered bool // from what an earlier life has noted: it may run already
	removing  bool
	gone      bool // no longer of any project
	success   bool // of a task that is done
	stopAsked bool

	offers   int
	refused  bool // how its last ask was answered
	refusals map[string]int
	reason   string
	updating bool                 // its old copy is being replaced
	next     *servicespec.Service // what it is replaced by
	twin     *wish                // start-first: the copy that takes over
	twinOf   *wish
	watchSeq uint64 // of the timer that ends the monitoring of an update
}

// ---- The owner's side.

// begin starts the wait for an outcome.
func (c *Core) begin(w *wish) {
	patience := w.spec.Patience
	if patience == 0 {
		patience = max(c.set.Classes[w.class].Patience, w.spec.Wait)
	}
	from := c.now
	if w.recovered && w.claim != nil {
		from = min(w.claim.at, c.now) // its owner has waited since before this life; a clock may have been set back
	}
	w.owner.Begin(max(from+patience, c.now+attempt.MinRequestTime))
	w.relaxed, w.refusals, w.reason = false, nil, ""
	w.giveUpSeq++
	c.at(&timer{at: w.owner.Deadline, kind: timerGiveUp, wish: w, number: w.giveUpSeq})
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
		wait = min(wait/4, c.set.Module.Classes[w.class].LatencyObjective+attempt.MinRequestTime) // the rest is for an ask without
	}
	wait = min(wait, w.owner.Deadline-c.now)
	if w.blocked = c.mustWait(w, &wait); w.blocked {
		c.blocked[w.key] = w
		return
	}
	if wait <= 0 {
		return
	}
	k := c.newAsk(w)
	k.Deadline = c.now + wait
	k.task.Timeout = wait
	w.ask, w.state = k, asking
	w.owner.Requests++
	c.stat.PlacementRequests++
	c.at(&timer{at: k.Deadline, kind: timerDeadline, ask: k})
	c.tell(forkhead.PlacementRequest{Task: k.task})
}

// mustWait says whether a task may not be asked for yet, because an attempt of an earlier ask, or
// of an earlier life of this placer, may run. It shortens an ask that must end before the hosts
// forget its key.
func (c *Core) mustWait(w *wish, wait *time.Duration) bool {
	r := c.rules(w.class)
	if r.MustWaitForHosts(c.heardAll(), c.now >= c.gate()) || w.recovered && !c.heardAll() && c.now < c.gate() {
		// Guards against starting again what an earlier life had started: hosts say what they run.
		w.askSeq++
		c.at(&timer{at: min(c.gate(), c.now+attempt.MinRequestTime), kind: timerAsk, wish: w, number: w.askSeq})
		return true
	}
	first := c.now
	for t := range c.unknown[w.key] {
		first = min(first, t.ask.Attempts[t.number].ChosenAt)
	}
	most, ok := r.MayRequest(c.now, len(c.unknown[w.key]), first)
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
			k.Rules.Effect == forkhead.Keyed && c.now >= t.ask.Attempts[t.number].ChosenAt+k.Rules.DedupWindow) {
			return true
		}
	}
	return false
}

// gate is until when a new life waits to hear from all hosts before it starts what must not be
// started twice.
func (c *Core) gate() time.Duration {
	if c.listedAt == 0 {
		return c.now + attempt.MinRequestTime
	}
	return c.listedAt + c.set.Module.OwnerBackoff
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
	cause := retrypolicy.Rejected
	if !refuse {
		cause = retrypolicy.Failed
	}
	if len(w.spec.Preferences) > 0 && !w.relaxed {
		w.relaxed = true
		cause = retrypolicy.Migrated
	}
	c.again(w, cause, retryAfter, 0)
}

// again asks for a task once more after a while, or gives it up.
func (c *Core) again(w *wish, cause retrypolicy.Cause, advice, least time.Duration) {
	r := c.rules(w.class)
	harm := len(c.unknown[w.key]) > 0 && !r.RetryIsHarmless()
	event := retrypolicy.Event{Cause: cause, RepeatMayHarm: harm, RetryAfter: advice, MinWait: least}
	at, ok := w.owner.NextRetry(c.now, event, c.policy, c.rng.Float64())
	if !ok && w.claim == nil && w.lives > 0 {
		// It was placed once and its outcome is told: its project wants it back for good.
		w.owner.Begin(c.now + forever)
		at, ok = c.now+c.policy.MaxBackoff, true
	}
	if !ok {
		if w.owner.Deadline > c.now && (w.blocked || harm) {
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
			c.outcome(w, OutcomeRejected, nil, "its earlier copy on "+w.try.host.name+" has not ended")
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
	word := OutcomeRejected
	if !r.RejectionIsHarmless(w.refused, w.offers > 0, len(c.unknown[w.key])) {
		word = OutcomeFailed
	}
	if len(c.unknown[w.key]) > 0 && !r.RetryIsHarmless() {
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
	w.recovered = false
	w.lives++
	c.outcome(w, OutcomePlaced, t.host, "")
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
func (c *Core) over(w *wish, t *try, cause retrypolicy.Cause) {
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
		c.neverAgain(w)
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
		c.over(w, t, retrypolicy.Ended)
		return
	case d.result == forkhead.Withdrawn || t.moving:
		c.over(w, t, retrypolicy.Migrated)
		return
	case d.result == forkhead.Reset:
		cause := retrypolicy.Evicted
		if d.reason == forkhead.Dismissed {
			cause = retrypolicy.Lost
		}
		c.over(w, t, cause)
		return
	}
	if w.try = nil; c.overtaken(w) {
		return
	}
	well := d.result == forkhead.OK
	r := &w.spec.Restart
	want := r.When == servicespec.Always && !w.spec.Mode.Job() || r.When != servicespec.Never && !well
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
		c.neverAgain(w)
		c.wake(w.svc)
		return
	}
	w.watchSeq++
	c.rolledOut(w, well)
	w.owner.Begin(c.now + forever)
	c.again(w, retrypolicy.Ended, 0, r.Delay)
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
	cl.sub.add(c, w, o)
}

// drop takes a wish out of its project. What may still run of it is stopped when it shows.
func (c *Core) drop(w *wish) {
	if w.gone {
		return
	}
	if w.claim != nil {
		c.outcome(w, OutcomeRejected, nil, "a later submission has taken its place")
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
