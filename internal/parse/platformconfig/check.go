package platformconfig

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Check says what of a settings text a real placer cannot go by: a field that a decision rests on and that is missing, of
// another type or out of range, a word that is not known, and parts that contradict each other. Fields that it does not
// know are passed over. The error is one line that names the field.
func Check(text []byte) error {
	var root map[string]any
	if err := json.Unmarshal(text, &root); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c := checker{root: root}
	c.number("balancers", whole, 1, 1e6)
	c.number("me", whole, 0, 1e6)
	if c.err == nil && c.num("me") >= c.num("balancers") {
		c.fail("me", "is %v, want less than balancers, %v", c.num("me"), c.num("balancers"))
	}
	zones := c.names("dcs", 1)
	c.number("az", whole, 0, float64(max(zones, 1)-1))
	kinds := c.names("kinds", 1)
	c.word("discovery", "automatic", "subscribe")
	c.word("loadInfo.how", "answers", "probe", "none")
	for _, flag := range []string{"caps.cancel", "caps.probing", "caps.peers", "familyInfo.listsFree"} {
		c.flag(flag)
	}
	c.number("caps.maxAttempts", whole, 1, 1e6)
	c.number("caps.connectTimeout", fraction, 1, math.MaxFloat32)
	c.number("caps.connIdle", fraction, 0, math.MaxFloat32)
	for _, name := range []string{"rules.stopSendingWithin", "rules.cold", "rules.fall"} {
		c.number(name, fraction, 0, math.MaxFloat32)
	}
	if c.err == nil && c.num("rules.cold") > 0 && c.num("rules.fall") == 0 {
		c.fail("rules.fall", "is 0, want a window over which offers to cold hosts count, as rules.cold is %v", c.num("rules.cold"))
	}
	c.number("familyInfo.coldSends", fraction, 0, math.MaxFloat32)
	c.number("familyInfo.acceptsCores", fraction, 0, math.MaxFloat32)
	c.number("familyInfo.memBooking", fraction, 0, math.MaxFloat32)
	c.number("familyInfo.unitCores", fraction, 0, math.MaxFloat32)
	c.word("familyInfo.saysYes", "accepted", "running")
	for _, name := range []string{"familyInfo.kindCores", "familyInfo.memoryByKind"} {
		c.numbers(name, kinds, fraction, math.SmallestNonzeroFloat32, math.MaxFloat32)
	}
	c.classes(kinds)
	c.tenants()
	return c.err
}

func (c *checker) classes(kinds int) {
	n := c.names("classes.name", 1)
	for _, name := range []string{"easyUntil", "classFade", "promptStartS"} {
		c.numbers("familyInfo."+name, n, fraction, 0, math.MaxFloat32)
	}
	c.numbers("familyInfo.classPriority", n, whole, 0, 1e6)
	c.numbers("familyInfo.kindByClass", n, whole, -1, float64(kinds-1))
	c.numbers("familyInfo.classMost", n, whole, 0, 1e9)
	spreads, _ := c.at("familyInfo.classSpread").([]any)
	if len(spreads) != n {
		c.fail("familyInfo.classSpread", "has %d entries for %d classes", len(spreads), n)
	}
	if c.err != nil {
		return
	}
	classes := c.at("classes").([]any)
	most := c.at("familyInfo.classMost").([]any)
	for i := range classes {
		class := checker{root: classes[i].(map[string]any), prefix: fmt.Sprintf("classes[%d].", i)}
		class.word("effect", slices.Sorted(maps.Keys(effects))...)
		if class.err == nil && class.root["effect"] == "dedup" {
			class.word("group", slices.Sorted(maps.Keys(places))...)
			class.number("memorySpan", fraction, 1, math.MaxFloat32)
		}
		class.number("aim", fraction, 0, math.MaxFloat32)
		class.number("points", fraction, 0, math.MaxFloat32)
		if c.err = class.err; c.err != nil {
			return
		}
		spread, ok := spreads[i].(string)
		if place, known := places[spread]; !ok || !known {
			c.fail(fmt.Sprintf("familyInfo.classSpread[%d]", i), "is %v, want one of %s", spreads[i], list(slices.Sorted(maps.Keys(places))))
		} else if place != 0 && most[i].(float64) < 1 {
			c.fail(fmt.Sprintf("familyInfo.classMost[%d]", i), "is %v, want at least 1, as classSpread is %q", most[i], spread)
		}
	}
}

