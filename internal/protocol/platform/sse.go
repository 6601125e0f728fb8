package platform

import (
	"bytes"
	"fmt"
	"strconv"
)

// MaxEventSize is the maximum size of a server-sent event of the watch, in bytes.
const MaxEventSize = 1 << 20

// ErrEventTooLarge is the error of a watch that sends a line or an event of more than MaxEventSize bytes.
var ErrEventTooLarge = fmt.Errorf("an event of the change log holds more than %d bytes", MaxEventSize)

// ServerSentEvent is one server-sent event.
type ServerSentEvent struct {
	ID   uint64 // 0 if the event has no ID or its ID is not a number
	Data []byte // the data lines, joined with line feeds
}

// EventReader splits a stream into server-sent events. An incomplete event at the end of the stream is dropped.
type EventReader struct {
	line        []byte // the incomplete line
	afterReturn bool   // the last byte was a carriage return: a line feed that follows is part of the same line end
	data        []byte // data of the incomplete event
	hasData     bool
	id          uint64
	// OnComment is called for each comment, which the watch sends when it is idle. It may be nil.
	OnComment func()
}

// Feed parses the next bytes of the stream and calls handle for each complete event, which handle may retain. Its only
// error is ErrEventTooLarge, after which the rest of the stream cannot be read.
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

// endLine processes the line that has just ended.
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

// endEvent passes the event to handle if it has data, and begins the next one.
func (e *EventReader) endEvent(handle func(ServerSentEvent)) {
	if e.hasData {
		handle(ServerSentEvent{ID: e.id, Data: bytes.Clone(e.data)})
	}
	e.data, e.hasData, e.id = e.data[:0], false, 0
}
