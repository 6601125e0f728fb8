// Package sexp reads S-expressions and keeps the place of each node.
//
// The form: lists in parentheses, symbols, strings in double quotes with the escapes
// \" \\ \n \t, and comments from ; to the end of the line. Numbers, durations and sizes
// are symbols that the reader of a field gives meaning to.
package sexp

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"forkhead/internal/parse/diagnostic"
)

// Limits of one file.
const (
	MaxBytes = 1 << 20
	MaxDepth = 64
	MaxNodes = 200_000
)

// Node is an atom or a list.
type Node struct {
	Pos    diagnostic.Pos
	Atom   string // where List is false
	Quoted bool   // the atom stood in quotes
	List   bool
	Items  []*Node
}

// Head is the leading symbol of a list, or "".
func (n *Node) Head() string {
	if n.List && len(n.Items) > 0 && !n.Items[0].List && !n.Items[0].Quoted {
		return n.Items[0].Atom
	}
	return ""
}

// Args are the items behind the head.
func (n *Node) Args() []*Node {
	if len(n.Items) == 0 {
		return nil
	}
	return n.Items[1:]
}

// Parse reads all top-level nodes of a file. It returns a *source.Error at the first fault.
func Parse(file string, text []byte) ([]*Node, error) {
	r := &reader{file: file, text: text, line: 1, col: 1}
	if len(text) > MaxBytes {
		return nil, diagnostic.Wantf(diagnostic.Pos{File: file}, "at most 1 MiB", "the file has %d bytes", len(text))
	}
	if !utf8.Valid(text) {
		return nil, diagnostic.Wantf(diagnostic.Pos{File: file}, "UTF-8", "the file is not valid UTF-8")
	}
	var stack []*Node
	var top []*Node
	put := func(n *Node) {
		if len(stack) == 0 {
			top = append(top, n)
		} else {
			last := stack[len(stack)-1]
			last.Items = append(last.Items, n)
		}
	}
	for nodes := 0; ; nodes++ {
		r.skip()
		if r.at >= len(r.text) {
			break
		}
		pos := r.pos()
		if nodes >= MaxNodes {
			return nil, diagnostic.Wantf(pos, "at most 200000 nodes", "the file holds too much")
		}
		switch r.text[r.at] {
		case '(':
			if len(stack) >= MaxDepth {
				return nil, diagnostic.Wantf(pos, "at most 64 levels", "lists are nested too deep")
			}
			r.next()
			n := &Node{Pos: pos, List: true}
			put(n)
			stack = append(stack, n)
		case ')':
			if len(stack) == 0 {
				return nil, diagnostic.Errorf(pos, "a ) without its (")
			}
			r.next()
			stack = stack[:len(stack)-1]
		case '"':
			word, err := r.quoted()
			if err != nil {
				return nil, err
			}
			put(&Node{Pos: pos, Atom: word, Quoted: true})
		default:
			put(&Node{Pos: pos, Atom: r.symbol()})
		}
	}
	if len(stack) > 0 {
		return nil, diagnostic.Errorf(stack[len(stack)-1].Pos, "this ( is never closed")
	}
	return top, nil
}

type reader struct {
	file      string
	text      []byte
	at        int
	line, col int
}

func (r *reader) pos() diagnostic.Pos { return diagnostic.Pos{File: r.file, Line: r.line, Col: r.col} }

func (r *reader) next() byte {
	c := r.text[r.at]
	r.at++
	r.col++
	if c == '\n' {
		r.line, r.col = r.line+1, 1
	}
	return c
}

func (r *reader) skip() {
	for r.at < len(r.text) {
		switch r.text[r.at] {
		case ' ', '\t', '\r', '\n':
			r.next()
		case ';':
			for r.at < len(r.text) && r.text[r.at] != '\n' {
				r.next()
			}
		default:
			return
		}
	}
}

func (r *reader) symbol() string {
	start := r.at
	for r.at < len(r.text) && !strings.ContainsRune(" \t\r\n();\"", rune(r.text[r.at])) {
		r.next()
	}
	return string(r.text[start:r.at])
}

func (r *reader) quoted() (string, error) {
	start := r.pos()
	r.next()
	var b strings.Builder
	for r.at < len(r.text) {
		pos := r.pos()
		switch c := r.next(); c {
		case '"':
			return b.String(), nil
		case '\n':
			return "", diagnostic.Errorf(start, "this string is not closed on its line")
		case '\\':
			if r.at >= len(r.text) {
				return "", diagnostic.Errorf(start, "this string is never closed")
			}
			switch e := r.next(); e {
			case '"', '\\':
				b.WriteByte(e)
			case 'n':
				b.WriteByte('\n')
			case 't':
				b.WriteByte('\t')
			default:
				return "", diagnostic.Wantf(pos, `\" \\ \n or \t`, `unknown escape \%c`, e)
			}
		default:
			b.WriteByte(c)
		}
	}
	return "", diagnostic.Errorf(start, "this string is never closed")
}

