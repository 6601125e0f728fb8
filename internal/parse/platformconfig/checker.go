package platformconfig

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
)

// checker checks the values of an object and keeps the first error. The path to a value lists the names on the way from
// the root of the object to the value, separated by dots.
type checker struct {
	root   map[string]any
	prefix string // path of the checked object and a dot, put before paths in errors; "" for the root of the settings
	err    error
}

// fail records an error at a path, unless there is one already.
func (c *checker) fail(path, format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("settings: %s%s %s", c.prefix, path, fmt.Sprintf(format, args...))
	}
}

// at returns the value at a path, or nil if the object has no such value.
func (c *checker) at(path string) any {
	var v any = c.root
	for name := range strings.SplitSeq(path, ".") {
		object, _ := v.(map[string]any)
		v = object[name]
	}
	return v
}

// numberAt returns the number at a path, or 0 if the object has no number there.
func (c *checker) numberAt(path string) float64 {
	n, _ := c.at(path).(float64)
	return n
}

// numberKind determines which numbers a field accepts: only integers, or all numbers.
type numberKind uint8

const (
	integer numberKind = iota
	decimal
)

// number checks that the value at a path is a number from lo to hi.
func (c *checker) number(path string, kind numberKind, lo, hi float64) {
	c.inRange(path, c.at(path), kind, lo, hi)
}

// inRange checks that a value is a number from lo to hi. path is the path of the value, for the error.
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

// names checks that the value at a path is a list of at least minCount distinct names, and returns the length of the
// list. If the path has the form LIST.FIELD, the entries of LIST are objects, and the names are the values of FIELD in
// them.
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

// quoteAll quotes texts for an error and separates them by commas. Empty texts are left out.
func quoteAll(texts []string) string {
	var quoted []string
	for _, text := range texts {
		if text != "" {
			quoted = append(quoted, fmt.Sprintf("%q", text))
		}
	}
	return strings.Join(quoted, ", ")
}

// describe returns how an error of one line shows a value: as JSON, truncated to maxBytes, or as "missing" if the value
// is nil.
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
