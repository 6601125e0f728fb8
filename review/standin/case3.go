package main

import (
	"errors"
	"fmt"
	"time"
)

// Times of case 3.
const (
	// slowAnswer is the time in which the slow change log answers a request. The pages let a call to discovery wait 2 s.
	slowAnswer = 1800 * time.Millisecond
	// toldAfter is the latest time after which what a troubled change log has to tell counts as told.
	toldAfter = 4 * time.Second
	watchFor  = 15 * time.Second // time after the event for which the owner goes on asking
)

// slowDiscovery is case 3. The change log answers each request after 1.8 s. A host begins to drain. The rule is broken
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
