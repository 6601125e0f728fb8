package servicespec

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
)

// Fingerprint returns a hash of some fields of the service. If one of these fields changes, the running tasks of the
// service must be replaced. The hash does not include the number of replicas, the timeouts and the fields that affect
// only the next placement.
func (s *Service) Fingerprint() uint64 {
	text := fmt.Appendf(nil, "%s|%s|%g|%g|%g|%g|%d|%s", s.Class, s.Tenant, s.Cores, s.Memory, s.LimitCores, s.LimitMemory,
		s.StopGrace, s.Payload)
	for _, c := range s.Constraints {
		text = fmt.Appendf(text, "|%s", c)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Labels)) {
		text = fmt.Appendf(text, "|%s=%s", name, s.Labels[name])
	}
	return hash(text)
}

// TaskKey returns the key that identifies a task at every host and placer. The key is never 0. It stays the same when
// the project is submitted again.
func TaskKey(tenant, project, service string, replica int) uint64 {
	return max(hash(fmt.Appendf(nil, "%q %q %q %d", tenant, project, service, replica)), 1)
}

// ServiceKey returns the key that identifies a service. It is never 0.
func ServiceKey(tenant, project, service string) uint64 {
	return TaskKey(tenant, project, service, -1)
}

// hash returns the 64-bit FNV-1a hash of a text.
func hash(text []byte) uint64 {
	h := fnv.New64a()
	h.Write(text)
	return h.Sum64()
}
