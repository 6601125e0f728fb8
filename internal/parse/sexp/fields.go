package sexp

import (
	"maps"
	"slices"
	"strings"
	"time"

	"forkhead/internal/parse/diagnostic"
)

// Field parses a list (NAME values...) and stores its values.
type Field func(n *Node) error

// Fields parses a list of settings. Each item must be a list whose head is a key of the parameter fields. The Field
// under that key parses the item. Fields adds to errs each error that a Field returns. It also adds an error for an
// item with an unknown head. A second item with the same head is an error too, unless the head is in the parameter
// repeatable.
func Fields(items []*Node, fields map[string]Field, repeatable map[string]bool, errs *diagnostic.List) {
	seen := map[string]bool{}
	for _, item := range items {
		head := item.Head()
		if head == "" {
			errs.Add(diagnostic.Wantf(item.Pos, "(name value ...)", "this is not a setting"))
			continue
		}
		field, ok := fields[head]
		if !ok {
			nearest := diagnostic.Nearest(head, slices.Collect(maps.Keys(fields)))
			errs.Add(diagnostic.Wantf(item.Items[0].Pos, nearest, "unknown setting %q", head))
			continue
		}
		if seen[head] && !repeatable[head] {
			errs.Add(diagnostic.Errorf(item.Pos, "%s stands here a second time", head))
			continue
		}
		seen[head] = true
		errs.Add(field(item))
	}
}

// SingleValue returns a Field that passes the value in a list (NAME value) to the function take. A list with no value
// or with several is an error.
func SingleValue(take func(v *Node) error) Field {
	return func(n *Node) error {
		if args := n.Args(); len(args) == 1 {
			return take(args[0])
		}
		return diagnostic.Wantf(n.Pos, "exactly one value", "%s has %d", n.Head(), len(n.Args()))
	}
}

// Number returns a Field that stores a number from lo to hi.
func Number(to *float64, lo, hi float64) Field {
	return setting(to, func(v *Node) (float64, error) { return v.Number(lo, hi) })
}

// Int returns a Field that stores a whole number from lo to hi.
func Int(to *int, lo, hi int) Field {
	return setting(to, func(v *Node) (int, error) { return v.Int(lo, hi) })
}

// Duration returns a Field that stores a duration from lo to hi.
func Duration(to *time.Duration, lo, hi time.Duration) Field {
	return setting(to, func(v *Node) (time.Duration, error) { return v.Duration(lo, hi) })
}

// Bool returns a Field that stores a boolean, which is written yes or no.
func Bool(to *bool) Field { return setting(to, (*Node).Bool) }

// Text returns a Field that stores the text of an atom.
func Text(to *string) Field { return setting(to, (*Node).Text) }

// Choice returns a Field that looks up the text of an atom in the map meanings and stores the value found. An unknown
// text is an error.
func Choice[T any](to *T, meanings map[string]T) Field {
	return setting(to, func(v *Node) (T, error) {
		var none T
		text, err := v.Text()
		if err != nil {
			return none, err
		}
		meaning, ok := meanings[text]
		if !ok {
			return none, diagnostic.Wantf(v.Pos, strings.Join(slices.Sorted(maps.Keys(meanings)), ", "), "%q", text)
		}
		return meaning, nil
	})
}

// setting returns a Field that converts a single value with the function read and stores the result in *to. After an
// error, *to is unchanged.
func setting[T any](to *T, read func(v *Node) (T, error)) Field {
	return SingleValue(func(v *Node) error {
		got, err := read(v)
		if err == nil {
			*to = got
		}
		return err
	})
}
