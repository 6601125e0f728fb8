package modelcheck

import (
	"fmt"
	"time"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostconn"
	"forkhead/internal/scheduler/hostsession"
)

// model is one search's configuration.
type model struct {
	m     machines
	rules attempt.Rules
	cfg   Config
}

// step is a successor under construction.
type step struct {
	*model
	s    *state
	bad  string // a property that is broken, or ""
	why  string
	full bool // a message found no room: the step cannot be taken now
}

func (st *step) violate(property, format string, args ...any) {
	if st.bad == "" {
		st.bad, st.why = property, fmt.Sprintf(format, args...)
	}
}

// action is one thing that may happen. fair ones happen sooner or later unless something else
// makes them impossible; the others are faults and the module's choices.
type action struct {
	name string
	fair bool
	do   func(st *step)
}

const second = time.Second

// now is the clock as far as it matters: before or after hosts forget a task's key.
func (t *task) now() time.Duration {
	if t.late == 1 {
		return 60 * second
	}
	return second
}

// ask is the present ask of a task as package attempt has it.
func (st *step) ask(t *task, buf *[maxAttempts]attempt.Attempt) attempt.Request {
	a := attempt.Request{Rules: st.rules, Deadline: 100 * second, Attempts: buf[:0]}
	for i := range t.n {
		at := &t.att[i]
		if !at.mine(st.s.life) {
			continue
		}
		if at.ask == t.asks {
			a.Attempts = append(a.Attempts, attempt.Attempt{Host: attempt.HostID(at.host), Phase: at.is()})
		} else if most, _ := st.m.mayAsk(&st.rules, second, 1, 0); at.is() == attempt.Unknown && most > 0 {
			a.Deadline = second + most // an ask beside an unknown attempt ends before its key is forgotten
		}
	}
	return a
}

func (st *step) unknown(t *task) int {
	n := 0
	for i := range t.n {
		if at := &t.att[i]; at.mine(st.s.life) && at.is() == attempt.Unknown {
			n++
		}
	}
	return n
}

// input takes an input to an attempt and does what the core does with its effect.
func (st *step) input(ti, ai int, in attempt.Input) {
	t := &st.s.tasks[ti]
	at := &t.att[ai]
	if !at.mine(st.s.life) {
		return
	}
	before := at.is()
	after, effect := st.m.next(before, in)
	at.phase = uint8(after)
	wasPlaced := before == attempt.Placed || before == attempt.Unreachable
	switch effect {
	case attempt.ReportBound:
		t.owner = placed
		st.tell(t, toldPlaced)
	case attempt.ReportWithdrawn:
		if before == attempt.InFlight {
			h := &st.s.hosts[at.host]
			if st.usable(h) && at.conn == h.conn {
				st.send(h, msg(mWithdraw, ti, ai))
			}
		}
	case attempt.ReportLost:
		if wasPlaced && t.owner == placed {
			t.owner = waiting
		}
	case attempt.ReportEnded:
		if wasPlaced && t.owner == placed {
			t.owner = done
		}
	case attempt.Orphaned:
		st.stray(ti, ai)
	case attempt.Reconnected:
		if t.owner != placed {
			st.send(&st.s.hosts[at.host], msg(mStop, ti, ai))
		}
	case attempt.ProtocolViolation:
		st.violate("absurd", "%v of an attempt that is %v", in, before)
	}
}

// stray settles an attempt that was given up and holds its task.
func (st *step) stray(ti, ai int) {
	if st.m.noStray {
		return
	}
	t := &st.s.tasks[ti]
	var buf [maxAttempts]attempt.Attempt
	ask := st.ask(t, &buf)
	wanted := t.owner == waiting || t.owner == asking
	if !st.m.adopts(wanted, t.owner == asking && ask.HasAttemptInFlight()) {
		st.send(&st.s.hosts[t.att[ai].host], msg(mStop, ti, ai))
		return
	}
	// The ask that was open is taken back, and what it has out given up.
	for i := range t.n {
		if at := &t.att[i]; int(i) != ai && at.mine(st.s.life) && at.is().IsInFlight() && !st.m.noCallOff {
			st.input(ti, int(i), attempt.Abandoned)
		}
	}
	t.att[ai].phase = uint8(attempt.Placed)
	t.owner = placed
	st.tell(t, toldPlaced)
}

// tell tells the outcome of a task. One that was placed and lost is placed again without a word.
func (st *step) tell(t *task, what uint8) {
	if t.told != untold {
		if t.told != toldPlaced || what != toldPlaced {
			st.violate("one-outcome", "a task that was told %d is told %d", t.told, what)
		}
		return
	}
	t.told = what
}

