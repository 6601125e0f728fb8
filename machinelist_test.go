package forkhead

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

// A machine that failed a connection, left the list and came back after a restart must get offers again. If its
// failed checks still counted, it would stay suspect for good.
func TestMachineListedAgainIsUsed(t *testing.T) {
	machines := readyMachines(1)
	h := newHarness(t, testSettings(), machines)
	id, actions := h.request(0, 7)
	first := h.singleOffer(actions)
	actions = h.step(Outcome{Task: id, Attempt: 0, Machine: first.Machine, Result: ConnectFailed})
	removed := machines[0]
	removed.State = Removed
	h.step(ListUpdate{Mode: ListDelta, Machines: []Machine{removed}})
	h.now += time.Minute
	for _, timer := range actionsOf[SetTimer](actions) {
		h.step(TimerFired{Timer: timer.Timer})
	}
	restarted := machines[0]
	restarted.StartedAt = h.now - time.Second
	h.step(ListUpdate{Mode: ListDelta, Machines: []Machine{restarted}})
	_, actions = h.request(0, 8)
	h.singleOffer(actions)
}

func TestNoOfferToDrainingRemovedOrUnlistedMachines(t *testing.T) {
	machines := readyMachines(4)
	draining, removed := machines[0], machines[1]
	draining.State, removed.State = Draining, Removed
	for name, update := range map[string]ListUpdate{
		"delta":          {Mode: ListDelta, Machines: []Machine{draining, removed}},
		"snapshot":       {Mode: ListSnapshot, Machines: []Machine{draining, machines[2], machines[3]}},
		"drains at once": {Mode: ListDelta, Machines: []Machine{draining, removed}},
	} {
		h := newHarness(t, testSettings(), machines)
		h.step(update)
		for service := range uint64(40) {
			_, actions := h.request(0, service)
			for _, offer := range actionsOf[Offer](actions) {
				if offer.Machine == 1 || offer.Machine == 2 {
					t.Fatalf("%s: got an offer to machine %d, want none to 1 and 2", name, offer.Machine)
				}
			}
		}
	}
}

// Machines may be replaced continually, so memory would grow without limit if a placer kept all removed machines. It
// keeps only those that hold one of its tasks.
func TestRemovedMachinesAreForgotten(t *testing.T) {
	h := newHarness(t, testSettings(), readyMachines(3))
	task := h.newTask(0, 7)
	h.step(HandedOver{Task: task, Machine: 1})
	h.step(ListUpdate{Mode: ListDelta, Machines: []Machine{{ID: 1, State: Removed}}})
	for i := range MachineID(1000) {
		h.now += time.Second
		added := readyMachines(1)[0]
		added.ID = 100 + i
		h.step(ListUpdate{Mode: ListDelta, Machines: []Machine{added, {ID: 99 + i, State: Removed}}})
	}
	if n := len(h.placer.machines); n > 70 {
		t.Errorf("machines known after 1000 replacements = %d, want at most 70, those of the last minute", n)
	}
	if h.placer.machines[1] == nil {
		t.Error("removed machine 1 that holds a task is forgotten, want it kept")
	}
	h.step(Outcome{Task: task.ID, Machine: 1, Result: Reset, Final: true})
}

func TestPollIsRetriedAfterFailures(t *testing.T) {
	settings := testSettings()
	settings.ListWatched = false
	p, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	now, logged := time.Hour, 0
	actions := p.Step(now, []Event{ListUpdate{Mode: ListCached}})
	if len(actionsOf[Subscribe](actions)) != 1 {
		t.Fatalf("actions of the first step = %v, want one Subscribe", formatActions(actions))
	}
	for round := range 12 {
		actions = p.Step(now, []Event{ListUpdate{Mode: ListFailed}})
		logged += len(actionsOf[Log](actions))
		timers := actionsOf[SetTimer](actions)
		if len(timers) != 1 || timers[0].At <= now || timers[0].At > now+settings.MaxPollInterval {
			t.Fatalf("failed poll %d: got actions %v, want one SetTimer within %v",
				round, formatActions(actions), settings.MaxPollInterval)
		}
		now = timers[0].At
		actions = p.Step(now, []Event{TimerFired{Timer: timers[0].Timer}})
		if len(actionsOf[Subscribe](actions)) != 1 {
			t.Fatalf("timer after failed poll %d: got actions %v, want one Subscribe", round, formatActions(actions))
		}
	}
	if logged != 1 {
		t.Errorf("log messages for 12 consecutive failed polls = %d, want 1", logged)
	}
}

