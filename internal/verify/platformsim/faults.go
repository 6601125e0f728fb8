package platformsim

import (
	"time"

	"forkhead/internal/protocol/platform"
)

// minRestartTime is the minimum time from the end of a host's process until the next one serves. It is longer than the
// delay of any message (world.delay, 203.1 ms at most), so that, as on real machines, a message that was sent before
// the end of a process does not reach the next process.
const minRestartTime = 250 * time.Millisecond

// injectFault injects a random fault.
func (w *world) injectFault() {
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	faults := []func(*host){w.drainHost, w.crashHost, w.isolateHost, w.killPlacer, w.delayWatch, w.resetConnections}
	faults[w.rng.IntN(len(faults))](h)
}

// drainHost makes a host drain. Its machine vanishes soon after and comes back later, warming up.
func (w *world) drainHost(h *host) {
	if !h.ready {
		return
	}
	h.ready = false
	w.publish(false, h.endpoint(platform.Terminating))
	w.after(w.randomMS(3000), h.vanish)
	w.after(4*time.Second, h.start)
}

// crashHost ends a host's process, which starts again later.
func (w *world) crashHost(h *host) {
	h.crash()
	w.after(minRestartTime+w.randomMS(2000), h.start)
}

// isolateHost partitions a host from all placers for a random time.
func (w *world) isolateHost(h *host) {
	h.isolated = true
	w.after(w.randomMS(6000), func() { h.isolated = false })
}

// killPlacer kills a random placer, which starts again later.
func (w *world) killPlacer(*host) {
	p := w.randomPlacer()
	if p.core != nil {
		p.kill()
		w.after(100*time.Millisecond+w.randomMS(1500), p.start)
	}
}

// delayWatch delays the watch events of a random placer for a random time.
func (w *world) delayWatch(*host) {
	p := w.randomPlacer()
	p.watchDelayedUntil = w.now + w.randomMS(3000)
}

// resetConnections resets all connections to a host.
func (w *world) resetConnections(h *host) {
	for _, c := range w.connectionsTo(h) {
		c.reset()
	}
}

// randomPlacer returns a random placer, which may be down.
func (w *world) randomPlacer() *placer { return w.placers[w.rng.IntN(len(w.placers))] }

// connectionsTo returns the connections of all placers to a host.
func (w *world) connectionsTo(h *host) []*conn {
	var all []*conn
	for _, p := range w.placers {
		for _, c := range p.sortedConns() {
			if c.host == h {
				all = append(all, c)
			}
		}
	}
	return all
}

// endFaults ends all faults. It starts the placers that are down at once, and the hosts that are down after
// minRestartTime.
func (w *world) endFaults() {
	w.faultsDisabled = true
	for _, h := range w.hosts {
		h.isolated = false
		w.after(minRestartTime, h.start)
	}
	for _, p := range w.placers {
		p.start()
	}
}
