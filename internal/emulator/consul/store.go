package consul

import (
	"maps"
	"slices"
	"time"

	"forkhead/internal/protocol/consul"
)

// Policy defines when a host that no longer registers counts as failed. Both times start at its last registration.
type Policy struct {
	CriticalAfter   time.Duration // time after which the host's health check is critical
	DeregisterAfter time.Duration // time after which the host is deregistered
}

// Store is the state of the emulated Consul. It is pure: its methods get the current time as an argument. It is not
// safe for concurrent use.
type Store struct {
	policy  Policy
	index   uint64 // index of the latest version
	nodes   map[string]*node
	history []version // versions of the last historyWindow, oldest first; never empty
	lag     time.Duration
	frozen  *version // the version in every answer after SetFrozen; nil: not frozen
}

// node is a registered host.
type node struct {
	registration consul.Registration
	registeredAt time.Duration // time of the latest registration
	critical     bool
	maintenance  bool
}

// version is the state of the endpoint list from a point in time until the next version.
type version struct {
	since   time.Duration
	index   uint64
	entries []consul.Entry
}

// historyWindow is the time for which old versions are kept. It is also the longest possible lag.
const historyWindow = 2 * time.Minute

// NewStore returns a store without hosts.
func NewStore(p Policy) *Store {
	return &Store{policy: p, nodes: map[string]*node{}, index: 1, history: []version{{index: 1}}}
}

// Register adds a host or renews its registration, which makes its health check passing.
func (s *Store) Register(now time.Duration, r consul.Registration) {
	n := s.nodes[r.Node]
	if n == nil {
		n = &node{}
		s.nodes[r.Node] = n
	}
	n.registration, n.registeredAt, n.critical = r, now, false
	s.addVersion(now)
}

// Deregister removes a host.
func (s *Store) Deregister(now time.Duration, name string) {
	if s.nodes[name] != nil {
		delete(s.nodes, name)
		s.addVersion(now)
	}
}

// SetMaintenance turns maintenance mode of a host on or off.
func (s *Store) SetMaintenance(now time.Duration, name string, on bool) {
	if n := s.nodes[name]; n != nil && n.maintenance != on {
		n.maintenance = on
		s.addVersion(now)
	}
}

// SetLag makes Health answer with the version of d ago. d is at most historyWindow.
func (s *Store) SetLag(d time.Duration) { s.lag = d }

// SetFrozen starts a freeze if on is true, and ends it if on is false. During a freeze, Health always returns the
// version that was visible when the freeze began.
func (s *Store) SetFrozen(now time.Duration, on bool) {
	s.frozen = nil
	if on {
		v := s.visibleVersion(now)
		s.frozen = &v
	}
}

// Tick applies the policy: it makes the health checks of hosts that no longer register critical, and deregisters them
// later.
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

// Health returns the answer to /v1/health/service/:service: the entries of the service, sorted by host name, and the
// index of their version.
func (s *Store) Health(now time.Duration, service string) (entries []consul.Entry, index uint64) {
	v := s.visibleVersion(now)
	for _, e := range v.entries {
		if e.Service.Service == service {
			entries = append(entries, e)
		}
	}
	return entries, v.index
}

// addVersion appends the current state to the history as the latest version, and removes versions that are too old for
// any lag.
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

// entry returns the entry of the endpoint list for the host.
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

// visibleVersion returns the version that Health answers with now: the frozen version if there is one, otherwise the
// latest version that is at least as old as the lag.
func (s *Store) visibleVersion(now time.Duration) version {
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
