package core

import (
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/parse/servicespec"
	"forkhead/internal/protocol/hostproto"
	"forkhead/internal/scheduler/attempt"
)

// runningTask is a task that a host has and that no placed replica accounts for.
type runningTask struct {
	host      *host
	ref       hostproto.Ref
	hostEpoch uint64
	conn      uint32
	rules     attempt.Rules // of the class that it was started as: they hold for it although its owner may have named another since
}

// handleOrphan settles an abandoned attempt that turns out to have its task: it is adopted if its owner still
// wants the task and nothing else is in flight, and stopped otherwise.
func (c *Core) handleOrphan(a *taskAttempt) {
	r := a.request.replica
	wanted := !r.removed && !r.removing && (r.state == awaitingRequest || r.state == requesting)
	if !attempt.ShouldAdopt(wanted, r.hasAttemptInFlight()) {
		c.sendStop(a)
		return
	}
	c.handleAttempt(a, attempt.Adopted, attemptDetail{})
	if r.state == placed { // settling it let another attempt go ahead
		c.sendStop(a)
		return
	}
	c.adopt(r, runningTask{host: a.host, ref: a.ref, hostEpoch: a.hostEpoch, conn: a.conn, rules: a.request.Rules})
}

// adopt takes a running task as the placement of its replica.
func (c *Core) adopt(r *desiredReplica, task runningTask) {
	if r.request != nil {
		c.cancelRequest(r)
	}
	request := c.newRequest(r)
	request.Answer, request.Rules = attempt.AnsweredPlaced, task.rules
	request.Attempts = []attempt.Attempt{{Host: attempt.HostID(task.host.id), Phase: attempt.Placed, ChosenAt: c.now}}
	a := &taskAttempt{
		request:   request,
		host:      task.host,
		machineID: task.host.id,
		ref:       task.ref,
		hostEpoch: task.hostEpoch,
		conn:      task.conn,
		running:   true,
	}
	request.attempts = []*taskAttempt{a}
	c.addAttempt(a)
	c.updateNearLabels()
	c.persistAttempt(a)
	c.notifyModule(forkhead.HandedOver{Task: request.task, Machine: task.host.id})
	c.handleReplicaPlaced(r, a)
}

// taskName is the name of a task as hosts have it: PROJECT/SERVICE/REPLICA.
type taskName struct {
	project string
	service string
	replica int // from 1
}

func (n taskName) String() string {
	return n.project + "/" + n.service + "/" + strconv.Itoa(n.replica)
}

var (
	errNameParts  = errors.New("a task's name has three parts")
	errNameNumber = errors.New("the last part of a task's name is a number")
)

// parseTaskName returns errNameParts or errNameNumber for what is no name of a task.
func parseTaskName(text string) (taskName, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return taskName{}, errNameParts
	}
	replica, err := strconv.Atoi(parts[2])
	if err != nil {
		return taskName{}, errNameNumber
	}
	return taskName{project: parts[0], service: parts[1], replica: replica}, nil
}

// handleInherited settles a task that a host has had since an earlier incarnation of this placer.
func (c *Core) handleInherited(h *host, reported *hostproto.Held) {
	class, known := c.settings.ClassIndex(reported.Spec.Class)
	name, err := parseTaskName(reported.Spec.Name)
	switch {
	case !known || errors.Is(err, errNameParts):
		c.log("host %s runs %q, of a class or name unknown here; it is left alone", h.name, reported.Spec.Name)
		return
	case err != nil:
		c.log("host %s runs %q, which has no number; it is left alone", h.name, reported.Spec.Name)
		return
	}
	if c.projects[name.project] == nil && c.removedProjects[name.project] {
		c.sendFrame(h, hostproto.Stop{Ref: reported.Ref}) // its project was removed before the earlier incarnation ended
		return
	}
	task := runningTask{host: h, ref: reported.Ref, hostEpoch: h.connection.Epoch, conn: h.connection.Conn, rules: c.attemptRules(class)}
	svc := c.inheritedService(name, reported.Spec.Service)
	switch r := svc.replicas[name.replica]; {
	case r != nil && svc.specLost:
		c.stopInherited(r, h, reported)
	case r != nil:
		c.settleInherited(r, reported, task)
	case svc.specLost:
		c.adopt(c.newInheritedReplica(svc, name, reported, class), task)
	default:
		c.sendFrame(h, hostproto.Stop{Ref: reported.Ref}) // the description that is known has no such task
	}
}

