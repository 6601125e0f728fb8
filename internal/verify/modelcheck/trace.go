package modelcheck

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// lostTrace is printed in a trace where no action leads to the state that is known to follow.
const lostTrace = "(two states share a hash: the trace is lost here)"

// trace returns the names of the actions that lead from the root to a finding. They are found on states as they are, not
// on canonical ones, so that task 1 stays task 1 throughout.
func (s *search) trace(root state, f finding) []string {
	s.formatNames = true
	defer func() { s.formatNames = false }()
	at := root
	var names []string
	take := func(accept func(st *step) bool) {
		name, next, ok := s.takeAction(&at, accept)
		if !ok {
			names = append(names, lostTrace)
			return
		}
		names = append(names, name)
		at = next
	}
	for _, hash := range s.path(xxhash.Sum64(root.bytes()), f.hash) {
		take(func(st *step) bool {
			c := st.s.canonical(s.cfg.Tasks, s.cfg.Hosts)
			return st.property == "" && xxhash.Sum64(c.bytes()) == hash
		})
	}
	if f.action != noAction {
		take(func(st *step) bool { return st.property == f.property })
	}
	return names
}

// path returns the hashes of the states from the one after the root to the last.
func (s *search) path(root, last uint64) []uint64 {
	var hashes []uint64
	for hash := last; hash != root; hash = s.known[hash%shardCount].origins[hash].parent {
		hashes = append(hashes, hash)
	}
	slices.Reverse(hashes)
	return hashes
}

// takeAction takes the first action in a state whose step is accepted.
func (s *search) takeAction(from *state, accept func(st *step) bool) (name string, next state, ok bool) {
	for _, a := range s.actions(from, nil) {
		next = *from
		st := step{model: &s.model, s: &next}
		a.do(&st)
		if !st.queueFull && accept(&st) {
			return a.name, next, true
		}
	}
	return "", state{}, false
}
