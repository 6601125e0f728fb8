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

// lines puts each element of the outermost level of values on a line.
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

// testdata/all.sexp gives every setting a value of its own, and testdata/least.sexp those that have no default. Each is
// decoded to its place among the values, whose order is that of the fields: where the fields are reordered, the values
// have to move with them.
func TestParseGolden(t *testing.T) {
	for _, name := range []string{"all", "least"} {
		file := filepath.Join("testdata", name+".sexp")
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		s, err := Parse(file, text)
		if err != nil {
			t.Fatal(err)
		}
		goldentest.Check(t, name+".values", lines(reflect.ValueOf(*s.For(0))))
	}
	s, err := Parse("default settings", Default)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "default.values", lines(reflect.ValueOf(*s.For(1))))
}

// testdata/faults.sexp has a fault of each kind; all are reported, with their positions and what is wanted.
func TestFaultsGolden(t *testing.T) {
	file := filepath.Join("testdata", "faults.sexp")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = Parse("faults.sexp", text); err == nil {
		t.Fatal("no fault is found")
	}
	goldentest.Check(t, "faults.txt", []byte(err.Error()+"\n"))
}
