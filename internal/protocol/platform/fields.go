package platform

import (
	"bytes"
	"encoding/json"
	"errors"
)

// knownFields are the names of the fields that messages have. Other fields are checked and left out.
var knownFields = func() map[FieldName]bool {
	known := map[FieldName]bool{}
	for _, name := range []FieldName{
		FieldClass, FieldTimeout, FieldTenant, FieldTaskKey, FieldIdempotencyKey, FieldExtras, FieldLifetime, FieldRetryAfter,
		FieldNote, FieldValue, FieldLoad,
	} {
		known[name] = true
	}
	return known
}()

var (
	errFieldsNotObject = errors.New("its fields are not an object")
	errFieldType       = errors.New("a field is neither a string nor a number")
)

// decodeFields sets Fields to the known fields of a valid JSON value. Each field must be a string or a number. A field
// that is not known costs no allocation, as a message may have more than a thousand.
func (m *Message) decodeFields(raw []byte) error {
	s := fieldScanner{raw}
	if s.skipSpace(); string(s.rest) == "null" {
		return nil
	}
	if !s.take('{') {
		return errFieldsNotObject
	}
	for !s.take('}') {
		name, value, err := s.field()
		if err != nil {
			return err
		}
		if m.Fields == nil {
			m.Fields = map[FieldName]json.RawMessage{}
		}
		if knownFields[FieldName(name)] {
			m.Fields[FieldName(name)] = bytes.Clone(value)
		}
		s.take(',')
	}
	return nil
}

// fieldScanner reads the members of an object in a valid JSON value. It skips the space before and after each part.
type fieldScanner struct{ rest []byte }

func (s *fieldScanner) skipSpace() { s.rest = bytes.TrimLeft(s.rest, " \t\r\n") }

// take reads a byte if it is the next one.
func (s *fieldScanner) take(b byte) bool {
	s.skipSpace()
	if len(s.rest) == 0 || s.rest[0] != b {
		return false
	}
	s.rest = s.rest[1:]
	s.skipSpace()
	return true
}

// field reads a name and its value, which alias the scanned bytes unless the name has escapes. The error is errFieldType or
// that of a name that cannot be decoded.
func (s *fieldScanner) field() (name, value []byte, err error) {
	quoted := s.text()
	name = quoted[1 : len(quoted)-1]
	if bytes.IndexByte(name, '\\') >= 0 {
		if name, err = unescape(quoted); err != nil {
			return nil, nil, err
		}
	}
	s.take(':')
	switch {
	case !isStringOrNumber(s.rest):
		return nil, nil, errFieldType
	case s.rest[0] == '"':
		return name, s.text(), nil
	}
	return name, s.number(), nil
}

// unescape returns the text of a quoted string.
func unescape(quoted []byte) ([]byte, error) {
	var text string
	err := json.Unmarshal(quoted, &text)
	return []byte(text), err
}

// text reads a string with its quotes.
func (s *fieldScanner) text() []byte {
	s.skipSpace()
	end := 1
	for s.rest[end] != '"' {
		if s.rest[end] == '\\' {
			end++
		}
		end++
	}
	text := s.rest[:end+1]
	s.rest = s.rest[end+1:]
	return text
}

// number reads a number.
func (s *fieldScanner) number() []byte {
	end := bytes.IndexAny(s.rest, ",} \t\r\n")
	number := s.rest[:end]
	s.rest = s.rest[end:]
	return number
}
