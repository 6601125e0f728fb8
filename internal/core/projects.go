package core

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/attempt"
	"forkhead/internal/description"
	"forkhead/internal/hostproto"
	"forkhead/internal/owner"
	"forkhead/internal/rollout"
	"forkhead/internal/settings"
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
	spec     *description.Service // nil: fostered
	needs    uint64
	wishes   map[int]*wish // by replica
	fostered bool          // known only from what hosts run: its description is lost
	failed   string        // why its dependants cannot go on, or ""
	update   *rollout.Update
	queue    []*wish // to be replaced
	replaced []*wish // replaced by this update, with their old specs in before
	before   map[*wish]*description.Service
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
	outcomes []Outcome
	doneAt   time.Duration
}

// claim is an outcome that is owed to a submission.
type claim struct {
	sub *submission
	at  time.Duration
}

func (s *submission) add(c *Core, o Outcome) {
	s.outcomes = append(s.outcomes, o)
	if s.complete() {
		s.doneAt = c.now
		c.ended = append(c.ended, s)
		c.at(&timer{at: c.now + c.set.Limits.Keep, kind: timerExpire})
	}
	c.do(Grew{Submission: s.id})
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
	if in.Key != "" {
		if s := c.byKey[in.Key]; s != nil {
			if s.body != in.Body {
				reject(422, "Idempotency-Key is taken", "the key came before with another body")
				return
			}
			c.do(Taken{Request: in.Request, Submission: s.id, Again: true})
			return
		}
	}
	d := in.What
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
	s := &submission{id: strconv.FormatUint(c.epoch, 36) + "-" + strconv.FormatUint(c.nextSub, 36), key: in.Key, body: in.Body, total: tasks}
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
	c.do(Taken{Request: in.Request, Submission: s.id})
	if tasks == 0 {
		s.total = 0
		s.doneAt = c.now
		c.ended = append(c.ended, s)
		c.do(Grew{Submission: s.id})
	}
	c.apply(p, d, s, needs)
}

