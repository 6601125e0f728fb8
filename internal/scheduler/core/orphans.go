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

// runningTask is a task that a host holds and that is not the placement of any replica.
type runningTask struct {
	host        *host
	ref         hostproto.Ref
	hostEpoch   uint64
	conn        uint32
	fingerprint uint64        // fingerprint of the specification that it runs by; 0 if that is not known
	rules       attempt.Rules // rules of the class with which the task was started; the owner may have changed the task's class since
}

// handleOrphan handles a host's report that an abandoned attempt has its task. The task is adopted if its owner still
// wants it and no other attempt is in flight, and stopped otherwise.
func (c *Core) handleOrphan(a *taskAttempt) {
	r := a.request.replica
	wanted := !r.removed && !r.removing && (r.state == awaitingRequest || r.state == requesting)
	if !attempt.ShouldAdopt(wanted, r.hasAttemptInFlight()) {
		c.sendStop(a)
		return
	}
	c.handleAttempt(a, attempt.Adopted, attemptDetail{})
	if r.state == placed { // once this attempt was settled, another one went ahead and placed the replica
		c.sendStop(a)
		return
	}
	c.adopt(r, runningTask{
		host: a.host, ref: a.ref, hostEpoch: a.hostEpoch, conn: a.conn, fingerprint: a.fingerprint, rules: a.request.Rules,
	})
}

// adopt makes a running task the placement of its replica.
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

		fingerprint: task.fingerprint,
	}
	request.attempts = []*taskAttempt{a}
	c.addAttempt(a)
	c.updateNearLabels()
	c.persistAttempt(a)
	c.notifyModule(forkhead.HandedOver{Task: request.task, Machine: task.host.id})
	c.handleReplicaPlaced(r, a)
}

// taskName is the name by which hosts know a task: PROJECT/SERVICE/REPLICA.
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

// parseTaskName parses the name of a task. Its error is errNameParts or errNameNumber.
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

// handleInherited adopts or stops a task that a host has held since an earlier incarnation of this placer. A task whose
// class or name is not known here is left alone.
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
	if c.projects[name.project] == nil && c.removedProjects[name.project] { // an earlier incarnation removed the project
		c.stopOrphan(newService(&project{name: name.project}, name.service), h, reported, class)
		return
	}
	task := runningTask{
		host: h, ref: reported.Ref, hostEpoch: h.connection.Epoch, conn: h.connection.Conn,
		fingerprint: reported.Spec.Fingerprint, rules: c.attemptRules(class),
	}
	svc := c.inheritedService(name, reported.Spec.Service)
	switch r := svc.replicas[name.replica]; {
	case r != nil && svc.specLost:
		c.stopInherited(r, h, reported)
	case r != nil:
		c.settleInherited(r, reported, class, task)
	case svc.specLost || svc.mayRunOn[name.replica]:
		c.adopt(c.newInheritedReplica(svc, name, reported, class), task)
	default:
		c.stopOrphan(svc, h, reported, class) // the project's current description has no such task
	}
}

// inheritedService returns the service of an inherited task. A service that is not known is added with specLost set,
// since its description is lost.
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
func (c *Core) settleInherited(r *desiredReplica, reported *hostproto.Held, class int, task runningTask) {
	h := task.host
	if r.taskKey|generationMask != reported.Spec.Key|generationMask { // the lowest bits depend on the generation; see taskKey
		c.stopOrphan(r.service, h, reported, class)
		return
	}
	wanted := (r.state == awaitingRequest || r.state == awaitingDependencies || r.state == requesting) && !r.removing
	if !attempt.ShouldAdopt(wanted, r.hasAttemptInFlight()) {
		c.stopInherited(r, h, reported)
		return
	}
	same := r.fingerprint == reported.Spec.Fingerprint
	c.adopt(r, task)
	if !same { // the task was started from an earlier specification
		c.log("%s runs on %s as an earlier make; submit the project again to replace it", r.name, h.name)
	}
}

// newInheritedReplica adds a replica for a running task whose specification is lost. It takes the specification from
// the host's report of the task.
func (c *Core) newInheritedReplica(svc *service, name taskName, reported *hostproto.Held, class int) *desiredReplica {
	r := c.replicaOfReport(svc, reported, class)
	r.number = name.replica
	r.generation = int((r.taskKey ^ servicespec.TaskKey(reported.Spec.Tenant, name.project, svc.name, name.replica)) & generationMask)
	r.generations = r.generation
	svc.replicas[name.replica] = r
	c.replicaCount++
	return r
}

// replicaOfReport returns a replica that stands for a running task as its host reports it. It is not added to its service.
func (c *Core) replicaOfReport(svc *service, reported *hostproto.Held, class int) *desiredReplica {
	spec := &reported.Spec
	return &desiredReplica{
		service: svc,
		spec: &servicespec.Service{
			Name: svc.name, Class: spec.Class, Tenant: spec.Tenant, Replicas: 1, ExpectedRuntime: spec.Life,
			Cores: float64(spec.Cores) / 1000, Memory: float64(spec.Memory) / 1024,
		},
		class:       class,
		tenant:      slices.Index(c.settings.Tenants, spec.Tenant),
		specLost:    true,
		fingerprint: spec.Fingerprint,
		taskKey:     spec.Key,
		name:        spec.Name,
		state:       awaitingRequest,
	}
}

// stopInherited stops an inherited task that its replica does not need. The task may run until the host reports its
// end, since the Stop may be lost with its connection (found by the simulation). The task is therefore recorded as an
// unknown attempt, so that a task that must not run twice is not started before.
func (c *Core) stopInherited(r *desiredReplica, h *host, reported *hostproto.Held) {
	// The time at which the task was started is not known, so the window in which hosts keep the task's key counts as
	// over.
	chosenAt := c.now - c.attemptRules(r.class).DedupWindow
	task := runningTask{
		host: h, ref: reported.Ref, hostEpoch: h.connection.Epoch, conn: h.connection.Conn, fingerprint: reported.Spec.Fingerprint,
	}
	c.addUnknownAttempt(r, task, chosenAt)
	c.sendFrame(h, hostproto.Stop{Ref: reported.Ref})
}

// stopOrphan stops an inherited task that no replica stands for. As with stopInherited, it may run until its host
// reports its end, which a task that is submitted later under the same key may have to wait for.
func (c *Core) stopOrphan(svc *service, h *host, reported *hostproto.Held, class int) {
	r := c.replicaOfReport(svc, reported, class)
	r.removed, r.state = true, finished
	c.stopInherited(r, h, reported)
}

// addUnknownAttempt adds an attempt that an earlier incarnation made. The task may run until the host reports
// otherwise. The rules for the attempt are those of the replica's class.
func (c *Core) addUnknownAttempt(r *desiredReplica, task runningTask, chosenAt time.Duration) *taskAttempt {
	request := c.newRequest(r)
	request.Answer = attempt.AnsweredFailed
	request.Attempts = []attempt.Attempt{{Host: attempt.HostID(task.host.id), Phase: attempt.Unknown, ChosenAt: chosenAt}}
	a := &taskAttempt{
		request: request, host: task.host, machineID: task.host.id, ref: task.ref, hostEpoch: task.hostEpoch, conn: task.conn,
		fingerprint: task.fingerprint,
	}
	request.attempts = []*taskAttempt{a}
	c.addAttempt(a)
	c.unknownAttempts.add(a)
	return a
}
