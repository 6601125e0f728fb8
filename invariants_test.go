package forkhead

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// invariantChecker checks the actions of one placer for violations of its invariants. It sees only the events
// and actions, not the placer's state. Its methods return a description of the violation, or "" if there is
// none.
type invariantChecker struct {
	settings        Settings
	machines        map[MachineID]Machine // latest entry of each machine in the list
	drainedAt       map[MachineID]time.Duration
	tasks           map[TaskID]*observedTask
	slowStartOffers map[MachineID][]time.Duration // times of the offers
}

// observedTask is a requested or handed-over task with all its attempts.
type observedTask struct {
	Task
	deadline time.Duration
	attempts []*observedAttempt
	answers  int
	canceled bool
}

// observedAttempt is an offer of a task to a machine, or the machine that a handed-over task runs on.
type observedAttempt struct {
	machine    MachineID
	sentAt     time.Duration
	ended      bool
	mayHaveRun bool
	bound      bool
}

func newInvariantChecker(settings Settings) *invariantChecker {
	return &invariantChecker{
		settings: settings, machines: map[MachineID]Machine{}, drainedAt: map[MachineID]time.Duration{},
		tasks: map[TaskID]*observedTask{}, slowStartOffers: map[MachineID][]time.Duration{},
	}
}

// observe records an event before the placer handles it.
func (c *invariantChecker) observe(now time.Duration, event Event) {
	switch event := event.(type) {
	case ListUpdate:
		c.observeList(now, event)
	case PlacementRequest:
		c.tasks[event.Task.ID] = &observedTask{Task: event.Task, deadline: now + event.Task.Timeout}
	case HandedOver:
		running := &observedAttempt{machine: event.Machine, sentAt: now, bound: true}
		c.tasks[event.Task.ID] = &observedTask{Task: event.Task, answers: 1, attempts: []*observedAttempt{running}}
	case Bound:
		t := c.tasks[event.Task]
		t.attempts[event.Attempt].bound = true
		t.answers++
	case Outcome:
		t := c.tasks[event.Task]
		a := t.attempts[event.Attempt]
		a.ended = true
		a.mayHaveRun = !provesNotRun[event.Result]
		if event.Final && !a.bound && t.answers == 0 {
			t.answers++
		}
	case RequestCanceled:
		c.tasks[event.Task].canceled = true
	}
}

func (c *invariantChecker) observeList(now time.Duration, update ListUpdate) {
	listed := map[MachineID]bool{}
	for _, m := range update.Machines {
		listed[m.ID] = true
		c.machines[m.ID] = m
		if m.State == Ready {
			delete(c.drainedAt, m.ID)
		} else {
			c.markDrained(m.ID, now)
		}
	}
	if update.Mode != ListSnapshot && update.Mode != ListCached {
		return
	}
	for id := range c.machines {
		if !listed[id] {
			c.markDrained(id, now)
		}
	}
}

func (c *invariantChecker) markDrained(id MachineID, now time.Duration) {
	if _, drained := c.drainedAt[id]; !drained {
		c.drainedAt[id] = now
	}
}

// checkAction records an action and returns its violation.
func (c *invariantChecker) checkAction(now time.Duration, action Action) string {
	switch action := action.(type) {
	case Offer:
		return c.checkOffer(now, action)
	case Reject:
		return c.checkReject(action)
	case Fail:
		c.tasks[action.Task].answers++
	case Withdraw:
		if action.Attempt >= len(c.tasks[action.Task].attempts) {
			return "withdrew an attempt that was not started"
		}
	case Subscribe:
		if c.settings.ListWatched {
			return "polled a watched list"
		}
	}
	return ""
}

func (c *invariantChecker) checkReject(reject Reject) string {
	t := c.tasks[reject.Task]
	t.answers++
	class := c.settings.Classes[t.Class]
	retryMayHarm := class.Effect == Unsafe || class.Effect == Keyed && class.DedupDomain != AnyDomain
	for _, a := range t.attempts {
		if retryMayHarm && (a.mayHaveRun || !a.ended) {
			return "rejected a task that may have run and must not be retried"
		}
	}
	return ""
}

