package modelcheck

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// lostTrace is put in a trace instead of an action's name if no action leads to the next state on the path, which
// happens if another state has the same hash.
const lostTrace = "(two states share a hash: the trace is lost here)"

// trace returns the names of the actions that lead from the root to a finding. It applies the actions to states that
// are not made canonical, so that task 1 stays task 1 in the whole trace.
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

// path returns the hashes of the states on the way from the root to the last state, without the root.
func (s *search) path(root, last uint64) []uint64 {
	var hashes []uint64
	for hash := last; hash != root; hash = s.known[hash%shardCount].origins[hash].parent {
		hashes = append(hashes, hash)
	}
	slices.Reverse(hashes)
	return hashes
}

// takeAction takes the first action in a state whose step the function accept accepts. It returns the action's name and
// the next state.
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
