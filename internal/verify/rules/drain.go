package rules

import (
	"time"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

// drainNotices holds a placer's notices about hosts that must get no new tasks. The maps notReady and draining give the
// time of the notice by host; a host without a notice has no entry.
type drainNotices struct {
	known    map[string]bool          // hosts that were in an endpoint list since the start of the placer
	notReady map[string]time.Duration // hosts that drain by the endpoint list or are no longer in it
	draining map[string]time.Duration // hosts whose own messages say that they drain
}

func newDrainNotices() *drainNotices {
	return &drainNotices{known: map[string]bool{}, notReady: map[string]time.Duration{}, draining: map[string]time.Duration{}}
}

// listDelivered handles an endpoint list. No host in a list is both ready and draining.
func (n *drainNotices) listDelivered(list *capture.Event) {
	ready := map[string]bool{}
	for _, host := range list.Ready {
		ready[host] = true
		n.known[host] = true
		delete(n.notReady, host)
	}
	for _, host := range list.Draining {
		n.known[host] = true
	}
	for host := range n.known {
		if !ready[host] {
			setIfAbsent(n.notReady, host, list.At)
		}
	}
}

// hostNotified handles a message in which a host reports whether it drains.
func (n *drainNotices) hostNotified(e *capture.Event) {
	if e.HostDraining {
		setIfAbsent(n.draining, e.Host, e.At)
	} else {
		delete(n.draining, e.Host)
	}
}

// clearList discards the notices from endpoint lists, because a restarted placer has no endpoint list.
func (n *drainNotices) clearList() {
	clear(n.known)
	clear(n.notReady)
}

// overdue returns the ages of the notices about a host that are older than the grace period: at most one notice from
// the endpoint list and one from the host itself.
func (n *drainNotices) overdue(host string, now, grace time.Duration) []time.Duration {
	var ages []time.Duration
	for _, since := range []map[string]time.Duration{n.notReady, n.draining} {
		if at, noticed := since[host]; noticed && now > at+grace {
			ages = append(ages, now-at)
		}
	}
	return ages
}

// setIfAbsent sets the time of a host that has none.
func setIfAbsent(since map[string]time.Duration, host string, at time.Duration) {
	if _, known := since[host]; !known {
		since[host] = at
	}
}

// checkDrains checks offers in the traffic that hosts and the catalog captured. Once a placer was notified that a host
// drains or has left the endpoint list, the placer may offer tasks to that host only during the grace period.
func (c *checker) checkDrains() {
	byPlacer := map[int]*drainNotices{}
	notices := func(placer int) *drainNotices {
		if byPlacer[placer] == nil {
			byPlacer[placer] = newDrainNotices()
		}
		return byPlacer[placer]
	}
	for i := range c.trace.events {
		e := &c.trace.events[i]
		switch e.Type {
		case capture.ListDelivered:
			notices(e.Placer).listDelivered(e)
		case capture.Drain, capture.Welcome:
			notices(e.Placer).hostNotified(e)
		case capture.HostUp:
			for _, n := range byPlacer {
				delete(n.draining, e.Host)
			}
		case capture.PlacerUp:
			notices(e.Placer).clearList()
		case capture.Offer:
			c.checkDrain(notices(e.Placer), e)
		}
	}
}

func (c *checker) checkDrain(notices *drainNotices, offer *capture.Event) {
	if c.trace.byID[attemptIDOf(offer)].checkedAtPlacer {
		return
	}
	for _, age := range notices.overdue(offer.Host, offer.At, c.config.DrainGrace+c.config.MaxTransit) {
		c.breach(invariant.Drain, offer.At, "placer %d offered %s to %s %v after it was notified that the host drains or has left the endpoint list",
			offer.Placer, offer.Name, offer.Host, age.Round(time.Millisecond))
	}
}

// checkSentToDrained checks an offer against the drain notices that its placer had read.
func (c *checker) checkSentToDrained(view *placerView, offer *capture.Event) {
	for _, age := range view.notices.overdue(offer.Host, offer.At, c.config.DrainGrace) {
		c.breach(invariant.Drain, offer.At, "placer %d sent %s to %s %v after it had read that the host drains or has left the endpoint list",
			offer.Placer, offer.Name, offer.Host, age.Round(time.Millisecond))
	}
}
