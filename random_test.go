package forkhead

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// checker holds the rules against the actions of one placer's life. It knows only what went
// over the interface, nothing of the placer's state.
type checker struct {
	set      Settings
	machines map[MachineID]Machine
	drained  map[MachineID]time.Duration // when told that it drains or is gone
	tasks    map[TaskID]*seen
	cold     map[MachineID][]time.Duration
}

type seen struct {
	Task
	due      time.Duration
	sent     []*try
	answers  int
	leftTold bool
}

type try struct {
	on     MachineID
	at     time.Duration
	over   bool
	mayRun bool
	bound  bool
}

func newChecker(set Settings) *checker {
	return &checker{
		set: set, machines: map[MachineID]Machine{}, drained: map[MachineID]time.Duration{},
		tasks: map[TaskID]*seen{}, cold: map[MachineID][]time.Duration{},
	}
}

func (c *checker) event(now time.Duration, ev Event) {
	switch ev := ev.(type) {
	case ListUpdate:
		listed := map[MachineID]bool{}
		for _, m := range ev.Machines {
			listed[m.ID] = true
			c.machines[m.ID] = m
			if m.State == Ready {
				delete(c.drained, m.ID)
			} else if _, told := c.drained[m.ID]; !told {
				c.drained[m.ID] = now
			}
		}
		if ev.Mode == ListSnapshot || ev.Mode == ListCached {
			for id := range c.machines {
				if _, told := c.drained[id]; !listed[id] && !told {
					c.drained[id] = now
				}
			}
		}
	case PlacementRequest:
		c.tasks[ev.Task.ID] = &seen{Task: ev.Task, due: now + ev.Task.Timeout}
	case HandedOver:
		c.tasks[ev.Task.ID] = &seen{Task: ev.Task, answers: 1, sent: []*try{{on: ev.Machine, at: now, bound: true}}}
	case Bound:
		t := c.tasks[ev.Task]
		t.sent[ev.Attempt].bound = true
		t.answers++
	case Outcome:
		t := c.tasks[ev.Task]
		a := t.sent[ev.Attempt]
		a.over = true
		a.mayRun = ev.Result != Rejected && ev.Result != ConnectFailed && ev.Result != NotSent
		if ev.Final && !a.bound && t.answers == 0 {
			t.answers++
		}
	case RequestCanceled:
		c.tasks[ev.Task].leftTold = true
	}
}

// action returns what rule an action breaks, or "".
func (c *checker) action(now time.Duration, action Action) string {
	switch a := action.(type) {
	case Offer:
		return c.offer(now, a)
	case Reject:
		t := c.tasks[a.Task]
		t.answers++
		class := c.set.Classes[t.Class]
		for _, s := range t.sent {
			if (s.mayRun || !s.over) && (class.Effect == Unsafe || class.Effect == Keyed && class.DedupDomain != AnyDomain) {
				return "refused a task that may have run"
			}
		}
	case Fail:
		c.tasks[a.Task].answers++
	case Withdraw:
		if a.Attempt >= len(c.tasks[a.Task].sent) {
			return "withdrew an attempt never made"
		}
	case Subscribe:
		if c.set.ListWatched {
			return "asked a list that is pushed"
		}
	}
	return ""
}

