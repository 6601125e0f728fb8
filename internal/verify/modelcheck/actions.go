package modelcheck

import (
	"fmt"

	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/hostconn"
	"forkhead/internal/scheduler/hostsession"
)

// actions lists what may happen in a state, in a fixed order.
func (m *model) actions(s *state, out []action) []action {
	out = out[:0]
	add := func(fair bool, do func(st *step), name string, args ...any) {
		if len(args) > 0 && m.cfg.named {
			name = fmt.Sprintf(name, args...)
		}
		out = append(out, action{name, fair, do})
	}
	for hi := range m.cfg.Hosts {
		h := &s.hosts[hi]
		m.network(s, hi, add)
		m.hostActions(s, hi, add)
		if hostconn.State(h.link) == hostconn.Down && h.up == 1 && h.streams[1].num == 0 {
			add(true, func(st *step) { st.dial(hi) }, "placer connects to host %d", hi)
		}
		if h.drains == 1 && h.told == 0 {
			add(true, func(st *step) { st.s.hosts[hi].told = 1 }, "placer is told that host %d drains", hi)
		}
		if h.told == 1 {
			add(true, func(st *step) { st.s.hosts[hi].told = 2 }, "grace of host %d is over", hi)
		}
	}
	for ti := range m.cfg.Tasks {
		m.owner(s, ti, add)
		m.module(s, ti, add)
	}
	if int(s.faults) < m.cfg.Faults && !m.cfg.NoCrash {
		add(false, crash, "placer crashes")
	}
	return out
}

type adder func(fair bool, do func(st *step), name string, args ...any)

// network: deliveries, ends seen, cuts.
func (m *model) network(s *state, hi int, add adder) {
	h := &s.hosts[hi]
	for i := range h.streams {
		st := &h.streams[i]
		if st.num == 0 {
			continue
		}
		if st.nth > 0 && st.hOpen == 1 && st.dead == 0 && h.up == 1 {
			add(true, func(x *step) {
				q := &x.s.hosts[hi].streams[i]
				msg := pop(&q.th, &q.nth)
				x.hear(hi, q, msg)
				q.settle()
			}, "host %d reads %s", hi, messageNames[st.th[0].kind])
		}
		if st.ntp > 0 && st.pOpen == 1 && st.dead == 0 {
			add(true, func(x *step) {
				q := &x.s.hosts[hi].streams[i]
				num := q.num
				msg := pop(&q.tp, &q.ntp)
				if num == x.s.hosts[hi].conn || x.m.anyConn {
					x.frame(hi, msg)
				}
			}, "placer reads %s of host %d", messageNames[st.tp[0].kind], hi)
		}
		if st.pOpen == 1 && (st.hOpen == 0 && st.ntp == 0 || st.dead == 1) {
			add(true, func(x *step) {
				q := &x.s.hosts[hi].streams[i]
				num := q.num
				q.pOpen = 0
				q.settle()
				x.link(hi, hostconn.Input{Kind: hostconn.Disconnected, Conn: uint32(num)})
			}, "placer sees the connection to host %d end", hi)
		}
		if st.hOpen == 1 && (st.pOpen == 0 || st.dead == 1) {
			add(true, func(x *step) {
				hh := &x.s.hosts[hi]
				q := &hh.streams[i]
				if hh.sOpen == 1 && hh.sConn == q.num && hh.sLife == q.life {
					x.endSession(hi)
				}
				q.hOpen = 0
				q.settle()
			}, "host %d sees its connection end", hi)
		}
		if st.dead == 0 && st.pOpen == 1 && st.hOpen == 1 && int(s.faults) < m.cfg.Faults {
			add(false, func(x *step) {
				q := &x.s.hosts[hi].streams[i]
				q.dead = 1
				q.th, q.tp, q.nth, q.ntp = [maxQueue]message{}, [maxQueue]message{}, 0, 0
				x.s.faults++
			}, "the connection to host %d is cut", hi)
		}
	}
}

