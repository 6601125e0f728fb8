package compose

import (
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// pairs decodes a mapping of single values or a list of KEY=VALUE. In the element environment, a KEY alone has the
// value of the variable KEY, and is left out if this variable is not set. In other elements, the value of a KEY alone
// is "".
func (d *decoder) pairs(v *value, name string) map[string]string {
	out := map[string]string{}
	if v == nil || v.kind == null {
		return out
	}
	m := asMap(v)
	if m.kind != mapping {
		d.wantf(v.pos, "a mapping or a list of KEY=VALUE", "%s is %s", name, v.kind)
		return out
	}
	for _, k := range m.keys {
		switch x := m.fields[k]; x.kind {
		case scalar:
			out[k] = x.text
		case null:
			if val, ok := d.in.Variables[k]; ok && name == "environment" {
				out[k] = val
			} else if name != "environment" {
				out[k] = ""
			}
		default:
			d.wantf(x.pos, "a single value", "%s of %s is %s", k, name, x.kind)
		}
	}
	return out
}

// list decodes a list of single values.
func (d *decoder) list(v *value, name string) []*value {
	seq := d.ofKind(v, sequence, name)
	if seq == nil {
		return nil
	}
	var out []*value
	for _, item := range seq.items {
		if item.kind != scalar {
			d.wantf(item.pos, "a single value", "an entry of %s is %s", name, item.kind)
			continue
		}
		out = append(out, item)
	}
	return out
}

// texts decodes a list of single values and returns their texts.
func (d *decoder) texts(v *value, name string) []string {
	var out []string
	for _, item := range d.list(v, name) {
		out = append(out, item.text)
	}
	return out
}

// integer decodes a whole number from lo to hi. For any other value it adds an error, and ok is false.
func (d *decoder) integer(v *value, name string, lo, hi int) (n int, ok bool) {
	if v.kind == scalar {
		if n, err := strconv.Atoi(strings.TrimSpace(v.text)); err == nil && n >= lo && n <= hi {
			return n, true
		}
	}
	d.wantf(v.pos, "a whole number from "+strconv.Itoa(lo)+" to "+strconv.Itoa(hi), "%s is %s", name, describe(v))
	return 0, false
}

// number decodes a number from lo to hi. For any other value it adds an error and returns 0.
func (d *decoder) number(v *value, name string, lo, hi float64) float64 {
	if v.kind == scalar {
		x, err := strconv.ParseFloat(strings.TrimSpace(v.text), 64)
		if err == nil && !math.IsNaN(x) && x >= lo && x <= hi {
			return x
		}
	}
	d.wantf(v.pos, "a number from "+strconv.FormatFloat(lo, 'g', -1, 64)+" to "+strconv.FormatFloat(hi, 'g', -1, 64), "%s is %s", name, describe(v))
	return 0
}

// boolean decodes a boolean, with or without quotes around it.
func (d *decoder) boolean(v *value, name string) bool {
	switch v.text {
	case "true", "yes", "on":
		return true
	case "false", "no", "off":
		return false
	}
	d.wantf(v.pos, "true or false", "%s is %s", name, describe(v))
	return false
}

// durationForm matches durations of the Compose Specification. It has one group for each unit, in the order of
// durationUnits.
var (
	durationForm  = regexp.MustCompile(`^(?:(\d+)h)?(?:(\d+)m)?(?:(\d+)s)?(?:(\d+)ms)?(?:(\d+)us)?$`)
	durationUnits = []time.Duration{time.Hour, time.Minute, time.Second, time.Millisecond, time.Microsecond}
)

// duration decodes a duration from lo to hi. For any other value it adds an error and returns 0.
func (d *decoder) duration(v *value, name string, lo, hi time.Duration) time.Duration {
	if v.kind == scalar {
		if sum, ok := parseDuration(v.text); ok && sum >= lo && sum <= hi {
			return sum
		}
	}
	d.wantf(v.pos, "a duration from "+lo.String()+" to "+hi.String()+", as 1m30s or 500ms", "%s is %s", name, describe(v))
	return 0
}

// durationField decodes the duration in one field of the mapping m and stores it in *to. The duration must be from lo
// to hi. If m does not have the field, *to is unchanged.
func (d *decoder) durationField(to *time.Duration, m *value, key string, lo, hi time.Duration) {
	if v := m.get(key); v != nil {
		*to = d.duration(v, key, lo, hi)
	}
}

// parseDuration parses a duration of the Compose Specification: 1h30m, 90s, 500ms, 20us and their sums, or 0.
func parseDuration(text string) (sum time.Duration, ok bool) {
	// longest is the maximum number of nanoseconds in one unit's part of a duration. The sum of the parts may still
	// overflow. It is negative after an overflow, so the loop detects this.
	const longest = 1 << 62
	if text == "0" {
		return 0, true
	}
	groups := durationForm.FindStringSubmatch(text)
	if groups == nil || text == "" {
		return 0, false
	}
	for i, unit := range durationUnits {
		digits := groups[i+1]
		if digits == "" {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n > int64(longest/unit) {
			return 0, false
		}
		if sum += time.Duration(n) * unit; sum < 0 {
			return 0, false
		}
	}
	return sum, true
}

// bytesForm matches byte values of the Compose Specification. Its groups are the number and the unit.
var bytesForm = regexp.MustCompile(`^(?i)\s*(\d+(?:\.\d+)?)\s*(b|k|kb|kib|m|mb|mib|g|gb|gib|t|tb|tib)?\s*$`)

// unitShifts has the binary logarithms of the units of bytes, by first letter.
var unitShifts = map[string]int{"": 0, "b": 0, "k": 10, "m": 20, "g": 30, "t": 40}

// bytes decodes an amount of at least one byte, and returns it in GiB.
func (d *decoder) bytes(v *value, name string) float64 {
	const maxBytes = 1 << 50
	if v.kind == scalar {
		if amount, ok := parseBytes(v.text); ok && amount >= 1 && amount <= maxBytes {
			return amount / gibibyte
		}
	}
	d.wantf(v.pos, "an amount of bytes, as 512m or 2gb", "%s is %s", name, describe(v))
	return 0
}

// parseBytes parses a byte value of the Compose Specification, whose units are powers of 1024.
func parseBytes(text string) (amount float64, ok bool) {
	groups := bytesForm.FindStringSubmatch(text)
	if groups == nil {
		return 0, false
	}
	amount, err := strconv.ParseFloat(groups[1], 64)
	unit := groups[2]
	shift := unitShifts[strings.ToLower(unit[:min(1, len(unit))])]
	return amount * float64(int64(1)<<shift), err == nil
}

// choiceField decodes one field of the mapping m. The text of the field must be a key of the map meanings, and the
// value under this key is stored in *to. If m does not have the field, *to is unchanged. The parameter want lists the
// valid texts, for the error that an unknown text causes.
func choiceField[T any](d *decoder, to *T, m *value, key string, meanings map[string]T, want string) {
	v := d.ofKind(m.get(key), scalar, key)
	if v == nil {
		return
	}
	choice, ok := meanings[v.text]
	if !ok {
		d.wantf(v.pos, want, "%s %q", key, v.text)
	}
	*to = choice
}

// describe returns how errors show a value: the quoted text of a scalar, or the kind of any other value.
func describe(v *value) string {
	if v.kind == scalar {
		return strconv.Quote(v.text)
	}
	return v.kind.String()
}

// toJSON converts a value for encoding/json. A scalar without quotes that is a number, true or false is converted to a
// number or a boolean, and any other scalar to a string.
func toJSON(v *value) any {
	if v == nil {
		return nil
	}
	switch v.kind {
	case scalar:
		if v.plain {
			if v.text == "true" || v.text == "false" {
				return v.text == "true"
			}
			if n, err := strconv.ParseInt(v.text, 10, 64); err == nil {
				return n
			}
			if x, err := strconv.ParseFloat(v.text, 64); err == nil && !math.IsInf(x, 0) && !math.IsNaN(x) {
				return x
			}
		}
		return v.text
	case mapping:
		m := map[string]any{}
		for _, k := range v.keys {
			m[k] = toJSON(v.fields[k])
		}
		return m
	case sequence:
		out := make([]any, 0, len(v.items))
		for _, item := range v.items {
			out = append(out, toJSON(item))
		}
		return out
	}
	return nil
}