func (c *checker) offer(now time.Duration, o Offer) string {
	t := c.tasks[o.Task]
	class, m := c.set.Classes[t.Class], c.machines[o.Machine]
	if t.answers > 0 || t.leftTold {
		return "offered a task that has its answer"
	}
	if told, ok := c.drained[o.Machine]; ok && now > told+c.set.DrainGrace {
		return "offered to a machine that drains or is gone"
	}
	if len(t.sent) >= c.set.MaxAttempts {
		return "more attempts than allowed"
	}
	for _, s := range t.sent {
		if !s.over {
			return "two attempts out at once"
		}
		if !s.mayRun {
			continue
		}
		if class.Effect == Unsafe {
			return "unsafe task sent again after it may have run"
		}
		if class.Effect == Keyed && (now > s.at+class.DedupWindow || !alike(class.DedupDomain, m, c.machines[s.on])) {
			return "keyed task sent outside its group or window"
		}
	}
	t.sent = append(t.sent, &try{on: o.Machine, at: now})
	if class.SpreadDomain != AnyDomain {
		n := 0
		for _, other := range c.tasks {
			for _, s := range other.sent {
				if other.Service == t.Service && !s.over && alike(class.SpreadDomain, m, c.machines[s.on]) {
					n++
				}
			}
		}
		if n > class.MaxPerDomain {
			return fmt.Sprintf("%d tasks of a service in one place, at most %d", n, class.MaxPerDomain)
		}
	}
	if m.StartedAt > 0 && now < m.StartedAt+c.set.SlowStartDuration {
		c.cold[m.ID] = append(c.cold[m.ID], now)
		window := slices.DeleteFunc(slices.Clone(c.cold[m.ID]), func(at time.Duration) bool {
			return at <= now-c.set.SlowStartWindow
		})
		if float64(len(window)) > c.set.SlowStartMaxOffers/float64(c.set.Placers) {
			return "over our share of a cold machine's budget"
		}
	}
	return ""
}

// alike is the rule's own reading of one machine, cell or zone.
func alike(place Domain, a, b Machine) bool {
	return place == AnyDomain || place == MachineDomain && a.ID == b.ID ||
		place == CellDomain && a.Cell == b.Cell || place == ZoneDomain && a.Zone == b.Zone
}

// late returns a task whose answer is overdue, or that has more than one.
func (c *checker) late(now time.Duration) string {
	for id, t := range c.tasks {
		if t.answers > 1 {
			return fmt.Sprintf("task %d has %d answers", id, t.answers)
		}
		if t.answers == 0 && !t.leftTold && now > t.due+c.set.AnswerSlack {
			return fmt.Sprintf("task %d has no answer after its deadline", id)
		}
	}
	return ""
}

