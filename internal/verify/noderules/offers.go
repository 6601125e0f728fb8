package noderules

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"forkhead"
	"forkhead/internal/emulator/platformmodel"
	"forkhead/internal/protocol/platform"
)

// handOverSettle is the time after which a task that was handed over counts for its placer.
const handOverSettle = 200 * time.Millisecond

// receiveOffer checks an offer that a host receives against the other tasks, and records it.
func (c *checker) receiveOffer(h *hostRecord, e *entry) {
	r := c.requests[e.message.Ref]
	if r == nil {
		c.breach(e, RuleAnswer, "no owner has submitted the request that %v is offered", e.Party)
		return
	}
	r.key, _ = e.message.Text(platform.FieldIdempotencyKey)
	c.checkSpread(r, e)
	c.checkRepeat(r, e)
	r.mayHaveRun = true
	h.tasks[e.message.Ref] = &task{request: r, placer: e.Placer, conn: e.Conn, offeredAt: e.At}
}

// checkSpread counts the tasks of the offered service that the placer has in the domain of the host.
func (c *checker) checkSpread(r *request, e *entry) {
	if r.class.SpreadDomain == forkhead.AnyDomain {
		return
	}
	count, writtenAt := 1, c.writtenAt(r, e)
	var others []string
	for _, number := range c.hostNumbers {
		if !c.sameDomain(r.class.SpreadDomain, number, e.Party.Number) {
			continue
		}
		for ref, t := range c.hosts[number].tasks {
			same := number == e.Party.Number && (ref == e.message.Ref || r.key != "" && t.request.key == r.key)
			if !same && t.placer == e.Placer && t.request.service() == r.service() && c.isKnown(t, writtenAt) {
				count++
				others = append(others, fmt.Sprintf("%s at host %d", ref, number))
			}
		}
	}
	if count > r.class.MaxPerDomain {
		c.breach(e, RuleSpread, "%v receives task %d of service %x in its domain; the limit is %d; the others: %s",
			e.Party, count, r.service(), r.class.MaxPerDomain, strings.Join(others, ", "))
	}
}

// toldTime returns the time that an offer says its owner has left.
func toldTime(e *entry) (told time.Duration, ok bool) {
	text, _ := e.message.Text(platform.FieldTimeout)
	left, err := strconv.ParseFloat(text, 64)
	return time.Duration(left * float64(time.Millisecond)), err == nil
}

// writtenAt returns when an offer was written at the earliest. It may have waited in the kernel if its host reads late; what it
// says of the owner's time tells when it was written.
func (c *checker) writtenAt(r *request, e *entry) time.Duration {
	told, ok := toldTime(e)
	if !ok || r.sentAt == 0 || !c.hosts[e.Party.Number].readsLate(e.At) {
		return e.At
	}
	return min(e.At, r.sentAt+r.timeout()-told)
}

// isKnown reports whether the current incarnation of a task's placer made the offer, or had the task handed over.
func (c *checker) isKnown(t *task, now time.Duration) bool {
	started := c.placerStartedAt[t.placer]
	return t.offeredAt >= started || t.request.handedOverAt > started && t.request.handedOverAt+handOverSettle+limitSlack < now
}

// sameDomain reports whether two hosts are in the same domain of a level.
func (c *checker) sameDomain(level forkhead.Domain, x, y int) bool {
	hostX, hostY := &c.cfg.Platform.Hosts[x], &c.cfg.Platform.Hosts[y]
	switch level {
	case forkhead.MachineDomain:
		return x == y
	case forkhead.CellDomain:
		return hostX.Cell == hostY.Cell
	case forkhead.ZoneDomain:
		return hostX.Zone == hostY.Zone
	}
	return true
}

// parallelAttempts is a breach of RuleNoRepeat unless the placer had given up one of two attempts before it made the
// other. It gives one up by closing its connection or withdrawing it. What it writes on two connections may be read in
// another order, so that the end of the first attempt may be seen up to limitSlack after both, in either order.
type parallelAttempts struct {
	breach   Breach
	attempts [2]withdrawal
}

// giveUp drops the parallel attempts of which the placer has given up one in time.
func (c *checker) giveUp(now time.Duration, isGivenUp func(withdrawal) bool) {
	c.parallel = slices.DeleteFunc(c.parallel, func(p parallelAttempts) bool {
		return slices.ContainsFunc(p.attempts[:], isGivenUp) && now <= p.breach.At+limitSlack
	})
}

