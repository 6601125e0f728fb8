// Package platform is the users' platform as it is on the wire: the messages between owners, placers and hosts as JSON
// lines, the change log as server-sent events, and the configuration that a placer is started with. All of it is pure.
package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// MaxLineSize is the most bytes that a message may hold, without its line feed.
const MaxLineSize = 16 << 10

// MaxDatagramSize is the most bytes of a message between placers.
const MaxDatagramSize = 256

// The types of messages.
const (
	TypeRequest     = "new"   // a set-up
	TypeProgress    = "wait"  // means nothing
	TypeBound       = "up"    // the task stands
	TypeRelease     = "down"  // a refusal, a give-up or a release, by its cause and the moment
	TypeAck         = "ack"   // a release was heard
	TypeProbe       = "hb"    // is the other end well?
	TypeProbeResult = "hb_ok" // cause 1: it is; 0: it is not
	TypeNote        = "tell"  // on a task that stands
	TypeMigrate     = "shift" // the task ends and its owner comes again
)

// Causes of a Release.
const (
	CauseOK       = 16 // the task has come to its end; before the answer: given up
	CauseMigrated = 31 // moved, or ended by its owner
	CauseRejected = 34 // refused: it never ran
	CauseReset    = 41 // broken or cut
	CauseBusy     = 42 // refused
	CauseFailed   = 47 // an error: no promise
	CauseNotSent  = 102
	NoCause       = -1
)

// Message is one line. Its parts are kept as they came, so that they can go on byte for byte.
type Message struct {
	Type        string
	Ref         string                     // 16 hex digits
	Fields      map[string]json.RawMessage // each a JSON string or number
	Cause       int                        // NoCause where there is none
	Description []byte                     // the description, a JSON string with its quotes; nil for none
}

// Why a line cannot be read.
var (
	ErrLong  = fmt.Errorf("a line holds more than %d bytes", MaxLineSize)
	ErrRef   = errors.New("its ref is not 16 hex digits")
	ErrField = errors.New("a field is neither a string nor a number")
)

// Decode reads a line without its line feed. The Message shares no memory with it. Where only the parts beside type and
// ref cannot be read, these two are given together with the error.
func Decode(line []byte) (Message, error) {
	m := Message{Cause: NoCause}
	var parts map[string]json.RawMessage
	if err := json.Unmarshal(line, &parts); err != nil {
		return m, fmt.Errorf("not a JSON object: %w", err)
	}
	if err := json.Unmarshal(parts["t"], &m.Type); err != nil || m.Type == "" {
		return m, errors.New("it has no type")
	}
	var ref string
	if err := json.Unmarshal(parts["ref"], &ref); err != nil || !isRef(ref) {
		return m, ErrRef
	}
	m.Ref = ref
	if raw, ok := parts["f"]; ok {
		if err := json.Unmarshal(raw, &m.Fields); err != nil {
			return m, errors.New("its fields are not an object")
		}
		for _, v := range m.Fields {
			if !scalar(v) {
				return m, ErrField
			}
		}
	}
	if raw, ok := parts["c"]; ok {
		cause, err := strconv.Atoi(string(raw))
		if err != nil || cause < 0 || cause > 1<<20 {
			return m, errors.New("its cause is not a number from 0")
		}
		m.Cause = cause
	}
	if raw, ok := parts["d"]; ok {
		if len(raw) == 0 || raw[0] != '"' {
			return m, errors.New("its description is not a string")
		}
		m.Description = raw
	}
	return m, nil
}

func isRef(s string) bool {
	if len(s) != 16 {
		return false
	}
	for _, c := range []byte(s) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return true
}

// scalar says whether a JSON value is a string or a number.
func scalar(raw []byte) bool {
	return len(raw) > 0 && (raw[0] == '"' || raw[0] == '-' || raw[0] >= '0' && raw[0] <= '9')
}

// Text is a field as text: a string without its quotes, or a number as it was written.
func (m *Message) Text(name string) (string, bool) {
	raw, ok := m.Fields[name]
	if !ok {
		return "", false
	}
	if raw[0] != '"' {
		return string(raw), true
	}
	var s string
	if err := json.Unmarshal(raw, &s); err != nil {
		return "", false
	}
	return s, true
}

// Field is a field to be written; Raw is a JSON string or number.
type Field struct {
	Name string
	Raw  []byte
}

// Quoted is a field that holds text.
func Quoted(name, text string) Field {
	raw, err := json.Marshal(text)
	if err != nil {
		raw = []byte(`""`)
	}
	return Field{name, raw}
}

// Append writes a message as a line with its line feed. A cause below 0 and a nil description are left out.
func Append(buf []byte, kind, ref string, cause int, desc []byte, fields ...Field) []byte {
	buf = append(buf, `{"t":"`...)
	buf = append(buf, kind...)
	buf = append(buf, `","ref":"`...)
	buf = append(buf, ref...)
	buf = append(buf, `","f":{`...)
	first := true
	for _, f := range fields {
		if len(f.Raw) == 0 {
			continue
		}
		if !first {
			buf = append(buf, ',')
		}
		first = false
		buf = append(buf, '"')
		buf = append(buf, f.Name...)
		buf = append(buf, `":`...)
		buf = append(buf, f.Raw...)
	}
	buf = append(buf, '}')
	if cause >= 0 {
		buf = append(buf, `,"c":`...)
		buf = strconv.AppendInt(buf, int64(cause), 10)
	}
	if desc != nil {
		buf = append(buf, `,"d":`...)
		buf = append(buf, desc...)
	}
	return append(buf, "}\n"...)
}

// LineSplitter cuts a stream into lines. It never holds more than MostLine bytes of a line that has not ended.
type LineSplitter struct{ rest []byte }

// Feed takes bytes as they come and calls line for each whole line, without its line feed and a carriage return before
// it; what line gets is good until it returns. It stops at the first error of line, which it returns, and at a line that
// is too long, with ErrLong; the stream cannot be read on after that.
func (s *LineSplitter) Feed(p []byte, line func([]byte) error) error {
	for {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			if len(s.rest)+len(p) > MaxLineSize {
				s.rest = nil
				return ErrLong
			}
			s.rest = append(s.rest, p...)
			return nil
		}
		whole := p[:i]
		if len(s.rest)+i > MaxLineSize {
			s.rest = nil
			return ErrLong
		}
		if len(s.rest) > 0 {
			whole = append(s.rest, whole...)
			s.rest = nil
		}
		p = p[i+1:]
		if err := line(bytes.TrimSuffix(whole, []byte("\r"))); err != nil {
			return err
		}
	}
}

// HasPartialLine says whether a line has begun that has not ended.
func (s *LineSplitter) HasPartialLine() bool { return len(s.rest) > 0 }
