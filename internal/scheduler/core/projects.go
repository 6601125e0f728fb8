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
	needs    uint64
	wishes   map[int]*wish // by replica
	fostered bool          // known only from what hosts run: its description is lost
	failed   string        // why its dependants cannot go on, or ""
	update   *rollingupdate.Update
	queue    []*wish // to be replaced
	replaced []*wish // replaced by this update, with their old specs in before
	before   map[*wish]*servicespec.Service
	building bool // being brought to a description: not to be tidied away
}

func (s *service) sorted() []*wish {
	out := make([]*wish, 0, len(s.wishes))
	for _, r := range slices.Sorted(maps.Keys(s.wishes)) {
		out = append(out, s.wishes[r])
	}
	return out
}

// submission is one taken Submit and the outcomes that it is owed.
type submission struct {
	id       string
	key      string
	body     uint64
	total    int
	at       time.Duration // taken
	outcomes []Outcome
	doneAt   time.Duration
}

// claim is an outcome that is owed to a submission.
type claim struct {
	sub *submission
	at  time.Duration
}

func (s *submission) add(c *Core, w *wish, o Outcome) {
	if c.durable {
		text, err := json.Marshal(o)
		if err != nil {
			c.defect("an outcome has no form to be kept in: %v", err)
		}
		c.keep(durable.OutcomeReported{SubmissionID: s.id, Index: len(s.outcomes), Outcome: text, Task: w.task(o.Outcome, o.Outcome != OutcomePlaced)})
	}
	s.outcomes = append(s.outcomes, o)
	if s.complete() {
		s.doneAt = c.now
		c.ended = append(c.ended, s)
		c.at(&timer{at: c.now + c.set.Limits.Keep, kind: timerExpire})
	}
	c.do(OutcomesAdded{Submission: s.id})
}

func (s *submission) complete() bool { return len(s.outcomes) >= s.total }

// Outcomes returns the outcomes of a submission from the one of that number on, whether these
// are the last, and whether the submission is known.
func (c *Core) Outcomes(id string, from int) (list []Outcome, complete, known bool) {
	s := c.submissions[id]
	if s == nil {
		return nil, false, false
	}
	return s.outcomes[min(max(from, 0), len(s.outcomes)):], s.complete(), true
}

// expire forgets submissions that have been complete for as long as they are kept.
func (c *Core) expire() {
	for len(c.ended) > 0 && c.ended[0].doneAt+c.set.Limits.Keep <= c.now {
		c.forgetSubmission()
	}
}

func (c *Core) forgetSubmission() {
	s := c.ended[0]
	c.ended = c.ended[1:]
	delete(c.submissions, s.id)
	c.keep(durable.SubmissionExpired{SubmissionID: s.id})
	if c.byKey[s.key] == s {
		delete(c.byKey, s.key)
	}
}

// busyRetry is what a client is told to wait when a limit is reached.
const busyRetry = time.Second

// submit takes a description, unless a limit says no.
func (c *Core) submit(in Submit) {
	reject := func(status int, title, format string, args ...any) {
		r := Rejected{Request: in.Request, Status: status, Title: title, Detail: fmt.Sprintf(format, args...)}
		if status == 429 || status == 503 {
			r.RetryAfter = busyRetry
		}
		c.do(r)
	}
	if in.IdempotencyKey != "" {
		if s := c.byKey[in.IdempotencyKey]; s != nil {
			if s.body != in.BodyHash {
				reject(422, "Idempotency-Key is taken", "the key came before with another body")
				return
			}
			c.do(Accepted{Request: in.Request, Submission: s.id, Duplicate: true})
			return
		}
	}
	d := in.Description
	tasks := d.Tasks()
	for i := range d.Services {
		if s := &d.Services[i]; s.Mode.Each() {
			s.Replicas = c.fitting(s)
			tasks += s.Replicas
		}
	}
	lim := &c.set.Limits
	if tasks > lim.PerSubmit {
		reject(413, "Too many tasks", "the description asks for %d tasks, at most %d are taken at once", tasks, lim.PerSubmit)
		return
	}
	if c.wishes+tasks > lim.Tasks {
		reject(503, "Full", "this placer holds %d tasks of at most %d", c.wishes, lim.Tasks)
		return
	}
	if len(c.submissions) >= lim.Submissions {
		if len(c.ended) == 0 {
			reject(429, "Too many submissions", "%d submissions are under way", len(c.submissions))
			return
		}
		c.forgetSubmission()
	}
	c.nextSub++
	s := &submission{id: strconv.FormatUint(c.epoch, 36) + "-" + strconv.FormatUint(c.nextSub, 36), key: in.IdempotencyKey, body: in.BodyHash, total: tasks, at: c.now}
	name := d.Name
	if name == "" {
		name = "unnamed-" + s.id
	}
	p := c.projects[name]
	if p == nil {
		p = &project{name: name, services: map[string]*service{}}
	}
	needs, ok := c.needs(p, d)
	if !ok {
		reject(503, "Too many constraints", "more than %d different placement constraints are in use", lim.Label)
		return
	}
	c.projects[name] = p
	c.submissions[s.id] = s
	if s.key != "" {
		c.byKey[s.key] = s
	}
	c.keep(durable.SubmissionAccepted{Specification: d, Submission: durable.Submission{ID: s.id, IdempotencyKey: s.key, BodyHash: s.body, TotalOutcomes: s.total, AcceptedAt: c.now, Project: name}})
	delete(c.buried, name)
	c.do(Accepted{Request: in.Request, Submission: s.id})
	if tasks == 0 {
		s.total = 0
		s.doneAt = c.now
		c.ended = append(c.ended, s)
		c.do(OutcomesAdded{Submission: s.id})
	}
	c.apply(p, d, s, needs)
}

