package rules

import (
	"cmp"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/protocol/capture"
)

// trace is captured traffic with the indexes that the rules use.
type trace struct {
	events       []capture.Event // captured by hosts, clients and the catalog, sorted by time
	placerEvents []capture.Event // captured at the placers' own sockets, sorted by time

	locations        topology
	hostIncarnations int

	attempts  []*attempt // in the order in which their offers reached hosts
	byID      map[attemptID]*attempt
	byKey     map[uint64][]*attempt // by the key of the task
	byService map[uint64][]*attempt
	rejected  int
	// holds maps an attempt to the handshakes in which its host reported to a placer that it holds the attempt.
	holds map[attemptID][]handshake

	placers   map[int]placerHistory
	lateSteps []lateStep // late steps of all placers, sorted by the time at which they were due

	submissions []*submission // in the order of submission
	byName      map[string]*submission
}

// attemptID identifies an attempt in a trace.
type attemptID struct {
	host        string
	hostEpoch   uint64 // of the host's incarnation; 0 in a placerView, which doesn't need it
	placerEpoch uint64 // of the incarnation of the placer that began the attempt
	task        uint32
	number      uint8
}

func attemptIDOf(e *capture.Event) attemptID {
	return attemptID{e.Host, e.Epoch, e.RefEpoch, e.Task, e.Attempt}
}

// incarnation is one run of a placer.
type incarnation struct {
	placer int
	epoch  uint64
}

func incarnationOf(e *capture.Event) incarnation { return incarnation{e.Placer, e.PlacerEpoch} }

// attempt is an offer that reached a host, with the messages on it and its end as captured at the host. A time is 0 if
// the event has not happened.
type attempt struct {
	attemptID
	sender     incarnation // incarnation that sent the offer
	connection uint64
	key        uint64 // key of the task
	service    uint64
	name       string
	class      string

	offeredAt      time.Duration
	withdrawnAt    time.Duration
	answeredAt     time.Duration // the host reported the attempt as rejected, accepted, running or ended
	boundAt        time.Duration // the host reported the state in which the task counts as placed
	endedAt        time.Duration // the host reported the attempt as rejected or ended
	disconnectedAt time.Duration // the connection of the offer ended
	hostDownAt     time.Duration

	// checkedAtPlacer means that the sockets of the sender were captured too, so that checkPlacerViews checks the offer
	// against what that placer knew.
	checkedAtPlacer bool
}

// handshake is a handshake between a host and an incarnation of a placer.
type handshake struct {
	placer incarnation
	at     time.Duration
}

// happenedBy reports whether an event had happened by a given time. The first parameter is the time of the event, or 0
// if it never happened.
func happenedBy(at, by time.Duration) bool { return at > 0 && at <= by }

// topology maps the name of a host to its location.
type topology map[string]location

type location struct{ zone, rack string }

// sameDomain reports whether hosts x and y are in the same domain at a level of the topology.
func (t topology) sameDomain(level forkhead.Domain, x, y string) bool {
	switch level {
	case forkhead.MachineDomain:
		return x == y
	case forkhead.CellDomain:
		return t[x].rack == t[y].rack
	case forkhead.ZoneDomain:
		return t[x].zone == t[y].zone
	}
	return true
}

// traceBuilder builds a trace from events sorted by time.
type traceBuilder struct {
	*trace
	boundWhenRunning bool
	// current maps a host to the attempts at its current incarnation. The map of a host that is down is nil.
	current map[string]map[attemptID]*attempt
}

// newTrace returns the trace of captured events, which it sorts and indexes. It doesn't change the given slice.
func newTrace(captured []capture.Event, boundWhenRunning bool) *trace {
	b := traceBuilder{
		trace: &trace{
			locations: topology{},
			byID:      map[attemptID]*attempt{},
			byKey:     map[uint64][]*attempt{},
			byService: map[uint64][]*attempt{},
			holds:     map[attemptID][]handshake{},
			placers:   map[int]placerHistory{},
			byName:    map[string]*submission{},
		},
		boundWhenRunning: boundWhenRunning,
		current:          map[string]map[attemptID]*attempt{},
	}
	sorted := slices.Clone(captured)
	slices.SortStableFunc(sorted, func(a, b capture.Event) int { return cmp.Compare(a.At, b.At) })
	for i := range sorted {
		if sorted[i].AtPlacer {
			b.placerEvents = append(b.placerEvents, sorted[i])
		} else {
			b.events = append(b.events, sorted[i])
		}
	}
	for i := range b.events {
		b.add(&b.events[i])
	}
	b.addPlacerEvents()
	return b.trace
}

