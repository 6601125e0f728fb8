package forkhead

import (
	"testing"
	"time"
)

// leaveTwoUnanswered leaves two attempts of class 0 unanswered on the only machine, which answers
// probes, and returns the actions of the moments when they were found overdue.
func leaveTwoUnanswered(h *harness) []Action {
	h.t.Helper()
	var all []Action
	for service := range uint64(2) {
		id, actions := h.request(0, service)
		h.singleOffer(actions)
		h.now += time.Millisecond
		h.step(Probed{Machine: 1, Result: OK})
		h.now += 2*initialStartTimeP95 + attemptTimeout
		actions = h.step(TimerFired{Timer: timerNumber(timerAttempt, uint32(id))})
		all = append(all, actions...)
		h.step(Outcome{Task: id, Machine: 1, Result: Withdrawn, Final: true})
	}
	return all
}

func twoClassSettings() Settings {
	settings := testSettings()
	settings.Classes = append(settings.Classes, settings.Classes[0])
	settings.Placers, settings.MayGossip = 200, true
	return settings
}

// A machine that left one class unanswered was once offered it again and again.
func TestOutlierIsEjectedForUnansweredClass(t *testing.T) {
	settings := twoClassSettings()
	h := newHarness(t, settings, readyMachines(1))
	actionsWhenOverdue := leaveTwoUnanswered(h)
	if _, actions := h.request(0, 3); len(actionsOf[Offer](actions)) > 0 {
		t.Fatal("the class was offered again while the machine is ejected for it")
	}
	if _, actions := h.request(1, 4); len(actionsOf[Offer](actions)) != 1 {
		t.Fatalf("the other class is not offered either: %v", formatActions(actions))
	}
	h.now += maxEjectionTime
	_, actions := h.request(0, 5)
	if h.step(TimerFired{Timer: timerNumber(timerRetry, 0)}); len(h.placer.queue) > 0 {
		t.Fatalf("the machine stays ejected for good: %v", formatActions(actions))
	}
	other := newHarness(t, settings, readyMachines(1))
	messages := actionsOf[Gossip](actionsWhenOverdue)
	if len(messages) == 0 {
		t.Fatal("no gossip about the outlier")
	}
	for range 2 {
		other.step(GossipReceived{From: 1, Data: messages[0].Data})
	}
	if _, actions := other.request(0, 3); len(actionsOf[Offer](actions)) > 0 {
		t.Error("a placer that got the message twice offered the class")
	}
}

// On the platform a machine once answered each offer with an error and, since errors leave its capacity
// available, drew all four attempts of one task after the other.
func TestOutlierIsEjectedAfterErrors(t *testing.T) {
	h := newHarness(t, testSettings(), readyMachines(6))
	const broken = MachineID(2)
	errored := 0
	for service := range uint64(200) {
		id, actions := h.request(0, service)
		offer := h.singleOffer(actions)
		attempt := 0
		if offer.Machine == broken {
			errored++
			attempt++
			offer = h.singleOffer(h.step(Outcome{Task: id, Machine: broken, Result: Errored}))
			if offer.Machine == broken {
				t.Fatal("a task is offered again to the machine that returned an error for it")
			}
		}
		h.step(
			Bound{Task: id, Attempt: attempt, Machine: offer.Machine},
			Outcome{Task: id, Attempt: attempt, Machine: offer.Machine, Final: true},
		)
		h.now += 10 * time.Millisecond
	}
	if errored != 2 {
		t.Errorf("the machine returned errors for %d tasks, want 2: others took both", errored)
	}
}

// A client that sends tasks which no machine can run must not get any machine ejected.
func TestTaskErroringEverywhereEjectsNoMachine(t *testing.T) {
	h := newHarness(t, testSettings(), readyMachines(6))
	for range 20 {
		id, actions := h.request(0, 7)
		for attempt := 0; len(actionsOf[Offer](actions)) > 0; attempt++ {
			actions = h.step(Outcome{Task: id, Attempt: attempt, Machine: h.singleOffer(actions).Machine, Result: Errored})
		}
	}
	used := map[MachineID]bool{}
	for service := range uint64(200) {
		_, actions := h.request(0, service)
		for _, offer := range actionsOf[Offer](actions) {
			used[offer.Machine] = true
		}
	}
	if len(used) != 6 {
		t.Errorf("%d machines get tasks, want all 6", len(used))
	}
}

func TestSuspectMachineIsProbedAndUsedOnceItAnswers(t *testing.T) {
	h := newHarness(t, testSettings(), readyMachines(1))
	id, actions := h.request(0, 7)
	first := h.singleOffer(actions)
	actions = h.step(Outcome{Task: id, Attempt: 0, Machine: first.Machine, Result: ConnectFailed})
	if len(actionsOf[Offer](actions)) > 0 {
		t.Fatal("offered again to a suspect machine")
	}
	var probes []Probe
	for _, timer := range actionsOf[SetTimer](actions) {
		if timer.At > h.now+4*time.Second {
			continue
		}
		h.now = max(h.now, timer.At)
		probes = append(probes, actionsOf[Probe](h.step(TimerFired{Timer: timer.Timer}))...)
	}
	if len(probes) != 1 {
		t.Fatalf("want one probe, got %d", len(probes))
	}
	actions = h.step(Probed{Machine: first.Machine, Result: OK})
	h.now += queueRetryInterval
	actions = append(actions, h.step(ListUpdate{Mode: ListDelta})...)
	h.singleOffer(actions)
}

// Once all placers that had lost a task on a machine went on probing it within the same half second.
func TestProbesOfManyPlacersStayFew(t *testing.T) {
	const placers, seconds = 470, 20
	var probes [seconds + 10]int
	for _, p := range newPlacers(t, testSettings(), placers) {
		actions := p.Step(time.Hour, []Event{
			ListUpdate{Mode: ListCached, Machines: readyMachines(1)},
			PlacementRequest{Task: Task{ID: 1, Service: 42, Timeout: time.Second, Cores: 1, Memory: 1}},
		})
		if len(actionsOf[Offer](actions)) != 1 {
			t.Fatalf("not offered: %v", formatActions(actions))
		}
		now, events := time.Hour, []Event{Outcome{Task: 1, Result: ConnectFailed}}
		for now < time.Hour+seconds*time.Second {
			due := time.Duration(0)
			for _, action := range p.Step(now, events) {
				switch action := action.(type) {
				case Probe:
					probes[int((now-time.Hour)/time.Second)]++
					events = []Event{Probed{Machine: 1, Result: ConnectFailed}}
				case SetTimer:
					if timerPurpose(action.Timer>>timerPurposeShift) == timerSuspect {
						due, events = action.At, []Event{TimerFired{Timer: action.Timer}}
					}
				}
			}
			if due > 0 {
				now = due
			} else if _, probed := events[0].(Probed); !probed {
				t.Fatal("the machine is never probed again")
			}
		}
	}
	for second, n := range probes {
		if n > placers/2 {
			t.Errorf("%d probes of %d placers in second %d", n, placers, second)
		}
	}
}
