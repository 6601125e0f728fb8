// Package diagnostic defines positions in the files that users write, and errors at these positions.
package diagnostic

import (
	"errors"
	"fmt"
	"slices"
)

// Pos is a position in a file. Line and Col count from 1, Col in bytes. If Line is 0, the position is the whole file.
type Pos struct {
	File      string
	Line, Col int
}

// String returns FILE:LINE:COL, or FILE alone if Line is 0.
func (p Pos) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col)
}

// Error describes a fault at a position, and what would be valid there if that is known.
type Error struct {
	Pos     Pos
	Message string
	Want    string // what would be valid at Pos; "": not known
}

// Error returns the error in the form that compilers use, FILE:LINE:COL: MESSAGE; want WANT. The last part is left out if
// Want is empty.
func (e *Error) Error() string {
	text := e.Pos.String() + ": " + e.Message
	if e.Want != "" {
		text += "; want " + e.Want
	}
	return text
}

// Errorf returns an Error with an empty Want. Its message is formatted as by fmt.Sprintf.
func Errorf(p Pos, format string, args ...any) *Error {
	return &Error{Pos: p, Message: fmt.Sprintf(format, args...)}
}

// Wantf returns an Error that also says what would be valid. Its message is formatted as by fmt.Sprintf.
func Wantf(p Pos, want, format string, args ...any) *Error {
	return &Error{Pos: p, Message: fmt.Sprintf(format, args...), Want: want}
}

// MaxErrors is the number of errors that a List keeps. Further errors are only counted.
const MaxErrors = 20

// List collects the errors of one parse. The zero value is an empty list.
type List struct {
	errs    []error
	dropped int // errors added beyond MaxErrors
}

// Add appends an error, or only counts it if the list holds MaxErrors already. A nil error is ignored.
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

// Err returns nil for an empty list. Otherwise it joins the errors of the list, followed by the number of dropped
// errors if there are any.
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

// First returns the first *Error in the tree of errors that err wraps or joins, which includes err itself. It returns
// nil if the tree has none.
func First(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}
