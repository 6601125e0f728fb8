package platformconfig

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
)

// checker checks the values of an object. A path to a value has the names from the root to it, with dots between them. Only
// the first error is kept.
type checker struct {
	root   map[string]any
	prefix string // put before paths in errors
	err    error
}

// fail records an error at a path, unless there is one already.
func (c *checker) fail(path, format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("settings: %s%s %s", c.prefix, path, fmt.Sprintf(format, args...))
	}
}

// at returns the value at a path, or nil if there is none.
func (c *checker) at(path string) any {
	var v any = c.root
	for name := range strings.SplitSeq(path, ".") {
		object, _ := v.(map[string]any)
		v = object[name]
	}
	return v
}

// numberAt returns the number at a path, or 0 if there is none.
func (c *checker) numberAt(path string) float64 {
	n, _ := c.at(path).(float64)
	return n
}

// numberKind is the kind of numbers that a field accepts.
type numberKind uint8

const (
	integer numberKind = iota
	decimal
)

// number checks that the value at a path is a number from lo to hi.
func (c *checker) number(path string, kind numberKind, lo, hi float64) {
	c.inRange(path, c.at(path), kind, lo, hi)
}

// inRange checks that a value is a number from lo to hi. path names it in errors.
func (c *checker) inRange(path string, v any, kind numberKind, lo, hi float64) {
	n, ok := v.(float64)
	switch {
	case v == nil:
		c.fail(path, "is missing, want a number")
	case !ok:
		c.fail(path, "is %s, want a number", describe(v))
	case kind == integer && n != math.Trunc(n):
		c.fail(path, "is %v, want a whole number", n)
	case !(n >= lo):
		c.fail(path, "is %v, want at least %v", n, lo)
	case n > hi:
		c.fail(path, "is %v, want at most %v", n, hi)
	}
}

// numbers checks that the value at a path is a list of count numbers from lo to hi.
func (c *checker) numbers(path string, count int, kind numberKind, lo, hi float64) {
	all, ok := c.at(path).([]any)
	if !ok || len(all) != count {
		c.fail(path, "is %s, want a list of %d numbers", describe(c.at(path)), count)
		return
	}
	for i, v := range all {
		c.inRange(fmt.Sprintf("%s[%d]", path, i), v, kind, lo, hi)
	}
}

// flag checks that the value at a path is a boolean.
func (c *checker) flag(path string) {
	if _, ok := c.at(path).(bool); !ok {
		c.fail(path, "is %s, want true or false", describe(c.at(path)))
	}
}

// oneOf checks that the value at a path is one of several texts.
func (c *checker) oneOf(path string, choices ...string) {
	if text, ok := c.at(path).(string); !ok || !slices.Contains(choices, text) {
		c.fail(path, "is %s, want one of %s", describe(c.at(path)), quoteAll(choices))
	}
}

// names checks that the value at a path is a list of at least minCount distinct names. If the path is LIST.FIELD, the names
// are in the field of each object of a list. It returns the length of the list.
func (c *checker) names(path string, minCount int) int {
	path, field, ofObjects := strings.Cut(path, ".")
	all, ok := c.at(path).([]any)
	if !ok || len(all) < minCount {
		c.fail(path, "is %s, want a list of at least %d", describe(c.at(path)), max(minCount, 1))
		return 0
	}
	seen := map[string]bool{}
	for i, v := range all {
		entry := fmt.Sprintf("%s[%d]", path, i)
		if ofObjects {
			object, _ := v.(map[string]any)
			v, entry = object[field], entry+"."+field
		}
		name, ok := v.(string)
		switch {
		case !ok || name == "":
			c.fail(entry, "is %s, want a name", describe(v))
		case seen[name]:
			c.fail(entry, "is %q, want distinct names", name)
		}
		seen[name] = true
	}
	return len(all)
}

// quoteAll returns the quoted texts with commas between them, for an error. An empty text is left out.
func quoteAll(texts []string) string {
	var quoted []string
	for _, text := range texts {
		if text != "" {
			quoted = append(quoted, fmt.Sprintf("%q", text))
		}
	}
	return strings.Join(quoted, ", ")
}

// describe returns the JSON of a value for an error of one line, truncated to maxBytes, or "missing" for nil.
func describe(v any) string {
	const maxBytes = 60
	text, err := json.Marshal(v)
	switch {
	case v == nil || err != nil:
		return "missing"
	case len(text) > maxBytes:
		return string(text[:maxBytes]) + "..."
	}
	return string(text)
}
