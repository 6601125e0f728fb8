package scenario

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

// A change of the reader or of a default would change what existing scenario files mean. testdata/all.sexp sets every
// element of a scenario to a value that no other element has; the golden files hold the values that it and the built-in
// scenarios decode to, in the order of the fields.
func TestReadGolden(t *testing.T) {
	file := filepath.Join("testdata", "all.sexp")
	all, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{"all": all, "badday": Default, "recovery": Recovery, "calm": FaultFree} {
		s, err := Read(name, text)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(s.Text, text) {
			t.Errorf("Read(%q).Text = %q, want the text that was read, %q", name, s.Text, text)
		}
		s.Text, s.Settings = nil, nil // the tests of package settings cover the decoding of settings
		var b bytes.Buffer
		for i := range reflect.ValueOf(*s).NumField() {
			fmt.Fprintln(&b, strings.ReplaceAll(goldentest.FormatValue(reflect.ValueOf(*s).Field(i)), ") (", ")\n\t("))
		}
		goldentest.Check(t, name+".values", b.Bytes())
	}
}

// Scenario files contain the keywords of faults and injected bugs, so they must not change with the Go names.
func TestKeywordsGolden(t *testing.T) {
	goldentest.Check(t, "words.txt", []byte(fmt.Sprintln(FaultKinds, InjectedBugs)))
}