func (c *checker) tenants() {
	if c.err != nil || c.at("tenants") == nil {
		return // there may be none
	}
	n := c.names("tenants.name", 0)
	if quota, ok := c.at("familyInfo.tenantQuotaCores").([]any); ok && len(quota) != 0 && len(quota) != n {
		c.fail("familyInfo.tenantQuotaCores", "has %d entries for %d tenants", len(quota), n)
	}
	if c.err != nil {
		return
	}
	for i, t := range c.at("tenants").([]any) {
		share := t.(map[string]any)["share"]
		c.inRange(fmt.Sprintf("tenants[%d].share", i), share, fraction, 0, 1)
	}
}

// checker keeps the first error.
type checker struct {
	root   map[string]any
	prefix string
	err    error
}

type sort bool // of number

const (
	whole    sort = true
	fraction sort = false
)

func (c *checker) fail(name, format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("settings: %s%s %s", c.prefix, name, fmt.Sprintf(format, args...))
	}
}

// at is the value under a path; nil: there is none.
func (c *checker) at(path string) any {
	var v any = c.root
	for name := range strings.SplitSeq(path, ".") {
		m, _ := v.(map[string]any)
		v = m[name]
	}
	return v
}

func (c *checker) num(path string) float64 { v, _ := c.at(path).(float64); return v }

func (c *checker) number(path string, kind sort, least, most float64) {
	c.inRange(path, c.at(path), kind, least, most)
}

func (c *checker) inRange(name string, v any, kind sort, least, most float64) {
	n, ok := v.(float64)
	switch {
	case v == nil:
		c.fail(name, "is missing, want a number")
	case !ok:
		c.fail(name, "is %s, want a number", show(v))
	case kind == whole && n != math.Trunc(n):
		c.fail(name, "is %v, want a whole number", n)
	case !(n >= least):
		c.fail(name, "is %v, want at least %v", n, least)
	case n > most:
		c.fail(name, "is %v, want at most %v", n, most)
	}
}

func (c *checker) numbers(path string, n int, kind sort, least, most float64) {
	all, ok := c.at(path).([]any)
	if !ok || len(all) != n {
		c.fail(path, "is %s, want a list of %d numbers", show(c.at(path)), n)
		return
	}
	for i, v := range all {
		c.inRange(fmt.Sprintf("%s[%d]", path, i), v, kind, least, most)
	}
}

func (c *checker) flag(path string) {
	if _, ok := c.at(path).(bool); !ok {
		c.fail(path, "is %s, want true or false", show(c.at(path)))
	}
}

func (c *checker) word(path string, words ...string) {
	if w, ok := c.at(path).(string); !ok || !slices.Contains(words, w) {
		c.fail(path, "is %s, want one of %s", show(c.at(path)), list(words))
	}
}

// names checks a list of names, or of objects with one (path.name), for names that are missing or stand twice, and returns
// how many there are.
func (c *checker) names(path string, least int) int {
	path, field, inside := strings.Cut(path, ".")
	all, ok := c.at(path).([]any)
	if !ok || len(all) < least {
		c.fail(path, "is %s, want a list of at least %d", show(c.at(path)), max(least, 1))
		return 0
	}
	seen := map[string]bool{}
	for i, v := range all {
		name := fmt.Sprintf("%s[%d]", path, i)
		if inside {
			m, _ := v.(map[string]any)
			v, name = m[field], name+"."+field
		}
		text, ok := v.(string)
		switch {
		case !ok || text == "":
			c.fail(name, "is %s, want a name", show(v))
		case seen[text]:
			c.fail(name, "is %q a second time", text)
		}
		seen[text] = true
	}
	return len(all)
}

func list(words []string) string {
	var all []string
	for _, w := range words {
		if w != "" {
			all = append(all, fmt.Sprintf("%q", w))
		}
	}
	return strings.Join(all, ", ")
}

// show is a value in a message of one line.
func show(v any) string {
	text, err := json.Marshal(v)
	switch {
	case v == nil || err != nil:
		return "missing"
	case len(text) > 60:
		return string(text[:60]) + "..."
	}
	return string(text)
}
