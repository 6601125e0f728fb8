package platformconfig

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"forkhead/internal/goldentest"
)

// lines puts each field's values on a line.
func lines(v reflect.Value) string {
	var b strings.Builder
	for i := range v.NumField() {
		fmt.Fprintln(&b, goldentest.FormatValue(v.Field(i)))
	}
	return b.String()
}

// testdata/all.json has every key with a value of its own. Each is decoded to its place among the values of the object and of
// the module's settings, whose order is that of the fields: where the fields are reordered, the values have
// to move with them.
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
	s, err := ModuleSettings(in)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "all.settings", []byte(lines(reflect.ValueOf(s))))
}

// The fields of a load report have these names.
func TestReportGoldenWords(t *testing.T) {
	r := EmptyReport()
	got := goldentest.FormatValue(reflect.ValueOf(r))
	for i, word := range []string{"x0", "x1", "backlog", "utilization", "unheard-of"} {
		SetReported(r, word, float64(i)+0.5)
		got += " " + goldentest.FormatValue(reflect.ValueOf(r))
	}
	want := "(NaN NaN NaN NaN) (0.5 NaN NaN NaN) (0.5 1.5 NaN NaN) (0.5 1.5 2.5 NaN) (0.5 1.5 2.5 3.5) (0.5 1.5 2.5 3.5)"
	if got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
