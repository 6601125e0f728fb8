package modelcheck

// fairStep is a fair step between two states, which are given by their hashes.
type fairStep struct{ from, to uint64 }

// findCycle looks for states that are on a cycle of fair steps, or that are reachable from such a cycle and have a fair
// step. It returns the least of their hashes, if there are such states. It repeatedly removes states that no step from
// a remaining state leads to (Kahn's topological sort); the states that remain are those that cannot be sorted.
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
