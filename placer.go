package forkhead

import (
	"slices"
	"time"
)

// Step handles the events of one moment and returns the actions to take, in order. The time counts from an
// epoch that all placers share and never goes backward.
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

// orderEvents moves list updates and handed-over tasks before the other events of a moment, so that no offer
// relies on outdated state. It moves timers after them, so that a placer that was paused handles the answers
// that arrived in the meantime before it treats their attempts as overdue.
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
