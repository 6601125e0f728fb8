package core

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/parse/settings"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/attempt"
	"forkhead/internal/scheduler/durable"
	"forkhead/internal/scheduler/rollingupdate"
)

// project is what is to run under one name.
type project struct {
	name     string
	services map[string]*service
}

// service is one service of a project.
type service struct {
	project  *project
	name     string
	key      uint64
	spec     *servicespec.Service // nil: fostered
	requiredLabels    uint64
	replicas   map[int]*desiredReplica // by replica
	specLost bool          // known only from what hosts run: its description is lost
	failureReason   string        // why its dependants cannot go on, or ""
	update   *rollingupdate.Update
	updateQueue    []*desiredReplica // to be replaced
	updated []*desiredReplica // replaced by this update, with their old specs in before
	previousSpecs   map[*desiredReplica]*servicespec.Service
	applying bool // being brought to a description: not to be tidied away
}

func (s *service) sortedReplicas() []*desiredReplica {
	out := make([]*desiredReplica, 0, len(s.replicas))
	for _, r := range slices.Sorted(maps.Keys(s.replicas)) {
		out = append(out, s.replicas[r])
	}
	return out
}

// submission is one taken Submit and the outcomes that it is owed.
type submission struct {
	id       string
	idempotencyKey      string
	bodyHash     uint64
	totalOutcomes    int
	acceptedAt       time.Duration // taken
	outcomes []Outcome
	completedAt   time.Duration
}

// pendingOutcome is an outcome that is owed to a submission.
type pendingOutcome struct {
	submission *submission
	since  time.Duration
}

func (s *submission) addOutcome(c *Core, replica *desiredReplica, o Outcome) {
	if c.durable {
		text, err := json.Marshal(o)
		if err != nil {
			c.reportDefect("an outcome has no form to be kept in: %v", err)
		}
		c.persist(durable.OutcomeReported{SubmissionID: s.id, Index: len(s.outcomes), Outcome: text, Task: replica.durableTask(o.Outcome, o.Outcome != OutcomePlaced)})
	}
	s.outcomes = append(s.outcomes, o)
	if s.complete() {
		s.completedAt = c.now
		c.completeSubmissions = append(c.completeSubmissions, s)
		c.addTimer(&timer{at: c.now + c.settings.Limits.Keep, kind: timerSubmissionExpiry})
	}
	c.emit(OutcomesAdded{Submission: s.id})
}

func (s *submission) complete() bool { return len(s.outcomes) >= s.totalOutcomes }

// Outcomes returns the outcomes of a submission from the one of that number on, whether these
// are the last, and whether the submission is known.
func (c *Core) Outcomes(id string, from int) (list []Outcome, complete, known bool) {
	s := c.submissions[id]
	if s == nil {
		return nil, false, false
	}
	return s.outcomes[min(max(from, 0), len(s.outcomes)):], s.complete(), true
}

// expireSubmissions forgets submissions that have been complete for as long as they are kept.
func (c *Core) expireSubmissions() {
	for len(c.completeSubmissions) > 0 && c.completeSubmissions[0].completedAt+c.settings.Limits.Keep <= c.now {
		c.forgetOldestSubmission()
	}
}

func (c *Core) forgetOldestSubmission() {
	s := c.completeSubmissions[0]
	c.completeSubmissions = c.completeSubmissions[1:]
	delete(c.submissions, s.id)
	c.persist(durable.SubmissionExpired{SubmissionID: s.id})
	if c.submissionsByKey[s.idempotencyKey] == s {
		delete(c.submissionsByKey, s.idempotencyKey)
	}
}

// busyRetryAfter is what a client is told to wait when a limit is reached.
const busyRetryAfter = time.Second

