package main

import (
	"fmt"
	"time"
)

// Shape of case 1.
const (
	crossTasks = 10                   // unsafe tasks
	crossAfter = 5 * time.Millisecond // time from a set-up to the end of its connection; the page's limit is 50 ms
)

// crossing is case 1. The connection of an unsafe set-up is reset shortly after it was sent, before its answer, and the
// owner sends the set-up again once on a new connection. The rule is broken if a host gets the set-up although an
// earlier attempt may have run: no host has said of it that it never ran.
func crossing(r *run) error {
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
	repeated := 0
	for service := range uint64(crossTasks) {
		if !owner.isConnected() {
			if err := owner.connect(); err != nil {
				return err
			}
		}
		if err := crossOne(r, w, network, owner, service, &repeated); err != nil {
			return err
		}
	}
	if repeated > 0 {
		return fmt.Errorf("%w: %d of %d unsafe tasks went out again although they may have run", errBroken, repeated, crossTasks)
	}
	return nil
}

// crossOne plays one task and counts it if it was repeated.
func crossOne(r *run, w *world, network *proxy, owner *owner, service uint64, repeated *int) error {
	a := smallAsk("unsafe", service+1)
	sentAt := time.Now()
	ref := owner.send(a)
	if r.trouble {
		time.Sleep(crossAfter)
		network.reset()
		owner.awaitEnd()
		if err := owner.connect(); err != nil {
			return err
		}
		if time.Since(sentAt) < 50*time.Millisecond && owner.get(ref).answer == nil {
			owner.send(a.again(ref))
		}
	}
	time.Sleep(400 * time.Millisecond)
	offers, starts, refusals := 0, 0, 0
	for _, h := range w.hosts {
		o, s, n := h.countOf(ref)
		offers, starts, refusals = offers+o, starts+s, refusals+n
	}
	r.rec.add("run", "task %s: %d set-ups came to hosts, %d were accepted, %d refused", ref, offers, starts, refusals)
	if offers > refusals+1 {
		*repeated++
	}
	return nil
}
