package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// MaxEventSize is the most bytes that one event of the change log may hold.
const MaxEventSize = 1 << 20

// ErrEvent means that the change log sent a line or an event without an end.
var ErrEvent = fmt.Errorf("an event of the change log holds more than %d bytes", MaxEventSize)

// ServerSentEvent is one server-sent event.
type ServerSentEvent struct {
	ID   uint64 // 0: it has none
	Data []byte
}

// EventReader reads server-sent events from a stream. An event that the stream breaks off in is none.
type EventReader struct {
	line []byte
	data []byte
	id   uint64
	some bool // a data line came
	cr   bool // the last byte was a carriage return
	// OnComment is called at each comment: the change log has nothing more to tell for now. nil: nobody asks.
	OnComment func()
}

// Feed takes bytes as they come and calls take for each whole event, which it may keep. After an error the stream
// cannot be read on.
func (e *EventReader) Feed(p []byte, take func(ServerSentEvent)) error {
	for _, b := range p {
		if e.cr && b == '\n' {
			e.cr = false
			continue
		}
		e.cr = b == '\r'
		if b == '\n' || b == '\r' {
			e.end(take)
			e.line = e.line[:0]
			continue
		}
		if len(e.line)+len(e.data) >= MaxEventSize {
			return ErrEvent
		}
		e.line = append(e.line, b)
	}
	return nil
}

// end takes a whole line.
func (e *EventReader) end(take func(ServerSentEvent)) {
	if len(e.line) == 0 {
		if e.some {
			take(ServerSentEvent{ID: e.id, Data: bytes.Clone(e.data)})
		}
		e.data, e.some, e.id = e.data[:0], false, 0
		return
	}
	if e.line[0] == ':' {
		if e.OnComment != nil {
			e.OnComment()
		}
		return
	}
	name, value, _ := bytes.Cut(e.line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.id, _ = strconv.ParseUint(string(value), 10, 64)
	case "data":
		if e.some {
			e.data = append(e.data, '\n')
		}
		e.data, e.some = append(e.data, value...), true
	}
}

// WatchEvent is one numbered event of the change log.
type WatchEvent struct {
	Seq       uint64        `json:"seq"`
	Endpoints *EndpointList `json:"fleet"` // nil: it tells of something else
}

// EndpointList is the list of hosts, or what has changed of it.
type EndpointList struct {
	Snapshot bool       `json:"whole"`
	Hosts    []Endpoint `json:"hosts"`
}

// Endpoint is one entry of the list.
type Endpoint struct {
	Name        string    `json:"host"`
	Address     string    `json:"dial"`
	Zone        string    `json:"site"`  // its zone
	MachineType string    `json:"class"` // its kind
	Cell        int       `json:"block"` // its cell
	State       string    `json:"health"`
	StartedAtMS float64   `json:"born_ms"` // Unix milliseconds of a late start, or 0
	Available   []float64 `json:"free"`    // cores and memory that nobody has asked for
}

// The states of an entry.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// DecodeWatchEvent reads the data of an event.
func DecodeWatchEvent(ev ServerSentEvent) (WatchEvent, error) {
	var c WatchEvent
	if err := json.Unmarshal(ev.Data, &c); err != nil {
		return c, fmt.Errorf("change log event %d: %w", ev.ID, err)
	}
	if c.Seq == 0 {
		c.Seq = ev.ID
	}
	if c.Seq == 0 {
		return c, errors.New("a change log event has no number")
	}
	return c, nil
}

// HostNumber is the number in a host's name, which all placers know it by: the hex digits behind its last dash.
func HostNumber(name string) (uint32, bool) {
	digits := name[strings.LastIndexByte(name, '-')+1:]
	n, err := strconv.ParseUint(digits, 16, 32)
	return uint32(n), err == nil
}

// IsSnapshot says whether the event holds the whole list: what came before it is of no account any more.
func (c *WatchEvent) IsSnapshot() bool { return c.Endpoints != nil && c.Endpoints.Snapshot }

// mostHeld bounds the events that are held back until it shows whether the numbers have begun anew.
const mostHeld = 1024

// Sequence keeps the numbers of the change log in order: each counts once, and a gap is asked for once more. A log that
// begins its numbers anew answers the next call with a whole list under a number that has been; so does one that tells
// everything a second time. These events are held back: where they come up to the number that was asked behind, they are
// old, and where the log then rests, the numbers have begun anew. A whole list under an old number at any other moment is
// an old one.
type Sequence struct {
	Last  uint64 // the last that was taken
	gap   uint64 // where one was missing at the last asking; 0: nowhere
	fresh bool   // nothing has come since the log was asked
	held  []WatchEvent
}

// StreamOpened begins a stream that was asked for behind Last.
func (s *Sequence) StreamOpened() { s.fresh, s.held = true, nil }

// Next says what to do with an event: take it, pass it over, or ask again behind Last, as events between are missing. A
// gap that is there when asked again is taken to be one of the numbers, not of events.
func (s *Sequence) Next(ch WatchEvent) (take, again bool) {
	fresh := s.fresh
	s.fresh = false
	if n := len(s.held); n > 0 {
		if ch.Seq == s.held[n-1].Seq+1 && ch.Seq < s.Last && n < mostHeld {
			s.held = append(s.held, ch)
			return false, false
		}
		s.held = nil
	}
	switch {
	case fresh && ch.IsSnapshot() && ch.Seq < s.Last:
		s.held = []WatchEvent{ch}
		return false, false
	case ch.Seq <= s.Last:
		return false, false
	case ch.Seq > s.Last+1 && !ch.IsSnapshot() && s.gap != s.Last+1:
		s.gap = s.Last + 1
		return false, true
	}
	s.Last = ch.Seq
	return true, false
}

// StreamIdle says that the log has nothing more to tell for now, and returns the events with which its numbers have begun
// anew; there are none as a rule.
func (s *Sequence) StreamIdle() []WatchEvent {
	anew := s.held
	if s.held = nil; len(anew) > 0 {
		s.Last, s.gap = anew[len(anew)-1].Seq, 0
	}
	return anew
}
