package platformsim

import (
	"fmt"
	"slices"
	"time"

	"forkhead/internal/protocol/platform"
)

// hostsPerCell is the number of consecutive locations that form a cell.
const hostsPerCell = 3

// host is a machine, on which incarnations of a host run one after the other.
type host struct {
	w               *world
	number          int // from 1
	location        int // determines cell and zone; hosts at one address have the same
	incarnation     int
	machineType     int
	startedAt       time.Duration // start of the incarnation; 0 means long ago
	up              bool
	ready           bool   // in service by the endpoint list; if not, dials are refused and offers rejected
	isolated        bool   // partitioned from all placers
	isHung          bool   // its port accepts connections, and nothing passes on them
	isRemoved       bool   // it does not start again
	takenAddress    string // address that it took from another host; "" after its first restart
	restarts        int
	tasks           map[string]*attempt // bound tasks by ref
	undelivered     []release           // releases that were not acknowledged by their placers
	slowStartOffers []time.Duration     // arrival times of the offers during the last slow start
}

// release is a message about the end of a task that the placer has not acknowledged.
type release struct {
	placer  *placer
	line    string
	attempt *attempt
}

func (h *host) name() string { return fmt.Sprintf("s-%08x", h.number) }
func (h *host) zone() string { return h.w.WireNames.Zones[h.location%len(h.w.WireNames.Zones)] }
func (h *host) cell() int    { return h.location / hostsPerCell }

func (h *host) address() string {
	if h.takenAddress != "" {
		return h.takenAddress
	}
	return fmt.Sprintf("10.0.%d.%d:1", h.number, h.restarts)
}

// endpoint returns the host's entry in the endpoint list.
func (h *host) endpoint(state platform.EndpointState) platform.Endpoint {
	size := h.w.Settings.MachineTypes[h.machineType]
	return platform.Endpoint{
		Name: h.name(), Address: h.address(), Zone: h.zone(), MachineType: h.w.WireNames.MachineTypes[h.machineType], Cell: h.cell(),
		State: state, StartedAtMS: float64(h.startedAt.Milliseconds()), Available: []float64{size.Cores, size.Memory},
	}
}

// crash ends the host's process and resets its connections.
func (h *host) crash() { h.stop((*conn).reset) }

// vanish removes the machine. Its connections are not reset.
func (h *host) vanish() { h.stop(func(c *conn) { c.blackholed = true }) }

// stop ends the incarnation if the host is up, and calls endConn for each of its connections. The endpoint list is
// updated after less than 2 s if the host is still down.
func (h *host) stop(endConn func(*conn)) {
	if !h.up {
		return
	}
	h.endProcess(endConn)
	h.ready = false
	h.w.after(h.w.randomMS(2000), func() {
		if !h.up {
			h.w.publish(false, h.endpoint(platform.Terminated))
		}
	})
}

// endProcess ends the incarnation with its tasks, and calls endConn for each of its connections.
func (h *host) endProcess(endConn func(*conn)) {
	h.up = false
	for _, t := range h.tasks {
		t.ended, t.endedAt, t.cause = true, h.w.now, platform.CauseReset
	}
	h.tasks, h.undelivered = map[string]*attempt{}, nil
	for _, c := range h.w.connectionsTo(h) {
		endConn(c)
	}
}

// start starts a host that is down, which then warms up, and publishes its new address.
func (h *host) start() {
	if h.up || h.isRemoved {
		return
	}
	if h.isHung {
		h.isHung = false
		for _, c := range h.w.connectionsTo(h) {
			c.reset()
		}
	}
	h.takenAddress = ""
	h.incarnation++
	h.restarts++
	h.up, h.ready, h.startedAt = true, true, h.w.now
	h.slowStartOffers = nil
	h.w.publish(false, h.endpoint(platform.InService))
}

// sendUndelivered sends, on a new connection, the releases that the placer of the connection has not acknowledged.
func (h *host) sendUndelivered(c *conn) {
	for _, u := range h.undelivered {
		if u.placer == c.placer {
			c.sendToPlacer(u.line, func() { u.attempt.knownOver = true })
		}
	}
}

// awaitsAck reports whether the placer has yet to acknowledge the end of an attempt.
func (h *host) awaitsAck(t *attempt) bool {
	return slices.ContainsFunc(h.undelivered, func(u release) bool { return u.attempt == t })
}