func (st *step) usable(h *host) bool { return hostconn.State(h.link) == hostconn.Up && h.ready == 1 }

func (st *step) send(h *host, m message) {
	if s := h.stream(h.conn, st.s.life); s != nil && s.pOpen == 1 && !s.toHost(m) {
		st.full = true
	}
}

func (st *step) say(h *host, m message) {
	if s := h.stream(h.sConn, h.sLife); h.sOpen == 1 && s != nil && !s.toPlacer(m) {
		st.full = true
	}
}

// link takes an input to a host's link.
func (st *step) link(hi int, in hostconn.Input) {
	h := &st.s.hosts[hi]
	l := hostconn.Connection{State: hostconn.State(h.link), Listed: true, Address: "a", Conn: uint32(h.conn), Epoch: uint64(h.known)}
	in.Address = "a"
	out := st.m.link(&l, in)
	h.link, h.conn, h.known = uint8(l.State), uint8(l.Conn), uint8(l.Epoch)
	if out.CloseConn {
		st.closePlacer(h, uint8(out.ConnToClose))
	}
	if out.AttemptsDisconnected {
		h.ready = 0
		st.each(hi, func(ti, ai int) { st.input(ti, ai, attempt.ConnectionLost) })
	}
	if out.HostRestarted {
		st.each(hi, func(ti, ai int) {
			if at := &st.s.tasks[ti].att[ai]; at.is() != attempt.Waiting && at.epoch < h.known {
				st.input(ti, ai, attempt.HostRestarted)
			}
		})
	}
	if out.Dial {
		if h.streams[1].num != 0 {
			st.full = true // the older connection still lingers
			return
		}
		h.streams[1], h.streams[0] = h.streams[0], stream{}
	}
	if out.SendHello {
		h.streams[0] = stream{num: h.conn, life: st.s.life, pOpen: 1, hOpen: 1}
		st.send(h, message{kind: mHello})
	}
}

// dial makes a connection and greets, in one step: one that fails to be made is one that breaks
// before anything is read.
func (st *step) dial(hi int) {
	st.link(hi, hostconn.Input{Kind: hostconn.RetryDue})
	st.link(hi, hostconn.Input{Kind: hostconn.Dialed, Conn: uint32(st.s.hosts[hi].conn)})
}

func (st *step) closePlacer(h *host, num uint8) {
	if s := h.stream(num, st.s.life); s != nil {
		s.pOpen = 0
		s.settle()
	}
}

// each calls f for the attempts that the placer knows at a host and that are not settled.
func (st *step) each(hi int, f func(ti, ai int)) {
	for ti := range st.cfg.Tasks {
		t := &st.s.tasks[ti]
		for ai := range int(t.n) {
			if at := &t.att[ai]; at.mine(st.s.life) && int(at.host) == hi && !at.is().IsSettled() {
				f(ti, ai)
			}
		}
	}
}

// write sends an offer on a live connection, if it may still be sent.
func (st *step) write(ti, ai int) {
	t := &st.s.tasks[ti]
	at := &t.att[ai]
	h := &st.s.hosts[at.host]
	var buf [maxAttempts]attempt.Attempt
	ask := st.ask(t, &buf)
	number := len(ask.Attempts) - 1 // the one that waits is the last
	if !st.m.recheckNot && st.drained(h) || st.m.mayWrite(&ask, t.now(), number) != nil ||
		!st.m.crowdNot && st.crowded(int(at.host), ti, ai) {
		st.input(ti, ai, attempt.ConnectionLost)
		return
	}
	at.epoch, at.conn = h.known, h.conn
	st.input(ti, ai, attempt.OfferWritten)
	st.checkOffer(ti, ai)
	st.send(h, msg(mOffer, ti, ai))
}

// crowded says whether a host has as many of the service's tasks as the spread allows, one attempt
// left out. All tasks of a search are of one service.
func (st *step) crowded(hi, ti, ai int) bool {
	if st.cfg.SpreadLimit == 0 {
		return false
	}
	n := 0
	st.each(hi, func(oti, oai int) {
		if (oti != ti || oai != ai) && st.s.tasks[oti].att[oai].is().IsLive() {
			n++
		}
	})
	return n >= st.cfg.SpreadLimit
}

func (st *step) drained(h *host) bool {
	state, now := forkhead.Ready, time.Duration(0)
	if h.told > 0 {
		state = forkhead.Draining
	}
	if h.told == 2 {
		now = second
	}
	return st.m.drained(now, state, 0, second/4)
}

