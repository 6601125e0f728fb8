package consul

import (
	"maps"
	"slices"
	"time"

	"forkhead/internal/protocol/consul"
)

// Policy is when a host that no longer registers counts as failed.
type Policy struct {
	CriticalAfter   time.Duration // its check is critical after this time
	DeregisterAfter time.Duration // and it is dropped after this time
}

// Store is the state of the emulated Consul. It is pure: time comes in. It is for one goroutine at a time.
type Store struct {
	policy  Policy
	index   uint64 // of the latest version
	nodes   map[string]*node
	history []version // the versions of the last historyWindow, the latest last; never empty
	lag     time.Duration
	frozen  *version // nil, or what every answer is
}

// node is a registered host.
type node struct {
	registration consul.Registration
	registeredAt time.Duration // last
	critical     bool
	maintenance  bool
}

// version is the endpoint list as it was from a moment on.
type version struct {
	since   time.Duration
	index   uint64
	entries []consul.Entry
}

// historyWindow is how long versions are kept for answers with a lag.
const historyWindow = 2 * time.Minute

// NewStore returns a store without hosts.
func NewStore(p Policy) *Store {
	return &Store{policy: p, nodes: map[string]*node{}, index: 1, history: []version{{index: 1}}}
}

// Register adds a host, or renews its registration.
func (s *Store) Register(now time.Duration, r consul.Registration) {
	n := s.nodes[r.Node]
	if n == nil {
		n = &node{}
		s.nodes[r.Node] = n
	}
	n.registration, n.registeredAt, n.critical = r, now, false
	s.addVersion(now)
}

// Deregister drops a host.
func (s *Store) Deregister(now time.Duration, name string) {
	if s.nodes[name] != nil {
		delete(s.nodes, name)
		s.addVersion(now)
	}
}

// SetMaintenance puts a host into maintenance, or ends that.
func (s *Store) SetMaintenance(now time.Duration, name string, on bool) {
	if n := s.nodes[name]; n != nil && n.maintenance != on {
		n.maintenance = on
		s.addVersion(now)
	}
}

// SetLag makes answers late by so much, up to historyWindow.
func (s *Store) SetLag(d time.Duration) { s.lag = d }

// SetFrozen makes every answer the present one, or ends that.
func (s *Store) SetFrozen(now time.Duration, on bool) {
	s.frozen = nil
	if on {
		v := s.versionAt(now)
		s.frozen = &v
	}
}

// Tick applies the policy to hosts that no longer register.
func (s *Store) Tick(now time.Duration) {
	changed := false
	for name, n := range s.nodes {
		switch age := now - n.registeredAt; {
		case age >= s.policy.DeregisterAfter:
			delete(s.nodes, name)
			changed = true
		case age >= s.policy.CriticalAfter && !n.critical:
			n.critical = true
			changed = true
		}
	}
	if changed {
		s.addVersion(now)
	}
}

// Health answers /v1/health/service/:service as of now: the entries, sorted by name, and their index.
func (s *Store) Health(now time.Duration, service string) (entries []consul.Entry, index uint64) {
	v := s.versionAt(now)
	for _, e := range v.entries {
		if e.Service.Service == service {
			entries = append(entries, e)
		}
	}
	return entries, v.index
}

// addVersion makes the present state the latest version.
func (s *Store) addVersion(now time.Duration) {
	s.index++
	v := version{since: now, index: s.index}
	for _, name := range slices.Sorted(maps.Keys(s.nodes)) {
		v.entries = append(v.entries, s.nodes[name].entry(name))
	}
	s.history = append(s.history, v)
	for len(s.history) > 1 && s.history[1].since < now-historyWindow {
		s.history = s.history[1:]
	}
}

func (n *node) entry(name string) consul.Entry {
	health := consul.Check{Node: name, CheckID: consul.HealthCheckID, Name: consul.HealthCheckName, Status: consul.StatusPassing}
	if n.critical {
		health.Status = consul.StatusCritical
	}
	checks := []consul.Check{health}
	if n.maintenance {
		checks = append(checks, consul.Check{
			Node: name, CheckID: consul.NodeMaintenanceCheckID, Name: "Node Maintenance Mode", Status: consul.StatusCritical,
		})
	}
	r := &n.registration
	return consul.Entry{
		Node:    consul.Node{ID: r.ID, Node: name, Address: r.Address, Datacenter: "dc1", Meta: r.NodeMeta},
		Service: *r.Service,
		Checks:  checks,
	}
}

// versionAt returns the version that is answered now.
func (s *Store) versionAt(now time.Duration) version {
	if s.frozen != nil {
		return *s.frozen
	}
	for _, v := range slices.Backward(s.history[1:]) {
		if v.since <= now-s.lag {
			return v
		}
	}
	return s.history[0]
}
