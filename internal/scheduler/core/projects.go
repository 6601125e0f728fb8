package core

import (
	"maps"
	"slices"

	"forkhead/internal/parse/servicespec"
	"forkhead/internal/scheduler/durable"
	"forkhead/internal/scheduler/rollingupdate"
)

// project is a named set of services.
type project struct {
	name         string
	submissionID string              // submission of its specification; "" if that is lost or the project was removed
	services     map[string]*service // by name
}

// sortedServices returns the services ordered by name, so that the outputs do not depend on the order of a map. A
// caller whose loop may prune services must check each service with has before it uses it.
func (p *project) sortedServices() []*service {
	services := make([]*service, 0, len(p.services))
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		services = append(services, p.services[name])
	}
	return services
}

// has reports whether the project still has a service.
func (p *project) has(svc *service) bool { return p.services[svc.name] == svc }

// service is one service of a project.
type service struct {
	project        *project
	name           string
	key            uint64                  // servicespec.ServiceKey
	spec           *servicespec.Service    // nil if specLost
	specLost       bool                    // its description is lost: only the tasks that hosts report are known
	requiredLabels uint64                  // bits of its placement constraints
	replicas       map[int]*desiredReplica // by number
	applying       bool                    // a description is being applied, so the service must not be pruned
	failureReason  string                  // why services that depend on it cannot be started, or ""
	mayRunOn       map[int]bool            // replicas left out at the restart, though an old store may mean that their tasks run on

	update        *rollingupdate.Update                    // nil: none is in progress
	updateQueue   []*desiredReplica                        // replicas that the update still has to replace
	updated       []*desiredReplica                        // replicas that the update has replaced
	previousSpecs map[*desiredReplica]*servicespec.Service // specifications before the update, for a rollback
}

func newService(p *project, name string) *service {
	return &service{
		project: p, name: name, replicas: map[int]*desiredReplica{}, mayRunOn: map[int]bool{},
		previousSpecs: map[*desiredReplica]*servicespec.Service{},
	}
}

// setSpec changes the service to a specification and ends any update in progress.
func (s *service) setSpec(spec *servicespec.Service, requiredLabels uint64) {
	s.spec, s.specLost, s.requiredLabels = spec, false, requiredLabels
	s.key = servicespec.ServiceKey(spec.Tenant, s.project.name, spec.Name)
	s.failureReason = ""
	clear(s.mayRunOn)
	s.update, s.updateQueue, s.updated = nil, nil, nil
	s.previousSpecs = map[*desiredReplica]*servicespec.Service{}
}

// sortedReplicas returns the replicas ordered by number, so that the outputs do not depend on the order of a map.
func (s *service) sortedReplicas() []*desiredReplica {
	replicas := make([]*desiredReplica, 0, len(s.replicas))
	for _, number := range slices.Sorted(maps.Keys(s.replicas)) {
		replicas = append(replicas, s.replicas[number])
	}
	return replicas
}

// projectFor returns the project of a description. A new project is not added to the table.
func (c *Core) projectFor(d *servicespec.Description, s *submission) *project {
	name := d.Name
	if name == "" {
		name = "unnamed-" + s.id
	}
	if p := c.projects[name]; p != nil {
		return p
	}
	return &project{name: name, services: map[string]*service{}}
}

// applyDescription changes a project to a description. New tasks are requested and unchanged ones keep running. Changed
// tasks are replaced according to the update_config of their service. Tasks that the description lacks are stopped. The
// parameter labels holds the label bits of the services, in their order.
func (c *Core) applyDescription(p *project, d *servicespec.Description, s *submission, labels []uint64) {
	var toStart []*desiredReplica
	for i := range d.Services {
		toStart = append(toStart, c.applyService(p, &d.Services[i], s, labels[i])...)
	}
	for _, svc := range p.sortedServices() {
		if p.has(svc) && d.Service(svc.name) == nil {
			c.removeService(svc)
		}
	}
	for i := range d.Services {
		p.services[d.Services[i].Name].applying = false
	}
	// Dependencies can be evaluated only now, when all services are in the project.
	for _, r := range toStart {
		c.startIfReady(r)
	}
	for i := range d.Services {
		if svc := p.services[d.Services[i].Name]; svc != nil {
			c.continueUpdate(svc)
		}
	}
}

