package platformmodel

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"forkhead/internal/protocol/http1"
	"forkhead/internal/protocol/platform"
)

const (
	commentInterval    = time.Second // time between two comments on a stream
	maxLoggedEvents    = 4096        // limit of the retained events; a request for older events gets a snapshot
	watchPath          = "/changes"
	lastEventIDHeader  = "last-event-id"
	streamResponseHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
)

// EndpointLog emulates the watch of the endpoint list: it numbers the changes and streams them to the subscribed
// placers. It is not safe for concurrent use.
type EndpointLog struct {
	// AddressFor returns the address at which a placer reaches the listener at an address. Nil means that all placers
	// use the listener's own address.
	AddressFor func(placer int, address string) string

	actionQueue
	now               time.Duration
	lastSeq           uint64 // number of the latest event
	endpoints         map[string]platform.Endpoint
	events            []platform.WatchEvent // retained events, numbered without a gap up to lastSeq
	streams           map[ConnID]*logStream
	sequenceRestarts  int         // number of restarts of the sequence
	restartsAtRequest map[int]int // by placer, the value of sequenceRestarts at the placer's latest request
}

// logStream is a placer's connection to the endpoint log.
type logStream struct {
	id            ConnID
	placer        int
	parser        *http1.Parser
	subscribed    bool // the placer's request has arrived and is answered
	nextCommentAt time.Duration
}

// NewEndpointLog returns a log whose first event is a snapshot of the given endpoints.
func NewEndpointLog(now time.Duration, endpoints ...platform.Endpoint) *EndpointLog {
	l := &EndpointLog{now: now, endpoints: map[string]platform.Endpoint{}, streams: map[ConnID]*logStream{}, restartsAtRequest: map[int]int{}}
	for _, e := range endpoints {
		l.endpoints[e.Name] = e
	}
	l.restartSequence()
	return l
}

// Events returns the retained events, with which a placer can be started. They have the addresses for that placer.
func (l *EndpointLog) Events(placer int) []platform.WatchEvent {
	events := make([]platform.WatchEvent, len(l.events))
	for i, e := range l.events {
		events[i] = l.eventForPlacer(placer, e)
	}
	return events
}

// eventForPlacer returns a copy of an event with the addresses at which a placer reaches the hosts.
func (l *EndpointLog) eventForPlacer(placer int, event platform.WatchEvent) platform.WatchEvent {
	if l.AddressFor == nil {
		return event
	}
	list := *event.Endpoints
	list.Hosts = slices.Clone(list.Hosts)
	for i := range list.Hosts {
		list.Hosts[i].Address = l.AddressFor(placer, list.Hosts[i].Address)
	}
	event.Endpoints = &list
	return event
}

// Publish appends changes of endpoints as one event.
func (l *EndpointLog) Publish(now time.Duration, endpoints ...platform.Endpoint) []Action {
	return l.handle(now, func() {
		for _, e := range endpoints {
			l.endpoints[e.Name] = e
			if e.State == platform.Terminated {
				delete(l.endpoints, e.Name)
			}
		}
		l.append(&platform.EndpointList{Hosts: endpoints})
	})
}

// PublishSnapshotWithout removes an endpoint and appends a snapshot without it, which does not say that the endpoint is
// terminated.
func (l *EndpointLog) PublishSnapshotWithout(now time.Duration, name string) []Action {
	return l.handle(now, func() {
		delete(l.endpoints, name)
		l.append(l.snapshot(0).Endpoints)
	})
}

// RestartSequence closes all streams and numbers the events from 1 again, beginning with a snapshot, like a log that has
// lost its state.
func (l *EndpointLog) RestartSequence(now time.Duration) []Action {
	return l.handle(now, func() {
		for _, s := range l.sortedStreams() {
			l.add(Close{s.id})
		}
		l.streams = map[ConnID]*logStream{}
		l.sequenceRestarts++
		l.restartSequence()
	})
}

// ConnectionOpened handles a new connection from a placer.
func (l *EndpointLog) ConnectionOpened(now time.Duration, conn ConnID, placer int) []Action {
	return l.handle(now, func() {
		l.streams[conn] = &logStream{id: conn, placer: placer, parser: http1.NewParser(http1.DefaultLimits(0)), nextCommentAt: never}
	})
}

// ConnectionClosed removes a stream.
func (l *EndpointLog) ConnectionClosed(now time.Duration, conn ConnID, _ bool) []Action {
	return l.handle(now, func() { delete(l.streams, conn) })
}

