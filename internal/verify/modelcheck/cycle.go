package modelcheck

// fairStep is a fair step between two states, which are given by their hashes.
type fairStep struct{ from, to uint64 }

// findCycle looks for cycles of fair steps. It repeatedly removes the states that no fair step from a remaining state
// leads to (Kahn's topological sort). Each state that remains is on a cycle, or is reachable from a cycle and has a
// fair step. findCycle returns the least hash of the remaining states, if there are any.
func findCycle(parts [][]fairStep) (hash uint64, found bool) {
	incoming := map[uint64]int32{}
	next := map[uint64][]uint64{}
	for _, steps := range parts {
		for _, s := range steps {
			incoming[s.to]++
			next[s.from] = append(next[s.from], s.to)
		}
	}
	var removable []uint64
	for from := range next {
		if incoming[from] == 0 {
			removable = append(removable, from)
		}
	}
	for len(removable) > 0 {
		from := removable[len(removable)-1]
		removable = removable[:len(removable)-1]
		for _, to := range next[from] {
			if incoming[to]--; incoming[to] == 0 {
				removable = append(removable, to)
			}
		}
		delete(next, from)
	}
	for from := range next {
		if incoming[from] > 0 && (!found || from < hash) {
			hash, found = from, true
		}
	}
	return hash, found
}