func (c *invariantChecker) checkOffer(now time.Duration, offer Offer) string {
	t := c.tasks[offer.Task]
	if t.answers > 0 || t.canceled {
		return "offered a task that was answered or canceled"
	}
	if drainedAt, drained := c.drainedAt[offer.Machine]; drained && now > drainedAt+c.settings.DrainGrace {
		return "offered to a machine that is draining or removed"
	}
	if len(t.attempts) >= c.settings.MaxAttempts {
		return "made more than MaxAttempts attempts"
	}
	m := c.machines[offer.Machine]
	if violation := c.checkRetry(now, t, m); violation != "" {
		return violation
	}
	t.attempts = append(t.attempts, &observedAttempt{machine: offer.Machine, sentAt: now})
	if violation := c.checkSpread(t, m); violation != "" {
		return violation
	}
	return c.checkSlowStart(now, m)
}

// checkRetry checks that the earlier attempts of the task allow an offer to the machine.
func (c *invariantChecker) checkRetry(now time.Duration, t *observedTask, m Machine) string {
	class := c.settings.Classes[t.Class]
	for _, a := range t.attempts {
		if !a.ended {
			return "two attempts of a task in flight at once"
		}
		if !a.mayHaveRun {
			continue
		}
		if class.Effect == Unsafe {
			return "offered an unsafe task again after it may have run"
		}
		deduplicated := now <= a.sentAt+class.DedupWindow && shareDomain(class.DedupDomain, m, c.machines[a.machine])
		if class.Effect == Keyed && !deduplicated {
			return "offered a keyed task outside its deduplication domain or window after it may have run"
		}
	}
	return ""
}

// checkSpread checks the spread limit of the task's class in the machine's domain, after an offer.
func (c *invariantChecker) checkSpread(t *observedTask, m Machine) string {
	class := c.settings.Classes[t.Class]
	if class.SpreadDomain == AnyDomain {
		return ""
	}
	count := 0
	for _, other := range c.tasks {
		for _, a := range other.attempts {
			if other.Service == t.Service && !a.ended && shareDomain(class.SpreadDomain, m, c.machines[a.machine]) {
				count++
			}
		}
	}
	if count > class.MaxPerDomain {
		return fmt.Sprintf("got %d tasks of a service in one domain, want at most %d", count, class.MaxPerDomain)
	}
	return ""
}

// checkSlowStart checks that the offers to the machine stay within this placer's share of the slow-start budget.
func (c *invariantChecker) checkSlowStart(now time.Duration, m Machine) string {
	if m.StartedAt <= 0 || now >= m.StartedAt+c.settings.SlowStartDuration {
		return ""
	}
	c.slowStartOffers[m.ID] = append(c.slowStartOffers[m.ID], now)
	inWindow := slices.DeleteFunc(slices.Clone(c.slowStartOffers[m.ID]), func(at time.Duration) bool {
		return at <= now-c.settings.SlowStartWindow
	})
	if float64(len(inWindow)) > c.settings.SlowStartMaxOffers/float64(c.settings.Placers) {
		return "offers exceed this placer's share of a machine's slow-start budget"
	}
	return ""
}

// shareDomain reports whether two machines are in one domain. It shares no code with sameDomain, so that a fault
// of sameDomain is detected.
func shareDomain(level Domain, a, b Machine) bool {
	return level == AnyDomain || level == MachineDomain && a.ID == b.ID ||
		level == CellDomain && a.Cell == b.Cell || level == ZoneDomain && a.Zone == b.Zone
}

// checkAnswers returns the violation of a task that has more than one answer, or none after its deadline.
func (c *invariantChecker) checkAnswers(now time.Duration) string {
	for id, t := range c.tasks {
		if t.answers > 1 {
			return fmt.Sprintf("task %d: got %d answers, want 1", id, t.answers)
		}
		if t.answers == 0 && !t.canceled && now > t.deadline+c.settings.AnswerSlack {
			return fmt.Sprintf("task %d: got no answer by its deadline, want 1", id)
		}
	}
	return ""
}

