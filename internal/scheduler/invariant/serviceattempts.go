package invariant

import (
	"iter"
	"slices"
)

// Attempt is the interface through which ServiceAttempts uses an attempt of a core. Cores implement it with pointer
// types.
type Attempt interface {
	comparable
	// InvariantHost returns the host that the attempt was offered to.
	InvariantHost() *Host
}

// ServiceAttempts holds the live attempts of each service, which count against its spread limits, by the service's key.
// The attempts of a service are in the order in which they became live. A service without live attempts has no entry.
type ServiceAttempts[A Attempt] map[uint64][]A

// Add adds a live attempt of a service.
func (s ServiceAttempts[A]) Add(service uint64, attempt A) {
	s[service] = append(s[service], attempt)
}

// Remove removes an attempt of a service. It does nothing if the attempt is not live.
func (s ServiceAttempts[A]) Remove(service uint64, attempt A) {
	remaining := slices.DeleteFunc(s[service], func(other A) bool { return other == attempt })
	if len(remaining) == 0 {
		delete(s, service)
		return
	}
	s[service] = remaining
}

// Hosts yields the host of each live attempt of a service, for SpreadCheck.ServiceHosts. A host is yielded once for
// each of its attempts. The attempt given as the parameter except is left out; the zero value leaves out none.
func (s ServiceAttempts[A]) Hosts(service uint64, except A) iter.Seq[*Host] {
	return func(yield func(*Host) bool) {
		for _, attempt := range s[service] {
			if attempt != except && !yield(attempt.InvariantHost()) {
				return
			}
		}
	}
}
