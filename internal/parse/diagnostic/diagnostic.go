// Package diagnostic names places in the files that users write, and the errors found there.
package diagnostic

import (
	"errors"
	"fmt"
	"strings"
)

// Pos is a place in a file. Line and Col count from 1; Col counts bytes. A zero Line means
// the file as a whole.
type Pos struct {
	File      string
	Line, Col int
}

// String gives FILE:LINE:COL, or FILE alone where no line is known.
func (p Pos) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col)
}

// Error says what is wrong at a place, and what would be right where that can be said.
type Error struct {
	Pos     Pos
	Message string
	Want    string
}

// Error gives the form that compilers use: FILE:LINE:COL: what; want what would be right.
func (e *Error) Error() string {
	text := e.Pos.String() + ": " + e.Message
	if e.Want != "" {
		text += "; want " + e.Want
	}
	return text
}

// Errorf makes an Error without a remedy.
func Errorf(p Pos, format string, args ...any) *Error {
	return &Error{Pos: p, Message: fmt.Sprintf(format, args...)}
}

// Wantf makes an Error whose remedy is want.
func Wantf(p Pos, want, format string, args ...any) *Error {
	return &Error{Pos: p, Message: fmt.Sprintf(format, args...), Want: want}
}

// MaxErrors is how many errors a List keeps: a broken file is told about, not drowned in.
const MaxErrors = 20

// List gathers the errors of one file.
type List struct {
	errs    []error
	dropped int
}

// Add keeps an error; nil is passed over.
func (l *List) Add(err error) {
	if err == nil {
		return
	}
	if len(l.errs) >= MaxErrors {
		l.dropped++
		return
	}
	l.errs = append(l.errs, err)
}

// Err returns nil if nothing was added, else all of it as one error.
func (l *List) Err() error {
	if len(l.errs) == 0 {
		return nil
	}
	errs := l.errs
	if l.dropped > 0 {
		errs = append(errs[:len(errs):len(errs)], fmt.Errorf("and %d more", l.dropped))
	}
	return errors.Join(errs...)
}

// First returns the first Error within err, or nil.
func First(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// Nearest returns the known word that is closest to the one given, if any is close.
func Nearest(word string, known []string) string {
	best, least := "", 3
	for _, k := range known {
		if d := distance(strings.ToLower(word), k); d < least {
			best, least = k, d
		}
	}
	return best
}

// distance is the Levenshtein distance of two short words.
func distance(a, b string) int {
	if len(a) > 64 || len(b) > 64 {
		return 64
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(diagonal+cost, row[j]+1, row[j+1]+1)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