// randomSchedule passes valid random events to one placer and checks its actions. All events are drawn from one
// generator, so a seed reproduces a schedule.
type randomSchedule struct {
	rng      *rand.Rand
	settings Settings
	placer   *Placer
	checker  *invariantChecker
	now      time.Duration
	lastID   TaskID
	machines []Machine

	// Timers, probes and polls that the placer has requested and that have no answer yet.
	timers []SetTimer
	probes []MachineID
	polls  int
}

func newRandomSchedule(seed uint64) (*randomSchedule, error) {
	rng := rand.New(rand.NewPCG(seed, 7))
	settings := randomSettings(rng)
	p, err := New(settings, seed)
	if err != nil {
		return nil, err
	}
	return &randomSchedule{
		rng: rng, settings: settings, placer: p, checker: newInvariantChecker(settings), now: time.Hour,
		machines: readyMachines(4 + rng.IntN(9)),
	}, nil
}

func randomSettings(rng *rand.Rand) Settings {
	settings := testSettings()
	settings.AnswerSlack, settings.Placers, settings.SlowStartMaxOffers = 8*time.Millisecond, 1+rng.IntN(3), 9
	settings.ListWatched = rng.IntN(2) == 0
	settings.BoundWhenRunning = rng.IntN(2) == 0
	settings.Preemption = rng.IntN(2) == 0
	settings.MayProbe = rng.IntN(4) > 0
	settings.MayWithdraw = rng.IntN(4) > 0
	settings.MayGossip = rng.IntN(2) == 0
	settings.ListReportsAvailable = rng.IntN(4) > 0
	settings.Classes = nil
	for range 1 + rng.IntN(3) {
		settings.Classes = append(settings.Classes, Class{
			Effect:              Effect(rng.IntN(3)),
			DedupDomain:         []Domain{AnyDomain, CellDomain, ZoneDomain}[rng.IntN(3)],
			DedupWindow:         2 * time.Second,
			LatencyObjective:    time.Second,
			Weight:              1 + rng.Float64(),
			MachineType:         -1,
			SaturationThreshold: 0.8,
			DegradationRange:    0.2,
			Priority:            rng.IntN(3),
			SpreadDomain:        Domain(rng.IntN(4)),
			MaxPerDomain:        1 + rng.IntN(4),
		})
	}
	return settings
}

// run runs the steps of the schedule and returns the first violation.
func (s *randomSchedule) run() string {
	const steps = 600
	events := []Event{ListUpdate{Mode: ListCached, Machines: slices.Clone(s.machines)}}
	for range steps {
		if violation := s.step(events); violation != "" {
			return violation
		}
		events = s.nextEvents()
	}
	return ""
}

// step passes the events to the placer, checks its actions and advances the time.
func (s *randomSchedule) step(events []Event) string {
	for _, event := range events {
		s.checker.observe(s.now, event)
	}
	for _, action := range s.placer.Step(s.now, events) {
		if violation := s.checker.checkAction(s.now, action); violation != "" {
			return fmt.Sprintf("at %v: %T%+v: %s", s.now, action, action, violation)
		}
		switch action := action.(type) {
		case SetTimer:
			s.timers = append(s.timers, action)
		case Probe:
			s.probes = append(s.probes, action.Machine)
		case Subscribe:
			s.polls++
		}
	}
	s.now += time.Duration(1+s.rng.IntN(4)) * 2 * time.Millisecond
	if violation := s.checker.checkAnswers(s.now - 12*time.Millisecond); violation != "" {
		return fmt.Sprintf("at %v: %s", s.now, violation)
	}
	return ""
}

// nextEvents draws the events of the next step.
func (s *randomSchedule) nextEvents() []Event {
	events := s.dueAnswers()
	if s.rng.IntN(3) == 0 {
		events = append(events, PlacementRequest{Task: s.newTask()})
	}
	if s.rng.IntN(60) == 0 {
		events = append(events, HandedOver{Task: s.newTask(), Machine: s.machines[s.rng.IntN(len(s.machines))].ID})
	}
	if s.rng.IntN(20) == 0 {
		events = append(events, s.listUpdate())
	}
	if s.rng.IntN(5) == 0 {
		events = append(events, s.gossip())
	}
	ids := make([]TaskID, 0, len(s.checker.tasks))
	for id := range s.checker.tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		events = append(events, s.attemptEvents(s.checker.tasks[id])...)
	}
	return events
}

