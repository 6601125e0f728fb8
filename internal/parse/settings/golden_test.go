package settings

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

// lines puts each element of the outermost level of values on a line.
func lines(v reflect.Value) []byte {
	var b bytes.Buffer
	for i := range v.NumField() {
		if f := v.Field(i); f.Kind() == reflect.Struct {
			b.Write(lines(f))
			continue
		}
		fmt.Fprintln(&b, values(v.Field(i)))
	}
	return b.Bytes()
}

// testdata/all.sexp gives every setting a value of its own, and testdata/least.sexp those that have no default. Each comes
// to its place among the values, whose order is that of the fields: who puts the fields in another order has to see that
// the values move with them.
func TestReadGolden(t *testing.T) {
	for _, name := range []string{"all", "least"} {
		file := filepath.Join("testdata", name+".sexp")
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		s, err := Read(file, text)
		if err != nil {
			t.Fatal(err)
		}
		goldentest.Check(t, name+".values", lines(reflect.ValueOf(*s.For(0))))
	}
	s, err := Read("default settings", Default)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "default.values", lines(reflect.ValueOf(*s.For(1))))
}

// testdata/faults.sexp has a fault of each kind; all are told, with their places and what is wanted.
func TestFaultsGolden(t *testing.T) {
	file := filepath.Join("testdata", "faults.sexp")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = Read("faults.sexp", text); err == nil {
		t.Fatal("no fault is found")
	}
	goldentest.Check(t, "faults.txt", []byte(err.Error()+"\n"))
}