// life drives one placer by legal events drawn from a seed and returns the first broken rule.
func life(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 7))
	set := testSettings()
	set.AnswerSlack, set.Placers, set.SlowStartMaxOffers = 8*time.Millisecond, 1+rng.IntN(3), 9
	set.ListWatched, set.BoundWhenRunning, set.Preemption = rng.IntN(2) == 0, rng.IntN(2) == 0, rng.IntN(2) == 0
	set.MayProbe, set.MayWithdraw, set.MayGossip = rng.IntN(4) > 0, rng.IntN(4) > 0, rng.IntN(2) == 0
	set.ListReportsAvailable = rng.IntN(4) > 0
	set.Classes = nil
	for range 1 + rng.IntN(3) {
		set.Classes = append(set.Classes, Class{
			Effect: Effect(rng.IntN(3)), DedupDomain: []Domain{AnyDomain, CellDomain, ZoneDomain}[rng.IntN(3)], DedupWindow: 2 * time.Second,
			LatencyObjective: time.Second, Weight: 1 + rng.Float64(), MachineType: -1, SaturationThreshold: 0.8, DegradationRange: 0.2, Priority: rng.IntN(3),
			SpreadDomain: Domain(rng.IntN(4)), MaxPerDomain: 1 + rng.IntN(4),
		})
	}
	p, err := New(set, seed)
	if err != nil {
		return err.Error()
	}
	c := newChecker(set)
	now, next := time.Hour, TaskID(0)
	machines := fleet(4 + rng.IntN(9))
	type timer struct {
		id uint64
		at time.Duration
	}
	var timers []timer
	var probes []MachineID
	asked := 0
	events := []Event{ListUpdate{Mode: ListCached, Machines: slices.Clone(machines)}}
	newTask := func() Task {
		next++
		return Task{
			ID: next, Key: uint64(next), Service: rng.Uint64N(12), Class: rng.IntN(len(set.Classes)),
			Timeout: time.Duration(500+rng.IntN(4000)) * time.Millisecond, Cores: []float64{0.5, 1, 4}[rng.IntN(3)], Memory: 1,
		}
	}
	for range 600 {
		for _, ev := range events {
			c.event(now, ev)
		}
		for _, a := range p.Step(now, events) {
			if broken := c.action(now, a); broken != "" {
				return fmt.Sprintf("seed %d at %v: %T%+v: %s", seed, now, a, a, broken)
			}
			switch a := a.(type) {
			case SetTimer:
				timers = append(timers, timer{a.Timer, a.At})
			case Probe:
				probes = append(probes, a.Machine)
			case Subscribe:
				asked++
			}
		}
		now += time.Duration(1+rng.IntN(4)) * 2 * time.Millisecond
		if broken := c.late(now - 12*time.Millisecond); broken != "" {
			return fmt.Sprintf("seed %d at %v: %s", seed, now, broken)
		}
		events = nil
		timers = slices.DeleteFunc(timers, func(t timer) bool {
			if t.at <= now {
				events = append(events, TimerFired{Timer: t.id})
			}
			return t.at <= now
		})
		for _, m := range probes {
			events = append(events, Probed{Machine: m, Result: []Result{OK, TimedOut, ConnectFailed}[rng.IntN(3)]})
		}
		probes = nil
		for ; asked > 0; asked-- {
			events = append(events, ListUpdate{Mode: []ListMode{ListFailed, ListDelta}[rng.IntN(2)]})
		}
		if rng.IntN(3) == 0 {
			events = append(events, PlacementRequest{Task: newTask()})
		}
		if rng.IntN(60) == 0 {
			events = append(events, HandedOver{Task: newTask(), Machine: machines[rng.IntN(len(machines))].ID})
		}
		if rng.IntN(20) == 0 {
			events = append(events, flap(rng, machines, now))
		}
		if rng.IntN(5) == 0 { // a message, whole or broken, true or not
			data := encodeOutlier(machines[rng.IntN(len(machines))].ID, rng.IntN(4))
			if rng.IntN(2) == 0 {
				data = encodeCapacityChanges([]capacityChange{{machine: machines[0].ID, cores: rng.Float64() - 0.5, memory: rng.Float64()}})[0]
			}
			events = append(events, Received{From: rng.IntN(3), Data: data[:rng.IntN(len(data)+1)]})
		}
		ids := make([]TaskID, 0, len(c.tasks))
		for id := range c.tasks {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			events = append(events, fate(rng, c.tasks[id], now)...)
		}
	}
	return ""
}

// flap changes one machine's state, or sends the whole list without it.
func flap(rng *rand.Rand, machines []Machine, now time.Duration) Event {
	i := rng.IntN(len(machines))
	m := &machines[i]
	m.State = MachineState(rng.IntN(3))
	if m.State == Ready && rng.IntN(2) == 0 {
		m.StartedAt = now - time.Duration(rng.IntN(3000))*time.Millisecond
	}
	m.AvailableCores, m.AvailableMemory = 10*rng.Float64(), 20*rng.Float64()
	if rng.IntN(4) > 0 {
		return ListUpdate{Mode: ListDelta, Machines: []Machine{*m}}
	}
	return ListUpdate{Mode: ListSnapshot, Machines: slices.DeleteFunc(slices.Clone(machines), func(m Machine) bool {
		return m.State == Removed
	})}
}

