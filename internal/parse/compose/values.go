package compose

import (
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// pairs reads a mapping, or a list of K=V, of single values. A name alone takes the variable's.
func (d *decoder) pairs(v *value, name string) map[string]string {
	out := map[string]string{}
	if v == nil || v.kind == null {
		return out
	}
	m := asMap(v)
	if m.kind != mapping {
		d.want(v.pos, "a mapping or a list of KEY=VALUE", "%s is %s", name, v.kind)
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
			d.want(x.pos, "a single value", "%s of %s is %s", k, name, x.kind)
		}
	}
	return out
}

// list reads a list of single values; texts gives their texts.
func (d *decoder) list(v *value, name string) []*value {
	seq := d.of(v, sequence, name)
	if seq == nil {
		return nil
	}
	var out []*value
	for _, item := range seq.items {
		if item.kind != scalar {
			d.want(item.pos, "a single value", "an entry of %s is %s", name, item.kind)
			continue
		}
		out = append(out, item)
	}
	return out
}

func (d *decoder) texts(v *value, name string) []string {
	var out []string
	for _, item := range d.list(v, name) {
		out = append(out, item.text)
	}
	return out
}

func (d *decoder) integer(v *value, name string, lo, hi int) (int, bool) {
	if v.kind == scalar {
		if n, err := strconv.Atoi(strings.TrimSpace(v.text)); err == nil && n >= lo && n <= hi {
			return n, true
		}
	}
	d.want(v.pos, "a whole number from "+strconv.Itoa(lo)+" to "+strconv.Itoa(hi), "%s is %s", name, describe(v))
	return 0, false
}

func (d *decoder) number(v *value, name string, lo, hi float64) float64 {
	if v.kind == scalar {
		x, err := strconv.ParseFloat(strings.TrimSpace(v.text), 64)
		if err == nil && !math.IsNaN(x) && x >= lo && x <= hi {
			return x
		}
	}
	d.want(v.pos, "a number from "+strconv.FormatFloat(lo, 'g', -1, 64)+" to "+strconv.FormatFloat(hi, 'g', -1, 64), "%s is %s", name, describe(v))
	return 0
}

func (d *decoder) boolean(v *value, name string) bool {
	switch v.text {
	case "true", "yes", "on":
		return true
	case "false", "no", "off":
		return false
	}
	d.want(v.pos, "true or false", "%s is %s", name, describe(v))
	return false
}

var durationForm = regexp.MustCompile(`^(?:(\d+)h)?(?:(\d+)m)?(?:(\d+)s)?(?:(\d+)ms)?(?:(\d+)us)?$`)

// duration reads the specification's form: 1h30m, 90s, 500ms, 20us and their sums.
func (d *decoder) duration(v *value, name string, lo, hi time.Duration) time.Duration {
	if v.kind == scalar && v.text != "" {
		if v.text == "0" && lo == 0 {
			return 0
		}
		if m := durationForm.FindStringSubmatch(v.text); m != nil {
			var sum time.Duration
			good := true
			for i, unit := range []time.Duration{time.Hour, time.Minute, time.Second, time.Millisecond, time.Microsecond} {
				if m[i+1] == "" {
					continue
				}
				n, err := strconv.ParseInt(m[i+1], 10, 64)
				if err != nil || n > int64((1<<62)/unit) {
					good = false
					break
				}
				sum += time.Duration(n) * unit
				good = good && sum >= 0
			}
			if good && sum >= lo && sum <= hi {
				return sum
			}
		}
	}
	d.want(v.pos, "a duration from "+lo.String()+" to "+hi.String()+", as 1m30s or 500ms", "%s is %s", name, describe(v))
	return 0
}

var bytesForm = regexp.MustCompile(`^(?i)\s*(\d+(?:\.\d+)?)\s*(b|k|kb|kib|m|mb|mib|g|gb|gib|t|tb|tib)?\s*$`)

// bytes reads a byte value of the specification (k, m, g, by 1024) into GiB.
func (d *decoder) bytes(v *value, name string) float64 {
	if v.kind == scalar {
		if m := bytesForm.FindStringSubmatch(v.text); m != nil {
			x, err := strconv.ParseFloat(m[1], 64)
			shift := map[string]int{"": 0, "b": 0, "k": 10, "m": 20, "g": 30, "t": 40}[strings.ToLower(m[2][:min(1, len(m[2]))])]
			x *= float64(int64(1) << shift)
			if err == nil && x >= 1 && x <= 1<<50 {
				return x / (1 << 30)
			}
		}
	}
	d.want(v.pos, "an amount of bytes, as 512m or 2gb", "%s is %s", name, describe(v))
	return 0
}

// describe gives a value as it stands in errors.
func describe(v *value) string {
	if v.kind == scalar {
		return strconv.Quote(v.text)
	}
	return v.kind.String()
}

// plain turns a value into what encoding/json writes. Plain words that YAML reads as numbers
// or truth values are written as such.
func plain(v *value) any {
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
			m[k] = plain(v.fields[k])
		}
		return m
	case sequence:
		out := make([]any, 0, len(v.items))
		for _, item := range v.items {
			out = append(out, plain(item))
		}
		return out
	}
	return nil
}
