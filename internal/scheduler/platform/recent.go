package platform

// recent is a bounded set of the values that were added most recently.
type recent[K comparable] struct {
	ring   []K
	oldest int
	counts map[K]int // number of occurrences of each value in the ring
}

func newRecent[K comparable](capacity int) recent[K] {
	return recent[K]{ring: make([]K, 0, capacity), counts: map[K]int{}}
}

// add adds a value. If the set is full, the oldest entry is dropped.
func (r *recent[K]) add(value K) {
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, value)
	} else {
		r.removeOne(r.ring[r.oldest])
		r.ring[r.oldest] = value
		r.oldest = (r.oldest + 1) % len(r.ring)
	}
	r.counts[value]++
}

// removeOne removes one occurrence of a value from counts.
func (r *recent[K]) removeOne(value K) {
	if r.counts[value] == 1 {
		delete(r.counts, value)
	} else {
		r.counts[value]--
	}
}

func (r *recent[K]) contains(value K) bool { return r.counts[value] > 0 }
