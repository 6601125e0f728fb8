package sexp

import (
	"strings"

	"forkhead/internal/parse/diagnostic"
)

// scanner reads the text of a file byte by byte.
type scanner struct {
	file      string
	text      []byte
	offset    int
	line, col int // position of the byte at offset, from 1
}

func (s *scanner) pos() diagnostic.Pos { return diagnostic.Pos{File: s.file, Line: s.line, Col: s.col} }

func (s *scanner) atEnd() bool { return s.offset >= len(s.text) }

func (s *scanner) peek() byte { return s.text[s.offset] }

// next returns the current byte and advances to the one after it.
func (s *scanner) next() byte {
	c := s.text[s.offset]
	s.offset++
	s.col++
	if c == '\n' {
		s.line, s.col = s.line+1, 1
	}
	return c
}

// skipSpace advances past white space and comments.
func (s *scanner) skipSpace() {
	for !s.atEnd() {
		switch s.peek() {
		case ' ', '\t', '\r', '\n':
			s.next()
		case ';':
			for !s.atEnd() && s.peek() != '\n' {
				s.next()
			}
		default:
			return
		}
	}
}

// symbol reads the symbol that begins at the current byte.
func (s *scanner) symbol() string {
	start := s.offset
	for !s.atEnd() && !strings.ContainsRune(" \t\r\n();\"", rune(s.peek())) {
		s.next()
	}
	return string(s.text[start:s.offset])
}

// quoted reads the string whose opening quote is the current byte, and returns its text without quotes and escapes.
func (s *scanner) quoted() (string, error) {
	start := s.pos()
	s.next()
	var b strings.Builder
	for !s.atEnd() {
		pos := s.pos()
		switch c := s.next(); c {
		case '"':
			return b.String(), nil
		case '\n':
			return "", diagnostic.Errorf(start, "this string is not closed on its line")
		case '\\':
			if s.atEnd() {
				return "", diagnostic.Errorf(start, "this string is never closed")
			}
			escaped, err := unescape(s.next(), pos)
			if err != nil {
				return "", err
			}
			b.WriteByte(escaped)
		default:
			b.WriteByte(c)
		}
	}
	return "", diagnostic.Errorf(start, "this string is never closed")
}

// unescape returns the byte that an escape in a string means. The escape is a backslash, whose position is pos,
// followed by c.
func unescape(c byte, pos diagnostic.Pos) (byte, error) {
	switch c {
	case '"', '\\':
		return c, nil
	case 'n':
		return '\n', nil
	case 't':
		return '\t', nil
	}
	return 0, diagnostic.Wantf(pos, `\" \\ \n or \t`, `unknown escape \%c`, c)
}
