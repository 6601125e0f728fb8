package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// The scenarios of this file show further faults that the report names. They are no cases.

// answerLost resets the connection of a set-up while the answer is on its way. The owner sends the set-up again once.
// The rule is broken if the set-up gets no answer on the new connection.
func answerLost(r *run) error {
	w, err := newWorld(r, worldConfig{hosts: 4, memoryMB: 128})
	if err != nil {
		return err
	}
	defer w.stop()
	network, err := startProxy(r.rec, w.placer.addr)
	if err != nil {
		return err
	}
	defer network.stop()
	owner := newOwner(r.rec, "owner", network.ln.Addr().String())
	if err := owner.connect(); err != nil {
		return err
	}
	a := smallAsk("keyed", 1)
	if r.trouble {
		network.setResetAtAnswer()
	}
	sentAt := time.Now()
	ref := owner.send(a)
	if r.trouble {
		owner.awaitEnd()
		if err := owner.connect(); err != nil {
			return err
		}
		if time.Since(sentAt) > 50*time.Millisecond {
			return fmt.Errorf("the connection ended %v after the set-up", time.Since(sentAt))
		}
		owner.send(a.again(ref))
	}
	owner.awaitAnswer(ref, a.left+answerLate+slack)
	if owner.get(ref).answer == nil {
		return fmt.Errorf("%w: a set-up got no answer in its time, although its task runs: %t", errBroken, w.hostOf(ref) != nil)
	}
	return nil
}

// eventAgain lets the change log break off after a host has begun to drain. The next stream begins with the first event
// once more. The rule is broken if the host gets set-ups later than the grace after it began to drain.
func eventAgain(r *run) error {
	w, err := newWorld(r, worldConfig{hosts: 2, life: time.Second, memoryMB: 128})
	if err != nil {
		return err
	}
	defer w.stop()
	time.Sleep(time.Second)
	h := w.hosts[0]
	toldAt := w.log.tell(inService(h, 0).as("terminating"))
	time.Sleep(time.Second)
	if r.trouble {
		w.log.breakOff(1)
	}
	return askWhileDraining(r, w, h, toldAt, drainGrace+slack)
}

// foreignRelease is like case 2, with a further owner that is connected all the time. An owner's connection is reset once; the owner connects again at once and works on. Later
// the task that it had placed before comes to its end. The rule is broken if the owner gets no release of it in 8 s.
func foreignRelease(r *run) error {
	w, err := newWorld(r, worldConfig{hosts: 4, memoryMB: 128})
	if err != nil {
		return err
	}
	defer w.stop()
	network, err := startProxy(r.rec, w.placer.addr)
	if err != nil {
		return err
	}
	defer network.stop()
	first, second := newOwner(r.rec, "first", network.ln.Addr().String()), newOwner(r.rec, "second", w.placer.addr)
	if err := errors.Join(first.connect(), second.connect()); err != nil {
		return err
	}
	ref := first.send(smallAsk("keyed", 1))
	for service := range uint64(3) {
		if !second.awaitAnswer(second.send(smallAsk("keyed", 10+service)), 5*time.Second) {
			return errors.New("a task of the second owner was not placed")
		}
	}
	if !first.awaitAnswer(ref, 5*time.Second) {
		return errors.New("the task of the first owner was not placed")
	}
	time.Sleep(time.Second)
	if r.trouble {
		network.reset()
		first.awaitEnd()
		if err := first.connect(); err != nil {
			return err
		}
	}
	if !first.awaitAnswer(first.send(smallAsk("keyed", 2)), 5*time.Second) {
		return errors.New("the further task of the first owner was not placed")
	}
	time.Sleep(3 * time.Second)
	return endAndWatch(r, w, first, ref)
}

// Times of the scenario slow.
const (
	// slowAnswer is the time in which the slow change log answers a request. The pages let a call to discovery wait 2 s.
	slowAnswer = 1800 * time.Millisecond
	// toldAfter is the latest time after which what a troubled change log has to tell counts as told.
	toldAfter = 4 * time.Second
	watchFor  = 15 * time.Second // time after the event for which the owner goes on asking
)

// slowDiscovery lets the change log answer each request after 1.8 s. A host begins to drain. The rule is broken
// if the host gets set-ups later than the grace after the event counts as told, which is 4 s after it at the latest.
func slowDiscovery(r *run) error {
	cfg := worldConfig{hosts: 2, life: time.Second, memoryMB: 128}
	if r.trouble {
		cfg.logDelay = slowAnswer
	}
	w, err := newWorld(r, cfg)
	if err != nil {
		return err
	}
	defer w.stop()
	time.Sleep(5 * time.Second)
	h := w.hosts[0]
	toldAt := w.log.tell(inService(h, 0).as("terminating"))
	return askWhileDraining(r, w, h, toldAt, toldAfter+drainGrace+slack)
}

