package sexp

import (
	"math"
	"strconv"
	"time"

	"forkhead/internal/parse/diagnostic"
)

// Text returns the text of an atom, or an error if the node is a list.
func (n *Node) Text() (string, error) {
	if n.List {
		return "", diagnostic.Errorf(n.Pos, "found a list in place of a word")
	}
	return n.Atom, nil
}

// Number converts an atom to a finite number from lo to hi.
func (n *Node) Number(lo, hi float64) (float64, error) {
	text, err := n.Text()
	if err != nil {
		return 0, err
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < lo || v > hi {
		return 0, diagnostic.Wantf(n.Pos, "a number from "+formatNumber(lo)+" to "+formatNumber(hi), "%q", text)
	}
	return v, nil
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// Int converts an atom to an integer from lo to hi.
func (n *Node) Int(lo, hi int) (int, error) {
	text, err := n.Text()
	if err != nil {
		return 0, err
	}
	v, err := strconv.Atoi(text)
	if err != nil || v < lo || v > hi {
		return 0, diagnostic.Wantf(n.Pos, "a whole number from "+strconv.Itoa(lo)+" to "+strconv.Itoa(hi), "%q", text)
	}
	return v, nil
}

// Duration converts an atom in the syntax of time.ParseDuration, such as 250ms, 1.5s or 2m, to a duration from lo to hi.
func (n *Node) Duration(lo, hi time.Duration) (time.Duration, error) {
	text, err := n.Text()
	if err != nil {
		return 0, err
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < lo || d > hi {
		return 0, diagnostic.Wantf(n.Pos, "a duration from "+lo.String()+" to "+hi.String()+", as 250ms or 1.5s", "%q", text)
	}
	return d, nil
}

// Bool converts yes and true to true, and no and false to false.
func (n *Node) Bool() (bool, error) {
	text, err := n.Text()
	if err != nil {
		return false, err
	}
	switch text {
	case "yes", "true":
		return true, nil
	case "no", "false":
		return false, nil
	}
	return false, diagnostic.Wantf(n.Pos, "yes or no", "%q", text)
}
