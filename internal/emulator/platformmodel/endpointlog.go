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
	commentInterval    = time.Second // between comments on a stream
	maxLoggedEvents    = 4096        // whoever asks after an older one gets a snapshot
	watchPath          = "/changes"
	lastEventIDHeader  = "last-event-id"
	streamResponseHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
)

// EndpointLog is the watch of the endpoint list: it numbers the changes and streams them to whoever asks. It is for one
// goroutine at a time.
type EndpointLog struct {
	// AddressFor returns the address at which a placer reaches what listens at an address; nil: the same for all.
	AddressFor func(placer int, address string) string

	actionQueue
	now               time.Duration
	lastSeq           uint64 // number of the last event
	endpoints         map[string]platform.Endpoint
	events            []platform.WatchEvent // without a gap up to last
	streams           map[ConnID]*logStream
	sequenceRestarts  int         // of the sequence
	restartsAtRequest map[int]int // by placer: how many restarts there were when it last asked
}

// logStream is a connection of a placer.
type logStream struct {
	id            ConnID
	placer        int
	parser        *http1.Parser
	subscribed    bool // the request has come and is answered
	nextCommentAt time.Duration
}

// NewEndpointLog returns a log whose first event is a snapshot of some endpoints.
func NewEndpointLog(now time.Duration, endpoints ...platform.Endpoint) *EndpointLog {
	l := &EndpointLog{now: now, endpoints: map[string]platform.Endpoint{}, streams: map[ConnID]*logStream{}, restartsAtRequest: map[int]int{}}
	for _, e := range endpoints {
		l.endpoints[e.Name] = e
	}
	l.restartSequence()
	return l
}

// Events returns the events that are kept as a placer sees them, which it may be started with.
func (l *EndpointLog) Events(placer int) []platform.WatchEvent {
	events := make([]platform.WatchEvent, len(l.events))
	for i, e := range l.events {
		events[i] = l.eventForPlacer(placer, e)
	}
	return events
}

// eventForPlacer returns an event with the addresses at which a placer reaches the hosts.
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

// Publish logs changes of endpoints as one event.
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

// RestartSequence begins the numbers again from 1 with a snapshot, as a log does that has lost its state. Its streams end.
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

// ConnectionOpened takes a connection of a placer.
func (l *EndpointLog) ConnectionOpened(now time.Duration, conn ConnID, placer int) []Action {
	return l.handle(now, func() {
		l.streams[conn] = &logStream{id: conn, placer: placer, parser: http1.NewParser(http1.DefaultLimits(0)), nextCommentAt: never}
	})
}

// ConnectionClosed forgets a stream.
func (l *EndpointLog) ConnectionClosed(now time.Duration, conn ConnID, _ bool) []Action {
	return l.handle(now, func() { delete(l.streams, conn) })
}

// Received takes the request of a stream and answers it with the events after the one that it names.
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
		case request == nil: // more is to come
		case request.Method != "GET" || request.Path != watchPath:
			l.refuse(s, 404)
		default:
			last, _ := strconv.ParseUint(request.Get(lastEventIDHeader), 10, 64) // none, or none that is a number: from the start
			l.openStream(s, last)
		}
	})
}

// Step sends the comments that are due.
func (l *EndpointLog) Step(now time.Duration) []Action { return l.handle(now, func() {}) }

// Next returns when Step is to be called at the latest.
func (l *EndpointLog) Next() time.Duration {
	next := never
	for _, s := range l.streams {
		next = min(next, s.nextCommentAt)
	}
	return next
}

// handle takes an input and sends the comments that are due.
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

// openStream answers a request: with the events after last, or with a snapshot if one of them is not kept any more. A placer
// that asks for the first time since the numbers began again gets all events of the new sequence. The body has no length and
// ends with its connection.
func (l *EndpointLog) openStream(s *logStream, last uint64) {
	s.subscribed, s.nextCommentAt = true, l.now+commentInterval
	l.add(Send{Conn: s.id, Data: []byte(streamResponseHead), Head: true})
	if restarts, known := l.restartsAtRequest[s.placer]; last > l.lastSeq || known && restarts != l.sequenceRestarts { // of an earlier sequence
		last = 0
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

// append logs an event and streams it.
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

// snapshot returns the complete list as an event.
func (l *EndpointLog) snapshot(seq uint64) platform.WatchEvent {
	hosts := []platform.Endpoint{}
	for _, name := range slices.Sorted(maps.Keys(l.endpoints)) {
		hosts = append(hosts, l.endpoints[name])
	}
	return platform.WatchEvent{Seq: seq, Endpoints: &platform.EndpointList{Snapshot: true, Hosts: hosts}}
}

// encodeEvent returns an event as it is streamed.
func encodeEvent(event platform.WatchEvent) []byte {
	data, err := json.Marshal(event)
	if err != nil {
		return []byte(":\n\n") // cannot be: an event holds nothing that JSON has no form for
	}
	return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", event.Seq, data)
}
