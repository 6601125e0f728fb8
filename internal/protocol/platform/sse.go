package platform

import (
	"bytes"
	"fmt"
	"strconv"
)

// MaxEventSize is the most bytes that one server-sent event of the watch may hold.
const MaxEventSize = 1 << 20

// ErrEventTooLarge means that the watch sent a line or an event of more than MaxEventSize bytes.
var ErrEventTooLarge = fmt.Errorf("an event of the change log holds more than %d bytes", MaxEventSize)

// ServerSentEvent is one server-sent event.
type ServerSentEvent struct {
	ID   uint64 // 0: it has none, or none that is a number
	Data []byte // its data lines, with a line feed between each two
}

// EventReader splits a stream into server-sent events. An event that the stream ends within is dropped.
type EventReader struct {
	line        []byte // the line that has not ended
	afterReturn bool   // the last byte was a carriage return: a line feed that follows belongs to it
	data        []byte // of the event that has not ended
	hasData     bool
	id          uint64
	// OnComment is called at each comment, which the watch sends when it has nothing more for now. It may be nil.
	OnComment func()
}

// Feed takes bytes as they come and calls handle for each complete event, which handle may keep. After an error, which
// is ErrEventTooLarge, the stream cannot be read on.
func (e *EventReader) Feed(p []byte, handle func(ServerSentEvent)) error {
	for _, b := range p {
		if e.afterReturn && b == '\n' {
			e.afterReturn = false
			continue
		}
		e.afterReturn = b == '\r'
		if b == '\n' || b == '\r' {
			e.endLine(handle)
			e.line = e.line[:0]
			continue
		}
		if len(e.line)+len(e.data) >= MaxEventSize {
			return ErrEventTooLarge
		}
		e.line = append(e.line, b)
	}
	return nil
}

// endLine interprets the line that has just ended.
func (e *EventReader) endLine(handle func(ServerSentEvent)) {
	if len(e.line) == 0 {
		e.endEvent(handle)
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
		if e.hasData {
			e.data = append(e.data, '\n')
		}
		e.data, e.hasData = append(e.data, value...), true
	}
}

// endEvent hands the event over if it has data, and begins the next.
func (e *EventReader) endEvent(handle func(ServerSentEvent)) {
	if e.hasData {
		handle(ServerSentEvent{ID: e.id, Data: bytes.Clone(e.data)})
	}
	e.data, e.hasData, e.id = e.data[:0], false, 0
}
