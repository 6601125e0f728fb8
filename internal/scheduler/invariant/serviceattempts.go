package invariant

import (
	"iter"
	"slices"
)

// Attempt is what ServiceAttempts needs of a core's attempts, which are pointers.
type Attempt interface {
	comparable
	// InvariantHost returns the host that the attempt was offered to.
	InvariantHost() *Host
}

// ServiceAttempts are the live attempts of each service, by the service's key: those that count against its spread. They
// are in the order in which they became live. A service without live attempts has no entry.
type ServiceAttempts[A Attempt] map[uint64][]A

// Add adds a live attempt of a service.
func (s ServiceAttempts[A]) Add(service uint64, attempt A) {
	s[service] = append(s[service], attempt)
}

// Remove removes an attempt of a service; one that is not live is ignored.
func (s ServiceAttempts[A]) Remove(service uint64, attempt A) {
	remaining := slices.DeleteFunc(s[service], func(other A) bool { return other == attempt })
	if len(remaining) == 0 {
		delete(s, service)
		return
	}
	s[service] = remaining
}

// Hosts yields the hosts of a service's live attempts but one, each once per attempt, for SpreadCheck.ServiceHosts. The zero
// value of except leaves none out.
func (s ServiceAttempts[A]) Hosts(service uint64, except A) iter.Seq[*Host] {
	return func(yield func(*Host) bool) {
		for _, attempt := range s[service] {
			if attempt != except && !yield(attempt.InvariantHost()) {
				return
			}
		}
	}
}
