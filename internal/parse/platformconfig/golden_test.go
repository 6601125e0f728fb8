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

// lines formats each field of a struct on a line of its own.
func lines(v reflect.Value) string {
	var b strings.Builder
	for i := range v.NumField() {
		fmt.Fprintln(&b, goldentest.FormatValue(v.Field(i)))
	}
	return b.String()
}

// TestSettingsGolden checks that each key sets the same fields as before, both of Info and of the module's settings.
// The file testdata/all.json has a distinct value for every key. The golden files list the values in the order in which
// the two types declare their fields, so they change when fields are reordered.
func TestSettingsGolden(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "all.json"))
	if err != nil {
		t.Fatal(err)
	}
	if err := Check(text); err != nil {
		t.Fatalf("Check of all.json = error %v, want none", err)
	}
	in, err := Parse(text)
	if err != nil {
		t.Fatalf("Parse of all.json = error %v, want none", err)
	}
	goldentest.Check(t, "all.parsed", []byte(lines(reflect.ValueOf(*in))))
	s, err := ModuleSettings(in)
	if err != nil {
		t.Fatalf("ModuleSettings of all.json = error %v, want none", err)
	}
	goldentest.Check(t, "all.settings", []byte(lines(reflect.ValueOf(s))))
}

// TestSetReportedGoldenNames checks that the platform's names for the values of a load report still set the same
// fields, and that an unknown name sets nothing.
func TestSetReportedGoldenNames(t *testing.T) {
	r := EmptyReport()
	got := goldentest.FormatValue(reflect.ValueOf(r))
	for i, word := range []string{"x0", "x1", "backlog", "utilization", "unheard-of"} {
		SetReported(r, word, float64(i)+0.5)
		got += " " + goldentest.FormatValue(reflect.ValueOf(r))
	}
	want := "(NaN NaN NaN NaN) (0.5 NaN NaN NaN) (0.5 1.5 NaN NaN) (0.5 1.5 2.5 NaN) (0.5 1.5 2.5 3.5) (0.5 1.5 2.5 3.5)"
	if got != want {
		t.Errorf("load report before and after each SetReported of x0, x1, backlog, utilization and unheard-of: got %s, want %s", got, want)
	}
}
