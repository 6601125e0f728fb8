package main

import (
	"errors"
	"fmt"
	"time"
)

// foreignRelease is case 2. An owner's connection is reset once; the owner connects again at once and works on. Later
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
