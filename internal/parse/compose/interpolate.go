package compose

import (
	"strings"

	"forkhead/internal/parse/diagnostic"
)

// The limits of interpolation.
const (
	maxInterpolated  = 1 << 20 // bytes of all interpolated values in all files
	maxVariableDepth = 16      // levels of variables in the operands of other variables
)

// interpolator replaces variables in values by the rules of the Compose Specification: $V, ${V}, ${V:-d}, ${V-d}, ${V:?e},
// ${V?e}, ${V:+r}, ${V+r} and $$. The text after the operator may contain variables itself.
type interpolator struct {
	vars       map[string]string
	size       int // bytes of the values interpolated so far
	errs       *diagnostic.List
	notedUnset map[string]bool // names of unset variables that have a note already
	addNote    func(pos diagnostic.Pos, text string)
}

// interpolate returns the value with its scalars interpolated. Keys are not interpolated.
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
		if in.size += len(text); in.size > maxInterpolated {
			in.errs.Add(diagnostic.Wantf(v.pos, "at most 1 MiB", "the interpolated values are too large"))
			in.size = 0
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

// expand returns a text with its variables replaced. The parameter depth is 0 for the whole text of a scalar. For the
// operand of a variable, it is one more than for the text that contains the variable.
func (in *interpolator) expand(pos diagnostic.Pos, text string, depth int) (string, error) {
	if depth > maxVariableDepth {
		return "", diagnostic.Wantf(pos, "at most 16 levels", "variables are nested too deep")
	}
	var b strings.Builder
	for {
		plain, rest, found := strings.Cut(text, "$")
		b.WriteString(plain)
		if !found {
			return b.String(), nil
		}
		replacement, length, err := in.variable(pos, rest, depth)
		if err != nil {
			return "", err
		}
		b.WriteString(replacement)
		text = rest[length:]
	}
}

// variable returns the replacement for the variable at the start of text, and how many bytes of text the variable takes
// up. The text begins after the $.
func (in *interpolator) variable(pos diagnostic.Pos, text string, depth int) (replacement string, length int, err error) {
	switch {
	case strings.HasPrefix(text, "$"):
		return "$", 1, nil
	case strings.HasPrefix(text, "{"):
		end := closingBrace(text)
		if end < 0 {
			return "", 0, diagnostic.Wantf(pos, "${NAME}, or $$ for a plain $", "a ${ is never closed")
		}
		replacement, err = in.braced(pos, text[1:end], depth)
		return replacement, end + 1, err
	}
	length = nameLength(text)
	if length == 0 {
		return "", 0, diagnostic.Wantf(pos, "$NAME, ${NAME}, or $$ for a plain $", "a $ without a name")
	}
	return in.lookUp(pos, text[:length]), length, nil
}

// closingBrace returns the index of the } that matches the { at the start of text, or -1.
func closingBrace(text string) int {
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

// nameLength returns how many bytes at the start of text are a variable's name: letters, _ and, except at the start, digits.
func nameLength(text string) int {
	for i := range len(text) {
		c := text[i]
		isLetter := c == '_' || c|0x20 >= 'a' && c|0x20 <= 'z'
		isDigit := c >= '0' && c <= '9'
		if !isLetter && (!isDigit || i == 0) {
			return i
		}
	}
	return len(text)
}

// braced returns the replacement for a variable in braces. text is what the braces contain: NAME, or NAME[:]OPERATOR
// followed by the operand. The colon means that an empty variable is treated as unset.
func (in *interpolator) braced(pos diagnostic.Pos, text string, depth int) (string, error) {
	n := nameLength(text)
	if n == 0 {
		return "", diagnostic.Wantf(pos, "${NAME}", "${%s} has no name", text)
	}
	name, rest := text[:n], text[n:]
	if rest == "" {
		return in.lookUp(pos, name), nil
	}
	val, isSet := in.vars[name]
	if rest[0] == ':' {
		isSet = isSet && val != ""
		rest = rest[1:]
	}
	errForm := diagnostic.Wantf(pos, "one of - ? + after the name", "${%s} has no valid operator", text)
	if rest == "" {
		return "", errForm
	}
	switch operator, operand := rest[0], rest[1:]; operator {
	case '-':
		if isSet {
			return val, nil
		}
		return in.expand(pos, operand, depth+1)
	case '?':
		if isSet {
			return val, nil
		}
		return "", in.notSet(pos, name, operand, depth)
	case '+':
		if !isSet {
			return "", nil
		}
		return in.expand(pos, operand, depth+1)
	}
	return "", errForm
}

// notSet returns the error for a required variable that is not set. message may contain variables itself; if it is empty, a
// default message is used.
func (in *interpolator) notSet(pos diagnostic.Pos, name, message string, depth int) error {
	message, err := in.expand(pos, message, depth+1)
	if err != nil {
		return err
	}
	if message == "" {
		message = "it is required"
	}
	return diagnostic.Errorf(pos, "variable %s is not set: %s", name, message)
}

// lookUp returns the value of a variable, or "" if the variable is unset. The first use of an unset variable adds a note.
func (in *interpolator) lookUp(pos diagnostic.Pos, name string) string {
	val, ok := in.vars[name]
	if !ok && !in.notedUnset[name] {
		in.notedUnset[name] = true
		in.addNote(pos, "variable "+name+" is not set; the empty string is used")
	}
	return val
}
