package forkhead

import (
	"testing"
	"time"
)

// leaveTwoUnanswered leaves two attempts of class 0 unanswered on the only machine, which answers probes, and
// returns the actions of the steps in which the attempts are overdue.
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

// A machine that answers probes but leaves attempts of one class unanswered must not get further attempts of it.
func TestOutlierIsEjectedForUnansweredClass(t *testing.T) {
	settings := twoClassSettings()
	h := newHarness(t, settings, readyMachines(1))
	actionsWhenOverdue := leaveTwoUnanswered(h)
	if _, actions := h.request(0, 3); len(actionsOf[Offer](actions)) > 0 {
		t.Fatalf("request of the ejected class: got actions %v, want no Offer", formatActions(actions))
	}
	if _, actions := h.request(1, 4); len(actionsOf[Offer](actions)) != 1 {
		t.Fatalf("request of another class: got actions %v, want one Offer", formatActions(actions))
	}
	h.now += maxEjectionTime
	_, actions := h.request(0, 5)
	if h.step(TimerFired{Timer: timerNumber(timerRetry, 0)}); len(h.placer.queue) > 0 {
		t.Fatalf("request after maxEjectionTime and a retry is still queued, want an offer; actions of the request: %v",
			formatActions(actions))
	}
	other := newHarness(t, settings, readyMachines(1))
	messages := actionsOf[Gossip](actionsWhenOverdue)
	if len(messages) == 0 {
		t.Fatalf("actions for overdue attempts = %v, want Gossip about the outlier", formatActions(actionsWhenOverdue))
	}
	for range 2 {
		other.step(GossipReceived{From: 1, Data: messages[0].Data})
	}
	if _, actions := other.request(0, 3); len(actionsOf[Offer](actions)) > 0 {
		t.Errorf("request at a placer that received the gossip twice: got actions %v, want no Offer",
			formatActions(actions))
	}
}

// A machine that answers each offer with an error keeps its capacity available, so it could get all attempts of
// a task one after the other.
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
				t.Fatalf("offer after an error of machine %d goes to that machine, want another one", broken)
			}
		}
		h.step(
			Bound{Task: id, Attempt: attempt, Machine: offer.Machine},
			Outcome{Task: id, Attempt: attempt, Machine: offer.Machine, Final: true},
		)
		h.now += 10 * time.Millisecond
	}
	if errored != 2 {
		t.Errorf("tasks offered to the machine that returns errors = %d, want 2, as the second error ejects it", errored)
	}
}

// A client that sends tasks which no machine can run must not cause the ejection of a machine.
func TestTaskErroringEverywhereEjectsNoMachine(t *testing.T) {
	h := newHarness(t, testSettings(), readyMachines(6))
	for range 20 {
		id, actions := h.request(0, 7)
		for attempt := 0; len(actionsOf[Offer](actions)) > 0; attempt++ {
			machine := h.singleOffer(actions).Machine
			actions = h.step(Outcome{Task: id, Attempt: attempt, Machine: machine, Result: Errored})
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
		t.Errorf("machines that get tasks = %d, want all 6", len(used))
	}
}

// A suspect machine that answers its probe as unhealthy is probed again until it is well.
func TestUnhealthySuspectMachineIsProbedAgain(t *testing.T) {
	h := newHarness(t, testSettings(), readyMachines(1))
	id, actions := h.request(0, 7)
	first := h.singleOffer(actions)
	actions = h.step(Outcome{Task: id, Attempt: 0, Machine: first.Machine, Result: ConnectFailed})
	for range 3 {
		if probes := h.probesWithin(actions, 8*time.Second); len(probes) != 1 {
			t.Fatalf("probes of the suspect machine = %d, want 1", len(probes))
		}
		actions = h.step(Probed{Machine: first.Machine, Result: Errored})
		if len(actionsOf[Offer](actions)) > 0 {
			t.Fatalf("actions after an unhealthy answer = %v, want no Offer", formatActions(actions))
		}
	}
}

// probesWithin fires the timers that actions set for the next d, and returns the probes that follow.
func (h *harness) probesWithin(actions []Action, d time.Duration) (probes []Probe) {
	end := h.now + d
	for _, timer := range actionsOf[SetTimer](actions) {
		if timer.At > end {
			continue
		}
		h.now = max(h.now, timer.At)
		probes = append(probes, actionsOf[Probe](h.step(TimerFired{Timer: timer.Timer}))...)
	}
	return probes
}

func TestSuspectMachineIsProbedAndUsedOnceItAnswers(t *testing.T) {
	h := newHarness(t, testSettings(), readyMachines(1))
	id, actions := h.request(0, 7)
	first := h.singleOffer(actions)
	actions = h.step(Outcome{Task: id, Attempt: 0, Machine: first.Machine, Result: ConnectFailed})
	if len(actionsOf[Offer](actions)) > 0 {
		t.Fatalf("actions after a failed connection to the only machine = %v, want no Offer", formatActions(actions))
	}
	probes := h.probesWithin(actions, 4*time.Second)
	if len(probes) != 1 {
		t.Fatalf("probes of the suspect machine = %d, want 1", len(probes))
	}
	actions = h.step(Probed{Machine: first.Machine, Result: OK})
	h.now += queueRetryInterval
	actions = append(actions, h.step(ListUpdate{Mode: ListDelta})...)
	h.singleOffer(actions)
}

// All placers whose connections to a machine fail at the same time must not go on probing it at the same time.
func TestProbesOfManyPlacersStayFew(t *testing.T) {
	const placers, seconds = 470, 20
	var probes [seconds + 10]int
	for _, p := range newPlacers(t, testSettings(), placers) {
		actions := p.Step(time.Hour, []Event{
			ListUpdate{Mode: ListCached, Machines: readyMachines(1)},
			PlacementRequest{Task: Task{ID: 1, Service: 42, Timeout: time.Second, Cores: 1, Memory: 1}},
		})
		if len(actionsOf[Offer](actions)) != 1 {
			t.Fatalf("actions of the request = %v, want one Offer", formatActions(actions))
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
				t.Fatalf("after the event %T%+v: got no timer and no probe, want one", events[0], events[0])
			}
		}
	}
	for second, n := range probes {
		if n > placers/2 {
			t.Errorf("probes of %d placers in second %d = %d, want at most %d", placers, second, n, placers/2)
		}
	}
}
