package rules

import (
	"time"

	"forkhead/internal/protocol/capture"
	"forkhead/internal/scheduler/invariant"
)

// drainNotices is what a placer was notified of hosts that are to get nothing new. A host is in a map while it is so, with
// the time since when.
type drainNotices struct {
	known    map[string]bool          // hosts that the endpoint list has ever had
	notReady map[string]time.Duration // by the endpoint list: it drains, or is gone
	draining map[string]time.Duration // by the host itself
}

func newDrainNotices() *drainNotices {
	return &drainNotices{known: map[string]bool{}, notReady: map[string]time.Duration{}, draining: map[string]time.Duration{}}
}

// listDelivered handles an endpoint list. No host of it is both ready and draining.
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
			addOnce(n.notReady, host, list.At)
		}
	}
}

// hostNotified handles a host's own message on whether it drains.
func (n *drainNotices) hostNotified(e *capture.Event) {
	if e.HostDraining {
		addOnce(n.draining, e.Host, e.At)
	} else {
		delete(n.draining, e.Host)
	}
}

// forgetList begins anew without an endpoint list, as a placer that was restarted.
func (n *drainNotices) forgetList() {
	clear(n.known)
	clear(n.notReady)
}

// overdue returns how long ago the placer was notified not to send to a host, once for each way in which it was, where that
// is longer ago than the grace.
func (n *drainNotices) overdue(host string, now, grace time.Duration) []time.Duration {
	var ages []time.Duration
	for _, since := range []map[string]time.Duration{n.notReady, n.draining} {
		if at, noticed := since[host]; noticed && now > at+grace {
			ages = append(ages, now-at)
		}
	}
	return ages
}

func addOnce(since map[string]time.Duration, host string, at time.Duration) {
	if _, known := since[host]; !known {
		since[host] = at
	}
}

// checkDrains checks, by what hosts and the catalog saw, that a placer sends nothing to a host of which it was notified,
// longer ago than the grace, that it drains or is gone.
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
			notices(e.Placer).forgetList()
		case capture.Offer:
			c.checkDrain(notices(e.Placer), e)
		}
	}
}

func (c *checker) checkDrain(notices *drainNotices, offer *capture.Event) {
	if c.trace.byID[attemptIDOf(offer)].judgedAtPlacer {
		return
	}
	for _, age := range notices.overdue(offer.Host, offer.At, c.config.DrainGrace+c.config.MaxTransit) {
		c.breach(invariant.Drain, offer.At, "placer %d offered %s to %s %v after it was told that the host drains or is gone",
			offer.Placer, offer.Name, offer.Host, age.Round(time.Millisecond))
	}
}

// checkSentToDrained checks an offer against what its placer had read of its host.
func (c *checker) checkSentToDrained(view *placerView, offer *capture.Event) {
	for _, age := range view.notices.overdue(offer.Host, offer.At, c.config.DrainGrace) {
		c.breach(invariant.Drain, offer.At, "placer %d sent %s to %s %v after it had read that the host drains or is gone",
			offer.Placer, offer.Name, offer.Host, age.Round(time.Millisecond))
	}
}
