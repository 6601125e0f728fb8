package forkhead

// Constants of slow start. A window is divided into slowStartSlots slots; with more of them, the share of a
// slot would be less than one offer. A slot gets 1/slowStartShares of the maximum of a window, so that no
// window exceeds the maximum: a window can overlap slowStartSlots+1 slots, and one share is reserved for
// placers that learn of the machine's start late.
const (
	slowStartSlots  = 3
	slowStartShares = slowStartSlots + 2
)

// inSlowStart reports whether the machine is warming up.
func (p *Placer) inSlowStart(m *machine) bool {
	return m.StartedAt > 0 && p.now < m.StartedAt+p.settings.SlowStartDuration
}

// withinSlowStartBudget reports whether this placer may offer to the machine. While a machine is warming up,
// all placers together may send it at most SlowStartMaxOffers offers in a window. Each placer has an equal
// share if that is at least one offer per window; otherwise placers take turns. The offers of an earlier
// incarnation of this placer are not known, so it sends none in the first window after its start.
func (p *Placer) withinSlowStartBudget(m *machine) bool {
	if !p.inSlowStart(m) {
		return true
	}
	if p.now < p.startedAt+p.settings.SlowStartWindow {
		return false
	}
	share := p.settings.SlowStartMaxOffers / float64(p.settings.Placers)
	if share < 1 {
		return p.hasSlowStartTurn(m)
	}
	for len(m.slowStartOffers) > 0 && m.slowStartOffers[0] <= p.now-p.settings.SlowStartWindow {
		m.slowStartOffers = m.slowStartOffers[1:]
	}
	return float64(len(m.slowStartOffers)+1) <= share
}

// hasSlowStartTurn reports whether this placer has a turn to offer to the machine. Time is divided into
// slots; in each slot a few placers have one offer each, and in the next slot others. Each placer computes
// its turns from its index, the machine and the time, without messages. The cost: if clocks differ by more
// than a slot, a window may get more offers than the maximum.
func (p *Placer) hasSlowStartTurn(m *machine) bool {
	window, maxOffers := p.settings.SlowStartWindow, p.settings.SlowStartMaxOffers
	slot, placersPerSlot := window/slowStartSlots, uint64(maxOffers/slowStartShares)
	if placersPerSlot == 0 { // fewer offers than shares: offer only in every other window
		slot, placersPerSlot = 2*window, uint64(maxOffers)
		if slot == 0 || p.now%slot >= window {
			return false
		}
	}
	slotStart := p.now - p.now%slot
	if slotStart < p.startedAt {
		return false
	}
	if sent := m.slowStartOffers; len(sent) > 0 && sent[len(sent)-1] >= slotStart {
		return false
	}
	placers := uint64(p.settings.Placers)
	turn := uint64(p.settings.Self) + hash64(uint64(m.ID))%placers + uint64(p.now/slot)%placers*placersPerSlot
	return turn%placers < placersPerSlot
}
