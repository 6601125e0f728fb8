package compose

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"forkhead/internal/goldentest"
)

// TestParseGolden checks that testdata/all.yaml, which has the elements that affect placement and some that are passed to
// hosts, is decoded to the same description as before, with the same positions and payloads. The golden file all.values
// lists the values in the order in which the type Description declares its fields.
func TestParseGolden(t *testing.T) {
	file := filepath.Join("testdata", "all.yaml")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	d, err := Parse(&Input{
		Files: []File{{Name: "all.yaml", Text: string(text)}}, ReferencedFiles: []File{{Name: "b.env", Text: "B=2\n"}},
		Variables: map[string]string{"TAG": "3"}, Classes: []string{"web", "batch"}, Tenants: []string{"courts"},
	})
	if err != nil {
		t.Fatalf("Parse of %s = error %v, want none", file, err)
	}
	var b bytes.Buffer
	for i := range reflect.ValueOf(*d).NumField() {
		fmt.Fprintln(&b, strings.ReplaceAll(goldentest.FormatValue(reflect.ValueOf(*d).Field(i)), ") (", ")\n\t("))
	}
	goldentest.Check(t, "all.values", b.Bytes())
}
