package main

import (
	"errors"
	"fmt"
	"time"
)

// lostRelease is case 2. The only connection of the only owner is reset once. The owner connects again at once, and
// asks for one more task, which no host has room for. Then the task that it had placed before comes to its end. The rule
// is broken if the owner gets no release of it in 8 s, although its connection is open all that time.
func lostRelease(r *run) error {
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
	ref := owner.send(smallAsk("keyed", 1))
	if !owner.awaitAnswer(ref, 5*time.Second) {
		return errors.New("the task was not placed")
	}
	for _, h := range w.hosts {
		h.setRefuse(func(*message) bool { return true }) // from now on the hosts are full
	}
	time.Sleep(time.Second)
	if r.trouble {
		network.reset()
		owner.awaitEnd()
		if err := owner.connect(); err != nil {
			return err
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	go askAgain(owner, stop)
	time.Sleep(time.Second)
	return endAndWatch(r, w, owner, ref)
}

// askAgain asks for one more task, and 1.5 s after each refusal again.
func askAgain(owner *owner, stop chan struct{}) {
	for {
		ref := owner.send(smallAsk("keyed", 2))
		owner.awaitAnswer(ref, 6*time.Second)
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-stop:
			return
		}
	}
}

// endAndWatch ends a task at its host, and reports whether its owner gets the release in time.
func endAndWatch(r *run, w *world, o *owner, ref string) error {
	h := w.hostOf(ref)
	if h == nil {
		return errors.New("the task does not run")
	}
	if !o.isConnected() {
		return errors.New("the owner has no connection")
	}
	endedAt := time.Now()
	h.end(ref)
	for time.Since(endedAt) < releaseIn+slack && o.get(ref).releasedAt.IsZero() {
		time.Sleep(10 * time.Millisecond)
	}
	released := o.get(ref).releasedAt
	switch {
	case !o.isConnected():
		return errors.New("the owner's connection has ended")
	case released.IsZero():
		return fmt.Errorf("%w: task %s has ended and was not released towards its client in %v", errBroken, ref, releaseIn+slack)
	}
	r.rec.add("run", "released %v after its end", released.Sub(endedAt).Round(time.Millisecond))
	return nil
}