// applyService changes a service to a specification and returns the replicas to start.
func (c *Core) applyService(p *project, spec *servicespec.Service, s *submission, labels uint64) []*desiredReplica {
	svc := p.services[spec.Name]
	if svc == nil {
		svc = newService(p, spec.Name)
		p.services[spec.Name] = svc
	}
	svc.applying = true
	c.labels.releaseAll(svc.requiredLabels)
	svc.setSpec(spec, labels)
	var toStart []*desiredReplica
	for number := 1; number <= spec.Replicas; number++ {
		if r := c.claimReplica(svc, number, s); r != nil {
			toStart = append(toStart, r)
		}
	}
	for _, r := range svc.sortedReplicas() {
		if r.number > spec.Replicas {
			c.stopAndRemove(r)
		}
	}
	if n := len(svc.updateQueue); n > 0 {
		svc.update = rollingupdate.New(spec.Update, n)
	}
	return toStart
}

// claimReplica makes the next outcome of a replica go to a submission, and adds the replica if the service lacks it. It
// returns the replica if the caller has to start it, else nil.
func (c *Core) claimReplica(svc *service, number int, s *submission) *desiredReplica {
	r := svc.replicas[number]
	pending := &pendingOutcome{submission: s, acceptedAt: c.now}
	if r != nil {
		c.endEarlierUpdate(r)
	}
	if r != nil && r.state == finished {
		c.removeReplica(r)
		r = nil
	}
	if r == nil {
		r = c.newReplica(svc, number, svc.spec)
		r.pending = pending
		return r
	}
	if r.removing {
		// The old copy has not ended yet. The new one is started after its end, since both have the same key.
		r.removing = false
		r.pending, r.nextSpec = pending, svc.spec
		c.awaitOldCopyEnd(r)
		return nil
	}
	c.supersedeOutcome(r)
	r.pending = pending
	if r.state != placed {
		c.cancelRequest(r)
		c.setSpec(r, svc.spec)
		r.state = awaitingDependencies
		return r
	}
	if r.nextSpec != nil {
		// The earlier update has told the host to stop the task. The latest version is started after its end.
		r.nextSpec = svc.spec
		c.awaitOldCopyEnd(r)
		return nil
	}
	if r.fingerprint == svc.spec.Fingerprint() {
		r.spec, r.specLost = svc.spec, false
		c.reportOutcome(r, OutcomePlaced, r.attempt.host, "it runs already")
	} else {
		svc.updateQueue = append(svc.updateQueue, r)
	}
	return nil
}

// handleRemoveProject stops all tasks of a project and removes it.
func (c *Core) handleRemoveProject(in RemoveProject) {
	p := c.projects[in.Project]
	if p == nil {
		c.reject(in.Request, newRejection(statusNotFound, "No such project", "%s is not here", in.Project))
		return
	}
	c.persist(durable.ProjectRemoved{Project: in.Project, At: c.now})
	p.submissionID = ""
	for _, svc := range p.sortedServices() {
		if p.has(svc) {
			c.removeService(svc)
		}
	}
	c.emit(Accepted{Request: in.Request})
}

func (c *Core) removeService(svc *service) {
	for _, r := range svc.sortedReplicas() {
		c.stopAndRemove(r)
	}
	c.pruneService(svc)
}

// pruneService removes a service without replicas, unless a dependent still needs its outcome, and removes the project
// with its last service.
func (c *Core) pruneService(svc *service) {
	p := svc.project
	if len(svc.replicas) > 0 || svc.applying || !p.has(svc) {
		return
	}
	c.labels.releaseAll(svc.requiredLabels)
	svc.requiredLabels = 0
	if hasDependents(svc) {
		return
	}
	delete(p.services, svc.name)
	for _, other := range p.sortedServices() {
		// The removed service may have been the last dependent of another one that has no replicas.
		if p.has(other) && len(other.replicas) == 0 {
			c.pruneService(other)
		}
	}
	if len(p.services) == 0 && c.projects[p.name] == p {
		delete(c.projects, p.name)
	}
}
