package core

import (
	"encoding/json"
	"time"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/durable"
)

// What follows carries a placer over its own death: what it notes while it lives, and how a new life begins with it.

// tombstoneLifetime is how long it is kept that a project was removed: hosts that come back by then stop what they run of it.
const tombstoneLifetime = 24 * time.Hour

func (c *Core) persist(n durable.Record) {
	if c.durable {
		c.emit(Persist{Record: n})
	}
}

// durableTask is what is noted of a wish.
func (replica *desiredReplica) durableTask(word string, over bool) durable.Task {
	return durable.Task{Project: replica.service.project.name, Service: replica.service.name, Replica: replica.number, Outcome: word, Finished: over}
}

// persistFinished notes that a task has ended for good.
func (c *Core) persistFinished(replica *desiredReplica) {
	word := OutcomeFailed
	if replica.succeeded {
		word = OutcomePlaced
	}
	c.persist(durable.TaskFinished{Task: replica.durableTask(word, true)})
}

// persistAttempt notes an attempt that must not be made twice. A safe one is not noted: to make it again does no harm, and the
// note would cost its start an fsync.
func (c *Core) persistAttempt(t *taskAttempt) {
	replica := t.request.replica
	if !c.durable || t.request.Rules.Effect == forkhead.Safe || replica.service.specLost {
		return
	}
	t.persisted = true
	c.persist(durable.AttemptOffered{Attempt: durable.Attempt{
		Ref: t.ref, TaskKey: replica.taskKey, Project: replica.service.project.name, Service: replica.service.name, Replica: replica.number, Class: c.settings.Classes[replica.class].Name,
		Host: t.host.name, Address: t.host.connection.Address, HostEpoch: t.hostEpoch, ChosenAt: t.request.Attempts[t.number].ChosenAt,
	}})
}

// handleRestore begins a life with what an earlier one has noted. Nothing is offered before hosts have said what they run, or
// the owner's wait is over; an attempt that was noted is unknown until its host has said what became of it.
func (c *Core) handleRestore(k *durable.Snapshot) {
	c.persist(durable.IncarnationStarted{Epoch: c.epoch})
	for _, bad := range k.Unreadable {
		c.log("what was kept cannot be read: %s", bad)
	}
	for i := range k.Submissions {
		c.restoreSubmission(&k.Submissions[i])
	}
	var held []*desiredReplica
	for i := range k.Projects {
		held = append(held, c.restoreProject(&k.Projects[i])...)
	}
	for name, at := range k.Tombstones {
		if at+tombstoneLifetime <= c.now {
			c.persist(durable.TombstoneExpired{Project: name})
			continue
		}
		c.removedProjects[name] = true
	}
	for i := range k.Attempts {
		c.restoreAttempt(&k.Attempts[i])
	}
	c.restoreHostList(&k.HostList)
	for _, replica := range held {
		c.startIfReady(replica)
	}
}

// restoreHostList begins with the list that an earlier life was told last, by its age: so that a placer whose rack restarts while
// discovery is silent does not sit idle, and one that was away for long does not go by what was. A list from the future
// shows that a clock was set back: how old it is nobody knows, so its hosts have to greet first.
func (c *Core) restoreHostList(l *durable.HostList) {
	age, saved := c.now-l.ReceivedAt, c.settings.Saved
	switch {
	case len(l.Hosts) == 0:
		return
	case age > saved.Old:
		c.log("the list of hosts that was kept is %v old and is not used; at most %v is", age.Round(time.Second), saved.Old)
		return
	}
	c.handleHostList(HostListReceived{Mode: forkhead.ListCached, Hosts: l.Hosts, Stale: age < 0 || age > saved.Fresh})
}

