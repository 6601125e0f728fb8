package core

import (
	"encoding/json"
	"time"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/scheduler/durable"
)

// tombstoneLifetime is how long the tombstone of a removed project is stored. Hosts that come back within that time are
// told to stop their tasks of the project.
const tombstoneLifetime = 24 * time.Hour

// persist emits a record of state that must survive a restart, if the core is durable.
func (c *Core) persist(record durable.Record) {
	if c.durable {
		c.emit(Persist{Record: record})
	}
}

// durableTask returns the form of a replica in a record. A replica that is not finished is stored with its version, if
// that is not the one that its service wants.
func (r *desiredReplica) durableTask(kind OutcomeKind, isFinished bool) durable.Task {
	task := durable.Task{
		Project: r.service.project.name, Service: r.service.name, Replica: r.number, Outcome: string(kind), Finished: isFinished,
		Submission: r.service.project.submissionID,
	}
	if svc := r.service; !isFinished && !r.isSpecLost() && svc.spec != nil && r.fingerprint != svc.spec.Fingerprint() {
		task.Version = r.spec
	}
	return task
}

// taskAfterOutcome returns the stored state of a replica's task once an outcome was reported for it. If the task was not
// placed, it is over, unless its earlier version runs on.
func (r *desiredReplica) taskAfterOutcome(kind OutcomeKind) durable.Task {
	switch old := r.predecessor; {
	case kind == OutcomePlaced:
		return r.durableTask(kind, false)
	case old != nil && !old.removed && !old.removing && old.state != finished:
		return old.durableTask(kind, false)
	}
	runsOn := r.state == placed && !r.removing && r.nextSpec == nil
	return r.durableTask(kind, !runsOn)
}

// persistFinished persists that a replica has ended for good. The end of a copy whose successor is requested does not
// end the task, which is to run as its successor.
func (c *Core) persistFinished(r *desiredReplica) {
	if r.successor != nil {
		return
	}
	kind := OutcomeFailed
	if r.succeeded {
		kind = OutcomePlaced
	}
	c.persist(durable.TaskFinished{Task: r.durableTask(kind, true)})
}

// persistRolledBack persists that a placed replica goes back to the version that it had before an update.
func (c *Core) persistRolledBack(r *desiredReplica, version *servicespec.Service) {
	task := r.durableTask(OutcomePlaced, false)
	task.Version = version
	c.persist(durable.TaskRolledBack{Task: task})
}

// persistAttempt persists an attempt of a keyed or unsafe task, which a later incarnation must not repeat unknowingly.
// An attempt of a safe task is not persisted: a repeat does no harm, and the record would delay the start of the task
// by an fsync.
func (c *Core) persistAttempt(a *taskAttempt) {
	r := a.request.replica
	if !c.durable || a.request.Rules.Effect == forkhead.Safe || r.isSpecLost() {
		return
	}
	a.persisted = true
	c.persist(durable.AttemptOffered{Attempt: durable.Attempt{
		Ref:       a.ref,
		TaskKey:   r.taskKey,
		Project:   r.service.project.name,
		Service:   r.service.name,
		Replica:   r.number,
		Class:     c.settings.Classes[r.class].Name,
		Host:      a.host.name,
		Address:   a.host.connection.Address,
		HostEpoch: a.hostEpoch,
		ChosenAt:  a.chosenAt(),

		Fingerprint: a.fingerprint,
	}})
}

// handleRestore restores the state that an earlier incarnation persisted. No restored task is offered before the hosts
// have reported the tasks that they hold, or the wait for them (hostReportDeadline) is over. A persisted attempt is
// unknown until its host has reported its result.
func (c *Core) handleRestore(snapshot *durable.Snapshot) {
	c.persist(durable.IncarnationStarted{Epoch: c.epoch})
	for _, key := range snapshot.Unreadable {
		c.log("what was kept cannot be read: %s", key)
	}
	for i := range snapshot.Submissions {
		c.restoreSubmission(&snapshot.Submissions[i])
	}
	var toStart []*desiredReplica
	for i := range snapshot.Projects {
		toStart = append(toStart, c.restoreProject(&snapshot.Projects[i])...)
	}
	c.restoreTombstones(snapshot.Tombstones)
	for i := range snapshot.Attempts {
		c.restoreAttempt(&snapshot.Attempts[i])
	}
	for _, h := range c.sortedHosts() {
		c.handleHostRestart(h) // an attempt at a later incarnation of a host shows that the earlier one is over
	}
	c.restoreHostList(&snapshot.HostList)
	for _, r := range toStart {
		c.startIfReady(r)
	}
}

// restoreTombstones restores which projects were removed, and expires old tombstones.
func (c *Core) restoreTombstones(removedAt map[string]time.Duration) {
	for name, at := range removedAt {
		if at+tombstoneLifetime <= c.now {
			c.persist(durable.TombstoneExpired{Project: name})
			continue
		}
		c.removedProjects[name] = true
	}
}

// restoreHostList uses the last endpoint list of an earlier incarnation as a cached list, depending on its age. So a
// placer whose rack restarts while discovery is unavailable is not idle, and one that was down for long does not rely
// on old entries. A list from the future shows that the clock was set back: its age is unknown, so its hosts count as
// ready only after their handshake.
func (c *Core) restoreHostList(list *durable.HostList) {
	age, saved := c.now-list.ReceivedAt, c.settings.SavedHostList
	switch {
	case len(list.Hosts) == 0:
		return
	case age > saved.MaxAge:
		c.log("the list of hosts that was kept is %v old and is not used; at most %v is", age.Round(time.Second), saved.MaxAge)
		return
	}
	c.handleHostList(HostListReceived{Mode: forkhead.ListCached, Hosts: list.Hosts, Stale: age < 0 || age > saved.FreshAge})
}