// needs takes the labels of all services of a description.
func (c *Core) needs(p *project, d *servicespec.Description) ([]uint64, bool) {
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

// fitting counts the ready hosts that a service with one task each may use.
func (c *Core) fitting(s *servicespec.Service) int {
	class := c.classOf(s)
	n := 0
	for _, h := range c.hosts {
		if h.state() != forkhead.Ready {
			continue
		}
		if k := c.set.Module.Classes[class].MachineType; k >= 0 && k != h.kind {
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

func (c *Core) classOf(s *servicespec.Service) int {
	if i, ok := c.set.Class(s.Class); ok {
		return i
	}
	return c.set.DefaultClass
}

// apply brings a project to a description: what is new is asked for, what runs unchanged stays,
// what has changed is replaced by its service's update_config, and the rest is stopped.
func (c *Core) apply(p *project, d *servicespec.Description, s *submission, needs []uint64) {
	var fresh []*wish
	for i := range d.Services {
		spec := &d.Services[i]
		svc := p.services[spec.Name]
		if svc == nil {
			svc = &service{project: p, name: spec.Name, wishes: map[int]*wish{}}
			p.services[spec.Name] = svc
		}
		svc.building = true
		c.dropLabels(svc.needs)
		svc.spec, svc.needs, svc.fostered, svc.failed = spec, needs[i], false, ""
		svc.key = servicespec.ServiceKey(spec.Tenant, p.name, spec.Name)
		svc.update, svc.queue, svc.replaced, svc.before = nil, nil, nil, map[*wish]*servicespec.Service{}
		for r := 1; r <= spec.Replicas; r++ {
			if w := c.claimFor(svc, r, s); w != nil {
				fresh = append(fresh, w)
			}
		}
		for _, w := range svc.sorted() {
			if w.replica > spec.Replicas {
				c.removeWish(w)
			}
		}
		if n := len(svc.queue); n > 0 {
			svc.update = rollingupdate.New(spec.Update, n)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		if svc := p.services[name]; svc != nil && d.Service(name) == nil {
			c.removeService(svc)
		}
	}
	for i := range d.Services {
		p.services[d.Services[i].Name].building = false
	}
	// Only now are all services known, and with them what depends on what.
	for _, w := range fresh {
		c.release(w)
	}
	for i := range d.Services {
		if svc := p.services[d.Services[i].Name]; svc != nil {
			c.roll(svc)
		}
	}
}

// claimFor makes a submission the one that is told of a task. It returns a wish that is new.
func (c *Core) claimFor(svc *service, replica int, s *submission) *wish {
	w := svc.wishes[replica]
	cl := &claim{sub: s, at: c.now}
	print := svc.spec.Fingerprint()
	if w != nil && w.state == done {
		c.drop(w)
		w = nil
	}
	if w != nil && w.removing {
		// It is on its way out. Guards against a second copy, under the same key, beside one that has
		// not ended yet: the new one follows it.
		w.removing = false
		w.claim, w.next = cl, svc.spec
		c.awaitEnd(w)
		return nil
	}
	if w == nil {
		w = c.newWish(svc, replica, svc.spec)
		w.claim = cl
		return w
	}
	if w.claim != nil {
		c.outcome(w, OutcomeRejected, nil, "a later submission has taken its place")
	}
	w.claim = cl
	switch {
	case w.state == placed && w.fingerprint == print:
		w.spec = svc.spec
		c.outcome(w, OutcomePlaced, w.try.host, "it runs already")
	case w.state == placed:
		svc.queue = append(svc.queue, w)
	default:
		c.abandon(w)
		c.remake(w, svc.spec)
		w.state = heldBack
		return w
	}
	return nil
}

func (c *Core) newWish(svc *service, replica int, spec *servicespec.Service) *wish {
	w := &wish{
		svc: svc, replica: replica, spec: spec, class: c.classOf(spec), tenant: settings.Index(c.set.Tenants, spec.Tenant),
		fingerprint: spec.Fingerprint(), name: svc.project.name + "/" + svc.name + "/" + strconv.Itoa(replica),
	}
	w.key = taskKey(svc, spec, replica, 0)
	if old := svc.wishes[replica]; old != nil {
		w.generation = old.generation + 1
		w.key = taskKey(svc, spec, replica, w.generation)
	} else {
		svc.wishes[replica] = w
	}
	c.wishes++
	return w
}

// taskKey is a task's key. A copy that is started before the old one stops has another, so that
// its host does not take it for a repeat.
func taskKey(svc *service, spec *servicespec.Service, replica, generation int) uint64 {
	return servicespec.Key(spec.Tenant, svc.project.name, svc.name, replica) ^ uint64(generation&1)
}

// removeWish ends a task that its project no longer has.
func (c *Core) removeWish(w *wish) {
	if w.gone || w.removing {
		return
	}
	if w.twin != nil {
		c.removeWish(w.twin)
	}
	if w.claim != nil {
		c.outcome(w, OutcomeRejected, nil, "a later submission has taken its place")
	}
	w.removing = true
	if w.state == placed && w.try != nil {
		c.halt(w)
		return
	}
	c.abandon(w)
	c.drop(w)
}

// halt stops a placed task for its project's sake.
func (c *Core) halt(w *wish) {
	w.stopAsked = true
	if t := w.try; t.phase() == attempt.Placed && t.host.usable() {
		c.send(t.host, hostproto.Stop{Ref: t.ref, Grace: w.grace()})
	}
}

func (c *Core) removeService(svc *service) {
	for _, w := range svc.sorted() {
		c.removeWish(w)
	}
	c.tidy(svc)
}

// tidy drops a service of which nothing is left, and its project with the last one.
func (c *Core) tidy(svc *service) {
	p := svc.project
	if len(svc.wishes) > 0 || svc.building || p.services[svc.name] != svc {
		return
	}
	c.dropLabels(svc.needs)
	svc.needs = 0
	if c.wanted(svc) {
		return
	}
	delete(p.services, svc.name)
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		// What this one waited for may have been kept for its sake alone.
		if other := p.services[name]; other != nil && len(other.wishes) == 0 {
			c.tidy(other)
		}
	}
	if len(p.services) == 0 && c.projects[p.name] == p {
		delete(c.projects, p.name)
	}
}

// wanted says whether another service waits for this one, so that its fate has to be known.
func (c *Core) wanted(svc *service) bool {
	for _, other := range svc.project.services {
		if other.spec == nil || other == svc || len(other.wishes) == 0 {
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

// remove ends a project.
func (c *Core) remove(in RemoveProject) {
	p := c.projects[in.Project]
	if p == nil {
		c.do(Rejected{Request: in.Request, Status: 404, Title: "No such project", Detail: in.Project + " is not here"})
		return
	}
	c.keep(durable.ProjectRemoved{Project: in.Project, At: c.now})
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		if svc := p.services[name]; svc != nil {
			c.removeService(svc)
		}
	}
	c.do(Accepted{Request: in.Request})
}

// ---- Dependencies.

// release starts a wish whose service's dependencies are met, or refuses it if they cannot be.
func (c *Core) release(w *wish) {
	if w.state != heldBack || w.gone {
		return
	}
	ready, why := c.dependencies(w.svc)
	switch {
	case why != "":
		w.refused, w.reason = true, why
		if w.svc.failed == "" {
			w.svc.failed = why
		}
		c.giveUp(w)
	case ready:
		c.begin(w)
	}
}

// dependencies says whether all that a service depends on has come about, or why it will not.
func (c *Core) dependencies(svc *service) (ready bool, why string) {
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
	if s.failed != "" {
		return false, "was not placed"
	}
	met = true
	for _, w := range s.wishes {
		switch {
		case w.state == done && !w.success:
			return false, "has failed"
		case w.state == done:
		case when == servicespec.Completed:
			met = false
		case w.state != placed:
			met = false
		}
	}
	return met, ""
}

// wake looks again at the services that depend on this one.
func (c *Core) wake(svc *service) {
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
			for _, w := range other.sorted() {
				c.release(w)
			}
			break
		}
	}
}