// checkRepeat checks that no attempt of the request is undecided at another host, and that a request of an unsafe class
// is offered again only if no earlier attempt may have run.
func (c *checker) checkRepeat(r *request, e *entry) {
	if r.mayHaveRun && r.class.Effect == forkhead.Unsafe {
		c.breach(e, RuleNoRepeat, "%v receives an unsafe task that may have run before", e.Party)
	}
	for _, number := range c.hostNumbers {
		other := c.hosts[number]
		if t := other.tasks[e.message.Ref]; t != nil && !t.running && number != e.Party.Number && other.notReading == 0 && !c.isWithdrawn(t, e.message.Ref) {
			text := fmt.Sprintf("%v receives the task while host %d has not decided on it", e.Party, number)
			c.parallel = append(c.parallel, parallelAttempts{
				Breach{e.At, RuleNoRepeat, e.message.Ref, text}, [2]withdrawal{{t.conn, e.message.Ref}, {e.Conn, e.message.Ref}},
			})
		}
	}
}

// withdrawal identifies a message that withdraws an offer.
type withdrawal struct {
	conn platformmodel.ConnID
	ref  string
}

// isWithdrawn reports whether the placer has withdrawn an undecided offer, though faults keep the host from learning of it.
func (c *checker) isWithdrawn(t *task, ref string) bool { return c.withdrawn[withdrawal{t.conn, ref}] }

// checkOfferTimes checks the limits of time that hold when an offer is written. It is called when the offer is read from
// the placer's connection.
func (c *checker) checkOfferTimes(h *hostRecord, e *entry) {
	r := c.requests[e.message.Ref]
	if r == nil || h.readsLate(e.At) {
		return
	}
	if since, draining := h.drainingAt[e.Placer]; draining && e.At > since+c.cfg.DrainGrace+limitSlack {
		c.breach(e, RuleDrain, "offered to %v, which was listed as draining %v before", e.Party, e.At-since)
	}
	if r.departedAt > 0 && e.At > r.departedAt+departedSlack {
		c.breach(e, RuleDeparted, "offered to %v %v after the owner had left it", e.Party, e.At-r.departedAt)
	}
	if told, ok := toldTime(e); ok && r.sentAt > 0 {
		remaining := r.sentAt + r.timeout() - e.At
		if told > remaining+deadlineSlack {
			c.breach(e, RuleDeadline, "%v is told %v, and the owner has %v left", e.Party, told, remaining)
		}
	}
	if known, ok := h.startKnown[e.Placer]; ok && h.upAt > 0 && e.At > known+limitSlack && e.At < h.upAt+c.cfg.SlowStartDuration {
		h.slowOffers = append(h.slowOffers, e.At)
		c.checkSlowStart(h, e)
	}
}

// checkSlowStart checks the offers within the window that ends now. It reports the first excess of an incarnation.
func (c *checker) checkSlowStart(h *hostRecord, e *entry) {
	if c.cfg.SlowStartMaxOffers == 0 {
		return
	}
	count := 0
	for _, at := range h.slowOffers {
		if at > e.At-c.cfg.SlowStartWindow {
			count++
		}
	}
	if float64(count) > c.cfg.slowStartLimit() {
		c.breach(e, RuleSlowStart, "%v receives offer %d within %v during its slow start; it bears %.1f", e.Party, count, c.cfg.SlowStartWindow, c.cfg.slowStartLimit())
		h.upAt = 0
	}
}

// handleListWritten records what an event of the endpoint log tells a placer about each host.
func (c *checker) handleListWritten(e *entry) {
	for line := range strings.Lines(string(e.Data)) {
		text, isData := strings.CutPrefix(line, "data: ")
		var event platform.WatchEvent
		if !isData || json.Unmarshal([]byte(text), &event) != nil || event.Endpoints == nil {
			continue
		}
		listed := map[string]bool{}
		for i := range event.Endpoints.Hosts {
			listed[event.Endpoints.Hosts[i].Name] = true
			c.notify(e, &event.Endpoints.Hosts[i])
		}
		for _, number := range c.hostNumbers {
			if event.Endpoints.Snapshot && !listed[c.hosts[number].name] {
				c.markDraining(e, c.hosts[number])
			}
		}
	}
}

// notify records what an entry of the endpoint list tells a placer.
func (c *checker) notify(e *entry, endpoint *platform.Endpoint) {
	for _, number := range c.hostNumbers {
		if c.hosts[number].name != endpoint.Name {
			continue
		}
		h := c.hosts[number]
		if endpoint.State != platform.InService {
			c.markDraining(e, h)
			return
		}
		delete(h.drainingAt, e.Placer)
		if _, known := h.startKnown[e.Placer]; !known && endpoint.StartedAtMS > 0 {
			h.startKnown[e.Placer] = e.At
		}
	}
}

func (c *checker) markDraining(e *entry, h *hostRecord) {
	if _, draining := h.drainingAt[e.Placer]; !draining {
		h.drainingAt[e.Placer] = e.At
	}
}