// frame takes a frame from a host.
func (st *step) frame(hi int, m message) {
	h := &st.s.hosts[hi]
	if m.kind == mWelcome {
		st.link(hi, hostconn.Input{Kind: hostconn.Welcomed, Conn: uint32(h.conn), Epoch: uint64(m.at)})
		if hostconn.State(h.link) == hostconn.Up {
			st.holds(hi, m)
		}
		return
	}
	ti, ai := m.task()
	at := &st.s.tasks[ti].att[ai]
	if !at.mine(st.s.life) || at.is().IsSettled() {
		return // its ref is not known any more
	}
	switch m.kind {
	case mRefused:
		st.input(ti, ai, st.m.refusal(at.is()))
	case mCalled:
		st.input(ti, ai, attempt.Rejected)
	case mRunning:
		st.input(ti, ai, attempt.Accepted)
	case mEnded:
		st.input(ti, ai, attempt.Ended)
	}
}

// holds takes a host's list and asks about what it does not name.
func (st *step) holds(hi int, m message) {
	h := &st.s.hosts[hi]
	for ti := range st.cfg.Tasks {
		for ai := range maxAttempts {
			i, b := bit(ti, ai)
			if m.held[i]&b == 0 {
				continue
			}
			switch at := &st.s.tasks[ti].att[ai]; {
			case at.phase == forgotten || at.life != st.s.life:
				st.inherit(ti, ai)
			case at.is().IsSettled():
				st.send(h, msg(mStop, ti, ai))
			default:
				st.input(ti, ai, attempt.ListedByHost)
			}
		}
	}
	h.ready = 1
	st.each(hi, func(ti, ai int) {
		at := &st.s.tasks[ti].att[ai]
		i, b := bit(ti, ai)
		switch {
		case at.is() == attempt.Waiting:
			st.write(ti, ai)
		case m.held[i]&b == 0 && at.epoch == h.known && at.conn != h.conn && !st.m.noQuery:
			st.send(h, msg(mQuery, ti, ai))
		}
	})
}

// inherit takes over, or stops, what an earlier life of the placer started.
func (st *step) inherit(ti, ai int) {
	t := &st.s.tasks[ti]
	at := &t.att[ai]
	h := &st.s.hosts[at.host]
	var buf [maxAttempts]attempt.Attempt
	ask := st.ask(t, &buf)
	wanted := t.owner == waiting || t.owner == asking
	if !st.m.adopts(wanted, t.owner == asking && ask.HasAttemptInFlight()) {
		st.send(h, msg(mStop, ti, ai))
		return
	}
	at.phase, at.life, at.epoch, at.conn = uint8(attempt.Placed), st.s.life, h.known, h.conn
	t.owner = placed
	st.tell(t, toldPlaced)
}

// ---- The host.

func (st *step) side(hi, ti, ai int, in hostsession.Input) {
	h := &st.s.hosts[hi]
	to, say := st.m.side(h.job(ti, ai), in)
	h.jobs[ti][ai] = uint8(to)
	// Accepted tells the placer nothing where bound means running: it is not sent, which is sound
	// because the placer's side ignores it.
	kind := [...]uint8{0, mRefused, 0, mRunning, mEnded, mCalled}[say]
	if kind != 0 {
		st.say(h, msg(kind, ti, ai))
	}
}

func (st *step) endSession(hi int) {
	h := &st.s.hosts[hi]
	h.sOpen = 0
	if st.m.keepsLine {
		return
	}
	for ti := range st.cfg.Tasks {
		for ai := range maxAttempts {
			to, _ := st.m.side(h.job(ti, ai), hostsession.ConnectionLost)
			h.jobs[ti][ai] = uint8(to)
		}
	}
}

// hear takes a message from a placer at a host, on a stream.
func (st *step) hear(hi int, s *stream, m message) {
	h := &st.s.hosts[hi]
	if m.kind == mHello {
		last := hostsession.Session{Epoch: uint64(h.sLife), Conn: uint32(h.sConn), Connected: h.sOpen == 1}
		if st.m.greet(last, uint64(s.life), uint32(s.num)) == hostsession.HelloStale {
			s.hOpen = 0
			return
		}
		if h.sOpen == 1 {
			if old := h.stream(h.sConn, h.sLife); old != nil && !st.m.anyConn {
				old.hOpen = 0
				old.settle()
			}
			st.endSession(hi)
		}
		h.sLife, h.sConn, h.sOpen = s.life, s.num, 1
		w := message{kind: mWelcome, at: h.epoch}
		for ti := range st.cfg.Tasks {
			for ai := range maxAttempts {
				if h.job(ti, ai).HoldsCapacity() {
					i, b := bit(ti, ai)
					w.held[i] |= b
				}
			}
		}
		st.say(h, w)
		return
	}
	ti, ai := m.task()
	switch m.kind {
	case mOffer:
		st.side(hi, ti, ai, hostsession.Offer)
	case mWithdraw:
		st.side(hi, ti, ai, hostsession.Withdraw)
	case mStop:
		st.side(hi, ti, ai, hostsession.Stop)
	case mQuery:
		st.side(hi, ti, ai, hostsession.Query)
	}
}

