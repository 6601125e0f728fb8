package forkhead

import (
	"slices"
	"testing"
	"time"
)

func TestSelectionSpillsToNearestGroup(t *testing.T) {
	machines := readyMachines(9)
	h := newHarness(t, testSettings(), machines)
	groups := groupIDs(h.placer)
	small := h.newTask(0, 7)
	small.Cores = 0.5
	own := int(h.placer.pools[0].sizes.loadPosition(small.Cores, 1, small.Service) * float64(len(groups)))
	var full []Machine
	for _, id := range groups[own] {
		m := machines[id-1]
		m.AvailableCores = 0
		full = append(full, m)
	}
	h.step(ListUpdate{Mode: ListDelta, Machines: full})
	got := h.singleOffer(h.step(PlacementRequest{Task: small})).Machine
	isNearest := false
	for i, group := range groups {
		if slices.Contains(group, got) && (i-own == 1 || own-i == 1) {
			isNearest = true
		}
	}
	if !isNearest {
		t.Errorf("offer with group %d of %v full goes to machine %d, want one of an adjacent group", own, groups, got)
	}
}

func TestSelectionTakesTightestFit(t *testing.T) {
	machines := readyMachines(2)
	machines[1].AvailableCores, machines[1].AvailableMemory = 4, 8
	h := newHarness(t, testSettings(), machines)
	group := h.placer.pools[0].order
	got := h.placer.selectInGroup(&task{Task: h.newTask(0, 7)}, group, &selectionPass{maxStarting: 1})
	if got == nil || got.ID != 2 {
		t.Errorf("selectInGroup() = %+v, want machine 2, the fuller one", got)
	}
}

func TestSelectionPrefersCachedProgram(t *testing.T) {
	h := newHarness(t, testSettings(), readyMachines(9))
	id, actions := h.request(0, 7)
	first := h.singleOffer(actions).Machine
	h.step(Bound{Task: id, Machine: first})
	h.step(Outcome{Task: id, Machine: first, Result: OK, Final: true})
	for range 5 {
		_, actions = h.request(0, 7)
		if got := h.singleOffer(actions).Machine; got != first {
			t.Fatalf("further request of the service: got an offer to machine %d, want %d, which has the program", got, first)
		}
	}
}

// Placers that see different available capacity must still bring a service's program to the same machine.
func TestSelectionOfManyPlacersAgrees(t *testing.T) {
	used := map[MachineID]bool{}
	for i, p := range newPlacers(t, testSettings(), 130) {
		machines := readyMachines(20)
		for k := range machines {
			machines[k].AvailableCores = 3 + float64((i*7+k*3)%5)
		}
		actions := p.Step(time.Hour, []Event{
			ListUpdate{Mode: ListCached, Machines: machines},
			PlacementRequest{Task: Task{ID: 1, Service: 42, Timeout: time.Second, Cores: 1, Memory: 1}},
		})
		for _, offer := range actionsOf[Offer](actions) {
			used[offer.Machine] = true
		}
	}
	if len(used) != 1 {
		t.Errorf("machines that get one service from 130 placers = %d, want 1", len(used))
	}
}

// A task that requires labels goes only to a machine that has all of them, and is queued if there is none.
func TestSelectionRequiresLabels(t *testing.T) {
	machines := readyMachines(6)
	machines[4].Labels = 0b10
	h := newHarness(t, testSettings(), machines)
	task := h.newTask(0, 7)
	task.RequiredLabels = 0b10
	if offer := h.singleOffer(h.step(PlacementRequest{Task: task})); offer.Machine != 5 {
		t.Fatalf("task that requires a label: got an offer to machine %d, want 5, which has the label", offer.Machine)
	}
	task = h.newTask(0, 8)
	task.RequiredLabels = 0b110
	if offers := actionsOf[Offer](h.step(PlacementRequest{Task: task})); len(offers) != 0 {
		t.Fatalf("task that requires two labels: got offers %v, want none as no machine has both", offers)
	}
	machines[1].Labels = 0b111
	if offer := h.singleOffer(h.step(ListUpdate{Mode: ListDelta, Machines: machines[1:2]})); offer.Machine != 2 {
		t.Fatalf("task that requires two labels: got an offer to machine %d, want 2, which has both", offer.Machine)
	}
}

func TestSelectionOffersWhereMachinesPreempt(t *testing.T) {
	for _, c := range []struct {
		preemption bool
		wantOffers int
	}{
		{false, 0},
		{true, 1},
	} {
		settings := testSettings()
		settings.Preemption = c.preemption
		high := settings.Classes[0]
		high.Priority = 1
		settings.Classes = append(settings.Classes, high)
		h := newHarness(t, settings, readyMachines(1))
		for service := range uint64(10) {
			id, actions := h.request(0, service)
			h.step(Bound{Task: id, Machine: h.singleOffer(actions).Machine})
		}
		h.now += 3 * time.Second
		h.step(ListUpdate{Mode: ListDelta, Machines: []Machine{{ID: 1, State: Ready, AvailableMemory: 10}}})
		if _, actions := h.request(0, 98); len(actionsOf[Offer](actions)) > 0 {
			t.Errorf("preemption %v, full machine: got offers %v of a task of the same priority, want none",
				c.preemption, actionsOf[Offer](actions))
		}
		_, actions := h.request(1, 99)
		h.now += 60 * time.Millisecond
		actions = append(actions, h.step(ListUpdate{Mode: ListDelta})...)
		if got := len(actionsOf[Offer](actions)); got != c.wantOffers {
			t.Errorf("preemption %v, full machine: got %d offers of a task of higher priority, want %d",
				c.preemption, got, c.wantOffers)
		}
	}
}

