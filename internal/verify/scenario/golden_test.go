package scenario

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

// testdata/all.sexp gives every element of a script a value of its own; it and the built-in scripts come to the same values,
// in the order of the fields.
func TestReadGolden(t *testing.T) {
	file := filepath.Join("testdata", "all.sexp")
	all, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{"all": all, "badday": Default, "recovery": Recovery, "calm": Calm} {
		s, err := Read(name, text)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(s.Text, text) {
			t.Errorf("%s: the text is not kept", name)
		}
		s.Text, s.Settings = nil, nil // package settings has a test of its own
		var b bytes.Buffer
		for i := range reflect.ValueOf(*s).NumField() {
			fmt.Fprintln(&b, strings.ReplaceAll(values(reflect.ValueOf(*s).Field(i)), ") (", ")\n\t("))
		}
		goldentest.Check(t, name+".values", b.Bytes())
	}
}

// The words of troubles and planted breaches are these.
func TestWordsGolden(t *testing.T) {
	goldentest.Check(t, "words.txt", []byte(fmt.Sprintln(Kinds, Plants)))
}
