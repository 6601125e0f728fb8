// Package sexp parses S-expressions and keeps the position of each node.
//
// The form: lists in parentheses, symbols, strings in double quotes with the escapes \" \\ \n \t, and comments from ; to the
// end of the line. Numbers, durations and yes or no are symbols that the methods of Node give meaning to.
package sexp

import (
	"unicode/utf8"

	"forkhead/internal/parse/diagnostic"
)

// Bounds of one file.
const (
	MaxBytes = 1 << 20
	MaxDepth = 64 // levels of lists
	MaxNodes = 200_000
)

// Node is an atom or a list.
type Node struct {
	Pos    diagnostic.Pos
	Atom   string // where List is false
	Quoted bool   // the atom was quoted
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

// Parse parses all top-level nodes of a file. It returns a *diagnostic.Error at the first fault.
func Parse(file string, text []byte) ([]*Node, error) {
	if len(text) > MaxBytes {
		return nil, diagnostic.Wantf(diagnostic.Pos{File: file}, "at most 1 MiB", "the file has %d bytes", len(text))
	}
	if !utf8.Valid(text) {
		return nil, diagnostic.Wantf(diagnostic.Pos{File: file}, "UTF-8", "the file is not valid UTF-8")
	}
	p := parser{scanner: scanner{file: file, text: text, line: 1, col: 1}}
	for {
		p.skipSpace()
		if p.atEnd() {
			break
		}
		if err := p.parseToken(); err != nil {
			return nil, err
		}
	}
	if len(p.openLists) > 0 {
		return nil, diagnostic.Errorf(p.openLists[len(p.openLists)-1].Pos, "this ( is never closed")
	}
	return p.top, nil
}

// parser builds nodes of what it scans.
type parser struct {
	scanner
	top       []*Node
	openLists []*Node // lists that are not closed yet, the innermost last
	tokens    int     // parsed so far, ) among them
}

// parseToken parses a ( or ) or an atom. There is one.
func (p *parser) parseToken() error {
	pos := p.pos()
	if p.tokens >= MaxNodes {
		return diagnostic.Wantf(pos, "at most 200000 nodes", "the file holds too much")
	}
	p.tokens++
	switch p.peek() {
	case '(':
		if len(p.openLists) >= MaxDepth {
			return diagnostic.Wantf(pos, "at most 64 levels", "lists are nested too deep")
		}
		p.next()
		list := &Node{Pos: pos, List: true}
		p.add(list)
		p.openLists = append(p.openLists, list)
	case ')':
		if len(p.openLists) == 0 {
			return diagnostic.Errorf(pos, "a ) without its (")
		}
		p.next()
		p.openLists = p.openLists[:len(p.openLists)-1]
	case '"':
		text, err := p.quoted()
		if err != nil {
			return err
		}
		p.add(&Node{Pos: pos, Atom: text, Quoted: true})
	default:
		p.add(&Node{Pos: pos, Atom: p.symbol()})
	}
	return nil
}

// add appends a node to the innermost open list, or to the top level.
func (p *parser) add(n *Node) {
	if len(p.openLists) == 0 {
		p.top = append(p.top, n)
		return
	}
	list := p.openLists[len(p.openLists)-1]
	list.Items = append(list.Items, n)
}
