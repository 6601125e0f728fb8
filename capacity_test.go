package forkhead

import (
	"testing"
	"time"
)

// When a placer starts, the list already counts the tasks that are handed over to it. If they were counted a
// second time, all machines would look full for the first seconds.
func TestHandedOverTaskIsNotCountedTwice(t *testing.T) {
	machines := readyMachines(2)
	for i := range machines {
		machines[i].AvailableCores, machines[i].AvailableMemory = 3, 10 // each machine has 10 cores and 20 memory units
	}
	h := newHarness(t, testSettings(), machines)
	for i := range 14 {
		h.step(HandedOver{Task: h.newTask(0, uint64(100+i)), Machine: machines[i%2].ID})
	}
	_, actions := h.request(0, 7)
	h.singleOffer(actions)
}

// Each change is sent to all placers, so the cost of a task's messages grows with the number of placers unless
// it is limited.
func TestGossipCostIsBounded(t *testing.T) {
	for _, n := range []int{1, 3, 130, 470} {
		settings := testSettings()
		settings.MayGossip, settings.Placers, settings.Costs.Gossip = true, n, 0.01
		h := newHarness(t, settings, readyMachines(12))
		const tasks = 300
		cost := 0.0
		count := func(actions []Action) {
			for _, gossip := range actionsOf[Gossip](actions) {
				cost += float64(len(gossip.Data)) / 256 * float64(n-1) * settings.Costs.Gossip
			}
		}
		for i := range tasks {
			id, actions := h.request(0, uint64(i%20))
			count(actions)
			for _, offer := range actionsOf[Offer](actions) {
				// Every third start is slow: the machine answers probes, but has not answered the offer yet.
				for wait := 0; i%3 == 0 && wait < 6; wait++ {
					h.now += attemptTimeout
					count(h.step(Probed{Machine: offer.Machine, Result: OK}))
					count(h.step(TimerFired{Timer: timerNumber(timerAttempt, uint32(id))}))
				}
				count(h.step(Bound{Task: id, Machine: offer.Machine}))
				count(h.step(Outcome{Task: id, Machine: offer.Machine, Result: OK, Final: true}))
			}
			h.now += 500 * time.Millisecond
		}
		if cost > 2*maxGossipCost*tasks {
			t.Errorf("%d placers: gossip cost per task = %g, want at most %g", n, cost/tasks, 2*maxGossipCost)
		}
		if n == 3 && cost == 0 {
			t.Error("3 placers: gossip cost of all tasks = 0, want more than 0")
		}
	}
}

// Gossip messages, valid or not, must not add machines or grow the state of a machine without limit.
func TestGossipFloodIsBounded(t *testing.T) {
	for _, n := range []int{3, 470} {
		settings := testSettings()
		settings.MayGossip, settings.Placers = true, n
		h := newHarness(t, settings, readyMachines(3))
		for i := range 20000 {
			change := capacityChange{machine: MachineID(i%4 + 1), program: uint32(i), cores: 0.1, memory: 0.1}
			h.step(
				GossipReceived{From: 1, Data: encodeCapacityChanges([]capacityChange{change})[0]},
				GossipReceived{From: 1, Data: make([]byte, i%255)},
				GossipReceived{From: 1, Data: encodeOutlier(MachineID(i), i%256)},
			)
		}
		if len(h.placer.machines) != 3 {
			t.Errorf("machines known after gossip about unknown ones = %d, want 3", len(h.placer.machines))
		}
		for _, m := range h.placer.machines {
			if len(m.peerChanges) > maxPeerChanges || len(m.cachedPrograms) > maxCachedPrograms {
				t.Errorf("machine %d: got %d changes of other placers and %d cached programs, want at most %d and %d",
					m.ID, len(m.peerChanges), len(m.cachedPrograms), maxPeerChanges, maxCachedPrograms)
			}
		}
	}
}
