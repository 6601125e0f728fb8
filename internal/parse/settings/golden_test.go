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

// TestParseGolden checks that each key sets the same field as before. The file testdata/all.sexp has a distinct value for
// every setting, and testdata/least.sexp has only the settings without a default. The golden files list the values in the
// order in which the type Settings declares its fields, so they change when fields are reordered.
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

// TestParseErrorsGolden checks that the errors for testdata/faults.sexp, which has a fault of each kind, are the same as
// before. Each error has a position, and says what would be valid there.
func TestParseErrorsGolden(t *testing.T) {
	file := filepath.Join("testdata", "faults.sexp")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = Parse("faults.sexp", text); err == nil {
		t.Fatalf("Parse of %s = no error, want an error for each fault in the file", file)
	}
	goldentest.Check(t, "faults.txt", []byte(err.Error()+"\n"))
}
