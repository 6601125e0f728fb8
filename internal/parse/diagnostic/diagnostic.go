// Package diagnostic has positions in the files that users write, and the errors found there.
package diagnostic

import (
	"errors"
	"fmt"
	"slices"
)

// Pos is a position in a file. Line and Col count from 1; Col counts bytes. A zero Line means the file as a whole.
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

// Error is what is wrong at a position, and what would be right where that is known.
type Error struct {
	Pos     Pos
	Message string
	Want    string // what would be right; "": not known
}

// Error gives the form that compilers use: FILE:LINE:COL: message; want what would be right.
func (e *Error) Error() string {
	text := e.Pos.String() + ": " + e.Message
	if e.Want != "" {
		text += "; want " + e.Want
	}
	return text
}

// Errorf returns an Error without what would be right. Its message is formatted as by fmt.Sprintf.
func Errorf(p Pos, format string, args ...any) *Error {
	return &Error{Pos: p, Message: fmt.Sprintf(format, args...)}
}

// Wantf returns an Error with what would be right. Its message is formatted as by fmt.Sprintf.
func Wantf(p Pos, want, format string, args ...any) *Error {
	return &Error{Pos: p, Message: fmt.Sprintf(format, args...), Want: want}
}

// MaxErrors is how many errors a List keeps; further ones are counted.
const MaxErrors = 20

// List gathers the errors of one file. The zero value is empty.
type List struct {
	errs    []error
	dropped int // beyond MaxErrors
}

// Add keeps an error, or counts it where there are MaxErrors; nil is ignored.
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

// Err returns nil if nothing was added, else all of it joined, with the number of those that were dropped.
func (l *List) Err() error {
	if len(l.errs) == 0 {
		return nil
	}
	errs := l.errs
	if l.dropped > 0 {
		errs = append(slices.Clip(errs), fmt.Errorf("and %d more", l.dropped))
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