// hostActions: looks, starts, ends, deaths, drains.
func (m *model) hostActions(s *state, hi int, add adder) {
	h := &s.hosts[hi]
	if h.up == 0 {
		add(true, func(st *step) {
			x := &st.s.hosts[hi]
			x.up = 1
			x.epoch++
		}, "host %d comes back", hi)
		return
	}
	for ti := range m.cfg.Tasks {
		for ai := range maxAttempts {
			switch h.job(ti, ai) {
			case hostsession.Queued:
				copyStands := false
				for other := range maxAttempts {
					copyStands = copyStands || other != ai && h.job(ti, other).HoldsCapacity()
				}
				if !copyStands && h.drains == 0 {
					add(true, func(st *step) {
						st.side(hi, ti, ai, hostsession.Accept)
						st.checkStart(ti, ai)
					}, "host %d accepts task %d", hi, ti)
				}
				add(true, func(st *step) { st.side(hi, ti, ai, hostsession.Reject) }, "host %d refuses task %d", hi, ti)
			case hostsession.Starting:
				add(true, func(st *step) { st.side(hi, ti, ai, hostsession.Start) }, "task %d runs on host %d", ti, hi)
			case hostsession.Running:
				if m.cfg.TasksEnd {
					add(false, func(st *step) { st.side(hi, ti, ai, hostsession.Finish) }, "task %d ends on host %d", ti, hi)
				}
			}
		}
	}
	if int(s.faults) < m.cfg.Faults {
		add(false, func(st *step) {
			x := &st.s.hosts[hi]
			x.up, x.sOpen, x.drains = 0, 0, 0
			x.jobs = [maxTasks][maxAttempts]uint8{}
			for i := range x.streams {
				x.streams[i].hOpen = 0
				x.streams[i].settle()
			}
			st.s.faults++
		}, "host %d dies", hi)
	}
	if h.drains == 0 && int(s.faults) < m.cfg.Faults {
		add(false, func(st *step) {
			x := &st.s.hosts[hi]
			x.drains = 1
			st.s.faults++
		}, "host %d drains", hi)
	}
}

// owner: asks, and gives up; both by timers that may fire at any time.
func (m *model) owner(s *state, ti int, add adder) {
	t := &s.tasks[ti]
	if t.owner == waiting {
		heard := true
		for hi := range m.cfg.Hosts {
			heard = heard && s.hosts[hi].known > 0
		}
		st := step{model: m, s: s}
		_, may := m.m.mayAsk(&m.rules, t.now(), st.unknown(t), 0)
		// The owner's wait for hosts that never speak again is by the terms of the rules, and outside
		// this search: it waits for all of them.
		if int(t.asks) < m.cfg.Requests && may && !m.m.waits(&m.rules, heard, false) {
			add(true, func(st *step) {
				x := &st.s.tasks[ti]
				x.owner = asking
				if !st.m.askAlways || x.asks == 0 {
					x.asks++
				}
			}, "task %d is asked for", ti)
		}
		add(true, func(st *step) {
			x := &st.s.tasks[ti]
			if x.told == untold {
				word := toldFailed
				if st.m.harmless(&st.rules, x.refused == 1, x.n > 0, st.unknown(x)) {
					word = toldRefused
					st.checkPromise(ti)
				}
				st.tell(x, word)
			}
			x.owner = done
		}, "the owner of task %d gives up", ti)
	}
	if t.late == 0 && m.cfg.keyed && t.n > 0 {
		add(false, func(st *step) { st.s.tasks[ti].late = 1 }, "hosts forget the key of task %d", ti)
	}
	if m.rules.ExpiresWhenUnreachable() {
		for ai := range int(t.n) {
			if at := &t.att[ai]; at.mine(s.life) && at.is() == attempt.Unreachable {
				add(true, func(st *step) { st.input(ti, ai, attempt.Expired) }, "task %d on host %d counts as lost", ti, at.host)
			}
		}
	}
}

