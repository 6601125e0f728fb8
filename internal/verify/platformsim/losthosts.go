package platformsim

import (
	"time"

	"forkhead/internal/protocol/platform"
)

const (
	// noticeLimit is the time within which an owner is notified of the end of its task.
	noticeLimit = 8 * time.Second
	// maxDelay is the longest delay of a message, so that the last one of a host may arrive so long after its end.
	maxDelay = 204 * time.Millisecond
)

// loseReachableHost injects a fault in which a host's tasks end, or their ends are lost, while something still accepts
// connections at its address.
func (w *world) loseReachableHost() {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	faults := []func(*host){w.takeAddress, w.hangHost, w.hangHost, w.forgetConnections, w.forgetConnections}
	faults[w.rng.IntN(len(faults))](h)
}

// takeAddress ends a host's process for good. Another host serves at its address at once. The endpoint list may keep the
// entry of the first.
func (w *world) takeAddress(h *host) {
	if !h.up {
		return
	}
	w.report.AddressesTaken++
	address := h.address()
	h.isRemoved = true
	h.endProcess((*conn).reset)
	other := &host{
		w: w, number: len(w.hosts) + 1, location: h.location, incarnation: 1, up: true, ready: true, machineType: h.machineType, startedAt: w.now,
		tasks: map[string]*attempt{}, takenAddress: address,
	}
	w.hosts = append(w.hosts, other)
	w.after(w.randomMS(1000), func() {
		if other.up {
			w.publish(false, other.endpoint(platform.InService))
		}
	})
	if w.rng.IntN(3) > 0 {
		w.after(w.randomMS(6000), func() {
			entry := h.endpoint(platform.Terminated)
			entry.Address = address
			w.publish(false, entry)
		})
	}
}

// hangHost makes a host's process hang: its tasks end and its port accepts connections on which nothing passes. The
// process is restarted later.
func (w *world) hangHost(h *host) {
	if !h.up {
		return
	}
	w.report.Hangs++
	h.isHung = true
	h.endProcess(func(c *conn) { c.blackholed = true })
	if w.rng.IntN(2) == 0 {
		w.after(w.randomMS(3000), func() {
			if h.isHung {
				w.publish(false, h.endpoint(platform.Terminated))
			}
		})
	}
	w.after(minRestartTime+w.randomMS(15000), h.start)
}

// forgetConnections makes some connections to a host pass nothing any more. The host goes on using them.
func (w *world) forgetConnections(h *host) {
	for _, c := range w.connectionsTo(h) {
		if c.established && w.rng.IntN(2) == 0 {
			w.report.Forgotten++
			c.blackholed, c.isForgotten = true, true
		}
	}
}

// acceptForHungHost completes a dial to a host that hangs.
func (c *conn) acceptForHungHost() {
	c.deliver(func() {
		c.established, c.blackholed, c.hostIncarnation = true, true, c.host.incarnation
		c.placer.stepConnected(c)
	})
}

// checkNotifiedInTime checks, when an owner is notified of the end of its task on the connection of its request, that this is
// not too late. It does not check tasks of an earlier incarnation of the placer, whose ends the host may send on connections
// that it does not know, nor hosts that may not be probed, whose hanging cannot be noticed.
func (w *world) checkNotifiedInTime(r *request) {
	t := r.boundAttempt()
	if w.LostHosts == 0 || !w.Settings.MayProbe || t == nil || !t.ended || r.placer.startedAt > t.sentAt || !r.owner.open {
		return
	}
	if late := w.now - t.endedAt - noticeLimit - maxDelay - slack; late > 0 {
		w.breach("one answer: the owner of %s is notified %v after the end of its task, want within %v", r.ref, w.now-t.endedAt, noticeLimit)
	}
}
