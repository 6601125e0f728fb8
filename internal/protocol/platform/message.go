package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// maxCause is the largest cause that Decode accepts.
const maxCause = 1 << 20

// Message is one line of a stream. Fields and Description are kept as received, so that they can be forwarded byte for
// byte.
type Message struct {
	Type        MessageType
	Ref         string                        // 16 hex digits that identify the request at its sender
	Fields      map[FieldName]json.RawMessage // the known fields
	Cause       Cause                         // NoCause if the message has none
	Description []byte                        // a JSON string with its quotes; nil if the message has none
}

// Decode decodes a line without its line feed. The Message shares no memory with the line. If type and ref are valid
// and another part is not, Decode returns an error and a Message in which these two are set.
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
		return m, errors.New("its ref is not 16 hex digits")
	}
	m.Ref = ref
	if raw, ok := parts["f"]; ok {
		if err := m.decodeFields(raw); err != nil {
			return m, err
		}
	}
	if raw, ok := parts["c"]; ok {
		cause, err := strconv.Atoi(string(raw))
		if err != nil || cause < 0 || cause > maxCause {
			return m, errors.New("its cause is not a number from 0")
		}
		m.Cause = Cause(cause)
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
		digit := c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
		if !digit {
			return false
		}
	}
	return true
}

// isStringOrNumber reports whether a valid JSON value is a string or a number.
func isStringOrNumber(raw []byte) bool {
	return len(raw) > 0 && (raw[0] == '"' || raw[0] == '-' || raw[0] >= '0' && raw[0] <= '9')
}

// Text returns a field as text: a string without its quotes, or a number as it was written. ok is false if the message
// has no such field.
func (m *Message) Text(name FieldName) (text string, ok bool) {
	raw, ok := m.Fields[name]
	if !ok {
		return "", false
	}
	if raw[0] != '"' {
		return string(raw), true
	}
	if err := json.Unmarshal(raw, &text); err != nil {
		return "", false
	}
	return text, true
}

// Field is a field for Append. Raw is a JSON string or number; a field with an empty Raw is left out.
type Field struct {
	Name FieldName
	Raw  []byte
}

// TextField returns a field whose value is text.
func TextField(name FieldName, text string) Field {
	raw, err := json.Marshal(text)
	if err != nil {
		raw = []byte(`""`)
	}
	return Field{name, raw}
}

// Append appends a message to buf as a line with its line feed. NoCause and a nil description are omitted.
func Append(buf []byte, messageType MessageType, ref string, cause Cause, description []byte, fields ...Field) []byte {
	buf = append(buf, `{"t":"`...)
	buf = append(buf, messageType...)
	buf = append(buf, `","ref":"`...)
	buf = append(buf, ref...)
	buf = append(buf, `","f":{`...)
	first := true
	for _, field := range fields {
		if len(field.Raw) == 0 {
			continue
		}
		if !first {
			buf = append(buf, ',')
		}
		first = false
		buf = append(buf, '"')
		buf = append(buf, field.Name...)
		buf = append(buf, `":`...)
		buf = append(buf, field.Raw...)
	}
	buf = append(buf, '}')
	if cause >= 0 {
		buf = append(buf, `,"c":`...)
		buf = strconv.AppendInt(buf, int64(cause), 10)
	}
	if description != nil {
		buf = append(buf, `,"d":`...)
		buf = append(buf, description...)
	}
	return append(buf, "}\n"...)
}