func (c *Core) restoreSubmission(f *durable.SubmissionProgress) {
	s := &submission{id: f.ID, idempotencyKey: f.IdempotencyKey, bodyHash: f.BodyHash, totalOutcomes: f.TotalOutcomes, acceptedAt: f.AcceptedAt}
	for _, text := range f.Outcomes {
		var o Outcome
		if err := json.Unmarshal(text, &o); err != nil {
			c.log("an outcome of submission %s cannot be read: %v", f.ID, err)
			break
		}
		s.outcomes = append(s.outcomes, o)
	}
	c.submissions[s.id] = s
	if s.idempotencyKey != "" {
		c.submissionsByKey[s.idempotencyKey] = s
	}
	if s.complete() {
		s.completedAt = c.now
		c.completeSubmissions = append(c.completeSubmissions, s)
		c.addTimer(&timer{at: c.now + c.settings.Limits.Keep, kind: timerSubmissionExpiry})
	}
}

// restoreProject brings a project back and returns the tasks whose outcome is owed.
func (c *Core) restoreProject(k *durable.Project) (held []*desiredReplica) {
	d := k.Specification
	p := &project{name: d.Name, services: map[string]*service{}}
	needs, ok := c.takeServiceLabels(p, d)
	if !ok {
		c.log("project %s needs more placement constraints than there may be; it is left out", d.Name)
		return nil
	}
	c.projects[p.name] = p
	type name struct {
		service string
		replica int
	}
	was := map[name]durable.Task{}
	for _, t := range k.Tasks {
		was[name{t.Service, t.Replica}] = t
	}
	sub := c.submissions[k.SubmissionID]
	for i := range d.Services {
		spec := &d.Services[i]
		svc := &service{
			project: p, name: spec.Name, replicas: map[int]*desiredReplica{}, spec: spec, requiredLabels: needs[i], previousSpecs: map[*desiredReplica]*servicespec.Service{},
			key: servicespec.ServiceKey(spec.Tenant, p.name, spec.Name),
		}
		p.services[spec.Name] = svc
		for r := 1; r <= spec.Replicas; r++ {
			t, told := was[name{spec.Name, r}]
			if told && t.Finished && t.Outcome != OutcomePlaced {
				svc.failureReason = "was not placed"
				continue
			}
			replica := c.newReplica(svc, r, spec)
			replica.recovered = true
			switch {
			case told && t.Finished:
				replica.state, replica.succeeded = finished, true
			case told || sub == nil:
				// Its outcome is told: it is to run, and most likely does.
				replica.placements = 1
				replica.retrier.Begin(c.now + noDeadline)
				c.requestAt(replica, c.now)
			default:
				replica.pending = &pendingOutcome{submission: sub, since: sub.acceptedAt}
				held = append(held, replica)
			}
		}
	}
	return held
}

// restoreAttempt makes an attempt of an earlier life unknown: its task waits, as its class says, until its host has said
// what became of it.
func (c *Core) restoreAttempt(a *durable.Attempt) {
	var replica *desiredReplica
	if p := c.projects[a.Project]; p != nil && p.services[a.Service] != nil {
		replica = p.services[a.Service].replicas[a.Replica]
	}
	if replica == nil || replica.state == finished {
		// Nobody wants the task any more: what its host still runs of it is stopped when it shows.
		c.persist(durable.AttemptResolved{Ref: a.Ref})
		return
	}
	h := c.hosts[a.Host]
	if h == nil {
		h = &host{name: a.Host, attempts: map[hostproto.Ref]*taskAttempt{}, probesSentAt: map[uint32]time.Duration{}, restored: true}
		h.connection.Address = a.Address
		c.hosts[a.Host] = h
		n, renumbered := c.hostIDs.Add(a.Host)
		h.id = forkhead.MachineID(n)
		for _, r := range renumbered {
			c.renumberHost(r.Name, forkhead.MachineID(r.Old))
		}
		c.hostsByID[h.id] = h
	}
	h.connection.Epoch = max(h.connection.Epoch, a.HostEpoch)
	c.addUnknownAttempt(replica, h, a.Ref, a.HostEpoch, a.ChosenAt).persisted = true
}
