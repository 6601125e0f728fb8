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
	if p == nil && c.buried[parts[0]] {
		c.send(h, hostproto.Stop{Ref: held.Ref}) // its project was removed before the earlier life ended
		return
	}
	if p == nil {
		p = &project{name: parts[0], services: map[string]*service{}}
		c.projects[parts[0]] = p
	}
	svc := p.services[parts[1]]
	if svc == nil {
		svc = &service{project: p, name: parts[1], key: spec.Service, wishes: map[int]*wish{}, fostered: true, before: map[*wish]*servicespec.Service{}}
		p.services[parts[1]] = svc
	}
	w := svc.wishes[replica]
	if w != nil && !svc.fostered {
		wanted := (w.state == waiting || w.state == heldBack || w.state == asking) && !w.removing
		if w.key|1 != spec.Key|1 {
			c.send(h, hostproto.Stop{Ref: held.Ref})
			return
		}
		if !attempt.ShouldAdopt(wanted, w.ask != nil && w.ask.HasAttemptInFlight()) {
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
	if !svc.fostered {
		c.send(h, hostproto.Stop{Ref: held.Ref}) // the description that is known asks for no such task
		return
	}
	// The description is lost: what the host knows of the task stands for it.
	own := &servicespec.Service{
		Name: svc.name, Class: spec.Class, Tenant: spec.Tenant, Replicas: 1, Life: spec.Life,
		Cores: float64(spec.Cores) / 1000, Memory: float64(spec.Memory) / 1024,
	}
	w = &wish{
		svc: svc, replica: replica, spec: own, class: class, tenant: settings.Index(c.set.Tenants, spec.Tenant),
		fingerprint: spec.Fingerprint, key: spec.Key, name: spec.Name, state: waiting, owner: retrypolicy.Retrier{},
	}
	if w.key != servicespec.Key(spec.Tenant, p.name, svc.name, replica) {
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
	// It began nobody knows when: no window of its key is left.
	t := c.suspect(w, h, held.Ref, h.link.Epoch, c.now-c.rules(w.class).DedupWindow)
	t.conn = h.link.Conn
	c.send(h, hostproto.Stop{Ref: held.Ref})
}

// suspect takes up an attempt that an earlier life made at a time: until its host says what became of it, it may run.
func (c *Core) suspect(w *wish, h *host, ref hostproto.Ref, life uint64, at time.Duration) *try {
	k := c.newAsk(w)
	k.Answer = attempt.AnsweredFailed
	k.Attempts = []attempt.Attempt{{Host: attempt.HostID(h.id), Phase: attempt.Unknown, ChosenAt: at}}
	t := &try{ask: k, host: h, machine: h.id, ref: ref, hostEpoch: life}
	k.tries = []*try{t}
	c.index(t)
	if c.unknown[w.key] == nil {
		c.unknown[w.key] = map[*try]bool{}
	}
	c.unknown[w.key][t] = true
	return t
}
