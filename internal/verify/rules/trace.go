package rules

import (
	"cmp"
	"slices"
	"time"

	"forkhead"
	"forkhead/internal/protocol/capture"
)

// trace is captured traffic with what the rules look up in it.
type trace struct {
	events    []capture.Event // noted by hosts, clients and the catalog, by time
	atPlacers []capture.Event // noted at the placers' own sockets, by time

	locations        topology
	hostIncarnations int

	attempts  []*attempt // in the order in which their offers came to hosts
	byID      map[attemptID]*attempt
	byKey     map[uint64][]*attempt // by the task's key
	byService map[uint64][]*attempt
	rejected  int
	// holds are the handshakes in which a host reported to a placer that it holds an attempt, by attempt.
	holds map[attemptID][]handshake

	placers   map[int]placerHistory
	lateSteps []lateStep // of all placers, by the time at which they were due

	submissions []*submission // in the order in which they were made
	byName      map[string]*submission
}

// attemptID identifies an attempt in a trace.
type attemptID struct {
	host        string
	hostEpoch   uint64 // of the host's incarnation; 0 at the placer's end, where it doesn't matter
	placerEpoch uint64 // of the placer's incarnation that began the attempt
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

// attempt is an offer that came to a host, with what became of it at the host's end. A time of 0 says that it hasn't
// happened.
type attempt struct {
	attemptID
	sender     incarnation // that sent the offer
	connection uint64
	key        uint64 // of the task
	service    uint64
	name       string
	class      string

	offeredAt      time.Duration
	withdrawnAt    time.Duration
	answeredAt     time.Duration // rejected, accepted, running or ended
	boundAt        time.Duration // the host reported what makes the task count as placed
	endedAt        time.Duration // rejected, or the host reported that it ended
	disconnectedAt time.Duration // its connection ended
	hostDownAt     time.Duration

	// judgedAtPlacer says that the sockets of its sender were captured, too: what that placer knew is judged there.
	judgedAtPlacer bool
}

// handshake is one between a host and an incarnation of a placer.
type handshake struct {
	placer incarnation
	at     time.Duration
}

// happenedBy reports whether something had happened by a time. at is 0 if it never did.
func happenedBy(at, by time.Duration) bool { return at > 0 && at <= by }

// topology has each host's location, by its name.
type topology map[string]location

type location struct{ zone, rack string }

// sameDomain reports whether two hosts are in one domain of a level.
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

// traceBuilder makes a trace of events in their order.
type traceBuilder struct {
	*trace
	boundWhenRunning bool
	// current has the attempts of each host's present incarnation; nil while the host is down.
	current map[string]map[attemptID]*attempt
}

// newTrace sorts captured events by time, leaving them as they are, and indexes them.
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
			b.atPlacers = append(b.atPlacers, sorted[i])
		} else {
			b.events = append(b.events, sorted[i])
		}
	}
	for i := range b.events {
		b.add(&b.events[i])
	}
	b.addPlacersEnd()
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
			setOnce(&a.hostDownAt, e.At)
		}
		b.current[e.Host] = nil
	case capture.Disconnected:
		for _, a := range b.current[e.Host] {
			if a.connection == e.Conn {
				setOnce(&a.disconnectedAt, e.At)
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

// addProgress notes a message on an attempt.
func (b *traceBuilder) addProgress(a *attempt, e *capture.Event) {
	switch e.Type {
	case capture.Withdraw:
		setOnce(&a.withdrawnAt, e.At)
		return // not an answer
	case capture.Refused:
		b.rejected++
		setOnce(&a.endedAt, e.At)
	case capture.Accepted:
		if !b.boundWhenRunning {
			setOnce(&a.boundAt, e.At)
		}
	case capture.Running:
		setOnce(&a.boundAt, e.At)
	case capture.Ended:
		setOnce(&a.endedAt, e.At)
	}
	setOnce(&a.answeredAt, e.At)
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
	s.resubmittedAt = e.At
}

// addPlacersEnd adds what the placers' own sockets show of submissions, steps and attempts.
func (b *traceBuilder) addPlacersEnd() {
	noted := map[incarnation]bool{}
	for i := range b.atPlacers {
		e := &b.atPlacers[i]
		noted[incarnationOf(e)] = true
		switch e.Type {
		case capture.Submit:
			if s := b.byName[e.Submission]; s != nil {
				setOnce(&s.receivedAt, e.At)
			}
		case capture.LateStep:
			b.lateSteps = append(b.lateSteps, lateStep{placer: e.Placer, dueAt: e.At - e.Within, ranAt: e.At})
		}
	}
	slices.SortStableFunc(b.lateSteps, func(a, b lateStep) int { return cmp.Compare(a.dueAt, b.dueAt) })
	for _, a := range b.attempts {
		a.judgedAtPlacer = noted[a.sender]
	}
}

// setOnce sets a time that is 0.
func setOnce(at *time.Duration, to time.Duration) {
	if *at == 0 {
		*at = to
	}
}