func (b *traceBuilder) add(e *capture.Event) {
	switch e.Type {
	case capture.HostUp:
		b.hostIncarnations++
		b.locations[e.Host] = location{e.Zone, e.Rack}
		b.current[e.Host] = map[attemptID]*attempt{}
	case capture.HostDown:
		for _, a := range b.current[e.Host] {
			setIfZero(&a.hostDownAt, e.At)
		}
		b.current[e.Host] = nil
	case capture.Disconnected:
		for _, a := range b.current[e.Host] {
			if a.connection == e.Conn {
				setIfZero(&a.disconnectedAt, e.At)
			}
		}
	case capture.Holds:
		id := attemptIDOf(e)
		b.holds[id] = append(b.holds[id], handshake{incarnationOf(e), e.At})
	case capture.Offer:
		b.addOffer(e)
	case capture.Withdraw, capture.Refused, capture.Accepted, capture.Running, capture.Ended:
		if a := b.byID[attemptIDOf(e)]; a != nil {
			b.addProgress(a, e)
		}
	case capture.PlacerUp, capture.PlacerDown:
		b.placers[e.Placer] = b.placers[e.Placer].with(e)
	case capture.Submit:
		b.addSubmit(e)
	case capture.ClientDisconnected:
		if s := b.byName[e.Submission]; s != nil {
			s.disconnectedAt = e.At
		}
	}
}

func (b *traceBuilder) addOffer(e *capture.Event) {
	a := &attempt{
		attemptID: attemptIDOf(e), sender: incarnationOf(e), connection: e.Conn,
		key: e.Key, service: e.Service, name: e.Name, class: e.Class, offeredAt: e.At,
	}
	b.attempts = append(b.attempts, a)
	b.byID[a.attemptID] = a
	b.byKey[a.key] = append(b.byKey[a.key], a)
	b.byService[a.service] = append(b.byService[a.service], a)
	if current := b.current[e.Host]; current != nil {
		current[a.attemptID] = a
	}
}

// addProgress records a message on an attempt.
func (b *traceBuilder) addProgress(a *attempt, e *capture.Event) {
	switch e.Type {
	case capture.Withdraw:
		setIfZero(&a.withdrawnAt, e.At)
		return // a withdrawal is not an answer
	case capture.Refused:
		b.rejected++
		setIfZero(&a.endedAt, e.At)
	case capture.Accepted:
		if !b.boundWhenRunning {
			setIfZero(&a.boundAt, e.At)
		}
	case capture.Running:
		setIfZero(&a.boundAt, e.At)
	case capture.Ended:
		setIfZero(&a.endedAt, e.At)
	}
	setIfZero(&a.answeredAt, e.At)
}

func (b *traceBuilder) addSubmit(e *capture.Event) {
	s := b.byName[e.Submission]
	if s == nil {
		s = &submission{
			name: e.Submission, submittedAt: e.At, timeout: e.Within, count: e.Count, placer: e.Placer, outcomes: map[string]string{},
		}
		b.submissions = append(b.submissions, s)
		b.byName[s.name] = s
	}
	s.lastSubmittedAt = e.At
}

// addPlacerEvents adds the submissions and late steps that were captured at the placers' own sockets, and marks the
// attempts whose sender was captured there.
func (b *traceBuilder) addPlacerEvents() {
	captured := map[incarnation]bool{}
	for i := range b.placerEvents {
		e := &b.placerEvents[i]
		captured[incarnationOf(e)] = true
		switch e.Type {
		case capture.Submit:
			if s := b.byName[e.Submission]; s != nil {
				setIfZero(&s.receivedAt, e.At)
			}
		case capture.LateStep:
			b.lateSteps = append(b.lateSteps, lateStep{placer: e.Placer, dueAt: e.At - e.Within, ranAt: e.At})
		}
	}
	slices.SortStableFunc(b.lateSteps, func(a, b lateStep) int { return cmp.Compare(a.dueAt, b.dueAt) })
	for _, a := range b.attempts {
		a.checkedAtPlacer = captured[a.sender]
	}
}

// setIfZero sets a time unless it has been set.
func setIfZero(at *time.Duration, to time.Duration) {
	if *at == 0 {
		*at = to
	}
}