// ---- Properties that hold of a step.

// couldRun says whether an attempt may have started its task, or may yet, whatever the placer
// thinks: what really is at the host and on its way.
func (st *step) couldRun(ti, ai int) bool {
	at := &st.s.tasks[ti].att[ai]
	h := &st.s.hosts[at.host]
	switch h.job(ti, ai) {
	case hostsession.Queued, hostsession.Starting, hostsession.Running:
		return h.up == 1
	case hostsession.Ended:
		// What has ended in an earlier life of the placer is its client's to judge, by the terms.
		return h.up == 1 && at.mine(st.s.life)
	}
	for i := range h.streams {
		s := &h.streams[i]
		for j := range s.nth {
			if s.th[j] == msg(mOffer, ti, ai) && s.hOpen == 1 && s.dead == 0 && h.up == 1 {
				return true
			}
		}
	}
	return false
}

// checkOffer holds an offer that is being written against what really is.
func (st *step) checkOffer(ti, ai int) {
	t := &st.s.tasks[ti]
	at := &t.att[ai]
	if st.s.hosts[at.host].told == 2 {
		st.violate("drain", "an offer to a host after the grace of its drain")
	}
	if st.crowded(int(at.host), ti, ai) {
		st.violate("spread", "an offer to a host that has as many of its service as it may")
	}
	if t.told == toldRefused || t.told == toldFailed {
		st.violate("after-outcome", "an offer of a task that was told its outcome")
	}
	for i := range int(t.n) {
		o := &t.att[i]
		if i == ai {
			continue
		}
		if o.mine(st.s.life) && o.ask == at.ask && o.is().IsInFlight() {
			st.violate("one-out", "an offer while another of the same ask is out")
		}
		if st.rules.Effect == forkhead.Safe || !st.couldRun(ti, i) {
			continue
		}
		known := o.mine(st.s.life) && o.is() == attempt.Finished && o.ask != at.ask
		if st.rules.Effect == forkhead.Keyed && t.late == 0 {
			continue // within the window hosts drop the repeat
		}
		if !known {
			st.violate("no-repeat", "an offer while attempt %d, which the placer has as %v, may run or have run", i, phaseName(o))
		}
	}
}

func phaseName(a *att) string {
	if a.phase == forgotten {
		return "forgotten"
	}
	return a.is().String()
}

// checkStart holds a start against what else the task has running.
func (st *step) checkStart(ti, ai int) {
	if st.rules.Effect != forkhead.Unsafe {
		return
	}
	for i := range int(st.s.tasks[ti].n) {
		o := &st.s.tasks[ti].att[i]
		if i != ai && st.s.hosts[o.host].up == 1 && st.s.hosts[o.host].job(ti, i).HoldsCapacity() {
			st.violate("no-repeat", "an unsafe task starts while another start of it runs")
		}
	}
}

// checkEnd holds a state in which nothing fair is left to happen against what should be.
func (m *model) checkEnd(s *state) (property, why string) {
	for ti := range m.cfg.Tasks {
		t := &s.tasks[ti]
		if t.told == untold {
			return "liveness", fmt.Sprintf("task %d is never told an outcome", ti)
		}
		has := 0
		for ai := range int(t.n) {
			at := &t.att[ai]
			if at.mine(s.life) && at.is() == attempt.Placed {
				if has++; has > 1 {
					return "no-leak", fmt.Sprintf("task %d is placed twice", ti)
				}
			}
			if at.mine(s.life) && !at.is().IsSettled() && at.is() != attempt.Placed {
				return "no-leak", fmt.Sprintf("attempt %d of task %d stays %v for good", ai, ti, at.is())
			}
			h := &s.hosts[at.host]
			runs := h.up == 1 && h.job(ti, ai).HoldsCapacity()
			has := at.mine(s.life) && at.is() == attempt.Placed && t.owner == placed
			if runs && !has {
				return "no-leak", fmt.Sprintf("attempt %d of task %d runs on, and nobody has it", ai, ti)
			}
			if has && !runs && h.up == 1 {
				return "no-leak", fmt.Sprintf("attempt %d of task %d is placed, and its host does not have it", ai, ti)
			}
		}
	}
	return "", ""
}