// needs takes the labels of all services of a description.
func (c *Core) needs(p *project, d *description.Description) ([]uint64, bool) {
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
func (c *Core) fitting(s *description.Service) int {
	class := c.classOf(s)
	n := 0
	for _, h := range c.hosts {
		if h.state() != forkhead.Ready {
			continue
		}
		if k := c.set.Module.Classes[class].Kind; k >= 0 && k != h.kind {
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

func (c *Core) classOf(s *description.Service) int {
	if i, ok := c.set.Class(s.Class); ok {
		return i
	}
	return c.set.DefaultClass
}

// apply brings a project to a description: what is new is asked for, what runs unchanged stays,
// what has changed is replaced by its service's update_config, and the rest is stopped.
func (c *Core) apply(p *project, d *description.Description, s *submission, needs []uint64) {
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
		svc.key = description.ServiceKey(spec.Tenant, p.name, spec.Name)
		svc.update, svc.queue, svc.replaced, svc.before = nil, nil, nil, map[*wish]*description.Service{}
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
			svc.update = rollout.New(spec.Update, n)
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
		c.outcome(w, WordRefused, nil, "a later submission has taken its place")
	}
	w.claim = cl
	switch {
	case w.state == placed && w.fingerprint == print:
		w.spec = svc.spec
		c.outcome(w, WordPlaced, w.try.host, "it runs already")
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

func (c *Core) newWish(svc *service, replica int, spec *description.Service) *wish {
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
func taskKey(svc *service, spec *description.Service, replica, generation int) uint64 {
	return description.Key(spec.Tenant, svc.project.name, svc.name, replica) ^ uint64(generation&1)
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
		c.outcome(w, WordRefused, nil, "a later submission has taken its place")
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
func (c *Core) remove(in Remove) {
	p := c.projects[in.Project]
	if p == nil {
		c.do(Rejected{Request: in.Request, Status: 404, Title: "No such project", Detail: in.Project + " is not here"})
		return
	}
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		if svc := p.services[name]; svc != nil {
			c.removeService(svc)
		}
	}
	c.do(Taken{Request: in.Request})
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
func (s *service) reached(when description.Condition) (met bool, failed string) {
	if s.failed != "" {
		return false, "was not placed"
	}
	met = true
	for _, w := range s.wishes {
		switch {
		case w.state == done && !w.success:
			return false, "has failed"
		case w.state == done:
		case when == description.Completed:
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

// ---- Updates.

// roll goes on with a service's update.
func (c *Core) roll(svc *service) {
	u := svc.update
	if u == nil {
		return
	}
	n, at := u.Next(c.now)
	if at > 0 {
		c.at(&timer{at: at, kind: timerRollout, svc: svc})
	}
	for ; n > 0 && len(svc.queue) > 0; n-- {
		w := svc.queue[0]
		svc.queue = svc.queue[1:]
		u.Begin()
		c.replace(w, svc.spec)
	}
}

// replace begins to replace a running task by one of another make.
func (c *Core) replace(w *wish, spec *description.Service) {
	if w.gone {
		c.rolledOut(w, false)
		return
	}
	if w.state != placed {
		// It was lost or has ended meanwhile: it comes back as what it is to be.
		w.updating = true
		c.abandon(w)
		c.remake(w, spec)
		c.begin(w)
		return
	}
	w.updating = true
	w.svc.before[w] = w.spec
	// Two copies of what must never run twice are not started side by side, whatever the order.
	if !spec.Update.StartFirst || c.rules(w.class).Effect == forkhead.Unsafe {
		w.next = spec
		c.awaitEnd(w)
		c.halt(w)
		return
	}
	twin := c.newWish(w.svc, w.replica, spec)
	twin.claim, w.claim = w.claim, nil
	twin.twinOf, w.twin = w, twin
	twin.updating, w.updating = true, false
	c.begin(twin)
}

// overtaken begins the replacement of a task that ended, or was lost, while it waited in the queue
// of its service's update. Guards against one that comes back as its old make, and tells that as
// the outcome of the new.
func (c *Core) overtaken(w *wish) bool {
	i := slices.Index(w.svc.queue, w)
	if i < 0 || w.svc.update == nil {
		return false
	}
	w.svc.queue = slices.Delete(w.svc.queue, i, i+1)
	w.svc.update.Begin()
	w.state = waiting
	c.replace(w, w.svc.spec)
	return true
}

// awaitEnd bounds the wait for a task's earlier copy to end: its host may be out of reach.
func (c *Core) awaitEnd(w *wish) {
	patience := w.next.Patience
	if patience == 0 {
		patience = c.set.Classes[c.classOf(w.next)].Patience
	}
	w.owner.Until = c.now + patience
	w.giveUpSeq++
	c.at(&timer{at: w.owner.Until, kind: timerGiveUp, wish: w, number: w.giveUpSeq})
}

// replaced follows the end of the old copy: the new one is asked for.
func (c *Core) replaced(w *wish) {
	spec := w.next
	w.next = nil
	c.remake(w, spec)
	c.begin(w)
}

// remake makes a wish one for a task of another make.
func (c *Core) remake(w *wish, spec *description.Service) {
	w.spec, w.fingerprint = spec, spec.Fingerprint()
	w.class, w.tenant = c.classOf(spec), settings.Index(c.set.Tenants, spec.Tenant)
}

// swap lets a copy that was started first take the place of the one that it replaces.
func (c *Core) swap(w *wish) {
	old := w.twinOf
	if old == nil {
		return
	}
	w.twinOf, old.twin = nil, nil
	w.svc.wishes[w.replica] = w
	old.removing = true
	if old.state == placed && old.try != nil {
		c.halt(old)
	} else {
		c.abandon(old)
		c.drop(old)
	}
}

// rolledOut takes the news that a task under update is placed and has stood its time, or has not.
func (c *Core) rolledOut(w *wish, well bool) {
	if !well && w.twinOf != nil {
		w.twinOf.twin, w.twinOf = nil, nil
	}
	svc := w.svc
	if !w.updating || svc.update == nil {
		return
	}
	w.updating = false
	svc.update.Done(c.now, well)
	if well {
		svc.replaced = append(svc.replaced, w)
	}
	switch svc.update.Verdict() {
	case rollout.Paused, rollout.RollBack:
		why := fmt.Sprintf("the update was stopped after %d tasks had failed", svc.update.Failed())
		for _, q := range svc.queue {
			c.outcome(q, WordRefused, nil, why)
		}
		svc.queue = nil
		if svc.update.Verdict() == rollout.RollBack {
			c.rollBack(svc)
		}
		svc.update = nil
	case rollout.Complete:
		svc.update = nil
	default:
		c.roll(svc)
	}
}

// rollBack puts back what an update has replaced, all at once.
func (c *Core) rollBack(svc *service) {
	c.log("update of %s/%s failed and is rolled back", svc.project.name, svc.name)
	for _, w := range svc.replaced {
		old := svc.before[w]
		if old == nil || w.gone || w.state != placed {
			continue
		}
		w.next = old
		c.halt(w)
	}
	svc.replaced = nil
}

// ---- Tasks of an earlier life.

// inherit takes a task that a host has run since an earlier life of this placer.
func (c *Core) inherit(h *host, held *hostproto.Held) {
	spec := &held.Spec
	parts := strings.Split(spec.Name, "/")
	class, known := c.set.Class(spec.Class)
	if len(parts) != 3 || !known {
		c.log("host %s runs %q, of a class or name unknown here; it is left alone", h.name, spec.Name)
		return
	}
	replica, err := strconv.Atoi(parts[2])
	if err != nil {
		c.log("host %s runs %q, which has no number; it is left alone", h.name, spec.Name)
		return
	}
	p := c.projects[parts[0]]
	if p == nil {
		p = &project{name: parts[0], services: map[string]*service{}}
		c.projects[parts[0]] = p
	}
	svc := p.services[parts[1]]
	if svc == nil {
		svc = &service{project: p, name: parts[1], key: spec.Service, wishes: map[int]*wish{}, fostered: true, before: map[*wish]*description.Service{}}
		p.services[parts[1]] = svc
	}
	w := svc.wishes[replica]
	if w != nil && !svc.fostered {
		wanted := (w.state == waiting || w.state == heldBack || w.state == asking) && !w.removing
		if w.key|1 != spec.Key|1 {
			c.send(h, hostproto.Stop{Ref: held.Ref})
			return
		}
		if !attempt.Adopts(wanted, w.ask != nil && w.ask.IsOut()) {
			c.unwanted(w, h, held)
			return
		}
		same := w.fingerprint == spec.Fingerprint
		c.adopt(w, h, held.Ref, h.link.Epoch, h.link.Conn, c.rules(class))
		if !same {
			c.log("%s runs on %s as an earlier make; submit the project again to replace it", w.name, h.name)
		}
		return
	}
	if w != nil {
		c.unwanted(w, h, held)
		return
	}
	// The description is lost: what the host knows of the task stands for it.
	own := &description.Service{
		Name: svc.name, Class: spec.Class, Tenant: spec.Tenant, Replicas: 1, Life: spec.Life,
		Cores: float64(spec.Cores) / 1000, Memory: float64(spec.Memory) / 1024,
	}
	w = &wish{
		svc: svc, replica: replica, spec: own, class: class, tenant: settings.Index(c.set.Tenants, spec.Tenant),
		fingerprint: spec.Fingerprint, key: spec.Key, name: spec.Name, state: waiting, owner: owner.Owner{},
	}
	if w.key != description.Key(spec.Tenant, p.name, svc.name, replica) {
		w.generation = 1
	}
	svc.wishes[replica] = w
	c.wishes++
	c.adopt(w, h, held.Ref, h.link.Epoch, h.link.Conn, c.rules(class))
}

// unwanted stops what a host has run since an earlier life and its task no longer needs. Until the
// host says that it is over it may run, whether the Stop arrives or not: what must not run twice is
// not begun before. Guards against a Stop that is lost with its connection, found by random lives.
func (c *Core) unwanted(w *wish, h *host, held *hostproto.Held) {
	k := c.newAsk(w)
	k.Answer = attempt.Gave
	// It began nobody knows when: no window of its key is left.
	k.Attempts = []attempt.Attempt{{Host: attempt.Host(h.id), Phase: attempt.Unknown, At: c.now - k.Rules.Window}}
	t := &try{ask: k, host: h, machine: h.id, ref: held.Ref, hostEpoch: h.link.Epoch, conn: h.link.Conn}
	k.tries = []*try{t}
	c.index(t)
	if c.unknown[w.key] == nil {
		c.unknown[w.key] = map[*try]bool{}
	}
	c.unknown[w.key][t] = true
	c.send(h, hostproto.Stop{Ref: held.Ref})
}
