package compose

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"forkhead/internal/goldentest"
)

// values writes a value with all that it holds, in the order of its fields and without any name of Go's, so that it is the
// same after a renaming. A number is written as such even where its type has words for it.
func values(v reflect.Value) string {
	var parts []string
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return "nil"
		}
		return values(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			parts = append(parts, values(v.Field(i)))
		}
		return "(" + strings.Join(parts, " ") + ")"
	case reflect.Slice, reflect.Array:
		if v.Type().Elem().Kind() == reflect.Uint8 && v.Kind() == reflect.Slice {
			return fmt.Sprintf("%q", v.Bytes())
		}
		for i := range v.Len() {
			parts = append(parts, values(v.Index(i)))
		}
		return "[" + strings.Join(parts, " ") + "]"
	case reflect.Map:
		for _, key := range v.MapKeys() {
			parts = append(parts, values(key)+":"+values(v.MapIndex(key)))
		}
		slices.Sort(parts)
		return "{" + strings.Join(parts, " ") + "}"
	case reflect.String:
		return fmt.Sprintf("%q", v.String())
	case reflect.Bool:
		return fmt.Sprint(v.Bool())
	case reflect.Float32, reflect.Float64:
		return fmt.Sprint(v.Float())
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uint:
		return fmt.Sprint(v.Uint())
	}
	return fmt.Sprint(v.Int())
}

// testdata/all.yaml has what placing goes by and some of what hosts get. It comes to the same description, with the same
// places and payloads, in the order of the fields.
func TestParseGolden(t *testing.T) {
	file := filepath.Join("testdata", "all.yaml")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	d, err := Parse(&Input{
		Files: []File{{Name: "all.yaml", Text: string(text)}}, Others: []File{{Name: "b.env", Text: "B=2\n"}},
		Variables: map[string]string{"TAG": "3"}, Classes: []string{"web", "batch"}, Tenants: []string{"courts"},
	})
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	for i := range reflect.ValueOf(*d).NumField() {
		fmt.Fprintln(&b, strings.ReplaceAll(values(reflect.ValueOf(*d).Field(i)), ") (", ")\n\t("))
	}
	goldentest.Check(t, "all.values", b.Bytes())
}
