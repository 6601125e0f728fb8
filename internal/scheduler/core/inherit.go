package core

import (
	"strconv"
	"strings"
	"time"

	"forkhead/internal/parse/servicespec"
	"forkhead/internal/parse/settings"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/retrypolicy"
)

// ---- Tasks of an earlier life.

// handleInherited takes a task that a host has run since an earlier life of this placer.
func (c *Core) handleInherited(h *host, held *hostproto.Held) {
	spec := &held.Spec
	parts := strings.Split(spec.Name, "/")
	class, known := c.settings.Class(spec.Class)
	if len(parts) != 3 || !known {
		c.log("host %s runs %q, of a class or name unknown here; it is left alone", h.name, spec.Name)
		return
	}
	number, err := strconv.Atoi(parts[2])
	if err != nil {
		c.log("host %s runs %q, which has no number; it is left alone", h.name, spec.Name)
		return
	}
	p := c.projects[parts[0]]
	if p == nil && c.removedProjects[parts[0]] {
		c.sendFrame(h, hostproto.Stop{Ref: held.Ref}) // its project was removed before the earlier life ended
		return
	}
	if p == nil {
		p = &project{name: parts[0], services: map[string]*service{}}
		c.projects[parts[0]] = p
	}
	svc := p.services[parts[1]]
	if svc == nil {
		svc = &service{project: p, name: parts[1], key: spec.Service, replicas: map[int]*desiredReplica{}, specLost: true, previousSpecs: map[*desiredReplica]*servicespec.Service{}}
		p.services[parts[1]] = svc
	}
	replica := svc.replicas[number]
	if replica != nil && !svc.specLost {
		wanted := (replica.state == awaitingRequest || replica.state == awaitingDependencies || replica.state == requesting) && !replica.removing
		if replica.taskKey|1 != spec.Key|1 {
			c.sendFrame(h, hostproto.Stop{Ref: held.Ref})
			return
		}
		if !attempt.ShouldAdopt(wanted, replica.request != nil && replica.request.HasAttemptInFlight()) {
			c.stopInherited(replica, h, held)
			return
		}
		same := replica.fingerprint == spec.Fingerprint
		c.adopt(replica, h, held.Ref, h.connection.Epoch, h.connection.Conn, c.attemptRules(class))
		if !same {
			c.log("%s runs on %s as an earlier make; submit the project again to replace it", replica.name, h.name)
		}
		return
	}
	if replica != nil {
		c.stopInherited(replica, h, held)
		return
	}
	if !svc.specLost {
		c.sendFrame(h, hostproto.Stop{Ref: held.Ref}) // the description that is known asks for no such task
		return
	}
	// The description is lost: what the host knows of the task stands for it.
	own := &servicespec.Service{
		Name: svc.name, Class: spec.Class, Tenant: spec.Tenant, Replicas: 1, Life: spec.Life,
		Cores: float64(spec.Cores) / 1000, Memory: float64(spec.Memory) / 1024,
	}
	replica = &desiredReplica{
		service: svc, number: number, spec: own, class: class, tenant: settings.Index(c.settings.Tenants, spec.Tenant),
		fingerprint: spec.Fingerprint, taskKey: spec.Key, name: spec.Name, state: awaitingRequest, retrier: retrypolicy.Retrier{},
	}
	if replica.taskKey != servicespec.Key(spec.Tenant, p.name, svc.name, number) {
		replica.generation = 1
	}
	svc.replicas[number] = replica
	c.replicaCount++
	c.adopt(replica, h, held.Ref, h.connection.Epoch, h.connection.Conn, c.attemptRules(class))
}

// stopInherited stops what a host has run since an earlier life and its task no longer needs. Until the
// host says that it is over it may run, whether the Stop arrives or not: what must not run twice is
// not begun before. Guards against a Stop that is lost with its connection, found by random lives.
func (c *Core) stopInherited(replica *desiredReplica, h *host, held *hostproto.Held) {
	// It began nobody knows when: no window of its key is left.
	a := c.addUnknownAttempt(replica, h, held.Ref, h.connection.Epoch, c.now-c.attemptRules(replica.class).DedupWindow)
	a.conn = h.connection.Conn
	c.sendFrame(h, hostproto.Stop{Ref: held.Ref})
}

// addUnknownAttempt takes up an attempt that an earlier life made at a time: until its host says what became of it, it may run.
func (c *Core) addUnknownAttempt(replica *desiredReplica, h *host, ref hostproto.Ref, life uint64, at time.Duration) *taskAttempt {
	request := c.newRequest(replica)
	request.Answer = attempt.AnsweredFailed
	request.Attempts = []attempt.Attempt{{Host: attempt.HostID(h.id), Phase: attempt.Unknown, ChosenAt: at}}
	a := &taskAttempt{request: request, host: h, machineID: h.id, ref: ref, hostEpoch: life}
	request.attempts = []*taskAttempt{a}
	c.indexAttempt(a)
	if c.unknownAttempts[replica.taskKey] == nil {
		c.unknownAttempts[replica.taskKey] = map[*taskAttempt]bool{}
	}
	c.unknownAttempts[replica.taskKey][a] = true
	return a
}
