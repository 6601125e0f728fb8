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

// testdata/all.sexp gives every element of a scenario a value of its own; it and the built-in scenarios are decoded to the same values,
// in the order of the fields.
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
			t.Errorf("%s: Text is not what was read", name)
		}
		s.Text, s.Settings = nil, nil // package settings has a test of its own
		var b bytes.Buffer
		for i := range reflect.ValueOf(*s).NumField() {
			fmt.Fprintln(&b, strings.ReplaceAll(goldentest.FormatValue(reflect.ValueOf(*s).Field(i)), ") (", ")\n\t("))
		}
		goldentest.Check(t, name+".values", b.Bytes())
	}
}

// The keywords of faults and injected bugs are these.
func TestWordsGolden(t *testing.T) {
	goldentest.Check(t, "words.txt", []byte(fmt.Sprintln(FaultKinds, InjectedBugs)))
}
