package platformmodel

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"forkhead/internal/protocol/platform"
	"forkhead/internal/scheduler/timerqueue"
)

// Times of an owner.
const (
	ownerIdleTimeout  = 4 * time.Second        // after which a connection without requests and tasks is closed
	ownerRedialDelay  = 100 * time.Millisecond // after a connection that failed or ended
	inFlightWindow    = 50 * time.Millisecond  // a request sent so shortly before the placer closed goes out again
	defaultRetryAfter = 100 * time.Millisecond // after a rejection that names no time
)

// Bounds of an owner.
const (
	maxOwnerRequests = 100_000
	maxMigrations    = 16 // of one request; with a further one it is broken
)

// OwnerConfig says what an owner requests and how it behaves.
type OwnerConfig struct {
	Number         int    // among the owners; part of refs and keys
	Tenant         string // "": the platform has no tenants
	Classes        []Class
	Requests       []Request
	MaxSubmissions int           // of a request
	AnswerGrace    time.Duration // that it waits for an answer beyond a request's time-out
}

func (c *OwnerConfig) validate(placers int) error {
	switch {
	case c.Number < 0 || c.Number >= 1<<16:
		return fmt.Errorf("number %d is out of range", c.Number)
	case c.MaxSubmissions < 1:
		return errors.New("a request must have a submission")
	case len(c.Requests) > maxOwnerRequests:
		return fmt.Errorf("%d requests; at most %d", len(c.Requests), maxOwnerRequests)
	}
	for i, r := range c.Requests {
		if r.Class < 0 || r.Class >= len(c.Classes) || r.Placer < 0 || r.Placer >= placers || r.Timeout < time.Millisecond {
			return fmt.Errorf("request %d: class, placer or time-out is out of range", i)
		}
	}
	return nil
}

// Owner requests tasks of placers and releases them. It is for one goroutine at a time.
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
	lastRefNumber uint64 // of refs
}

// placerState is what an owner knows of a placer.
type placerState struct {
	number       int
	running      bool
	conn         *ownerConnection // nil: none is open or being opened
	redialAt     time.Duration
	incarnations int
	outgoing     []outgoingMessage // that wait until the placer has passed a probe
}

// outgoingKind says what an owner sends about a request.
type outgoingKind uint8

const (
	sendSubmission outgoingKind = iota
	sendHandOver
	sendRelease
)

// outgoingMessage is a message that is made when it is sent.
type outgoingMessage struct {
	kind    outgoingKind
	request *ownerRequest
}

// ownerConnectionState is the state of a connection to a placer.
type ownerConnectionState uint8

const (
	ownerConnecting ownerConnectionState = iota
	ownerProbing                         // the placer has not passed a probe on it
	ownerReady
)

// ownerConnection is a connection to a placer.
type ownerConnection struct {
	id       ConnID
	placer   *placerState
	state    ownerConnectionState
	lines    platform.LineSplitter
	lastUsed time.Duration
	requests map[*ownerRequest]struct{} // that wait for their answer on it, or whose tasks run
}

// NewOwner returns an owner that has not connected. newConn numbers its connections.
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

// Reports accounts for the requests, in the order of the configuration.
func (o *Owner) Reports() []RequestReport {
	reports := make([]RequestReport, len(o.requests))
	for i, r := range o.requests {
		reports[i] = r.RequestReport
		reports[i].Refs = slices.Clone(r.Refs)
	}
	return reports
}

// PlacerStarted says that a placer has started. A placer that was started before is handed over what it had placed.
func (o *Owner) PlacerStarted(now time.Duration, number int) []Action {
	return o.handle(now, func() {
		p := o.placer(number)
		p.running, p.redialAt = true, now
		if p.incarnations++; p.incarnations > 1 {
			o.queueHandOvers(number)
		}
	})
}

// PlacerStopped says that a placer has ended: the owner connects to it no more until it starts again.
func (o *Owner) PlacerStopped(now time.Duration, number int) []Action {
	return o.handle(now, func() { o.placer(number).running = false })
}

// HandOver hands over all tasks that run to their placers.
func (o *Owner) HandOver(now time.Duration) []Action {
	return o.handle(now, func() {
		for _, p := range o.sortedPlacers() {
			o.queueHandOvers(p.number)
		}
	})
}

// ConnectionOpened says that a connection is made: the placer is probed before anything else is sent.
func (o *Owner) ConnectionOpened(now time.Duration, conn ConnID, _ int) []Action {
	return o.handle(now, func() {
		if c := o.conns[conn]; c != nil {
			c.state, c.lastUsed = ownerProbing, now
			o.sendMessage(conn, platform.TypeProbe, o.nextRef(), platform.CauseUnhealthy) // the cause of a probe means nothing
		}
	})
}

// ConnectionClosed says that a connection has failed or ended. After a reset the owner connects again and hands over the
// tasks that run, as it may have missed the ends of some.
func (o *Owner) ConnectionClosed(now time.Duration, conn ConnID, reset bool) []Action {
	return o.handle(now, func() {
		if c := o.conns[conn]; c != nil {
			o.loseConnection(c, reset)
		}
	})
}

// Received takes bytes of a placer. What cannot be read closes the connection.
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

// Step does what is due.
func (o *Owner) Step(now time.Duration) []Action { return o.handle(now, func() {}) }

// Next returns when Step is to be called at the latest.
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

// handle lets the owner take the input, and then do what is due.
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

// nextRef returns a ref that no owner has used.
func (o *Owner) nextRef() string {
	o.lastRefNumber++
	return fmt.Sprintf("%04x%012x", o.cfg.Number, o.lastRefNumber)
}

// advancePlacer connects where something waits to be sent, sends it once the placer has passed a probe, and closes an
// idle connection.
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

// loseConnection handles the end of a connection that the owner has not closed.
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
