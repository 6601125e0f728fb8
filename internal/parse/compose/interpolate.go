package compose

import (
	"strings"

	"forkhead/internal/parse/diagnostic"
)

const maxInterpolated = 1 << 20 // bytes that variables may add up to in all files

// interpolator replaces variables in values, as the Compose Specification's chapter on
// interpolation says: $V, ${V}, ${V:-d}, ${V-d}, ${V:?e}, ${V?e}, ${V:+r}, ${V+r} and $$.
// Defaults may hold variables themselves.
type interpolator struct {
	vars    map[string]string
	grown   int
	errs    *diagnostic.List
	warned  map[string]bool
	addNote func(pos diagnostic.Pos, text string)
}

// interpolate returns the value with its scalars interpolated; keys stay as they are.
func (in *interpolator) interpolate(v *value) *value {
	if v == nil {
		return nil
	}
	switch v.kind {
	case scalar:
		if !strings.Contains(v.text, "$") {
			return v
		}
		text, err := in.expand(v.pos, v.text, 0)
		if err != nil {
			in.errs.Add(err)
			return v
		}
		if in.grown += len(text); in.grown > maxInterpolated {
			in.errs.Add(diagnostic.Wantf(v.pos, "at most 1 MiB", "the variables unfold to too much"))
			in.grown = 0
			return v
		}
		c := *v
		c.text = text
		return &c
	case sequence:
		c := *v
		c.items = make([]*value, len(v.items))
		for i, item := range v.items {
			c.items[i] = in.interpolate(item)
		}
		return &c
	case mapping:
		c := newMap(v.pos)
		c.tag = v.tag
		for _, k := range v.keys {
			c.set(k, v.keyPos[k], in.interpolate(v.fields[k]))
		}
		return c
	}
	return v
}

func (in *interpolator) expand(pos diagnostic.Pos, text string, depth int) (string, error) {
	if depth > 16 {
		return "", diagnostic.Wantf(pos, "at most 16 levels", "variables are nested too deep")
	}
	var b strings.Builder
	for {
		i := strings.IndexByte(text, '$')
		if i < 0 {
			b.WriteString(text)
			return b.String(), nil
		}
		b.WriteString(text[:i])
		text = text[i+1:]
		switch {
		case strings.HasPrefix(text, "$"):
			b.WriteByte('$')
			text = text[1:]
		case strings.HasPrefix(text, "{"):
			end := closing(text)
			if end < 0 {
				return "", diagnostic.Wantf(pos, "${NAME}, or $$ for a plain $", "a ${ is never closed")
			}
			word, err := in.braced(pos, text[1:end], depth)
			if err != nil {
				return "", err
			}
			b.WriteString(word)
			text = text[end+1:]
		default:
			n := nameLength(text)
			if n == 0 {
				return "", diagnostic.Wantf(pos, "$NAME, ${NAME}, or $$ for a plain $", "a $ without a name")
			}
			b.WriteString(in.lookup(pos, text[:n]))
			text = text[n:]
		}
	}
}

// closing finds the } that belongs to the { at the start.
func closing(text string) int {
	depth := 0
	for i := range len(text) {
		switch text[i] {
		case '{':
			depth++
		case '}':
			if depth--; depth == 0 {
				return i
			}
		}
	}
	return -1
}

func nameLength(text string) int {
	n := 0
	for n < len(text) {
		c := text[n]
		if c != '_' && (c|0x20 < 'a' || c|0x20 > 'z') && (n == 0 || c < '0' || c > '9') {
			break
		}
		n++
	}
	return n
}

func (in *interpolator) braced(pos diagnostic.Pos, text string, depth int) (string, error) {
	n := nameLength(text)
	if n == 0 {
		return "", diagnostic.Wantf(pos, "${NAME}", "${%s} has no name", text)
	}
	name, rest := text[:n], text[n:]
	val, set := in.vars[name]
	if rest == "" {
		return in.lookup(pos, name), nil
	}
	if rest[0] == ':' {
		set = set && val != ""
		rest = rest[1:]
	}
	if rest == "" {
		return "", diagnostic.Wantf(pos, "one of - ? + behind the name", "${%s} is not a form of variable", text)
	}
	switch op, word := rest[0], rest[1:]; op {
	case '-':
		if set {
			return val, nil
		}
		return in.expand(pos, word, depth+1)
	case '?':
		if set {
			return val, nil
		}
		reason, err := in.expand(pos, word, depth+1)
		if err != nil {
			return "", err
		}
		if reason == "" {
			reason = "it is required"
		}
		return "", diagnostic.Errorf(pos, "variable %s is not set: %s", name, reason)
	case '+':
		if !set {
			return "", nil
		}
		return in.expand(pos, word, depth+1)
	}
	return "", diagnostic.Wantf(pos, "one of - ? + behind the name", "${%s} is not a form of variable", text)
}

func (in *interpolator) lookup(pos diagnostic.Pos, name string) string {
	val, ok := in.vars[name]
	if !ok && !in.warned[name] {
		in.warned[name] = true
		in.addNote(pos, "variable "+name+" is not set; the empty string stands for it")
	}
	return val
}