// The spread limits of the service and of its class both apply.
func TestSpreadLimitsOfTaskAndClassBothHold(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].SpreadDomain, settings.Classes[0].MaxPerDomain = ZoneDomain, 3
	h := newHarness(t, settings, readyMachines(6)) // two cells, one zone
	offers := 0
	for range 5 {
		task := h.newTask(0, 7)
		task.SpreadLimits[CellDomain] = 1
		offers += len(actionsOf[Offer](h.step(PlacementRequest{Task: task})))
	}
	if offers != 2 {
		t.Fatalf("offers with a limit of 1 per cell and two cells = %d, want 2", offers)
	}
	for range 3 {
		task := h.newTask(0, 7)
		task.SpreadLimits[CellDomain] = 9
		offers += len(actionsOf[Offer](h.step(PlacementRequest{Task: task})))
	}
	if offers != 3 {
		t.Fatalf("offers with a class limit of 3 per zone and one zone = %d, want 3", offers)
	}
}

func TestSpreadLimitCountsAttemptsAndHandedOverTasks(t *testing.T) {
	const maxPerDomain = 2
	for _, c := range []struct {
		name      string
		level     Domain
		domain    func(m Machine) int
		wantTasks int
	}{
		{"machine", MachineDomain, func(m Machine) int { return int(m.ID) }, 24},
		{"cell", CellDomain, func(m Machine) int { return m.Cell }, 8},
		{"zone", ZoneDomain, func(m Machine) int { return m.Zone }, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := testSettings()
			settings.Classes[0].SpreadDomain, settings.Classes[0].MaxPerDomain = c.level, maxPerDomain
			machines := readyMachines(12)
			h := newHarness(t, settings, machines)
			tasks, total := map[int]int{}, 0
			count := func(id MachineID) int {
				total++
				domain := c.domain(machines[id-1])
				tasks[domain]++
				return tasks[domain]
			}
			for _, id := range []MachineID{1, 1, 4} {
				h.step(HandedOver{Task: h.newTask(0, 7), Machine: id})
				count(id)
			}
			for range 40 {
				_, actions := h.request(0, 7)
				for _, offer := range actionsOf[Offer](actions) {
					if n := count(offer.Machine); n > maxPerDomain {
						t.Fatalf("tasks of a service in one %s after an offer = %d, want at most %d",
							c.name, n, maxPerDomain)
					}
				}
			}
			if total != c.wantTasks {
				t.Errorf("tasks placed in total = %d, want %d, as many as the spread limit allows", total, c.wantTasks)
			}
		})
	}
}

// A restarted placer knows of its running tasks only by hand-over, so handed-over tasks must count for the spread limit.
func TestHandedOverTaskCountsForSpread(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].SpreadDomain, settings.Classes[0].MaxPerDomain = ZoneDomain, 1
	h := newHarness(t, settings, readyMachines(6))
	running := h.newTask(0, 7)
	if got := h.step(HandedOver{Task: running, Machine: 2}); len(actionsOf[Offer](got)) > 0 {
		t.Fatalf("hand-over of a task: got actions %v, want no Offer", formatActions(got))
	}
	id, actions := h.request(0, 7)
	if len(actionsOf[Offer](actions)) > 0 {
		t.Fatalf("request with the spread limit reached by a handed-over task: got actions %v, want no Offer",
			formatActions(actions))
	}
	actions = h.step(Outcome{Task: running.ID, Machine: 2, Result: OK, Final: true})
	if got := h.singleOffer(actions); got.Task != id {
		t.Errorf("end of the handed-over task: got an offer of task %d, want %d, the queued one", got.Task, id)
	}
}

// Placers with a lagging list see the same available capacity. Without randomized admission, all of them would
// offer to the same machine.
func TestRandomAdmissionMatchesAvailableCapacity(t *testing.T) {
	machine := readyMachines(1)[0]
	machine.AvailableCores, machine.AvailableMemory = 4, 8
	placers := newPlacers(t, testSettings(), 400)
	rejectedTwice := &task{Task: Task{Cores: 1, Memory: 1}, attempts: make([]*attempt, 2)}
	notAttempted := &task{Task: Task{Cores: 1, Memory: 1}}
	total := 0
	for slot := range 20 {
		now, admitted := time.Hour+time.Duration(slot)*admissionSlot, 0
		for _, p := range placers {
			p.Step(now, []Event{ListUpdate{Mode: ListSnapshot, Machines: []Machine{machine}}})
			if p.isAdmittedAtRandom(rejectedTwice, p.machines[1]) {
				admitted++
			}
			if !p.isAdmittedAtRandom(notAttempted, p.machines[1]) {
				t.Fatal("isAdmittedAtRandom(task without attempts) = false, want true, as it has fewer than two attempts")
			}
		}
		if total += admitted; admitted > 15 {
			t.Errorf("slot %d: placers admitted to a machine that 4 tasks fit on = %d, want at most 15", slot, admitted)
		}
	}
	if total < 40 || total > 120 {
		t.Errorf("placers admitted in 20 slots to a machine that 4 tasks fit on = %d, want 40 to 120 in total", total)
	}
}