// inheritedService returns the service of a task, and adds it if its description is lost.
func (c *Core) inheritedService(name taskName, serviceKey uint64) *service {
	p := c.projects[name.project]
	if p == nil {
		p = &project{name: name.project, services: map[string]*service{}}
		c.projects[name.project] = p
	}
	svc := p.services[name.service]
	if svc == nil {
		svc = newService(p, name.service)
		svc.key, svc.specLost = serviceKey, true
		p.services[name.service] = svc
	}
	return svc
}

// settleInherited adopts a running task for its replica, or stops it.
func (c *Core) settleInherited(r *desiredReplica, reported *hostproto.Held, task runningTask) {
	h := task.host
	if r.taskKey|1 != reported.Spec.Key|1 { // the lowest bit is that of the generation
		c.sendFrame(h, hostproto.Stop{Ref: reported.Ref})
		return
	}
	wanted := (r.state == awaitingRequest || r.state == awaitingDependencies || r.state == requesting) && !r.removing
	if !attempt.ShouldAdopt(wanted, r.hasAttemptInFlight()) {
		c.stopInherited(r, h, reported)
		return
	}
	same := r.fingerprint == reported.Spec.Fingerprint
	c.adopt(r, task)
	if !same {
		c.log("%s runs on %s as an earlier make; submit the project again to replace it", r.name, h.name)
	}
}

// newInheritedReplica adds a replica for a running task whose specification is lost, from what the host
// reports of the task.
func (c *Core) newInheritedReplica(svc *service, name taskName, reported *hostproto.Held, class int) *desiredReplica {
	spec := &reported.Spec
	r := &desiredReplica{
		service: svc,
		number:  name.replica,
		spec: &servicespec.Service{
			Name: svc.name, Class: spec.Class, Tenant: spec.Tenant, Replicas: 1, ExpectedRuntime: spec.Life,
			Cores: float64(spec.Cores) / 1000, Memory: float64(spec.Memory) / 1024,
		},
		class:       class,
		tenant:      slices.Index(c.settings.Tenants, spec.Tenant),
		fingerprint: spec.Fingerprint,
		taskKey:     spec.Key,
		name:        spec.Name,
		state:       awaitingRequest,
	}
	if r.taskKey != servicespec.TaskKey(spec.Tenant, name.project, svc.name, name.replica) {
		r.generation = 1
	}
	svc.replicas[name.replica] = r
	c.replicaCount++
	return r
}

// stopInherited stops what a host has had since an earlier incarnation and its replica does not need. Until the host says
// that it is over it may run, whether the Stop arrives or not: what must not run twice is not begun before. Guards against
// a Stop that is lost with its connection, found by the simulation.
func (c *Core) stopInherited(r *desiredReplica, h *host, reported *hostproto.Held) {
	// Its start is unknown: nothing is left of the window in which hosts keep its key.
	chosenAt := c.now - c.attemptRules(r.class).DedupWindow
	task := runningTask{host: h, ref: reported.Ref, hostEpoch: h.connection.Epoch, conn: h.connection.Conn}
	c.addUnknownAttempt(r, task, chosenAt)
	c.sendFrame(h, hostproto.Stop{Ref: reported.Ref})
}

// addUnknownAttempt adds an attempt that an earlier incarnation made: until its host reports what became of it, it may run.
// Its rules are those of the replica's class.
func (c *Core) addUnknownAttempt(r *desiredReplica, task runningTask, chosenAt time.Duration) *taskAttempt {
	request := c.newRequest(r)
	request.Answer = attempt.AnsweredFailed
	request.Attempts = []attempt.Attempt{{Host: attempt.HostID(task.host.id), Phase: attempt.Unknown, ChosenAt: chosenAt}}
	a := &taskAttempt{
		request: request, host: task.host, machineID: task.host.id, ref: task.ref, hostEpoch: task.hostEpoch, conn: task.conn,
	}
	request.attempts = []*taskAttempt{a}
	c.addAttempt(a)
	c.unknownAttempts.add(a)
	return a
}
