package forkhead

// Tuned values of slow start. With more slots in a window, a slot holds no offer. A slot takes one part in
// slowStartShares of the maximum: a window touches one slot more than it holds, and one part is left for
// placers that learn of the start late. So no window has more offers than the maximum.
const (
	slowStartSlots  = 3
	slowStartShares = slowStartSlots + 2
)

// inSlowStart says whether the machine is warming up.
func (p *Placer) inSlowStart(m *machine) bool {
	return m.StartedAt > 0 && p.now < m.StartedAt+p.settings.SlowStartDuration
}

// withinSlowStartBudget keeps the offers of all placers to a machine that is warming up within what it
// can always take. Each placer has its share where that is an offer or more, else its turns. What an earlier
// incarnation of this placer sent is not known, so the first window sends nothing.
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

// hasSlowStartTurn cuts time into slots and gives a few placers one offer each in a slot, others in the
// next: each computes them from number, machine and time, without messages. It may hurt where clocks
// differ by more than a slot.
func (p *Placer) hasSlowStartTurn(m *machine) bool {
	window, maxOffers := p.settings.SlowStartWindow, p.settings.SlowStartMaxOffers
	slot, takers := window/slowStartSlots, uint64(maxOffers/slowStartShares)
	if takers == 0 { // too few offers to cut up: every other window is a slot
		slot, takers = 2*window, uint64(maxOffers)
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
	turn := uint64(p.settings.Self) + hash64(uint64(m.ID))%placers + uint64(p.now/slot)%placers*takers
	return turn%placers < takers
}