// handleSubmit takes a description, unless a limit says no.
func (c *Core) handleSubmit(in Submit) {
	reject := func(status int, title, format string, args ...any) {
		r := Rejected{Request: in.Request, Status: status, Title: title, Detail: fmt.Sprintf(format, args...)}
		if status == 429 || status == 503 {
			r.RetryAfter = busyRetryAfter
		}
		c.emit(r)
	}
	if in.IdempotencyKey != "" {
		if s := c.submissionsByKey[in.IdempotencyKey]; s != nil {
			if s.bodyHash != in.BodyHash {
				reject(422, "Idempotency-Key is taken", "the key came before with another body")
				return
			}
			c.emit(Accepted{Request: in.Request, Submission: s.id, Duplicate: true})
			return
		}
	}
	d := in.Description
	tasks := d.Tasks()
	for i := range d.Services {
		if s := &d.Services[i]; s.Mode.Each() {
			s.Replicas = c.countSuitableHosts(s)
			tasks += s.Replicas
		}
	}
	lim := &c.settings.Limits
	if tasks > lim.PerSubmit {
		reject(413, "Too many tasks", "the description asks for %d tasks, at most %d are taken at once", tasks, lim.PerSubmit)
		return
	}
	if c.replicaCount+tasks > lim.Tasks {
		reject(503, "Full", "this placer holds %d tasks of at most %d", c.replicaCount, lim.Tasks)
		return
	}
	if len(c.submissions) >= lim.Submissions {
		if len(c.completeSubmissions) == 0 {
			reject(429, "Too many submissions", "%d submissions are under way", len(c.submissions))
			return
		}
		c.forgetOldestSubmission()
	}
	c.lastSubmission++
	s := &submission{id: strconv.FormatUint(c.epoch, 36) + "-" + strconv.FormatUint(c.lastSubmission, 36), idempotencyKey: in.IdempotencyKey, bodyHash: in.BodyHash, totalOutcomes: tasks, acceptedAt: c.now}
	name := d.Name
	if name == "" {
		name = "unnamed-" + s.id
	}
	p := c.projects[name]
	if p == nil {
		p = &project{name: name, services: map[string]*service{}}
	}
	needs, ok := c.takeServiceLabels(p, d)
	if !ok {
		reject(503, "Too many constraints", "more than %d different placement constraints are in use", lim.Label)
		return
	}
	c.projects[name] = p
	c.submissions[s.id] = s
	if s.idempotencyKey != "" {
		c.submissionsByKey[s.idempotencyKey] = s
	}
	c.persist(durable.SubmissionAccepted{Specification: d, Submission: durable.Submission{ID: s.id, IdempotencyKey: s.idempotencyKey, BodyHash: s.bodyHash, TotalOutcomes: s.totalOutcomes, AcceptedAt: c.now, Project: name}})
	delete(c.removedProjects, name)
	c.emit(Accepted{Request: in.Request, Submission: s.id})
	if tasks == 0 {
		s.totalOutcomes = 0
		s.completedAt = c.now
		c.completeSubmissions = append(c.completeSubmissions, s)
		c.emit(OutcomesAdded{Submission: s.id})
	}
	c.applyDescription(p, d, s, needs)
}

// takeServiceLabels takes the labels of all services of a description.
func (c *Core) takeServiceLabels(p *project, d *servicespec.Description) ([]uint64, bool) {
	out := make([]uint64, len(d.Services))
	for i := range d.Services {
		spec := &d.Services[i]
		bits, ok := c.takeLabels(append(slices.Clone(spec.Constraints), nearConstraints(p.name, d, spec)...))
		if !ok {
			for _, b := range out[:i] {
				c.dropLabels(b)
			}
			return nil, false
		}
		out[i] = bits
	}
	return out, true
}

// countSuitableHosts counts the ready hosts that a service with one task each may use.
func (c *Core) countSuitableHosts(s *servicespec.Service) int {
	class := c.classIndex(s)
	n := 0
	for _, h := range c.hosts {
		if h.state() != forkhead.Ready {
			continue
		}
		if k := c.settings.Module.Classes[class].MachineType; k >= 0 && k != h.machineType {
			continue
		}
		good := true
		for i := range s.Constraints {
			good = good && meets(&h.entry, &s.Constraints[i])
		}
		if good {
			n++
		}
	}
	return n
}

func (c *Core) classIndex(s *servicespec.Service) int {
	if i, ok := c.settings.Class(s.Class); ok {
		return i
	}
	return c.settings.DefaultClass
}