// restoreSubmission restores a submission with its outcomes, up to the first that cannot be read.
func (c *Core) restoreSubmission(progress *durable.SubmissionProgress) {
	s := &submission{
		id:             progress.ID,
		idempotencyKey: progress.IdempotencyKey,
		bodyHash:       progress.BodyHash,
		totalOutcomes:  progress.TotalOutcomes,
		acceptedAt:     progress.AcceptedAt,
	}
	for _, text := range progress.Outcomes {
		var o Outcome
		if err := json.Unmarshal(text, &o); err != nil {
			c.log("an outcome of submission %s cannot be read: %v", progress.ID, err)
			break
		}
		s.outcomes = append(s.outcomes, o)
	}
	c.addSubmission(s)
	if s.isComplete() {
		c.queueForExpiry(s)
		c.addSubmissionExpiry()
	}
}

// restoreProject restores a project and returns the replicas to start, which are those whose outcome is pending.
func (c *Core) restoreProject(saved *durable.Project) (toStart []*desiredReplica) {
	d := saved.Specification
	p := &project{name: d.Name, submissionID: saved.SubmissionID, services: map[string]*service{}}
	labels, ok := c.acquireServiceLabels(p, d)
	if !ok {
		c.log("project %s needs more placement constraints than there may be; it is left out", d.Name)
		return nil
	}
	c.projects[p.name] = p
	s := c.submissions[saved.SubmissionID]
	tasks := storedTasks(saved, s)
	for i := range d.Services {
		spec := &d.Services[i]
		svc := newService(p, spec.Name)
		svc.setSpec(spec, labels[i])
		p.services[spec.Name] = svc
		for number := 1; number <= spec.Replicas; number++ {
			task, reported := tasks[taskName{project: p.name, service: spec.Name, replica: number}]
			if reported && task.Finished && OutcomeKind(task.Outcome) != OutcomePlaced {
				svc.failureReason = "was not placed"
				svc.mayRunOn[number] = task.Submission == ""
				continue
			}
			version := spec
			if reported && task.Version != nil {
				version = task.Version
			}
			r := c.newReplica(svc, number, version)
			if c.restoreReplica(r, s, reported, task.Finished) {
				toStart = append(toStart, r)
			}
		}
	}
	return toStart
}

// storedTasks returns the stored states of a project's tasks that belong to its last submission. The parameter s is that
// submission, or nil if it has expired.
func storedTasks(saved *durable.Project, s *submission) map[taskName]durable.Task {
	var withOutcome map[taskName]bool
	if s != nil {
		withOutcome = s.tasksWithOutcome(saved.Specification.Name)
	}
	tasks := map[taskName]durable.Task{}
	for _, task := range saved.Tasks {
		name := taskName{project: saved.Specification.Name, service: task.Service, replica: task.Replica}
		// A rejection in a store of an earlier program may be that of an earlier submission.
		ofUnknownSubmission := task.Submission == "" && OutcomeKind(task.Outcome) == OutcomeRejected
		switch {
		case task.Submission != "" && task.Submission != saved.SubmissionID:
		case ofUnknownSubmission && s != nil && !withOutcome[name]:
		default:
			tasks[name] = task
		}
	}
	return tasks
}

// restoreReplica restores the state of a replica. The parameter reported tells whether its outcome was reported,
// isFinished whether it has ended for good. restoreReplica returns true if the outcome is pending, so that the caller
// has to start the replica.
func (c *Core) restoreReplica(r *desiredReplica, s *submission, reported, isFinished bool) (start bool) {
	r.recovered = true
	switch {
	case reported && isFinished:
		r.state, r.succeeded = finished, true
	case reported || s == nil:
		// No outcome is pending. The project still wants the task, which most likely runs on a host already.
		r.placements = 1
		r.retrier.Begin(c.now + noDeadline)
		c.requestAt(r, c.now)
	default:
		r.pending = &pendingOutcome{submission: s, acceptedAt: s.acceptedAt}
		return true
	}
	return false
}

// restoreAttempt restores an attempt of an earlier incarnation as unknown. As the rules of its class state, its task
// waits until the host has reported the result of the attempt.
func (c *Core) restoreAttempt(saved *durable.Attempt) {
	r := c.findReplica(taskName{project: saved.Project, service: saved.Service, replica: saved.Replica})
	if r == nil || r.state == finished {
		// The task is no longer wanted. If its host still runs it, it is stopped when the host reports it.
		c.persist(durable.AttemptResolved{Ref: saved.Ref})
		return
	}
	h := c.hosts[saved.Host]
	if h == nil {
		h, _ = c.addHost(saved.Host)
		h.restored = true
		h.connection.Address = saved.Address
	}
	h.connection.Epoch = max(h.connection.Epoch, saved.HostEpoch)
	task := runningTask{host: h, ref: saved.Ref, hostEpoch: saved.HostEpoch, fingerprint: saved.Fingerprint}
	c.addUnknownAttempt(r, task, saved.ChosenAt).persisted = true
}

// findReplica returns the replica of a name, or nil.
func (c *Core) findReplica(name taskName) *desiredReplica {
	p := c.projects[name.project]
	if p == nil || p.services[name.service] == nil {
		return nil
	}
	return p.services[name.service].replicas[name.replica]
}