// dueAnswers returns the due timers and answers to all probes and polls.
func (s *randomSchedule) dueAnswers() []Event {
	var events []Event
	s.timers = slices.DeleteFunc(s.timers, func(timer SetTimer) bool {
		if timer.At <= s.now {
			events = append(events, TimerFired{Timer: timer.Timer})
		}
		return timer.At <= s.now
	})
	for _, id := range s.probes {
		events = append(events, Probed{Machine: id, Result: []Result{OK, TimedOut, ConnectFailed}[s.rng.IntN(3)]})
	}
	s.probes = nil
	for ; s.polls > 0; s.polls-- {
		events = append(events, ListUpdate{Mode: []ListMode{ListFailed, ListDelta}[s.rng.IntN(2)]})
	}
	return events
}

func (s *randomSchedule) newTask() Task {
	s.lastID++
	return Task{
		ID: s.lastID, Key: uint64(s.lastID), Service: s.rng.Uint64N(12), Class: s.rng.IntN(len(s.settings.Classes)),
		Timeout: time.Duration(500+s.rng.IntN(4000)) * time.Millisecond,
		Cores:   []float64{0.5, 1, 4}[s.rng.IntN(3)], Memory: 1,
	}
}

// listUpdate changes a machine and returns either its entry as a delta or a snapshot of the machines that are
// not removed.
func (s *randomSchedule) listUpdate() Event {
	m := &s.machines[s.rng.IntN(len(s.machines))]
	m.State = MachineState(s.rng.IntN(3))
	if m.State == Ready && s.rng.IntN(2) == 0 {
		m.StartedAt = s.now - time.Duration(s.rng.IntN(3000))*time.Millisecond
	}
	m.AvailableCores, m.AvailableMemory = 10*s.rng.Float64(), 20*s.rng.Float64()
	if s.rng.IntN(4) > 0 {
		return ListUpdate{Mode: ListDelta, Machines: []Machine{*m}}
	}
	return ListUpdate{Mode: ListSnapshot, Machines: slices.DeleteFunc(slices.Clone(s.machines), func(m Machine) bool {
		return m.State == Removed
	})}
}

// gossip returns a message with arbitrary content, possibly truncated.
func (s *randomSchedule) gossip() Event {
	message := encodeOutlier(s.machines[s.rng.IntN(len(s.machines))].ID, s.rng.IntN(4))
	if s.rng.IntN(2) == 0 {
		change := capacityChange{machine: s.machines[0].ID, cores: s.rng.Float64() - 0.5, memory: s.rng.Float64()}
		message = encodeCapacityChanges([]capacityChange{change})[0]
	}
	return GossipReceived{From: s.rng.IntN(3), Data: message[:s.rng.IntN(len(message)+1)]}
}

// attemptEvents draws an event of a task's last attempt; in most steps there is none.
func (s *randomSchedule) attemptEvents(t *observedTask) []Event {
	last := len(t.attempts) - 1
	if last < 0 || t.attempts[last].ended {
		return nil
	}
	a := t.attempts[last]
	switch roll := s.rng.IntN(120); {
	case a.bound && roll == 0:
		result := []Result{OK, Reset}[s.rng.IntN(2)]
		return []Event{Outcome{Task: t.ID, Attempt: last, Machine: a.machine, Result: result, Final: true}}
	case a.bound && roll == 1:
		return []Event{Note{
			Task: t.ID, Attempt: last, Machine: a.machine, Kind: NoteKind(1 + s.rng.IntN(5)), Amount: s.rng.Float64(),
		}}
	case !a.bound && roll < 6 && t.answers == 0 && s.now < t.deadline-20*time.Millisecond:
		return []Event{Bound{Task: t.ID, Attempt: last, Machine: a.machine}}
	case !a.bound && roll < 12:
		result := []Result{Errored, Rejected, TimedOut, ConnectFailed, Reset}[s.rng.IntN(5)]
		reason := RejectReason(s.rng.IntN(5))
		return []Event{Outcome{
			Task: t.ID, Attempt: last, Machine: a.machine, Result: result, Reason: reason, Final: t.answers > 0,
		}}
	}
	return nil
}