// applyDescription brings a project to a description: what is new is asked for, what runs unchanged stays,
// what has changed is replaced by its service's update_config, and the rest is stopped.
func (c *Core) applyDescription(p *project, d *servicespec.Description, s *submission, needs []uint64) {
	var fresh []*desiredReplica
	for i := range d.Services {
		spec := &d.Services[i]
		svc := p.services[spec.Name]
		if svc == nil {
			svc = &service{project: p, name: spec.Name, replicas: map[int]*desiredReplica{}}
			p.services[spec.Name] = svc
		}
		svc.applying = true
		c.dropLabels(svc.requiredLabels)
		svc.spec, svc.requiredLabels, svc.specLost, svc.failureReason = spec, needs[i], false, ""
		svc.key = servicespec.ServiceKey(spec.Tenant, p.name, spec.Name)
		svc.update, svc.updateQueue, svc.updated, svc.previousSpecs = nil, nil, nil, map[*desiredReplica]*servicespec.Service{}
		for r := 1; r <= spec.Replicas; r++ {
			if replica := c.claimReplica(svc, r, s); replica != nil {
				fresh = append(fresh, replica)
			}
		}
		for _, replica := range svc.sortedReplicas() {
			if replica.number > spec.Replicas {
				c.stopAndRemove(replica)
			}
		}
		if n := len(svc.updateQueue); n > 0 {
			svc.update = rollingupdate.New(spec.Update, n)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		if svc := p.services[name]; svc != nil && d.Service(name) == nil {
			c.removeService(svc)
		}
	}
	for i := range d.Services {
		p.services[d.Services[i].Name].applying = false
	}
	// Only now are all services known, and with them what depends on what.
	for _, replica := range fresh {
		c.startIfReady(replica)
	}
	for i := range d.Services {
		if svc := p.services[d.Services[i].Name]; svc != nil {
			c.continueUpdate(svc)
		}
	}
}

// claimReplica makes a submission the one that is told of a task. It returns a wish that is new.
func (c *Core) claimReplica(svc *service, number int, s *submission) *desiredReplica {
	replica := svc.replicas[number]
	cl := &pendingOutcome{submission: s, since: c.now}
	print := svc.spec.Fingerprint()
	if replica != nil && replica.state == finished {
		c.removeReplica(replica)
		replica = nil
	}
	if replica != nil && replica.removing {
		// It is on its way out. Guards against a second copy, under the same key, beside one that has
		// not ended yet: the new one follows it.
		replica.removing = false
		replica.pending, replica.nextSpec = cl, svc.spec
		c.awaitOldCopyEnd(replica)
		return nil
	}
	if replica == nil {
		replica = c.newReplica(svc, number, svc.spec)
		replica.pending = cl
		return replica
	}
	if replica.pending != nil {
		c.reportOutcome(replica, OutcomeRejected, nil, "a later submission has taken its place")
	}
	replica.pending = cl
	switch {
	case replica.state == placed && replica.fingerprint == print:
		replica.spec = svc.spec
		c.reportOutcome(replica, OutcomePlaced, replica.attempt.host, "it runs already")
	case replica.state == placed:
		svc.updateQueue = append(svc.updateQueue, replica)
	default:
		c.cancelRequest(replica)
		c.setSpec(replica, svc.spec)
		replica.state = awaitingDependencies
		return replica
	}
	return nil
}

func (c *Core) newReplica(svc *service, number int, spec *servicespec.Service) *desiredReplica {
	replica := &desiredReplica{
		service: svc, number: number, spec: spec, class: c.classIndex(spec), tenant: settings.Index(c.settings.Tenants, spec.Tenant),
		fingerprint: spec.Fingerprint(), name: svc.project.name + "/" + svc.name + "/" + strconv.Itoa(number),
	}
	replica.taskKey = taskKey(svc, spec, number, 0)
	if old := svc.replicas[number]; old != nil {
		replica.generation = old.generation + 1
		replica.taskKey = taskKey(svc, spec, number, replica.generation)
	} else {
		svc.replicas[number] = replica
	}
	c.replicaCount++
	return replica
}

// taskKey is a task's key. A copy that is started before the old one stops has another, so that
// its host does not take it for a repeat.
func taskKey(svc *service, spec *servicespec.Service, number, generation int) uint64 {
	return servicespec.Key(spec.Tenant, svc.project.name, svc.name, number) ^ uint64(generation&1)
}

// stopAndRemove ends a task that its project no longer has.
func (c *Core) stopAndRemove(replica *desiredReplica) {
	if replica.removed || replica.removing {
		return
	}
	if replica.successor != nil {
		c.stopAndRemove(replica.successor)
	}
	if replica.pending != nil {
		c.reportOutcome(replica, OutcomeRejected, nil, "a later submission has taken its place")
	}
	replica.removing = true
	if replica.state == placed && replica.attempt != nil {
		c.stopPlaced(replica)
		return
	}
	c.cancelRequest(replica)
	c.removeReplica(replica)
}

// stopPlaced stops a placed task for its project's sake.
func (c *Core) stopPlaced(replica *desiredReplica) {
	replica.stopRequested = true
	if a := replica.attempt; a.phase() == attempt.Placed && a.host.usable() {
		c.sendFrame(a.host, hostproto.Stop{Ref: a.ref, Grace: replica.stopGrace()})
	}
}

func (c *Core) removeService(svc *service) {
	for _, replica := range svc.sortedReplicas() {
		c.stopAndRemove(replica)
	}
	c.pruneService(svc)
}

// pruneService drops a service of which nothing is left, and its project with the last one.
func (c *Core) pruneService(svc *service) {
	p := svc.project
	if len(svc.replicas) > 0 || svc.applying || p.services[svc.name] != svc {
		return
	}
	c.dropLabels(svc.requiredLabels)
	svc.requiredLabels = 0
	if c.hasDependents(svc) {
		return
	}
	delete(p.services, svc.name)
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		// What this one waited for may have been kept for its sake alone.
		if other := p.services[name]; other != nil && len(other.replicas) == 0 {
			c.pruneService(other)
		}
	}
	if len(p.services) == 0 && c.projects[p.name] == p {
		delete(c.projects, p.name)
	}
}

