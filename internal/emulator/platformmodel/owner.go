package platformmodel

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"forkhead/internal/protocol/platform"
	"forkhead/internal/scheduler/timerqueue"
)

// Timeouts and delays of an owner.
const (
	ownerIdleTimeout  = 4 * time.Second        // a connection is closed after this time without open requests and running tasks
	ownerRedialDelay  = 100 * time.Millisecond // time from the failure or the end of a connection to the next attempt
	inFlightWindow    = 50 * time.Millisecond  // a request sent this shortly before its connection ended is sent again
	defaultRetryAfter = 100 * time.Millisecond // delay after a failure, or after a rejection without FieldRetryAfter
)

// Limits of an owner.
const (
	maxOwnerRequests = 100_000
	maxMigrations    = 16 // for each request; one more migration ends the request with OutcomeBroken
)

// OwnerConfig configures the requests and the behavior of an owner.
type OwnerConfig struct {
	Number         int    // unique among the owners; part of refs and keys
	Tenant         string // "": the platform has no tenants
	Classes        []Class
	Requests       []Request
	MaxSubmissions int           // limit of the submissions of each request
	AnswerGrace    time.Duration // how long the owner waits for an answer beyond a request's Timeout
}

func (c *OwnerConfig) validate(placers int) error {
	switch {
	case c.Number < 0 || c.Number >= 1<<16:
		return fmt.Errorf("number is %d, want 0 to %d", c.Number, 1<<16-1)
	case c.MaxSubmissions < 1:
		return fmt.Errorf("MaxSubmissions is %d, want at least 1", c.MaxSubmissions)
	case len(c.Requests) > maxOwnerRequests:
		return fmt.Errorf("got %d requests, want at most %d", len(c.Requests), maxOwnerRequests)
	}
	for i, r := range c.Requests {
		if r.Class < 0 || r.Class >= len(c.Classes) || r.Placer < 0 || r.Placer >= placers || r.Timeout < time.Millisecond {
			return fmt.Errorf("request %d: got Class %d, Placer %d and Timeout %v; want Class below %d, Placer below %d and Timeout at least 1ms",
				i, r.Class, r.Placer, r.Timeout, len(c.Classes), placers)
		}
	}
	return nil
}

// Owner emulates an owner of tasks, which submits requests to placers and releases the tasks. It is not safe for
// concurrent use.
type Owner struct {
	actionQueue
	cfg           OwnerConfig
	newConn       func() ConnID
	now           time.Duration
	requests      []*ownerRequest
	timers        timerqueue.Queue[*ownerRequest]
	byRef         map[string]*ownerRequest
	conns         map[ConnID]*ownerConnection
	placers       map[int]*placerState
	lastRefNumber uint64 // number of the last ref
}

// placerState is the state that an owner keeps of a placer.
type placerState struct {
	number       int
	running      bool              // the placer accepts connections
	conn         *ownerConnection  // nil: no connection is open or being opened
	redialAt     time.Duration     // earliest time of the next connection attempt
	incarnations int               // number of the placer's starts that the owner was notified of
	outgoing     []outgoingMessage // messages that wait until the placer has answered a probe
}

// outgoingKind is the kind of a message that an owner sends about a request.
type outgoingKind uint8

const (
	sendSubmission outgoingKind = iota
	sendHandOver
	sendRelease
)

// outgoingMessage is a queued message. It is encoded when it is sent.
type outgoingMessage struct {
	kind    outgoingKind
	request *ownerRequest
}

// ownerConnectionState is the state of a connection to a placer.
type ownerConnectionState uint8

const (
	ownerConnecting ownerConnectionState = iota
	ownerProbing                         // the placer has not answered the probe on the connection yet
	ownerReady
)

// ownerConnection is a connection to a placer.
type ownerConnection struct {
	id       ConnID
	placer   *placerState
	state    ownerConnectionState
	lines    platform.LineSplitter
	lastUsed time.Duration
	requests map[*ownerRequest]struct{} // requests on this connection that wait for their answer or whose task runs
}

// NewOwner returns an owner without connections. newConn returns a new number for each of its connections.
func NewOwner(cfg OwnerConfig, now time.Duration, newConn func() ConnID) *Owner {
	o := &Owner{
		cfg: cfg, newConn: newConn, now: now,
		byRef: map[string]*ownerRequest{}, conns: map[ConnID]*ownerConnection{}, placers: map[int]*placerState{},
	}
	for i, r := range cfg.Requests {
		request := &ownerRequest{RequestReport: RequestReport{Request: r}, number: i}
		o.requests = append(o.requests, request)
		o.submitAt(request, r.At)
	}
	return o
}

// Reports returns the reports on the requests, in the order of the configuration.
func (o *Owner) Reports() []RequestReport {
	reports := make([]RequestReport, len(o.requests))
	for i, r := range o.requests {
		reports[i] = r.RequestReport
		reports[i].Refs = slices.Clone(r.Refs)
	}
	return reports
}

// PlacerStarted handles the start of a placer. If it is not the placer's first incarnation, the running tasks that
// earlier incarnations have placed are handed over to it.
func (o *Owner) PlacerStarted(now time.Duration, number int) []Action {
	return o.handle(now, func() {
		p := o.placer(number)
		p.running, p.redialAt = true, now
		if p.incarnations++; p.incarnations > 1 {
			o.queueHandOvers(number)
		}
	})
}

// PlacerStopped handles the exit of a placer. The owner does not connect to it until it starts again.
func (o *Owner) PlacerStopped(now time.Duration, number int) []Action {
	return o.handle(now, func() { o.placer(number).running = false })
}