// checkRandomSchedule runs the schedule of a seed and fails the test at its first violation.
func checkRandomSchedule(t *testing.T, seed uint64) {
	t.Helper()
	schedule, err := newRandomSchedule(seed)
	if err != nil {
		t.Fatal(err)
	}
	if violation := schedule.run(); violation != "" {
		t.Fatalf("schedule of seed %d: %s", seed, violation)
	}
}

func TestPlacerKeepsInvariants(t *testing.T) {
	for seed := range uint64(120) {
		checkRandomSchedule(t, seed)
	}
}

func FuzzPlacerKeepsInvariants(f *testing.F) {
	f.Add(uint64(1000))
	f.Fuzz(checkRandomSchedule)
}

// The checker must detect each violation; otherwise TestPlacerKeepsInvariants would pass although the placer breaks
// an invariant.
func TestInvariantCheckerCatchesViolations(t *testing.T) {
	settings := testSettings()
	settings.SlowStartMaxOffers = 1
	class := &settings.Classes[0]
	class.Effect, class.SpreadDomain, class.MaxPerDomain = Unsafe, MachineDomain, 1
	now := time.Hour
	violations := map[string]func(c *invariantChecker) string{
		"two answers": func(c *invariantChecker) string {
			c.checkAction(now, Reject{Task: 1})
			c.checkAction(now, Fail{Task: 1})
			return c.checkAnswers(now)
		},
		"no answer": func(c *invariantChecker) string { return c.checkAnswers(now + time.Minute) },
		"unsafe task sent again": func(c *invariantChecker) string {
			c.checkAction(now, Offer{Task: 1, Machine: 1})
			c.observe(now, Outcome{Task: 1, Result: TimedOut})
			return c.checkAction(now, Offer{Task: 1, Machine: 2})
		},
		"unsafe task rejected": func(c *invariantChecker) string {
			c.checkAction(now, Offer{Task: 1, Machine: 1})
			return c.checkAction(now, Reject{Task: 1})
		},
		"two attempts in flight": func(c *invariantChecker) string {
			c.checkAction(now, Offer{Task: 1, Machine: 1})
			return c.checkAction(now, Offer{Task: 1, Machine: 2})
		},
		"offer to a draining machine": func(c *invariantChecker) string {
			c.observe(now, ListUpdate{Mode: ListDelta, Machines: []Machine{{ID: 1, State: Draining}}})
			return c.checkAction(now+2*time.Second, Offer{Task: 1, Machine: 1})
		},
		"slow-start budget": func(c *invariantChecker) string {
			c.observe(now, ListUpdate{Mode: ListDelta, Machines: []Machine{{ID: 1, State: Ready, StartedAt: now}}})
			c.checkAction(now, Offer{Task: 1, Machine: 1})
			return c.checkAction(now, Offer{Task: 2, Machine: 1})
		},
		"spread limit": func(c *invariantChecker) string {
			c.observe(now, HandedOver{Task: Task{ID: 9}, Machine: 1})
			return c.checkAction(now, Offer{Task: 1, Machine: 1})
		},
	}
	for name, violate := range violations {
		c := newInvariantChecker(settings)
		c.observe(now, ListUpdate{Mode: ListSnapshot, Machines: readyMachines(2)})
		c.observe(now, PlacementRequest{Task: Task{ID: 1, Timeout: time.Second}})
		c.observe(now, PlacementRequest{Task: Task{ID: 2, Service: 1, Timeout: time.Second}})
		if violate(c) == "" {
			t.Errorf("%s: got no violation, want one", name)
		}
	}
}