// checkPromise: a refusal says that trying again is harmless.
func (st *step) checkPromise(ti int) {
	if st.rules.RetryIsHarmless() {
		return
	}
	t := &st.s.tasks[ti]
	for ai := range int(t.n) {
		if at := &t.att[ai]; at.mine(st.s.life) && at.is() == attempt.Unknown && st.couldRun(ti, ai) {
			st.violate("promise", "a task is told refused while attempt %d may run", ai)
		}
	}
}

// module: every legal action of it.
func (m *model) module(s *state, ti int, add adder) {
	t := &s.tasks[ti]
	if t.owner != asking {
		return
	}
	st := step{model: m, s: s}
	var buf [maxAttempts]attempt.Attempt
	ask := st.ask(t, &buf)
	if int(t.n) < m.cfg.Attempts {
		for hi := range m.cfg.Hosts {
			h := &s.hosts[hi]
			if st.drained(h) || m.m.mayOffer(&ask, t.now(), attempt.HostID(hi)) != nil || st.crowded(hi, -1, -1) {
				continue
			}
			if l := hostconn.State(h.link); l == hostconn.Down {
				continue // no connection: the attempt is over before it began
			}
			add(false, func(x *step) {
				tt := &x.s.tasks[ti]
				ai := int(tt.n)
				tt.att[ai] = att{phase: uint8(attempt.Waiting), host: uint8(hi), ask: tt.asks, life: x.s.life}
				tt.n++
				if x.usable(&x.s.hosts[hi]) {
					x.write(ti, ai)
				}
			}, "module offers task %d to host %d", ti, hi)
		}
	}
	// Withdraw, then refuse or fail: the ask's deadline may come at any time.
	for _, refuse := range []bool{true, false} {
		given := ask
		given.Attempts = append([]attempt.Attempt(nil), ask.Attempts...)
		for i := range given.Attempts {
			if given.Attempts[i].Phase.IsInFlight() {
				given.Attempts[i].Phase, _ = m.m.next(given.Attempts[i].Phase, attempt.Abandoned)
			}
		}
		if m.m.mayAnswer(&given, refuse) != nil {
			continue
		}
		word := "fails"
		if refuse {
			word = "refuses"
		}
		add(true, func(x *step) {
			tt := &x.s.tasks[ti]
			for ai := range int(tt.n) {
				if at := &tt.att[ai]; at.mine(x.s.life) && at.ask == tt.asks && at.is().IsInFlight() {
					x.input(ti, ai, attempt.Abandoned)
				}
			}
			tt.owner, tt.refused = waiting, 0
			if refuse {
				tt.refused = 1
			}
		}, "module %s task %d", word, ti)
	}
	if ask.HasAttemptInFlight() {
		add(false, func(x *step) {
			tt := &x.s.tasks[ti]
			for ai := range int(tt.n) {
				if at := &tt.att[ai]; at.mine(x.s.life) && at.ask == tt.asks && at.is().IsInFlight() {
					x.input(ti, ai, attempt.Abandoned)
				}
			}
		}, "module withdraws task %d", ti)
	}
}

// crash ends the placer's life: all that it knew is gone, its clients ask again, hosts go on.
func crash(st *step) {
	s := st.s
	s.life++
	s.faults++
	for hi := range st.cfg.Hosts {
		h := &s.hosts[hi]
		h.link, h.conn, h.known, h.ready = uint8(hostconn.Down), 0, 0, 0
		if h.told > 0 {
			h.told = 0
		}
		for i := range h.streams {
			h.streams[i].pOpen = 0
			h.streams[i].settle()
		}
	}
	for ti := range st.cfg.Tasks {
		t := &s.tasks[ti]
		t.owner, t.told, t.asks, t.refused = waiting, untold, 0, 0
		for ai := range int(t.n) {
			t.att[ai].phase = forgotten
		}
	}
}