// HandOver hands over all running tasks to their placers.
func (o *Owner) HandOver(now time.Duration) []Action {
	return o.handle(now, func() {
		for _, p := range o.sortedPlacers() {
			o.queueHandOvers(p.number)
		}
	})
}

// ConnectionOpened handles an established connection. It sends a probe, which the placer must answer before anything
// else is sent.
func (o *Owner) ConnectionOpened(now time.Duration, conn ConnID, _ int) []Action {
	return o.handle(now, func() {
		if c := o.conns[conn]; c != nil {
			c.state, c.lastUsed = ownerProbing, now
			o.sendMessage(conn, platform.TypeProbe, o.nextRef(), platform.CauseUnhealthy) // the cause of a probe has no meaning
		}
	})
}

// ConnectionClosed handles the failure or the end of a connection. After a reset, the owner connects again and hands
// over the running tasks of the connection, as messages about the ends of these tasks may have been lost.
func (o *Owner) ConnectionClosed(now time.Duration, conn ConnID, reset bool) []Action {
	return o.handle(now, func() {
		if c := o.conns[conn]; c != nil {
			o.loseConnection(c, reset)
		}
	})
}

// Received handles bytes from a placer. It closes the connection if a message cannot be decoded.
func (o *Owner) Received(now time.Duration, conn ConnID, data []byte) []Action {
	return o.handle(now, func() {
		c := o.conns[conn]
		if c == nil {
			return
		}
		c.lastUsed = now
		err := feedMessages(&c.lines, data, func(m *platform.Message) { o.handleMessage(c, m) })
		if err != nil {
			o.add(Close{conn})
			o.loseConnection(c, true)
		}
	})
}

// Step handles the timers that are due.
func (o *Owner) Step(now time.Duration) []Action { return o.handle(now, func() {}) }

// Next returns the time by which Step must be called.
func (o *Owner) Next() time.Duration {
	next := never
	if at, ok := o.timers.Next(); ok {
		next = at
	}
	for _, p := range o.placers {
		switch c := p.conn; {
		case c == nil:
			if p.running && len(p.outgoing) > 0 {
				next = min(next, p.redialAt)
			}
		case c.state == ownerReady && len(c.requests) == 0:
			next = min(next, c.lastUsed+ownerIdleTimeout)
		}
	}
	return next
}

// handle handles the input, then the timers that are due, and returns the actions.
func (o *Owner) handle(now time.Duration, input func()) []Action {
	o.now = now
	input()
	o.advanceRequests()
	for _, p := range o.sortedPlacers() {
		o.advancePlacer(p)
	}
	return o.takeActions()
}

func (o *Owner) placer(number int) *placerState {
	p := o.placers[number]
	if p == nil {
		p = &placerState{number: number}
		o.placers[number] = p
	}
	return p
}

func (o *Owner) sortedPlacers() []*placerState {
	return slices.SortedFunc(maps.Values(o.placers), func(a, b *placerState) int { return cmp.Compare(a.number, b.number) })
}

// nextRef returns a ref that is unique among all owners.
func (o *Owner) nextRef() string {
	o.lastRefNumber++
	return fmt.Sprintf("%04x%012x", o.cfg.Number, o.lastRefNumber)
}

// advancePlacer connects to a placer if messages wait for it, sends them once the placer has answered a probe, and
// closes an idle connection.
func (o *Owner) advancePlacer(p *placerState) {
	c := p.conn
	switch {
	case c == nil:
		if p.running && len(p.outgoing) > 0 && o.now >= p.redialAt {
			p.conn = &ownerConnection{id: o.newConn(), placer: p, lastUsed: o.now, requests: map[*ownerRequest]struct{}{}}
			o.conns[p.conn.id] = p.conn
			o.add(Connect{p.conn.id, p.number})
		}
	case c.state == ownerReady && len(p.outgoing) > 0:
		for _, message := range p.outgoing {
			o.send(c, message)
		}
		p.outgoing, c.lastUsed = nil, o.now
	case c.state == ownerReady && o.now >= c.lastUsed+ownerIdleTimeout && len(c.requests) == 0:
		o.add(Close{c.id})
		o.forgetConnection(c)
	}
}

// loseConnection handles the end of a connection that the placer has closed or reset, or that the owner has closed
// because of an unreadable message.
func (o *Owner) loseConnection(c *ownerConnection, reset bool) {
	o.forgetConnection(c)
	for _, r := range o.requests {
		if r.conn != c.id {
			continue
		}
		switch {
		case r.Outcome == OutcomeOpen:
			o.handleLostConnection(r)
		case r.releaseUnacknowledged:
			o.enqueue(sendRelease, r)
		case r.Outcome == OutcomeRunning && reset:
			o.enqueue(sendHandOver, r)
		}
	}
}

func (o *Owner) forgetConnection(c *ownerConnection) {
	delete(o.conns, c.id)
	if c.placer.conn == c {
		c.placer.conn, c.placer.redialAt = nil, o.now+ownerRedialDelay
	}
}

func (o *Owner) handleMessage(c *ownerConnection, m *platform.Message) {
	switch m.Type {
	case platform.TypeProbeResult:
		if c.state == ownerProbing && m.Cause == platform.CauseHealthy {
			c.state = ownerReady
		}
	case platform.TypeProbe:
		o.sendMessage(c.id, platform.TypeProbeResult, m.Ref, platform.CauseHealthy)
	case platform.TypeBound:
		o.handleBound(m)
	case platform.TypeRelease:
		o.handleRelease(m)
	case platform.TypeMigrate:
		o.handleMigrate(m)
	case platform.TypeAck:
		if r := o.byRef[m.Ref]; r != nil {
			r.releaseUnacknowledged = false
		}
	}
}
