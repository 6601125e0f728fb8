// Package sexp parses S-expressions and keeps the position of each node.
//
// The syntax has lists in parentheses, symbols, strings in double quotes with the escapes \" \\ \n \t, and comments from ;
// to the end of the line. Numbers, durations and booleans are atoms that the methods of Node convert.
package sexp

import (
	"unicode/utf8"

	"forkhead/internal/parse/diagnostic"
)

// The limits of one file.
const (
	MaxBytes = 1 << 20
	MaxDepth = 64      // levels of nested lists
	MaxNodes = 200_000 // maximum number of tokens; each (, ) and atom is a token
)

// Node is an atom or a list.
type Node struct {
	Pos    diagnostic.Pos
	Atom   string // text of an atom; "" for a list
	Quoted bool   // the atom is a string in quotes, not a symbol
	List   bool   // the node is a list, not an atom
	Items  []*Node
}

// Head returns the symbol that a list begins with, or "" if there is none.
func (n *Node) Head() string {
	if n.List && len(n.Items) > 0 && !n.Items[0].List && !n.Items[0].Quoted {
		return n.Items[0].Atom
	}
	return ""
}

// Args returns the items of a list after the first.
func (n *Node) Args() []*Node {
	if len(n.Items) == 0 {
		return nil
	}
	return n.Items[1:]
}

// Parse parses all top-level nodes of a file. It stops at the first syntax error, which it returns as a *diagnostic.Error.
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

// parser builds the nodes of one file.
type parser struct {
	scanner
	top       []*Node
	openLists []*Node // lists whose ) has not been reached, the innermost last
	tokens    int     // number of tokens parsed so far, including each )
}

// parseToken parses one token: a (, a ) or an atom. The scanner must be at the first byte of the token.
func (p *parser) parseToken() error {
	pos := p.pos()
	if p.tokens >= MaxNodes {
		return diagnostic.Wantf(pos, "at most 200000 nodes", "the file has too many nodes")
	}
	p.tokens++
	switch p.peek() {
	case '(':
		if len(p.openLists) >= MaxDepth {
			return diagnostic.Wantf(pos, "at most 64 levels", "lists are nested too deeply")
		}
		p.next()
		list := &Node{Pos: pos, List: true}
		p.add(list)
		p.openLists = append(p.openLists, list)
	case ')':
		if len(p.openLists) == 0 {
			return diagnostic.Errorf(pos, "this ) closes no list")
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
