package platformconfig

import (
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

// lines puts each field's values on a line.
func lines(v reflect.Value) string {
	var b strings.Builder
	for i := range v.NumField() {
		fmt.Fprintln(&b, values(v.Field(i)))
	}
	return b.String()
}

// testdata/all.json has every key with a value of its own. Each comes to its place among the values of the object and of
// the module's settings, whose order is that of the fields: who puts the fields in another order has to see that the values
// move with them.
func TestSettingsGolden(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "all.json"))
	if err != nil {
		t.Fatal(err)
	}
	if err := Check(text); err != nil {
		t.Fatal(err)
	}
	in, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "all.parsed", []byte(lines(reflect.ValueOf(*in))))
	s, err := Settings(in)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "all.settings", []byte(lines(reflect.ValueOf(s))))
}

// The fields of a load report have these words.
func TestReportGoldenWords(t *testing.T) {
	r := EmptyReport()
	got := values(reflect.ValueOf(r))
	for i, word := range []string{"x0", "x1", "backlog", "utilization", "unheard-of"} {
		SetReported(r, word, float64(i)+0.5)
		got += " " + values(reflect.ValueOf(r))
	}
	want := "(NaN NaN NaN NaN) (0.5 NaN NaN NaN) (0.5 1.5 NaN NaN) (0.5 1.5 2.5 NaN) (0.5 1.5 2.5 3.5) (0.5 1.5 2.5 3.5)"
	if got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