// receive handles a message from a placer.
func (h *host) receive(c *conn, m platform.Message) {
	switch m.Type {
	case platform.TypeProbe:
		load := platform.TextField(platform.FieldLoad, "x0:4;x1:4")
		c.sendToPlacer(encodeLine(platform.TypeProbeResult, m.Ref, platform.CauseHealthy, load), nil)
	case platform.TypeAck:
		h.undelivered = slices.DeleteFunc(h.undelivered, func(u release) bool {
			return u.placer == c.placer && u.attempt.request.ref == m.Ref
		})
	case platform.TypeRelease:
		h.receiveRelease(c, m.Ref)
	case platform.TypeRequest:
		h.receiveOffer(c, m.Ref)
	}
}

// receiveRelease ends a bound task, or cancels offers that the host has not decided on.
func (h *host) receiveRelease(c *conn, ref string) {
	if t := h.tasks[ref]; t != nil {
		h.end(t, platform.CauseMigrated, true)
		return
	}
	for _, t := range c.attempts {
		if t.request.ref == ref {
			t.ended = true
		}
	}
}

// receiveOffer receives an offer. The host decides on it 1 to 40 ms later.
func (h *host) receiveOffer(c *conn, ref string) {
	w := h.w
	if h.startedAt > 0 && w.now < h.startedAt+w.Settings.SlowStartDuration {
		h.slowStartOffers = append(h.slowStartOffers, w.now)
	}
	if t := c.lastAttempt(ref); t != nil {
		w.after(time.Millisecond+w.randomMS(40), func() { h.decide(c, t) })
	}
}

// decide answers an offer: it binds the task, rejects it, or fails in one of several ways.
func (h *host) decide(c *conn, t *attempt) {
	w := h.w
	if t.ended || !h.up || h.incarnation != c.hostIncarnation || c.closed {
		return
	}
	release := func(causes ...platform.Cause) string {
		return encodeLine(platform.TypeRelease, t.request.ref, causes[w.rng.IntN(len(causes))])
	}
	switch {
	case !h.ready || w.rng.IntN(12) == 0:
		c.sendToPlacer(release(platform.CauseRejected, platform.CauseNotSent), func() { t.knownNotRun, t.knownOver = true, true })
	case w.faultOneIn(15):
		c.sendToPlacer(release(platform.CauseFailed, platform.CauseReset), func() { t.knownOver = true })
	case w.faultOneIn(15):
		c.reset()
	case w.faultOneIn(20):
		c.sendToPlacer("\x00 not a message\n", nil)
	case w.faultOneIn(20): // the host never answers
	default:
		h.bind(c, t)
	}
}

// bind starts a task, which ends by itself after 300 ms to 6.3 s. The answer is sometimes sent twice.
func (h *host) bind(c *conn, t *attempt) {
	w, ref := h.w, t.request.ref
	t.bound = true
	h.tasks[ref] = t
	c.sendToPlacer(encodeLine(platform.TypeBound, ref, platform.NoCause), func() { t.knownBound = t.knownBound || !t.knownOver })
	if w.faultOneIn(8) {
		c.sendToPlacer(encodeLine(platform.TypeBound, ref, platform.NoCause), nil)
	}
	incarnation := h.incarnation
	w.after(300*time.Millisecond+w.randomMS(6000), func() {
		if h.incarnation == incarnation && h.tasks[ref] == t {
			h.end(t, []platform.Cause{platform.CauseOK, platform.CauseOK, platform.CauseReset}[w.rng.IntN(3)], true)
		}
	})
}

// end ends a bound task. If notify is set, the host sends a release to the task's placer, and again on each new
// connection until the placer acknowledges it.
func (h *host) end(t *attempt, cause platform.Cause, notify bool) {
	if t.ended {
		return
	}
	t.ended, t.endedAt, t.cause = true, h.w.now, cause
	if h.tasks[t.request.ref] == t {
		delete(h.tasks, t.request.ref)
	}
	if !notify {
		return
	}
	line := encodeLine(platform.TypeRelease, t.request.ref, cause)
	h.undelivered = append(h.undelivered, release{t.request.placer, line, t})
	if c := h.connFor(t); c != nil {
		c.sendToPlacer(line, func() { t.knownOver = true })
	}
}

// connFor returns a connection that reaches the placer of an attempt, or nil. It prefers the attempt's own connection.
func (h *host) connFor(t *attempt) *conn {
	p := t.request.placer
	if t.conn.isForgotten {
		return t.conn
	}
	reaches := func(c *conn) bool { return c.established && !c.blackholed && !h.isolated }
	if c := t.conn; c.placer == p && !c.closed && reaches(c) && p.conns[c.id] == c {
		return c
	}
	for _, c := range p.sortedConns() {
		if c.host == h && reaches(c) {
			return c
		}
	}
	return nil
}
