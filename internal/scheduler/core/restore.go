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

// buriedFor is how long it is kept that a project was removed: hosts that come back by then stop what they run of it.
const buriedFor = 24 * time.Hour

func (c *Core) keep(n durable.Record) {
	if c.durable {
		c.do(Persist{Record: n})
	}
}

// task is what is noted of a wish.
func (w *wish) task(word string, over bool) durable.Task {
	return durable.Task{Project: w.svc.project.name, Service: w.svc.name, Replica: w.replica, Outcome: word, Finished: over}
}

// neverAgain notes that a task has ended for good.
func (c *Core) neverAgain(w *wish) {
	word := OutcomeFailed
	if w.success {
		word = OutcomePlaced
	}
	c.keep(durable.TaskFinished{Task: w.task(word, true)})
}

// noteAttempt notes an attempt that must not be made twice. A safe one is not noted: to make it again does no harm, and the
// note would cost its start an fsync.
func (c *Core) noteAttempt(t *try) {
	w := t.ask.wish
	if !c.durable || t.ask.Rules.Effect == forkhead.Safe || w.svc.fostered {
		return
	}
	t.noted = true
	c.keep(durable.AttemptOffered{Attempt: durable.Attempt{
		Ref: t.ref, TaskKey: w.key, Project: w.svc.project.name, Service: w.svc.name, Replica: w.replica, Class: c.set.Classes[w.class].Name,
		Host: t.host.name, Address: t.host.link.Address, HostEpoch: t.hostEpoch, ChosenAt: t.ask.Attempts[t.number].ChosenAt,
	}})
}

// restore begins a life with what an earlier one has noted. Nothing is offered before hosts have said what they run, or
// the owner's wait is over; an attempt that was noted is unknown until its host has said what became of it.
func (c *Core) restore(k *durable.Snapshot) {
	c.keep(durable.IncarnationStarted{Epoch: c.epoch})
	for _, bad := range k.Unreadable {
		c.log("what was kept cannot be read: %s", bad)
	}
	for i := range k.Submissions {
		c.restoreSubmission(&k.Submissions[i])
	}
	var held []*wish
	for i := range k.Projects {
		held = append(held, c.restoreProject(&k.Projects[i])...)
	}
	for name, at := range k.Tombstones {
		if at+buriedFor <= c.now {
			c.keep(durable.TombstoneExpired{Project: name})
			continue
		}
		c.buried[name] = true
	}
	for i := range k.Attempts {
		c.restoreAttempt(&k.Attempts[i])
	}
	c.savedList(&k.HostList)
	for _, w := range held {
		c.release(w)
	}
}

// savedList begins with the list that an earlier life was told last, by its age: so that a placer whose rack restarts while
// discovery is silent does not sit idle, and one that was away for long does not go by what was. A list from the future
// shows that a clock was set back: how old it is nobody knows, so its hosts have to greet first.
func (c *Core) savedList(l *durable.HostList) {
	age, saved := c.now-l.ReceivedAt, c.set.Saved
	switch {
	case len(l.Hosts) == 0:
		return
	case age > saved.Old:
		c.log("the list of hosts that was kept is %v old and is not used; at most %v is", age.Round(time.Second), saved.Old)
		return
	}
	c.listing(HostListReceived{Mode: forkhead.ListCached, Hosts: l.Hosts, Stale: age < 0 || age > saved.Fresh})
}

func (c *Core) restoreSubmission(f *durable.SubmissionProgress) {
	s := &submission{id: f.ID, key: f.IdempotencyKey, body: f.BodyHash, total: f.TotalOutcomes, at: f.AcceptedAt}
	for _, text := range f.Outcomes {
		var o Outcome
		if err := json.Unmarshal(text, &o); err != nil {
			c.log("an outcome of submission %s cannot be read: %v", f.ID, err)
			break
		}
		s.outcomes = append(s.outcomes, o)
	}
	c.submissions[s.id] = s
	if s.key != "" {
		c.byKey[s.key] = s
	}
	if s.complete() {
		s.doneAt = c.now
		c.ended = append(c.ended, s)
		c.at(&timer{at: c.now + c.set.Limits.Keep, kind: timerExpire})
	}
}

// restoreProject brings a project back and returns the tasks whose outcome is owed.
func (c *Core) restoreProject(k *durable.Project) (held []*wish) {
	d := k.Specification
	p := &project{name: d.Name, services: map[string]*service{}}
	needs, ok := c.needs(p, d)
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
			project: p, name: spec.Name, wishes: map[int]*wish{}, spec: spec, needs: needs[i], before: map[*wish]*servicespec.Service{},
			key: servicespec.ServiceKey(spec.Tenant, p.name, spec.Name),
		}
		p.services[spec.Name] = svc
		for r := 1; r <= spec.Replicas; r++ {
			t, told := was[name{spec.Name, r}]
			if told && t.Finished && t.Outcome != OutcomePlaced {
				svc.failed = "was not placed"
				continue
			}
			w := c.newWish(svc, r, spec)
			w.recovered = true
			switch {
			case told && t.Finished:
				w.state, w.success = done, true
			case told || sub == nil:
				// Its outcome is told: it is to run, and most likely does.
				w.lives = 1
				w.owner.Begin(c.now + forever)
				c.askAt(w, c.now)
			default:
				w.claim = &claim{sub: sub, at: sub.at}
				held = append(held, w)
			}
		}
	}
	return held
}

// restoreAttempt makes an attempt of an earlier life unknown: its task waits, as its class says, until its host has said
// what became of it.
func (c *Core) restoreAttempt(a *durable.Attempt) {
	var w *wish
	if p := c.projects[a.Project]; p != nil && p.services[a.Service] != nil {
		w = p.services[a.Service].wishes[a.Replica]
	}
	if w == nil || w.state == done {
		// Nobody wants the task any more: what its host still runs of it is stopped when it shows.
		c.keep(durable.AttemptResolved{Ref: a.Ref})
		return
	}
	h := c.hosts[a.Host]
	if h == nil {
		h = &host{name: a.Host, tries: map[hostproto.Ref]*try{}, probes: map[uint32]time.Duration{}, restored: true}
		h.link.Address = a.Address
		c.hosts[a.Host] = h
		n, renamed := c.ids.Add(a.Host)
		h.id = forkhead.MachineID(n)
		for name, old := range renamed {
			c.renumber(name, forkhead.MachineID(old))
		}
		c.byID[h.id] = h
	}
	h.link.Epoch = max(h.link.Epoch, a.HostEpoch)
	c.suspect(w, h, a.Ref, a.HostEpoch, a.ChosenAt).noted = true
}