// Received handles the HTTP request of a stream. It answers with the events after the one that the request names.
func (l *EndpointLog) Received(now time.Duration, conn ConnID, data []byte) []Action {
	return l.handle(now, func() {
		s := l.streams[conn]
		if s == nil || s.subscribed {
			return
		}
		request, err := s.parser.Feed(data)
		switch {
		case err != nil:
			l.refuse(s, 400)
		case request == nil: // the request is not complete
		case request.Method != "GET" || request.Path != watchPath:
			l.refuse(s, 404)
		default:
			last, _ := strconv.ParseUint(request.Get(lastEventIDHeader), 10, 64) // 0 if the header is missing or invalid
			l.openStream(s, last)
		}
	})
}

// Step sends the comments that are due.
func (l *EndpointLog) Step(now time.Duration) []Action { return l.handle(now, func() {}) }

// Next returns the time by which Step must be called.
func (l *EndpointLog) Next() time.Duration {
	next := never
	for _, s := range l.streams {
		next = min(next, s.nextCommentAt)
	}
	return next
}

// handle handles the input, sends the comments that are due, and returns the actions.
func (l *EndpointLog) handle(now time.Duration, input func()) []Action {
	l.now = now
	input()
	for _, s := range l.sortedStreams() {
		if s.nextCommentAt <= now {
			s.nextCommentAt = now + commentInterval
			l.add(Send{Conn: s.id, Data: []byte(":\n\n")})
		}
	}
	return l.takeActions()
}

func (l *EndpointLog) sortedStreams() []*logStream {
	return slices.SortedFunc(maps.Values(l.streams), func(a, b *logStream) int { return cmp.Compare(a.id, b.id) })
}

func (l *EndpointLog) refuse(s *logStream, status int) {
	l.add(Send{Conn: s.id, Data: http1.AppendHead(nil, status, nil, 0, true)})
	l.add(Close{s.id})
	delete(l.streams, s.id)
}

// openStream answers a request with the events after the number last, or with a snapshot if one of these events is no
// longer retained. The first request of a placer after a restart of the sequence gets all events of the new sequence.
// The response has no length and ends when the connection ends.
func (l *EndpointLog) openStream(s *logStream, last uint64) {
	s.subscribed, s.nextCommentAt = true, l.now+commentInterval
	l.add(Send{Conn: s.id, Data: []byte(streamResponseHead), Head: true})
	if restarts, known := l.restartsAtRequest[s.placer]; last > l.lastSeq || known && restarts != l.sequenceRestarts {
		last = 0 // the requested number is one of an earlier sequence
	}
	l.restartsAtRequest[s.placer] = l.sequenceRestarts
	if first := l.events[0].Seq; last+1 < first {
		l.add(Send{Conn: s.id, Data: encodeEvent(l.eventForPlacer(s.placer, l.snapshot(l.lastSeq)))})
		return
	}
	for _, e := range l.events {
		if e.Seq > last {
			l.add(Send{Conn: s.id, Data: encodeEvent(l.eventForPlacer(s.placer, e))})
		}
	}
}

// append appends an event to the log and sends it on all streams.
func (l *EndpointLog) append(list *platform.EndpointList) {
	l.lastSeq++
	event := platform.WatchEvent{Seq: l.lastSeq, Endpoints: list}
	l.events = append(l.events, event)
	if len(l.events) > maxLoggedEvents {
		l.events = l.events[1:]
	}
	for _, s := range l.sortedStreams() {
		if s.subscribed {
			l.add(Send{Conn: s.id, Data: encodeEvent(l.eventForPlacer(s.placer, event))})
		}
	}
}

func (l *EndpointLog) restartSequence() {
	l.lastSeq = 1
	l.events = []platform.WatchEvent{l.snapshot(1)}
}

// snapshot returns an event with the complete list of endpoints.
func (l *EndpointLog) snapshot(seq uint64) platform.WatchEvent {
	hosts := []platform.Endpoint{}
	for _, name := range slices.Sorted(maps.Keys(l.endpoints)) {
		hosts = append(hosts, l.endpoints[name])
	}
	return platform.WatchEvent{Seq: seq, Endpoints: &platform.EndpointList{Snapshot: true, Hosts: hosts}}
}

// encodeEvent returns the encoding of an event on a stream.
func encodeEvent(event platform.WatchEvent) []byte {
	data, err := json.Marshal(event)
	if err != nil {
		return []byte(":\n\n") // unreachable: all values of an event can be encoded as JSON
	}
	return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", event.Seq, data)
}
