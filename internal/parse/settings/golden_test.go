package settings

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"forkhead/internal/goldentest"
)

// lines formats each field of a struct, and of the structs in it, on a line of its own.
func lines(v reflect.Value) []byte {
	var b bytes.Buffer
	for i := range v.NumField() {
		if f := v.Field(i); f.Kind() == reflect.Struct {
			b.Write(lines(f))
			continue
		}
		fmt.Fprintln(&b, goldentest.FormatValue(v.Field(i)))
	}
	return b.Bytes()
}

// TestParseGolden checks that each key sets the same field as before. testdata/all.sexp has a distinct value for every
// setting, testdata/least.sexp only the settings without a default. The golden files list the values in the order of the
// fields, so they change when fields are reordered.
func TestParseGolden(t *testing.T) {
	for _, name := range []string{"all", "least"} {
		file := filepath.Join("testdata", name+".sexp")
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		s, err := Parse(file, text)
		if err != nil {
			t.Fatalf("Parse of %s = error %v, want none", file, err)
		}
		goldentest.Check(t, name+".values", lines(reflect.ValueOf(*s.ForPlacer(0))))
	}
	s, err := Parse("default settings", Default)
	if err != nil {
		t.Fatalf("Parse(Default) = error %v, want none", err)
	}
	goldentest.Check(t, "default.values", lines(reflect.ValueOf(*s.ForPlacer(1))))
}

// TestParseErrorsGolden checks the errors of testdata/faults.sexp, which has a fault of each kind: each error has a position
// and what would be valid.
func TestParseErrorsGolden(t *testing.T) {
	file := filepath.Join("testdata", "faults.sexp")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = Parse("faults.sexp", text); err == nil {
		t.Fatalf("Parse of %s = no error, want its faults", file)
	}
	goldentest.Check(t, "faults.txt", []byte(err.Error()+"\n"))
}