func TestWatchedListIsNotPolled(t *testing.T) {
	h := newHarness(t, testSettings(), readyMachines(3))
	if got := h.step(); len(actionsOf[Subscribe](got)) > 0 {
		t.Fatalf("actions with a watched list = %v, want no Subscribe", formatActions(got))
	}
}

// While the list fails, polls must not multiply. They do if each failed poll sets more than one timer, or if
// earlier timers still count.
func TestPollsOfManyPlacersStayFew(t *testing.T) {
	settings := testSettings()
	settings.ListWatched, settings.Placers = false, 470
	const maxPollsPerSecond = 100 // what the list service is assumed to handle, from all placers together
	perSecond := map[time.Duration]int{}
	for self := range settings.Placers {
		settings.Self = self
		p, err := New(settings, uint64(self))
		if err != nil {
			t.Fatal(err)
		}
		now, end := time.Hour, time.Hour+30*time.Second
		polls := 0
		var timers []SetTimer
		events := []Event{ListUpdate{Mode: ListCached}}
		for now < end {
			actions := p.Step(now, events)
			timers = append(timers, actionsOf[SetTimer](actions)...)
			events = nil
			if len(actionsOf[Subscribe](actions)) > 0 {
				polls++
				perSecond[now.Truncate(time.Second)]++
				now += 2 * time.Second
				events = append(events, ListUpdate{Mode: ListFailed})
				continue
			}
			slices.SortFunc(timers, func(a, b SetTimer) int { return cmp.Compare(a.At, b.At) })
			if len(timers) == 0 {
				t.Fatalf("placer %d after %d failed polls: got no timer, want one for the next poll", self, polls)
			}
			now = max(now, timers[0].At)
			events = append(events, TimerFired{Timer: timers[0].Timer})
			timers = timers[1:]
		}
		if polls < 2 || polls > 12 {
			t.Fatalf("polls of placer %d in 30 s of failures = %d, want 2 to 12", self, polls)
		}
	}
	for second, n := range perSecond {
		if n > maxPollsPerSecond+maxPollsPerSecond/2 {
			t.Errorf("polls of %d placers in the second at %v = %d, want at most %d",
				settings.Placers, second, n, maxPollsPerSecond+maxPollsPerSecond/2)
		}
	}
}

// Surplus machines in use have a cost, so the emptiest go on standby and get tasks only when the others have no
// capacity.
func TestStandbyTakesEmptiestMachines(t *testing.T) {
	settings := testSettings()
	settings.Costs.SurplusMachine = 0.15
	machines := readyMachines(6)
	// 12 of 60 cores are requested: two machines have the capacity for them, one more stays in use.
	machines[0].AvailableCores, machines[1].AvailableCores = 4, 4
	h := newHarness(t, settings, machines)
	used, placed := map[MachineID]int{}, 0
	place := func(n int) {
		for range n {
			id, actions := h.request(0, uint64(1000+placed))
			for _, offer := range actionsOf[Offer](actions) {
				used[offer.Machine]++
				placed++
				h.step(
					Bound{Task: id, Machine: offer.Machine},
					Note{Task: id, Machine: offer.Machine, Kind: NoteRunning, Amount: 1},
				)
			}
		}
	}
	place(8)
	if len(used) > 3 || used[1]+used[2] == 0 {
		t.Errorf("tasks by machine of 8 tasks = %v, want at most 3 machines, 1 or 2 among them", used)
	}
	place(40)
	if len(used) != 6 {
		t.Errorf("tasks by machine of 48 tasks = %v, want all 6 machines", used)
	}
}

// When all machines are replaced, the oldest are replaced first, and the tasks on them are lost. So the oldest
// machines go on standby even if they are the fullest.
func TestStandbyTakesOlderMachinesFirst(t *testing.T) {
	settings := testSettings()
	settings.Costs.SurplusMachine = 0.15
	machines := readyMachines(6)
	machines[0].AvailableCores, machines[1].AvailableCores = 4, 4 // the fullest machines, which are also among the oldest
	h := newHarness(t, settings, nil)
	for i := 3; i < 6; i++ {
		machines[i].StartedAt = h.now - time.Minute
	}
	h.step(ListUpdate{Mode: ListSnapshot, Machines: machines})
	for service := range uint64(8) {
		_, actions := h.request(0, 1000+service)
		if offer := h.singleOffer(actions); offer.Machine < 4 {
			t.Errorf("request %d: got an offer to machine %d, one of the oldest, want 4, 5 or 6", service+1, offer.Machine)
		}
	}
}
