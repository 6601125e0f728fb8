package core

import (
	"maps"

	"forkhead"
	"forkhead/internal/scheduler/attempt"
)

// Status returns what the placer holds now and its counters since it started.
func (c *Core) Status() Status {
	s := c.status
	s.Outcomes, s.VetoesByRule = maps.Clone(s.Outcomes), maps.Clone(s.VetoesByRule)
	s.Tasks, s.Submissions = c.replicaCount, len(c.submissions)
	for _, h := range c.hosts {
		if h.listed {
			s.Hosts++
		}
		if h.isConnectedAndSynced() {
			s.HostsUp++
		}
		if h.state() == forkhead.Ready {
			s.HostsReady++
		}
	}
	for _, p := range c.projects {
		for _, svc := range p.services {
			s.addReplicas(svc)
		}
	}
	for _, a := range c.attemptsByRef {
		if a.phase() == attempt.Unknown {
			s.AttemptsUnknown++
		}
	}
	return s
}

// addReplicas counts the replicas of a service by state.
func (s *Status) addReplicas(svc *service) {
	for _, r := range svc.replicas {
		switch r.state {
		case placed:
			s.TasksPlaced++
		case awaitingRequest, requesting, awaitingDependencies:
			s.TasksWaiting++
		}
	}
}

// TableSizes counts the entries of the core's tables. Without any project, all but Hosts must be 0; anything else is a
// leak.
type TableSizes struct {
	Hosts, Requests, Attempts, Live, Unknown, Blocked, Tasks, Projects, Labels int
}

// TableSizes returns the sizes of the core's tables.
func (c *Core) TableSizes() TableSizes {
	return TableSizes{
		Hosts:    len(c.hosts),
		Requests: len(c.requests),
		Attempts: len(c.attemptsByRef),
		Live:     len(c.liveAttempts),
		Unknown:  len(c.unknownAttempts),
		Blocked:  len(c.blockedReplicas),
		Tasks:    c.replicaCount,
		Projects: len(c.projects),
		Labels:   c.labels.inUse(),
	}
}
