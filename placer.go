package forkhead

import (
	"slices"
	"time"
)

// Step takes the events of one moment in order and returns what to do, in order. The time
// counts from an epoch that all placers share and never goes back.
func (p *Placer) Step(now time.Duration, events []Event) []Action {
	p.now, p.actions = now, nil
	if !p.started {
		p.started, p.startedAt = true, now
		p.schedulePoll(p.pollSpread() * time.Duration(p.settings.Self) / time.Duration(p.settings.Placers))
	}
	for _, event := range orderEvents(events) {
		p.handle(event)
	}
	if p.capacityChanged {
		p.capacityChanged = false
		p.placeQueued()
	}
	for _, message := range encodeCapacityChanges(p.pendingGossip) {
		p.emit(Gossip{To: AllPlacers, Data: message})
	}
	p.pendingGossip = p.pendingGossip[:0]
	return p.actions
}

// orderEvents puts lists and handed-over tasks before the other events of a moment and timers after them:
// no offer then relies on older knowledge than the moment has, and a placer that was paused reads the
// answers that came meanwhile before it takes their attempts for overdue.
func orderEvents(events []Event) []Event {
	rank := func(event Event) int {
		switch event.(type) {
		case ListUpdate, HandedOver:
			return 0
		case TimerFired:
			return 2
		}
		return 1
	}
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return rank(a) - rank(b) })
	return events
}