// fate is what becomes of a task's attempt in one moment: mostly nothing.
func fate(rng *rand.Rand, t *seen, now time.Duration) []Event {
	n := len(t.sent) - 1
	if n < 0 || t.sent[n].over {
		return nil
	}
	a := t.sent[n]
	switch roll := rng.IntN(120); {
	case a.bound && roll == 0:
		result := []Result{OK, Reset}[rng.IntN(2)]
		return []Event{Outcome{Task: t.ID, Attempt: n, Machine: a.on, Result: result, Final: true}}
	case a.bound && roll == 1:
		return []Event{Note{Task: t.ID, Attempt: n, Machine: a.on, Kind: NoteKind(1 + rng.IntN(5)), Amount: rng.Float64()}}
	case !a.bound && roll < 6 && t.answers == 0 && now < t.due-20*time.Millisecond:
		return []Event{Bound{Task: t.ID, Attempt: n, Machine: a.on}}
	case !a.bound && roll < 12:
		result := []Result{Errored, Rejected, TimedOut, ConnectFailed, Reset}[rng.IntN(5)]
		return []Event{Outcome{
			Task: t.ID, Attempt: n, Machine: a.on, Result: result, Reason: RejectReason(rng.IntN(5)), Final: t.answers > 0,
		}}
	}
	return nil
}

func TestRandomLivesKeepTheRules(t *testing.T) {
	for seed := range uint64(120) {
		if broken := life(seed); broken != "" {
			t.Fatal(broken)
		}
	}
}

func FuzzRandomLivesKeepTheRules(f *testing.F) {
	f.Add(uint64(1000))
	f.Fuzz(func(t *testing.T, seed uint64) {
		if broken := life(seed); broken != "" {
			t.Fatal(broken)
		}
	})
}

// The checker must catch a breach of each rule.
func TestCheckerCatchesBreaches(t *testing.T) {
	set := testSettings()
	set.SlowStartMaxOffers = 1
	set.Classes[0].Effect, set.Classes[0].SpreadDomain, set.Classes[0].MaxPerDomain = Unsafe, MachineDomain, 1
	now := time.Hour
	for name, breach := range map[string]func(c *checker) string{
		"two answers": func(c *checker) string {
			c.action(now, Reject{Task: 1})
			c.action(now, Fail{Task: 1})
			return c.late(now)
		},
		"lost task": func(c *checker) string { return c.late(now + time.Minute) },
		"unsafe sent again": func(c *checker) string {
			c.action(now, Offer{Task: 1, Machine: 1})
			c.event(now, Outcome{Task: 1, Result: TimedOut})
			return c.action(now, Offer{Task: 1, Machine: 2})
		},
		"unsafe refused": func(c *checker) string {
			c.action(now, Offer{Task: 1, Machine: 1})
			return c.action(now, Reject{Task: 1})
		},
		"two out": func(c *checker) string {
			c.action(now, Offer{Task: 1, Machine: 1})
			return c.action(now, Offer{Task: 1, Machine: 2})
		},
		"drain": func(c *checker) string {
			c.event(now, ListUpdate{Mode: ListDelta, Machines: []Machine{{ID: 1, State: Draining}}})
			return c.action(now+2*time.Second, Offer{Task: 1, Machine: 1})
		},
		"cold": func(c *checker) string {
			c.event(now, ListUpdate{Mode: ListDelta, Machines: []Machine{{ID: 1, State: Ready, StartedAt: now}}})
			c.action(now, Offer{Task: 1, Machine: 1})
			return c.action(now, Offer{Task: 2, Machine: 1})
		},
		"spread": func(c *checker) string {
			c.event(now, HandedOver{Task: Task{ID: 9}, Machine: 1})
			return c.action(now, Offer{Task: 1, Machine: 1})
		},
	} {
		c := newChecker(set)
		c.event(now, ListUpdate{Mode: ListSnapshot, Machines: fleet(2)})
		c.event(now, PlacementRequest{Task: Task{ID: 1, Timeout: time.Second}})
		c.event(now, PlacementRequest{Task: Task{ID: 2, Service: 1, Timeout: time.Second}})
		if breach(c) == "" {
			t.Errorf("%s: not caught", name)
		}
	}
}