// askWhileDraining asks for tasks, and reports whether the draining host gets one later than it may.
func askWhileDraining(r *run, w *world, h *host, toldAt time.Time, allowed time.Duration) error {
	owner := newOwner(r.rec, "owner", w.placer.addr)
	if err := owner.connect(); err != nil {
		return err
	}
	for service := uint64(1); time.Since(toldAt) < watchFor; service++ {
		owner.send(smallAsk("keyed", service))
		time.Sleep(100 * time.Millisecond)
	}
	if !owner.isConnected() {
		return errors.New("the owner's connection has ended")
	}
	late := h.offersSince(toldAt.Add(allowed))
	r.rec.add("run", "%s got %d set-ups later than %v after it began to drain", h.name, len(late), allowed)
	if len(late) > 0 {
		last := late[len(late)-1].at.Sub(toldAt).Round(time.Millisecond)
		return fmt.Errorf("%w: %d set-ups to a draining host, the last %v after the event", errBroken, len(late), last)
	}
	return nil
}

// longQueue lets bad clients send hundreds of small set-ups at once while the hosts are full; the list has 400 hosts. The
// rule is broken if a usual owner's request is answered later than half a second after its time.
func longQueue(r *run) error {
	w, err := newWorld(r, worldConfig{hosts: 4, full: 396, memoryMB: 192})
	if err != nil {
		return err
	}
	defer w.stop()
	for _, h := range w.hosts {
		h.setRefuse(func(*message) bool { return true })
	}
	owner := newOwner(r.rec, "owner", w.placer.addr)
	if err := owner.connect(); err != nil {
		return err
	}
	var refs []string
	for i := range uint64(100) {
		if r.trouble && i == 20 {
			for c := range 8 {
				go floodFrom(r, w.placer.addr, c, 900, 60)
			}
		}
		a := smallAsk("keyed", 1+i)
		a.left = 1500 * time.Millisecond
		refs = append(refs, owner.send(a))
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	late, worst := 0, time.Duration(0)
	for _, ref := range refs {
		q := owner.get(ref)
		took := time.Since(q.sentAt)
		if q.answer != nil {
			took = q.answeredAt.Sub(q.sentAt)
		}
		if worst = max(worst, took); took > q.left+answerLate+slack {
			late++
		}
	}
	r.rec.add("run", "%d of %d requests were answered too late or never, the worst after %v", late, len(refs), worst)
	if late > 0 {
		return fmt.Errorf("%w: %d of %d requests were answered too late or never, the worst after %v", errBroken, late, len(refs), worst)
	}
	return nil
}

// Shape of the scenario term.
const (
	termHosts    = 12
	termHung     = 10
	termTasks    = 2                      // tasks on each host
	termApart    = 120 * time.Millisecond // time between two hosts that begin to hang
	termEvery    = 5 * time.Millisecond   // time between two set-ups
	termCrossing = 50 * time.Millisecond  // what crosses the end of its connection so shortly goes out again
)

// lastRequests sends SIGTERM while most hosts hang. The owner goes on sending on its open connection. The rule is broken
// if the placer ends with set-ups unanswered that came more than 50 ms before.
func lastRequests(r *run) error {
	w, err := newWorld(r, worldConfig{hosts: termHosts, memoryMB: 128})
	if err != nil {
		return err
	}
	defer w.stop()
	for _, h := range w.hosts {
		h.setRefuse(func(*message) bool { return len(h.tasks) >= termTasks })
	}
	owner := newOwner(r.rec, "owner", w.placer.addr)
	if err := owner.connect(); err != nil {
		return err
	}
	for service := range uint64(termTasks * termHosts) {
		if !owner.awaitAnswer(owner.send(smallAsk("keyed", 1+service)), 5*time.Second) {
			return errors.New("a task was not placed")
		}
	}
	for _, h := range w.hosts[:termHung] {
		time.Sleep(termApart)
		if r.trouble {
			if err := h.hang(); err != nil {
				return err
			}
		}
	}
	time.Sleep(3 * time.Second)
	r.rec.add("platform", "SIGTERM")
	if err := w.placer.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	time.Sleep(700 * time.Millisecond)
	var refs []string
	for owner.isConnected() {
		refs = append(refs, owner.send(smallAsk("keyed", 1000+uint64(len(refs)))))
		time.Sleep(termEvery)
	}
	endedAt := time.Now()
	lost, first := 0, time.Duration(0)
	for _, ref := range refs {
		if q := owner.get(ref); q.answer == nil && endedAt.Sub(q.sentAt) > termCrossing {
			lost++
			first = max(first, endedAt.Sub(q.sentAt))
		}
	}
	r.rec.add("run", "%d set-ups unanswered that came more than %v before the end, the first %v before", lost, termCrossing, first)
	if lost > 0 {
		return fmt.Errorf("%w: %d set-ups unanswered that came more than %v before the end, the first %v before", errBroken, lost, termCrossing, first)
	}
	return nil
}