// hasDependents says whether another service waits for this one, so that its fate has to be known.
func (c *Core) hasDependents(svc *service) bool {
	for _, other := range svc.project.services {
		if other.spec == nil || other == svc || len(other.replicas) == 0 {
			continue
		}
		for _, dep := range other.spec.DependsOn {
			if dep.Service == svc.name {
				return true
			}
		}
	}
	return false
}

// handleRemoveProject ends a project.
func (c *Core) handleRemoveProject(in RemoveProject) {
	p := c.projects[in.Project]
	if p == nil {
		c.emit(Rejected{Request: in.Request, Status: 404, Title: "No such project", Detail: in.Project + " is not here"})
		return
	}
	c.persist(durable.ProjectRemoved{Project: in.Project, At: c.now})
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		if svc := p.services[name]; svc != nil {
			c.removeService(svc)
		}
	}
	c.emit(Accepted{Request: in.Request})
}

// ---- Dependencies.

// startIfReady starts a wish whose service's dependencies are met, or refuses it if they cannot be.
func (c *Core) startIfReady(replica *desiredReplica) {
	if replica.state != awaitingDependencies || replica.removed {
		return
	}
	ready, why := c.dependencyState(replica.service)
	switch {
	case why != "":
		replica.rejected, replica.reason = true, why
		if replica.service.failureReason == "" {
			replica.service.failureReason = why
		}
		c.giveUp(replica)
	case ready:
		c.startRequesting(replica)
	}
}

// dependencyState says whether all that a service depends on has come about, or why it will not.
func (c *Core) dependencyState(svc *service) (ready bool, why string) {
	ready = true
	if svc.spec == nil {
		return true, ""
	}
	for _, dep := range svc.spec.DependsOn {
		other := svc.project.services[dep.Service]
		if other == nil {
			if !dep.Optional {
				return false, "it depends on " + dep.Service + ", which is not here"
			}
			continue
		}
		met, failed := other.reached(dep.When)
		if failed != "" {
			if !dep.Optional {
				return false, "it depends on " + dep.Service + ", which " + failed
			}
			continue
		}
		ready = ready && met
	}
	return ready, ""
}

// reached says whether the service is as far as a condition asks, or why it never will be.
func (s *service) reached(when servicespec.Condition) (met bool, failed string) {
	if s.failureReason != "" {
		return false, "was not placed"
	}
	met = true
	for _, replica := range s.replicas {
		switch {
		case replica.state == finished && !replica.succeeded:
			return false, "has failed"
		case replica.state == finished:
		case when == servicespec.Completed:
			met = false
		case replica.state != placed:
			met = false
		}
	}
	return met, ""
}

// startDependents looks again at the services that depend on this one.
func (c *Core) startDependents(svc *service) {
	p := svc.project
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		other := p.services[name]
		if other == nil || other.spec == nil {
			continue
		}
		for _, dep := range other.spec.DependsOn {
			if dep.Service != svc.name {
				continue
			}
			for _, replica := range other.sortedReplicas() {
				c.startIfReady(replica)
			}
			break
		}
	}
}
