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

// testdata/all.yaml has the elements that placement uses and some of those that hosts get. It is decoded to the same description,
// with the same places and payloads, in the order of the fields.
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
		fmt.Fprintln(&b, strings.ReplaceAll(goldentest.FormatValue(reflect.ValueOf(*d).Field(i)), ") (", ")\n\t("))
	}
	goldentest.Check(t, "all.values", b.Bytes())
}
