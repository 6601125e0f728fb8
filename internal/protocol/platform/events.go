package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// MostEvent is the most bytes that one event of the change log may hold.
const MostEvent = 1 << 20

// ErrEvent means that the change log sent a line or an event without an end.
var ErrEvent = fmt.Errorf("an event of the change log holds more than %d bytes", MostEvent)

// Event is one server-sent event.
type Event struct {
	ID   uint64 // 0: it has none
	Data []byte
}

// Events reads server-sent events from a stream. An event that the stream breaks off in is none.
type Events struct {
	line []byte
	data []byte
	id   uint64
	some bool // a data line came
	cr   bool // the last byte was a carriage return
}

// Feed takes bytes as they come and calls take for each whole event, which it may keep. After an error the stream
// cannot be read on.
func (e *Events) Feed(p []byte, take func(Event)) error {
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
		if len(e.line)+len(e.data) >= MostEvent {
			return ErrEvent
		}
		e.line = append(e.line, b)
	}
	return nil
}

// end takes a whole line.
func (e *Events) end(take func(Event)) {
	if len(e.line) == 0 {
		if e.some {
			take(Event{ID: e.id, Data: bytes.Clone(e.data)})
		}
		e.data, e.some, e.id = e.data[:0], false, 0
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

// Change is one numbered event of the change log.
type Change struct {
	Seq   uint64 `json:"seq"`
	Fleet *Fleet `json:"fleet"` // nil: it tells of something else
}

// Fleet is the list of hosts, or what has changed of it.
type Fleet struct {
	Whole bool       `json:"whole"`
	Hosts []HostInfo `json:"hosts"`
}

// HostInfo is one entry of the list.
type HostInfo struct {
	Name  string    `json:"host"`
	Dial  string    `json:"dial"`
	Site  string    `json:"site"`  // its zone
	Class string    `json:"class"` // its kind
	Block int       `json:"block"` // its cell
	State string    `json:"health"`
	Born  float64   `json:"born_ms"` // Unix milliseconds of a late start, or 0
	Free  []float64 `json:"free"`    // cores and memory that nobody has asked for
}

// The states of an entry.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// ReadChange reads the data of an event.
func ReadChange(ev Event) (Change, error) {
	var c Change
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

// Sequence keeps the numbers of the change log in order: each counts once, and a gap is asked for once more.
type Sequence struct {
	Last uint64 // the last that was taken
	gap  uint64 // where one was missing at the last asking; 0: nowhere
}

// Next says what to do with an event of that number: take it, pass it over, or ask again behind Last, as events between
// are missing. A gap that is there when asked again is taken to be one of the numbers, not of events.
func (s *Sequence) Next(seq uint64) (take, again bool) {
	switch {
	case seq <= s.Last:
		return false, false
	case seq > s.Last+1 && s.gap != s.Last+1:
		s.gap = s.Last + 1
		return false, true
	}
	s.Last = seq
	return true, false
}
