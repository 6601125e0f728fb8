// Package consul is a stand-in for a service catalogue: as much of Consul's HTTP API as hosts
// and placers use, with lag, outage and stale answers on command.
package consul

import (
	"slices"
	"strings"
	"time"

	"forkhead/internal/protocol/consul"
)

// Policy says when a host that no longer registers is taken for dead.
type Policy struct {
	CriticalAfter   time.Duration // its check is critical after this
	DeregisterAfter time.Duration // and it is dropped after this
}

// Store is the catalogue's state. It is pure: time comes in.
type Store struct {
	policy Policy
	index  uint64
	nodes  map[string]*node
	past   []version // what was listed, and from when
	lag    time.Duration
	frozen *version // stale answers: always this one
}

type node struct {
	reg         consul.Registration
	seen        time.Duration
	critical    bool
	maintenance bool
}

type version struct {
	at      time.Duration
	index   uint64
	entries []consul.Entry
}

const keepPast = 2 * time.Minute

// NewStore returns an empty catalogue.
func NewStore(p Policy) *Store {
	s := &Store{policy: p, nodes: map[string]*node{}, index: 1}
	s.past = []version{{index: 1}}
	return s
}

// Register takes a registration, new or repeated.
func (s *Store) Register(now time.Duration, r consul.Registration) {
	n := s.nodes[r.Node]
	if n == nil {
		n = &node{}
		s.nodes[r.Node] = n
	}
	n.reg, n.seen, n.critical = r, now, false
	s.changed(now)
}

// Deregister drops a host.
func (s *Store) Deregister(now time.Duration, name string) {
	if s.nodes[name] != nil {
		delete(s.nodes, name)
		s.changed(now)
	}
}

// SetMaintenance puts a host into maintenance, or takes it out.
func (s *Store) SetMaintenance(now time.Duration, name string, on bool) {
	if n := s.nodes[name]; n != nil && n.maintenance != on {
		n.maintenance = on
		s.changed(now)
	}
}

// SetLag makes answers late by so much.
func (s *Store) SetLag(d time.Duration) { s.lag = d }

// SetFrozen makes all answers the present one, until it is taken back.
func (s *Store) SetFrozen(now time.Duration, on bool) {
	if s.frozen = nil; on {
		v := s.view(now)
		s.frozen = &v
	}
}

// Tick looks for hosts that no longer register.
func (s *Store) Tick(now time.Duration) {
	changed := false
	for name, n := range s.nodes {
		switch quiet := now - n.seen; {
		case quiet >= s.policy.DeregisterAfter:
			delete(s.nodes, name)
			changed = true
		case quiet >= s.policy.CriticalAfter && !n.critical:
			n.critical = true
			changed = true
		}
	}
	if changed {
		s.changed(now)
	}
}

func (s *Store) changed(now time.Duration) {
	s.index++
	v := version{at: now, index: s.index}
	names := make([]string, 0, len(s.nodes))
	for name := range s.nodes {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	for _, name := range names {
		n := s.nodes[name]
		e := consul.Entry{
			Node:    consul.Node{ID: n.reg.ID, Node: name, Address: n.reg.Address, Datacenter: "dc1", Meta: n.reg.NodeMeta},
			Service: *n.reg.Service,
			Checks:  []consul.Check{{Node: name, CheckID: "serfHealth", Name: "Serf Health Status", Status: "passing"}},
		}
		if n.critical {
			e.Checks[0].Status = "critical"
		}
		if n.maintenance {
			e.Checks = append(e.Checks, consul.Check{Node: name, CheckID: consul.NodeMaintenanceCheckID, Name: "Node Maintenance Mode", Status: "critical"})
		}
		v.entries = append(v.entries, e)
	}
	s.past = append(s.past, v)
	for len(s.past) > 1 && s.past[1].at < now-keepPast {
		s.past = s.past[1:]
	}
}

func (s *Store) view(now time.Duration) version {
	if s.frozen != nil {
		return *s.frozen
	}
	for i := len(s.past) - 1; i > 0; i-- {
		if s.past[i].at <= now-s.lag {
			return s.past[i]
		}
	}
	return s.past[0]
}

// Health answers /v1/health/service/:service as of now: the entries and their index.
func (s *Store) Health(now time.Duration, service string) (entries []consul.Entry, index uint64) {
	v := s.view(now)
	for _, e := range v.entries {
		if e.Service.Service == service {
			entries = append(entries, e)
		}
	}
	return entries, v.index
}