// Text returns the atom, or an error if the node is a list.
func (n *Node) Text() (string, error) {
	if n.List {
		return "", diagnostic.Errorf(n.Pos, "a list stands where a word belongs")
	}
	return n.Atom, nil
}

// Number reads a finite number from lo to hi.
func (n *Node) Number(lo, hi float64) (float64, error) {
	word, err := n.Text()
	if err != nil {
		return 0, err
	}
	v, err := strconv.ParseFloat(word, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < lo || v > hi {
		return 0, diagnostic.Wantf(n.Pos, "a number from "+short(lo)+" to "+short(hi), "%q", word)
	}
	return v, nil
}

func short(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// Int reads a whole number from lo to hi.
func (n *Node) Int(lo, hi int) (int, error) {
	word, err := n.Text()
	if err != nil {
		return 0, err
	}
	v, err := strconv.Atoi(word)
	if err != nil || v < lo || v > hi {
		return 0, diagnostic.Wantf(n.Pos, "a whole number from "+strconv.Itoa(lo)+" to "+strconv.Itoa(hi), "%q", word)
	}
	return v, nil
}

// Duration reads a duration with its unit (Go's form: 250ms, 1.5s, 2m), from lo to hi.
func (n *Node) Duration(lo, hi time.Duration) (time.Duration, error) {
	word, err := n.Text()
	if err != nil {
		return 0, err
	}
	d, err := time.ParseDuration(word)
	if err != nil || d < lo || d > hi {
		return 0, diagnostic.Wantf(n.Pos, "a duration from "+lo.String()+" to "+hi.String()+", as 250ms or 1.5s", "%q", word)
	}
	return d, nil
}

// Bool reads yes or no.
func (n *Node) Bool() (bool, error) {
	word, err := n.Text()
	if err != nil {
		return false, err
	}
	switch word {
	case "yes", "true":
		return true, nil
	case "no", "false":
		return false, nil
	}
	return false, diagnostic.Wantf(n.Pos, "yes or no", "%q", word)
}

// Field reads one value of a form.
type Field func(n *Node) error

// Fields reads each item as a list whose head is one of the fields. It adds an error for an
// unknown head, for one that stands twice unless many names it, and for all that a field says.
func Fields(items []*Node, fields map[string]Field, many map[string]bool, errs *diagnostic.List) {
	seen := map[string]bool{}
	for _, item := range items {
		head := item.Head()
		if head == "" {
			errs.Add(diagnostic.Wantf(item.Pos, "(name value ...)", "this is not a setting"))
			continue
		}
		field, ok := fields[head]
		if !ok {
			known := make([]string, 0, len(fields))
			for k := range fields {
				known = append(known, k)
			}
			want := ""
			if near := diagnostic.Nearest(head, known); near != "" {
				want = near
			}
			errs.Add(diagnostic.Wantf(item.Items[0].Pos, want, "unknown setting %q", head))
			continue
		}
		if seen[head] && !many[head] {
			errs.Add(diagnostic.Errorf(item.Pos, "%s stands here a second time", head))
			continue
		}
		seen[head] = true
		errs.Add(field(item))
	}
}

// SingleValue wraps a reader of a single value as a Field.
func SingleValue(read func(v *Node) error) Field {
	return func(n *Node) error {
		if args := n.Args(); len(args) == 1 {
			return read(args[0])
		}
		return diagnostic.Wantf(n.Pos, "exactly one value", "%s has %d", n.Head(), len(n.Args()))
	}
}

// Number is a Field that sets a number from lo to hi.
func Number(to *float64, lo, hi float64) Field {
	return SingleValue(func(v *Node) error { return set(to, func() (float64, error) { return v.Number(lo, hi) }) })
}

// Int is a Field that sets a whole number from lo to hi.
func Int(to *int, lo, hi int) Field {
	return SingleValue(func(v *Node) error { return set(to, func() (int, error) { return v.Int(lo, hi) }) })
}

// Duration is a Field that sets a duration from lo to hi.
func Duration(to *time.Duration, lo, hi time.Duration) Field {
	return SingleValue(func(v *Node) error { return set(to, func() (time.Duration, error) { return v.Duration(lo, hi) }) })
}

// Bool is a Field that sets yes or no.
func Bool(to *bool) Field {
	return SingleValue(func(v *Node) error { return set(to, v.Bool) })
}

// Text is a Field that sets a word or string.
func Text(to *string) Field {
	return SingleValue(func(v *Node) error { return set(to, v.Text) })
}

// Choice is a Field that sets one of several words.
func Choice[T any](to *T, words map[string]T) Field {
	return SingleValue(func(v *Node) error {
		word, err := v.Text()
		if err != nil {
			return err
		}
		got, ok := words[word]
		if !ok {
			var known []string
			for k := range words {
				known = append(known, k)
			}
			slices.Sort(known)
			return diagnostic.Wantf(v.Pos, strings.Join(known, ", "), "%q", word)
		}
		*to = got
		return nil
	})
}

func set[T any](to *T, read func() (T, error)) error {
	v, err := read()
	if err == nil {
		*to = v
	}
	return err
}
